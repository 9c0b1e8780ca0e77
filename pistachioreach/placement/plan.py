"""Which layers each engine is to hold: a pure function of the engines known.

Answers the load of a calm day and the loss of engines: whole chains of few,
fast stages inside one failure domain, with room for KV cache on each card, and
the slower cards as spares of the ranges that are held least.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pistachioreach.routing.routes import Card, EngineModel

__all__ = ["Layout", "PlacedEngine", "plan_layout", "range_lengths"]

#: Layers between the boundaries at which ranges may begin and end; equal
#: boundaries let stages of different chains replace each other.
GRID = 8
#: Share of a card's memory for weights beyond which its room for KV cache holds
#: too few streams.
WEIGHT_SHARE = 0.70


class PlacedEngine(NamedTuple):
    """An engine with what it holds.

    Attributes:
        id: Name of this run of the engine.
        card: Kind of its accelerator.
        failure_domain: Failure domain that it stands in.
        held: Layers that it holds or is loading, or None.
    """

    id: str
    card: str
    failure_domain: str
    held: tuple[int, int] | None


#: Range of layers of each engine, by its id.
Layout = dict[str, tuple[int, int]]


def range_lengths(model: EngineModel) -> dict[str, int]:
    """Return how many layers a card of each kind is to hold."""
    lengths = {}
    for name, card in model.cards.items():
        by_memory = math.floor(card.memory_mb * WEIGHT_SHARE / model.layer_mb)
        most = math.floor(card.memory_mb / model.layer_mb)
        rounded = by_memory // GRID * GRID
        length = rounded or min(by_memory or most, GRID)
        lengths[name] = min(length, model.layers)
    return lengths


def plan_layout(engines: Sequence[PlacedEngine], model: EngineModel) -> Layout:
    """Return the layers that each engine is to hold.

    Engines that hold a range keep it, unless a layer would be held by none.
    The others take, from the fastest card to the slowest, the range in which
    their layers are worth most: a layer is worth the less, the more engines
    hold it, of the same failure domain above all.

    Args:
        engines: Engines that take work, in any order.
        model: The model that they run.
    """
    lengths = range_lengths(model)
    known = [engine for engine in engines if engine.card in lengths]
    layout: Layout = {}
    coverage = Coverage(model)
    free = []
    for engine in sorted(known, key=lambda e: order_of(e, model)):
        if engine.held is not None:
            layout[engine.id] = engine.held
            coverage.add(engine, engine.held, model.cards[engine.card])
        else:
            free.append(engine)
    for engine in free:
        card = model.cards[engine.card]
        chosen = best_range(engine, lengths[engine.card], coverage, model)
        layout[engine.id] = chosen
        coverage.add(engine, chosen, card)
    fill_gaps(known, layout, coverage, model, lengths)
    return layout


def order_of(engine: PlacedEngine, model: EngineModel) -> tuple:
    """Return the key by which engines are placed: fast cards first."""
    factor = model.cards[engine.card].step_factor
    return (factor, engine.failure_domain, engine.id)


class Coverage:
    """How well each layer is held, as a sum of speeds.

    Args:
        model: The model.
    """

    def __init__(self, model: EngineModel) -> None:
        #: Layers of the model.
        self.layers = model.layers
        #: Fastest card, whose speed counts 1.
        self.fastest = min(card.step_factor for card in model.cards.values())
        #: Sum of speeds by layer.
        self.total = [0.0] * model.layers
        #: Sum of speeds by failure domain and layer.
        self.domains: dict[str, list[float]] = {}

    def add(self, engine: PlacedEngine, held: tuple[int, int], card: Card) -> None:
        """Count an engine that holds a range."""
        self.change(engine, held, self.fastest / card.step_factor)

    def change(self, engine: PlacedEngine, held: tuple[int, int], speed: float) -> None:
        """Add a speed to the layers of a range."""
        domain = self.domains.setdefault(engine.failure_domain, [0.0] * self.layers)
        for layer in range(max(0, held[0]), min(held[1], self.layers)):
            self.total[layer] += speed
            domain[layer] += speed

    def worth(self, domain: str, layers: Iterable[int]) -> float:
        """Return the worth of one more engine of a domain at some layers."""
        own = self.domains.get(domain, [0.0] * self.layers)
        return sum(
            1 / (0.05 + own[layer]) + 1 / (0.05 + self.total[layer]) for layer in layers
        )


def best_range(
    engine: PlacedEngine, length: int, coverage: Coverage, model: EngineModel
) -> tuple[int, int]:
    """Return the range in which an engine is worth most; the lowest of equals."""
    starts = list(range(0, model.layers - length + 1, GRID))
    if starts[-1] != model.layers - length:
        starts.append(model.layers - length)
    worths = [
        (coverage.worth(engine.failure_domain, range(start, start + length)), -start)
        for start in starts
    ]
    start = -max(worths)[1]
    return (start, start + length)


def fill_gaps(
    engines: Sequence[PlacedEngine],
    layout: Layout,
    coverage: Coverage,
    model: EngineModel,
    lengths: dict[str, int],
) -> None:
    """Move engines whose layers others hold too to layers that none holds."""
    for _ in range(model.layers):
        gap = next((i for i, total in enumerate(coverage.total) if total <= 1e-9), None)
        if gap is None:
            return
        mover = cheapest_mover(engines, layout, coverage, model)
        if mover is None:
            return
        card = model.cards[mover.card]
        coverage.change(mover, layout[mover.id], -coverage.fastest / card.step_factor)
        length = lengths[mover.card]
        start = min(gap // GRID * GRID, model.layers - length)
        layout[mover.id] = (start, start + length)
        coverage.add(mover, layout[mover.id], card)


def cheapest_mover(
    engines: Sequence[PlacedEngine],
    layout: Layout,
    coverage: Coverage,
    model: EngineModel,
) -> PlacedEngine | None:
    """Return the engine whose range is missed least, or None if all are needed."""
    movers = []
    for engine in engines:
        speed = coverage.fastest / model.cards[engine.card].step_factor
        first, last = layout[engine.id]
        left = min(coverage.total[first:last]) - speed
        if left > 1e-9:
            movers.append((-left, last - first, engine.id, engine))
    return min(movers)[3] if movers else None
