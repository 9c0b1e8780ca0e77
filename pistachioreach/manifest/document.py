"""Types of the manifest's JSON document.

The JSON Schema that operators validate against is generated from these types.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypedDict

from msgspec import Meta

__all__ = [
    "CallDocument",
    "DeadlinesDocument",
    "EndpointDocument",
    "ManifestDocument",
    "ModelDocument",
    "RetriesDocument",
    "ServiceDocument",
    "ServiceEndpointDocument",
    "WorkspaceDocument",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[
    str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description="IPv4 address and port")
]
Path = Annotated[str, Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
Digest = Annotated[
    str, Meta(pattern=r"^[0-9a-f]{64}$", description="SHA-256 of a credential")
]
Count = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]


class ModelDocument(TypedDict):
    """A model, in one version.

    Attributes:
        name: Name that callers use.
        version: Version of the weights.
        layers: Number of layers.
    """

    name: Name
    version: Name
    layers: Count


class EndpointDocument(TypedDict):
    """A model server that holds a range of layers.

    Attributes:
        name: Unique name.
        address: Where it listens.
        kind: Kind of its accelerators.
        failure_domain: Failure domain that it stands in.
        role: Phases that it serves.
        model: Name of the model.
        first_layer: First layer that it holds.
        last_layer: Layer after the last that it holds.
        concurrency: Streams that it runs at once.
        checks_orders: Whether it refuses orders with an old fencing number.
        leaving: Whether it gets no new work.
    """

    name: Name
    address: Address
    kind: Name
    failure_domain: Name
    role: Literal["both", "prefill", "decode"]
    model: Name
    first_layer: Annotated[int, Meta(ge=0)]
    last_layer: Count
    concurrency: Count
    checks_orders: bool
    leaving: bool


class ServiceEndpointDocument(TypedDict):
    """One server of a plain service.

    Attributes:
        name: Unique name.
        address: Where it listens.
        failure_domain: Failure domain that it stands in.
        leaving: Whether it gets no new work.
    """

    name: Name
    address: Address
    failure_domain: Name
    leaving: bool


class CallDocument(TypedDict):
    """A call that a service offers.

    Attributes:
        name: Name that callers use.
        path: Path at the service's endpoints.
        repeatable: Whether it may run more than once.
        lookup: Path under which the outcome of a key can be read, or null.
        timeout_ms: Longest time one call takes.
    """

    name: Name
    path: Path
    repeatable: bool
    lookup: Path | None
    timeout_ms: Milliseconds


class ServiceDocument(TypedDict):
    """A plain service beside the model.

    Attributes:
        name: Name that callers use.
        calls: The calls that it offers.
        endpoints: The servers that run it.
    """

    name: Name
    calls: list[CallDocument]
    endpoints: list[ServiceEndpointDocument]


class WorkspaceDocument(TypedDict):
    """A workspace, with its credentials and limits.

    Attributes:
        name: Unique name.
        credential_digests: Hexadecimal SHA-256 of each valid credential.
        models: Models that it may use.
        services: Services that it may call.
        requests_per_second: Limit over all entries.
        concurrent_requests: Limit over all entries.
        weight: Share of contended capacity, relative to other workspaces.
        top_priority: Highest priority it may ask for; 0 is the highest.
    """

    name: Name
    credential_digests: Annotated[list[Digest], Meta(min_length=1)]
    models: list[Name]
    services: list[Name]
    requests_per_second: Count
    concurrent_requests: Count
    weight: Count
    top_priority: Annotated[int, Meta(ge=0, le=9)]


class RetriesDocument(TypedDict):
    """Limits on attempts after the first.

    Attributes:
        max_attempts: Attempts for one request, the first included.
        budget_percent: Retries allowed, in percent of first attempts.
        endpoint_deaths: Endpoint deaths after which a request is quarantined.
    """

    max_attempts: Annotated[int, Meta(ge=1, le=20)]
    budget_percent: Annotated[int, Meta(ge=0, le=100)]
    endpoint_deaths: Annotated[int, Meta(ge=1, le=10)]


class DeadlinesDocument(TypedDict):
    """Deadlines of requests.

    Attributes:
        default_ms: Deadline of a request that names none.
        max_ms: Longest deadline that a request may name.
        first_token_ms: Target for the first token.
        token_gap_ms: Target for the time between tokens.
    """

    default_ms: Milliseconds
    max_ms: Milliseconds
    first_token_ms: Milliseconds
    token_gap_ms: Milliseconds


class ManifestDocument(TypedDict):
    """The whole configuration of one deployment.

    Attributes:
        build: Number of the build that generated it; only ever rises.
        deployment: Name of the deployment.
        failure_domains: Names of the failure domains.
        kinds: Kinds of accelerators.
        models: The models.
        endpoints: The model servers.
        services: The plain services.
        workspaces: The workspaces.
        retries: Limits on attempts after the first.
        deadlines: Deadlines of requests.
        repeat_window_hours: How long an idempotency key is remembered.
    """

    build: Count
    deployment: Name
    failure_domains: Annotated[list[Name], Meta(min_length=1)]
    kinds: list[Name]
    models: list[ModelDocument]
    endpoints: list[EndpointDocument]
    services: list[ServiceDocument]
    workspaces: list[WorkspaceDocument]
    retries: RetriesDocument
    deadlines: DeadlinesDocument
    repeat_window_hours: Annotated[int, Meta(ge=1, le=24 * 365)]
