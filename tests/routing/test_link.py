"""Tests of the bandwidth shares after a failure domain has lost a range of layers."""

from __future__ import annotations

import random

import pytest

from pistachioreach.routing.engine_load import NO_LOAD
from pistachioreach.routing.link import LinkShare, transfer_mbit
from pistachioreach.routing.paths import StreamNeed, find_path
from tests.platform_builders import FakeClock, endpoint, engine_model

NEED = StreamNeed(774, 245)
#: Maximum backlog of the link, in seconds: the target for the first event of a stream
#: is half a second.
MAX_BACKLOG_SECONDS = 0.5
#: Time step of the simulation, in seconds.
STEP_SECONDS = 0.01


def simulate(entries, streams_per_second, seconds, idle=30.0, seed=1):
    """Simulate a link over which every stream sends one transfer.

    Returns:
        The maximum backlog in seconds, and the used share of the bandwidth.
    """
    clock = FakeClock()
    source = random.Random(seed)
    model = engine_model()._replace(link_mbps=400.0 * entries)
    shares = [LinkShare(lambda: entries, clock, source) for _ in range(entries)]
    mbit = transfer_mbit(model, NEED)
    clock.advance(idle)
    backlog = max_backlog = sent = 0.0
    waiting = [0] * entries
    for _ in range(round(seconds / STEP_SECONDS)):
        for number, share in enumerate(shares):
            waiting[number] += (
                source.random() < streams_per_second / entries * STEP_SECONDS
            )
            while waiting[number] and share.may_transfer(model, NEED):
                share.record_transfers(model, NEED, 1)
                waiting[number] -= 1
                backlog += mbit
                sent += mbit
        max_backlog = max(max_backlog, backlog / model.link_mbps)
        backlog = max(0.0, backlog - model.link_mbps * STEP_SECONDS)
        clock.advance(STEP_SECONDS)
    return max_backlog, sent / (seconds * model.link_mbps)


@pytest.mark.parametrize("entries", [19, 66, 89])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_link_is_not_saturated_when_all_streams_cross_domains_at_once(entries, seed):
    max_backlog, used = simulate(entries, entries * 3.0, 20.0, seed=seed)
    assert max_backlog <= MAX_BACKLOG_SECONDS
    assert 0.6 <= used <= 0.9


def test_rare_transfers_do_not_wait():
    model = engine_model()._replace(link_mbps=22000.0)
    clock = FakeClock()
    share = LinkShare(lambda: 7, clock, random.Random(1))
    for _ in range(20):
        clock.advance(1.0)
        assert share.may_transfer(model, NEED)
        share.record_transfers(model, NEED, 1)


def test_model_without_link_bandwidth_is_not_limited():
    model = engine_model()._replace(link_mbps=0.0)
    share = LinkShare(lambda: 7, FakeClock(), random.Random(1))
    for _ in range(100):
        assert share.may_transfer(model, NEED)
        share.record_transfers(model, NEED, 3)


def test_chain_without_crossings_stays_in_one_domain_or_is_not_found():
    local = [endpoint(f"n{first}", first, first + 8, "l4") for first in range(0, 80, 8)]
    faster = [
        endpoint("f1", 0, 24, "a100", "anta"),
        endpoint("f2", 24, 48, "a100", "urubamba"),
        endpoint("f3", 48, 72, "a100", "anta"),
        endpoint("f4", 72, 80, "a100", "anta"),
    ]
    model = engine_model()
    best = find_path(local + faster, model, NEED, lambda _: NO_LOAD)
    assert best.crossings
    inside = find_path(
        local + faster, model, NEED, lambda _: NO_LOAD, allow_crossings=False
    )
    assert not inside.crossings
    assert inside.event_ms > best.event_ms
    assert (
        find_path(faster, model, NEED, lambda _: NO_LOAD, allow_crossings=False) is None
    )
