"""Routing keeps its targets; a short run of the bench."""

from __future__ import annotations

import functools

import pytest

from bench.routing import (
    BOUND_TARGET,
    FIRST_TOKEN_SECONDS,
    GAP_SECONDS,
    POLICIES,
    Setting,
    simulate,
)

#: Goodput at twice the capacity, over that at capacity.
OVERLOAD_TARGET = 0.95
#: Mtkvari's example.
MTKVARI = 1


@functools.cache
def result(policy, load, lost_domain=False):
    return simulate(Setting(MTKVARI, policy, load, 10.0, lost_domain))


def over_bound(*args):
    found = result(*args)
    return found.in_time / found.bound


def test_latency_at_80_percent():
    found = result("router", 80)
    assert found.first_p95 <= FIRST_TOKEN_SECONDS
    assert found.gap_p95 <= GAP_SECONDS


@pytest.mark.parametrize("policy", [name for name in POLICIES if name != "router"])
def test_the_router_is_ahead_of_simpler_policies(policy):
    assert over_bound("router", 100) > over_bound(policy, 100)


def test_the_router_is_ahead_with_one_failure_domain_lost():
    assert over_bound("router", 80, True) > over_bound("two choices", 80, True)


def test_throughput_over_the_bound():
    assert over_bound("router", 100) >= BOUND_TARGET


def test_goodput_at_twice_the_capacity():
    assert over_bound("router", 200) >= OVERLOAD_TARGET * over_bound("router", 100)
