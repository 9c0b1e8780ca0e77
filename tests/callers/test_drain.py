"""What an entry takes in its shutdown, and when its process ends."""

from __future__ import annotations

import pytest

from pistachioreach.callers.drain import Drain
from tests.platform_builders import FakeClock

GRACE = 8.0
#: Seconds from the signal until no process may be needed any more.
KILL = 8.0


def make_drain():
    clock = FakeClock()
    drain = Drain(clock)
    drain.begin(GRACE)
    return clock, drain


def request(drain, clock, seconds):
    drain.request_started()
    clock.advance(seconds)
    drain.request_ended()


def test_nothing_is_refused_before_a_drain():
    drain = Drain(FakeClock())
    assert not drain.refuses_requests()
    assert not drain.may_exit()


def test_an_idle_entry_ends_once_the_balancer_has_noticed():
    clock, drain = make_drain()
    clock.advance(3.0)
    assert not drain.may_exit()
    clock.advance(0.3)
    assert drain.may_exit()


def test_requests_that_keep_coming_are_taken_and_later_refused():
    clock, drain = make_drain()
    refused = []
    for step in range(30):
        clock.advance(0.25)
        refused.append(drain.refuses_requests())
        drain.request_started()
        drain.request_ended()
        assert not drain.may_exit() or (step + 1) * 0.25 >= KILL - 0.5
    # A stream of the heaviest load, 1 s of waiting and 3.5 s of events, ends
    # before the kill if it is taken.
    assert refused.index(True) * 0.25 + 4.5 <= KILL - 0.4
    assert not any(refused[:11])


def test_a_request_that_runs_holds_the_end():
    clock, drain = make_drain()
    clock.advance(2.0)
    drain.request_started()
    clock.advance(4.0)
    assert not drain.may_exit()
    drain.request_ended()
    assert drain.may_exit()


@pytest.mark.parametrize("grace", [1.0, 4.0, 8.0, 60.0])
def test_the_process_ends_before_the_kill(grace):
    clock = FakeClock()
    drain = Drain(clock)
    drain.begin(grace)
    drain.request_started()
    clock.advance(grace - 0.3)
    assert drain.may_exit()
