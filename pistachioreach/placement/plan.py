"""Which layers each engine is to hold: a pure function of the engines known.

Answers the load of a calm day and the loss of engines: whole chains of few,
fast stages inside one failure domain, with room for KV cache on each card, and
the slower cards as spares of the ranges that are held least.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pistachioreach.routing.routes import EngineModel

__all__ = ["Coverage", "Layout", "PlacedEngine", "plan_layout", "range_lengths"]

#: Layers between the boundaries at which ranges may begin and end; equal
#: boundaries let stages of different chains replace each other.
GRID = 8
#: Share of a card's memory for weights; the rest holds about 60 streams of the
#: mean size, more than the card's pace allows at once.
WEIGHT_SHARE = 0.70
#: Speed that a layer without a holder counts, so that the first holder is worth
#: much more than the second.
EPSILON = 0.1
#: Exponent of a card's relative speed; a slow card has as much room for KV cache
#: as a fast one, so it counts more than its speed.
SPEED_EXPONENT = 0.5
#: Least gain for which an engine that holds layers gives them up. It serves nothing
#: while it loads; in a sweep over losses of 8 engines only moves that gained more
#: than this shortened an event by much.
LEAST_GAIN = 6.0


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


class Change(NamedTuple):
    """A range that an engine may take.

    Attributes:
        gain: What the coverage gains by it.
        engine: The engine.
        layers: The range.
    """

    gain: float
    engine: PlacedEngine
    layers: tuple[int, int]


def range_lengths(model: EngineModel) -> dict[str, int]:
    """Return how many layers a card of each kind is to hold."""
    lengths = {}
    for name, card in model.cards.items():
        preferred = math.floor(card.memory_mb * WEIGHT_SHARE / model.layer_mb)
        most = math.floor(card.memory_mb / model.layer_mb)
        length = preferred // GRID * GRID or preferred or most
        lengths[name] = min(length, model.layers)
    return lengths


class Coverage:
    """How well each layer is held, over all and in each failure domain.

    The measure is the sum of the logarithms of the speeds that hold each layer:
    doubling what holds a layer is worth the same for each layer, so that the
    layer held least gains most.

    Args:
        model: The model.
    """

    def __init__(self, model: EngineModel) -> None:
        #: The model.
        self.model = model
        #: Number of layers that a card of each kind is to hold.
        self.lengths = range_lengths(model)
        #: Time factor of the fastest card, whose speed counts 1.
        self.fastest = min(card.step_factor for card in model.cards.values())
        #: Sum of speeds by layer.
        self.total = [0.0] * model.layers
        #: Sum of speeds by failure domain and layer.
        self.domains: dict[str, list[float]] = {}

    def speed(self, engine: PlacedEngine) -> float:
        """Return what an engine adds to each layer that it holds."""
        factor = self.model.cards[engine.card].step_factor
        return (self.fastest / factor) ** SPEED_EXPONENT

    def of_domain(self, domain: str) -> list[float]:
        """Return the sum of speeds by layer of one failure domain."""
        return self.domains.setdefault(domain, [0.0] * self.model.layers)

    def change(self, engine: PlacedEngine, layers: tuple[int, int], sign: int) -> None:
        """Add an engine's speed to a range, or take it away again."""
        speed = sign * self.speed(engine)
        domain = self.of_domain(engine.failure_domain)
        for layer in range(max(0, layers[0]), min(layers[1], self.model.layers)):
            self.total[layer] += speed
            domain[layer] += speed

    def gain(self, engine: PlacedEngine, layers: tuple[int, int]) -> float:
        """Return what the coverage gains if an engine takes a range."""
        speed = self.speed(engine)
        domain = self.of_domain(engine.failure_domain)
        return sum(
            math.log1p(speed / (EPSILON + self.total[layer]))
            + math.log1p(speed / (EPSILON + domain[layer]))
            for layer in range(max(0, layers[0]), min(layers[1], self.model.layers))
        )

    def best(self, engine: PlacedEngine) -> Change:
        """Return the range by which an engine adds most; the lowest of equals."""
        length = self.lengths[engine.card]
        starts = list(range(0, self.model.layers - length + 1, GRID))
        if starts[-1] != self.model.layers - length:
            starts.append(self.model.layers - length)
        changes = [
            Change(
                self.gain(engine, (start, start + length)),
                engine,
                (start, start + length),
            )
            for start in starts
        ]
        return max(
            changes, key=lambda change: (round(change.gain, 9), -change.layers[0])
        )


def plan_layout(
    engines: Sequence[PlacedEngine],
    model: EngineModel,
    fixed: Collection[str] = (),
) -> Layout:
    """Return the layers that each engine is to hold.

    Empty engines take, from the fastest card to the slowest, the range by which
    they add most. Of the engines that hold layers at most one gives them up, the
    one whose move gains most, so that little is loaded and the effect of one
    move is seen before the next.

    Args:
        engines: Engines that take work, in any order.
        model: The model that they run.
        fixed: Ids of engines that keep what they hold.
    """
    coverage = Coverage(model)
    known = [engine for engine in engines if engine.card in coverage.lengths]
    layout: Layout = {}
    for engine in known:
        if engine.held is not None:
            layout[engine.id] = engine.held
            coverage.change(engine, engine.held, 1)
    empty = [engine for engine in known if engine.held is None]
    for engine in sorted(empty, key=lambda engine: order_of(engine, model)):
        layout[engine.id] = coverage.best(engine).layers
        coverage.change(engine, layout[engine.id], 1)
    movable = [
        engine for engine in known if engine.held is not None and engine.id not in fixed
    ]
    move = best_move(movable, layout, coverage)
    if move is not None and move.gain >= LEAST_GAIN:
        layout[move.engine.id] = move.layers
    return layout


def order_of(engine: PlacedEngine, model: EngineModel) -> tuple:
    """Return the key by which engines are placed: fast cards first."""
    factor = model.cards[engine.card].step_factor
    return (factor, engine.failure_domain, engine.id)


def best_move(
    engines: Sequence[PlacedEngine], layout: Layout, coverage: Coverage
) -> Change | None:
    """Return the move of one engine that gains most, or None without engines."""
    moves = []
    for engine in engines:
        held = layout[engine.id]
        coverage.change(engine, held, -1)
        best = coverage.best(engine)
        moves.append(best._replace(gain=best.gain - coverage.gain(engine, held)))
        coverage.change(engine, held, 1)
    return max(moves, key=lambda move: move.gain, default=None)
