"""Streams and holders of each layer, and the range that adds most to them."""

from __future__ import annotations

from itertools import accumulate
from operator import sub
from typing import TYPE_CHECKING

from pistachioreach.placement.accelerators import streams_of

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pistachioreach.placement.accelerators import AcceleratorKind
    from pistachioreach.placement.step_budget import StepBudget

__all__ = ["SECOND_HOLDER_GAIN", "LayerProfile"]

#: Exponent by which a layer with few streams counts more than others, and the share of
#: the level that is added to its streams. The layers with the least capacity limit the
#: group, but a move of one engine seldom helps all of them.
COVER_POWER = 4
MIN_COVER_SHARE = 0.2
#: Gain of the first holder of a layer, and of the second. The streams of a layer gain
#: at most 625 with the two constants above, so that 1,000 layers outweigh neither.
#: Tuples of counts and streams instead would change layouts (in a trial, 15 of 92),
#: since the relative tolerance `ROUNDING` applies to the whole gain.
FIRST_HOLDER_GAIN = 1e12
SECOND_HOLDER_GAIN = 1e9
#: Relative difference below which the gains of two lengths count as equal, so that
#: rounding of sums does not decide which range is used. While layers lack their first
#: holder, gains of streams are below this difference, and the shorter range is used.
ROUNDING = 1e-9
#: Steps that one length tried for one engine takes, which sums over all layers.
LENGTH_STEPS = 6


class LayerProfile:
    """Streams and holders of each layer in a group of engines.

    Args:
        layers: Number of layers of the model.
        wanted: Number of holders that each layer is to have, 1 or 2.
        level: Number of streams to which the streams of a layer are compared.
    """

    def __init__(self, layers: int, wanted: int = 2, level: float = 1.0) -> None:
        #: Number of holders that each layer is to have.
        self.wanted = wanted
        #: Number of streams to which the streams of a layer are compared.
        self.level = level
        #: Sum of the numbers of streams of all holders, by layer.
        self.cover = [0.0] * layers
        #: Number of holders, by layer.
        self.holders = [0] * layers

    def update(self, layers: tuple[int, int], streams: float, sign: int) -> None:
        """Add a range of layers with a number of streams, or subtract it."""
        if not streams:
            return
        for layer in range(max(0, layers[0]), min(layers[1], len(self.cover))):
            self.cover[layer] += sign * streams
            self.holders[layer] += sign

    def update_kind(
        self, kind: AcceleratorKind, layers: tuple[int, int], sign: int
    ) -> None:
        """Add a range of layers on an accelerator of a kind, or subtract it."""
        self.update(layers, streams_of(kind, layers), sign)

    def empty_copy(self) -> LayerProfile:
        """Return a profile with the same goals, but without holders."""
        return LayerProfile(len(self.cover), self.wanted, self.level)

    def copy(self) -> LayerProfile:
        """Return a copy of the profile."""
        copy = self.empty_copy()
        copy.restore(self)
        return copy

    def restore(self, saved: LayerProfile) -> None:
        """Replace the streams and holders by those of a copy."""
        self.cover = list(saved.cover)
        self.holders = list(saved.holders)

    def gains(self, streams: float) -> list[float]:
        """Return the gain of one more holder with a number of streams, by layer."""
        if not streams:
            return [0.0] * len(self.cover)
        by_count = (FIRST_HOLDER_GAIN, SECOND_HOLDER_GAIN if self.wanted > 1 else 0.0)
        base = MIN_COVER_SHARE * self.level
        scale = self.level**COVER_POWER
        return [
            (by_count[count] if count < 2 else 0.0)
            + scale * (base + cover) ** -COVER_POWER
            - scale * (base + cover + streams) ** -COVER_POWER
            for cover, count in zip(self.cover, self.holders, strict=True)
        ]

    def range_gain(self, kind: AcceleratorKind, layers: tuple[int, int]) -> float:
        """Return the gain of a range on an engine that the profile does not count."""
        gains = self.gains(streams_of(kind, layers))
        return sum(gains[max(0, layers[0]) : layers[1]])

    def best_range(
        self,
        kind: AcceleratorKind,
        budget: StepBudget,
        extra: Collection[int] = (),
        required: Sequence[int] = (),
    ) -> tuple[float, tuple[int, int]]:
        """Return the highest gain of a range on one more engine, and the range.

        Of ranges with equal gain, the shortest is returned, and of these the one with
        the lowest first layer.

        Args:
            kind: Kind of the engine's accelerator.
            budget: Steps that the search may still take.
            extra: Lengths that are tried in addition to those of the kind.
            required: Layers that the range must contain, in order.
        """
        best = (0.0, (0, 0))
        lengths = {*kind.lengths, *(n for n in extra if 0 < n <= kind.longest)}
        last_start = min(required, default=len(self.cover))
        first_end = max(required, default=-1) + 1
        for length in sorted(lengths):
            if not budget.spend(LENGTH_STEPS) and best[1] != (0, 0):
                break
            sums = list(accumulate(self.gains(kind.streams[length]), initial=0.0))
            totals = list(map(sub, sums[length:], sums))
            first_start = max(0, first_end - length)
            totals = totals[first_start : last_start + 1]
            total = max(totals, default=0.0)
            if total > best[0] * (1 + ROUNDING):
                start = first_start + totals.index(total)
                best = (total, (start, start + length))
        return best
