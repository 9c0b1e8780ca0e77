"""The store comes back from an older copy: a key that is dropped afterwards."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment3 import TROUBLE, CannotRunError, Deployment, PlainServer, run_case

#: Key that stays, and key that is dropped by the last configuration.
KEPT_KEY, DROPPED_KEY = "n2ctnfzs989anu6wsjnb", "p7rvw2kq4mz81xgh0tya"
#: Age of the copy in seconds, and seconds for which the store is away.
COPY_AGE_SECONDS, AWAY_SECONDS = 8.0, 1.0
#: Seconds after the end of the drill from which on the core is stable (`contact-ms`).
CONTACT_SECONDS = 3.0
#: Seconds from an acknowledgement until a configuration is in force
#: (`config-apply-ms`), and a margin.
APPLY_SECONDS, MARGIN_SECONDS = 2.0, 0.5
#: Seconds for which requests are sent afterwards.
SENDING_SECONDS = 20


def configuration(version: int, keys: list[str], timeout_ms: int) -> dict[str, Any]:
    """Return a configuration with a route to a plain service."""
    lookup = {"name": "lookup", "prefix": "/cuti104/", "kind": "idempotent"}
    lookup |= {"host": "ficu95.example", "service": "xano55b", "priority": 1}
    lookup |= {"timeout-ms": timeout_ms, "slo-ms": 200, "max-attempts": 2}
    return {
        "version": version,
        "routes": [lookup],
        "services": [{"name": "xano55b", "health-path": "/health", "max-conns": 100}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1048576,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 10000,
        },
        "tenants": [{"name": "hule930", "api-keys": keys}],
    }


async def play(deployment: Deployment) -> bool:
    """Play the case; return whether the dropped key is refused in time."""
    for number in range(3):
        zone = f"ge-east-{'abc'[number]}"
        server = PlainServer(f"desk{number}", "xano55b", zone, deployment)
        deployment.servers.append(server)
    keys = [KEPT_KEY, DROPPED_KEY]
    await deployment.start(3, configuration(7, keys, 2000))
    await asyncio.sleep(4)
    copy = deployment.store.copy()
    await asyncio.sleep(COPY_AGE_SECONDS - 1)
    second = configuration(9, keys, 1900)
    deployment.configure(second)
    await asyncio.sleep(1)
    if TROUBLE:
        await deployment.store.restore(copy, AWAY_SECONDS)
        # The operator and the servers write again what they wrote.
        deployment.configure(second)
        for server in deployment.servers:
            server.register()
    await asyncio.sleep(CONTACT_SECONDS + MARGIN_SECONDS)
    deployment.configure(configuration(12, [KEPT_KEY], 1900))
    await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
    dropped = set()
    for number in range(SENDING_SECONDS):
        for router in deployment.routers:
            path = f"/cuti104/{number}"
            _, response = await deployment.request(router, "GET", path, KEPT_KEY)
            if response.status != 200:
                raise CannotRunError("a request with the key that stays has failed")
            attempt, _ = await deployment.request(router, "GET", path, DROPPED_KEY)
            dropped.add(attempt)
        await asyncio.sleep(0.9)
    ran = [run.attempt for run in deployment.runs if run.attempt in dropped]
    deployment.record.write(
        f"{len(ran)} of {len(dropped)} requests ran with a key that was dropped"
    )
    return not ran


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
