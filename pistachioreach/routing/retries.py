"""Retry limit of each service, shared by all entries."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.clock import Clock

__all__ = ["RetryLimit"]

#: Share of the allowed retries that is used. The entries learn of each other's number
#: with a short delay.
USED_SHARE = 0.85


class RetryLimit:
    """Limits the retries that one entry sends to each service in a sliding window.

    Each entry may retry a fraction of its own first attempts. In addition, each entry
    gets an equal part of an allowance that all entries share.

    Args:
        ratio: Retries allowed for each first attempt.
        slack: Additional retries allowed in a window, for all entries together.
        window: Length of the sliding window, in seconds.
        entries: Function that returns the number of entries that may retry.
        clock: Clock of the sliding window.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        entries: Callable[[], int],
        clock: Clock,
    ) -> None:
        #: Retries allowed for each first attempt.
        self.ratio = ratio
        #: Additional retries allowed in a window, for all entries together.
        self.slack = slack
        #: Length of the sliding window, in seconds.
        self.window = window
        #: Function that returns the number of entries that may retry.
        self.entries = entries
        #: Clock of the sliding window.
        self.clock = clock
        #: Monotonic times of the first attempts, by service.
        self.first_attempts: dict[str, deque[float]] = {}
        #: Monotonic times of the retries, by service.
        self.retries: dict[str, deque[float]] = {}
        #: Number of retries that may be sent but wait for a place, by service.
        self.pending: Counter[str] = Counter()

    def count_first_attempt(self, service: str) -> None:
        """Count the first attempt of a request to a service."""
        self.in_window(self.first_attempts, service).append(self.clock.monotonic())

    def spend(self, service: str) -> bool:
        """Count a retry to a service if the limit allows one.

        Returns:
            Whether the retry is allowed.
        """
        if not self.reserve(service):
            return False
        self.confirm(service)
        return True

    def reserve(self, service: str) -> bool:
        """Count a retry as pending if the limit allows one.

        It counts until it is confirmed, however long it waits, since it may arrive with
        all retries of a later window.

        Returns:
            Whether the retry is allowed. It must then be confirmed or cancelled.
        """
        first_attempts = len(self.in_window(self.first_attempts, service))
        retries = self.in_window(self.retries, service)
        allowed = self.ratio * first_attempts + self.slack / self.entries()
        if len(retries) + self.pending[service] + 1 > USED_SHARE * allowed:
            return False
        self.pending[service] += 1
        return True

    def confirm(self, service: str) -> None:
        """Count a pending retry as sent now."""
        self.pending[service] -= 1
        self.in_window(self.retries, service).append(self.clock.monotonic())

    def withdraw(self, service: str) -> None:
        """Count the retry that was confirmed last, and did not arrive, as pending."""
        if retries := self.in_window(self.retries, service):
            retries.pop()
        self.pending[service] += 1

    def refund(self, service: str) -> None:
        """Do not count the retry that was spent last, which was not sent."""
        self.withdraw(service)
        self.cancel(service)

    def cancel(self, service: str) -> None:
        """Do not count a pending retry, which will not be sent."""
        self.pending[service] -= 1

    def in_window(self, times: dict[str, deque[float]], service: str) -> deque[float]:
        """Drop the times of a service that have left the window; return the others."""
        recent = times.setdefault(service, deque())
        oldest = self.clock.monotonic() - self.window
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent
