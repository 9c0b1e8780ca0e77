"""Grouping of failure domains that are too small to form chains of their own."""

from __future__ import annotations

from collections import Counter
from functools import lru_cache
from typing import TYPE_CHECKING

from pistachioreach.placement.accelerators import (
    Resources,
    accelerator_kinds,
    most_streams,
)
from pistachioreach.placement.capacity import MAX_EVENT_MS, link_streams
from pistachioreach.placement.step_budget import StepBudget
from pistachioreach.placement.tiling_search import best_tiling, level_bound

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from pistachioreach.placement.accelerators import Stock
    from pistachioreach.placement.plan import PlacedEngine
    from pistachioreach.placement.tiling import Tiling
    from pistachioreach.routing.routes import EngineModel

__all__ = ["group_domains", "grouped_stock"]

#: Number of steps of one search for the ranges of single domains, and for those of
#: domains that form chains together. A step takes about 3 us: a range placed while a
#: level of streams is tried. Together with the steps of `search_layout` they keep a
#: plan for 100 engines below 50 ms.
MAX_STEPS = 4500
POOL_STEPS = 2500
#: Share of the level that the accelerators' memory would allow, below which a domain's
#: own chains are compared with chains that the domain shares with others.
WEAK_SHARE = 0.1
#: Maximum number of domains for which all ways of pooling are compared; 4 domains can
#: be pooled in 15 ways.
MAX_COMPARED_DOMAINS = 4
#: Number of results kept. The placer plans again after each order and load, with the
#: same engines; other results belong to engines that have left or returned.
MAX_CACHED_GROUPINGS = 8

#: Failure domains that form chains together, in the order of the chains.
Domains = tuple[str, ...]
#: Failure domain, name of the kind, and number of engines.
EngineCounts = tuple[tuple[tuple[str, str], int], ...]


def group_domains(
    engines: Sequence[PlacedEngine], model: EngineModel
) -> dict[Domains, Tiling | None]:
    """Return the groups of domains that form chains together, each with its ranges.

    A domain whose engines can run chains of their own forms a group alone. The groups
    depend on the engines, but not on the layers that they hold.

    Args:
        engines: Engines of known kinds.
        model: Model that the engines run.
    """
    counts = Counter((engine.failure_domain, engine.card) for engine in engines)
    hashable = model._replace(cards=tuple(sorted(model.cards.items())))
    return grouped_stock(tuple(sorted(counts.items())), hashable)


@lru_cache(maxsize=MAX_CACHED_GROUPINGS)
def grouped_stock(
    counts: EngineCounts, model: EngineModel
) -> dict[Domains, Tiling | None]:
    """Return the groups of domains for numbers of engines.

    Args:
        counts: Failure domain, kind of accelerator and number of engines.
        model: Model that the engines run, with the items of `cards` as a tuple.
    """
    pooling = Pooling(counts, model._replace(cards=dict(model.cards)))
    return {group: pooling.tiling(group) for group in sorted(pooling.groups())}


class Pooling:
    """Search for the groups of domains, with the tilings found so far.

    Args:
        counts: Failure domain, kind of accelerator and number of engines.
        model: Model that the engines run.
    """

    def __init__(self, counts: EngineCounts, model: EngineModel) -> None:
        #: Model that the engines run.
        self.model = model
        #: Kinds of accelerators by name.
        self.kinds = accelerator_kinds(model)
        #: Number of engines by failure domain and kind.
        self.stock: Stock = {}
        for (domain, kind), count in sorted(counts):
            self.stock.setdefault(domain, {})[kind] = count
        #: Number of all engines.
        self.total = sum(count for _, count in counts)
        #: Tilings found so far, by group of domains.
        self.tilings: dict[Domains, Tiling | None] = {}
        #: Steps for groups of several domains.
        self.pool_budget = StepBudget(POOL_STEPS)

    def groups(self) -> list[Domains]:
        """Return the groups of domains that form chains together."""
        domains = list(self.stock)
        weak = tuple(domain for domain in domains if self.is_weak((domain,)))
        strong = [domain for domain in domains if domain not in weak]
        if not weak:
            return [(domain,) for domain in domains]
        if len(weak) > 1 and not self.is_weak(weak):
            return [weak, *((domain,) for domain in strong)]
        if len(domains) <= MAX_COMPARED_DOMAINS:
            # Of equal values, the grouping with the most groups is used.
            options = sorted(partitions(domains), key=lambda option: -len(option))
            return max(options, key=self.total_streams)
        return self.extended_pool(weak, strong)

    def extended_pool(self, weak: Domains, strong: Sequence[str]) -> list[Domains]:
        """Return groups in which weak domains share chains with the weakest others."""
        pool = weak
        others = sorted(strong, key=lambda domain: (self.streams((domain,)), domain))
        while others and self.is_weak(pool):
            pool = tuple(sorted((*pool, others.pop(0))))
        return [pool, *((domain,) for domain in others)]

    def resources(self, group: Domains) -> Resources:
        """Return the engines of a group of domains."""
        stock = {domain: self.stock[domain] for domain in group}
        return Resources(stock, self.kinds, self.model.layers)

    def tiling(self, group: Domains) -> Tiling | None:
        """Return the best ranges of a group of domains, or None without a chain."""
        if group not in self.tilings:
            self.tilings[group] = self.search(group)
        return self.tilings[group]

    def search(self, group: Domains) -> Tiling | None:
        """Search for the best ranges of a group, with steps by its share of engines."""
        resources = self.resources(group)
        count = sum(sum(counts.values()) for counts in resources.stock.values())
        alone = len(group) == 1
        allowed = MAX_STEPS if alone else self.pool_budget.left / self.pool_count()
        budget = StepBudget(int(allowed * count / self.total))
        tiling = best_tiling(resources, budget)
        if alone:
            # Single domains are searched first; pools get what these leave.
            self.pool_budget.release(budget)
        return tiling

    def pool_count(self) -> int:
        """Return the number of pools of several domains to which a domain can belong.

        With many domains, only pools that grow by one domain at a time are tried.
        """
        domains = len(self.stock)
        if domains > MAX_COMPARED_DOMAINS:
            return domains
        return max(1, 2 ** (domains - 1) - 1)

    def streams(self, group: Domains) -> float:
        """Return the streams of a group, as far as the link between domains allows."""
        tiling = self.tiling(group)
        if tiling is None:
            return 0.0
        return min(tiling.level, link_streams(self.model, len(group) - 1, MAX_EVENT_MS))

    def total_streams(self, groups: Sequence[Domains]) -> float:
        """Return the streams of all groups, rounded so that equal sums compare equal.

        The sum depends on the order of the groups in its last digits.
        """
        return round(sum(map(self.streams, groups)), 3)

    def is_weak(self, group: Domains) -> bool:
        """Return whether a group has no chain, or chains that waste most of its memory.

        The bound, unlike the level found, does not depend on the number of steps.
        """
        resources = self.resources(group)
        bound = level_bound(resources, 1)
        few_streams = bound < WEAK_SHARE * most_streams(resources)
        return self.tiling(group) is None or few_streams


def partitions(items: Sequence[str]) -> Iterator[list[Domains]]:
    """Yield all ways to divide items into groups, ungrouped items first."""
    if not items:
        yield []
        return
    first, rest = items[0], items[1:]
    for groups in partitions(rest):
        yield [(first,), *groups]
        for index, group in enumerate(groups):
            yield [*groups[:index], (first, *group), *groups[index + 1 :]]
