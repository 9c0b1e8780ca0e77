"""Tests of the verification of late, duplicate, foreign, missing and bad events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachioreach.endpoints.wire import EndEvent, LayerRun
from pistachioreach.routing.verify import Check, TokenVerifier, trace_is_complete
from tests.builders import token_event


def make_verifier(position=0):
    verifier = TokenVerifier("r", 24, position)
    verifier.start_attempt(2)
    return verifier


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (token_event(3, 2), Check.ACCEPT),
        (token_event(3, 1), Check.DROP),
        (token_event(3, 3), Check.DROP),
        (token_event(3, 2, request="another"), Check.DROP),
        (token_event(2, 2), Check.DROP),
        (token_event(4, 2), Check.GAP),
        (token_event(3, 2, cuts=(0, 8, 16)), Check.TRACE),
        (token_event(3, 2, cuts=(8, 16, 24)), Check.TRACE),
        (token_event(3, 2, cuts=(0, 16, 16, 24)), Check.TRACE),
        (token_event(3, 2, cuts=(0, 16, 8, 24)), Check.TRACE),
        (token_event(3, 2, cuts=()), Check.TRACE),
    ],
)
def test_check_of_one_token(event, expected):
    verifier = make_verifier(3)
    assert verifier.check_token(event) is expected
    assert verifier.position == (4 if expected is Check.ACCEPT else 3)


def test_traces_are_checked_again_after_a_new_attempt():
    verifier = make_verifier()
    assert verifier.check_token(token_event(0, 2)) is Check.ACCEPT
    verifier.start_attempt(3)
    bad = token_event(1, 3, cuts=(0, 8, 24, 24))
    assert verifier.check_token(bad) is Check.TRACE


@pytest.mark.parametrize(
    ("attempt", "count", "expected"),
    [(2, 1, Check.ACCEPT), (2, 2, Check.GAP), (2, 0, Check.GAP), (1, 1, Check.DROP)],
)
def test_check_of_the_end_event(attempt, count, expected):
    verifier = make_verifier()
    verifier.check_token(token_event(0, 2))
    end = EndEvent(request="r", attempt=attempt, count=count)
    assert verifier.check_end(end) is expected


def repeats_or_skips_layers(trace):
    layers = [layer for _, first, last in trace for layer in range(first, last)]
    return layers != list(range(24))


@given(
    st.lists(st.tuples(st.integers(0, 24), st.integers(0, 24)), min_size=0, max_size=5)
)
def test_trace_is_complete_only_if_each_layer_ran_once_in_order(ranges):
    trace = [LayerRun("e", first, last) for first, last in ranges]
    if trace_is_complete(trace, 24):
        assert not repeats_or_skips_layers(trace)


@given(st.lists(st.integers(1, 23), unique=True, max_size=5))
def test_every_ordered_partition_is_complete(inner):
    cuts = [0, *sorted(inner), 24]
    assert trace_is_complete(token_event(cuts=cuts)["trace"], 24)


@given(
    st.lists(
        st.tuples(st.integers(0, 6), st.integers(1, 3), st.sampled_from("rs")),
        max_size=60,
    )
)
def test_accepted_tokens_are_consecutive_for_any_arrivals(arrivals):
    verifier = make_verifier()
    accepted = [
        position
        for position, attempt, request in arrivals
        if verifier.check_token(token_event(position, attempt, request)) is Check.ACCEPT
    ]
    assert accepted == list(range(len(accepted)))
