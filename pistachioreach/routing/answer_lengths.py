"""Expected answer lengths, learned by route from actual and stated output tokens.

The load: callers state lengths that are right at the median but often far off, and
every stream reserves KV cache for its expected length. If the estimates are too low,
engines run out of memory; if they are too high, cache that nobody uses stays reserved.

An engine holds the streams of many answers, so their sum counts and not each answer.
Let r be the ratio of actual to stated tokens, with mean m and standard deviation s. If
n streams with statements of similar size each reserve q times their statement, the sum
of the answers is approximately normal, and it exceeds the sum of the reservations with
the probability p for

    q = m + z(p) * s / sqrt(n),    z(p): quantile of the normal distribution at 1 - p.

n is the number of streams that fill an engine, since only a full engine can run out of
memory. With a log-normal ratio (median 1, sigma 0.5: m = 1.13, s = 0.60) and p = 0.01,
q is 1.27 for 100 streams, which is the 0.68 quantile of the ratio, and 2.54 for one.

m and s are estimated from k answers. The error of m adds s * s / k to the variance of
the difference per stream, so that s / sqrt(n) becomes s * sqrt(1 / n + 1 / k).

The bound is that of n answers that all reach their end together. Answers in different
phases hold less. An answer that exceeds its estimate reserves the mean length of the
answers that got as far, so that long answers are not counted as short ones for the rest
of their time, in which they make up more of an engine's streams than of all streams.
"""

from __future__ import annotations

import math
from statistics import NormalDist

__all__ = ["INITIAL_RATIO", "AnswerLengths", "LengthSample"]

#: Ratio of reserved to stated tokens until enough answers are known.
INITIAL_RATIO = 1.2
#: Number of answers from which on the learned ratio is used: the usual lower limit at
#: which the mean of a skewed sample is approximately normal.
MIN_ANSWERS = 30
#: Number of the latest answers of a route that determine its sample: older ones decay.
#: An entry serves one to two streams per second, so that this is about five minutes.
#: The decaying sample is as precise as one of twice as many answers without decay.
SAMPLE_ANSWERS = 500
#: Probability that the answers on a full engine exceed the sum of the reservations.
#: A fifth of the rejections that were measured (721 of 7,857 requests) is 1.8%.
EXCESS_PROBABILITY = 0.01
#: Buckets per doubling of the ratio: the bounds of a bucket differ by 9%.
BUCKETS_PER_OCTAVE = 8
#: Range of the ratios that are told apart: 2 to the power of -6 to 6. Ratios outside
#: are counted in the outermost buckets.
OCTAVES = 6
#: Maximum number of routes with a sample. Names of routes that are no longer configured
#: are the first to be dropped.
MAX_ROUTES = 1000
#: Weight of a new answer above which all weights are scaled down, long before a sum of
#: them loses precision.
MAX_WEIGHT = 1e6

#: Quantile of the standard normal distribution at 1 - EXCESS_PROBABILITY.
Z = NormalDist().inv_cdf(1 - EXCESS_PROBABILITY)
#: Factor by which the weight of each answer exceeds that of the one before.
GROWTH = 1 / (1 - 1 / SAMPLE_ANSWERS)


class LengthSample:
    """Decaying sample of the ratios of actual to stated tokens on one route.

    Newer answers get higher weights, instead of all earlier ones lower weights, so that
    an answer changes one bucket and the sums.
    """

    def __init__(self) -> None:
        #: Number of answers so far.
        self.answers = 0
        #: Weight of the next answer.
        self.weight = 1.0
        #: Sums of the weights, of the weighted ratios and of their weighted squares.
        self.total = self.ratios = self.squares = 0.0
        #: Sums of the weights and of the weighted ratios in each bucket.
        count = 2 * OCTAVES * BUCKETS_PER_OCTAVE
        self.bucket_totals = [0.0] * count
        self.bucket_ratios = [0.0] * count

    def add(self, ratio: float) -> None:
        """Add the ratio of a complete answer."""
        bucket = bucket_of(ratio)
        self.answers += 1
        self.total += self.weight
        self.ratios += self.weight * ratio
        self.squares += self.weight * ratio * ratio
        self.bucket_totals[bucket] += self.weight
        self.bucket_ratios[bucket] += self.weight * ratio
        self.weight *= GROWTH
        if self.weight > MAX_WEIGHT:
            self.rescale()

    def rescale(self) -> None:
        """Scale all weights so that the next answer has the weight 1."""
        scale = 1 / self.weight
        self.weight = 1.0
        self.total *= scale
        self.ratios *= scale
        self.squares *= scale
        self.bucket_totals = [value * scale for value in self.bucket_totals]
        self.bucket_ratios = [value * scale for value in self.bucket_ratios]

    def reserved_ratio(self, streams: float) -> float:
        """Return the ratio to reserve on engines that hold a number of streams."""
        mean = self.ratios / self.total
        variance = max(0.0, self.squares / self.total - mean * mean)
        known = min(self.answers, 2 * SAMPLE_ANSWERS)
        return mean + Z * math.sqrt(variance * (1 / max(1.0, streams) + 1 / known))

    def mean_above(self, ratio: float) -> float:
        """Return the mean of the ratios above a given one, or that one without any.

        The bucket that contains the given ratio is left out, so that the mean is above.
        """
        above = slice(bucket_of(ratio) + 1, None)
        total = sum(self.bucket_totals[above])
        return sum(self.bucket_ratios[above]) / total if total else ratio


class AnswerLengths:
    """Learns the answer lengths of each route and estimates those of new answers."""

    def __init__(self) -> None:
        #: Sample of each route that has had a complete answer, by the route's name, in
        #: the order of their latest answers.
        self.samples: dict[str, LengthSample] = {}

    def record(self, route: str, stated: int, actual: int) -> None:
        """Record a complete answer.

        Args:
            route: Name of the route.
            stated: Number of output tokens that the caller expected.
            actual: Number of output tokens of the answer.
        """
        if stated <= 0 or actual <= 0:
            return
        sample = self.samples.pop(route, None) or LengthSample()
        sample.add(actual / stated)
        self.samples[route] = sample
        if len(self.samples) > MAX_ROUTES:
            del self.samples[next(iter(self.samples))]

    def known(self, route: str) -> LengthSample | None:
        """Return the sample of a route, or None while it has too few answers."""
        sample = self.samples.get(route)
        return sample if sample and sample.answers >= MIN_ANSWERS else None

    def expected_tokens(
        self, route: str, stated: int, maximum: int, streams: float, sent: int = 0
    ) -> int:
        """Return the output tokens for which a stream reserves KV cache.

        Args:
            route: Name of the route.
            stated: Number of output tokens that the caller expects.
            maximum: Maximum number of output tokens that the caller states.
            streams: Number of streams that fill an engine.
            sent: Number of output tokens that the caller has already got.

        Returns:
            The tokens of the whole answer, at most the maximum.
        """
        sample = self.known(route)
        ratio = INITIAL_RATIO if sample is None else sample.reserved_ratio(streams)
        expected = ratio * stated
        if sent >= expected:
            if sample is None or stated <= 0:
                expected = INITIAL_RATIO * sent
            else:
                expected = stated * sample.mean_above(sent / stated)
        return min(maximum, max(sent, math.ceil(expected)))


def bucket_of(ratio: float) -> int:
    """Return the index of the bucket for a ratio."""
    index = math.floor((math.log2(ratio) + OCTAVES) * BUCKETS_PER_OCTAVE)
    return max(0, min(2 * OCTAVES * BUCKETS_PER_OCTAVE - 1, index))
