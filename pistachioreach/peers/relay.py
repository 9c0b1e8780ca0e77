"""Relay messages, by which entries share their load and rows of the store."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import capnp

from pistachioreach.endpoints.health import QuarantineNotice
from pistachioreach.errors import FrameError
from pistachioreach.platform.store import StoredRow
from pistachioreach.routing.engine_load import EngineLoad

__all__ = [
    "RELAY",
    "RelayMessage",
    "Suspect",
    "TableProgress",
    "decode_relay",
    "encode_relay",
]

#: Kind of the frames that carry relay messages.
RELAY = "relay"

_schema = capnp.load(str(Path(__file__).with_name("relay.capnp")))


class Suspect(NamedTuple):
    """A request that was running on an endpoint when the endpoint died.

    Attributes:
        fingerprint: Fingerprint of the request; a repeated request has the same one,
            whoever sends it.
        death: Identifier of the endpoint's death, so that each death counts once.
    """

    fingerprint: str
    death: str


class TableProgress(NamedTuple):
    """How up to date an entry's copy of a table is.

    Attributes:
        version: Version up to which the copy is complete; -1 before the first read.
        age: Seconds since the store confirmed that version.
        changed: Version of the last change that is more than a heartbeat.
    """

    version: int
    age: float
    changed: int


class RelayMessage(NamedTuple):
    """One relay message; requests and replies have the same form.

    Attributes:
        loads: Load that the sender itself places on each engine, by engine.
        known: How up to date the sender's copy of each table is, by table.
        wants: Tables of which the sender requests the rows that it lacks.
        rows: Rows that the receiver requested and lacks, by table.
        suspects: Requests that were running on an endpoint when it died.
        follows: Whether the sender polls the store itself.
        unusable: Endpoints that other entries are to avoid too, by endpoint id.
    """

    loads: dict[str, EngineLoad]
    known: dict[str, TableProgress]
    wants: tuple[str, ...] = ()
    rows: dict[str, list[StoredRow]] = {}
    suspects: tuple[Suspect, ...] = ()
    follows: bool = False
    unusable: dict[str, QuarantineNotice] = {}


def encode_relay(message: RelayMessage) -> bytes:
    """Encode a relay message."""
    rows = [
        {
            "table": table,
            "key": row.key,
            "version": row.version,
            "removed": row.value is None,
            "value": row.value or b"",
        }
        for table, changed_rows in message.rows.items()
        for row in changed_rows
    ]
    return _schema.Relay.new_message(
        loads=[
            {"engine": engine, "streams": load.streams, "memory": load.memory}
            for engine, load in message.loads.items()
        ],
        known=[
            {"table": table, **known._asdict()}
            for table, known in message.known.items()
        ],
        wants=list(message.wants),
        rows=rows,
        suspects=[suspect._asdict() for suspect in message.suspects],
        follows=message.follows,
        unusable=[
            {"endpoint": endpoint, **notice._asdict()}
            for endpoint, notice in message.unusable.items()
        ],
    ).to_bytes_packed()


def decode_relay(raw: bytes) -> RelayMessage:
    """Decode a relay message.

    Raises:
        FrameError: The message is malformed.
    """
    try:
        message = _schema.Relay.from_bytes_packed(raw)
        rows: dict[str, list[StoredRow]] = {}
        for row in message.rows:
            value = None if row.removed else bytes(row.value)
            stored = StoredRow(str(row.key), row.version, value)
            rows.setdefault(str(row.table), []).append(stored)
        return RelayMessage(
            loads={
                str(load.engine): EngineLoad(load.streams, load.memory)
                for load in message.loads
            },
            known={
                str(known.table): TableProgress(known.version, known.age, known.changed)
                for known in message.known
            },
            wants=tuple(str(table) for table in message.wants),
            rows=rows,
            suspects=tuple(
                Suspect(str(item.fingerprint), str(item.death))
                for item in message.suspects
            ),
            follows=message.follows,
            unusable={
                str(item.endpoint): QuarantineNotice(
                    item.seconds, item.lost, str(item.registration)
                )
                for item in message.unusable
            },
        )
    except (capnp.KjException, ValueError) as error:
        raise FrameError(f"malformed relay message: {error}") from error
