"""Decodes the rows in which endpoints register themselves."""

from __future__ import annotations

from typing import Any

import msgspec
from loguru import logger

from pistachioreach.endpoints.directory import LayerRange, Registration

__all__ = ["decode_registration"]

#: States in which an endpoint may register itself.
STATES = ("ready", "draining")


def decode_registration(id: str, raw: bytes) -> Registration | None:
    """Decode one row, or return None where it names no endpoint to use.

    Args:
        id: Key of the row.
        raw: Bytes of the row; another writer's may be anything.
    """
    try:
        entry = msgspec.json.decode(raw)
        return registration_of(id, entry)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        logger.bind(endpoint=id, reason=repr(error)).warning(
            "registration cannot be read"
        )
        return None


def registration_of(id: str, entry: Any) -> Registration:
    """Decode a registration.

    Raises:
        KeyError: A field is missing.
        TypeError: A field is of another type.
        ValueError: A field has a value that is not known.
    """
    if entry["state"] not in STATES:
        raise ValueError(f"state {entry['state']!r}")
    for name in ("service", "address", "zone"):
        if not isinstance(entry[name], str):
            raise TypeError(f"{name} is {entry[name]!r}")
    host, _, port = entry["address"].rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {entry['address']!r}")
    born = entry.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise TypeError(f"born is {born!r}")
    slots = entry["slots"]
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        raise TypeError(f"slots is {slots!r}")
    card = entry.get("kind") or ""
    if not isinstance(card, str):
        raise TypeError(f"kind is {card!r}")
    return Registration(
        id=id,
        service=entry["service"],
        address=entry["address"],
        failure_domain=entry["zone"],
        started_ms=born,
        leaving=entry["state"] == "draining",
        slots=slots,
        card=card,
        layers=layers_of(entry.get("layers")),
    )


def layers_of(entry: Any) -> LayerRange | None:
    """Decode the layers that an endpoint holds; an empty range is None."""
    if not entry:
        return None
    first, last = int(entry["from"]), int(entry["target"])
    if last <= first:
        return None
    return LayerRange(first, last, int(entry.get("version") or 0))
