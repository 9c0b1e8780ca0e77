"""Fault injection on real sockets: recovery times, and guarantees under random faults.

Run `python -m bench.loopback [SECONDS]`. Entries (router processes), engines
and platform run on loopback in one process. The first part cross-checks the recovery
times of bench.recovery with faults of the kinds that bench.recovery injects. The second
part sends load for SECONDS while random faults are injected. Every answer must be
complete and correct, or fail with a problem, and no idempotency key may run twice. The
exit status is 1 if a guarantee was violated.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from contextlib import asynccontextmanager

import trio
from loguru import logger

from pistachioreach.bin.load import percentile
from pistachioreach.callers.client import Caller, Prompt
from pistachioreach.clock import SystemClock
from pistachioreach.dispatch.keys import new_key
from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from pistachioreach.fakes.deployment import (
    DEMO_CREDENTIAL,
    demo_manifest,
    demo_settings,
)
from pistachioreach.fakes.engine import EngineTimes, expected_answer
from pistachioreach.fakes.servers import FakeServers
from pistachioreach.manifest import encode_manifest
from pistachioreach.node import Node
from pistachioreach.ports import free_ports
from pistachioreach.settings import Address

__all__ = ["main"]

#: Service times: 40 ms for each new token, as in bench.recovery.
TIMES = EngineTimes(prefill_seconds=0.0005, token_seconds=0.04)
#: Maximum time in seconds between two tokens without a fault.
MAX_NORMAL_GAP_SECONDS = 0.05
#: Number of entries.
ENTRY_COUNT = 3
#: Number of trials of each fault.
TRIALS_PER_FAULT = 10
#: Lower bound of the recovery time in seconds, for each fault that is measured: a
#: token's gap if only the absence of tokens reveals the fault, plus a prefill and a
#: token if a stage is lost.
LOWER_BOUND_SECONDS = {"die": 0.06, "stall": 0.1, "silence": 0.04}


class LoopbackDeployment:
    """Stand-ins and entries of one deployment, all in this process.

    Args:
        servers: Stand-ins of the engines, the platform and the plain services.
        nodes: Entries.
    """

    def __init__(self, servers: FakeServers, nodes: list[Node]) -> None:
        #: Stand-ins of the engines, the platform and the plain services.
        self.servers = servers
        #: Entries.
        self.nodes = nodes
        #: Connections that all callers share.
        self.connections = Connections()
        #: Number of requests by how they ended, and of injected faults by kind.
        self.end_counts: Counter[str] = Counter()
        #: Descriptions of the guarantees that were violated.
        self.violations: list[str] = []
        #: Idempotency keys of all calls.
        self.keys: list[str] = []

    def make_caller(self) -> Caller:
        """Return a caller that knows the addresses of all entries in random order."""
        addresses = [f"127.0.0.1:{node.port}" for node in self.nodes]
        random.shuffle(addresses)
        return Caller(self.connections, addresses, "crews", DEMO_CREDENTIAL)

    async def check_generation(self, number: int) -> None:
        """Send a generation request and check its answer."""
        prompt = f"plan {number}"
        answer = await self.make_caller().generate(Prompt("clearance", prompt, 40))
        if answer.tokens != expected_answer(prompt, 40)[: len(answer.tokens)]:
            self.violations.append(f"answer {number}: wrong tokens")
        if answer.is_complete() and len(answer.tokens) == 40:
            self.end_counts["complete"] += 1
        elif answer.problem is not None:
            self.end_counts[answer.problem["type"].rpartition(":")[2]] += 1
        else:
            self.violations.append(f"answer {number}: neither complete nor refused")

    async def send_call(self, number: int) -> None:
        """Send a call with a new key up to three times, to one entry after the other.

        Sends the call again, at random, even if an answer has come, as a caller without
        patience does.
        """
        key = new_key(SystemClock().now())
        self.keys.append(key)
        caller = self.make_caller()
        for entry_index in range(3):
            try:
                answer = await caller.call(
                    "bookings", "confirm", b"{}", key, 4_000, entry_index
                )
            except ConnectionFailed:
                continue
            self.end_counts[f"call {answer.status}"] += 1
            if answer.status == 200 and random.random() < 0.7:
                return

    async def inject_faults(self) -> None:
        """Inject random faults, one after the other, until cancelled.

        Each fault is removed after some time, except `silence`, which affects only the
        connections that are open when it is injected.
        """
        while True:
            await trio.sleep(random.uniform(0.3, 1.0))
            engine = random.choice(sorted(self.servers.engines))
            fault = random.choice(("die", "silence", "stall", "slow", "outage", "lost"))
            self.end_counts[f"fault {fault}"] += 1
            if fault == "outage":
                self.servers.set_fault("platform", "outage", 1)
                await trio.sleep(random.uniform(0.5, 3))
                self.servers.set_fault("platform", "outage", 0)
            elif fault == "lost":
                self.servers.set_fault("platform", "lose-answers", 0.3)
                self.servers.set_fault("bookings", "lose-answers", 0.3)
                await trio.sleep(2)
                self.servers.set_fault("platform", "lose-answers", 0)
                self.servers.set_fault("bookings", "lose-answers", 0)
            elif fault == "die":
                self.servers.set_fault(engine, "die", 1)
                await trio.sleep(1)
                self.servers.set_fault(engine, "revive", 1)
            else:
                self.servers.set_fault(engine, fault, 30 if fault == "slow" else 1)
                await trio.sleep(1)
                if fault != "silence":
                    self.servers.set_fault(engine, fault, fault == "slow")

    async def run_under_faults(self, seconds: float) -> None:
        """Send load while random faults are injected, and check that no key ran twice.

        Args:
            seconds: Time during which new requests are sent.
        """
        async with trio.open_nursery() as faults:
            faults.start_soon(self.inject_faults)
            stop_at = trio.current_time() + seconds
            number = 0
            async with trio.open_nursery() as load:
                while trio.current_time() < stop_at:
                    load.start_soon(self.check_generation, number)
                    load.start_soon(self.send_call, number)
                    number += 1
                    await trio.sleep(0.25)
            faults.cancel_scope.cancel()
        service = self.servers.services["bookings"]
        for key in self.keys:
            if service.count_runs(f"crews.{key}") > 1:
                self.violations.append(f"key {key} ran more than once")


@asynccontextmanager
async def run_deployment():
    """Run stand-ins and entries for the duration of the context.

    Yields:
        The deployment, whose entries admit requests.
    """
    manifest = demo_manifest(replicas=4)
    platform, faults = (Address("127.0.0.1", port) for port in free_ports(2))
    servers = FakeServers(manifest, TIMES, random.Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(servers.run, platform, faults)
        nodes = []
        for number in range(ENTRY_COUNT):
            settings = demo_settings(f"entry-{number}", "anta", platform)
            nodes.append(Node(settings))
            await nursery.start(nodes[-1].run)
        report = await nodes[0].changes.apply(manifest, encode_manifest(manifest))
        assert report.result == "in force", report
        while not all(node.agreement.may_admit() for node in nodes):
            await trio.sleep(0.05)
        deployment = LoopbackDeployment(servers, nodes)
        yield deployment
        await deployment.connections.close()
        nursery.cancel_scope.cancel()


async def run_recovery_trial(
    deployment: LoopbackDeployment, fault: str, number: int
) -> float:
    """Return the seconds from a fault to the token after the gap that it causes.

    Args:
        deployment: The deployment.
        fault: Name of the fault, injected after the token at position 20.
        number: Number of the trial, for the prompt.

    Returns:
        The seconds; up to the last token if no gap is longer than normal.
    """
    times: list[float] = []
    # Time of the fault, and then the name of the engine.
    injection: list[float] = []

    def on_token(position: int) -> None:
        times.append(trio.current_time())
        if position == 20:
            running_engines = [
                e for e in deployment.servers.engines.values() if e.running()
            ]
            running_engines.sort(key=lambda engine: engine.name)
            injection.append(trio.current_time())
            deployment.servers.set_fault(running_engines[0].name, fault, 1)
            injection.append(running_engines[0].name)

    prompt = f"trial {fault} {number}"
    answer = await deployment.make_caller().generate(
        Prompt("clearance", prompt, 40), on_token
    )
    if not answer.is_complete():
        deployment.violations.append(f"{prompt}: answer is not complete")
    if fault == "die":
        deployment.servers.set_fault(injection[1], "revive", 1)
        await trio.sleep(1.5)
    elif fault != "silence":
        deployment.servers.set_fault(injection[1], fault, 0)
    times_from_fault = [injection[0], *(at for at in times if at >= injection[0])]
    # Only the first gap longer than normal counts; later ones are noise of the machine.
    for before, after in zip(times_from_fault, times_from_fault[1:], strict=False):
        if after - before > MAX_NORMAL_GAP_SECONDS:
            return after - injection[0]
    return times_from_fault[-1] - injection[0]


async def run(seconds: float) -> int:
    """Run both parts, print the results and return the exit status.

    Args:
        seconds: Time during which new requests are sent in the second part.
    """
    async with run_deployment() as deployment:
        for number in range(3):
            await deployment.check_generation(number)
        for fault, lower_bound in LOWER_BOUND_SECONDS.items():
            recovery_times = [
                await run_recovery_trial(deployment, fault, n)
                for n in range(TRIALS_PER_FAULT)
            ]
            p50, p95 = (
                percentile(recovery_times, share) * 1000 for share in (0.5, 0.95)
            )
            ratio = p50 / (lower_bound * 1000)
            print(
                f"{fault:8} p50 {p50:4.0f} ms, p95 {p95:4.0f} ms, {ratio:.1f} x bound"
            )
        deployment.end_counts.clear()
        await deployment.run_under_faults(seconds)
        print(
            ", ".join(
                f"{count} {end}" for end, count in sorted(deployment.end_counts.items())
            )
        )
        for problem in deployment.violations:
            print(problem)
        print(f"{len(deployment.violations)} guarantees violated")
        return 1 if deployment.violations else 0


def main() -> int:
    """Run both parts of the benchmark.

    Returns:
        The exit status.
    """
    logger.remove()
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    return trio.run(run, seconds)


if __name__ == "__main__":
    raise SystemExit(main())
