"""Search for layouts of accelerators of any size, bounded by a number of steps.

Ranges have any length and begin at any layer. The search first forms complete chains
inside each failure domain, with several holders of each layer, and weighs the length
of each range against the KV cache left beside it (`tiling_search.py`). Domains too
small for a chain of their own are pooled (`pooling.py`), so that their chains have few
steps between domains. The engines left are placed one by one (`group_layout.py`). After
a loss, those whose layers matter least move to the layers that lack holders
(`moves.py`).
"""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.placement.accelerators import accelerator_kinds
from pistachioreach.placement.group_layout import (
    Group,
    group_kinds,
    group_profile,
    new_layout,
    place_engines,
)
from pistachioreach.placement.layer_profile import LayerProfile
from pistachioreach.placement.moves import MoveState, group_moves
from pistachioreach.placement.pooling import group_domains
from pistachioreach.placement.step_budget import StepBudget

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping, Sequence

    from pistachioreach.placement.plan import Layout, PlacedEngine
    from pistachioreach.routing.routes import EngineModel

__all__ = ["search_layout"]

#: Number of steps for the engines that are placed or moved one by one, shared between
#: the groups of domains by their numbers of engines. A step takes about 3 us: part of a
#: length tried for one engine. Together with the steps of `pooling.py` they keep a plan
#: for 100 engines below 50 ms.
PLACE_STEPS = 1300


class GroupMoves(NamedTuple):
    """Moves in one group of domains.

    Attributes:
        order: Key by which groups are ordered: those without a chain first, then those
            in which a move restores the most streams, weighted by demand.
        moves: The moves, in order.
        limit: Number of moves among all groups up to which these are carried out.
    """

    order: tuple[bool, float, tuple[str, ...]]
    moves: Layout
    limit: int


def search_layout(
    engines: Sequence[PlacedEngine],
    model: EngineModel,
    fixed: Collection[str] = (),
    demand: Mapping[str, float] | None = None,
    max_moves: int = 1,
    max_urgent_moves: int = 1,
) -> Layout:
    """Return a layout for engines, of which some hold layers.

    A group of domains without any layers gets a new layout. In other groups, empty
    engines take the layers that lack holders most. Engines that hold layers move only
    if this gives layers holders that they lack, or the group many more streams.

    Args:
        engines: Engines that accept requests, in any order.
        model: Model that the engines run.
        fixed: Ids of engines that must keep their layers.
        demand: Share of prompt tokens by failure domain, or None if all are equal. It
            decides which domain is rebuilt first, and never whether engines move.
        max_moves: Maximum number of engines that give up layers for others.
        max_urgent_moves: The same while a group of domains lacks a chain.
    """
    layout: Layout = {e.id: e.held for e in engines if e.held is not None}
    groups = list(engine_groups(engines, model))
    for group in groups:
        if all(engine.held is None for engine in group.members):
            layout |= new_layout(group)
        place_engines(group, layout)
    total = LayerProfile(model.layers)
    for layers in layout.values():
        total.update(layers, 1.0, 1)
    planned = []
    for group in groups:
        movable = [
            engine
            for engine in group.members
            if engine.held is not None and engine.id not in fixed
        ]
        limits = max_moves, max_urgent_moves
        planned.append(plan_moves(group, movable, layout, total, demand, limits))
    apply_moves(layout, planned)
    return layout


def engine_groups(
    engines: Sequence[PlacedEngine], model: EngineModel
) -> Iterator[Group]:
    """Yield the groups of domains that form chains together, with empty profiles.

    Engines whose accelerators cannot run a stream belong to no group.
    """
    kinds = accelerator_kinds(model)
    known = sorted(
        (engine for engine in engines if engine.card in kinds),
        key=lambda e: (kinds[e.card].step_factor, e.failure_domain, e.id),
    )
    for domains, tiling in group_domains(known, model).items():
        members = [engine for engine in known if engine.failure_domain in domains]
        yield Group(
            domains,
            members,
            tiling,
            group_kinds(kinds, tiling),
            group_profile(model, tiling),
            StepBudget(PLACE_STEPS * len(members) // len(known)),
        )


def plan_moves(
    group: Group,
    movable: Sequence[PlacedEngine],
    layout: Layout,
    total: LayerProfile,
    demand: Mapping[str, float] | None,
    limits: tuple[int, int],
) -> GroupMoves:
    """Return the moves in a group of domains, and their order among all groups.

    Args:
        group: The group, whose profile is updated with the moves.
        movable: Engines that may move.
        layout: Ranges before the moves.
        total: Holders of each layer among all engines; updated with the moves.
        demand: Share of prompt tokens by failure domain, or None if all are equal.
        limits: Maximum number of moves, and that while the group lacks a chain.
    """
    before = min(group.profile.cover)
    lacks_chain = group.tiling is not None and not min(group.profile.holders)
    limit = limits[1] if lacks_chain else limits[0]
    moves = group_moves(group, MoveState(movable, layout, total, limit))
    restored = min(group.profile.cover) - before
    value = restored * demand_of(group.domains, demand) / max(1, len(moves))
    return GroupMoves((not lacks_chain, -value, group.domains), moves, limit)


def apply_moves(layout: Layout, planned: Sequence[GroupMoves]) -> None:
    """Carry out the moves of all groups up to their limits, most urgent ones first."""
    moved = 0
    for group in sorted(planned, key=attrgetter("order")):
        for id, layers in group.moves.items():
            if moved < group.limit:
                layout[id] = layers
                moved += 1


def demand_of(group: Sequence[str], demand: Mapping[str, float] | None) -> float:
    """Return the share of the prompt tokens of a group of domains."""
    if demand is None:
        return 1.0
    return sum(demand.get(domain, 0.0) for domain in group)
