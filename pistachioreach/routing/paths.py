"""Choice of a chain of engines for one stream, by pace, load, room and place.

Answers the load of many streams at once: a stream is given a chain only where
every engine has room for its KV cache, so that no engine has to throw out a
stream that runs. Among these the chain with the shortest time for an event is
taken, and steps between failure domains are avoided, since the prompt's
activations occupy the pipe between two domains for longer than a decoding step.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.routing.engine_load import Reservation

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.routing.engine_load import EngineLoad
    from pistachioreach.routing.routes import EngineModel

__all__ = ["Path", "PathStage", "StreamNeed", "kv_cache_capacity", "find_path"]

#: Streams on an engine that double the time of its pass; measured on the calm day.
STREAMS_TO_DOUBLE = 24
#: Milliseconds of each stage besides its share of the model: waiting for the
#: pass that runs, and the hand-over.
STAGE_MS = 0.4
#: Events over which the transfer of a prompt between domains is spread.
EVENTS_A_PROMPT = 5
#: Share of an engine's memory that may be promised; estimates of answers are
#: right at the median only.
FILL_LIMIT = 0.92
#: Stages of the longest chain that engines accept.
MAX_STAGES = 32


class StreamNeed(NamedTuple):
    """What a stream needs of each layer.

    Attributes:
        prompt: Prompt tokens, with those already answered.
        answer: Output tokens that are expected.
    """

    prompt: int
    answer: int

    @property
    def tokens(self) -> int:
        """Tokens whose KV cache is held at the end."""
        return self.prompt + self.answer


class PathStage(NamedTuple):
    """A stage of a chain.

    Attributes:
        endpoint: The engine.
        first: First layer that it runs.
        last: The layer after the last one.
    """

    endpoint: Endpoint
    first: int
    last: int


class Path(NamedTuple):
    """A chain that runs every layer once, in order.

    Attributes:
        stages: Its stages.
        event_ms: Expected time of an event, as chains are compared by it.
        stage_ms: Expected time of an event in each stage of normal pace.
        other_ms: Expected time of an event besides.
    """

    stages: tuple[PathStage, ...]
    event_ms: float
    stage_ms: tuple[float, ...]
    other_ms: float

    @property
    def crossings(self) -> int:
        """Steps between failure domains."""
        domains = [stage.endpoint.registration.failure_domain for stage in self.stages]
        return sum(a != b for a, b in itertools.pairwise(domains))

    def reservation(self, need: StreamNeed) -> Reservation:
        """Return what a stream takes of the engines."""
        return Reservation(
            tuple(
                (stage.endpoint.id, need.tokens * (stage.last - stage.first))
                for stage in self.stages
            )
        )


class Step(NamedTuple):
    """The cheapest way found to one end of a stage.

    Attributes:
        cost: Its cost in milliseconds an event.
        stage: The last stage, or None before the first.
        before: The way before that stage.
    """

    cost: float
    stage: PathStage | None
    before: Step | None


def kv_cache_capacity(endpoint: Endpoint, model: EngineModel) -> float:
    """Return an engine's memory for KV cache, in tokens times layers."""
    registration = endpoint.registration
    card = model.cards.get(registration.card)
    if card is None or registration.layers is None:
        return 0.0
    held = registration.layers.last - registration.layers.first
    free_mb = card.memory_mb - held * model.layer_mb
    return max(0.0, free_mb * 1e6 / (model.token_bytes / model.layers))


def find_path(
    endpoints: Sequence[Endpoint],
    model: EngineModel,
    need: StreamNeed,
    load_of: Callable[[str], EngineLoad],
    slowdown_of: Callable[[str], float] = lambda _: 1.0,
    avoid: Collection[str] = (),
    head: PathStage | None = None,
    allow_crossings: bool = True,
) -> Path | None:
    """Return the chain with the shortest event, or None if none has room.

    Args:
        endpoints: Engines that may be used.
        model: The model that they run.
        need: What the stream needs of each layer.
        load_of: Work on an engine, by its id.
        slowdown_of: Factor on an engine's normal times, by its id.
        avoid: Ids of engines that must not be used.
        head: First stage that the chain must begin with, or None.
        allow_crossings: Whether the chain may leave a failure domain.
    """
    if head is not None:
        avoid = {*avoid, head.endpoint.id}
    usable = []
    for endpoint in endpoints:
        held = endpoint.registration.layers
        if held is None or endpoint.id in avoid:
            continue
        load = load_of(endpoint.id)
        room = FILL_LIMIT * kv_cache_capacity(endpoint, model) - load.memory
        layers = math.floor(room / max(1, need.tokens))
        if layers < 1:
            continue
        pace = layer_ms(endpoint, model, load.streams) * slowdown_of(endpoint.id)
        usable.append((endpoint, held.first, held.last, layers, pace))
    # A second search lets no engine end a stage early, which is the only way in
    # which one may come twice.
    for early_ends in (True, False):
        crossing = crossing_ms(model, need) if allow_crossings else math.inf
        path = search(usable, model, crossing, early_ends, head)
        if path is None:
            return None
        ids = {stage.endpoint.id for stage in path.stages}
        if len(ids) == len(path.stages) <= MAX_STAGES:
            return timed(path, model, load_of)
    return None


def timed(path: Path, model: EngineModel, load_of: Callable) -> Path:
    """Return a chain with the expected time of an event in each stage."""
    times = tuple(
        layer_ms(stage.endpoint, model, load_of(stage.endpoint.id).streams)
        * (stage.last - stage.first)
        for stage in path.stages
    )
    return path._replace(stage_ms=times, other_ms=STAGE_MS * len(times))


def layer_ms(endpoint: Endpoint, model: EngineModel, streams: int) -> float:
    """Return the time of one layer for an event, the load included."""
    card = model.cards.get(endpoint.registration.card)
    factor = 1.0 if card is None else card.step_factor
    crowding = 1 + streams / STREAMS_TO_DOUBLE
    return model.steps_per_pass * model.step_ms * factor / model.layers * crowding


def crossing_ms(model: EngineModel, need: StreamNeed) -> float:
    """Return the cost of a step between failure domains for an event."""
    if not model.link_mbps:
        return 0.0
    token_ms = model.activation_bytes * 8 / (model.link_mbps * 1000)
    return token_ms * (model.steps_per_pass + need.prompt / EVENTS_A_PROMPT)


def search(
    usable: list,
    model: EngineModel,
    crossing: float,
    early_ends: bool,
    head: PathStage | None,
) -> Path | None:
    """Return the cheapest chain over layer boundaries, if one has a finite cost."""
    start_layer = 0 if head is None else head.last
    boundaries = {start_layer, model.layers}
    for _, first, last, _, _ in usable:
        boundaries |= {first, last}
    ordered = sorted(edge for edge in boundaries if edge >= start_layer)
    # The cheapest way to each boundary, by the failure domain of its last stage.
    best: dict[int, dict[str, Step]] = {start_layer: {"": Step(0.0, None, None)}}
    if head is not None:
        domain = head.endpoint.registration.failure_domain
        begin = Step(0.0, head, Step(0.0, None, None))
        best = {start_layer: {domain: begin}}
    for boundary in ordered[:-1]:
        ways = best.get(boundary)
        if ways is None:
            continue
        for endpoint, first, last, room, pace in usable:
            if not first <= boundary < last:
                continue
            domain = endpoint.registration.failure_domain
            before = min(
                ways.items(),
                key=lambda way: (
                    way[1].cost + (crossing if way[0] not in ("", domain) else 0.0)
                ),
            )
            start = before[1].cost
            if before[0] not in ("", domain):
                start += crossing
            if math.isinf(start):
                continue
            for end in ordered:
                if not boundary < end <= min(last, boundary + room):
                    continue
                if not early_ends and end != last:
                    continue
                cost = start + STAGE_MS + pace * (end - boundary)
                known = best.setdefault(end, {}).get(domain)
                if known is None or cost < known.cost:
                    stage = PathStage(endpoint, boundary, end)
                    best[end][domain] = Step(cost, stage, before[1])
    ends = best.get(model.layers)
    if not ends:
        return None
    step = min(ends.values(), key=lambda way: way.cost)
    cost = step.cost
    stages = []
    while step.stage is not None:
        stages.append(step.stage)
        step = step.before
    return Path(tuple(reversed(stages)), cost, (), 0.0)
