"""Circuit breaker with jittered exponential backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["CircuitBreaker", "backoff_seconds"]

#: Failures in a row that open the breaker.
FAILURES_TO_OPEN = 5
#: Seconds that it stays open the first time.
FIRST_OPEN_SECONDS = 0.25
#: Longest time that it stays open, so that recovery is seen within seconds.
LONGEST_OPEN_SECONDS = 2.0


def backoff_seconds(
    attempt: int, first: float, longest: float, random: Random
) -> float:
    """Return the wait before a retry: exponential, with full jitter.

    Args:
        attempt: Number of the retry, from 0.
        first: Upper limit of the first wait, in seconds.
        longest: Upper limit of every wait, in seconds.
        random: Source of the jitter.
    """
    return random.uniform(0, min(longest, first * 2**attempt))


class CircuitBreaker:
    """Stops calls to a service for a while after failures in a row.

    While it is open one call is let through at the end of each interval; a
    success closes it.

    Args:
        random: Source of the jitter.
    """

    def __init__(self, random: Random) -> None:
        #: Source of the jitter.
        self.random = random
        #: Failures since the last success.
        self.failures = 0
        #: Monotonic time until which no call is let through.
        self.open_until = 0.0

    def allows(self, now: float) -> bool:
        """Whether a call may be made at a monotonic time."""
        if now < self.open_until:
            return False
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until = now + self.interval()
        return True

    def interval(self) -> float:
        """Return seconds until the next call that is let through."""
        excess = min(self.failures - FAILURES_TO_OPEN, 8)
        longest = min(LONGEST_OPEN_SECONDS, FIRST_OPEN_SECONDS * 2**excess)
        return self.random.uniform(longest / 2, longest)

    def record_failure(self, now: float) -> None:
        """Note a failure at a monotonic time."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until = now + self.interval()

    def record_success(self) -> None:
        """Note a success."""
        self.failures = 0
        self.open_until = 0.0
