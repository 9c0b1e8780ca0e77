"""Limit on repeated sends to a service, of all entries together."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.clock import Clock

__all__ = ["RetryLimit"]

#: Share of the allowed retries that is used; the entries' counts of each other
#: are a little late.
USED_SHARE = 0.85


class RetryLimit:
    """Allows repeated sends of one entry, by service, in a sliding window.

    Each entry may repeat a share of its own first sends, and an equal part of
    the allowance that all entries have besides.

    Args:
        ratio: Repeated sends allowed for each request.
        slack: Repeated sends allowed besides, by all entries together.
        window: Seconds over which both are counted.
        entries: Returns the number of live entries.
        clock: Clock of the window.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        entries: Callable[[], int],
        clock: Clock,
    ) -> None:
        #: Repeated sends allowed for each request.
        self.ratio = ratio
        #: Repeated sends allowed besides, by all entries together.
        self.slack = slack
        #: Seconds over which both are counted.
        self.window = window
        #: Returns the number of live entries.
        self.entries = entries
        #: Clock of the window.
        self.clock = clock
        #: Times of first sends by service.
        self.firsts: dict[str, deque[float]] = {}
        #: Times of repeated sends by service.
        self.repeats: dict[str, deque[float]] = {}

    def count_first_send(self, service: str) -> None:
        """Count a request that is sent for the first time."""
        self.recent(self.firsts, service).append(self.clock.monotonic())

    def spend(self, service: str) -> bool:
        """Take one repeated send, if it is within the limit."""
        firsts = len(self.recent(self.firsts, service))
        repeats = self.recent(self.repeats, service)
        allowed = self.ratio * firsts + self.slack / self.entries()
        if len(repeats) + 1 > USED_SHARE * allowed:
            return False
        repeats.append(self.clock.monotonic())
        return True

    def recent(self, counts: dict[str, deque[float]], service: str) -> deque[float]:
        """Return the times within the window."""
        times = counts.setdefault(service, deque())
        oldest = self.clock.monotonic() - self.window
        while times and times[0] < oldest:
            times.popleft()
        return times
