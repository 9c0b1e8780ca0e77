"""How long a stream may be silent before something is taken to be wrong."""

from __future__ import annotations

__all__ = ["STALL_FACTOR", "GapEstimator"]

#: Weight of a new gap in the mean, as in the retransmission timer of RFC 6298.
MEAN_WEIGHT = 1 / 8
#: Weight of a new gap in the deviation, as in RFC 6298.
DEVIATION_WEIGHT = 1 / 4
#: Deviations above the mean that are still normal; 4 gave false alarms on
#: batches that form and dissolve.
DEVIATIONS = 8.0
#: Shortest limit as a multiple of the mean gap.
MEAN_FACTOR = 1.5
#: Shortest limit, in seconds; the scheduler of a busy VM alone takes 50 ms. A
#: false alarm costs a few small requests, no prefill.
SHORTEST_SECONDS = 0.06
#: Limit for a stage that answers but produces nothing, as a multiple of the
#: limit on a silent connection; leaving it costs a prefill.
STALL_FACTOR = 2.0
#: Longest limit between tokens, in seconds.
LONGEST_SECONDS = 5.0
#: Limit before enough gaps have been seen, in seconds.
INITIAL_SECONDS = 1.0
#: Gaps that must be seen before the limit adapts.
GAPS_TO_ADAPT = 8
#: Limit on the first token, as a multiple of the longest first wait seen.
FIRST_TOKEN_FACTOR = 3.0


class GapEstimator:
    """Learns the normal gaps between the tokens of one model."""

    def __init__(self) -> None:
        #: Moving mean of the gaps, in seconds.
        self.mean = 0.0
        #: Moving mean deviation of the gaps, in seconds.
        self.deviation = 0.0
        #: Gaps seen.
        self.gaps = 0
        #: Longest first wait of late, in seconds; decays with each new one.
        self.first_wait = 0.0

    def observe_gap(self, seconds: float) -> None:
        """Note the time between two tokens."""
        if not self.gaps:
            self.mean = seconds
            self.deviation = seconds / 2
        off = abs(seconds - self.mean)
        self.deviation += DEVIATION_WEIGHT * (off - self.deviation)
        self.mean += MEAN_WEIGHT * (seconds - self.mean)
        self.gaps += 1

    def observe_first_wait(self, seconds: float) -> None:
        """Note the time to the first token of an attempt."""
        self.first_wait = max(seconds, self.first_wait * (1 - MEAN_WEIGHT))

    def token_timeout(self) -> float:
        """Return seconds of silence between tokens that are still normal."""
        if self.gaps < GAPS_TO_ADAPT:
            return INITIAL_SECONDS
        limit = self.mean + DEVIATIONS * self.deviation
        limit = max(SHORTEST_SECONDS, MEAN_FACTOR * self.mean, limit)
        return min(LONGEST_SECONDS, limit)

    def first_token_timeout(self) -> float:
        """Return seconds before the first token that are still normal."""
        limit = self.first_wait * FIRST_TOKEN_FACTOR
        return min(LONGEST_SECONDS, max(INITIAL_SECONDS, limit))
