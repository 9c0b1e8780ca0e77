"""Retry budget: limits retries to a fraction of the first attempts."""

from __future__ import annotations

__all__ = ["RetryBudget"]

#: Retries that are available before the first attempt is counted. With 3, part of
#: the requests failed when an endpoint died that ran a batch of 8.
INITIAL_RETRIES = 10.0
#: Maximum number of unused retries that are kept.
MAX_RETRIES = 50.0


class RetryBudget:
    """A token bucket that limits retries to a fraction of the first attempts.

    Each first attempt adds a fraction of a token; each retry takes a whole token.

    Args:
        percent: Retries allowed for each 100 first attempts.
    """

    def __init__(self, percent: int) -> None:
        #: Retries allowed for each 100 first attempts.
        self.percent = percent
        #: Number of retries that are available now.
        self.tokens = INITIAL_RETRIES

    def earn(self) -> None:
        """Count a first attempt and add its fraction of a retry."""
        self.tokens = min(MAX_RETRIES, self.tokens + self.percent / 100)

    def spend(self) -> bool:
        """Take one retry from the budget.

        Returns:
            Whether a retry was available.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
