"""Entries that get no processor time while answers and messages wait for them."""

import random

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.knowledge.follow import follow_table
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from pistachioreach.peers.relay import RELAY
from pistachioreach.platform.store import ENDPOINT_TABLE
from tests.knowledge.restore_machine import ModelEntry, ModelStore
from tests.platform_builders import (
    FakeClock,
    TimedStore,
    configuration_document,
    registration_document,
)

#: Seconds within which an endpoint that leaves must get no new work.
DRAIN_SECONDS = 2.0
#: Seconds for which an entry gets no processor time, and for which it runs until that
#: happens again.
PAUSE_SECONDS, RUN_SECONDS = 0.95, 0.15


class PausedClient:
    """Client of a store whose entry can be paused; answers wait until it resumes."""

    def __init__(self, store):
        self.store = store
        self.resumed = trio.Event()
        self.resumed.set()
        self.held_polls = 0

    @property
    def era(self):
        return self.store.era

    async def read(self, table):
        await self.resumed.wait()
        snapshot = await self.store.read(table)
        await self.resumed.wait()
        return snapshot

    async def wait_for_changes(self, table, after, wait):
        await self.resumed.wait()
        self.held_polls += table == ENDPOINT_TABLE
        changes = await self.store.wait_for_changes(table, after, wait)
        self.held_polls -= table == ENDPOINT_TABLE
        await self.resumed.wait()
        return changes


@pytest.fixture
def store():
    store = TimedStore()
    store.put("op", "config", configuration_document())
    for number in range(8):
        store.put("servers", f"i-{number}", registration_document())
    return store


def gets_work(view, id):
    """Return whether the endpoint may get new requests, as far as its registration."""
    endpoint = view.directory.endpoints.get(id)
    return endpoint is not None and not endpoint.leaving


@pytest.mark.parametrize("how", ["removed", "draining"])
async def test_endpoint_that_left_gets_no_work_while_the_entry_is_paused_repeatedly(
    autojump_clock, nursery, store, how
):
    # Guards against two pauses of an entry's process with a short run between them. The
    # answer that waited during the first pause counts as one that the store has just
    # given, so that the entry polls again only after the second pause.
    client = PausedClient(store)
    view = PlatformView(TrioClock(), poll_schedules(2.0, DRAIN_SECONDS))
    for copy in view.tables:
        nursery.start_soon(
            follow_table, client, copy, view.connectivity, random.Random(1)
        )
    await trio.sleep(5.0)
    while not client.held_polls:
        await trio.sleep(0.01)
    await trio.sleep(0.01)
    client.resumed = trio.Event()
    store.put("servers", "i-5", registration_document(**{"seq-no": 5}))
    await trio.sleep(0.02)
    assert not client.held_polls
    leaving = registration_document(state="draining") if how == "draining" else None
    store.put("servers", "i-3", leaving)
    left_at = trio.current_time()
    while gets_work(view, "i-3"):
        await trio.sleep(PAUSE_SECONDS)
        client.resumed.set()
        with trio.move_on_after(RUN_SECONDS):
            while gets_work(view, "i-3"):
                await trio.sleep(0.01)
        client.resumed = trio.Event()
    assert trio.current_time() - left_at <= DRAIN_SECONDS


@pytest.fixture
def clock():
    return FakeClock()


async def test_message_that_waited_for_the_entry_is_no_recent_answer(clock):
    # Guards against an entry that takes the age of another one's answers from a message
    # that waited while its own process was paused, and relays that age: it and others
    # then took older rows for current, and tried the store later by that wait.
    store = ModelStore(clock)
    store.put("op", "config", configuration_document())
    store.put("servers", "i-3", registration_document())
    entries = []
    for number in range(2):
        entries.append(ModelEntry(number, 1, store, entries, clock, True))
    for entry in entries:
        for copy in entry.view.tables:
            copy.apply_snapshot(await entry.client.read(copy.name))
            entry.view.connectivity.record_answer(copy.name)
    sender, paused = entries
    message = sender.gossip.make_message(None)
    frame = sender.gossip.make_frame(RELAY, 1, message)
    store.put("servers", "i-3", None)
    clock.advance(PAUSE_SECONDS)
    await paused.gossip.handle_frame(frame)
    age = paused.view.connectivity.seconds_since_answer(ENDPOINT_TABLE)
    assert age >= PAUSE_SECONDS
