"""Moves of engines to other layers after a loss, or towards a better layout."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.placement.group_layout import new_layout
from pistachioreach.placement.layer_profile import SECOND_HOLDER_GAIN

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pistachioreach.placement.group_layout import Group
    from pistachioreach.placement.layer_profile import LayerProfile
    from pistachioreach.placement.plan import Layout, PlacedEngine

__all__ = ["MoveState", "group_moves"]

#: Share of the streams of a new layout below which the engines of a group move to the
#: new layout. Rebuilding a whole group reloads about half of its engines.
NEW_LAYOUT_SHARE = 0.75
#: Minimum factor by which a move raises the streams of a group whose layers have all of
#: their holders. The engine serves no requests while it loads.
MIN_LEVEL_GAIN = 1.2
#: Gain above which a move gives layers holders that they lack, less those that it takes
#: away. Half of the gain of one holder leaves room for the gains and losses of streams,
#: which are far smaller.
MIN_HOLDER_GAIN = SECOND_HOLDER_GAIN / 2


class MoveState(NamedTuple):
    """Where engines are, and which of them may move.

    Attributes:
        movable: Engines that may move.
        layout: Ranges before the moves.
        total: Holders of each layer among all engines, also those without KV cache for
            a stream; updated with the moves.
        limit: Maximum number of moves.
    """

    movable: Sequence[PlacedEngine]
    layout: Layout
    total: LayerProfile
    limit: int


class SingleMove(NamedTuple):
    """A move of one engine, and what it is worth.

    Attributes:
        value: Gain if layers get holders that they lack, else 0, and the number of
            streams of the group after the move.
        engine: The engine.
        layers: Its new range of layers.
    """

    value: tuple[float, float]
    engine: PlacedEngine
    layers: tuple[int, int]


def group_moves(group: Group, state: MoveState) -> Layout:
    """Return the moves of engines in a group of domains, in order.

    While the group has far fewer streams than a new layout would, engines move to the
    ranges of the new layout one after the other, unless a few single moves complete a
    chain. Otherwise, single moves raise the number of holders or streams. No move leads
    back to a state with fewer holders or far fewer streams, so that the moves end.

    Args:
        group: The group, whose profile is updated with the moves.
        state: Where engines are, and which of them may move.
    """
    if state.limit < 1 or not state.movable or group.tiling is None:
        return {}
    enough = NEW_LAYOUT_SHARE * group.tiling.level
    if min(group.profile.cover) >= enough:
        return single_moves(group, state, enough)
    lacks_chain = not min(group.profile.holders)
    if lacks_chain:
        saved = group.profile.copy(), state.total.copy()
        moves = single_moves(group, state, 0.0)
        if min(group.profile.holders):
            return moves
        group.profile.restore(saved[0])
        state.total.restore(saved[1])
    return moves_to_new_layout(group, state, lacks_chain)


def single_moves(group: Group, state: MoveState, enough: float) -> Layout:
    """Return the moves that give layers holders or many more streams, in order.

    Args:
        group: The group, whose profile is updated with the moves.
        state: Where engines are, and which of them may move.
        enough: Number of streams that the moves must leave to the group.
    """
    profile = group.profile
    moves: Layout = {}
    left = {engine.id: engine for engine in state.movable}
    while len(moves) < state.limit:
        best: SingleMove | None = None
        few_holders = min(profile.holders) < profile.wanted
        least_level = MIN_LEVEL_GAIN * min(profile.cover)
        for engine in left.values():
            if group.budget.left < 0:
                break
            gain, level, layers = best_single_move(group, state, engine)
            # A series of moves ends because each gives more layers a holder, or as
            # many as before and more streams.
            gains_holders = few_holders and gain > MIN_HOLDER_GAIN
            gains_streams = gain > 0 and level > least_level
            if level < enough or not (gains_holders or gains_streams):
                continue
            value = (gain if gains_holders else 0.0, level)
            if best is None or value > best.value:
                best = SingleMove(value, engine, layers)
        if best is None:
            break
        del left[best.engine.id]
        moves[best.engine.id] = best.layers
        apply_move(group, state, best.engine, best.layers)
    return moves


def best_single_move(
    group: Group, state: MoveState, engine: PlacedEngine
) -> tuple[float, float, tuple[int, int]]:
    """Return the best other range for an engine, without moving it.

    The range contains all layers of which the engine is the last holder.

    Returns:
        The gain over the present range, the number of streams of the group after the
        move, and the new range.
    """
    profile, kind = group.profile, group.kind(engine)
    held = state.layout[engine.id]
    profile.update_kind(kind, held, -1)
    last_held = [
        layer
        for layer in layers_given_up(held, (0, 0), len(state.total.holders))
        if state.total.holders[layer] == 1
    ]
    lengths = {weakest_run_length(profile), held[1] - held[0], kind.longest}
    gain, layers = profile.best_range(kind, group.budget, lengths, last_held)
    gain -= profile.range_gain(kind, held)
    profile.update_kind(kind, layers, 1)
    level = min(profile.cover)
    profile.update_kind(kind, layers, -1)
    profile.update_kind(kind, held, 1)
    return gain, level, layers


def moves_to_new_layout(group: Group, state: MoveState, lacks_chain: bool) -> Layout:
    """Return moves towards the new layout of a group of domains, best ones first.

    Args:
        group: The group, whose profile is updated with the moves.
        state: Where engines are, and which of them may move.
        lacks_chain: Whether some layer has no holder in the group.
    """
    targets = new_ranges(group, state.layout)
    moves: Layout = {}
    left = {engine.id: engine for engine in state.movable if engine.id in targets}
    while left and len(moves) < state.limit:
        best: tuple[float, PlacedEngine] | None = None
        for id, engine in left.items():
            if takes_last_holder(group, state, engine, targets[id], lacks_chain):
                continue
            gain = gain_of_move(group, engine, state.layout[id], targets[id])
            if best is None or gain > best[0]:
                best = (gain, engine)
        if best is None:
            break
        engine = left.pop(best[1].id)
        moves[engine.id] = targets[engine.id]
        apply_move(group, state, engine, targets[engine.id])
    return moves


def new_ranges(group: Group, layout: Layout) -> Layout:
    """Return the ranges of the new layout for engines that hold none of its ranges.

    Engines that hold a range of the new layout keep it, so that every move brings the
    group closer to the new layout.
    """
    planned = new_layout(group)
    alike: dict[tuple[str, str], list[str]] = {}
    for engine in group.members:
        alike.setdefault((engine.failure_domain, engine.card), []).append(engine.id)
    targets: Layout = {}
    for _, ids in sorted(alike.items()):
        ranges = Counter(planned[id] for id in ids)
        misplaced = []
        for id in ids:
            if ranges[layout[id]] > 0:
                ranges[layout[id]] -= 1
            else:
                misplaced.append(id)
        misplaced.sort(key=lambda id: (layout[id], id))
        targets |= zip(misplaced, sorted(ranges.elements()), strict=True)
    return targets


def takes_last_holder(
    group: Group,
    state: MoveState,
    engine: PlacedEngine,
    layers: tuple[int, int],
    lacks_chain: bool,
) -> bool:
    """Return whether a move takes the last holder of a layer, or a chain of the group.

    Args:
        group: The group of the engine.
        state: Where engines are.
        engine: The engine.
        layers: Its new range of layers.
        lacks_chain: Whether some layer has no holder in the group, so that the move
            cannot take a chain of its own from the group.
    """
    total = state.total.holders
    given_up = layers_given_up(state.layout[engine.id], layers, len(total))
    if any(total[layer] == 1 for layer in given_up):
        return True
    holders = group.profile.holders
    return not lacks_chain and any(holders[layer] == 1 for layer in given_up)


def gain_of_move(
    group: Group,
    engine: PlacedEngine,
    held: tuple[int, int],
    layers: tuple[int, int],
) -> float:
    """Return the gain of a move of an engine from one range to another."""
    profile, kind = group.profile, group.kind(engine)
    profile.update_kind(kind, held, -1)
    gain = profile.range_gain(kind, layers) - profile.range_gain(kind, held)
    profile.update_kind(kind, held, 1)
    return gain


def apply_move(
    group: Group, state: MoveState, engine: PlacedEngine, layers: tuple[int, int]
) -> None:
    """Count a move of an engine, in its group and among all holders."""
    held = state.layout[engine.id]
    group.update(engine, held, -1)
    group.update(engine, layers, 1)
    state.total.update(held, 1.0, -1)
    state.total.update(layers, 1.0, 1)


def layers_given_up(
    held: tuple[int, int], layers: tuple[int, int], count: int
) -> list[int]:
    """Return the layers of a range that another range does not contain.

    Args:
        held: The range that is given up.
        layers: The other range.
        count: Number of layers of the model.
    """
    inside = range(max(0, held[0]), min(held[1], count))
    return [layer for layer in inside if not layers[0] <= layer < layers[1]]


def weakest_run_length(profile: LayerProfile) -> int:
    """Return the length of the first run of layers with the fewest holders."""
    fewest = min(profile.holders)
    first = profile.holders.index(fewest)
    end = first
    while end < len(profile.holders) and profile.holders[end] == fewest:
        end += 1
    return end - first
