"""Entries that follow one store in virtual time, without a network."""

from __future__ import annotations

import random

import trio

from pistachioreach.clock import TrioClock
from pistachioreach.configuration.row import Member
from pistachioreach.endpoints.health import HealthTracker
from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.knowledge.follow import follow_table
from pistachioreach.knowledge.gossip import PeerGossip
from pistachioreach.knowledge.platform import ENTRY_TABLE, PlatformView, poll_schedules
from pistachioreach.peers.connection import RESPONSE_TIMEOUT_SECONDS
from pistachioreach.platform.store import ENDPOINT_TABLE
from pistachioreach.routing.engine_load import LoadTracker
from pistachioreach.routing.suspects import SuspectTracker
from tests.platform_builders import (
    TimedStore,
    configuration_document,
    registration_document,
)

#: Seconds between two heartbeats of an endpoint, which are changes of its row.
HEARTBEAT_SECONDS = 1.2
#: Seconds within which the store answers a call that it gets.
STORE_TIMEOUT_SECONDS = 1.0


class EntryStore:
    """One entry's client of the store, whose answers are lost while it is cut off."""

    def __init__(self, store):
        self.store = store
        self.era = store.era
        self.cut = False

    async def answer_or_fail(self, seconds, call, *args):
        if not self.cut:
            answer = await call(*args)
            if not self.cut:
                return answer
        await trio.sleep(seconds)
        raise StoreUnavailable("no answer")

    async def read(self, table):
        return await self.answer_or_fail(STORE_TIMEOUT_SECONDS, self.store.read, table)

    async def wait_for_changes(self, table, after, wait):
        return await self.answer_or_fail(
            wait + STORE_TIMEOUT_SECONDS,
            self.store.wait_for_changes,
            table,
            after,
            wait,
        )


class DelayedPeers:
    """Client for requests to other entries, whose messages take some time each way."""

    def __init__(self, cluster):
        self.cluster = cluster

    async def request(self, member, frame, timeout=RESPONSE_TIMEOUT_SECONDS):
        with trio.move_on_after(timeout):
            await trio.sleep(self.cluster.message_seconds)
            reply = await self.cluster.entries[member.name].gossip.handle_frame(frame)
            await trio.sleep(self.cluster.message_seconds)
            return reply
        raise ConnectionFailed(member.name, True, "no reply in time")


class VirtualEntry:
    """One entry with its view of the platform and its exchange with the others."""

    def __init__(self, cluster, member):
        clock = TrioClock()
        self.name = member.name
        self.store = EntryStore(cluster.store)
        self.view = PlatformView(clock, poll_schedules(2.0, cluster.drain_seconds))
        self.random = random.Random(member.name)
        self.gossip = PeerGossip(
            own_member=member,
            incarnation="x",
            platform_view=self.view,
            load_tracker=LoadTracker(),
            suspect_tracker=SuspectTracker(clock),
            health_tracker=HealthTracker(clock),
            store=self.store,
            peers=DelayedPeers(cluster),
            clock=clock,
            random=self.random,
        )

    def gives_work(self, id):
        """Return whether the entry may send new requests to an endpoint."""
        endpoint = self.view.directory.endpoints.get(id)
        return endpoint is not None and not endpoint.leaving

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip.run)
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


class VirtualCluster:
    """A store with a configuration and endpoints, and the entries that follow it."""

    def __init__(self, count, message_seconds, drain_seconds=2.0, endpoints=12):
        self.store = TimedStore()
        self.message_seconds = message_seconds
        self.drain_seconds = drain_seconds
        self.store.put("op", "config", configuration_document())
        self.documents = {
            f"i-{number:02}": registration_document(address=f"10.1.0.{number}:80")
            for number in range(endpoints)
        }
        for id, document in self.documents.items():
            self.store.put(ENDPOINT_TABLE, id, document)
        members = [
            Member(f"e{number}", f"10.2.0.{number}:80", "anta", "", 0.0)
            for number in range(count)
        ]
        for member in members:
            row = {**member._asdict(), "callers": member.callers}
            self.store.put(ENTRY_TABLE, member.name, row)
        self.entries = {member.name: VirtualEntry(self, member) for member in members}

    def leave(self, id, how):
        """Let an endpoint leave by a report, or by the removal of its registration."""
        document = self.documents.pop(id)
        report = {**document, "state": "draining"} if how == "draining" else None
        self.store.put(ENDPOINT_TABLE, id, report)

    async def send_heartbeats(self):
        """Write the registrations of the endpoints again and again."""
        number = 0
        while True:
            for id in list(self.documents):
                await trio.sleep(HEARTBEAT_SECONDS / len(self.documents))
                if id in self.documents:
                    number += 1
                    self.documents[id] |= {"seq-no": number}
                    self.store.put(ENDPOINT_TABLE, id, self.documents[id])

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_heartbeats)
            for entry in self.entries.values():
                nursery.start_soon(entry.run)
