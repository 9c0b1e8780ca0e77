"""A configuration takes the last tenant away: requests with dropped keys."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment3 import TROUBLE, Deployment, PlainServer, run_case

#: Key of the only tenant.
KEY = "n2ctnfzs989anu6wsjnb"
#: Key that no configuration holds.
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
#: Seconds from the acknowledgement of a configuration until it is in force
#: (`config-apply-ms`), and a margin.
APPLY_SECONDS, MARGIN_SECONDS = 2.0, 1.0


def configuration(version: int, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with routes to a plain service."""
    common = {"host": "ficu95.example", "service": "xano55b", "priority": 1}
    common |= {"timeout-ms": 2000, "slo-ms": 200}
    lookup = {"name": "lookup", "prefix": "/cuti104/", "kind": "idempotent"}
    dispatch = {"name": "dispatch", "prefix": "/rapu33/", "kind": "non_idempotent"}
    return {
        "version": version,
        "routes": [
            common | lookup | {"max-attempts": 2},
            common | dispatch | {"max-attempts": 1},
        ],
        "services": [{"name": "xano55b", "health-path": "/health", "max-conns": 100}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1048576,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 10000,
        },
        "tenants": tenants,
    }


async def play(deployment: Deployment) -> bool:
    """Play the case; return whether no request ran without a key in force."""
    for number in range(3):
        zone = f"ge-east-{'abc'[number]}"
        server = PlainServer(f"desk{number}", "xano55b", zone, deployment)
        deployment.servers.append(server)
    tenant = {"name": "hule930", "api-keys": [KEY]}
    await deployment.start(3, configuration(7, [tenant]))
    await asyncio.sleep(4)
    for router in deployment.routers:
        _, response = await deployment.request(router, "GET", "/cuti104/1", KEY)
        if response.status != 200:
            deployment.record.write("a request before the change was not served")
            return False
    # Without the disruption, the tenant loses the key and keeps an empty list.
    left = [] if TROUBLE else [{"name": "hule930", "api-keys": []}]
    deployment.configure(configuration(12, left))
    await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
    attempts = set()
    for number in range(5):
        for router in deployment.routers:
            for key in (KEY, UNKNOWN_KEY, None):
                path = f"/cuti104/{number}"
                attempts.add((await deployment.request(router, "GET", path, key))[0])
                path = f"/rapu33/{number}"
                body = b'{"letter":1}'
                attempts.add(
                    (await deployment.request(router, "POST", path, key, body))[0]
                )
    ran = [run.attempt for run in deployment.runs if run.attempt in attempts]
    deployment.record.write(
        f"{len(ran)} of {len(attempts)} requests ran without a key in force"
    )
    return not ran


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
