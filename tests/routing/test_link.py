"""The pipe between failure domains on the day that a range loses its holders."""

from __future__ import annotations

import random

import pytest

from pistachioreach.routing.engine_load import NO_LOAD
from pistachioreach.routing.link import LinkShare, transfer_mbit
from pistachioreach.routing.paths import StreamNeed, find_path
from tests.platform_builders import FakeClock, endpoint, engine_model

NEED = StreamNeed(774, 245)
#: Seconds of transfers that may wait in the pipe: the first event of a stream is
#: due after half a second.
LONGEST_BACKLOG = 0.5
STEP = 0.01


def play(entries, streams_a_second, seconds, quiet=30.0, seed=1):
    """Let every stream leave its domain; return the worst backlog and the use."""
    clock = FakeClock()
    source = random.Random(seed)
    model = engine_model()._replace(link_mbps=400.0 * entries)
    shares = [LinkShare(lambda: entries, clock, source) for _ in range(entries)]
    mbit = transfer_mbit(model, NEED)
    clock.advance(quiet)
    backlog = worst = sent = 0.0
    waiting = [0] * entries
    for _ in range(round(seconds / STEP)):
        for number, share in enumerate(shares):
            waiting[number] += source.random() < streams_a_second / entries * STEP
            while waiting[number] and share.may_transfer(model, NEED):
                share.record_transfers(model, NEED, 1)
                waiting[number] -= 1
                backlog += mbit
                sent += mbit
        worst = max(worst, backlog / model.link_mbps)
        backlog = max(0.0, backlog - model.link_mbps * STEP)
        clock.advance(STEP)
    return worst, sent / (seconds * model.link_mbps)


@pytest.mark.parametrize("entries", [19, 66, 89])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_streams_of_a_fleet_leave_their_domains_at_once(entries, seed):
    worst, used = play(entries, entries * 3.0, 20.0, seed=seed)
    assert worst <= LONGEST_BACKLOG
    assert 0.6 <= used <= 0.9


def test_few_streams_that_leave_a_domain_hardly_wait():
    model = engine_model()._replace(link_mbps=22000.0)
    clock = FakeClock()
    share = LinkShare(lambda: 7, clock, random.Random(1))
    for _ in range(20):
        clock.advance(1.0)
        assert share.may_transfer(model, NEED)
        share.record_transfers(model, NEED, 1)


def test_a_model_without_a_pipe_has_no_limit():
    model = engine_model()._replace(link_mbps=0.0)
    share = LinkShare(lambda: 7, FakeClock(), random.Random(1))
    for _ in range(100):
        assert share.may_transfer(model, NEED)
        share.record_transfers(model, NEED, 3)


def test_a_chain_that_must_not_leave_its_domain():
    slow = [endpoint(f"n{first}", first, first + 8, "l4") for first in range(0, 80, 8)]
    fast = [
        endpoint("f1", 0, 24, "a100", "anta"),
        endpoint("f2", 24, 48, "a100", "urubamba"),
        endpoint("f3", 48, 72, "a100", "anta"),
        endpoint("f4", 72, 80, "a100", "anta"),
    ]
    model = engine_model()
    best = find_path(slow + fast, model, NEED, lambda _: NO_LOAD)
    assert best.crossings
    inside = find_path(
        slow + fast, model, NEED, lambda _: NO_LOAD, allow_crossings=False
    )
    assert not inside.crossings
    assert inside.event_ms > best.event_ms
    assert (
        find_path(fast, model, NEED, lambda _: NO_LOAD, allow_crossings=False) is None
    )
