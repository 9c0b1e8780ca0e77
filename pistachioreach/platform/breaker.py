"""Circuit breaker with jittered exponential backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["CircuitBreaker", "backoff_seconds"]

#: Consecutive failures that open the circuit breaker.
FAILURES_TO_OPEN = 5
#: Upper limit of the first time for which the circuit breaker stays open.
INITIAL_OPEN_SECONDS = 0.25
#: Upper limit of every time for which the circuit breaker stays open, so that the
#: recovery of the service is noticed within seconds.
MAX_OPEN_SECONDS = 2.0


def backoff_seconds(
    attempt: int, initial: float, maximum: float, random: Random
) -> float:
    """Return the delay before a retry: exponential backoff with full jitter.

    Args:
        attempt: Number of the retry, from 0.
        initial: Upper limit of the first delay, in seconds.
        maximum: Upper limit of every delay, in seconds.
        random: Random generator for the jitter.
    """
    return random.uniform(0, min(maximum, initial * 2**attempt))


class CircuitBreaker:
    """Suspends calls to a service after consecutive failures.

    While the circuit breaker is open, it allows one trial call at the end of each
    interval. A successful call closes the circuit breaker.

    Args:
        random: Random generator for the jitter.
    """

    def __init__(self, random: Random) -> None:
        #: Random generator for the jitter.
        self.random = random
        #: Failures since the last success.
        self.failures = 0
        #: Monotonic time, in seconds, until which no call is allowed.
        self.open_until = 0.0

    def allows_call(self, now: float) -> bool:
        """Return whether a call may be made now.

        An allowed call is the trial call if the circuit breaker is open, and starts
        its next interval.

        Args:
            now: Current monotonic time, in seconds.
        """
        if now < self.open_until:
            return False
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until = now + self.open_seconds()
        return True

    def open_seconds(self) -> float:
        """Return the seconds until the next trial call, with jitter."""
        excess = min(self.failures - FAILURES_TO_OPEN, 8)
        maximum = min(MAX_OPEN_SECONDS, INITIAL_OPEN_SECONDS * 2**excess)
        return self.random.uniform(maximum / 2, maximum)

    def record_failure(self, now: float) -> None:
        """Record a failed call; open the circuit breaker after too many.

        Args:
            now: Current monotonic time, in seconds.
        """
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until = now + self.open_seconds()

    def record_success(self) -> None:
        """Record a successful call and close the circuit breaker."""
        self.failures = 0
        self.open_until = 0.0
