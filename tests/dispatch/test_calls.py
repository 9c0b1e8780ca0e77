"""Unrepeatable calls run at most once, whatever fails, and verdicts are true."""

from __future__ import annotations

import random

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.dispatch.calls import run_call
from pistachioreach.endpoints.connections import Answer
from pistachioreach.fakes.crashes import MOST_POINTS, CrashPoints, CrashWalk
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    KEY_REUSED,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    STORE_DOWN,
    Verdict,
)
from tests.builders import make_world


def runs(world, request):
    return world.service.runs_of(f"crews.{request.key}")


async def test_a_repeated_key_gets_the_first_answer(autojump_clock):
    async with make_world(entries=2) as world:
        first = world.call_request(world.entries[0])
        answer = await run_call(world.entries[0], first)
        again = world.call_request(world.entries[1], first.key)
        replay = await run_call(world.entries[1], again)
        assert answer.body == replay.body
        assert replay.headers["idempotent-replay"] == "true"
        assert runs(world, first) == 1


async def test_a_key_sent_to_all_entries_at_once_runs_once(autojump_clock):
    async with make_world(entries=7) as world:
        world.service.call_seconds = 0.5
        request = world.call_request(world.entry)
        bodies = set()

        async def send(entry):
            answer = await run_call(entry, request._replace(request=entry.new_id()))
            bodies.add(answer.body)

        async with trio.open_nursery() as nursery:
            for entry in world.entries:
                nursery.start_soon(send, entry)
        assert runs(world, request) == 1
        assert len(bodies) == 1


async def test_the_outcome_of_a_holder_that_died_is_looked_up_soon(autojump_clock):
    async with make_world(entries=2) as world:
        first = world.call_request(world.entries[0], seconds=60)
        with trio.CancelScope() as dying:

            async def die(*args):
                dying.cancel()
                await trio.sleep_forever()

            world.entries[0].ledger.settle_held = die
            await run_call(world.entries[0], first)
        since = trio.current_time()
        again = world.call_request(world.entries[1], first.key, seconds=60)
        assert isinstance(await run_call(world.entries[1], again), Answer)
        assert trio.current_time() - since < 3
        assert runs(world, first) == 1


async def test_a_key_with_another_body_is_refused(autojump_clock):
    async with make_world() as world:
        request = world.call_request(world.entry)
        await run_call(world.entry, request)
        other = world.call_request(world.entry, request.key, body=b"other")
        failure = await run_call(world.entry, other)
        assert failure.reason is KEY_REUSED
        assert runs(world, request) == 1


async def test_lost_answers_of_the_store_are_settled(autojump_clock):
    async with make_world() as world:
        world.platform.lost_answers = 0.5
        for _ in range(50):
            request = world.call_request(world.entry)
            answer = await run_call(world.entry, request)
            assert isinstance(answer, Answer)
            assert runs(world, request) == 1


async def test_an_outage_refuses_and_does_not_run(autojump_clock):
    async with make_world() as world:
        world.platform.down = True
        request = world.call_request(world.entry)
        failure = await run_call(world.entry, request)
        assert failure.reason is STORE_DOWN
        # The row of an earlier send could not be read.
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert runs(world, request) == 0


async def test_an_outage_that_ends_in_time_only_delays(autojump_clock):
    async with make_world() as world:
        world.platform.down = True

        async def end_outage():
            await trio.sleep(3)
            world.platform.down = False

        world.nursery.start_soon(end_outage)
        request = world.call_request(world.entry)
        assert isinstance(await run_call(world.entry, request), Answer)
        assert runs(world, request) == 1


async def test_an_outage_after_the_claim_still_answers(autojump_clock):
    async with make_world() as world:
        world.service.call_seconds = 0.1
        request = world.call_request(world.entry)

        async def outage():
            await trio.sleep(0.05)
            world.platform.down = True
            await trio.sleep(20)
            world.platform.down = False

        world.nursery.start_soon(outage)
        assert isinstance(await run_call(world.entry, request), Answer)
        await trio.sleep(30)
        again = world.call_request(world.entry, request.key)
        replay = await run_call(world.entry, again)
        assert replay.headers["idempotent-replay"] == "true"
        assert runs(world, request) == 1


@pytest.mark.parametrize(("call", "found"), [("confirm", True), ("blind", False)])
async def test_a_lost_answer_is_looked_up_where_possible(autojump_clock, call, found):
    async with make_world() as world:
        world.service.lost_answers = 1.0
        request = world.call_request(world.entry, call=call)
        result = await run_call(world.entry, request)
        assert runs(world, request) == 1
        if found:
            assert isinstance(result, Answer)
        else:
            assert result.reason is OUTCOME_UNKNOWN
            assert result.verdict is Verdict.MAY_HAVE_RUN
            again = world.call_request(world.entry, request.key, call)
            assert (await run_call(world.entry, again)).reason is OUTCOME_UNKNOWN
            assert runs(world, request) == 1


async def test_a_call_moves_on_only_while_no_byte_has_left(autojump_clock):
    async with make_world() as world:
        servers = world.entry.fleet.services["bookings"]
        world.service.unreachable.add(servers[0].endpoint.name)
        world.service.refusing.add(servers[1].endpoint.name)
        request = world.call_request(world.entry)
        assert isinstance(await run_call(world.entry, request), Answer)
        assert runs(world, request) == 1


async def test_a_call_that_nobody_takes_is_not_run_and_may_be_sent_again(
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
        again = world.call_request(world.entry, request.key)
        assert isinstance(await run_call(world.entry, again), Answer)
        assert runs(world, request) == 1


class PausingClock(TrioClock):
    """A clock that jumps, as for a VM that was paused."""

    def __init__(self):
        super().__init__()
        self.skipped = 0.0

    def monotonic(self):
        return super().monotonic() + self.skipped


async def test_a_holder_that_was_paused_sends_nothing_late(autojump_clock):
    async with make_world() as world:
        clock = PausingClock()
        world.entry.clock = clock
        request = world.call_request(world.entry)
        claim = world.entry.ledger.insert

        async def claim_then_pause(*args):
            holding = await claim(*args)
            clock.skipped = 60
            return holding

        world.entry.ledger.insert = claim_then_pause
        failure = await run_call(world.entry, request)
        assert failure.reason is DEADLINE_PASSED
        assert failure.verdict is Verdict.NOT_RUN
        assert runs(world, request) == 0


async def test_a_repeatable_call_tries_the_other_servers(autojump_clock):
    async with make_world() as world:
        servers = world.entry.fleet.services["bookings"]
        world.service.unreachable.add(servers[0].endpoint.name)
        for _ in range(5):
            request = world.call_request(world.entry, call="schedule")
            assert isinstance(await run_call(world.entry, request), Answer)


async def walk_all_points(seeds, **options):
    walks = []
    for seed in seeds:
        for point in range(MOST_POINTS):
            for after in (False, True):
                walk = CrashWalk(seed, point, after, **options)
                async with make_world(seed=seed) as world:
                    await walk.run(
                        world.manifest, world.platform, world.service, world.fleet
                    )
                walks.append(walk)
    return walks


async def test_every_crash_point(autojump_clock):
    walks = await walk_all_points(range(4))
    assert [problem for walk in walks for problem in walk.problems] == []
    # The first entry crashes at each point that its send reaches.
    assert sum(walk.crashes > 0 for walk in walks) > len(walks) / 2


async def test_a_ledger_without_the_claim_is_caught_by_the_walk(autojump_clock):
    """The walk can fail: an entry that dispatches without a row runs calls twice."""
    walks = await walk_all_points(range(1), careless=True)
    problems = [problem for walk in walks for problem in walk.problems]
    assert any(problem.startswith("ran ") for problem in problems)


async def test_a_crash_point_cancels_before_or_after_the_effect(autojump_clock):
    effects = []

    async def effect():
        effects.append(trio.current_time())

    for after in (False, True):
        with trio.CancelScope() as scope:
            points = CrashPoints(random.Random(1), scope, crash_at=0, after=after)
            await points.around(effect)
        assert scope.cancelled_caught
    assert len(effects) == 1
