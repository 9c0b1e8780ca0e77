"""Tests of the admission queue: its bound, fair sharing, priorities and deadlines."""

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


def make_share(name="crews", weight=1, concurrency=1000, rate=1000.0):
    return WorkspaceShare(name, weight, concurrency, rate)


class RequestRunner:
    """Runs requests of one second each and records the order in which they start."""

    def __init__(self, slots):
        self.admission = Admission(slots, TrioClock())
        self.order = []
        self.refused = []

    async def run(self, label, share, priority=9, seconds=100.0):
        deadline = trio.current_time() + seconds
        failure = await self.admission.admit(share, priority, deadline)
        if failure is not None:
            self.refused.append((label, failure))
            return
        self.order.append(label)
        await trio.sleep(1.0)
        self.admission.release(share, 1.0)


async def test_busy_workspace_does_not_starve_a_small_one(autojump_clock):
    runner = RequestRunner(slots=2)
    async with trio.open_nursery() as nursery:
        for _number in range(4):
            nursery.start_soon(runner.run, "flood", make_share("large"))
        await trio.sleep(0.1)
        for _number in range(2):
            nursery.start_soon(runner.run, "small", make_share("small"))
    assert sorted(runner.order[2:4]) == ["flood", "small"]


async def test_contended_slots_are_divided_by_weight(autojump_clock):
    runner = RequestRunner(slots=10)
    heavy, light = make_share("heavy", weight=3), make_share("light")
    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(runner.run, "first", make_share("first"))
        await trio.sleep(0.1)
        for _ in range(10):
            nursery.start_soon(runner.run, "heavy", heavy)
            nursery.start_soon(runner.run, "light", light)
    second_batch = runner.order[10:20]
    assert second_batch.count("heavy") in (7, 8)


async def test_requests_of_higher_priority_are_admitted_first(autojump_clock):
    runner = RequestRunner(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run, "running", make_share())
        await trio.sleep(0.1)
        nursery.start_soon(runner.run, "low", make_share(), 5)
        await trio.sleep(0.1)
        nursery.start_soon(runner.run, "high", make_share(), 1)
    assert runner.order == ["running", "high", "low"]


async def test_queue_is_bounded_and_refused_requests_do_not_run(autojump_clock):
    runner = RequestRunner(slots=2)
    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(runner.run, "x", make_share())
    reasons = {failure.reason for _, failure in runner.refused}
    assert reasons == {QUEUE_FULL}
    assert {failure.verdict for _, failure in runner.refused} == {Verdict.NOT_RUN}
    assert all(failure.retry_after for _, failure in runner.refused)
    assert len(runner.order) + len(runner.refused) == 20
    assert len(runner.refused) == 20 - 2 - 4


async def test_request_that_would_miss_its_deadline_is_refused_at_once(autojump_clock):
    runner = RequestRunner(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run, "running", make_share())
        await trio.sleep(0.1)
        start = trio.current_time()
        await runner.run("hurried", make_share(), seconds=0.5)
        assert trio.current_time() == start
    assert runner.refused[0][1].reason is QUEUE_FULL


async def test_queued_request_is_refused_when_its_deadline_passes(autojump_clock):
    runner = RequestRunner(slots=1)
    runner.admission.run_seconds = 0.1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run, "running", make_share())
        await trio.sleep(0.1)
        await runner.run("waiting", make_share(), seconds=0.5)
    assert runner.refused[0][1].reason is DEADLINE_PASSED
    assert runner.admission.waiting == 0
    assert runner.admission.in_flight == 0


async def test_cancelled_request_does_not_keep_a_slot(autojump_clock):
    runner = RequestRunner(slots=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run, "running", make_share())
        await trio.sleep(0.1)
        with trio.move_on_after(0.2):
            await runner.run("gone", make_share())
        await runner.run("next", make_share())
    assert runner.order == ["running", "next"]
    assert runner.admission.in_flight == 0


async def test_concurrency_and_rate_limits_of_a_workspace(autojump_clock):
    runner = RequestRunner(slots=100)
    low_concurrency = make_share(concurrency=3)
    low_rate = make_share("slow", rate=2.0)
    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(runner.run, "narrow", low_concurrency)
            nursery.start_soon(runner.run, "slow", low_rate)
    assert runner.order.count("narrow") == 3
    assert runner.order.count("slow") == 2
    assert {failure.reason for _, failure in runner.refused} == {WORKSPACE_LIMIT}
