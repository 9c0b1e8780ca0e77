"""Shutdown of an entry: what it still takes, and when its process may end.

Answers planned restarts under load. The balancer goes on sending to an entry
that is not ready for some seconds, and for the whole drain when no entry of the
failure domain is ready: requests that can still be finished are taken, and later
ones are refused, so that their callers go elsewhere at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pistachioreach.clock import Clock

__all__ = ["Drain"]

#: Seconds after the signal in which the balancer may still send new connections:
#: it asks once a second and needs two misses.
BALANCER_SECONDS = 3.2
#: Seconds without a new request after which the balancer has noticed.
QUIET_SECONDS = 1.0
#: Seconds before the kill at which what still runs is ended.
KILL_MARGIN = 0.4
#: Seconds after the signal in which requests are taken. The rest of the grace
#: time is for these: under the heaviest load a stream waits 1 s and runs 3.5 s.
TAKE_SECONDS = 3.0
#: Most of a short grace time in which requests are taken.
TAKE_SHARE = 0.4


class Drain:
    """The shutdown of an entry, before and after its beginning.

    Args:
        clock: Clock of all decisions.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock of all decisions.
        self.clock = clock
        #: Whether the shutdown has begun.
        self.begun = False
        #: Monotonic time after which new requests are refused.
        self.refuse_from = float("inf")
        #: Monotonic time before which the process does not end.
        self.earliest_exit = float("inf")
        #: Monotonic time at which the process ends in any case.
        self.latest_exit = float("inf")
        #: Monotonic time of the last request.
        self.last_arrival = float("-inf")
        #: Requests in progress.
        self.in_progress = 0

    def begin(self, grace: float) -> None:
        """Begin the shutdown.

        Args:
            grace: Seconds until the process is killed.
        """
        now = self.clock.monotonic()
        self.begun = True
        self.latest_exit = now + grace - KILL_MARGIN
        self.refuse_from = now + min(TAKE_SECONDS, grace * TAKE_SHARE)
        self.earliest_exit = now + min(BALANCER_SECONDS, grace / 2)

    def request_started(self) -> None:
        """Note a new request; `ended` follows."""
        self.last_arrival = self.clock.monotonic()
        self.in_progress += 1

    def request_ended(self) -> None:
        """Note the end of a request."""
        self.in_progress -= 1

    def refuses_requests(self) -> bool:
        """Whether a request that arrives now would not be finished in time."""
        return self.clock.monotonic() >= self.refuse_from

    def may_exit(self) -> bool:
        """Whether the process may end."""
        now = self.clock.monotonic()
        quiet = now - self.last_arrival >= QUIET_SECONDS
        idle = quiet and not self.in_progress
        return now >= self.latest_exit or (now >= self.earliest_exit and idle)
