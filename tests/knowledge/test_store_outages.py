"""Endpoints whose registrations expire in an outage of the store, in virtual time."""

import pytest
import trio

from pistachioreach.knowledge.follow import (
    MAX_HARMLESS_SILENCE_SECONDS,
    REGISTRATION_GRACE_SECONDS,
    StoreConnectivity,
)
from pistachioreach.knowledge.platform import poll_schedules
from pistachioreach.peers.relay import NO_OUTAGE
from pistachioreach.platform.store import ENDPOINT_TABLE
from tests.knowledge.timed_cluster import TimedCluster
from tests.platform_builders import FakeClock

#: Number of entries, from which on they form a hierarchy.
ENTRY_COUNT = 10
#: Seconds for which the store is not available.
OUTAGE_SECONDS = 4.0


@pytest.fixture
async def cluster(autojump_clock, nursery):
    """Return entries of which the first two read the store for all."""
    cluster = TimedCluster(nursery, ENTRY_COUNT, endpoint_count=12)
    await trio.sleep(5.0)
    assert cluster.entries[5].gossip.entries.store_pollers() == ("e00", "e01")
    assert cluster.using("i-03") == [entry.name for entry in cluster.entries]
    return cluster


async def pass_outage(cluster):
    """Let the store refuse all calls for some time, in which one row expires."""
    cluster.refuse_all(True)
    await trio.sleep(OUTAGE_SECONDS / 2)
    cluster.leave("i-03", "removed")
    await trio.sleep(OUTAGE_SECONDS / 2)
    cluster.refuse_all(False)


async def test_outage_that_only_the_parent_knows_of_keeps_endpoints(cluster):
    # Guards against an entry that takes a removal that its parent passes on for sound.
    cluster.entries[5].may_read_store = False
    await pass_outage(cluster)
    await trio.sleep(1.0)
    assert len(cluster.using("i-03")) == ENTRY_COUNT
    await trio.sleep(REGISTRATION_GRACE_SECONDS)
    assert cluster.using("i-03") == []


@pytest.mark.parametrize("number", [1, 5])
async def test_entry_that_slept_through_an_outage_does_not_deny_it(cluster, number):
    # Guards against its first answer after the outage ending the grace of all others.
    slept = cluster.entries[number]
    slept.pause(OUTAGE_SECONDS + 0.05)
    await pass_outage(cluster)
    await trio.sleep(1.0)
    others = {entry.name for entry in cluster.entries} - {slept.name}
    assert set(cluster.using("i-03")) >= others
    await trio.sleep(REGISTRATION_GRACE_SECONDS)
    assert cluster.using("i-03") == []


def stated_outage(entry):
    """Return the version that an entry's messages state for the endpoints' table."""
    return entry.gossip.make_message(None).known[ENDPOINT_TABLE].outage


async def test_outage_is_stated_until_the_grace_period_ends(cluster):
    first = cluster.entries[0]
    assert stated_outage(first) == NO_OUTAGE
    await pass_outage(cluster)
    await trio.sleep(1.0)
    assert 0 <= stated_outage(first) <= first.view.endpoint_rows.version
    await trio.sleep(REGISTRATION_GRACE_SECONDS)
    assert stated_outage(first) == NO_OUTAGE


async def test_entry_that_has_just_started_states_no_outage(cluster):
    # Guards against entries that keep removed endpoints beside one that starts.
    started = cluster.start_entry(ENTRY_COUNT)
    for _ in range(20):
        await trio.sleep(0.1)
        assert stated_outage(started) == NO_OUTAGE


async def test_entry_that_is_cut_off_alone_states_no_outage(cluster):
    # Guards against a leaving endpoint kept at entries whose parent is cut off.
    cluster.entries[0].store.cut = True
    for _ in range(40):
        await trio.sleep(0.1)
        assert {stated_outage(entry) for entry in cluster.entries} == {NO_OUTAGE}


async def test_outage_extends_no_grace_period_of_an_entry_that_knows_it(cluster):
    # Guards against entries that tell each other of the same outage for ever.
    await pass_outage(cluster)
    await trio.sleep(0.5)
    recovered = [e.view.connectivity.recovered_at["servers"] for e in cluster.entries]
    await trio.sleep(REGISTRATION_GRACE_SECONDS)
    assert recovered == [
        e.view.connectivity.recovered_at["servers"] for e in cluster.entries
    ]


@pytest.mark.parametrize(
    ("silence", "sound"),
    [(MAX_HARMLESS_SILENCE_SECONDS - 0.1, True), (OUTAGE_SECONDS, False)],
)
def test_answers_after_a_long_silence_show_no_absence_of_an_outage(silence, sound):
    clock = FakeClock()
    connectivity = StoreConnectivity(clock, poll_schedules(2.0, 2.0))
    connectivity.record_answer(ENDPOINT_TABLE)
    clock.advance(REGISTRATION_GRACE_SECONDS)
    connectivity.record_answer(ENDPOINT_TABLE)
    clock.advance(silence)
    connectivity.record_relayed(ENDPOINT_TABLE, 0.05)
    assert connectivity.is_sound(ENDPOINT_TABLE) == sound
    clock.advance(REGISTRATION_GRACE_SECONDS)
    connectivity.record_answer(ENDPOINT_TABLE)
    assert connectivity.is_sound(ENDPOINT_TABLE)
