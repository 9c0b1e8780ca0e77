"""What accelerators of each kind can hold and run, and how many of them there are."""

from __future__ import annotations

import math
from bisect import bisect_right
from operator import neg
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.placement.capacity import engine_streams

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pistachioreach.routing.routes import EngineModel

__all__ = [
    "MIN_STREAMS",
    "AcceleratorKind",
    "Resources",
    "Stock",
    "accelerator_kinds",
    "kind_with_streams",
    "longest_with",
    "most_streams",
    "streams_of",
]

#: Minimum number of streams that an engine must run on its layers to count as a holder.
#: An accelerator filled with weights would hold layers that hardly any stream can use.
MIN_STREAMS = 1.0
#: Minimum share of an accelerator's largest capacity (streams times layers) for lengths
#: that are tried. Shorter and longer ranges waste more than a fifth of the accelerator.
GOOD_LENGTH_SHARE = 0.8
#: Number of these lengths that are tried for one engine, at most, besides the longest.
#: The time of a plan grows with it.
MAX_LENGTHS = 6


class AcceleratorKind(NamedTuple):
    """What an accelerator of one kind can run.

    Attributes:
        name: Name of the kind.
        step_factor: Factor on the time of a decoding step.
        streams: Number of streams by the number of layers held, from 0 layers.
        falling: The same as negative numbers, in ascending order from 1 layer on.
        longest: Maximum number of layers beside which a stream finds KV cache.
        area: Maximum of the number of streams times the number of layers.
        lengths: Numbers of layers that are tried for a single engine.
    """

    name: str
    step_factor: float
    streams: tuple[float, ...]
    falling: tuple[float, ...]
    longest: int
    area: float
    lengths: tuple[int, ...]


#: Number of engines by failure domain and name of the kind. The order of the domains
#: is the order in which chains pass through them.
Stock = dict[str, dict[str, int]]


class Resources(NamedTuple):
    """Engines of some failure domains, and the layers that they are to hold.

    Attributes:
        stock: Number of engines by failure domain and kind.
        kinds: Kinds of accelerators by name.
        layers: Number of layers of the model.
    """

    stock: Stock
    kinds: Mapping[str, AcceleratorKind]
    layers: int


def accelerator_kinds(model: EngineModel) -> dict[str, AcceleratorKind]:
    """Return what accelerators of each kind can run, by name."""
    kinds = {}
    for name, card in model.cards.items():
        most = min(model.layers, math.floor(card.memory_mb / model.layer_mb))
        streams = [engine_streams(card, held, model) for held in range(most + 1)]
        if max(streams) >= MIN_STREAMS:
            kinds[name] = kind_with_streams(
                name, card.step_factor, streams, MIN_STREAMS
            )
    return kinds


def kind_with_streams(
    name: str, step_factor: float, streams: Sequence[float], least: float
) -> AcceleratorKind:
    """Return a kind of accelerator that counts from a number of streams on.

    Args:
        name: Name of the kind.
        step_factor: Factor on the time of a decoding step.
        streams: Number of streams by the number of layers held.
        least: Number of streams below which a length does not count; not above the
            highest number.
    """
    counted = tuple(value if value >= least else 0.0 for value in streams)
    fitting = [held for held in range(1, len(counted)) if counted[held]]
    area = max(held * counted[held] for held in fitting)
    good = [n for n in fitting if n * counted[n] >= GOOD_LENGTH_SHARE * area]
    stride = math.ceil(len(good) / MAX_LENGTHS)
    lengths = tuple(sorted({*good[::stride], max(fitting)}))
    falling = tuple(map(neg, counted))
    return AcceleratorKind(
        name, step_factor, counted, falling, max(fitting), area, lengths
    )


def streams_of(kind: AcceleratorKind, layers: tuple[int, int]) -> float:
    """Return the number of streams on a range, or 0 if it does not fit into memory."""
    held = layers[1] - layers[0]
    return kind.streams[held] if held < len(kind.streams) else 0.0


def longest_with(kind: AcceleratorKind, streams: float, most: int) -> int:
    """Return the maximum number of layers on which an accelerator runs streams.

    Args:
        kind: Kind of the accelerator, whose streams fall with the number of layers.
        streams: Number of streams.
        most: Upper limit of the number of layers.
    """
    return bisect_right(kind.falling, -streams, 1, most + 1) - 1


def most_streams(resources: Resources) -> float:
    """Return the number of streams if no capacity were wasted."""
    areas = [
        resources.kinds[name].area * count
        for counts in resources.stock.values()
        for name, count in counts.items()
    ]
    return sum(areas) / resources.layers
