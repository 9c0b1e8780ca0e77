"""Wire types of the platform's services, described in docs/protocols.md."""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict

import msgspec

from pistachioreach.decoding import MALFORMED_JSON_ERRORS
from pistachioreach.errors import StoreUnavailable

__all__ = [
    "Check",
    "ReadBody",
    "Row",
    "TransactBody",
    "VmEntry",
    "Write",
    "decode_body",
]


class Row(TypedDict):
    """Row of the table service.

    Attributes:
        version: Version of the row: 1 after the insert, higher after each write.
        value: JSON value of the row.
    """

    version: int
    value: Any


class Check(NamedTuple):
    """Condition of a transaction on one row.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        version: Version that the row must have, or 0 if the row must not exist.
    """

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """Write of a transaction to one row.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        value: New JSON value, or None to delete the row.
    """

    table: str
    key: str
    value: Any


class TransactBody(TypedDict):
    """Request body of a transaction: all writes take effect, or none.

    Attributes:
        checks: Conditions that must all hold.
        writes: Writes to apply if they hold.
    """

    checks: list[Check]
    writes: list[Write]


class ReadBody(TypedDict):
    """Request body of a read of one row.

    Attributes:
        table: Table of the row.
        key: Key of the row.
    """

    table: str
    key: str


class VmEntry(TypedDict):
    """One VM of the platform's list.

    Attributes:
        name: Name of the VM.
        address: Address of the process on the VM, `ip:port`.
        failure_domain: Failure domain of the VM.
        leaving: Whether the platform is about to remove the VM.
    """

    name: str
    address: str
    failure_domain: str
    leaving: bool


def decode_body(raw: bytes, expected: Any) -> Any:
    """Decode the JSON body of a platform service's response.

    Args:
        raw: Body of the response.
        expected: Type of the decoded value.

    Raises:
        StoreUnavailable: The body is malformed; a write may have taken effect.
    """
    try:
        return msgspec.json.decode(raw, type=expected)
    except MALFORMED_JSON_ERRORS as error:
        raise StoreUnavailable(f"malformed answer: {error}") from error
