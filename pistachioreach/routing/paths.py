"""Choice of a chain of engines for a stream, by speed, load, memory and domain.

A stream only gets a chain on which every engine has room for the stream's KV cache,
so that no engine has to evict a running stream under the load of many streams. Among
these chains, the one with the shortest expected time per event is chosen. Steps
between failure domains are avoided, since the activations of a prompt occupy the link
between two domains for longer than those of a decoding step.

A stream that would let the events of each chain come too late gets none, unless the
fastest chain would be too slow even without load: then waiting would not help.
"""

from __future__ import annotations

import bisect
import itertools
import math
import operator
from typing import TYPE_CHECKING, NamedTuple
from weakref import WeakKeyDictionary

from pistachioreach.routing.engine_load import Reservation

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from pistachioreach.endpoints.directory import Endpoint, Registration
    from pistachioreach.routing.engine_load import EngineLoad
    from pistachioreach.routing.routes import Card, EngineModel

__all__ = [
    "MAX_FILL_SHARE",
    "STAGE_OVERHEAD_MS",
    "Path",
    "PathStage",
    "Spread",
    "StreamNeed",
    "card_cache_capacity",
    "card_layer_ms",
    "fewest_crossings",
    "find_path",
    "kv_cache_capacity",
]

#: Number of streams on an engine that double the time of a pass, measured in a run
#: with the load of a calm day.
STREAMS_TO_DOUBLE = 24
#: Time that each stage adds to an event besides running its layers, in milliseconds:
#: the wait for the pass in progress, and the transfer to the next stage.
STAGE_OVERHEAD_MS = 0.4
#: Number of events over which the cost of a prompt transfer between domains is spread.
EVENTS_PER_PROMPT = 5
#: Maximum share of an engine's KV cache that is reserved. The estimates of answer
#: lengths are right only at the median.
MAX_FILL_SHARE = 0.92
#: Maximum number of stages in a chain that engines accept.
MAX_STAGES = 32


class StreamNeed(NamedTuple):
    """The number of tokens for which a stream needs KV cache in each layer.

    Attributes:
        prompt_tokens: Prompt tokens, plus the output tokens that were already sent.
        answer_tokens: Expected number of output tokens.
    """

    prompt_tokens: int
    answer_tokens: int

    @property
    def tokens(self) -> int:
        """Number of tokens in the KV cache when the stream ends."""
        return self.prompt_tokens + self.answer_tokens


class Spread(NamedTuple):
    """Random changes of the times by which chains are compared.

    Attributes:
        width: Width of the factor on the time of each engine, which is uniform between
            1 and 1 + width.
        draw: Function that returns a random number from 0 to 1.
    """

    width: float
    draw: Callable[[], float]

    def factor(self) -> float:
        """Return the random factor on the time of one engine."""
        return 1.0 + self.width * self.draw()

    @property
    def mean(self) -> float:
        """Mean of the factor, by which the time of a step between domains is raised.

        Otherwise chains with such steps would be preferred to changed times of engines.
        """
        return 1.0 + self.width / 2


class PathStage(NamedTuple):
    """A stage of a chain: an engine and the layers that it runs.

    Attributes:
        endpoint: The engine.
        first: First layer that the engine runs.
        last: Layer after the last one that the engine runs.
    """

    endpoint: Endpoint
    first: int
    last: int


class Path(NamedTuple):
    """A chain of stages that runs each layer once, in order.

    Attributes:
        stages: The stages, in the order of their layers.
        event_ms: Expected time per event in milliseconds, which is the cost by which
            chains are compared.
        stage_ms: Expected time per event in each stage, in milliseconds, at the
            engine's normal speed.
        overhead_ms: Expected time per event outside the layers, in milliseconds.
    """

    stages: tuple[PathStage, ...]
    event_ms: float
    stage_ms: tuple[float, ...]
    overhead_ms: float

    @property
    def crossings(self) -> int:
        """Number of steps between failure domains."""
        domains = [stage.endpoint.registration.failure_domain for stage in self.stages]
        return sum(a != b for a, b in itertools.pairwise(domains))

    def reservation(self, need: StreamNeed) -> Reservation:
        """Return the KV cache that a stream reserves on the engines of the chain."""
        return Reservation(
            tuple(
                (stage.endpoint.id, need.tokens * (stage.last - stage.first))
                for stage in self.stages
            )
        )

    def reserved_tokens(self, reservation: Reservation) -> float:
        """Return the number of tokens for which a reservation holds KV cache."""
        stage = self.stages[0]
        return reservation.engines[0][1] / (stage.last - stage.first)


class PartialPath(NamedTuple):
    """The cheapest chain found for the layers below a boundary, as a linked list.

    Attributes:
        cost: Expected time per event, in milliseconds.
        stage: Arguments of the last stage, or None if the chain is empty.
        prefix: The chain without its last stage, or None if the chain is empty.
    """

    cost: float
    stage: tuple[Endpoint, int, int] | None
    prefix: PartialPath | None


class EngineFacts(NamedTuple):
    """Properties of an engine that change only with its registration or the model.

    Attributes:
        registration: Registration of the engine.
        model: Model that the engine runs.
        domain: Failure domain of the engine.
        first: First layer that the engine holds.
        last: Layer after the last one that the engine holds; 0 if it holds none.
        memory: KV cache that may be reserved, in tokens times layers.
        base_ms: Time per event of one layer without other streams, in milliseconds.
    """

    registration: Registration
    model: EngineModel
    domain: str
    first: int
    last: int
    memory: float
    base_ms: float


class UsableEngine(NamedTuple):
    """An engine that has memory for a stream, in one search.

    Attributes:
        ms_per_layer: Expected time per event of one layer, in milliseconds.
        endpoint: The engine.
        domain: Failure domain of the engine.
        first: First layer that the engine holds.
        last: Layer after the last one that the engine holds.
        max_layers: Maximum number of layers for which memory is free.
    """

    ms_per_layer: float
    endpoint: Endpoint
    domain: str
    first: int
    last: int
    max_layers: int


#: Facts of each engine. For 100 engines, computing them takes 42 us and looking them up
#: 14 us of the 240 us of a search.
KNOWN_FACTS: WeakKeyDictionary[Endpoint, EngineFacts] = WeakKeyDictionary()


def engine_facts(endpoint: Endpoint, model: EngineModel) -> EngineFacts:
    """Return the facts of an engine, computed again only after a change."""
    facts = KNOWN_FACTS.get(endpoint)
    if (
        facts is None
        or facts.registration is not endpoint.registration
        or facts.model is not model
    ):
        registration = endpoint.registration
        held = registration.layers
        facts = KNOWN_FACTS[endpoint] = EngineFacts(
            registration,
            model,
            registration.failure_domain,
            0 if held is None else held.first,
            0 if held is None else held.last,
            MAX_FILL_SHARE * kv_cache_capacity(endpoint, model),
            layer_ms(endpoint, model, 0),
        )
    return facts


def kv_cache_capacity(endpoint: Endpoint, model: EngineModel) -> float:
    """Return the size of an engine's KV cache, in tokens times layers.

    Returns 0 if the engine holds no layers or its kind of accelerator is unknown.
    """
    registration = endpoint.registration
    card = model.cards.get(registration.card)
    if card is None or registration.layers is None:
        return 0.0
    held = registration.layers.last - registration.layers.first
    return card_cache_capacity(card, held, model)


def card_cache_capacity(card: Card, held: int, model: EngineModel) -> float:
    """Return the KV cache of an accelerator beside its layers, in tokens times layers.

    Args:
        card: Kind of the accelerator.
        held: Number of layers that the accelerator holds.
        model: Model that the layers belong to.
    """
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
    barred: Collection[str] = (),
    spread: Spread | None = None,
    max_event_ms: float = math.inf,
    saving_of: Callable[[Endpoint], float] | None = None,
) -> Path | None:
    """Return the chain with the shortest expected time per event.

    Entries know the load of the others from reports that are equally old. So that they
    do not all choose the same chain, `spread` makes an entry draw one of the chains of
    nearly equal cost.

    Args:
        endpoints: Engines that may be used.
        model: Model that the engines run.
        need: Prompt and answer size of the stream.
        load_of: Function that returns the load of an engine, given its id.
        slowdown_of: Function that returns the factor on the normal times of an
            engine, given its id.
        avoid: Ids of engines that must not be used.
        head: First stage that the chain must begin with, or None.
        allow_crossings: Whether the chain may contain steps between failure domains.
        barred: Ids of engines with which the chain must not begin.
        spread: Random changes of the times in the choice, or None for the exact times.
        max_event_ms: Maximum time per event, in milliseconds, which one more stream
            must not exceed.
        saving_of: Function that returns what a kept prompt saves on an engine, in
            milliseconds per event and layer, or None. It changes which chain is
            chosen, but not the chain's expected time per event.

    Returns:
        The chain, or None if no chain has enough free memory, or if load lets each one
        exceed the maximum time per event.
    """
    if head is not None:
        avoid = {*avoid, head.endpoint.id}
    tokens = max(1, need.tokens)
    usable, exact_ms = [], {}
    for endpoint in endpoints:
        facts = engine_facts(endpoint, model)
        if not facts.last or endpoint.id in avoid:
            continue
        load = load_of(endpoint.id)
        max_layers = int((facts.memory - load.memory) // tokens)
        if max_layers < 1:
            continue
        ms_per_layer = facts.base_ms * (1 + (load.streams + 1) / STREAMS_TO_DOUBLE)
        ms_per_layer *= slowdown_of(endpoint.id)
        exact_ms[endpoint.id] = ms_per_layer
        if saving_of is not None:
            ms_per_layer = max(0.0, ms_per_layer - saving_of(endpoint))
        if spread is not None:
            ms_per_layer *= spread.factor()
        usable.append(
            UsableEngine(
                ms_per_layer,
                endpoint,
                facts.domain,
                facts.first,
                facts.last,
                max_layers,
            )
        )
    crossing = crossing_ms(model, need) if allow_crossings else math.inf
    is_exact = spread is None and saving_of is None
    scale = 1.0 if spread is None else spread.mean
    path = search_unique(usable, model, crossing * scale, head, barred)
    if path is not None and not is_exact:
        path = path._replace(event_ms=exact_event_ms(path, exact_ms, crossing))
    if path is not None and path.event_ms > max_event_ms and not is_exact:
        usable = [UsableEngine(exact_ms[e.endpoint.id], *e[1:]) for e in usable]
        path = search_unique(usable, model, crossing, head, barred)
    if path is not None and path.event_ms > max_event_ms:
        if path.event_ms - load_ms(path, model, load_of, slowdown_of) <= max_event_ms:
            return None
    return None if path is None else with_stage_times(path, model, load_of)


def load_ms(
    path: Path, model: EngineModel, load_of: Callable, slowdown_of: Callable
) -> float:
    """Return the time per event of a chain that is due to running streams, in ms."""
    return sum(
        engine_facts(stage.endpoint, model).base_ms
        * (stage.last - stage.first)
        * load_of(stage.endpoint.id).streams
        / STREAMS_TO_DOUBLE
        * slowdown_of(stage.endpoint.id)
        for stage in path.stages
    )


def exact_event_ms(path: Path, exact_ms: dict[str, float], crossing: float) -> float:
    """Return the expected time per event of a chain, in milliseconds.

    Args:
        path: Chain that was chosen by changed times.
        exact_ms: Expected time per event of one layer on each engine, by engine id. As
            in `search`, a given first stage is not in it and adds nothing.
        crossing: Cost of a step between failure domains, in milliseconds per event.
    """
    cost = path.crossings * crossing if path.crossings else 0.0
    for stage in path.stages:
        ms_per_layer = exact_ms.get(stage.endpoint.id)
        if ms_per_layer is not None:
            cost += STAGE_OVERHEAD_MS + ms_per_layer * (stage.last - stage.first)
    return cost


def search_unique(
    usable: list[UsableEngine],
    model: EngineModel,
    crossing: float,
    head: PathStage | None,
    barred: Collection[str],
) -> Path | None:
    """Return the cheapest chain that uses each engine once, or None.

    An engine can occur twice in a chain only if its first stage ends before the
    engine's last layer. If the first search returns such a chain, or one that is too
    long, the second search does not let a stage end early.
    """
    for early_ends in (True, False):
        path = search(usable, model, crossing, early_ends, head, barred)
        if path is None:
            return None
        ids = {stage.endpoint.id for stage in path.stages}
        if len(ids) == len(path.stages) <= MAX_STAGES:
            return path
    return None


def fewest_crossings(
    endpoints: Sequence[Endpoint], model: EngineModel, avoid: Collection[str] = ()
) -> int | None:
    """Return the least number of steps between failure domains that a chain needs.

    Free memory and the number of stages are not considered.

    Args:
        endpoints: Engines that may be used.
        model: Model that the engines run.
        avoid: Ids of engines that must not be used.

    Returns:
        The number, which is 0 if some failure domain has a whole chain, or None if the
        engines do not cover all layers.
    """
    ranges: dict[str, list[tuple[int, int]]] = {}
    for endpoint in endpoints:
        held = endpoint.registration.layers
        if held is None or endpoint.id in avoid:
            continue
        if kv_cache_capacity(endpoint, model):
            domain = endpoint.registration.failure_domain
            ranges.setdefault(domain, []).append((held.first, held.last))
    for held_ranges in ranges.values():
        held_ranges.sort()
    layer, crossings = 0, -1
    # Staying in the domain that reaches furthest needs the fewest steps.
    while layer < model.layers:
        reached = [end_of_cover(held_ranges, layer) for held_ranges in ranges.values()]
        furthest = max(reached, default=layer)
        if furthest == layer:
            return None
        layer, crossings = furthest, crossings + 1
    return max(0, crossings)


def end_of_cover(ranges: list[tuple[int, int]], layer: int) -> int:
    """Return the layer up to which sorted ranges cover all layers from one on."""
    for first, last in ranges:
        if first > layer:
            break
        layer = max(layer, last)
    return layer


def with_stage_times(path: Path, model: EngineModel, load_of: Callable) -> Path:
    """Return a copy of a chain with the expected time per event of each stage."""
    times = tuple(
        layer_ms(stage.endpoint, model, load_of(stage.endpoint.id).streams)
        * (stage.last - stage.first)
        for stage in path.stages
    )
    return path._replace(stage_ms=times, overhead_ms=STAGE_OVERHEAD_MS * len(times))


def layer_ms(endpoint: Endpoint, model: EngineModel, streams: int) -> float:
    """Return the expected time per event of one layer, in milliseconds.

    Args:
        endpoint: Engine that runs the layer.
        model: Model that the engine runs.
        streams: Number of streams on the engine.
    """
    return card_layer_ms(model.cards.get(endpoint.registration.card), model, streams)


def card_layer_ms(card: Card | None, model: EngineModel, streams: float) -> float:
    """Return the expected time per event of one layer, in milliseconds.

    Args:
        card: Kind of the accelerator, or None if it is unknown.
        model: Model that the layer belongs to.
        streams: Number of streams on the accelerator.
    """
    factor = 1.0 if card is None else card.step_factor
    load_factor = 1 + streams / STREAMS_TO_DOUBLE
    return model.steps_per_pass * model.step_ms * factor / model.layers * load_factor


def crossing_ms(model: EngineModel, need: StreamNeed) -> float:
    """Return the time per event of a step between failure domains, in milliseconds."""
    if not model.link_mbps:
        return 0.0
    token_ms = model.activation_bytes * 8 / (model.link_mbps * 1000)
    return token_ms * (model.steps_per_pass + need.prompt_tokens / EVENTS_PER_PROMPT)


def cheapest_prefix(
    prefixes: dict[str, PartialPath], domain: str, crossing: float
) -> tuple[float, PartialPath]:
    """Return the cheapest chain before a stage, and its cost with the step to it.

    Args:
        prefixes: Chains by the failure domain of their last stage, "" if empty.
        domain: Failure domain of the stage.
        crossing: Cost of a step between failure domains, in milliseconds per event.
    """
    best_cost, best = math.inf, None
    for last_domain, prefix in prefixes.items():
        cost = prefix.cost
        if last_domain not in ("", domain):
            cost += crossing
        if best is None or cost < best_cost:
            best_cost, best = cost, prefix
    return best_cost, best


def engines_by_boundary(
    usable: list[UsableEngine], ordered: list[int]
) -> dict[int, list[UsableEngine]]:
    """Return the engines that hold the layer after each boundary, the fastest first."""
    engines: dict[int, list[UsableEngine]] = {edge: [] for edge in ordered}
    for engine in sorted(usable, key=operator.attrgetter("ms_per_layer")):
        start = bisect.bisect_left(ordered, engine.first)
        for boundary in ordered[start : bisect.bisect_left(ordered, engine.last)]:
            engines[boundary].append(engine)
    return engines


# Arguments of `search`, besides those of `find_path`: `usable` holds the engines with
# free memory. `crossing` is the cost of a step between failure domains in milliseconds
# per event, infinite if such steps are not allowed. `early_ends` tells whether a stage
# may end before its engine's last layer. `barred` holds the ids of engines with which
# the chain must not begin. The result is None if no chain has a finite cost.
def search(
    usable: list[UsableEngine],
    model: EngineModel,
    crossing: float,
    early_ends: bool,
    head: PathStage | None,
    barred: Collection[str],
) -> Path | None:
    """Return the cheapest chain, found by dynamic programming over layer boundaries.

    Of the engines of a failure domain that can run the layers between two boundaries,
    only the fastest matters. The engines are therefore visited from the fastest on, and
    each only for the ends that no faster one of its domain has reached.
    """
    start_layer = 0 if head is None else head.last
    boundaries = {start_layer, model.layers}
    for engine in usable:
        boundaries.add(engine.first)
        boundaries.add(engine.last)
    ordered = sorted(edge for edge in boundaries if edge >= start_layer)
    engines = engines_by_boundary(usable, ordered)
    # The cheapest chain to each boundary, by the failure domain of its last stage.
    best: dict[int, dict[str, PartialPath]] = {edge: {} for edge in ordered}
    best[start_layer][""] = PartialPath(0.0, None, None)
    if head is not None:
        domain = head.endpoint.registration.failure_domain
        empty = PartialPath(0.0, None, None)
        best[start_layer] = {domain: PartialPath(0.0, tuple(head), empty)}
    for boundary in ordered[:-1]:
        prefixes = best[boundary]
        if not prefixes:
            continue
        # By failure domain: cost and chain before the stage, and the ends reached.
        bases: dict[str, tuple[float, PartialPath, set[int]]] = {}
        for ms_per_layer, endpoint, domain, _, last, max_layers in engines[boundary]:
            if not boundary and endpoint.id in barred:
                continue
            base = bases.get(domain)
            if base is None:
                base = (*cheapest_prefix(prefixes, domain, crossing), set())
                bases[domain] = base
            base_cost, prefix, reached = base
            limit = min(last, boundary + max_layers)
            if limit in reached or base_cost == math.inf:
                continue
            if early_ends:
                start = bisect.bisect_right(ordered, boundary)
                ends = ordered[start : bisect.bisect_right(ordered, limit)]
            elif limit == last:
                ends = [last]
            else:
                continue
            for end in ends:
                if end in reached:
                    continue
                reached.add(end)
                cost = base_cost + STAGE_OVERHEAD_MS + ms_per_layer * (end - boundary)
                known = best[end].get(domain)
                if known is None or cost < known.cost:
                    stage = (endpoint, boundary, end)
                    best[end][domain] = PartialPath(cost, stage, prefix)
    complete = best[model.layers]
    if not complete:
        return None
    partial = min(complete.values(), key=lambda candidate: candidate.cost)
    cost = partial.cost
    stages = []
    while partial.stage is not None:
        stages.append(PathStage(*partial.stage))
        partial = partial.prefix
    return Path(tuple(reversed(stages)), cost, (), 0.0)
