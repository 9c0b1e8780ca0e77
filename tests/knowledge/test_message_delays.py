"""Entries whose messages to each other take some time."""

import pytest
import trio

from pistachioreach.platform.store import ENDPOINT_TABLE
from tests.knowledge.timed_cluster import TimedCluster

#: Seconds within which an endpoint that leaves must get no new work.
DRAIN_SECONDS = 2.0
#: Seconds from the start until all entries know each other.
START_SECONDS = 4.0
#: Seconds from a cut to the leaving of an endpoint, and from that to the next cut.
CUT_SECONDS, NEXT_SECONDS = 0.1, 6.3
#: Seconds that the store takes to answer, and between two messages at one moment.
TOLERANCE_SECONDS = 0.02


@pytest.mark.parametrize("count", [7, 10])
@pytest.mark.parametrize("transit_seconds", [0.02, 0.1])
async def test_relayed_rows_do_not_count_as_younger_than_they_are(
    autojump_clock, nursery, transit_seconds, count
):
    cluster = TimedCluster(nursery, count, 12, transit_seconds)
    await trio.sleep(START_SECONDS)
    for entry in cluster.entries:
        entry.store.cut = True
    for since_cut in (0.4, 0.8, 1.2):
        await trio.sleep(0.4)
        for entry in cluster.entries:
            age = entry.view.connectivity.seconds_since_answer(ENDPOINT_TABLE)
            assert age >= since_cut - TOLERANCE_SECONDS, entry.name


@pytest.mark.parametrize("how", ["draining", "removed"])
@pytest.mark.parametrize("count", [7, 10])
async def test_endpoint_that_leaves_gets_no_work_while_messages_take_long(
    autojump_clock, nursery, count, how
):
    # Guards against entries that rely too long on readers that are cut off.
    cluster = TimedCluster(nursery, count, 12, transit_seconds=0.1)
    await trio.sleep(START_SECONDS)
    late = {}
    for id in ("i-00", "i-01", "i-02"):
        names = cluster.entries[0].gossip.entries.store_pollers()
        readers = [cluster.by_name[name] for name in names]
        for reader in readers:
            reader.store.cut = True
        await trio.sleep(CUT_SECONDS)
        cluster.leave(id, how)
        await trio.sleep(DRAIN_SECONDS)
        late[id] = set(cluster.using(id)) - set(names)
        for reader in readers:
            reader.store.cut = False
        await trio.sleep(NEXT_SECONDS)
    assert not any(late.values()), late
