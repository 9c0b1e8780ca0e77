"""Relay messages, by which entries share their load and rows of the store."""

from __future__ import annotations

import itertools
import math
import zlib
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import capnp

from pistachioreach.decoding import LARGEST_ERA
from pistachioreach.endpoints.health import QuarantineNotice
from pistachioreach.errors import FrameError
from pistachioreach.peers.wire import MAX_FRAME_BYTES
from pistachioreach.platform.store import UNKNOWN_ERA, Position, StoredRow
from pistachioreach.routing.demand import (
    MAX_AMOUNT,
    MAX_REPORTED_CLASSES,
    MAX_REPORTED_DOMAINS,
    MAX_REPORTED_WORKSPACES,
    NO_DEMAND,
    OTHER_NAMES,
    DemandReport,
    Usage,
    WorkspaceUsage,
    quantize,
)
from pistachioreach.routing.engine_load import EngineLoad, LoadReport
from pistachioreach.routing.rate_limits import LimitNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

__all__ = [
    "NO_CONFIGURATION",
    "NO_OUTAGE",
    "RELAY",
    "UNKNOWN_PROGRESS",
    "RelayMessage",
    "Suspect",
    "TableProgress",
    "decode_relay",
    "encode_relay",
]

#: Kind of the frames that carry relay messages.
RELAY = "relay"
#: Size in bytes from which on a message is compressed. Configurations and
#: registrations shrink to a tenth; load reports are smaller and hardly shrink.
MIN_COMPRESSED_BYTES = 8192
#: Compression level of zlib; higher ones take longer than the link that they spare.
COMPRESSION_LEVEL = 1
#: In place of the limit of an endpoint that states none any more.
NO_LIMIT = -1.0
#: First byte of a message, which tells whether the rest is compressed.
PLAIN, COMPRESSED = b"\0", b"\1"

#: Highest value of the columns of type UInt32.
MAX_COUNT = 2**32 - 1

#: In place of the version up to which rows may be missing because of an outage.
NO_OUTAGE = -1

_schema = capnp.load(str(Path(__file__).with_name("relay.capnp")))


class Suspect(NamedTuple):
    """A request, or part of a prompt, that ran on an endpoint that died.

    Attributes:
        fingerprint: Fingerprint of the request or part; a repeated request has the same
            one, whoever sends it.
        death: Identifier of the endpoint's death, so that each death counts once; empty
            for a part that was sound lately.
    """

    fingerprint: str
    death: str


class TableProgress(NamedTuple):
    """How up to date an entry's copy of a table is.

    Attributes:
        version: Version up to which the copy is complete; -1 before the first read.
        age: Seconds since the store confirmed that version.
        changed: Version of the last change that is more than a heartbeat.
        era: Era of the store to which the versions belong, or UNKNOWN_ERA.
        sound: Whether rows that the entry lacks are missing for no outage of the store.
        outage: Version up to which rows may be missing because of an outage of the
            store that has not ended, or only lately; NO_OUTAGE if the entry knows of
            none, as after its start.
    """

    version: int
    age: float
    changed: int
    era: int = UNKNOWN_ERA
    sound: bool = False
    outage: int = NO_OUTAGE

    @property
    def significant_position(self) -> Position:
        """Point of the last change that is more than a heartbeat."""
        return Position(self.era, self.changed)

    @property
    def outage_end(self) -> Position:
        """Point up to which rows may be missing because of an outage of the store."""
        return Position(self.era, self.outage)


#: In place of the version of the configuration in force if there is none.
NO_CONFIGURATION = -1
#: Progress of an entry that did not report on a table.
UNKNOWN_PROGRESS = TableProgress(-1, float("inf"), -1)


class RelayMessage(NamedTuple):
    """One relay message; requests and replies have the same form.

    Attributes:
        loads: Load of the engines: of the sender and the entries that report to it, or
            in the reply to an entry that reports to the sender, of all entries. None
            if the message carries no load.
        known: How up to date the sender's copy of each table is, by table.
        wants: Tables of which the sender requests the rows that it lacks.
        rows: Rows that the receiver requested and lacks, by table.
        suspects: Requests that were running on an endpoint when it died.
        refused: Whether the store refuses the sender.
        unusable: Endpoints that other entries are to avoid too, by endpoint id.
        child: Whether the sender reports to the receiver.
        collectors: Names of the collectors of the sender's failure domain.
        limits: Limits that endpoints have stated lately.
        leaving: Runs of endpoints that have stated in a response that they are leaving.
        configuration: Operator's version of the configuration in force, or
            NO_CONFIGURATION.
    """

    loads: LoadReport | None
    known: dict[str, TableProgress]
    wants: tuple[str, ...] = ()
    rows: dict[str, list[StoredRow]] = {}
    suspects: tuple[Suspect, ...] = ()
    refused: bool = False
    unusable: dict[str, QuarantineNotice] = {}
    child: bool = False
    collectors: tuple[str, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    leaving: tuple[str, ...] = ()
    configuration: int = NO_CONFIGURATION


def encode_relay(message: RelayMessage) -> bytes:
    """Encode a relay message; a large one is compressed."""
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
    raw = _schema.Relay.new_message(
        loads=encode_loads(message.loads),
        known=[
            {"table": table, **known._asdict()}
            for table, known in message.known.items()
        ],
        wants=list(message.wants),
        rows=rows,
        suspects=[suspect._asdict() for suspect in message.suspects],
        refused=message.refused,
        unusable=[
            {"endpoint": endpoint, **notice._asdict()}
            for endpoint, notice in message.unusable.items()
        ],
        child=message.child,
        collectors=list(message.collectors),
        limits=[
            {
                "run": notice.run,
                "perSecond": (
                    NO_LIMIT if notice.per_second is None else notice.per_second
                ),
                "age": notice.age,
            }
            for notice in message.limits
        ],
        leaving=list(message.leaving),
        configuration=message.configuration,
    ).to_bytes_packed()
    if len(raw) < MIN_COMPRESSED_BYTES:
        return PLAIN + raw
    return COMPRESSED + zlib.compress(raw, COMPRESSION_LEVEL)


def encode_loads(report: LoadReport | None) -> dict:
    """Return the fields of a load report, with numbers limited to their range."""
    if report is None:
        return {"entries": 0}
    return {
        "entries": min(MAX_COUNT, report.entries),
        "engines": "\n".join(report.loads),
        "streams": [min(MAX_COUNT, load.streams) for load in report.loads.values()],
        "memory": limit_amounts(load.memory for load in report.loads.values()),
        "demand": encode_demand(report.demand),
    }


def encode_demand(report: DemandReport) -> dict:
    """Return the fields of a demand report, with amounts limited to their range."""
    return {
        "priorities": list(report.running),
        "runningStreams": [
            min(MAX_COUNT, usage.streams) for usage in report.running.values()
        ],
        "runningTokens": limit_amounts(
            usage.tokens for usage in report.running.values()
        ),
        "tiers": list(report.waiting),
        "waitingStreams": [
            min(MAX_COUNT, usage.streams) for usage in report.waiting.values()
        ],
        "waitingTokens": limit_amounts(
            usage.tokens for usage in report.waiting.values()
        ),
        "workspaces": "\n".join(report.workspaces),
        "workspaceRunning": limit_amounts(
            usage.running for usage in report.workspaces.values()
        ),
        "workspaceWaiting": limit_amounts(
            usage.waiting for usage in report.workspaces.values()
        ),
        "domains": "\n".join(report.arrivals),
        "arrivals": limit_amounts(report.arrivals.values()),
        "transfers": min(MAX_AMOUNT, report.transfers),
    }


def limit_amounts(amounts: Iterable[float]) -> list[float]:
    """Return amounts, each at most `MAX_AMOUNT`."""
    return [min(MAX_AMOUNT, amount) for amount in amounts]


def decode_loads(loads) -> LoadReport | None:
    """Return the load report of a decoded message, or None if it has none.

    Raises:
        ValueError: The columns are not of the same length, the memory of an engine is
            no amount, or the demand is malformed.
    """
    if not loads.entries:
        return None
    engines = str(loads.engines).split("\n") if loads.engines else []
    columns = zip(engines, loads.streams, loads.memory, strict=True)
    return LoadReport(
        loads.entries,
        {
            engine: EngineLoad(streams, check_memory(memory))
            for engine, streams, memory in columns
        },
        decode_demand(loads.demand),
    )


def check_memory(memory: float) -> float:
    """Return the memory of an engine's streams, at most `MAX_AMOUNT`.

    Raises:
        ValueError: The memory is not a number, negative or infinite.
    """
    if not 0 <= memory < math.inf:
        raise ValueError(f"a memory of {memory} is out of range")
    return min(MAX_AMOUNT, memory)


def decode_demand(demand) -> DemandReport:
    """Return the demand report of a decoded message, `NO_DEMAND` if it has none.

    Raises:
        ValueError: The columns are not of the same length, too long or repeat a name,
            or an amount is out of range.
    """
    report = DemandReport(
        decode_usages(demand.priorities, demand.runningStreams, demand.runningTokens),
        decode_usages(demand.tiers, demand.waitingStreams, demand.waitingTokens),
        read_columns(
            split_names(demand.workspaces, len(demand.workspaceRunning)),
            make_pairs(
                WorkspaceUsage,
                check_amounts(demand.workspaceRunning),
                check_amounts(demand.workspaceWaiting),
            ),
            MAX_REPORTED_WORKSPACES,
        ),
        read_columns(
            split_names(demand.domains, len(demand.arrivals)),
            check_amounts(demand.arrivals),
            MAX_REPORTED_DOMAINS,
        ),
        check_amount(demand.transfers),
    )
    return NO_DEMAND if report == NO_DEMAND else report


def decode_usages(classes, streams, tokens) -> dict[int, Usage]:
    """Return the usage by priority or tier."""
    usages = make_pairs(Usage, streams, check_amounts(tokens))
    return read_columns(classes, usages, MAX_REPORTED_CLASSES)


def make_pairs(make: Callable, first: Iterable, second: Iterable) -> Iterator:
    """Return objects of the values of two columns, which must be equally long."""
    return itertools.starmap(make, zip(first, second, strict=True))


def read_columns(keys: Iterable, values: Iterable, max_keys: int) -> dict:
    """Return the values of a column by the keys of another.

    Raises:
        ValueError: The columns differ in length, repeat a key or have too many.
    """
    pairs = list(zip(keys, values, strict=True))
    column = dict(pairs)
    if len(column) < len(pairs):
        raise ValueError("a column of the demand repeats a key")
    if len(column) - (OTHER_NAMES in column) > max_keys:
        raise ValueError(f"a column of the demand has over {max_keys} keys")
    return column


def split_names(text: str, count: int) -> list[str]:
    """Return the names of a column of some length; one name may be empty."""
    return text.split("\n") if text or count else []


def check_amounts(amounts: Iterable[float]) -> list[float]:
    """Return the amounts of a column as whole numbers."""
    return [check_amount(amount) for amount in amounts]


def check_amount(amount: float) -> float:
    """Return an amount as a whole number.

    Raises:
        ValueError: The amount is not a number, negative or too large.
    """
    if not 0 <= amount <= MAX_AMOUNT:
        raise ValueError(f"an amount of {amount} is out of range")
    return quantize(amount)


def decompress(raw: bytes) -> bytes:
    """Undo the compression of a message.

    Raises:
        ValueError: The message is too large or has an unknown form.
        zlib.error: The message is not validly compressed.
    """
    form, body = raw[:1], raw[1:]
    if form == PLAIN:
        return body
    if form != COMPRESSED:
        raise ValueError(f"unknown form {form!r}")
    decompressor = zlib.decompressobj()
    message = decompressor.decompress(body, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise ValueError(f"incomplete, or over {MAX_FRAME_BYTES} bytes")
    return message


def decode_progress(known) -> TableProgress:
    """Return how up to date the sender's copy of a table is.

    Raises:
        ValueError: The era is out of range.
    """
    if known.era > LARGEST_ERA:
        raise ValueError(f"an era of {known.era} is out of range")
    era = max(UNKNOWN_ERA, known.era)
    return TableProgress(
        known.version, known.age, known.changed, era, known.sound, known.outage
    )


def decode_relay(raw: bytes) -> RelayMessage:
    """Decode a relay message.

    Raises:
        FrameError: The message is malformed.
    """
    try:
        message = _schema.Relay.from_bytes_packed(decompress(raw))
        rows: dict[str, list[StoredRow]] = {}
        for row in message.rows:
            value = None if row.removed else bytes(row.value)
            stored = StoredRow(str(row.key), row.version, value)
            rows.setdefault(str(row.table), []).append(stored)
        return RelayMessage(
            loads=decode_loads(message.loads),
            known={str(known.table): decode_progress(known) for known in message.known},
            wants=tuple(str(table) for table in message.wants),
            rows=rows,
            suspects=tuple(
                Suspect(str(item.fingerprint), str(item.death))
                for item in message.suspects
            ),
            refused=message.refused,
            unusable={
                str(item.endpoint): QuarantineNotice(
                    item.seconds, item.lost, str(item.registration)
                )
                for item in message.unusable
            },
            child=message.child,
            collectors=tuple(str(name) for name in message.collectors),
            limits=tuple(
                LimitNotice(
                    str(item.run),
                    None if item.perSecond < 0 else item.perSecond,
                    item.age,
                )
                for item in message.limits
            ),
            leaving=tuple(str(run) for run in message.leaving),
            configuration=message.configuration,
        )
    except (capnp.KjException, ValueError, zlib.error) as error:
        raise FrameError(f"malformed relay message: {error}") from error
