"""Search for the tiling with the most streams for the engines of some domains."""

from __future__ import annotations

from itertools import product
from typing import TYPE_CHECKING

from pistachioreach.placement.accelerators import MIN_STREAMS, most_streams
from pistachioreach.placement.tiling import (
    LARGEST_SHARES,
    ROUNDING,
    Tiling,
    TilingGoal,
    pack_layers,
    tile_layers,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pistachioreach.placement.accelerators import Resources
    from pistachioreach.placement.step_budget import StepBudget

__all__ = ["best_tiling", "level_bound"]

#: Shares of the upper bound on the level that are tried until one succeeds. Of 242
#: searches on 46 fleets, two reached more than the first share.
LEVEL_SHARES = tuple(share / 100 for share in range(98, 40, -3))
#: Shares of the steps left that are used for each number of holders. The rest is left
#: for `pack_layers`.
STEP_SHARES = {2: 0.6, 3: 0.4, 1: 0.8}
#: Shares of the level that a layer may lack without another range. Small gaps between
#: ranges would otherwise each take a whole accelerator. Which share gives the highest
#: level depends on the accelerators, so all are tried.
GAP_SHARES = (0.07, 0.02, 0.15)
#: Factors by which more of an accelerator's capacity must be used for the accelerator
#: to be preferred over a faster one. As with the gaps, all are tried.
PREFERENCES = (1.3, 2.0, 1.02)
#: Weight of the streams after the loss of an engine. An engine is reloaded within
#: seconds, so that the streams before a loss count more.
AFTER_LOSS_WEIGHT = 0.25
#: Shares of the upper bound on the level at which the largest accelerators are placed
#: first. The level reached depends strongly on how the ranges fit together.
PACKED_SHARES = (0.95, 0.9, 0.85, 0.8, 0.75)
#: Number of bisections of the upper bound on the level, which bounds its error to 0.2%
#: of the streams without waste (1 / 2**9).
BOUND_BISECTIONS = 9
#: Minimum share of the level with one holder of each layer at which a second holder is
#: required. Below it, the accelerators have no memory for two copies of the weights.
SECOND_HOLDER_SHARE = 0.7


def best_tiling(resources: Resources, budget: StepBudget) -> Tiling | None:
    """Return the ranges for the engines of some domains, or None without a chain.

    Each layer has at least two holders, unless a second one costs too much cache. Of
    layouts with two holders or more, the one with the most streams before and after
    the loss of an engine is returned.
    """
    bounds = {holders: level_bound(resources, holders) for holders in LARGEST_SHARES}
    found: dict[int, Tiling] = {}
    for holders, bound in bounds.items():
        most = max((tiling.level for tiling in found.values()), default=0.0)
        if holders == 1 and most >= SECOND_HOLDER_SHARE * bound:
            continue
        if bound >= holders * MIN_STREAMS:
            part = budget.reserve(STEP_SHARES[holders])
            keep_higher(found, highest_tiling(resources, holders, bound, part))
            budget.release(part)
    if len(resources.stock) == 1:
        # The engines of several domains need the order that `tile_layers` keeps.
        add_packed(found, resources, bounds, budget)
    return choose_tiling(found)


def keep_higher(found: dict[int, Tiling], tiling: Tiling | None) -> None:
    """Record a tiling if it has the highest level for its number of holders."""
    if tiling is None:
        return
    known = found.get(tiling.holders)
    if known is None or tiling.level > known.level:
        found[tiling.holders] = tiling


def add_packed(
    found: dict[int, Tiling],
    resources: Resources,
    bounds: Mapping[int, float],
    budget: StepBudget,
) -> None:
    """Replace tilings by ones of `pack_layers` that have a higher level.

    Args:
        found: Tilings by number of holders; updated.
        resources: The engines and the layers.
        bounds: Upper bound on the level by number of holders.
        budget: Steps that the search may still take.
    """
    for share, holders in product(PACKED_SHARES, tuple(found)):
        level = share * bounds[holders]
        if found[holders].level < level:
            goal = TilingGoal(level, holders)
            keep_higher(found, pack_layers(resources, goal, budget))


def choose_tiling(found: Mapping[int, Tiling]) -> Tiling | None:
    """Return the best of the tilings by number of holders, or None if there is none."""
    if not found:
        return None
    fewest_holders = found[min(found)]
    redundant = [
        tiling
        for tiling in found.values()
        if tiling.holders > 1
        and tiling.level_after_loss > 0
        and tiling.level >= SECOND_HOLDER_SHARE * fewest_holders.level
    ]
    return max(
        redundant,
        key=lambda tiling: tiling.level + AFTER_LOSS_WEIGHT * tiling.level_after_loss,
        default=fewest_holders,
    )


def highest_tiling(
    resources: Resources, holders: int, bound: float, budget: StepBudget
) -> Tiling | None:
    """Return the ranges with the highest level for a number of holders, or None.

    Args:
        resources: The engines and the layers.
        holders: Number of holders of each layer.
        bound: Upper bound on the level.
        budget: Steps that the search may still take.
    """
    least = holders * MIN_STREAMS
    goal = TilingGoal(least, holders, GAP_SHARES[0], PREFERENCES[0])
    best = tile_layers(resources, goal, budget)
    for gap_share, preference in product(GAP_SHARES, PREFERENCES):
        for share in LEVEL_SHARES:
            goal = TilingGoal(share * bound, holders, gap_share, preference)
            if best is not None and goal.level <= best.level:
                break
            tiling = tile_layers(resources, goal, budget)
            if tiling is not None:
                if best is None or tiling.level > best.level:
                    best = tiling
                break
    return best


def level_bound(resources: Resources, holders: int) -> float:
    """Return an upper bound on the level of streams for a number of holders.

    Each engine provides, over all of its layers, at most the streams of its best
    length, of which those above its share of the level do not count.
    """
    kinds, layers = resources.kinds, resources.layers
    counts: dict[str, int] = {}
    for domain_counts in resources.stock.values():
        for name, count in domain_counts.items():
            counts[name] = counts.get(name, 0) + count
    low, high = 0.0, most_streams(resources)
    for _ in range(BOUND_BISECTIONS):
        level = (low + high) / 2
        most = level * LARGEST_SHARES[holders]
        provided = sum(
            count
            * max(
                length * min(most, kinds[name].streams[length])
                for length in range(1, kinds[name].longest + 1)
            )
            for name, count in counts.items()
        )
        if provided >= layers * level * (1 - ROUNDING):
            low = level
        else:
            high = level
    return high
