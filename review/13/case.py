"""A router that reads the store for others is cut off from it; a server leaves."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment3 import TROUBLE, Deployment, PlainServer, Run, run_case

#: Number of routers: the seven of the sheet and the three that may be added.
ROUTERS = 10
#: Key of the only tenant.
KEY = "n2ctnfzs989anu6wsjnb"
#: Name of the router that is cut off from the store. It reads the store for the others
#: of its zone, and so do those of the other zones for theirs.
CUT = "edge-ge-east-a-1"
#: Seconds for which it is.
CUT_SECONDS = 5.5
#: Seconds from the start of the cut until the registration of a server is removed.
LEAVING_SECONDS = 0.1
#: Seconds that a leaving server goes on serving: `drain-ms` "and a little longer".
SERVING_SECONDS = 3.0
#: Seconds between the end of one cut and the start of the next one.
PAUSE_SECONDS = 12.0
#: Seconds after the acknowledgement in which requests may reach the server
#: (`drain-ms`).
DRAIN_SECONDS = 2.0
#: Seconds between two requests to each router.
PERIOD_SECONDS = 0.2


def configuration() -> dict[str, Any]:
    """Return a configuration with routes to a plain service."""
    common = {"host": "ficu95.example", "service": "xano55b", "priority": 1}
    common |= {"timeout-ms": 2000, "slo-ms": 200}
    lookup = {"name": "lookup", "prefix": "/cuti104/", "kind": "idempotent"}
    dispatch = {"name": "dispatch", "prefix": "/rapu33/", "kind": "non_idempotent"}
    return {
        "version": 7,
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
        "tenants": [{"name": "hule930", "api-keys": [KEY]}],
    }


async def play(deployment: Deployment) -> bool:
    """Play the case; return whether the server gets no late request."""
    for number in range(3):
        zone = f"ge-east-{'abc'[number]}"
        server = PlainServer(f"desk{number}", "xano55b", zone, deployment)
        deployment.servers.append(server)
    await deployment.start(ROUTERS, configuration())
    await asyncio.sleep(10)
    cut = next(router for router in deployment.routers if router.name == CUT)
    calm = [router for router in deployment.routers if router is not cut]
    leaving = deployment.servers[0]
    ending = False

    async def send_requests(router) -> None:
        """Send requests to one router until the end."""
        number = 0
        while not ending:
            number += 1
            path = f"/rapu33/{router.name}/{number}"
            await deployment.request(router, "POST", path, KEY, b'{"letter":1}')
            await asyncio.sleep(PERIOD_SECONDS)

    late: list[tuple[float, Run]] = []
    async with asyncio.TaskGroup() as group:
        for router in calm:
            group.create_task(send_requests(router))
        for leaving in list(deployment.servers):
            if TROUBLE:
                deployment.record.write("cut off from the store:", CUT)
                cut.front_of_store.cut()
            await asyncio.sleep(LEAVING_SECONDS)
            name = leaving.id
            leaving.leave()
            left_at = deployment.record.now()
            await asyncio.sleep(SERVING_SECONDS)
            leaving.crash()
            await asyncio.sleep(CUT_SECONDS - LEAVING_SECONDS - SERVING_SECONDS)
            cut.front_of_store.heal()
            late += [
                (run.at - left_at, run)
                for run in deployment.runs
                if run.server == name and run.at - left_at > DRAIN_SECONDS
            ]
            await leaving.start()
            await asyncio.sleep(PAUSE_SECONDS)
        ending = True
    for seconds, run in late:
        deployment.record.write(
            f"LATE {run.attempt} reached {run.server}, {run.request.target},"
            f" {seconds:.3f} s after the acknowledgement"
        )
    deployment.record.write(f"{len(late)} requests reached the server too late")
    return not late


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
