"""Ranges of layers that together give every layer about a number of streams."""

from __future__ import annotations

import math
from itertools import accumulate
from operator import itemgetter, sub
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.placement.accelerators import longest_with, most_streams

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pistachioreach.placement.accelerators import AcceleratorKind, Resources
    from pistachioreach.placement.step_budget import StepBudget

__all__ = [
    "LARGEST_SHARES",
    "Tile",
    "Tiling",
    "TilingGoal",
    "pack_layers",
    "tile_layers",
]

#: Largest share of a layer's streams that one engine may provide, by the number of
#: holders of each layer. Of two holders, one may provide four fifths: half for each
#: would leave much of the cache of a large accelerator unused.
LARGEST_SHARES = {2: 0.8, 3: 0.5, 1: 1.0}
#: Steps that one length tried by `pack_layers` takes, which sums over all layers.
PACK_STEPS = 2
#: Relative difference below which two sums count as equal, since the sums of floating
#: point numbers depend on their order.
ROUNDING = 1e-9


class Tile(NamedTuple):
    """A range of layers for some engine of one kind in one failure domain.

    Attributes:
        domain: The failure domain.
        kind: Name of the kind of accelerator.
        layers: First layer, and the layer after the last one.
    """

    domain: str
    kind: str
    layers: tuple[int, int]


class Tiling(NamedTuple):
    """Ranges that give all layers at least a number of streams.

    Attributes:
        level: The number of streams.
        level_after_loss: The number of streams after the loss of any one engine.
        holders: Minimum number of holders of each layer.
        tiles: The ranges.
    """

    level: float
    level_after_loss: float
    holders: int
    tiles: tuple[Tile, ...]


class TilingGoal(NamedTuple):
    """What a tiling is to reach.

    Attributes:
        level: Number of streams on every layer.
        holders: Number of holders of each layer, which limits the share of the level
            that one engine provides.
        gap_share: Share of the level that a layer may lack.
        preference: Factor by which more of an accelerator's capacity must be used for
            the accelerator to be preferred over a faster one.
    """

    level: float
    holders: int
    gap_share: float = 0.0
    preference: float = 1.0

    @property
    def engine_limit(self) -> float:
        """Maximum number of streams of a layer that one engine may provide."""
        return self.level * LARGEST_SHARES[self.holders]


class FreeEngines:
    """Engines of one kind in one failure domain that have no range yet.

    Args:
        kind: Kind of the engines' accelerators.
        count: Number of engines.
    """

    def __init__(self, kind: AcceleratorKind, count: int) -> None:
        #: Kind of the engines' accelerators.
        self.kind = kind
        #: Number of engines without a range.
        self.count = count


class LayerSweep:
    """State of `tile_layers`, which fills the layers from the first to the last.

    Args:
        layers: Number of layers of the model.
        area: Streams times layers that all engines provide at most.
        goal: The number of streams that each layer is to have.
    """

    def __init__(self, layers: int, area: float, goal: TilingGoal) -> None:
        #: Number of layers of the model.
        self.layers = layers
        #: Number of streams that each layer is to have.
        self.level = goal.level
        #: Number of streams from which on a layer needs no other range.
        self.least = goal.level * (1 - goal.gap_share)
        #: Maximum number of streams of a layer that one engine may provide.
        self.engine_limit = goal.engine_limit
        #: Streams times layers that the engines without a range provide at most.
        self.area = area
        #: The layer that is being filled.
        self.layer = 0
        #: End and number of streams of the ranges that contain the layer.
        self.running: list[tuple[int, float]] = []
        #: Number of streams on the layer.
        self.streams = 0.0
        #: Streams times layers from the layer on.
        self.provided = 0.0
        #: Lowest number of streams of the layers before.
        self.lowest = math.inf
        #: The same after the loss of any one engine.
        self.after_loss = math.inf
        #: The ranges.
        self.tiles: list[Tile] = []

    def advance(self) -> None:
        """Go on to the first layer at which a range ends."""
        largest = max(self.running, key=itemgetter(1))[1]
        self.lowest = min(self.lowest, self.streams)
        self.after_loss = min(self.after_loss, self.streams - largest)
        end = min(self.running)[0]
        self.provided -= self.streams * (end - self.layer)
        self.layer = end
        self.running = [item for item in self.running if item[0] > end]
        self.streams = sum(map(itemgetter(1), self.running))

    def can_finish(self) -> bool:
        """Return whether the engines left suffice if they waste nothing."""
        missing = self.least * (self.layers - self.layer) * (1 - ROUNDING)
        return self.area + self.provided >= missing

    def useful(self) -> float:
        """Return the number of streams that the layer still needs from one engine."""
        return min(self.engine_limit, self.level - self.streams)

    def place(self, domain: str, kind: AcceleratorKind, length: int) -> None:
        """Begin a range of a length at the layer."""
        end = self.layer + length
        start = self.layer
        if end == self.layers:
            # At the last layers, the range also covers layers before, as far as it
            # still runs all useful streams.
            useful = min(self.useful(), kind.streams[1])
            longest = longest_with(kind, useful, kind.longest)
            start = min(start, max(0, end - longest))
        streams = min(self.engine_limit, kind.streams[length])
        self.area -= kind.area
        self.running.append((end, streams))
        self.streams += streams
        self.provided += streams * length
        self.tiles.append(Tile(domain, kind.name, (start, end)))


def tile_layers(
    resources: Resources, goal: TilingGoal, budget: StepBudget
) -> Tiling | None:
    """Return ranges that give every layer about a number of streams.

    The layers are filled from the first to the last. Where streams are missing, the
    range that wastes the least capacity begins; among similar ones, the one on the
    fastest accelerator. All engines of a domain are used before the next domain's.

    Args:
        resources: The engines and the layers.
        goal: The number of streams, and which ranges are preferred.
        budget: Steps that the search may still take.

    Returns:
        The ranges, or None if the engines do not suffice or no step is left.
    """
    layers = resources.layers
    domains = free_engines(resources)
    current = 0
    sweep = LayerSweep(layers, layers * most_streams(resources), goal)
    while sweep.layer < layers:
        if sweep.streams >= sweep.least:
            sweep.advance()
            continue
        while current < len(domains) and not has_free(domains[current][1]):
            current += 1
        if current == len(domains) or not budget.spend() or not sweep.can_finish():
            return None
        domain, free = domains[current]
        left = layers - sweep.layer
        chosen = choose_range(free, sweep.useful(), left, goal.preference)
        if chosen is None:
            return None
        engines, length = chosen
        engines.count -= 1
        sweep.place(domain, engines.kind, length)
    return Tiling(sweep.lowest, sweep.after_loss, goal.holders, tuple(sweep.tiles))


def free_engines(resources: Resources) -> list[tuple[str, list[FreeEngines]]]:
    """Return the engines of each failure domain, those on fast accelerators first."""
    return [
        (
            domain,
            sorted(
                (FreeEngines(resources.kinds[name], n) for name, n in counts.items()),
                key=lambda free: (free.kind.step_factor, free.kind.name),
            ),
        )
        for domain, counts in resources.stock.items()
    ]


def has_free(engines: Sequence[FreeEngines]) -> bool:
    """Return whether some engine of a failure domain has no range yet."""
    return any(free.count for free in engines)


def choose_range(
    engines: Sequence[FreeEngines], useful: float, layers_left: int, preference: float
) -> tuple[FreeEngines, int] | None:
    """Return the kind of engine that wastes the least capacity, and the length.

    Args:
        engines: Engines of one failure domain, those on fast accelerators first.
        useful: Number of streams that the layer still needs from one engine.
        layers_left: Number of layers from this layer on.
        preference: Factor by which more of an accelerator's capacity must be used for
            the accelerator to be preferred over a faster one.
    """
    best_share, best = 0.0, None
    for free in engines:
        if not free.count:
            continue
        kind = free.kind
        longest = min(kind.longest, layers_left)
        # A longer range provides more up to the last length that runs all of the
        # useful streams. Beyond it, weights displace KV cache.
        length = longest_with(kind, min(useful, kind.streams[1]), longest)
        for tried in (length, length + 1):
            if not 1 <= tried <= longest:
                continue
            share = tried * min(useful, kind.streams[tried]) / kind.area
            if share > best_share * preference:
                best_share, best = share, (free, tried)
    return best


class LayerPacking:
    """State of `pack_layers`: streams of each layer.

    Args:
        layers: Number of layers of the model.
        goal: The number of streams that each layer is to have.
    """

    def __init__(self, layers: int, goal: TilingGoal) -> None:
        #: Number of streams that each layer is to have.
        self.level = goal.level
        #: Maximum number of streams of a layer that one engine may provide.
        self.engine_limit = goal.engine_limit
        #: Number of streams that each layer lacks.
        self.missing = [goal.level] * layers
        #: Number of streams of each layer.
        self.covered = [0.0] * layers
        #: Number of streams of each layer's largest holder.
        self.largest = [0.0] * layers

    def best_range(self, kind: AcceleratorKind) -> tuple[int, int] | None:
        """Return the range with the most missing streams, or None if none is missing.

        Of ranges with equal gain, the shortest one at the lowest layer is returned.
        """
        best_gain, best = 0.0, None
        for length in kind.lengths:
            streams = min(self.engine_limit, kind.streams[length])
            useful = [streams if value > streams else value for value in self.missing]
            sums = list(accumulate(useful, initial=0.0))
            gains = list(map(sub, sums[length:], sums))
            gain = max(gains)
            if gain > best_gain * (1 + ROUNDING):
                start = gains.index(gain)
                best_gain, best = gain, (start, start + length)
        return best

    def place(self, kind: AcceleratorKind, layers: tuple[int, int]) -> None:
        """Count a range of layers on an engine."""
        streams = min(self.engine_limit, kind.streams[layers[1] - layers[0]])
        for layer in range(*layers):
            self.covered[layer] += streams
            self.largest[layer] = max(self.largest[layer], streams)
            self.missing[layer] = max(0.0, self.level - self.covered[layer])


def pack_layers(
    resources: Resources, goal: TilingGoal, budget: StepBudget
) -> Tiling | None:
    """Return ranges that together miss little of a number of streams.

    The largest accelerators are placed first, each on the range with the most missing
    streams. For few engines this often gives a higher level than `tile_layers`.

    Args:
        resources: The engines and the layers.
        goal: The number of streams and holders; the other attributes are not used.
        budget: Steps that the search may still take.

    Returns:
        The ranges, or None if they leave a gap or no step is left.
    """
    packing = LayerPacking(resources.layers, goal)
    tiles: list[Tile] = []
    stock = resources.stock
    order = sorted(
        ((resources.kinds[name], domain) for domain in stock for name in stock[domain]),
        key=lambda item: (-item[0].area, item[0].name, item[1]),
    )
    for kind, domain in order:
        for _ in range(stock[domain][kind.name]):
            if not budget.spend(len(kind.lengths) * PACK_STEPS):
                return None
            layers = packing.best_range(kind)
            if layers is not None:
                packing.place(kind, layers)
                tiles.append(Tile(domain, kind.name, layers))
    level = min(packing.covered)
    if not level:
        return None
    after_loss = min(map(sub, packing.covered, packing.largest))
    return Tiling(level, after_loss, goal.holders, tuple(tiles))
