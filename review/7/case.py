"""An entry of another writer, whose address can't be read, among those of the servers.

Callers keep their connections and ask for schedules. The entry names the service of
the engines. It stays in the store, as nothing there expires on its own.
"""

from __future__ import annotations

import itertools
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import trio

import review.stage
from pistachioreach.platform.standins.engine import StandInService
from review.stage import RouterProcess, Stage, get_kept, play

#: Whether the disruption happens.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTERS = 3
#: Callers of each router.
CALLERS = 6
#: Seconds before the entry is written, and with it.
QUIET_SECONDS, ENTRY_SECONDS = 5.0, 40.0
#: Seconds for which the service works on a request.
WORK_SECONDS = 0.045
#: Requests on kept connections that may be cut off.
ALLOWED_CUTS = 3
#: The entry: all its fields are there and have their types, but nothing can be reached
#: at the address, an IPv6 address whose zone has a letter that is not ASCII.
ENTRY = {
    "service": "model",
    "address": "fe80::1%\u00e9:8080",
    "zone": "urubamba",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "cold-left-ms": 0,
    "born": 1700000000000,
    "kind": "a100",
    "seq-no": 1,
}


class Service(StandInService):
    """Service that takes some time for each request and records which ones came."""

    #: Identifiers of the requests that reached any server.
    reached: set[str] = set()

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "http":
            self.reached.add(dict(scope["headers"])[b"attempt-id"].decode())
            await trio.sleep(WORK_SECONDS)
        await super().__call__(scope, receive, send)


async def case(stage: Stage) -> bool:
    """Return whether no more requests than allowed are cut off."""
    review.stage.StandInService = Service
    await stage.start(ROUTERS)
    await stage.wait_ready()
    cut: list[str] = []
    answers: dict[int, int] = {}
    numbers = itertools.count(1)

    async def call(router: RouterProcess) -> None:
        """Ask for schedules, on one connection as long as it stays open."""
        while True:
            try:
                stream = await trio.open_tcp_stream(router.host, router.front)
            except OSError:
                await trio.sleep(0.2)
                continue
            async with stream:
                for answered in itertools.count():
                    id = f"{next(numbers):016x}"
                    try:
                        status = await get_kept(stream, "/schedules/x", id, 1.5)
                    except (EOFError, OSError, trio.BrokenResourceError):
                        passed_on = id in Service.reached
                        stage.record.note(
                            f"{id} at {router.name}: no answer, request "
                            f"{answered + 1} of its connection, "
                            f"{'passed on' if passed_on else 'not passed on'}"
                        )
                        if answered and passed_on:
                            cut.append(id)
                        break
                    answers[status] = answers.get(status, 0) + 1
                    await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        for router in stage.routers:
            for _ in range(CALLERS):
                nursery.start_soon(call, router)
        await trio.sleep(QUIET_SECONDS)
        if TROUBLE:
            stage.record.note(f"another writer writes servers/i-other: {ENTRY}")
            stage.store.put("servers", "i-other", ENTRY)
        await trio.sleep(ENTRY_SECONDS)
        nursery.cancel_scope.cancel()
    for router in stage.routers:
        stage.record.note(
            f"{router.name} ended by itself {len(router.own_ends)} times, statuses "
            f"{router.own_ends}; last error: {router.last_error()}"
        )
    stage.record.note(
        f"answers by status: {answers}; requests of kept connections that were passed "
        f"on and got no answer: {len(cut)}"
    )
    return len(cut) <= ALLOWED_CUTS


if __name__ == "__main__":
    play(case, Path(__file__).parent)
