"""Endpoints whose registrations expire in an outage of the store, in virtual time."""

import pytest
import trio

from pistachioreach.knowledge.follow import REGISTRATION_GRACE_SECONDS
from tests.knowledge.timed_cluster import TimedCluster

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
