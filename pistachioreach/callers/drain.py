"""Graceful shutdown of an entry: when it refuses requests and when it may exit.

Planned restarts happen under load. The balancer keeps sending requests for some
seconds to an entry that is not ready, and for the whole drain when no entry of the
failure domain is ready. The entry accepts requests that it can still finish and
refuses later ones, so that callers retry another entry at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from pistachioreach.clock import Clock

__all__ = ["Drain", "log_ignored_signals"]

#: Seconds between checks for requests in progress.
DRAIN_POLL_SECONDS = 0.05
#: Seconds after the signal in which the balancer may still open new connections:
#: the balancer checks readiness once a second and needs two failed checks.
BALANCER_DELAY_SECONDS = 3.2
#: Seconds without a new request that show that the balancer has noticed the drain.
QUIET_SECONDS = 1.0
#: Seconds before SIGKILL at which requests still in progress get their final answer.
KILL_MARGIN_SECONDS = 0.4
#: Seconds in which these answers are sent before the process exits.
FINAL_ANSWER_SECONDS = 0.15
#: Seconds after the signal in which the entry accepts requests. The rest of the
#: grace period is for finishing them: under the heaviest load a stream waits 1 s
#: and runs 3.5 s.
ACCEPT_SECONDS = 3.0
#: Largest share of the grace period in which the entry accepts requests; takes
#: effect when the grace period is short.
ACCEPT_SHARE = 0.4


class Drain:
    """State of an entry's graceful shutdown, also before the shutdown begins.

    Args:
        clock: Clock that all times are read from.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock that all times are read from.
        self.clock = clock
        #: Whether the shutdown has begun.
        self.begun = False
        #: Monotonic time from which new requests are refused.
        self.refuse_from = float("inf")
        #: Monotonic time before which the process does not exit.
        self.earliest_exit = float("inf")
        #: Monotonic time at which the process exits even with requests in progress.
        self.latest_exit = float("inf")
        #: Monotonic time at which the last request arrived that was not refused.
        self.last_arrival = float("-inf")
        #: Number of requests in progress.
        self.in_progress = 0
        #: Set when the process is about to exit: requests in progress get their answer.
        self.exiting = trio.Event()

    def begin(self, grace: float) -> None:
        """Begin the shutdown.

        Args:
            grace: Seconds until the platform kills the process.
        """
        now = self.clock.monotonic()
        self.begun = True
        self.latest_exit = now + grace - KILL_MARGIN_SECONDS
        self.refuse_from = now + min(ACCEPT_SECONDS, grace * ACCEPT_SHARE)
        self.earliest_exit = now + min(BALANCER_DELAY_SECONDS, grace / 2)

    def request_started(self) -> None:
        """Record a new request; `request_ended` must be called when it ends.

        A request that is refused does not delay the exit: while all entries of a
        failure domain are draining, the balancer keeps sending, and the sooner one of
        them is back, the fewer requests are refused.
        """
        if not self.refuses_requests():
            self.last_arrival = self.clock.monotonic()
        self.in_progress += 1

    def request_ended(self) -> None:
        """Record the end of a request."""
        self.in_progress -= 1

    def refuses_requests(self) -> bool:
        """Return whether a request that arrives now could not be finished in time."""
        return self.clock.monotonic() >= self.refuse_from

    def may_exit(self) -> bool:
        """Return whether the process may exit."""
        now = self.clock.monotonic()
        quiet = now - self.last_arrival >= QUIET_SECONDS
        idle = quiet and not self.in_progress
        return now >= self.latest_exit or (now >= self.earliest_exit and idle)

    async def finish(self) -> None:
        """Wait until the process may exit, and end the requests still in progress."""
        while not self.may_exit():
            await trio.sleep(DRAIN_POLL_SECONDS)
        self.exiting.set()
        with trio.move_on_after(FINAL_ANSWER_SECONDS):
            while self.in_progress:
                await trio.sleep(DRAIN_POLL_SECONDS)


async def log_ignored_signals(signals: AsyncIterator[int]) -> None:
    """Log the signals that arrive during a drain, until cancelled.

    Args:
        signals: Numbers of the signals, as they arrive.
    """
    async for number in signals:
        logger.bind(signal=number).info("signal ignored, the entry is draining")
