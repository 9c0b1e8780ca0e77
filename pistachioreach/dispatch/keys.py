"""Idempotency keys: UUIDs of version 7 whose timestamp limits their validity."""

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

__all__ = ["check_key", "day_partition", "key_time", "new_key", "normalize_key"]

#: Time by which a key's timestamp may be ahead of this VM's clock.
CLOCK_TOLERANCE = timedelta(minutes=5)


def new_key(now: datetime) -> str:
    """Return a new key with the bit layout of RFC 9562."""
    milliseconds = int(now.timestamp() * 1000)
    value = (milliseconds << 80) | secrets.randbits(80)
    value = value & ~(0xF << 76) | (0x7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def key_time(key: str) -> datetime | None:
    """Return the timestamp of a key, or None if the key is not a version 7 UUID.

    A timestamp beyond the range of `datetime` gives the latest possible time.
    """
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
    """Return the failure for an invalid key, or None for a valid one.

    Args:
        key: Value of `Idempotency-Key`, or the empty string.
        now: Wall-clock time.
        window: Time for which a key is valid after its timestamp.
    """
    if not key:
        detail = "send a new UUID of version 7 as Idempotency-Key"
        return Failure(Verdict.NOT_RUN, KEY_REQUIRED, detail)
    created = key_time(key)
    if created is None:
        detail = f"Idempotency-Key '{key}' is not a UUID of version 7"
        return Failure(Verdict.NOT_RUN, BAD_REQUEST, detail)
    if created > now + CLOCK_TOLERANCE:
        detail = f"Idempotency-Key '{key}' is from the future"
        return Failure(Verdict.NOT_RUN, BAD_REQUEST, detail)
    if created < now - window:
        # The record of an earlier use may already be deleted.
        detail = f"Idempotency-Key '{key}' is older than {window}"
        return Failure(Verdict.MAY_HAVE_RUN, KEY_EXPIRED, detail)
    return None


def normalize_key(key: str) -> str:
    """Return the canonical form of a key that `check_key` has accepted."""
    return str(uuid.UUID(key))


def day_partition(key: str) -> str:
    """Return the day of a key's timestamp, which names the table of its row.

    The rows of one day are deleted together.

    Args:
        key: Key that `check_key` has accepted.
    """
    return f"{key_time(key):%Y-%m-%d}"
