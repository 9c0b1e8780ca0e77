"""Small manifests and settings for the demonstration, tests and benchmarks."""

from __future__ import annotations

import hashlib
from datetime import timedelta
from typing import TYPE_CHECKING

from pistachioreach.manifest import (
    CallDocument,
    DeadlinesDocument,
    EndpointDocument,
    ManifestDocument,
    ModelDocument,
    RetriesDocument,
    ServiceDocument,
    ServiceEndpointDocument,
    WorkspaceDocument,
)
from pistachioreach.ports import free_ports
from pistachioreach.settings import Address, EntrySettings

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["DEMO_CREDENTIAL", "demo_manifest", "demo_settings"]

#: Credential of every workspace in these manifests; the value is public, not secret.
DEMO_CREDENTIAL = "demonstration-credential"
#: Names of the failure domains.
FAILURE_DOMAINS = ("urubamba", "anta", "paucartambo")
#: Names of the kinds of accelerators.
ACCELERATOR_KINDS = ("a40", "l4", "t4")
#: Number of layers of the model.
LAYER_COUNT = 24


def demo_manifest(
    replicas: int = 3,
    stages: int = 3,
    ports: Sequence[int] = (),
    concurrency: int = 8,
    workspaces: Sequence[str] = ("crews", "water-boards"),
) -> ManifestDocument:
    """Return a small manifest whose endpoints have loopback addresses.

    No failure domain and no kind of accelerator holds all layers, so that every chain
    spans several failure domains and several kinds.

    Args:
        replicas: Number of model servers that hold each layer range.
        stages: Number of layer ranges that the model is divided into; a divisor of 24.
        ports: Ports of the endpoints; free ports if empty.
        concurrency: Number of streams that each model server runs at once.
        workspaces: Names of the workspaces.
    """
    ports = list(ports) or free_ports(replicas * stages + len(FAILURE_DOMAINS))
    endpoints = [
        demo_endpoint(stage, replica, LAYER_COUNT // stages, ports.pop(), concurrency)
        for stage in range(stages)
        for replica in range(replicas)
    ]
    servers = [
        ServiceEndpointDocument(
            name=f"bookings-{domain}",
            address=f"127.0.0.1:{ports.pop()}",
            failure_domain=domain,
            leaving=False,
        )
        for domain in FAILURE_DOMAINS
    ]
    return ManifestDocument(
        build=1,
        deployment="demonstration",
        failure_domains=list(FAILURE_DOMAINS),
        kinds=list(ACCELERATOR_KINDS),
        models=[ModelDocument(name="clearance", version="v1", layers=LAYER_COUNT)],
        endpoints=endpoints,
        services=[demo_service(servers)],
        workspaces=[demo_workspace(name) for name in workspaces],
        retries=RetriesDocument(max_attempts=4, budget_percent=20, endpoint_deaths=2),
        deadlines=DeadlinesDocument(
            default_ms=30_000, max_ms=600_000, first_token_ms=1_200, token_gap_ms=64
        ),
        repeat_window_hours=24,
    )


def demo_endpoint(
    stage: int, replica: int, width: int, port: int, concurrency: int
) -> EndpointDocument:
    """Return one model server, which holds one layer range.

    Args:
        stage: Index of the layer range, from 0.
        replica: Index of the server among the replicas of the layer range, from 0.
        width: Number of layers in the layer range.
        port: Port of the server.
        concurrency: Number of streams that the server runs at once.
    """
    return EndpointDocument(
        name=f"stage-{stage}-{replica}",
        address=f"127.0.0.1:{port}",
        kind=ACCELERATOR_KINDS[(stage + replica % 2) % len(ACCELERATOR_KINDS)],
        failure_domain=FAILURE_DOMAINS[(stage + replica % 2) % len(FAILURE_DOMAINS)],
        role="both",
        model="clearance",
        first_layer=stage * width,
        last_layer=(stage + 1) * width,
        concurrency=concurrency,
        checks_orders=True,
        leaving=False,
    )


def demo_service(servers: list[ServiceEndpointDocument]) -> ServiceDocument:
    """Return the bookings service, which has one repeatable and two unrepeatable calls.

    Of the unrepeatable calls, only `confirm` has a path for looking up its outcome.

    Args:
        servers: Endpoints of the service.
    """
    calls = [
        CallDocument(
            name="confirm",
            path="/calls/confirm",
            repeatable=False,
            lookup="/outcomes/confirm",
            timeout_ms=2_000,
        ),
        CallDocument(
            name="blind",
            path="/calls/blind",
            repeatable=False,
            lookup=None,
            timeout_ms=2_000,
        ),
        CallDocument(
            name="schedule",
            path="/calls/schedule",
            repeatable=True,
            lookup=None,
            timeout_ms=2_000,
        ),
    ]
    return ServiceDocument(name="bookings", calls=calls, endpoints=servers)


def demo_workspace(name: str) -> WorkspaceDocument:
    """Return a workspace that may use every model and every service.

    Its limits are 10,000 requests per second and 10,000 concurrent requests.
    """
    digest = hashlib.sha256(DEMO_CREDENTIAL.encode()).hexdigest()
    return WorkspaceDocument(
        name=name,
        credential_digests=[digest],
        models=["clearance"],
        services=["bookings"],
        requests_per_second=10_000,
        concurrent_requests=10_000,
        weight=1,
        top_priority=0,
    )


def demo_settings(name: str, domain: str, platform: Address) -> EntrySettings:
    """Return the settings of an entry that listens on free loopback ports.

    Args:
        name: Name of the VM.
        domain: Failure domain of the VM.
        platform: Address of the fake platform.
    """
    return EntrySettings(
        name=name,
        failure_domain=domain,
        listen=Address("127.0.0.1", 0),
        peer_listen=Address("127.0.0.1", 0),
        platform=platform,
        keys=(b"key-of-the-demonstration",),
        operator_token="operators-of-the-demonstration",
        drain_limit=timedelta(seconds=20),
        reuse_port=False,
    )
