"""Calls to the store after it came back from an older copy, by number of entries.

Run `python -m bench.restores [SIZES [AWAY]]`, where SIZES is a list of numbers of
entries such as `24,48,96,195` and AWAY the duration of the outage in seconds. The
entries run in one process, on a virtual clock and without sockets: each keeps its
copies of the tables, exchanges messages with the others and tries for the placement
lease. The store answers 503 while it is away and comes back from a copy that is some
seconds old. The processor time of the entries is not part of the result, since the
virtual clock stands still while they work.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qs

import msgspec
import trio
import trio.testing
from loguru import logger

from pistachioreach.clock import TrioClock
from pistachioreach.configuration.row import Member
from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.endpoints.health import HealthTracker
from pistachioreach.journal import Journal
from pistachioreach.knowledge.follow import follow_table
from pistachioreach.knowledge.gossip import PeerGossip
from pistachioreach.knowledge.platform import ENTRY_TABLE, PlatformView, poll_schedules
from pistachioreach.placement.lease import Lease
from pistachioreach.placement.placer import Placer
from pistachioreach.platform.standins.store import StandInStore
from pistachioreach.platform.store import ENDPOINT_TABLE, StoreClient
from pistachioreach.routing.engine_load import LoadTracker
from pistachioreach.routing.suspects import SuspectTracker
from tests.platform_builders import configuration_document, registration_document

if TYPE_CHECKING:
    from pistachioreach.peers.wire import Frame

__all__ = ["RestoreResult", "main", "measure"]

#: Numbers of entries that are measured by default.
SIZES = (24, 48, 96, 195)
#: Rates of calls that the store takes from all entries together.
READS_PER_SECOND, WRITES_PER_SECOND = 2000, 400
#: Number of rows in a page of the platform's store.
PAGE_ROWS = 500
#: Seconds after the store's return over which its calls are counted.
COUNT_SECONDS = 3.0
#: Seconds before the copy, from the copy to the outage, and of the outage.
START_SECONDS, COPY_AGE_SECONDS, AWAY_SECONDS = 5.0, 3.0, 1.0
#: Seconds until all entries must follow the new era.
FOLLOW_TIMEOUT_SECONDS = 20.0
#: Seconds that the store and another entry need for an answer.
STORE_SECONDS, PEER_SECONDS = 0.004, 0.002
#: Number of endpoints for each entry, and seconds between their heartbeats.
ENDPOINTS_PER_ENTRY, HEARTBEAT_SECONDS = 5, 2.0
#: Failure domains, among which the entries are distributed evenly.
DOMAIN_COUNT = 6


class StoreCall(NamedTuple):
    """One call to the store.

    Attributes:
        at: Time of the call in seconds.
        kind: "read", "feed" or "transact".
        table: Table that it reads or writes.
    """

    at: float
    kind: str
    table: str

    @property
    def is_write(self) -> bool:
        """Whether the call counts as a write."""
        return self.kind == "transact"


class RestoreResult(NamedTuple):
    """Calls and times of one restore.

    Attributes:
        entries: Number of entries.
        calls: Number of calls in COUNT_SECONDS from the store's return, by kind and
            table.
        away_calls: Number of calls while the store was away.
        peak_reads: Highest number of reads in any second from the start of the outage.
        peak_writes: The same for writes.
        followed: Seconds from the store's return until the last entry had all tables
            of the new era.
        registered: Seconds until the last entry's row was written again.
    """

    entries: int
    calls: Counter[tuple[str, str]]
    away_calls: int
    peak_reads: int
    peak_writes: int
    followed: float
    registered: float


class CountedConnections:
    """Connections of one entry to the store, without sockets, that record all calls.

    Args:
        store: The store.
        calls: List to which each call is added.
    """

    def __init__(self, store: StandInStore, calls: list[StoreCall]) -> None:
        #: The store.
        self.store = store
        #: All calls so far.
        self.calls = calls

    async def call(
        self, peer, address, method, target, body=b"", headers=()
    ) -> HttpResponse:
        """Record a call and return the response of the store."""
        path, _, query = target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        table = fields.get("table")
        if table is None:
            table = msgspec.json.decode(body)["writes"][0]["table"]
        handler = self.store.handler(path)
        self.calls.append(StoreCall(trio.current_time(), handler.__name__, table))
        await trio.sleep(STORE_SECONDS)
        status, document = self.store.faults.status, {}
        if not status:
            status, document = await handler(fields, body)
        era = {"store-era": str(self.store.era)}
        return HttpResponse(status, era, msgspec.json.encode(document))

    async def close_idle(self, address: str) -> None:
        """Do nothing, as there are no connections."""


class DirectPeers:
    """Requests to other entries of the same process.

    Args:
        entries: Entries by address.
    """

    def __init__(self, entries: dict[str, Entry]) -> None:
        #: Entries by address.
        self.entries = entries

    async def request(
        self, member: Member, frame: Frame, timeout: float | None = None
    ) -> Frame:
        """Return the reply of another entry."""
        await trio.sleep(PEER_SECONDS)
        return await self.entries[member.address].gossip.handle_frame(frame)


class Entry:
    """The parts of one entry that use the store.

    Args:
        member: Description of the entry.
        store: The store.
        calls: List to which each call to the store is added.
        entries: All entries by address.
    """

    def __init__(
        self,
        member: Member,
        store: StandInStore,
        calls: list[StoreCall],
        entries: dict[str, Entry],
    ) -> None:
        clock = TrioClock()
        #: Source of random choices.
        self.random = random.Random(member.name)
        connections = CountedConnections(store, calls)
        #: Client of the store.
        self.store = StoreClient(connections, "store", self.record_era)
        #: Copies of the tables.
        self.view = PlatformView(clock, poll_schedules(4.0, 4.0))
        #: Exchange of messages with the other entries.
        self.gossip = PeerGossip(
            own_member=member,
            incarnation="x",
            platform_view=self.view,
            load_tracker=LoadTracker(),
            suspect_tracker=SuspectTracker(clock),
            health_tracker=HealthTracker(clock),
            store=self.store,
            peers=DirectPeers(entries),
            clock=clock,
            random=self.random,
        )
        #: Placer, of which only the lease is in use.
        self.placer = Placer(
            knowledge=self.view,
            lease=Lease(member.name, self.store, clock),
            connections=connections,
            journal=Journal(clock),
            clock=clock,
            random=self.random,
            candidate=self.gossip.entries.polls_store,
        )

    def record_era(self, era: int, before: int) -> None:
        """Wake the placer at a new era, as the router does."""
        self.placer.request_renewal()

    def follows(self, era: int) -> bool:
        """Return whether all copies of this entry are of an era."""
        return all(copy.era == era for copy in self.view.tables)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self.placer.keep_lease)
            for copy in self.view.tables:
                nursery.start_soon(
                    follow_table,
                    self.store,
                    copy,
                    self.view.connectivity,
                    self.random,
                    self.gossip.must_poll_store,
                )
            while True:
                self.view.drop_expired()
                await trio.sleep(0.1)


def write_endpoint(store: StandInStore, number: int, heartbeat: int) -> None:
    """Write the row of one endpoint."""
    address = f"10.{number // 250}.{number % 250}.1:80"
    document = registration_document(address=address, **{"seq-no": heartbeat})
    store.put(ENDPOINT_TABLE, f"i-{number:05}", document)


async def send_heartbeats(store: StandInStore, count: int) -> None:
    """Write the rows of all endpoints in turn, while the store is there."""
    heartbeat = 0
    while True:
        heartbeat += 1
        for number in range(count):
            if not store.faults.status:
                write_endpoint(store, number, heartbeat)
            await trio.sleep(HEARTBEAT_SECONDS / count)


def peak(calls: list[StoreCall], is_write: bool) -> int:
    """Return the highest number of reads or writes in any second."""
    times = [call.at for call in calls if call.is_write == is_write]
    highest = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        highest = max(highest, last - first + 1)
    return highest


async def restore(count: int, away_seconds: float) -> RestoreResult:
    """Run entries over one restore of their store.

    Args:
        count: Number of entries.
        away_seconds: Duration of the outage before the store's return.

    Raises:
        trio.TooSlowError: Some entry did not follow the new era in time.
    """
    store = StandInStore()
    store.page_rows = PAGE_ROWS
    store.put("op", "config", configuration_document(version=7))
    calls: list[StoreCall] = []
    entries: dict[str, Entry] = {}
    for number in range(count):
        domain = f"domain-{number % DOMAIN_COUNT}"
        address = f"10.200.{number // 250}.{number % 250}:80"
        member = Member(f"entry-{number:03}", address, domain, "", 0.0)
        store.put(ENTRY_TABLE, member.name, member._asdict())
        entries[member.address] = Entry(member, store, calls, entries)
    for number in range(ENDPOINTS_PER_ENTRY * count):
        write_endpoint(store, number, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_heartbeats, store, ENDPOINTS_PER_ENTRY * count)
        for entry in entries.values():
            nursery.start_soon(entry.run)
        await trio.sleep(START_SECONDS)
        copy = store.copy()
        await trio.sleep(COPY_AGE_SECONDS)
        away_at = trio.current_time()
        store.faults.status = 503
        await trio.sleep(away_seconds)
        store.faults.status = 0
        store.restore(copy)
        back_at = trio.current_time()
        waiting = list(entries.values())
        with trio.fail_after(FOLLOW_TIMEOUT_SECONDS):
            while waiting:
                await trio.sleep(0.01)
                waiting = [entry for entry in waiting if not entry.follows(store.era)]
        followed = trio.current_time() - back_at
        await trio.sleep_until(max(back_at + COUNT_SECONDS, trio.current_time()))
        nursery.cancel_scope.cancel()
    late = [call for call in calls if call.at >= away_at]
    counted = [c for c in late if back_at <= c.at < back_at + COUNT_SECONDS]
    rewrites = [c.at for c in counted if c.is_write and c.table == ENTRY_TABLE]
    return RestoreResult(
        entries=count,
        calls=Counter((call.kind, call.table) for call in counted),
        away_calls=sum(call.at < back_at for call in late),
        peak_reads=peak(late, is_write=False),
        peak_writes=peak(late, is_write=True),
        followed=followed,
        registered=max(rewrites, default=back_at) - back_at,
    )


def measure(count: int, away_seconds: float = AWAY_SECONDS) -> RestoreResult:
    """Return the result of one restore.

    Args:
        count: Number of entries.
        away_seconds: Duration of the outage before the store's return.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(restore, count, away_seconds, clock=clock)


def main() -> int:
    """Print the results for all sizes.

    Returns:
        The exit status, which is 1 if a rate of calls exceeded that of the store.
    """
    logger.remove()
    sizes = [int(size) for size in sys.argv[1].split(",")] if sys.argv[1:] else SIZES
    away_seconds = float(sys.argv[2]) if sys.argv[2:] else AWAY_SECONDS
    exceeded = False
    for size in sizes:
        start = time.monotonic()
        result = measure(size, away_seconds)
        print(result._replace(calls=dict(sorted(result.calls.items()))))
        print(f"  {time.monotonic() - start:.0f} s of the machine's time", flush=True)
        exceeded |= result.peak_reads > READS_PER_SECOND
        exceeded |= result.peak_writes > WRITES_PER_SECOND
    return int(exceeded)


if __name__ == "__main__":
    raise SystemExit(main())
