"""Demonstration of the router with stand-ins for endpoints and platform.

All parts run in one process, which ends by itself. The exit status is 0 only if every
check passed.
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
from pistachioreach.ports import free_ports
from pistachioreach.settings import (
    EXIT_FAILED,
    EXIT_OK,
    Address,
)

if TYPE_CHECKING:
    from pistachioreach.manifest import ManifestDocument

__all__ = ["main"]

#: Length of the streamed answer in tokens.
ANSWER_TOKENS = 60
#: Position of the token on whose arrival a stage is killed.
KILL_POSITION = 20
#: Timeout of the demonstration in seconds.
TIMEOUT_SECONDS = 60
#: Credential of operators in the demonstration.
OPERATOR_TOKEN = "demonstration-only"


class Checks:
    """Prints the checks of the demonstration and keeps their overall result."""

    def __init__(self) -> None:
        #: Whether every check passed so far.
        self.all_passed = True

    def check(self, passed: bool, text: str) -> None:
        """Print one check and record its result.

        Args:
            passed: Whether the check passed.
            text: Description of the check.
        """
        print(f"  [{'ok' if passed else 'FAILED'}] {text}")
        self.all_passed = self.all_passed and passed


async def demonstrate(checks: Checks) -> None:
    """Start the stand-ins and two entries, and run steps 1 to 3 with them."""
    manifest = demo_manifest()
    platform, faults = (Address("127.0.0.1", port) for port in free_ports(2))
    servers = FakeServers(manifest, EngineTimes(), random.Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(servers.run, platform, faults)
        nodes = []
        for number, domain in enumerate(manifest["failure_domains"][:2]):
            settings = demo_settings(f"entry-{number}", domain, platform)
            node = Node(settings._replace(operator_token=OPERATOR_TOKEN))
            await nursery.start(node.run)
            nodes.append(node)
        await run_steps(checks, manifest, servers, nodes)
        for node in nodes:
            node.stop()
        nursery.cancel_scope.cancel()


async def run_steps(
    checks: Checks,
    manifest: ManifestDocument,
    servers: FakeServers,
    nodes: list[Node],
) -> None:
    """Apply the manifest, stream an answer and make a booking."""
    connections = Connections()
    addresses = [f"127.0.0.1:{node.port}" for node in nodes]
    operator = OperatorClient(connections, addresses, OPERATOR_TOKEN)
    caller = Caller(connections, addresses, "crews", DEMO_CREDENTIAL)
    try:
        print("1. Apply a manifest")
        await check_apply(checks, operator, manifest, nodes)
        print("2. Stream an answer, and kill a stage of its chain meanwhile")
        await check_answer(checks, caller, servers, nodes)
        print("3. Make a booking, and repeat the call with the same key")
        await check_booking(checks, caller, servers)
    finally:
        await connections.close()


async def check_apply(
    checks: Checks,
    operator: OperatorClient,
    manifest: ManifestDocument,
    nodes: list[Node],
) -> None:
    """Apply a manifest and wait until it is in force at both entries."""
    response = await operator.apply_manifest(encode_manifest(manifest))
    checks.check(
        response.status == 200, f"the entry responded {response.body.decode()}"
    )
    with trio.move_on_after(4):
        while any(node.entry.configuration is None for node in nodes):
            await trio.sleep(0.05)
    builds = [node.status()["build"] for node in nodes]
    checks.check(builds == [1, 1], f"builds in force at the entries: {builds}")


async def check_answer(
    checks: Checks, caller: Caller, servers: FakeServers, nodes: list[Node]
) -> None:
    """Stream an answer and kill the middle stage of its chain."""
    text = "a clearance plan for the race above the mill"
    killed_names = []

    def kill_stage(position: int) -> None:
        if position == KILL_POSITION:
            running = [
                engine for engine in servers.engines.values() if engine.running()
            ]
            middle = sorted(running, key=lambda engine: engine.name)[len(running) // 2]
            killed_names.append(middle.name)
            middle.die()

    answer = await caller.generate(Prompt("clearance", text, ANSWER_TOKENS), kill_stage)
    expected = expected_answer(text, ANSWER_TOKENS)
    checks.check(
        len(killed_names) == 1, f"killed at token {KILL_POSITION}: {killed_names}"
    )
    checks.check(
        answer.is_complete(), f"{len(answer.tokens)} of {ANSWER_TOKENS} tokens arrived"
    )
    checks.check(answer.tokens == expected, "all tokens are as expected")
    decisions = nodes[0].entry.journal.explain(answer.request)
    chains = [decision for decision in decisions if decision.kind == "chain"]
    for chain in chains:
        print(f"       chain {chain.choice}: {chain.reason}")
    checks.check(len(chains) == 2, "the answer continued on a second chain")
    names = [stage.split("[")[0] for stage in chains[0].choice.split()]
    endpoints = [nodes[0].entry.fleet.states[name].endpoint for name in names]
    domains = sorted({endpoint.failure_domain for endpoint in endpoints})
    kinds = sorted({endpoint.kind for endpoint in endpoints})
    checks.check(
        len(domains) >= 2, f"failure domains of the first chain: {', '.join(domains)}"
    )
    checks.check(
        len(kinds) >= 2, f"accelerators of the first chain: {', '.join(kinds)}"
    )


async def check_booking(checks: Checks, caller: Caller, servers: FakeServers) -> None:
    """Make a booking through two entries with the same idempotency key."""
    key = new_key(SystemClock().now())
    body = b'{"race": "upper", "day": "2026-12-07"}'
    responses = [
        await caller.call("bookings", "confirm", body, key, 5_000, entry_index)
        for entry_index in range(2)
    ]
    runs = servers.services["bookings"].count_runs(f"crews.{key}")
    checks.check(runs == 1, f"runs of the booking: {runs}")
    same = responses[0].body == responses[1].body
    checks.check(same, f"both calls returned {responses[0].body.decode()}")


def main() -> int:
    """Run the demonstration.

    Returns:
        The exit status of the process.
    """
    configure_logs("text", "WARNING")
    checks = Checks()

    async def run() -> None:
        with trio.fail_after(TIMEOUT_SECONDS):
            await demonstrate(checks)
            await demonstrate_platform(checks)

    trio.run(run)
    print("All checks passed." if checks.all_passed else "Some checks failed.")
    return EXIT_OK if checks.all_passed else EXIT_FAILED


if __name__ == "__main__":
    raise SystemExit(main())
