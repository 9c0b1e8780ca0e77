"""What entries tell each other of their work and of the store, and its codec."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import capnp

from pistachioreach.endpoints.health import QuarantineNotice
from pistachioreach.errors import FrameError
from pistachioreach.platform.store import StoredRow
from pistachioreach.routing.engine_load import EngineLoad

__all__ = ["RELAY", "Known", "RelayMessage", "Suspect", "decode_relay", "encode_relay"]

#: Kind of the frames that carry these messages.
RELAY = "relay"

_schema = capnp.load(str(Path(__file__).with_name("relay.capnp")))


class Suspect(NamedTuple):
    """A request that was running when an endpoint died.

    Attributes:
        fingerprint: Names the request, whoever sends it again.
        death: Names the death, so that it counts once.
    """

    fingerprint: str
    death: str


class Known(NamedTuple):
    """How much of a table an entry knows.

    Attributes:
        version: Version up to which it knows the table.
        age: Seconds since the store said so.
        changed: Version of the last change that is more than a heartbeat.
    """

    version: int
    age: float
    changed: int


class RelayMessage(NamedTuple):
    """One message, as a question or as an answer.

    Attributes:
        loads: The sender's own work by engine.
        known: How much of each table the sender knows.
        wants: Tables of which the sender asks for the rows that it lacks.
        rows: Rows that the other lacks, by table.
        suspects: Requests that were running when endpoints died.
        follows: Whether the sender asks the store itself.
        unusable: Endpoints that the sender avoids.
    """

    loads: dict[str, EngineLoad]
    known: dict[str, Known]
    wants: tuple[str, ...] = ()
    rows: dict[str, list[StoredRow]] = {}
    suspects: tuple[Suspect, ...] = ()
    follows: bool = False
    unusable: dict[str, QuarantineNotice] = {}


def encode_relay(message: RelayMessage) -> bytes:
    """Return a message as bytes."""
    rows = [
        {
            "table": table,
            "key": row.key,
            "version": row.version,
            "removed": row.value is None,
            "value": row.value or b"",
        }
        for table, some in message.rows.items()
        for row in some
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
            {"endpoint": endpoint, **blame._asdict()}
            for endpoint, blame in message.unusable.items()
        ],
    ).to_bytes_packed()


def decode_relay(raw: bytes) -> RelayMessage:
    """Return the message that some bytes hold.

    Raises:
        FrameError: They hold none.
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
                str(known.table): Known(known.version, known.age, known.changed)
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
                str(item.endpoint): QuarantineNotice(item.seconds, item.lost)
                for item in message.unusable
            },
        )
    except (capnp.KjException, ValueError) as error:
        raise FrameError(f"malformed relay message: {error}") from error
