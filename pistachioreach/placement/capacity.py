"""Model of the streams and the time per event that a layout provides.

The streams in progress are limited by KV cache and by the pause between events, and in
each failure domain by the layer whose holders have the least capacity. Chains over
several domains use the capacity that the domains' own chains leave, as far as the link
between the domains carries their prompts.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.routing.link import USED_SHARE, transfer_mbit
from pistachioreach.routing.paths import (
    MAX_FILL_SHARE,
    STAGE_OVERHEAD_MS,
    StreamNeed,
    card_cache_capacity,
    card_layer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pistachioreach.placement.plan import Layout, PlacedEngine
    from pistachioreach.routing.routes import Card, EngineModel

__all__ = [
    "MAX_EVENT_MS",
    "DomainCapacity",
    "LayoutCapacity",
    "engine_streams",
    "layout_capacity",
    "link_streams",
    "mean_need",
    "streams_at_pace",
]

#: Maximum time per event in milliseconds, the target of callers for the pause between
#: two events. Cache for more streams than meet it is not counted as capacity.
MAX_EVENT_MS = 250.0


class DomainCapacity(NamedTuple):
    """Capacity of the chains inside one failure domain.

    Attributes:
        streams: Number of streams in progress; 0 if the domain lacks a chain.
        event_ms: Time per event with that many streams, in milliseconds; infinite if
            the domain lacks a chain.
        missing: Number of layers without a holder in the domain.
    """

    streams: float
    event_ms: float
    missing: int


class LayoutCapacity(NamedTuple):
    """Capacity of a layout.

    Attributes:
        domains: Capacity of the chains inside each failure domain, by domain.
        crossing_streams: Number of streams in progress on chains over several domains.
        crossings: Number of steps between domains in such a chain.
    """

    domains: dict[str, DomainCapacity]
    crossing_streams: float
    crossings: int

    @property
    def streams(self) -> float:
        """Number of streams in progress on all chains."""
        inside = sum(domain.streams for domain in self.domains.values())
        return inside + self.crossing_streams


def mean_need(model: EngineModel) -> StreamNeed:
    """Return the prompt and answer size of a stream of mean size."""
    prompt = max(1, math.ceil(model.mean_prompt_tokens))
    return StreamNeed(prompt, max(1, math.ceil(model.mean_answer_tokens)))


def mean_events(model: EngineModel) -> float:
    """Return the number of events in an answer of mean size."""
    return max(1.0, mean_need(model).answer_tokens / max(1, model.steps_per_pass))


def prefill_layer_ms(card: Card, model: EngineModel) -> float:
    """Return the prefill time per layer that a stream adds to each event.

    The unit is milliseconds. Each stream prefills one prompt in the time in which it
    receives the events of one answer.
    """
    prompt_ms = mean_need(model).prompt_tokens * model.prefill_ms * card.prefill_factor
    return prompt_ms / model.layers / mean_events(model)


def loaded_layer_ms(card: Card, model: EngineModel, streams: float) -> float:
    """Return the time per event of one layer with its share of prefills.

    The unit is milliseconds.
    """
    prefill = streams * prefill_layer_ms(card, model)
    return card_layer_ms(card, model, streams) + prefill


def streams_at_pace(card: Card, model: EngineModel) -> float:
    """Return the number of streams with which an accelerator keeps the maximum pause.

    The time of a layer grows linearly with the number of streams. Each layer may take
    an equal part of the maximum time per event.
    """
    idle = loaded_layer_ms(card, model, 0)
    per_stream = loaded_layer_ms(card, model, 1) - idle
    allowed = MAX_EVENT_MS / model.layers
    if per_stream <= 0:
        return math.inf
    return max(0.0, (allowed - idle) / per_stream)


def engine_streams(card: Card, held: int, model: EngineModel) -> float:
    """Return how many streams an engine can run on all of its layers.

    Args:
        card: Kind of the engine's accelerator.
        held: Number of layers that the engine holds.
        model: Model that the engine runs.
    """
    if held < 1:
        return 0.0
    cache = MAX_FILL_SHARE * card_cache_capacity(card, held, model)
    cache_streams = cache / mean_need(model).tokens / held
    return min(cache_streams, streams_at_pace(card, model))


def link_streams(model: EngineModel, crossings: int, event_ms: float) -> float:
    """Return how many streams in progress the link between domains allows.

    Args:
        model: Model that the streams run on.
        crossings: Number of steps between domains in each chain.
        event_ms: Time per event of the streams, in milliseconds.
    """
    if not model.link_mbps or not crossings:
        return math.inf
    per_second = USED_SHARE * model.link_mbps / transfer_mbit(model, mean_need(model))
    return per_second * mean_events(model) * event_ms / 1000 / crossings


def layout_capacity(
    engines: Sequence[PlacedEngine], layout: Layout, model: EngineModel
) -> LayoutCapacity:
    """Return the capacity of a layout.

    Args:
        engines: Engines, of which those without a range in the layout are ignored.
        layout: Range of layers of each engine, by engine id.
        model: Model that the engines run.
    """
    sizes = {
        (name, held): engine_streams(card, held, model)
        for name, card in model.cards.items()
        for held in {
            layout[e.id][1] - layout[e.id][0] for e in engines if e.id in layout
        }
    }
    covers: dict[str, list[float]] = {}
    members: dict[str, list[tuple[Card, int, int, float]]] = {}
    for engine in engines:
        covers.setdefault(engine.failure_domain, [0.0] * model.layers)
        if engine.id not in layout or engine.card not in model.cards:
            continue
        first, last = layout[engine.id]
        streams = sizes[engine.card, last - first]
        cover = covers[engine.failure_domain]
        for layer in range(max(0, first), min(last, model.layers)):
            cover[layer] += streams
        members.setdefault(engine.failure_domain, []).append(
            (model.cards[engine.card], first, last, streams)
        )
    domains = {}
    for domain, cover in sorted(covers.items()):
        level = min(cover)
        event_ms = domain_event_ms(members.get(domain, ()), cover, level, model)
        domains[domain] = DomainCapacity(level, event_ms, cover.count(0.0))
    spare = {
        domain: [value - domains[domain].streams for value in cover]
        for domain, cover in covers.items()
    }
    total = min(map(sum, zip(*spare.values(), strict=True)), default=0.0)
    crossings = fewest_crossings(spare, model.layers)
    if crossings is None or total <= 0:
        return LayoutCapacity(domains, 0.0, 0)
    limit = link_streams(model, crossings, MAX_EVENT_MS)
    return LayoutCapacity(domains, min(total, limit), crossings)


def domain_event_ms(
    members: Sequence[tuple[Card, int, int, float]],
    cover: Sequence[float],
    streams: float,
    model: EngineModel,
) -> float:
    """Return the mean time per event inside a domain, in milliseconds.

    Args:
        members: Accelerator, first layer, layer after the last one and number of
            streams of each engine.
        cover: Sum of the numbers of streams of the holders, by layer.
        streams: Number of streams in progress in the domain.
        model: Model that the engines run.
    """
    if streams <= 0:
        return math.inf
    total = 0.0
    for card, first, last, capacity in members:
        for layer in range(max(0, first), min(last, model.layers)):
            share = capacity / cover[layer]
            total += share * loaded_layer_ms(card, model, streams * share)
    stages, layer = 0, 0
    while layer < model.layers:
        layer = max(last for _, first, last, _ in members if first <= layer < last)
        stages += 1
    return total + stages * STAGE_OVERHEAD_MS


def fewest_crossings(spare: Mapping[str, Sequence[float]], layers: int) -> int | None:
    """Return the fewest steps between domains in a chain on spare capacity.

    Args:
        spare: Spare capacity by domain and layer.
        layers: Number of layers.

    Returns:
        The number of steps, or None if no domain has spare capacity on some layer.
    """
    layer, parts = 0, 0
    while layer < layers:
        reached = layer
        for values in spare.values():
            end = layer
            while end < layers and values[end] > 0:
                end += 1
            reached = max(reached, end)
        if reached == layer:
            return None
        layer = reached
        parts += 1
    return parts - 1
