"""Routes of a configuration: which service a request goes to, and who may send it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

__all__ = [
    "Card",
    "EngineModel",
    "Limits",
    "Repeat",
    "Route",
    "RouteTable",
    "Service",
    "Workspace",
    "find_route",
    "pick_service",
]


class Repeat(enum.Enum):
    """What may be repeated of a request."""

    #: It may run any number of times.
    ANY = "any"
    #: It may run once at most.
    ONCE = "once"
    #: It is a stream that may go on at another endpoint after its last event.
    RESUME = "resume"


class Card(NamedTuple):
    """A kind of accelerator.

    Attributes:
        memory_mb: Memory for layers and for requests.
        step_factor: Factor on the time of a decoding step.
        prefill_factor: Factor on the time of reading a prompt.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float


class EngineModel(NamedTuple):
    """How the engines of a service run their model.

    Attributes:
        layers: Layers of the model.
        layer_mb: Memory of one layer's weights.
        token_bytes: Memory of one token's KV cache in all layers.
        slots: Requests that an engine takes as the first of a chain.
        step_ms: Base time of a decoding step through all layers.
        request_ms: Time a step for each request in the batch.
        context_ms: Time a step for each 1,000 tokens of context.
        prefill_ms: Time to read one prompt token.
        prefill_chunk: Prompt tokens read between two steps.
        steps_per_pass: Decoding steps of a pass.
        link_mbps: Bandwidth between two failure domains.
        activation_bytes: Bytes a token that one stage hands to the next.
        prompt: Mean prompt tokens of a request.
        answer: Mean output tokens of a request.
        load_seconds: Time to load the whole model.
        loads_at_once: Loads that run at full speed together.
        cards: Kinds of accelerators by name.
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
    prompt: float
    answer: float
    load_seconds: float
    loads_at_once: int
    cards: dict[str, Card]


class Service(NamedTuple):
    """A service that requests are routed to.

    Attributes:
        name: Name of the service.
        connections: Connections that one of its endpoints takes from all callers.
        engine: Its model, or None for a plain service.
    """

    name: str
    connections: int
    engine: EngineModel | None


class Route(NamedTuple):
    """A rule that sends requests to services.

    Attributes:
        name: Name of the route.
        host: Host that it applies to.
        prefix: Start of the path, with a slash at both ends.
        repeat: What may be repeated.
        streaming: Whether the answer is a series of events.
        timeout: Seconds after which the caller gets a final answer.
        target: Seconds within which an answer, or its first event, is in time.
        pause_target: Seconds between events that are still in time, or None.
        priority: Rank of its requests, 0 the highest.
        shares: Services with their weights.
        max_attempts: Endpoints that one request may run on.
        public: Whether it needs no key.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    streaming: bool
    timeout: float
    target: float
    pause_target: float | None
    priority: int
    shares: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool


class Workspace(NamedTuple):
    """A workspace.

    Attributes:
        name: Name of the workspace.
        priority: Rank that goes before its routes' ranks, or None.
    """

    name: str
    priority: int | None


class Limits(NamedTuple):
    """Limits on what a caller may send.

    Attributes:
        header_bytes: Size of the header section.
        body_bytes: Size of the body.
        header_seconds: Time for the header section.
        idle_seconds: Time that a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class RouteTable(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Its version.
        routes: Routes by host, those with the longest prefix first.
        services: Services by name.
        workspaces: Workspaces by key; None where callers need no key.
        limits: Limits on what a caller may send.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace] | None
    limits: Limits


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins a path, or None.

    Args:
        table: The configuration.
        host: Host of the request, without a port.
        path: Path of the request.
    """
    for route in table.routes.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(route: Route, random: Random) -> str:
    """Return a service of a route, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0][0]
    names = [name for name, _ in route.shares]
    weights = [weight for _, weight in route.shares]
    return random.choices(names, weights)[0]
