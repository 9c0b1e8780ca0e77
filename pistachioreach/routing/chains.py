"""Planning of chains: which endpoint runs which layers of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.endpoints.wire import Stage

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from pistachioreach.routing.fleet import EndpointState, Fleet

__all__ = ["Chain", "Planner", "format_chain"]

#: Candidates drawn for each layer range; the cost of a plan grows with its square.
SAMPLE_SIZE = 4
#: Draws for each candidate wanted before the whole range is searched.
DRAWS_PER_CANDIDATE = 3
#: Share by which a cost varies at random, so that equal ones take turns.
JITTER = 0.1
#: Seconds added for a step between failure domains, one way.
DOMAIN_STEP_SECONDS = 0.0005
#: Seconds added for each stream that would have to wait for a place.
WAITING_SECONDS = 0.5


class Chain(NamedTuple):
    """A planned chain.

    Attributes:
        stages: Its stages, in the order of layers.
        cost: Expected seconds, for comparison between chains only.
        candidates: Every endpoint weighed, with its own cost.
    """

    stages: tuple[Stage, ...]
    cost: float
    candidates: dict[str, float]


class Partial(NamedTuple):
    """The cheapest way found to run the layers below a boundary.

    Attributes:
        cost: Its cost.
        state: Endpoint of its last stage, or None before the first.
        first: First layer that this endpoint runs.
        before: The part of the way before that stage.
    """

    cost: float
    state: EndpointState | None
    first: int
    before: Partial | None


class Planner:
    """Plans chains over the endpoints that one entry knows.

    Args:
        fleet: The endpoints.
        failure_domain: Failure domain of this entry.
        random: Source of the draws.
        sample_size: Candidates drawn for each layer range.
    """

    def __init__(
        self,
        fleet: Fleet,
        failure_domain: str,
        random: Random,
        sample_size: int = SAMPLE_SIZE,
    ) -> None:
        #: The endpoints.
        self.fleet = fleet
        #: Failure domain of this entry.
        self.failure_domain = failure_domain
        #: Source of the draws.
        self.random = random
        #: Candidates drawn for each layer range.
        self.sample_size = sample_size

    def plan(
        self,
        model: str,
        now: float,
        prefer: frozenset[str] = frozenset(),
        avoid: frozenset[str] = frozenset(),
        isolate: bool = False,
    ) -> Chain | None:
        """Return a good chain, or None when no usable endpoints cover the model.

        Also None when a change of the configuration has taken the model away.

        Draws a few candidates for each layer range and takes the cheapest way
        through them; entries that share stale news thus choose different ones.

        Args:
            model: Name of the model.
            now: Monotonic time.
            prefer: Endpoints of the attempt before, whose cache is worth keeping.
            avoid: Endpoints that must not be used.
            isolate: Whether to use only endpoints without another suspect.
        """

        def allowed(state: EndpointState) -> bool:
            if state.endpoint.name in avoid or not state.usable(now):
                return False
            return not (isolate and state.suspect_requests)

        layers = self.fleet.layers.get(model)
        if layers is None:
            return None
        candidates: dict[str, float] = {}
        best: dict[int, list[Partial]] = {0: [Partial(0.0, None, 0, None)]}
        groups = self.drawn_groups(model, allowed, prefer)
        for boundary in sorted({edge for edges in groups for edge in edges}):
            for (first, last), states in groups.items():
                if not first <= boundary < last or boundary not in best:
                    continue
                for state in states:
                    cost = self.endpoint_cost(state, now, isolate)
                    candidates[state.endpoint.name] = round(cost, 4)
                    self.extend(best, boundary, last, state, cost)
        ends = best.get(layers)
        if not ends:
            return None
        cheapest = min(ends, key=lambda partial: partial.cost)
        return Chain(stages_of(cheapest, layers), cheapest.cost, candidates)

    def extend(
        self,
        best: dict[int, list[Partial]],
        boundary: int,
        last: int,
        state: EndpointState,
        cost: float,
    ) -> None:
        """Add the cheapest way that ends with an endpoint."""
        way = min(
            best[boundary],
            key=lambda partial: partial.cost + self.link_cost(partial.state, state),
        )
        total = way.cost + self.link_cost(way.state, state) + cost
        best.setdefault(last, []).append(Partial(total, state, boundary, way))

    def drawn_groups(
        self, model: str, allowed: Callable, prefer: frozenset[str]
    ) -> dict[tuple[int, int], list[EndpointState]]:
        """Return the candidates drawn for each layer range."""
        drawn = {}
        for layer_range, states in self.fleet.ranges[model].items():
            # A change of the configuration may have taken an endpoint away.
            known = [self.fleet.states.get(name) for name in prefer]
            kept = [state for state in known if state is not None]
            chosen = [state for state in kept if state in states and allowed(state)]
            drawn[layer_range] = chosen or self.draw(states, allowed)
        return drawn

    def draw(self, states: list[EndpointState], allowed: Callable):
        """Return up to `sample_size` different allowed endpoints, at random.

        Those with a free place of this entry's own go first.
        """
        own = [s for s in states if s.in_flight < s.own_slots and allowed(s)]
        if own:
            count = min(len(own), self.sample_size)
            return self.random.sample(own, count)
        chosen: dict[str, EndpointState] = {}
        for _ in range(self.sample_size * DRAWS_PER_CANDIDATE):
            state = states[int(self.random.random() * len(states))]
            if allowed(state):
                chosen[state.endpoint.name] = state
            if len(chosen) == self.sample_size:
                return list(chosen.values())
        rest = [state for state in states if allowed(state)]
        if len(rest) <= self.sample_size:
            return rest
        return self.random.sample(rest, self.sample_size)

    def endpoint_cost(self, state: EndpointState, now: float, isolate: bool) -> float:
        """Return the expected seconds that one endpoint adds."""
        occupancy = state.occupancy(now)
        cost = self.fleet.expected_gap(state, now) * (1 + occupancy)
        cost *= 1 + JITTER * self.random.random()
        places = state.endpoint.concurrency
        waiting = max(0.0, occupancy + 1 / places - 1)
        cost += WAITING_SECONDS * waiting
        if state.suspect_requests:
            cost += WAITING_SECONDS
        if isolate:
            cost += WAITING_SECONDS * occupancy
        return cost

    def link_cost(self, before: EndpointState | None, after: EndpointState) -> float:
        """Return the expected seconds of one step between two endpoints."""
        here = before.endpoint.failure_domain if before else self.failure_domain
        same = here == after.endpoint.failure_domain
        return 0.0 if same else DOMAIN_STEP_SECONDS


def stages_of(partial: Partial, layers: int) -> tuple[Stage, ...]:
    """Return the stages of a way, each running up to the next one's first layer."""
    stages: list[Stage] = []
    last = layers
    while partial.state is not None:
        endpoint = partial.state.endpoint
        stages.append(Stage(endpoint.name, endpoint.address, partial.first, last))
        last = partial.first
        partial = partial.before
    return tuple(reversed(stages))


def format_chain(stages: tuple[Stage, ...]) -> str:
    """Return a chain as it stands in logs: `a[0:16] b[16:32]`."""
    return " ".join(f"{stage.endpoint}[{stage.first}:{stage.last}]" for stage in stages)
