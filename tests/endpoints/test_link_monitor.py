"""Check of an entry's own links to its endpoints."""

import random

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.endpoints.directory import Directory
from pistachioreach.endpoints.link_monitor import (
    ACCEPT_SECONDS,
    MAX_SAMPLE,
    RECHECK_SECONDS,
    LinkMonitor,
)
from tests.platform_builders import endpoint


class Links:
    """A monitor of the links to twenty engines and two servers of a service."""

    def __init__(self, engines=20, servers=2):
        directory = Directory()
        for number in range(engines + servers):
            service = "engines" if number < engines else "bookings"
            id = f"e{number}"
            address = f"10.0.0.{number}:80"
            directory.endpoints[id] = endpoint(id, service=service, address=address)
        self.accepting = {e.registration.address for e in directory.endpoints.values()}
        self.silent = False
        self.tried = []
        self.monitor = LinkMonitor(
            directory, self.is_listening, TrioClock(), random.Random(1)
        )

    async def is_listening(self, address):
        self.tried.append(address)
        await trio.sleep(0.001)
        if address not in self.accepting and self.silent:
            await trio.sleep(10.0)
        return address in self.accepting


@pytest.mark.parametrize("silent", [False, True])
async def test_entry_that_reaches_no_endpoint_is_cut_off(autojump_clock, silent):
    links = Links()
    links.accepting, links.silent = set(), silent
    assert await links.monitor.check()
    assert trio.current_time() <= ACCEPT_SECONDS + 0.01
    assert len(links.tried) <= MAX_SAMPLE


@pytest.mark.parametrize("silent", [False, True])
async def test_entry_that_reaches_one_service_is_not_cut_off(autojump_clock, silent):
    # Guards against calls that are sent elsewhere because all engines have crashed.
    links = Links()
    links.accepting, links.silent = {"10.0.0.20:80", "10.0.0.21:80"}, silent
    assert not await links.monitor.check()
    assert trio.current_time() < 0.01


async def test_failures_at_the_same_time_share_a_check(autojump_clock):
    links = Links()
    links.accepting, links.silent = set(), True
    results = []

    async def check():
        results.append(await links.monitor.check())

    async with trio.open_nursery() as nursery:
        for _ in range(30):
            nursery.start_soon(check)
    assert results == [True] * 30
    assert len(links.tried) <= MAX_SAMPLE


async def test_check_that_is_cancelled_is_made_by_another_request(autojump_clock):
    # Guards against endpoints that count as lost because a caller has left.
    links = Links()
    links.accepting, links.silent = set(), True

    async def leave():
        with trio.move_on_after(0.05):
            await links.monitor.check()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave)
        await trio.sleep(0.01)
        assert await links.monitor.check()


async def test_end_of_a_cut_is_noticed_without_requests(autojump_clock):
    links = Links()
    accepting, links.accepting = links.accepting, set()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(links.monitor.run)
        assert await links.monitor.check()
        await trio.sleep(3.0)
        assert links.monitor.cut_off
        links.accepting = accepting
        await trio.sleep(RECHECK_SECONDS + ACCEPT_SECONDS)
        assert not links.monitor.cut_off
        # It is found again after the first cut.
        links.accepting = set()
        assert await links.monitor.check()
        links.accepting = accepting
        await trio.sleep(RECHECK_SECONDS + ACCEPT_SECONDS)
        assert not links.monitor.cut_off
        nursery.cancel_scope.cancel()


async def test_entry_with_two_endpoints_is_not_cut_off_if_both_crash(autojump_clock):
    links = Links(engines=0)
    links.accepting = set()
    assert not await links.monitor.check()


async def test_stall_of_the_process_is_not_taken_for_a_cut(autojump_clock):
    links = Links()
    links.accepting, links.silent = set(), True

    async def stall():
        await trio.sleep(0.1)
        autojump_clock.jump(3.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stall)
        assert not await links.monitor.check()
