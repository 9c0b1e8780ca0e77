"""What an entry knows of the platform, through outages of its store."""

import random
from datetime import timedelta

import pytest
import trio
from hypercorn.trio import serve

from pistachioreach.clock import TrioClock
from pistachioreach.configuration.row import Member
from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.health import HealthTracker
from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.knowledge.follow import follow_table
from pistachioreach.knowledge.gossip import PeerGossip
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from pistachioreach.knowledge.table import TableCopy
from pistachioreach.peers.connection import TcpPeerClient, serve_peer
from pistachioreach.placement.lease import LEASE_SECONDS, Lease, PendingLoad
from pistachioreach.platform.standins.store import StandInStore
from pistachioreach.platform.store import (
    ENDPOINT_TABLE,
    Snapshot,
    StoreClient,
    StoredRow,
    StoreWrite,
)
from pistachioreach.routing.engine_load import EngineLoad, LoadTracker
from pistachioreach.routing.suspects import SuspectTracker
from pistachioreach.server import bind, port_of, server_config
from pistachioreach.settings import Address
from tests.platform_builders import configuration_document, registration_document

KEY = (b"key-of-the-tests",)


class World:
    """A store on loopback and entries that follow it."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = StandInStore()
        self.entries = []

    async def start(self):
        listener = bind(Address("127.0.0.1", 0))
        self.port = port_of(listener)
        config = server_config(listener, timedelta(0), 15.0)
        self.nursery.start_soon(serve, self.store, config)
        self.store.put("op", "config", configuration_document(version=7))
        for number in range(60):
            id = f"i-{number:02}"
            address = f"10.1.0.{number}:80"
            self.store.put("servers", id, registration_document(address=address))
        return self

    def client(self):
        return StoreClient(Connections(), f"127.0.0.1:{self.port}")

    async def entry(self, name, seeds=()):
        entry = Follower(name, self.client())
        self.entries.append(entry)
        listener = bind(Address("127.0.0.1", 0))
        address = f"127.0.0.1:{port_of(listener)}"
        entry.neighbours = PeerGossip(
            own_member=Member(name, address, "anta", "x", 0.0),
            platform_view=entry.knowledge,
            ledger=entry.ledger,
            suspicion=entry.suspicion,
            health=entry.health,
            store=entry.store,
            peers=TcpPeerClient(KEY),
            clock=entry.clock,
            random=random.Random(name),
            seeds=seeds,
        )

        async def answer(stream):
            await serve_peer(stream, KEY, entry.neighbours.handle_frame)

        async def serve():
            socket = trio.socket.from_stdlib_socket(listener)
            await trio.serve_listeners(answer, [trio.SocketListener(socket)])

        entry.serve = serve
        self.nursery.start_soon(entry.run)
        return entry


class Follower:
    """An entry that only follows the store."""

    def __init__(self, name, store):
        self.clock = TrioClock()
        self.store = store
        self.knowledge = PlatformView(self.clock, poll_schedules(2.0, 2.0))
        self.ledger = LoadTracker()
        self.suspicion = SuspectTracker(self.clock)
        self.health = HealthTracker(self.clock)
        self.scope = trio.CancelScope()

    def stop(self):
        """Stop as a killed process does: nothing is told to anybody."""
        self.scope.cancel()

    async def run(self):
        with self.scope:
            await self.follow()

    async def follow(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.neighbours.run)
            nursery.start_soon(self.serve)
            for copy in self.knowledge.tables:
                nursery.start_soon(
                    follow_table,
                    self.store,
                    copy,
                    self.knowledge.connectivity,
                    random.Random(1),
                    self.neighbours.must_poll_store,
                )
            while True:
                self.knowledge.drop_expired()
                await trio.sleep(0.02)

    @property
    def version(self):
        return self.knowledge.routes and self.knowledge.routes.version

    @property
    def endpoints(self):
        return set(self.knowledge.directory.endpoints)


async def until(condition, seconds=2.0):
    """Wait for a condition; fail if it takes longer than it may."""
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.01)


@pytest.fixture
async def world(nursery):
    return await World(nursery).start()


async def test_pages_changes_and_removals(world):
    entry = await world.entry("e1")
    await until(lambda: entry.version == 7 and len(entry.endpoints) == 60)
    world.store.put("servers", "i-05", None)
    world.store.put("servers", "i-06", registration_document(state="draining"))
    world.store.put("servers", "i-07", b"\xff")
    world.store.put("op", "config", configuration_document(version=9))
    await until(lambda: entry.version == 9 and len(entry.endpoints) == 58)
    assert entry.knowledge.directory.endpoints["i-06"].registration.leaving


async def test_an_older_or_unreadable_configuration_changes_nothing(world):
    entry = await world.entry("e1")
    await until(lambda: entry.version == 7)
    world.store.put("op", "config", configuration_document(version=5))
    world.store.put("op", "config", {"version": 11})
    await trio.sleep(0.3)
    assert entry.version == 7


async def test_a_forgotten_history_is_read_in_full(world):
    entry = await world.entry("e1")
    await until(lambda: len(entry.endpoints) == 60)
    entry.knowledge.endpoint_rows.version -= 3
    world.store.put("servers", "i-09", None)
    world.store.drop_history()
    await until(lambda: "i-09" not in entry.endpoints)


async def test_a_late_full_read_takes_nothing_back():
    changes = []
    copy = TableCopy("servers", changes.append)
    copy.apply_snapshot(Snapshot((StoredRow("a", 4, b"new"),), 6, 0.0))
    copy.apply_snapshot(Snapshot((StoredRow("a", 2, b"old"),), 3, 0.0))
    assert copy.rows["a"].value == b"new"
    assert copy.version == 6


@pytest.mark.parametrize("fault", ["silent", "status"])
async def test_an_entry_that_the_store_turns_away_learns_from_the_others(world, fault):
    served, cut = await world.entry("e1"), await world.entry("e2")
    await until(lambda: served.version == cut.version == 7)
    await until(lambda: served.neighbours.members and cut.neighbours.members)
    other = StandInStore()
    other.faults.silent = fault == "silent"
    other.faults.status = 503 if fault == "status" else 0
    listener = bind(Address("127.0.0.1", 0))
    port = port_of(listener)
    config = server_config(listener, timedelta(0), 15.0)
    world.nursery.start_soon(serve, other, config)
    cut.store.address = f"127.0.0.1:{port}"
    await cut.store.connections.close()
    # A key is taken away and an endpoint leaves at the same moment.
    world.store.put("op", "config", configuration_document(version=8))
    world.store.put("servers", "i-05", registration_document(state="draining"))
    world.store.put("servers", "i-06", None)
    await until(lambda: cut.version == 8 and "i-06" not in cut.endpoints, 2.0)
    assert cut.knowledge.directory.endpoints["i-05"].registration.leaving


async def test_entries_that_lapsed_with_the_store_may_come_back(world):
    entry = await world.entry("e1")
    await until(lambda: len(entry.endpoints) == 60)
    world.store.faults.status = 503
    await until(lambda: entry.knowledge.connectivity.lost, 4.0)
    for id in ("i-01", "i-02"):
        world.store.put("servers", id, None)
    world.store.faults.status = 0
    await until(lambda: not entry.knowledge.connectivity.lost)
    back = trio.current_time()
    await trio.sleep(1.0)
    assert {"i-01", "i-02"} <= entry.endpoints
    world.store.put("servers", "i-01", registration_document(address="10.1.0.1:80"))
    await until(lambda: "i-02" not in entry.endpoints, 3.0)
    assert 1.5 < trio.current_time() - back < 3.5
    assert "i-01" in entry.endpoints


async def test_the_others_work_and_suspects_are_told(world):
    first, second = await world.entry("e1"), await world.entry("e2")
    first.ledger.own["i-01"] = EngineLoad(2, 3000.0)
    first.suspicion.record_death("poison", "death-1")
    await until(lambda: second.ledger.load("i-01") == (2, 3000.0), 3.0)
    await until(lambda: second.suspicion.death_count("poison") == 1, 3.0)
    assert second.neighbours.live_count() == 2


async def test_a_lost_answer_leaves_a_write_in_doubt_and_a_conflict_does_not(world):
    client = world.client()
    world.store.faults.lost_writes = 1
    write = StoreWrite("notes", "k", 0, b"1")
    with pytest.raises(StoreUnavailable):
        await client.write([write])
    assert (await client.read("notes")).rows[0].value == b"1"
    with pytest.raises(StoreConflict):
        await client.write([write])
    assert world.store.calls["/rows-tx"] == 2


async def test_one_entry_holds_the_lease_and_the_next_has_a_higher_fence(world):
    clock = TrioClock()
    first = Lease("e1", world.client(), clock)
    second = Lease("e2", world.client(), clock)
    assert await first.renew()
    assert not await second.renew()
    assert await first.renew()
    # The first one's renewal is done, but its answer is lost.
    world.store.faults.lost_writes = 1
    assert await first.renew()
    assert not await second.renew()
    fence = first.fence
    assert await first.renew()
    assert first.fence > fence
    assert 0 < second.renewal_delay() <= LEASE_SECONDS
    await trio.sleep(LEASE_SECONDS + 0.1)
    assert not first.held()
    assert await second.renew()
    # Released, it can be taken at once.
    await second.release()
    assert not second.held()
    assert await first.renew()
    await first.release()
    assert await second.renew()
    assert second.fence > first.fence
    assert not await first.renew()


async def test_the_endpoint_table_is_the_endpoints(world):
    with pytest.raises(StoreUnavailable, match="403"):
        await world.client().write([StoreWrite(ENDPOINT_TABLE, "i-01", None, b"x")])


async def test_one_entry_of_a_domain_asks_for_the_others(world):
    entries = [await world.entry(f"e{number}") for number in range(4)]
    await until(lambda: all(len(e.neighbours.last_heard) == 3 for e in entries), 4.0)
    await trio.sleep(0.5)
    before = [entry.store.call_count for entry in entries]
    await trio.sleep(2.0)
    calls = [e.store.call_count - b for e, b in zip(entries, before, strict=True)]
    assert calls[0] > 3
    # One read of the entries' own table may fall into that time.
    assert max(calls[1:]) <= 1
    world.store.put("op", "config", configuration_document(version=8))
    world.store.put("servers", "i-05", registration_document(state="draining"))
    await until(lambda: all(entry.version == 8 for entry in entries), 1.5)
    await until(
        lambda: all(
            entry.knowledge.directory.endpoints["i-05"].registration.leaving
            for entry in entries
        ),
        1.5,
    )


async def test_heartbeats_are_not_relayed(world):
    first, second = await world.entry("e1"), await world.entry("e2")
    await until(
        lambda: second.neighbours.last_heard and len(second.endpoints) == 60, 4.0
    )
    await trio.sleep(1.0)
    version = first.knowledge.endpoint_rows.version
    world.store.put(
        "servers", "i-05", registration_document(address="10.1.0.5:80") | {"seq-no": 5}
    )
    await until(lambda: second.knowledge.endpoint_rows.version > version, 2.0)
    assert first.knowledge.endpoint_rows.changes_since(version) == []


async def test_the_others_ask_when_the_one_that_asks_is_gone(world):
    entries = [await world.entry(f"e{number}") for number in range(3)]
    await until(lambda: all(len(e.neighbours.last_heard) == 2 for e in entries), 4.0)
    await trio.sleep(1.0)
    entries[0].stop()
    world.store.put("op", "config", configuration_document(version=8))
    await until(lambda: all(entry.version == 8 for entry in entries[1:]), 2.0)


async def test_an_engine_that_one_entry_cannot_reach_is_avoided_by_all(world):
    first, second = await world.entry("e1"), await world.entry("e2")
    await until(lambda: len(first.endpoints) == len(second.endpoints) == 60, 4.0)
    await until(
        lambda: first.neighbours.last_heard and second.neighbours.last_heard, 4.0
    )
    first.health.mark_unusable(first.knowledge.directory.endpoints["i-05"], "refused")
    other = second.knowledge.directory.endpoints["i-05"]
    await until(lambda: not other.usable(second.clock.monotonic()), 1.5)
    # It is tried again as soon as its entry changes.
    changed = registration_document(address="10.1.0.5:80", slots=8)
    world.store.put("servers", "i-05", changed)
    await until(lambda: other.usable(second.clock.monotonic()), 3.0)


async def test_an_entry_that_starts_while_the_store_is_away_asks_its_seeds(world):
    first = await world.entry("entry-1")
    await until(lambda: first.knowledge.routes is not None)
    await until(lambda: first.knowledge.endpoint_rows.loaded)
    world.store.faults.status = 503
    address = first.neighbours.own_member.address
    second = await world.entry("entry-2", seeds=("127.0.0.1:9", address))
    await until(lambda: second.knowledge.routes is not None)
    assert second.knowledge.routes.version == 7
    await until(lambda: len(second.knowledge.directory.endpoints) == 60)


async def test_the_orders_under_way_pass_with_the_lease(world):
    clock = TrioClock()
    first = Lease("e1", world.client(), clock)
    second = Lease("e2", world.client(), clock)
    await first.renew()
    until = clock.monotonic() + 20.0
    first.pending_loads["i-1"] = PendingLoad(0, 24, until, 7, 1)
    await first.renew()
    await trio.sleep(LEASE_SECONDS + 0.5)
    assert await second.renew()
    passed = second.pending_loads["i-1"]
    assert passed._replace(until=0.0) == (0, 24, 0.0, 7, 1)
    assert abs(passed.until - until) < 0.1
