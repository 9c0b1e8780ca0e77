"""Adaptive timeouts for the tokens of a stream."""

from __future__ import annotations

__all__ = ["STALL_FACTOR", "GapEstimator"]

#: Weight of a new gap in the mean, as in the retransmission timer of RFC 6298.
MEAN_WEIGHT = 1 / 8
#: Weight of a new gap in the mean deviation, as in RFC 6298.
DEVIATION_WEIGHT = 1 / 4
#: Timeout above the mean gap, in mean deviations. With 4, false alarms occurred while
#: batches formed and dissolved.
DEVIATIONS = 8.0
#: Minimum timeout, as a multiple of the mean gap.
MEAN_FACTOR = 1.5
#: Minimum timeout, in seconds. The scheduler of a busy VM alone can take 50 ms. A false
#: alarm costs a few small requests, but no prefill.
MIN_TIMEOUT_SECONDS = 0.06
#: Timeout of a stage that responds but produces no tokens, as a multiple of the timeout
#: of a silent connection. It is longer because leaving such a stage costs a prefill.
STALL_FACTOR = 2.0
#: Maximum timeout, in seconds.
MAX_TIMEOUT_SECONDS = 5.0
#: Timeout until enough gaps have been observed, in seconds.
INITIAL_TIMEOUT_SECONDS = 1.0
#: Number of observed gaps from which on the timeout adapts.
GAPS_TO_ADAPT = 8
#: Timeout of the first token, as a multiple of the longest recent wait for one.
FIRST_TOKEN_FACTOR = 3.0


class GapEstimator:
    """Estimates the gaps between the tokens of a model and derives timeouts."""

    def __init__(self) -> None:
        #: Moving average of the gaps, in seconds.
        self.mean = 0.0
        #: Moving average of the gaps' deviation from the mean, in seconds.
        self.deviation = 0.0
        #: Number of observed gaps.
        self.gaps = 0
        #: Longest recent wait for a first token, in seconds. Each new observation
        #: lets this value decay.
        self.first_token_wait = 0.0

    def observe_gap(self, seconds: float) -> None:
        """Record the time between two tokens.

        Args:
            seconds: The time, in seconds.
        """
        if not self.gaps:
            self.mean = seconds
            self.deviation = seconds / 2
        error = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (error - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)
        self.gaps += 1

    def observe_first_wait(self, seconds: float) -> None:
        """Record the time until the first token of an attempt.

        Args:
            seconds: The time, in seconds.
        """
        self.first_token_wait = max(seconds, self.first_token_wait * (1 - MEAN_WEIGHT))

    def token_timeout(self) -> float:
        """Return the timeout between two tokens, in seconds."""
        if self.gaps < GAPS_TO_ADAPT:
            return INITIAL_TIMEOUT_SECONDS
        timeout = self.mean + DEVIATIONS * self.deviation
        timeout = max(MIN_TIMEOUT_SECONDS, MEAN_FACTOR * self.mean, timeout)
        return min(MAX_TIMEOUT_SECONDS, timeout)

    def first_token_timeout(self) -> float:
        """Return the timeout of the first token, in seconds."""
        timeout = self.first_token_wait * FIRST_TOKEN_FACTOR
        return min(MAX_TIMEOUT_SECONDS, max(INITIAL_TIMEOUT_SECONDS, timeout))
