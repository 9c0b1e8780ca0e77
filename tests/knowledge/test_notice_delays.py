"""Notices of lost endpoints while messages between entries take some time."""

import pytest
import trio

from pistachioreach.endpoints.health import (
    MAX_QUARANTINE_SECONDS,
    PEER_EXTRA_SECONDS,
)
from tests.knowledge.timed_cluster import TimedCluster

#: Seconds from the start until all entries know each other.
START_SECONDS = 4.0
#: Seconds by which the notice may reach the last entry later than the first one.
SPREAD_SECONDS = 1.0


@pytest.mark.parametrize("transit_seconds", [0.002, 0.1])
async def test_forwarded_notices_do_not_extend_a_quarantine(
    autojump_clock, nursery, transit_seconds
):
    # Guards against sound endpoints that are avoided for long after one failure.
    cluster = TimedCluster(nursery, 10, 12, transit_seconds)
    await trio.sleep(START_SECONDS)
    first = cluster.entries[0]
    endpoint = first.view.directory.endpoints["i-00"]
    first.gossip.health_tracker.mark_unusable(endpoint, "test")
    await trio.sleep(MAX_QUARANTINE_SECONDS + PEER_EXTRA_SECONDS + SPREAD_SECONDS)
    for entry in cluster.entries:
        known = entry.view.directory.endpoints["i-00"]
        assert known.usable(trio.current_time()), entry.name
