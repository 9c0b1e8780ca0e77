"""Wire types of the platform's services; docs/protocols.md describes them."""

from __future__ import annotations

from typing import Any, NamedTuple, TypedDict

import msgspec

from pistachioreach.errors import StoreUnavailable

__all__ = [
    "Check",
    "ReadBody",
    "Row",
    "TransactBody",
    "VmEntry",
    "Write",
    "decode_store",
]


class Row(TypedDict):
    """A row of the table service.

    Attributes:
        version: Rises with each write; 1 after the insert.
        value: JSON value.
    """

    version: int
    value: Any


class Check(NamedTuple):
    """A condition of a transaction.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        version: Version that the row must be at; 0 for a row that is absent.
    """

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """A write of a transaction.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        value: New JSON value, or None to delete the row.
    """

    table: str
    key: str
    value: Any


class TransactBody(TypedDict):
    """Body of a transaction: all writes take effect if all checks hold."""

    checks: list[Check]
    writes: list[Write]


class ReadBody(TypedDict):
    """Body of a read of one row."""

    table: str
    key: str


class VmEntry(TypedDict):
    """One VM of the platform's list.

    Attributes:
        name: Name of the VM.
        address: Address of the process on it, `ip:port`.
        failure_domain: Failure domain that it stands in.
        leaving: Whether the platform is taking it away.
    """

    name: str
    address: str
    failure_domain: str
    leaving: bool


def decode_store(raw: bytes, expected: Any) -> Any:
    """Decode an answer of the platform.

    Raises:
        StoreUnavailable: The answer is malformed; a write may have taken effect.
    """
    try:
        return msgspec.json.decode(raw, type=expected)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f"malformed answer: {error}") from error
