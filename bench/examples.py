"""Generator of the example manifests of two deployments.

Run `python -m bench.examples` to write the files under examples/ again.
"""

from __future__ import annotations

import hashlib
import itertools
import json
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ["Deployment", "build_example", "main"]

#: Number of layers of the example model.
LAYER_COUNT = 48
#: Layer range of each of the three stages of a chain; the end is exclusive.
LAYER_RANGES = ((0, 16), (16, 32), (32, 48))
#: Number of streams that an endpoint runs at once, by kind of accelerator.
KIND_CONCURRENCY = {"a40": 8, "l4": 4, "t4": 2, "v100": 6, "w7900": 8}


class Deployment(NamedTuple):
    """The parts of an example manifest in which the deployments differ.

    Attributes:
        name: Name of the deployment.
        failure_domains: Names of the failure domains.
        model: Name of the model.
        service: Name of the plain HTTP service.
        calls: Name of each call of the service, and whether the call may be repeated.
        workspaces: Names of the workspaces; the first two have larger limits.
        base_port: Port of the first endpoint.
    """

    name: str
    failure_domains: tuple[str, ...]
    model: str
    service: str
    calls: tuple[tuple[str, bool], ...]
    workspaces: tuple[str, ...]
    base_port: int


#: Deployments whose example manifests are generated.
DEPLOYMENTS = (
    Deployment(
        "acequia-limpia",
        ("urubamba", "anta", "paucartambo"),
        "clearance",
        "bookings",
        (("confirm", False), ("schedule", True)),
        ("crews", "water-boards", "silt", "warnings", "plans")
        + tuple(f"cooperative-{n}" for n in range(1, 6)),
        21000,
    ),
    Deployment(
        "mtkvari-assurance",
        ("ge-east-a", "ge-east-b", "ge-east-c"),
        "drafting",
        "dispatch",
        (("send", False), ("replies", True)),
        ("desk", "banks", "debtors", "lawyers", "partners")
        + tuple(f"engagement-{n}" for n in range(1, 6)),
        22000,
    ),
)


def example_credential(workspace: str) -> str:
    """Return the credential of a workspace in the examples, which is public."""
    return f"example-{workspace}"


def build_example(deployment: Deployment) -> dict[str, Any]:
    """Return the manifest of a deployment as values that JSON can represent."""
    kinds = itertools.cycle(KIND_CONCURRENCY.items())
    endpoints = []
    for number in range(30):
        kind, concurrency = next(kinds)
        first, last = LAYER_RANGES[number % 3]
        endpoints.append(
            {
                "name": f"model-{number:02}",
                "address": f"127.0.0.1:{deployment.base_port + number}",
                "kind": kind,
                "failure_domain": deployment.failure_domains[number // 3 % 3],
                "role": "both",
                "model": deployment.model,
                "first_layer": first,
                "last_layer": last,
                "concurrency": concurrency,
                "checks_orders": number % 2 == 0,
                "leaving": False,
            }
        )
    return {
        "build": 1,
        "deployment": deployment.name,
        "failure_domains": list(deployment.failure_domains),
        "kinds": list(KIND_CONCURRENCY),
        "models": [{"name": deployment.model, "version": "v1", "layers": LAYER_COUNT}],
        "endpoints": endpoints,
        "services": [build_service(deployment)],
        "workspaces": [
            build_workspace(deployment, rank, name)
            for rank, name in enumerate(deployment.workspaces)
        ],
        "retries": {"max_attempts": 4, "budget_percent": 20, "endpoint_deaths": 2},
        "deadlines": {
            "default_ms": 60_000,
            "max_ms": 600_000,
            "first_token_ms": 1_200,
            "token_gap_ms": 64,
        },
        "repeat_window_hours": 168,
    }


def build_service(deployment: Deployment) -> dict[str, Any]:
    """Return the manifest's entry for the plain HTTP service of a deployment."""
    calls = [
        {
            "name": name,
            "path": f"/calls/{name}",
            "repeatable": repeatable,
            "lookup": None if repeatable else f"/outcomes/{name}",
            "timeout_ms": 5_000,
        }
        for name, repeatable in deployment.calls
    ]
    endpoints = [
        {
            "name": f"{deployment.service}-{number}",
            "address": f"127.0.0.1:{deployment.base_port + 100 + number}",
            "failure_domain": domain,
            "leaving": False,
        }
        for number, domain in enumerate(deployment.failure_domains)
    ]
    return {"name": deployment.service, "calls": calls, "endpoints": endpoints}


def build_workspace(deployment: Deployment, rank: int, name: str) -> dict[str, Any]:
    """Return the manifest's entry for a workspace.

    Args:
        deployment: The deployment.
        rank: Index of the workspace; the first two get larger limits.
        name: Name of the workspace.
    """
    large = rank < 2
    digest = hashlib.sha256(example_credential(name).encode()).hexdigest()
    return {
        "name": name,
        "credential_digests": [digest],
        "models": [deployment.model],
        "services": [deployment.service],
        "requests_per_second": 200 if large else 20,
        "concurrent_requests": 400 if large else 40,
        "weight": 4 if large else 1,
        "top_priority": 0 if large else 2,
    }


def main() -> None:
    """Write the manifest of each deployment to a file and print its path."""
    for deployment in DEPLOYMENTS:
        path = Path("examples") / f"{deployment.name}.json"
        path.write_text(json.dumps(build_example(deployment), indent=1) + "\n")
        print(path)


if __name__ == "__main__":
    main()
