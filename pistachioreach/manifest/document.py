"""Types of the manifest's JSON document.

The published JSON Schema of the manifest is generated from these types and their doc
comments. An endpoint is one server; a model server runs a range of a model's layers.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypedDict

from msgspec import Meta

from pistachioreach.decoding import LARGEST_INTEGER

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
Count = Annotated[int, Meta(ge=1, le=LARGEST_INTEGER)]
#: Number of layers of a model. The layers are counted one by one when a manifest is
#: checked.
LayerCount = Annotated[int, Meta(ge=1, le=100_000)]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]


class ModelDocument(TypedDict):
    """A model in one version.

    Attributes:
        name: Name by which callers select the model.
        version: Version of the model's weights.
        layers: Number of layers of the model.
    """

    name: Name
    version: Name
    layers: LayerCount


class EndpointDocument(TypedDict):
    """A model server that holds a range of layers.

    Attributes:
        name: Name of the endpoint, unique among all endpoints.
        address: Address on which the server listens.
        kind: Kind of the server's accelerators.
        failure_domain: Failure domain of the server.
        role: Phases of generation that the server runs.
        model: Name of the model.
        first_layer: First layer that the server holds, counted from 0.
        last_layer: Layer after the last one that the server holds.
        concurrency: Maximum number of streams that the server runs at the same time.
        checks_orders: Whether the server refuses orders with an outdated fencing
            number.
        leaving: Whether the server is leaving and gets no new requests.
    """

    name: Name
    address: Address
    kind: Name
    failure_domain: Name
    role: Literal["both", "prefill", "decode"]
    model: Name
    first_layer: Annotated[int, Meta(ge=0)]
    last_layer: LayerCount
    concurrency: Count
    checks_orders: bool
    leaving: bool


class ServiceEndpointDocument(TypedDict):
    """One server of a plain service.

    Attributes:
        name: Name of the endpoint, unique among all endpoints.
        address: Address on which the server listens.
        failure_domain: Failure domain of the server.
        leaving: Whether the server is leaving and gets no new requests.
    """

    name: Name
    address: Address
    failure_domain: Name
    leaving: bool


class CallDocument(TypedDict):
    """A call that a plain service offers.

    Attributes:
        name: Name by which callers select the call.
        path: Path of the call on the service's endpoints.
        repeatable: Whether the call may run more than once, so that the router can
            retry it without an idempotency key.
        lookup: Path under which the service returns the outcome of an idempotency
            key, which the router appends to the path; null if there is none.
        timeout_ms: Timeout of one attempt of the call, in milliseconds.
    """

    name: Name
    path: Path
    repeatable: bool
    lookup: Path | None
    timeout_ms: Milliseconds


class ServiceDocument(TypedDict):
    """A plain service: a replicated HTTP service other than the models.

    Attributes:
        name: Name by which callers select the service.
        calls: Calls that the service offers.
        endpoints: Servers of the service.
    """

    name: Name
    calls: list[CallDocument]
    endpoints: list[ServiceEndpointDocument]


class WorkspaceDocument(TypedDict):
    """A workspace, with its credentials and limits.

    Attributes:
        name: Name of the workspace, unique among all workspaces.
        credential_digests: SHA-256 of each valid credential, in hexadecimal.
        models: Names of the models that the workspace may use.
        services: Names of the plain services that the workspace may call.
        requests_per_second: Maximum rate of requests at all entries together.
        concurrent_requests: Maximum number of requests that run at the same time at
            all entries together.
        weight: Weight of the workspace, relative to the other workspaces, when
            requests compete for slots.
        top_priority: Highest priority that a request of the workspace can have; 0 is
            the highest of all, 9 the lowest.
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
    """Limits on retries.

    Attributes:
        max_attempts: Maximum number of attempts for one request, including the first.
        budget_percent: Retries allowed for each 100 first attempts.
        endpoint_deaths: Number of endpoint deaths counted against a request at which
            the request is quarantined.
    """

    max_attempts: Annotated[int, Meta(ge=1, le=20)]
    budget_percent: Annotated[int, Meta(ge=0, le=100)]
    endpoint_deaths: Annotated[int, Meta(ge=1, le=10)]


class DeadlinesDocument(TypedDict):
    """Deadlines and latency targets of requests, in milliseconds.

    Attributes:
        default_ms: Deadline of a request that states none.
        max_ms: Longest deadline that a request may state.
        first_token_ms: Target for the time to the first token.
        token_gap_ms: Target for the time between tokens.
    """

    default_ms: Milliseconds
    max_ms: Milliseconds
    first_token_ms: Milliseconds
    token_gap_ms: Milliseconds


class ManifestDocument(TypedDict):
    """The whole configuration of one deployment.

    Attributes:
        build: Number of the build that generated the manifest. A manifest is applied
            only if its number is higher than that of the committed manifest.
        deployment: Name of the deployment.
        failure_domains: Names of the failure domains.
        kinds: Names of the kinds of accelerators.
        models: Models that callers can use.
        endpoints: Model servers.
        services: Plain services that callers can call.
        workspaces: Workspaces that may send requests.
        retries: Limits on retries.
        deadlines: Deadlines and latency targets of requests.
        repeat_window_hours: Hours after its timestamp for which an idempotency key is
            accepted and remembered.
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
