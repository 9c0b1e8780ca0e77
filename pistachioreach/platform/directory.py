"""Decoder of the rows by which endpoints register themselves in the store."""

from __future__ import annotations

import ipaddress
from typing import Any

import msgspec
from loguru import logger

from pistachioreach.decoding import (
    INVALID_DOCUMENT_ERRORS,
    check_integer,
    split_address,
)
from pistachioreach.endpoints.directory import LayerRange, Registration

__all__ = ["decode_registration"]

#: Values of the field "state" that the router accepts.
STATES = ("ready", "draining")


def decode_registration(id: str, raw: bytes) -> Registration | None:
    """Decode one registration row; log and skip a row that is not valid.

    Args:
        id: Key of the row, which is the identifier of the endpoint.
        raw: Value of the row. Other programs write these rows, so the value may be
            arbitrary bytes.

    Returns:
        The registration, or None if the row does not hold a valid one.
    """
    try:
        document = msgspec.json.decode(raw)
        return parse_registration(id, document)
    except INVALID_DOCUMENT_ERRORS as error:
        logger.bind(endpoint=id, reason=repr(error)).warning(
            "cannot decode registration"
        )
        return None


def parse_registration(id: str, document: Any) -> Registration:
    """Validate and convert a parsed registration.

    Args:
        id: Identifier of the endpoint.
        document: JSON document of the row.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has the wrong type.
        ValueError: A field has an invalid value.
    """
    if document["state"] not in STATES:
        raise ValueError(f"unknown state {document['state']!r}")
    for name in ("service", "address", "zone"):
        if not isinstance(document[name], str):
            raise TypeError(f"{name} must be a string, not {document[name]!r}")
    check_identifier(id)
    check_address(document["address"])
    card = document.get("kind") or ""
    if not isinstance(card, str):
        raise TypeError(f"kind must be a string, not {card!r}")
    return Registration(
        id=id,
        service=document["service"],
        address=document["address"],
        failure_domain=document["zone"],
        started_ms=check_integer(document.get("born", 0)),
        leaving=document["state"] == "draining",
        slots=check_integer(document["slots"], least=1),
        card=card,
        layers=parse_layers(document.get("layers")),
    )


def check_identifier(id: str) -> None:
    """Check that an identifier can be the value of a header field.

    Raises:
        ValueError: The identifier has characters other than visible ASCII ones.
    """
    if not id.isascii() or not id.isprintable() or " " in id or not id:
        raise ValueError(f"not an identifier: {id!r}")


def check_address(address: str) -> None:
    """Check that an address is `ip:port` of one machine; endpoints have no host names.

    Raises:
        ValueError: The host is no IP address of a machine, or the port is out of range.
    """
    host, _ = split_address(address)
    ip = ipaddress.ip_address(host)
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"{address!r} is not the address of one machine")


def parse_layers(document: Any) -> LayerRange | None:
    """Convert the layer range that an endpoint holds; return None if it is empty."""
    if not document:
        return None
    first = check_integer(document["from"])
    last = check_integer(document["target"])
    if last <= first:
        return None
    return LayerRange(first, last, check_integer(document.get("version") or 0))
