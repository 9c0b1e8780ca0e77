"""Placement of engines one by one in a group of domains, and its new layout."""

from __future__ import annotations

from itertools import cycle
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.placement.accelerators import MIN_STREAMS, kind_with_streams
from pistachioreach.placement.layer_profile import LayerProfile

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pistachioreach.placement.accelerators import AcceleratorKind
    from pistachioreach.placement.plan import Layout, PlacedEngine
    from pistachioreach.placement.step_budget import StepBudget
    from pistachioreach.placement.tiling import Tiling
    from pistachioreach.routing.routes import EngineModel

__all__ = ["Group", "group_kinds", "group_profile", "new_layout", "place_engines"]

#: Minimum number of streams of a holder as a share of the streams of its group of
#: domains. An accelerator filled with weights would hold layers that few streams use.
HOLDER_SHARE = 0.1
#: Minimum relative gain for which an engine is placed again in a new layout. With 0,
#: 86 instead of 67 groups of domains in 46 fleets used up their steps.
MIN_REPLACE_GAIN = 0.001


class Group(NamedTuple):
    """Failure domains that form chains together, and the state of their search.

    Attributes:
        domains: The failure domains.
        members: Engines of the domains.
        tiling: Ranges of a new layout, or None if the engines can run no chain.
        kinds: What accelerators can run as holders in the group.
        profile: Streams and holders of each layer.
        budget: Steps that the search may still take.
    """

    domains: tuple[str, ...]
    members: list[PlacedEngine]
    tiling: Tiling | None
    kinds: dict[str, AcceleratorKind]
    profile: LayerProfile
    budget: StepBudget

    def kind(self, engine: PlacedEngine) -> AcceleratorKind:
        """Return the kind of an engine's accelerator."""
        return self.kinds[engine.card]

    def update(self, engine: PlacedEngine, layers: tuple[int, int], sign: int) -> None:
        """Add an engine's range of layers to the profile, or subtract it."""
        self.profile.update_kind(self.kinds[engine.card], layers, sign)


def group_kinds(
    kinds: Mapping[str, AcceleratorKind], tiling: Tiling | None
) -> dict[str, AcceleratorKind]:
    """Return what accelerators can run as holders in a group of domains.

    Slow accelerators count at half of the streams that they can run at all.
    """
    wanted = 0.0 if tiling is None else HOLDER_SHARE * tiling.level
    return {
        name: kind_with_streams(
            name,
            kind.step_factor,
            kind.streams,
            max(MIN_STREAMS, min(wanted, max(kind.streams) / 2)),
        )
        for name, kind in kinds.items()
    }


def group_profile(model: EngineModel, tiling: Tiling | None) -> LayerProfile:
    """Return an empty profile for a group of domains."""
    if tiling is None:
        return LayerProfile(model.layers, 1)
    return LayerProfile(model.layers, min(2, tiling.holders), tiling.level)


def place_engines(group: Group, layout: Layout) -> None:
    """Place the engines that a layout lacks, one by one, where each gains most.

    Args:
        group: The group, whose profile is empty; updated with all ranges.
        layout: Ranges of engines; updated.
    """
    for engine in group.members:
        if engine.id in layout:
            group.update(engine, layout[engine.id], 1)
    for engine in group.members:
        if engine.id not in layout:
            kind = group.kind(engine)
            layout[engine.id] = group.profile.best_range(kind, group.budget)[1]
            group.update(engine, layout[engine.id], 1)


def new_layout(group: Group) -> Layout:
    """Return a layout for a group of domains that does not regard the layers held.

    The layout depends on the engines of the group only. The group's profile stays.
    """
    if group.tiling is None:
        return {}
    layout = assign_tiles(group.tiling, group.members)
    planned = group._replace(profile=group.profile.empty_copy())
    place_engines(planned, layout)
    if len(group.domains) == 1:
        improve_layout(planned, layout)
    return layout


def assign_tiles(tiling: Tiling, members: Sequence[PlacedEngine]) -> Layout:
    """Return the ranges of a tiling, assigned to engines in the order of their ids."""
    free: dict[tuple[str, str], list[str]] = {}
    for engine in sorted(members, key=lambda engine: engine.id, reverse=True):
        free.setdefault((engine.failure_domain, engine.card), []).append(engine.id)
    return {free[tile.domain, tile.kind].pop(): tile.layers for tile in tiling.tiles}


def improve_layout(group: Group, layout: Layout) -> None:
    """Place engines of a new layout again while this raises the lowest layers.

    Args:
        group: A group of one failure domain, whose profile is that of the layout.
        layout: Range of each engine; replaced by that with the most streams.
    """
    profile = group.profile
    best_level, best = min(profile.cover), dict(layout)
    unchanged = 0
    for engine in cycle(group.members):
        if unchanged == len(group.members) or group.budget.left < 0:
            break
        unchanged = 0 if replace_engine(group, engine, layout) else unchanged + 1
        level = min(profile.cover)
        if level > best_level and min(profile.holders) >= profile.wanted:
            best_level, best = level, dict(layout)
    layout.update(best)


def replace_engine(group: Group, engine: PlacedEngine, layout: Layout) -> bool:
    """Place an engine again if it gains enough, and return whether it has moved.

    Args:
        group: The group, whose profile is updated with the move.
        engine: The engine.
        layout: Range of each engine; updated with the move.
    """
    kind, held = group.kind(engine), layout[engine.id]
    group.update(engine, held, -1)
    present = group.profile.range_gain(kind, held)
    gain, layers = group.profile.best_range(kind, group.budget)
    moved = gain > present * (1 + MIN_REPLACE_GAIN) and group.budget.left >= 0
    if moved:
        layout[engine.id] = layers
    group.update(engine, layout[engine.id], 1)
    return moved
