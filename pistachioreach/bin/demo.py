"""The demonstration: the main job on stand-ins, in one process.

Ends by itself; the exit status is 0 only if every check held.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from pistachioreach.bin.demo_platform import demonstrate_platform
from pistachioreach.callers.client import Caller, Prompt
from pistachioreach.clock import SystemClock
from pistachioreach.dispatch.keys import new_key
from pistachioreach.endpoints.connections import Connections
from pistachioreach.fakes.deployment import (
    DEMO_CREDENTIAL,
    demo_manifest,
    demo_settings,
)
from pistachioreach.fakes.engine import EngineTimes, expected_answer
from pistachioreach.fakes.servers import FakeServers
from pistachioreach.logs import configure_logs
from pistachioreach.manifest import encode_manifest
from pistachioreach.node import Node
from pistachioreach.operators.client import OperatorClient
from pistachioreach.server import free_ports
from pistachioreach.settings import (
    EXIT_FAILED,
    EXIT_OK,
    Address,
)

if TYPE_CHECKING:
    from pistachioreach.manifest import ManifestDocument

__all__ = ["main"]

#: Tokens of the demonstrated answer.
TOKENS = 60
#: Position of the token at which a stage is killed.
KILL_AT = 20
#: Seconds after which the demonstration is given up.
LIMIT_SECONDS = 60
#: The operators' credential of the demonstration.
TOKEN = "demonstration-only"


class Checks:
    """The checks of the demonstration and what they found."""

    def __init__(self) -> None:
        #: Whether every check held so far.
        self.all_held = True

    def check(self, held: bool, text: str) -> None:
        """Print one check."""
        print(f"  [{'ok' if held else 'FAILED'}] {text}")
        self.all_held = self.all_held and held


async def demonstrate(checks: Checks) -> None:
    """Start the stand-ins and two entries, and run the main job."""
    manifest = demo_manifest()
    platform, faults = (Address("127.0.0.1", port) for port in free_ports(2))
    servers = FakeServers(manifest, EngineTimes(), random.Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(servers.run, platform, faults)
        nodes = []
        for number, domain in enumerate(manifest["failure_domains"][:2]):
            settings = demo_settings(f"entry-{number}", domain, platform)
            node = Node(settings._replace(operator_token=TOKEN))
            await nursery.start(node.run)
            nodes.append(node)
        await run_jobs(checks, manifest, servers, nodes)
        for node in nodes:
            node.stop()
        nursery.cancel_scope.cancel()


async def run_jobs(
    checks: Checks,
    manifest: ManifestDocument,
    servers: FakeServers,
    nodes: list[Node],
) -> None:
    """Apply the manifest, read an answer, make a booking."""
    connections = Connections()
    entries = [f"127.0.0.1:{node.port}" for node in nodes]
    operator = OperatorClient(connections, entries, TOKEN)
    caller = Caller(connections, entries, "crews", DEMO_CREDENTIAL)
    try:
        print("1. Apply a manifest")
        await check_apply(checks, operator, manifest, nodes)
        print("2. Stream an answer, and kill a stage in the middle of it")
        await check_answer(checks, caller, servers, nodes)
        print("3. Make a booking, and send it again with the same key")
        await check_booking(checks, caller, servers)
    finally:
        await connections.close()


async def check_apply(
    checks: Checks,
    operator: OperatorClient,
    manifest: ManifestDocument,
    nodes: list[Node],
) -> None:
    """Apply a manifest and wait until both entries have it."""
    answer = await operator.apply(encode_manifest(manifest))
    checks.check(answer.status == 200, f"the entry answered {answer.body.decode()}")
    with trio.move_on_after(4):
        while any(node.entry.configuration is None for node in nodes):
            await trio.sleep(0.05)
    builds = [node.status()["build"] for node in nodes]
    checks.check(builds == [1, 1], f"builds in force at the entries: {builds}")


async def check_answer(
    checks: Checks, caller: Caller, servers: FakeServers, nodes: list[Node]
) -> None:
    """Stream an answer and kill the stage in the middle of its chain."""
    text = "a clearance plan for the race above the mill"
    killed = []

    def kill(position: int) -> None:
        if position == KILL_AT:
            running = [e for e in servers.engines.values() if e.running()]
            middle = sorted(running, key=lambda e: e.name)[len(running) // 2]
            killed.append(middle.name)
            middle.die()

    answer = await caller.generate(Prompt("clearance", text, TOKENS), kill)
    expected = expected_answer(text, TOKENS)
    checks.check(len(killed) == 1, f"killed at token {KILL_AT}: {killed}")
    checks.check(
        answer.is_complete(), f"{len(answer.tokens)} of {TOKENS} tokens arrived"
    )
    checks.check(answer.tokens == expected, "every token is the expected one")
    decisions = nodes[0].entry.journal.explain(answer.request)
    chains = [decision for decision in decisions if decision.kind == "chain"]
    for chain in chains:
        print(f"       chain {chain.choice}: {chain.reason}")
    checks.check(len(chains) == 2, "a second chain went on where the first stopped")
    names = [stage.split("[")[0] for stage in chains[0].choice.split()]
    endpoints = [nodes[0].entry.fleet.states[name].endpoint for name in names]
    domains = sorted({endpoint.failure_domain for endpoint in endpoints})
    kinds = sorted({endpoint.kind for endpoint in endpoints})
    checks.check(len(domains) >= 2, f"the first chain crossed {', '.join(domains)}")
    checks.check(len(kinds) >= 2, f"it ran on {', '.join(kinds)}")


async def check_booking(checks: Checks, caller: Caller, servers: FakeServers) -> None:
    """Make a booking twice with one key, through different entries."""
    key = new_key(SystemClock().now())
    body = b'{"race": "upper", "day": "2026-12-07"}'
    answers = [
        await caller.call("bookings", "confirm", body, key, 5_000, at)
        for at in range(2)
    ]
    runs = servers.services["bookings"].count_runs(f"crews.{key}")
    checks.check(runs == 1, f"the booking ran {runs} time")
    same = answers[0].body == answers[1].body
    checks.check(same, f"both answers are {answers[0].body.decode()}")


def main() -> int:
    """Run the demonstration.

    Returns:
        The exit status.
    """
    configure_logs("text", "WARNING")
    checks = Checks()

    async def run() -> None:
        with trio.fail_after(LIMIT_SECONDS):
            await demonstrate(checks)
            await demonstrate_platform(checks)

    trio.run(run)
    print("All checks held." if checks.all_held else "Some checks did not hold.")
    return EXIT_OK if checks.all_held else EXIT_FAILED


if __name__ == "__main__":
    raise SystemExit(main())
