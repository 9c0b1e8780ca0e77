"""Entries and their store in virtual time, with calls and processes disturbed."""

from __future__ import annotations

import random

import trio

from pistachioreach.clock import TrioClock
from pistachioreach.configuration.row import Member
from pistachioreach.endpoints.health import HealthTracker
from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.knowledge.follow import follow_table
from pistachioreach.knowledge.gossip import PeerGossip
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from pistachioreach.platform.store import RESPONSE_TIMEOUT_SECONDS
from pistachioreach.routing.engine_load import LoadTracker
from pistachioreach.routing.suspects import SuspectTracker
from tests.platform_builders import (
    TimedStore,
    configuration_document,
    registration_document,
)

__all__ = ["TimedCluster"]

#: Seconds for which a message to another entry, or its reply, is usually on its way.
TRANSIT_SECONDS = 0.002
#: Seconds between heartbeats, each of another endpoint.
HEARTBEAT_SECONDS = 0.15


class EntryStore:
    """Calls of one entry to the store, which can fail or be answered late.

    Args:
        store: The store.
        entry: The entry, whose process may be paused.
    """

    def __init__(self, store, entry):
        self.store = store
        self.entry = entry
        self.era = store.era
        self.call_count = 0
        # Reasons for which the next calls fail: "reset", "status" or "lost".
        self.failures = []
        # Whether all calls are refused.
        self.refused = False
        # Whether all answers are lost.
        self.cut = False
        # Seconds by which answers are late.
        self.delay = 0.0

    def begin_era(self, era):
        self.era = era

    async def call(self, function, timeout):
        await self.entry.resumed()
        self.call_count += 1
        start = trio.current_time()
        failure = self.failures.pop(0) if self.failures else ""
        if failure == "reset":
            raise StoreUnavailable("connection reset")
        if failure == "status" or self.refused:
            await trio.sleep(0.004)
            await self.entry.resumed()
            raise StoreUnavailable("status 429")
        answer = None
        with trio.move_on_at(start + timeout):
            answer = await function()
            await trio.sleep(self.delay)
            if failure == "lost" or self.cut:
                await trio.sleep_forever()
        await self.entry.resumed()
        # A process that resumes after the deadline finds its call cancelled.
        if answer is None or trio.current_time() >= start + timeout:
            raise StoreUnavailable("no answer")
        return answer

    async def read(self, table):
        return await self.call(lambda: self.store.read(table), RESPONSE_TIMEOUT_SECONDS)

    async def wait_for_changes(self, table, after, wait):
        return await self.call(
            lambda: self.store.wait_for_changes(table, after, wait),
            wait + RESPONSE_TIMEOUT_SECONDS,
        )


class TimedPeers:
    """Client for requests to the other entries, whose processes may be paused."""

    def __init__(self, cluster, entry):
        self.cluster = cluster
        self.entry = entry

    async def request(self, member, frame, timeout):
        start = trio.current_time()
        other = self.cluster.by_name[member.name]
        reply = None
        with trio.move_on_at(start + timeout):
            await trio.sleep(self.cluster.transit_seconds)
            await other.resumed()
            reply = await other.gossip.handle_frame(frame)
            await trio.sleep(self.cluster.transit_seconds)
        await self.entry.resumed()
        if reply is None or trio.current_time() >= start + timeout:
            raise ConnectionFailed(member.name, True, "no answer")
        return reply


class TimedEntry:
    """Entry that keeps copies of the store's tables and gossips."""

    def __init__(self, cluster, number):
        clock = TrioClock()
        self.name = f"e{number:02}"
        # Time until which the process gets no processor time.
        self.paused_until = 0.0
        # Whether the entry reads the store in place of the entries that do so for all.
        self.may_read_store = True
        self.store = EntryStore(cluster.store, self)
        self.view = PlatformView(clock, poll_schedules(2.0, 2.0))
        self.gossip = PeerGossip(
            own_member=cluster.member(number),
            incarnation="x",
            platform_view=self.view,
            load_tracker=LoadTracker(),
            suspect_tracker=SuspectTracker(clock),
            health_tracker=HealthTracker(clock),
            store=self.store,
            peers=TimedPeers(cluster, self),
            clock=clock,
            random=random.Random(number),
        )
        self.gossip.round_members = self.round_members

    @property
    def paused(self):
        return trio.current_time() < self.paused_until

    def round_members(self):
        return [] if self.paused else PeerGossip.round_members(self.gossip)

    async def resumed(self):
        """Wait until the process gets processor time."""
        while self.paused:
            await trio.sleep_until(self.paused_until)

    def pause(self, seconds):
        """Let the process get no processor time."""
        self.paused_until = trio.current_time() + seconds

    def must_poll_store(self, copy):
        if self.paused:
            return False
        must_poll = self.gossip.must_poll_store(copy)
        return must_poll and (self.may_read_store or not copy.loaded)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip.run)
            for copy in self.view.tables:
                nursery.start_soon(
                    follow_table,
                    self.store,
                    copy,
                    self.view.connectivity,
                    random.Random(1),
                    self.must_poll_store,
                )
            while True:
                await self.resumed()
                self.view.drop_expired()
                await trio.sleep(0.05)

    def gets_work(self, id):
        """Whether the endpoint may get requests, as far as it has stated."""
        endpoint = self.view.directory.endpoints.get(id)
        return endpoint is not None and not endpoint.leaving


class TimedCluster:
    """Store, endpoints with heartbeats, and entries that know each other.

    Args:
        nursery: Runs all of them.
        entry_count: Number of entries.
        endpoint_count: Number of endpoints.
        transit_seconds: Seconds for which a message to another entry, or its reply, is
            on its way.
    """

    def __init__(
        self, nursery, entry_count, endpoint_count, transit_seconds=TRANSIT_SECONDS
    ):
        self.nursery = nursery
        self.transit_seconds = transit_seconds
        self.store = TimedStore()
        self.store.put("op", "config", configuration_document())
        self.alive = [f"i-{number:02}" for number in range(endpoint_count)]
        self.heartbeats = 0
        self.entries = []
        self.by_name = {}
        for id in self.alive:
            self.store.put("servers", id, self.registration(id))
        self.nursery.start_soon(self.send_heartbeats)
        for number in range(entry_count):
            self.start_entry(number)

    def member(self, number):
        name = f"e{number:02}"
        return Member(name, f"127.0.0.1:{7000 + number}", "anta", "", 0.0)

    def registration(self, id, **fields):
        address = f"10.1.0.{int(id[2:])}:80"
        return registration_document(address=address, **fields)

    def start_entry(self, number):
        member = self.member(number)
        self.store.put("entries", member.name, member._asdict())
        entry = TimedEntry(self, number)
        self.entries.append(entry)
        self.by_name[entry.name] = entry
        self.nursery.start_soon(entry.run)
        return entry

    async def send_heartbeats(self):
        while True:
            await trio.sleep(HEARTBEAT_SECONDS)
            self.heartbeats += 1
            if not self.store.away:
                id = self.alive[self.heartbeats % len(self.alive)]
                beat = {"seq-no": self.heartbeats}
                self.store.put("servers", id, self.registration(id, **beat))

    def leave(self, id, how):
        """Let an endpoint leave by a report, or by the removal of its registration."""
        self.alive.remove(id)
        leaving = self.registration(id, state="draining")
        self.store.put("servers", id, None if how == "removed" else leaving)

    def refuse_all(self, refused):
        """Let the store refuse the calls of all entries, or answer them again."""
        for entry in self.entries:
            entry.store.refused = refused

    def using(self, id):
        """Return the names of the entries at which an endpoint may get requests."""
        return [entry.name for entry in self.entries if entry.gets_work(id)]
