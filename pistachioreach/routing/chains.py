"""Planning of chains: selection of the endpoint that runs each layer of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.endpoints.wire import Stage

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from pistachioreach.routing.fleet import EndpointState, Fleet

__all__ = ["Chain", "Planner", "format_chain"]

#: Number of candidates drawn for each layer range. The cost of planning grows with the
#: square of this number.
SAMPLE_SIZE = 4
#: Number of random draws for each wanted candidate, after which all endpoints of a
#: range are searched.
DRAWS_PER_CANDIDATE = 3
#: Maximum random increase of an endpoint's cost, as a fraction, so that endpoints of
#: equal cost share the requests.
JITTER = 0.1
#: Cost of a step between failure domains, one way, in seconds.
DOMAIN_STEP_SECONDS = 0.0005
#: Cost of each stream that would have to wait for a slot, in seconds.
WAITING_SECONDS = 0.5


class Chain(NamedTuple):
    """A planned chain.

    Attributes:
        stages: Stages of the chain, in the order of their layers.
        cost: Expected seconds, which are meaningful only to compare chains.
        candidates: Cost of each endpoint that was considered, by endpoint name.
    """

    stages: tuple[Stage, ...]
    cost: float
    candidates: dict[str, float]


class PartialChain(NamedTuple):
    """A chain that runs the layers below a boundary, as a linked list.

    Attributes:
        cost: Expected seconds.
        state: Endpoint of the last stage, or None if the chain is empty.
        first: First layer that this endpoint runs.
        prefix: The chain without its last stage, or None if the chain is empty.
    """

    cost: float
    state: EndpointState | None
    first: int
    prefix: PartialChain | None


class Planner:
    """Plans chains over the endpoints that one entry knows.

    Args:
        fleet: The known endpoints.
        failure_domain: Failure domain of this entry.
        random: Random number generator for the draws.
        sample_size: Number of candidates drawn for each layer range.
    """

    def __init__(
        self,
        fleet: Fleet,
        failure_domain: str,
        random: Random,
        sample_size: int = SAMPLE_SIZE,
    ) -> None:
        #: The known endpoints.
        self.fleet = fleet
        #: Failure domain of this entry.
        self.failure_domain = failure_domain
        #: Random number generator for the draws.
        self.random = random
        #: Number of candidates drawn for each layer range.
        self.sample_size = sample_size

    def plan(
        self,
        model: str,
        now: float,
        prefer: frozenset[str] = frozenset(),
        avoid: frozenset[str] = frozenset(),
        isolate: bool = False,
    ) -> Chain | None:
        """Return a chain of low cost that covers all layers of a model.

        Draws a few candidates at random for each layer range and selects the cheapest
        combination of them. Entries whose load data is equally stale therefore choose
        different endpoints.

        Args:
            model: Name of the model.
            now: Monotonic time.
            prefer: Endpoints of the previous attempt, whose cache can be reused.
            avoid: Endpoints that must not be used.
            isolate: Whether to use only endpoints that run no suspect request.

        Returns:
            The chain, or None if the usable endpoints do not cover the model. None is
            also returned if a configuration change has removed the model.
        """

        def allowed(state: EndpointState) -> bool:
            if state.endpoint.name in avoid or not state.usable(now):
                return False
            return not (isolate and state.suspect_requests)

        layers = self.fleet.layers.get(model)
        if layers is None:
            return None
        candidates: dict[str, float] = {}
        best: dict[int, list[PartialChain]] = {0: [PartialChain(0.0, None, 0, None)]}
        groups = self.draw_candidates(model, allowed, prefer)
        for boundary in sorted({edge for edges in groups for edge in edges}):
            for (first, last), states in groups.items():
                if not first <= boundary < last or boundary not in best:
                    continue
                for state in states:
                    cost = self.endpoint_cost(state, now, isolate)
                    candidates[state.endpoint.name] = round(cost, 4)
                    self.extend(best, boundary, last, state, cost)
        complete = best.get(layers)
        if not complete:
            return None
        cheapest = min(complete, key=lambda partial: partial.cost)
        return Chain(stages_of(cheapest, layers), cheapest.cost, candidates)

    def extend(
        self,
        best: dict[int, list[PartialChain]],
        boundary: int,
        last: int,
        state: EndpointState,
        cost: float,
    ) -> None:
        """Append an endpoint to the cheapest chain that ends at a boundary.

        Args:
            best: Chains found so far, by the layer at which they end. The new chain
                is added.
            boundary: First layer that the endpoint runs.
            last: Layer after the last one that the endpoint runs.
            state: The endpoint.
            cost: Cost of the endpoint, in seconds.
        """
        prefix = min(
            best[boundary],
            key=lambda partial: partial.cost + self.link_cost(partial.state, state),
        )
        total = prefix.cost + self.link_cost(prefix.state, state) + cost
        best.setdefault(last, []).append(PartialChain(total, state, boundary, prefix))

    def draw_candidates(
        self, model: str, allowed: Callable, prefer: frozenset[str]
    ) -> dict[tuple[int, int], list[EndpointState]]:
        """Return the candidates for each layer range of a model.

        A layer range with allowed preferred endpoints gets only these as candidates.

        Args:
            model: Name of the model.
            allowed: Function that returns whether an endpoint may be used.
            prefer: Names of the preferred endpoints.
        """
        drawn = {}
        for layer_range, states in self.fleet.ranges[model].items():
            # A configuration change may have removed a preferred endpoint.
            known = [self.fleet.states.get(name) for name in prefer]
            existing = [state for state in known if state is not None]
            chosen = [state for state in existing if state in states and allowed(state)]
            drawn[layer_range] = chosen or self.draw(states, allowed)
        return drawn

    def draw(self, states: list[EndpointState], allowed: Callable):
        """Return up to `sample_size` different allowed endpoints, drawn at random.

        While this entry has a free slot on an allowed endpoint, only endpoints with
        such a slot are drawn.

        Args:
            states: Endpoints of one layer range.
            allowed: Function that returns whether an endpoint may be used.
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
        remaining = [state for state in states if allowed(state)]
        if len(remaining) <= self.sample_size:
            return remaining
        return self.random.sample(remaining, self.sample_size)

    def endpoint_cost(self, state: EndpointState, now: float, isolate: bool) -> float:
        """Return the cost of running a stage on an endpoint, in seconds.

        Args:
            state: The endpoint.
            now: Monotonic time.
            isolate: Whether to add the cost of waiting for the streams that run on the
                endpoint.
        """
        occupancy = state.occupancy(now)
        cost = self.fleet.expected_gap(state, now) * (1 + occupancy)
        cost *= 1 + JITTER * self.random.random()
        slots = state.endpoint.concurrency
        waiting = max(0.0, occupancy + 1 / slots - 1)
        cost += WAITING_SECONDS * waiting
        if state.suspect_requests:
            cost += WAITING_SECONDS
        if isolate:
            cost += WAITING_SECONDS * occupancy
        return cost

    def link_cost(self, before: EndpointState | None, after: EndpointState) -> float:
        """Return the cost of the step between two endpoints, in seconds.

        Args:
            before: Endpoint of the previous stage, or None for this entry itself.
            after: Endpoint of the next stage.
        """
        domain = before.endpoint.failure_domain if before else self.failure_domain
        same = domain == after.endpoint.failure_domain
        return 0.0 if same else DOMAIN_STEP_SECONDS


def stages_of(partial: PartialChain, layers: int) -> tuple[Stage, ...]:
    """Return the stages of a complete chain.

    Each stage ends where the next one begins, even if its endpoint holds more layers.

    Args:
        partial: The chain.
        layers: Number of layers of the model.
    """
    stages: list[Stage] = []
    last = layers
    while partial.state is not None:
        endpoint = partial.state.endpoint
        stages.append(Stage(endpoint.name, endpoint.address, partial.first, last))
        last = partial.first
        partial = partial.prefix
    return tuple(reversed(stages))


def format_chain(stages: tuple[Stage, ...]) -> str:
    """Return a chain in the format of the logs, such as `a[0:16] b[16:32]`."""
    return " ".join(f"{stage.endpoint}[{stage.first}:{stage.last}]" for stage in stages)
