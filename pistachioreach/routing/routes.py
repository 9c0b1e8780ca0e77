"""Routing table of a configuration: routes, services, workspaces and limits."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

__all__ = [
    "Card",
    "EngineModel",
    "Limits",
    "RetryPolicy",
    "Route",
    "RouteTable",
    "Service",
    "Workspace",
    "find_route",
    "pick_service",
]


class RetryPolicy(enum.Enum):
    """Whether and how a request may be sent again."""

    #: The request is idempotent and may be sent any number of times.
    ANY = "any"
    #: The request may run at most once.
    ONCE = "once"
    #: The request is a stream that another endpoint can resume after the last event.
    RESUME = "resume"


class Card(NamedTuple):
    """A kind of accelerator.

    Attributes:
        memory_mb: Memory for model weights and KV cache, in MB.
        step_factor: Factor on the time of a decoding step; higher is slower.
        prefill_factor: Factor on the time of a prefill.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float


class EngineModel(NamedTuple):
    """The model of a service, with the memory and the time that its engines need.

    Attributes:
        layers: Number of layers of the model.
        layer_mb: Size of the weights of one layer, in MB.
        token_bytes: Size of the KV cache of one token over all layers, in bytes.
        slots: Number of requests that an engine takes as the first engine of a chain.
        step_ms: Base time of a decoding step through all layers, in milliseconds.
        request_ms: Additional time of a step for each request in the batch, in
            milliseconds.
        context_ms: Additional time of a step for each 1,000 tokens of context, in
            milliseconds.
        prefill_ms: Time of the prefill for each prompt token, in milliseconds.
        prefill_chunk: Number of prompt tokens that are prefilled between two steps.
        steps_per_pass: Number of decoding steps in one pass through a chain.
        link_mbps: Bandwidth between two failure domains, in Mbit/s; 0 if unlimited.
        activation_bytes: Activations that one stage sends to the next for each token,
            in bytes.
        mean_prompt_tokens: Mean number of prompt tokens of a request.
        mean_answer_tokens: Mean number of output tokens of a request.
        load_seconds: Time to load the whole model, in seconds.
        loads_at_once: Number of concurrent loads that run at full speed.
        cards: Kinds of accelerators, by name.
        keeps_prompts: Whether engines keep the beginnings of prompts in free memory.
    """

    layers: int
    layer_mb: float
    token_bytes: float
    slots: int
    step_ms: float
    request_ms: float
    context_ms: float
    prefill_ms: float
    prefill_chunk: int
    steps_per_pass: int
    link_mbps: float
    activation_bytes: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    load_seconds: float
    loads_at_once: int
    cards: dict[str, Card]
    keeps_prompts: bool = False


class Service(NamedTuple):
    """A service to which requests are routed.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that an endpoint of the service
            accepts, over all callers.
        engine: Model of the service, or None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineModel | None


class Route(NamedTuple):
    """A rule that sends requests to services.

    Attributes:
        name: Name of the route.
        host: Host name that a request must have.
        prefix: Prefix that the path of a request must have, with a slash at both ends.
        retry_policy: Whether and how a request may be sent again.
        streaming: Whether the answer is a stream of events.
        timeout: Seconds after which the caller gets a final answer.
        target: Target for the time to the answer or to its first event, in seconds.
        event_gap_target: Target for the time between two events in seconds, or None.
        priority: Priority of the requests; 0 is the highest.
        service_weights: Name and weight of each service that handles the requests.
        max_attempts: Maximum number of attempts for one request.
        public: Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    streaming: bool
    timeout: float
    target: float
    event_gap_target: float | None
    priority: int
    service_weights: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool


class Workspace(NamedTuple):
    """A workspace that sends requests.

    Attributes:
        name: Name of the workspace.
        priority: Priority that overrides the priority of a route, or None.
    """

    name: str
    priority: int | None


class Limits(NamedTuple):
    """Limits on what a caller may send.

    Attributes:
        header_bytes: Maximum size of the header section, in bytes.
        body_bytes: Maximum size of the body, in bytes.
        header_seconds: Maximum time to receive the header section, in seconds.
        idle_seconds: Maximum time that a connection may be idle, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class RouteTable(NamedTuple):
    """The routing table of one version of the configuration.

    Attributes:
        version: Version of the configuration.
        routes: Routes by host, those with the longest prefix first.
        services: Services by name.
        workspaces: Workspaces by key, or None if callers need no key.
        limits: Limits on what a caller may send.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace] | None
    limits: Limits


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that matches a request, or None.

    Args:
        table: The routing table.
        host: Host name in the request, without a port.
        path: Path of the request.
    """
    for route in table.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: Route, random: Random) -> str:
    """Return the name of a service of a route, drawn at random by weight."""
    if len(route.service_weights) == 1:
        return route.service_weights[0][0]
    names = [name for name, _ in route.service_weights]
    weights = [weight for _, weight in route.service_weights]
    return random.choices(names, weights)[0]
