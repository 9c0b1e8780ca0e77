"""Graceful shutdown: which requests the entry refuses, and when it may exit."""

from __future__ import annotations

import pytest

from pistachioreach.callers.drain import Drain
from tests.platform_builders import FakeClock

#: Seconds from the signal until the platform kills the process.
GRACE_SECONDS = 8.0
#: Seconds from the signal to the kill, by which the process must have exited.
KILL_SECONDS = 8.0


def make_drain():
    clock = FakeClock()
    drain = Drain(clock)
    drain.begin(GRACE_SECONDS)
    return clock, drain


def request(drain, clock, seconds):
    drain.request_started()
    clock.advance(seconds)
    drain.request_ended()


def test_nothing_is_refused_before_a_drain():
    drain = Drain(FakeClock())
    assert not drain.refuses_requests()
    assert not drain.may_exit()


def test_an_idle_entry_may_exit_once_the_balancer_has_noticed():
    clock, drain = make_drain()
    clock.advance(3.0)
    assert not drain.may_exit()
    clock.advance(0.3)
    assert drain.may_exit()


def test_steady_requests_are_accepted_at_first_and_refused_later():
    clock, drain = make_drain()
    refused = []
    for _ in range(30):
        clock.advance(0.25)
        refused.append(drain.refuses_requests())
        drain.request_started()
        drain.request_ended()
        # The balancer still sends requests that the entry accepts.
        assert refused[-1] or not drain.may_exit()
    # Under the heaviest load a stream waits 1 s and sends events for 3.5 s; one that
    # was accepted must end before the kill.
    assert refused.index(True) * 0.25 + 4.5 <= KILL_SECONDS - 0.4
    assert not any(refused[:11])


def test_requests_that_are_refused_do_not_delay_the_exit():
    """All entries of a domain restart in turn, and callers keep sending to them.

    An entry that only refuses serves nobody; it is sooner back if it exits.
    """
    clock, drain = make_drain()
    exit_seconds = None
    for step in range(80):
        clock.advance(0.1)
        request(drain, clock, 0.0)
        if exit_seconds is None and drain.may_exit():
            exit_seconds = (step + 1) * 0.1
    assert 3.2 <= exit_seconds <= 4.5


def test_a_request_in_progress_delays_the_exit():
    clock, drain = make_drain()
    clock.advance(2.0)
    drain.request_started()
    clock.advance(4.0)
    assert not drain.may_exit()
    drain.request_ended()
    assert drain.may_exit()


@pytest.mark.parametrize("grace", [1.0, 4.0, 8.0, 60.0])
def test_the_process_may_exit_before_the_kill(grace):
    clock = FakeClock()
    drain = Drain(clock)
    drain.begin(grace)
    drain.request_started()
    clock.advance(grace - 0.3)
    assert drain.may_exit()
