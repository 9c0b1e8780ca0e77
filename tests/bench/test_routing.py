"""Routing benchmark over 10 s of virtual time: latency and goodput targets."""

from __future__ import annotations

import functools

import pytest

from bench.routing import (
    BOUND_TARGET,
    FIRST_TOKEN_TARGET_SECONDS,
    POLICIES,
    TOKEN_GAP_TARGET_SECONDS,
    Setting,
    simulate,
)

#: Target for the goodput at 200% load over the goodput at 100% load.
OVERLOAD_TARGET = 0.95
#: Index in `DEPLOYMENTS` of the example that is simulated, mtkvari-assurance.
MTKVARI_INDEX = 1


@functools.cache
def result(policy, load, domain_down=False):
    return simulate(Setting(MTKVARI_INDEX, policy, load, 10.0, domain_down))


def goodput_over_bound(*args):
    simulated = result(*args)
    return simulated.goodput / simulated.bound


def test_latency_at_80_percent_load():
    simulated = result("router", 80)
    assert simulated.first_token_p95 <= FIRST_TOKEN_TARGET_SECONDS
    assert simulated.gap_p95 <= TOKEN_GAP_TARGET_SECONDS


@pytest.mark.parametrize("policy", [name for name in POLICIES if name != "router"])
def test_goodput_exceeds_that_of_simpler_policies(policy):
    assert goodput_over_bound("router", 100) > goodput_over_bound(policy, 100)


def test_goodput_exceeds_two_choices_with_a_failure_domain_down():
    assert goodput_over_bound("router", 80, True) > goodput_over_bound(
        "two choices", 80, True
    )


def test_throughput_over_the_bound():
    assert goodput_over_bound("router", 100) >= BOUND_TARGET


def test_goodput_under_overload():
    assert goodput_over_bound("router", 200) >= OVERLOAD_TARGET * goodput_over_bound(
        "router", 100
    )
