"""Admission: bounded, fair, aware of priorities and deadlines."""

from __future__ import annotations

import trio

from pistachioreach.clock import TrioClock
from pistachioreach.routing.admission import Admission, WorkspaceShare
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    QUEUE_FULL,
    WORKSPACE_LIMIT,
    Verdict,
)


def share(name="crews", weight=1, concurrency=1000, rate=1000.0):
    return WorkspaceShare(name, weight, concurrency, rate)


class Runs:
    """Requests that each run for a second, and the order in which they began."""

    def __init__(self, slots):
        self.admission = Admission(slots, TrioClock())
        self.order = []
        self.refused = []

    async def run(self, label, workspace, priority=9, seconds=100.0):
        deadline = trio.current_time() + seconds
        refused = await self.admission.admit(workspace, priority, deadline)
        if refused is not None:
            self.refused.append((label, refused))
            return
        self.order.append(label)
        await trio.sleep(1.0)
        self.admission.release(workspace, 1.0)


async def test_a_flood_leaves_small_workspaces_their_share(autojump_clock):
    runs = Runs(slots=2)
    async with trio.open_nursery() as nursery:
        for _number in range(4):
            nursery.start_soon(runs.run, "flood", share("large"))
        await trio.sleep(0.1)
        for _number in range(2):
            nursery.start_soon(runs.run, "small", share("small"))
    assert sorted(runs.order[2:4]) == ["flood", "small"]


async def test_weights_divide_what_is_contended(autojump_clock):
    runs = Runs(slots=10)
    heavy, light = share("heavy", weight=3), share("light")
    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(runs.run, "first", share("first"))
        await trio.sleep(0.1)
        for _ in range(10):
            nursery.start_soon(runs.run, "heavy", heavy)
            nursery.start_soon(runs.run, "light", light)
    second = runs.order[10:20]
    assert second.count("heavy") in (7, 8)


async def test_higher_priorities_go_first(autojump_clock):
    runs = Runs(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runs.run, "running", share())
        await trio.sleep(0.1)
        nursery.start_soon(runs.run, "low", share(), 5)
        await trio.sleep(0.1)
        nursery.start_soon(runs.run, "high", share(), 1)
    assert runs.order == ["running", "high", "low"]


async def test_the_queue_is_bounded_and_refusals_are_not_run(autojump_clock):
    runs = Runs(slots=2)
    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(runs.run, "x", share())
    reasons = {refused.reason for _, refused in runs.refused}
    assert reasons == {QUEUE_FULL}
    assert {refused.verdict for _, refused in runs.refused} == {Verdict.NOT_RUN}
    assert all(refused.retry_after for _, refused in runs.refused)
    assert len(runs.order) + len(runs.refused) == 20
    assert len(runs.refused) == 20 - 2 - 4


async def test_what_would_miss_its_deadline_is_refused_at_once(autojump_clock):
    runs = Runs(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runs.run, "running", share())
        await trio.sleep(0.1)
        since = trio.current_time()
        await runs.run("hurried", share(), seconds=0.5)
        assert trio.current_time() == since
    assert runs.refused[0][1].reason is QUEUE_FULL


async def test_a_waiter_whose_deadline_passes_gives_up(autojump_clock):
    runs = Runs(slots=1)
    runs.admission.run_seconds = 0.1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runs.run, "running", share())
        await trio.sleep(0.1)
        await runs.run("waiting", share(), seconds=0.5)
    assert runs.refused[0][1].reason is DEADLINE_PASSED
    assert runs.admission.waiting == 0
    assert runs.admission.in_flight == 0


async def test_a_caller_that_goes_away_leaves_no_place_taken(autojump_clock):
    runs = Runs(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runs.run, "running", share())
        await trio.sleep(0.1)
        with trio.move_on_after(0.2):
            await runs.run("gone", share())
        await runs.run("next", share())
    assert runs.order == ["running", "next"]
    assert runs.admission.in_flight == 0


async def test_limits_of_a_workspace(autojump_clock):
    runs = Runs(slots=100)
    narrow = share(concurrency=3)
    slow = share("slow", rate=2.0)
    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(runs.run, "narrow", narrow)
            nursery.start_soon(runs.run, "slow", slow)
    assert runs.order.count("narrow") == 3
    assert runs.order.count("slow") == 2
    assert {refused.reason for _, refused in runs.refused} == {WORKSPACE_LIMIT}
