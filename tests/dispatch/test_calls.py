"""Calls to plain services: at most one run despite failures, correct verdicts."""

from __future__ import annotations

import random

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.dispatch.calls import run_call
from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.fakes.crashes import (
    MAX_CRASH_POINTS,
    CrashInjector,
    CrashSimulation,
)
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    KEY_REUSED,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    QUARANTINED,
    STORE_DOWN,
    Failure,
    Verdict,
)
from tests.builders import make_world


def run_count(world, request):
    return world.service.count_runs(f"crews.{request.key}")


async def test_repeated_key_gets_first_answer(autojump_clock):
    async with make_world(entries=2) as world:
        first = world.call_request(world.entries[0])
        answer = await run_call(world.entries[0], first)
        repeated = world.call_request(world.entries[1], first.key)
        replay = await run_call(world.entries[1], repeated)
        assert answer.body == replay.body
        assert replay.headers["idempotent-replay"] == "true"
        assert run_count(world, first) == 1


async def test_key_sent_to_all_entries_at_once_runs_once(autojump_clock):
    async with make_world(entries=7) as world:
        world.service.call_seconds = 0.5
        request = world.call_request(world.entry)
        bodies = set()

        async def send(entry):
            answer = await run_call(entry, request._replace(request_id=entry.new_id()))
            bodies.add(answer.body)

        async with trio.open_nursery() as nursery:
            for entry in world.entries:
                nursery.start_soon(send, entry)
        assert run_count(world, request) == 1
        assert len(bodies) == 1


async def test_outcome_is_looked_up_after_claim_holder_died(autojump_clock):
    async with make_world(entries=2) as world:
        first = world.call_request(world.entries[0], seconds=60)
        with trio.CancelScope() as crash_scope:

            async def crash(*args):
                crash_scope.cancel()
                await trio.sleep_forever()

            world.entries[0].ledger.record_state_without_read = crash
            await run_call(world.entries[0], first)
        started_at = trio.current_time()
        repeated = world.call_request(world.entries[1], first.key, seconds=60)
        assert isinstance(await run_call(world.entries[1], repeated), HttpResponse)
        assert trio.current_time() - started_at < 3
        assert run_count(world, first) == 1


async def test_key_with_different_body_is_refused(autojump_clock):
    async with make_world() as world:
        request = world.call_request(world.entry)
        await run_call(world.entry, request)
        other = world.call_request(world.entry, request.key, body=b"other")
        failure = await run_call(world.entry, other)
        assert failure.reason is KEY_REUSED
        assert run_count(world, request) == 1


async def test_lost_store_responses_are_recovered(autojump_clock):
    async with make_world() as world:
        world.platform.lost_response_ratio = 0.5
        for _ in range(50):
            request = world.call_request(world.entry)
            answer = await run_call(world.entry, request)
            assert isinstance(answer, HttpResponse)
            assert run_count(world, request) == 1


async def test_store_outage_fails_call_without_running_it(autojump_clock):
    async with make_world() as world:
        world.platform.down = True
        request = world.call_request(world.entry)
        failure = await run_call(world.entry, request)
        assert failure.reason is STORE_DOWN
        # The row could not be read, so an earlier send of the key may have run.
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert run_count(world, request) == 0


async def test_store_outage_shorter_than_deadline_only_delays(autojump_clock):
    async with make_world() as world:
        world.platform.down = True

        async def end_outage():
            await trio.sleep(3)
            world.platform.down = False

        world.nursery.start_soon(end_outage)
        request = world.call_request(world.entry)
        assert isinstance(await run_call(world.entry, request), HttpResponse)
        assert run_count(world, request) == 1


async def test_store_outage_after_claim_does_not_fail_call(autojump_clock):
    async with make_world() as world:
        world.service.call_seconds = 0.1
        request = world.call_request(world.entry)

        async def cause_outage():
            await trio.sleep(0.05)
            world.platform.down = True
            await trio.sleep(20)
            world.platform.down = False

        world.nursery.start_soon(cause_outage)
        assert isinstance(await run_call(world.entry, request), HttpResponse)
        await trio.sleep(30)
        repeated = world.call_request(world.entry, request.key)
        replay = await run_call(world.entry, repeated)
        assert replay.headers["idempotent-replay"] == "true"
        assert run_count(world, request) == 1


@pytest.mark.parametrize(("call", "found"), [("confirm", True), ("blind", False)])
async def test_lost_answer_is_looked_up_if_service_allows(autojump_clock, call, found):
    async with make_world() as world:
        world.service.lost_response_ratio = 1.0
        request = world.call_request(world.entry, call=call)
        result = await run_call(world.entry, request)
        assert run_count(world, request) == 1
        if found:
            assert isinstance(result, HttpResponse)
        else:
            assert result.reason is OUTCOME_UNKNOWN
            assert result.verdict is Verdict.MAY_HAVE_RUN
            repeated = world.call_request(world.entry, request.key, call)
            assert (await run_call(world.entry, repeated)).reason is OUTCOME_UNKNOWN
            assert run_count(world, request) == 1


async def test_call_that_did_not_run_goes_to_next_server(autojump_clock):
    async with make_world() as world:
        servers = world.entry.fleet.services["bookings"]
        world.service.unreachable.add(servers[0].endpoint.name)
        world.service.refusing.add(servers[1].endpoint.name)
        request = world.call_request(world.entry)
        assert isinstance(await run_call(world.entry, request), HttpResponse)
        assert run_count(world, request) == 1


async def test_call_refused_by_all_servers_can_be_repeated(
    autojump_clock,
):
    async with make_world() as world:
        names = {s.endpoint.name for s in world.entry.fleet.services["bookings"]}
        world.service.refusing |= names
        request = world.call_request(world.entry)
        failure = await run_call(world.entry, request)
        assert failure.reason is NO_ENDPOINT
        assert failure.verdict is Verdict.NOT_RUN
        world.service.refusing.clear()
        repeated = world.call_request(world.entry, request.key)
        assert isinstance(await run_call(world.entry, repeated), HttpResponse)
        assert run_count(world, request) == 1


class JumpingClock(TrioClock):
    """A clock that can jump ahead, as after a pause of the VM."""

    def __init__(self):
        super().__init__()
        self.offset = 0.0

    def monotonic(self):
        return super().monotonic() + self.offset


async def test_paused_claim_holder_sends_nothing_after_deadline(autojump_clock):
    async with make_world() as world:
        clock = JumpingClock()
        world.entry.clock = clock
        request = world.call_request(world.entry)
        insert = world.entry.ledger.insert

        async def insert_then_pause(*args):
            result = await insert(*args)
            clock.offset = 60
            return result

        world.entry.ledger.insert = insert_then_pause
        failure = await run_call(world.entry, request)
        assert failure.reason is DEADLINE_PASSED
        assert failure.verdict is Verdict.NOT_RUN
        assert run_count(world, request) == 0


async def test_repeatable_call_tries_other_servers(autojump_clock):
    async with make_world() as world:
        servers = world.entry.fleet.services["bookings"]
        world.service.unreachable.add(servers[0].endpoint.name)
        for _ in range(5):
            request = world.call_request(world.entry, call="schedule")
            assert isinstance(await run_call(world.entry, request), HttpResponse)


async def walk_all_points(seeds, **options):
    walks = []
    for seed in seeds:
        for point in range(MAX_CRASH_POINTS):
            for after in (False, True):
                walk = CrashSimulation(seed, point, after, **options)
                async with make_world(seed=seed) as world:
                    await walk.run(
                        world.manifest, world.platform, world.service, world.fleet
                    )
                walks.append(walk)
    return walks


async def test_crash_at_any_point_breaks_no_guarantee(autojump_clock):
    walks = await walk_all_points(range(4))
    assert [problem for walk in walks for problem in walk.violations] == []
    # Each walk crashes the first entry if its send makes enough calls to reach the
    # crash point.
    assert sum(walk.crash_count > 0 for walk in walks) > len(walks) / 2


async def test_crash_walk_detects_dispatch_without_claim(autojump_clock):
    """An entry that dispatches without claiming a row runs calls twice.

    The crash walk must report this, else its checks prove nothing.
    """
    walks = await walk_all_points(range(1), skip_claims=True)
    problems = [problem for walk in walks for problem in walk.violations]
    assert any(problem.startswith("ran ") for problem in problems)


async def test_crash_point_cancels_before_or_after_effect(autojump_clock):
    effects = []

    async def effect():
        effects.append(trio.current_time())

    for after in (False, True):
        with trio.CancelScope() as scope:
            points = CrashInjector(random.Random(1), scope, crash_at=0, after=after)
            await points.make_call(effect)
        assert scope.cancelled_caught
    assert len(effects) == 1


async def test_repeatable_call_that_crashes_servers_is_sent_to_few_of_them(
    autojump_clock,
):
    async with make_world(entries=2) as world:
        world.service.deadly_bodies = {b"deadly"}
        for number in range(20):
            entry = world.entries[number % 2]
            request = world.call_request(entry, call="schedule", body=b"deadly")
            assert isinstance(await run_call(entry, request), Failure)
            await trio.sleep(20)
            world.service.unreachable.clear()
        assert len(world.service.executions) <= 3 + 3


async def test_unrepeatable_call_that_crashes_servers_is_sent_to_few_of_them(
    autojump_clock,
):
    async with make_world(entries=2) as world:
        world.service.deadly_bodies = {b"deadly"}
        for number in range(20):
            entry = world.entries[number % 2]
            request = world.call_request(entry, body=b"deadly")
            failure = await run_call(entry, request)
            await trio.sleep(20)
            world.service.unreachable.clear()
        assert len(world.service.executions) <= 3 + 3
        assert failure.reason is QUARANTINED
        assert failure.verdict is Verdict.NOT_RUN


async def test_lost_responses_of_running_servers_block_no_call(autojump_clock):
    async with make_world() as world:
        world.service.lost_response_ratio = 1.0
        for _ in range(6):
            request = world.call_request(world.entry, call="schedule")
            await run_call(world.entry, request)
            await trio.sleep(20)
        world.service.lost_response_ratio = 0.0
        request = world.call_request(world.entry, call="schedule")
        assert isinstance(await run_call(world.entry, request), HttpResponse)
