"""Retry budget: retries as a share of first attempts."""

from __future__ import annotations

__all__ = ["RetryBudget"]

#: Retries allowed before any first attempt has been counted; with 3, the death
#: of one endpoint that ran a batch of 8 failed some of the batch.
INITIAL_RETRIES = 10.0
#: Most retries that can be saved up.
MOST_RETRIES = 50.0


class RetryBudget:
    """Allows retries up to a share of first attempts.

    Each first attempt earns a part of a retry; each retry spends a whole one.

    Args:
        percent: Retries earned by 100 first attempts.
    """

    def __init__(self, percent: int) -> None:
        #: Retries earned by 100 first attempts.
        self.percent = percent
        #: Retries that can be spent now.
        self.tokens = INITIAL_RETRIES

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(MOST_RETRIES, self.tokens + self.percent / 100)

    def spend(self) -> bool:
        """Take one retry, if any is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
