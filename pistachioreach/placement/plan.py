"""Planning of the layout: a pure function from engines to the layers that each holds.

The layout serves two goals: low latency under the load of a calm day, and tolerance of
engine losses. It forms whole chains of few, fast stages inside one failure domain,
leaves memory for KV cache on each accelerator, and uses the slower accelerators as
additional replicas of the layers with the lowest coverage.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.placement.capacity import layout_capacity
from pistachioreach.placement.search import search_layout

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from pistachioreach.routing.routes import EngineModel

__all__ = [
    "Coverage",
    "Layout",
    "LoadReason",
    "PlacedEngine",
    "grid_fits",
    "grid_forms_chains",
    "load_reasons",
    "plan_layout",
    "plan_on_grid",
    "range_lengths",
]

#: Number of layers between the boundaries at which ranges may begin and end. With
#: common boundaries, stages of different chains can replace each other.
GRID_LAYERS = 8
#: Share of an accelerator's memory for weights. The rest holds the KV cache of about 60
#: streams of mean size, more than the accelerator is fast enough to run at once.
WEIGHT_SHARE = 0.70
#: Speed that every layer counts in addition to its holders, so that the first holder of
#: a layer gains much more than the second.
BASE_SPEED = 0.1
#: Exponent of an accelerator's relative speed. A slow accelerator has as much room for
#: KV cache as a fast one and therefore counts more than its speed.
SPEED_EXPONENT = 0.5
#: Minimum gain for which an engine gives up its layers. The engine serves no requests
#: while it loads. In a sweep over losses of 8 engines, only moves with a higher gain
#: shortened the time per event by much.
MIN_MOVE_GAIN = 6.0


class PlacedEngine(NamedTuple):
    """An engine and the layers that it holds.

    Attributes:
        id: Id of the engine.
        card: Kind of the engine's accelerator.
        failure_domain: Failure domain of the engine.
        held: Range of layers that the engine holds or is loading, or None.
    """

    id: str
    card: str
    failure_domain: str
    held: tuple[int, int] | None


#: Range of layers of each engine, by engine id.
Layout = dict[str, tuple[int, int]]


class Assignment(NamedTuple):
    """A range of layers that an engine could hold, and what the coverage would gain.

    Attributes:
        gain: Increase of the coverage.
        engine: The engine.
        layers: The range of layers.
    """

    gain: float
    engine: PlacedEngine
    layers: tuple[int, int]


class LoadReason(NamedTuple):
    """Why an engine is to load layers, and what the plan is expected to change.

    Attributes:
        reason: Short reason for the load.
        streams_before: Expected number of streams in progress before the plan.
        streams_after: Expected number of streams in progress after the plan.
        demand: Share of the prompt tokens of the engine's failure domain, or None if
            unknown.
    """

    reason: str
    streams_before: float
    streams_after: float
    demand: float | None


def range_lengths(model: EngineModel) -> dict[str, int]:
    """Return how many layers an accelerator of each kind is to hold.

    The number fits into the memory for weights and is a multiple of the grid. If the
    accelerator is too small for that, the number is what fits into the memory for
    weights, or else into the whole memory.
    """
    lengths = {}
    for name, card in model.cards.items():
        preferred = math.floor(card.memory_mb * WEIGHT_SHARE / model.layer_mb)
        most = math.floor(card.memory_mb / model.layer_mb)
        length = preferred // GRID_LAYERS * GRID_LAYERS or preferred or most
        lengths[name] = min(length, model.layers)
    return lengths


def grid_fits(model: EngineModel) -> bool:
    """Return whether all kinds of accelerators hold whole steps of the grid.

    An accelerator that holds the whole model fits as well.
    """
    return all(
        length % GRID_LAYERS == 0 or length == model.layers
        for length in range_lengths(model).values()
    )


def grid_forms_chains(engines: Sequence[PlacedEngine], model: EngineModel) -> bool:
    """Return whether the grid gives each failure domain a complete chain.

    A new layout is regarded, so that the answer depends only on which engines there
    are. Chains on the grid have fewer stages than those of `search_layout`, and each
    stage lets an event wait for a pass in progress. On a day with 93 engines, layouts
    of the search served 0.598 of the requests, and those of the grid 0.828.
    """
    empty = [engine._replace(held=None) for engine in engines]
    capacity = layout_capacity(empty, plan_on_grid(empty, model), model)
    return not any(domain.missing for domain in capacity.domains.values())


class Coverage:
    """The speed of the engines that hold each layer, in total and by failure domain.

    The gain of an assignment is the increase of the logarithm of a layer's speed,
    summed over the layers. Doubling the speed is thus worth the same for every layer,
    and an engine gains most on the layers with the lowest coverage.

    Args:
        model: Model that the engines run.
    """

    def __init__(self, model: EngineModel) -> None:
        #: Model that the engines run.
        self.model = model
        #: Number of layers that an accelerator of each kind is to hold.
        self.lengths = range_lengths(model)
        #: Step factor of the fastest accelerator, whose relative speed is 1.
        self.fastest = min(card.step_factor for card in model.cards.values())
        #: Sum of the speeds of all holders, by layer.
        self.total = [0.0] * model.layers
        #: Sum of the speeds of all holders, by failure domain and layer.
        self.domains: dict[str, list[float]] = {}

    def speed(self, engine: PlacedEngine) -> float:
        """Return the speed that an engine adds to each layer that it holds."""
        factor = self.model.cards[engine.card].step_factor
        return (self.fastest / factor) ** SPEED_EXPONENT

    def of_domain(self, domain: str) -> list[float]:
        """Return the sum of the speeds in a failure domain, by layer."""
        return self.domains.setdefault(domain, [0.0] * self.model.layers)

    def update(self, engine: PlacedEngine, layers: tuple[int, int], sign: int) -> None:
        """Add the speed of an engine to a range of layers, or subtract it.

        Args:
            engine: The engine.
            layers: First layer, and the layer after the last one.
            sign: 1 to add the speed, -1 to subtract it.
        """
        speed = sign * self.speed(engine)
        domain = self.of_domain(engine.failure_domain)
        for layer in range(max(0, layers[0]), min(layers[1], self.model.layers)):
            self.total[layer] += speed
            domain[layer] += speed

    def gain(self, engine: PlacedEngine, layers: tuple[int, int]) -> float:
        """Return the gain if an engine also held a range of layers.

        Args:
            engine: The engine, whose speed on the range is not yet counted.
            layers: First layer, and the layer after the last one.
        """
        speed = self.speed(engine)
        domain = self.of_domain(engine.failure_domain)
        return sum(
            math.log1p(speed / (BASE_SPEED + self.total[layer]))
            + math.log1p(speed / (BASE_SPEED + domain[layer]))
            for layer in range(max(0, layers[0]), min(layers[1], self.model.layers))
        )

    def best(self, engine: PlacedEngine) -> Assignment:
        """Return the range with the highest gain for an engine.

        Of ranges with equal gain, the one with the lowest first layer is returned.
        """
        length = self.lengths[engine.card]
        starts = list(range(0, self.model.layers - length + 1, GRID_LAYERS))
        if starts[-1] != self.model.layers - length:
            starts.append(self.model.layers - length)
        assignments = [
            Assignment(
                self.gain(engine, (start, start + length)),
                engine,
                (start, start + length),
            )
            for start in starts
        ]
        return max(
            assignments,
            key=lambda assignment: (round(assignment.gain, 9), -assignment.layers[0]),
        )


def plan_layout(
    engines: Sequence[PlacedEngine],
    model: EngineModel,
    fixed: Collection[str] = (),
    demand: Mapping[str, float] | None = None,
    max_moves: int = 1,
    max_urgent_moves: int = 1,
) -> Layout:
    """Return the layers that each engine is to hold.

    Engines of a model with a kind of accelerator that the grid does not fit are planned
    by `search_layout` if the grid leaves a failure domain without a complete chain, and
    others by `plan_on_grid`, which ignores the last three arguments.

    Args:
        engines: Engines that accept requests, in any order.
        model: Model that the engines run.
        fixed: Ids of engines that must keep their layers.
        demand: Share of prompt tokens by failure domain, or None if all are equal.
        max_moves: Maximum number of engines that give up layers for others.
        max_urgent_moves: The same while a failure domain lacks a chain that its
            engines could run.
    """
    if grid_fits(model) or grid_forms_chains(engines, model):
        return plan_on_grid(engines, model, fixed)
    return search_layout(engines, model, fixed, demand, max_moves, max_urgent_moves)


def plan_on_grid(
    engines: Sequence[PlacedEngine],
    model: EngineModel,
    fixed: Collection[str] = (),
) -> Layout:
    """Return the layers that each engine is to hold, in ranges that begin on the grid.

    Engines without layers get the range with the highest gain, from the fastest
    accelerator to the slowest. Of the engines that hold layers, at most one moves to
    another range: the one with the highest gain. Few layers are loaded that way, and
    the effect of one move is visible before the next one.

    Args:
        engines: Engines that accept requests, in any order.
        model: Model that the engines run.
        fixed: Ids of engines that must keep their layers.
    """
    coverage = Coverage(model)
    known = [engine for engine in engines if engine.card in coverage.lengths]
    layout: Layout = {}
    for engine in known:
        if engine.held is not None:
            layout[engine.id] = engine.held
            coverage.update(engine, engine.held, 1)
    empty = [engine for engine in known if engine.held is None]
    for engine in sorted(empty, key=lambda engine: placement_key(engine, model)):
        layout[engine.id] = coverage.best(engine).layers
        coverage.update(engine, layout[engine.id], 1)
    movable = [
        engine for engine in known if engine.held is not None and engine.id not in fixed
    ]
    move = best_move(movable, layout, coverage)
    if move is not None and move.gain >= MIN_MOVE_GAIN:
        layout[move.engine.id] = move.layers
    return layout


def load_reasons(
    engines: Sequence[PlacedEngine],
    layout: Layout,
    model: EngineModel,
    demand: Mapping[str, float] | None = None,
) -> dict[str, LoadReason]:
    """Return the reason for each load of a plan, by engine id.

    Args:
        engines: Engines with the layers that they hold.
        layout: The plan.
        model: Model that the engines run.
        demand: Share of prompt tokens by failure domain, or None if unknown.
    """
    held = {engine.id: engine.held for engine in engines if engine.held is not None}
    loading = [engine for engine in engines if layout.get(engine.id) != engine.held]
    if not loading:
        return {}
    before = layout_capacity(engines, held, model)
    after = layout_capacity(engines, layout, model)
    reasons = {}
    for engine in loading:
        domain = engine.failure_domain
        if engine.held is None:
            reason = "the engine holds no layers"
        elif before.domains[domain].missing:
            reason = "layers without a holder in the domain"
        else:
            reason = "layers with few holders in the domain"
        reasons[engine.id] = LoadReason(
            reason,
            before.streams,
            after.streams,
            None if demand is None else demand.get(domain, 0.0),
        )
    return reasons


def placement_key(engine: PlacedEngine, model: EngineModel) -> tuple:
    """Return the sort key by which engines are placed, fast accelerators first."""
    factor = model.cards[engine.card].step_factor
    return (factor, engine.failure_domain, engine.id)


def best_move(
    engines: Sequence[PlacedEngine], layout: Layout, coverage: Coverage
) -> Assignment | None:
    """Return the move of one engine with the highest gain.

    Args:
        engines: Engines that may move.
        layout: Present layout.
        coverage: Coverage of the present layout.

    Returns:
        The move, whose gain is reduced by what the engine's present range loses, or
        None if no engine may move.
    """
    moves = []
    for engine in engines:
        held = layout[engine.id]
        coverage.update(engine, held, -1)
        best = coverage.best(engine)
        moves.append(best._replace(gain=best.gain - coverage.gain(engine, held)))
        coverage.update(engine, held, 1)
    return max(moves, key=lambda move: move.gain, default=None)
