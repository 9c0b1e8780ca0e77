"""Idempotency keys: UUIDs of version 7, whose time bounds how long they count."""

from __future__ import annotations

import secrets
import uuid
from datetime import UTC, datetime, timedelta

from pistachioreach.verdict import (
    BAD_REQUEST,
    KEY_EXPIRED,
    KEY_REQUIRED,
    Failure,
    Verdict,
)

__all__ = ["bucket_of", "check_key", "key_time", "new_key", "normalize_key"]

#: How far ahead of this VM's clock a key's time may be.
CLOCK_TOLERANCE = timedelta(minutes=5)


def new_key(now: datetime) -> str:
    """Return a new key; RFC 9562 gives the layout of its bits."""
    milliseconds = int(now.timestamp() * 1000)
    value = (milliseconds << 80) | secrets.randbits(80)
    value = value & ~(0xF << 76) | (0x7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def key_time(key: str) -> datetime | None:
    """Return the time that a key carries, or None when it is not of version 7."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != 7:
        return None
    try:
        return datetime.fromtimestamp((value.int >> 80) / 1000, UTC)
    except (OverflowError, ValueError):
        return datetime.max.replace(tzinfo=UTC)


def check_key(key: str, now: datetime, window: timedelta) -> Failure | None:
    """Return why a key is refused, or None when it is good.

    Args:
        key: Value of `Idempotency-Key`, or the empty string.
        now: The wall time.
        window: How long a key counts.
    """
    if not key:
        detail = "send a new UUID of version 7 as Idempotency-Key"
        return Failure(Verdict.NOT_RUN, KEY_REQUIRED, detail)
    made = key_time(key)
    if made is None:
        detail = f"Idempotency-Key '{key}' is not a UUID of version 7"
        return Failure(Verdict.NOT_RUN, BAD_REQUEST, detail)
    if made > now + CLOCK_TOLERANCE:
        detail = f"Idempotency-Key '{key}' is from the future"
        return Failure(Verdict.NOT_RUN, BAD_REQUEST, detail)
    if made < now - window:
        # What an earlier use did is no longer on record.
        detail = f"Idempotency-Key '{key}' is older than {window}"
        return Failure(Verdict.MAY_HAVE_RUN, KEY_EXPIRED, detail)
    return None


def normalize_key(key: str) -> str:
    """Return the one spelling of a key that `check_key` has found good."""
    return str(uuid.UUID(key))


def bucket_of(key: str) -> str:
    """Return the day of a key; rows of a day are dropped together.

    Args:
        key: A key that `check_key` has found good.
    """
    return f"{key_time(key):%Y-%m-%d}"
