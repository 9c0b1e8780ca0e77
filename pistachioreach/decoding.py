"""Checks of numbers, addresses and JSON documents from outside the process."""

from __future__ import annotations

import ipaddress
from typing import Any

import msgspec

__all__ = [
    "INVALID_DOCUMENT_ERRORS",
    "LARGEST_ERA",
    "LARGEST_INTEGER",
    "LARGEST_VERSION",
    "MALFORMED_JSON_ERRORS",
    "check_integer",
    "check_number",
    "parse_decimal",
    "parse_integer",
    "split_address",
]

#: Largest integer in a header field or a document. Sums and products of two such
#: integers are within the range of a float.
LARGEST_INTEGER = 10**15
#: Largest version of a row of the store, which entries send to each other as a signed
#: integer of 64 bits.
LARGEST_VERSION = 2**63 - 1
#: Largest era of the store. Fencing tokens hold the era above 32 bits of a count, and
#: are at most LARGEST_INTEGER.
LARGEST_ERA = LARGEST_INTEGER >> 32
#: Highest TCP port.
HIGHEST_PORT = 65535
#: Exceptions of msgspec for bytes that are not JSON of the expected type. JSON that is
#: nested too deeply is a RecursionError.
MALFORMED_JSON_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
#: Exceptions by which decoders reject a document that holds values of any type.
INVALID_DOCUMENT_ERRORS = (
    *MALFORMED_JSON_ERRORS,
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


def check_integer(value: Any, least: int = 0, most: int = LARGEST_INTEGER) -> int:
    """Return an integer of a document.

    Args:
        value: Value in the document: an integer, which may have any number of digits,
            or a float without a fraction.
        least: Smallest valid value.
        most: Largest valid value.

    Raises:
        TypeError: The value is not an integer.
        ValueError: The value is out of range.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not an integer: {value!r:.40}")
    if not least <= value <= most:
        raise ValueError(f"not from {least} to {most}: {value!r:.40}")
    return value


def check_number(value: Any, least: float = 0.0) -> float:
    """Return a number of a document as a float.

    Args:
        value: Value in the document; an integer may have any number of digits.
        least: Smallest valid value; the largest one is LARGEST_INTEGER.

    Raises:
        TypeError: The value is not a number.
        ValueError: The value is out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {value!r:.40}")
    # The comparison is false for NaN.
    if not least <= value <= LARGEST_INTEGER:
        raise ValueError(f"not from {least} to {LARGEST_INTEGER}: {value!r:.40}")
    return float(value)


def parse_decimal(value: bytes | None) -> float | None:
    """Parse a non-negative decimal number, or return None if it is not one."""
    text = (value or b"").decode("latin-1").strip()
    whole, point, fraction = text.partition(".")
    digits = whole + fraction
    if not digits.isascii() or not digits.isdigit() or (point and not fraction):
        return None
    return min(float(LARGEST_INTEGER), float(f"{whole or '0'}.{fraction or '0'}"))


def parse_integer(value: bytes | str | None) -> int | None:
    """Parse a non-negative decimal integer, or return None if it is not one.

    A value above LARGEST_INTEGER, however many digits it has, counts as that.
    """
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    value = (value or "").strip()
    if not value.isascii() or not value.isdigit():
        return None
    digits = value.lstrip("0")
    if len(digits) >= len(str(LARGEST_INTEGER)):
        return LARGEST_INTEGER
    return int(digits or "0")


def split_address(text: str, least_port: int = 1) -> tuple[str, int]:
    """Split an address of the form `ip:port`.

    Args:
        text: The address.
        least_port: Smallest valid port; 0 lets a listener choose one.

    Returns:
        The IP address and the port.

    Raises:
        ValueError: The host is not an IP address, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if getattr(ipaddress.ip_address(host), "scope_id", None) is not None:
        # A zone may be any text, and names an interface of this VM only.
        raise ValueError(f"the IP address of {text!r:.80} has a zone")
    digits_fit = len(port) <= len(str(HIGHEST_PORT))
    if not (port.isascii() and port.isdigit() and digits_fit):
        raise ValueError(f"address must be ip:port, not {text!r:.80}")
    if not least_port <= int(port) <= HIGHEST_PORT:
        raise ValueError(f"the port of {text!r} is out of range")
    return host, int(port)
