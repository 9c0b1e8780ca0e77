"""Real sockets under faults: recovery times, and a storm of faults under load.

Run `python -m bench.loopback [SECONDS]`. The cross-check of bench.recovery: the same
kinds of faults with entries, engines and platform on loopback in one process. Then
load with faults at random for some seconds: every answer must be whole and right or
fail honestly, and no key may run twice. The exit status is 1 if a promise was broken.
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
from pistachioreach.server import free_ports
from pistachioreach.settings import Address

__all__ = ["main"]

#: Service times: 40 ms a token, as in bench.recovery.
TIMES = EngineTimes(prefill_seconds=0.0005, token_seconds=0.04)
#: Longest time between tokens without a fault.
NORMAL_GAP_SECONDS = 0.05
#: Entries.
ENTRIES = 3
#: Trials of each fault.
TRIALS = 10
#: Faults whose recovery is timed, with the floor in seconds: a token's gap where the
#: fault shows only by silence, and a prefill and a token where a stage is lost.
TIMED = {"die": 0.06, "stall": 0.1, "silence": 0.04}


class Rig:
    """Stand-ins and entries in one process.

    Args:
        servers: The stand-ins.
        nodes: The entries.
    """

    def __init__(self, servers: FakeServers, nodes: list[Node]) -> None:
        #: The stand-ins.
        self.servers = servers
        #: The entries.
        self.nodes = nodes
        #: Connections of the callers.
        self.connections = Connections()
        #: How requests ended.
        self.ends: Counter[str] = Counter()
        #: Promises that were broken, in words.
        self.problems: list[str] = []
        #: Keys that were sent.
        self.keys: list[str] = []

    def caller(self) -> Caller:
        """Return a caller that knows all entries."""
        addresses = [f"127.0.0.1:{node.port}" for node in self.nodes]
        random.shuffle(addresses)
        return Caller(self.connections, addresses, "crews", DEMO_CREDENTIAL)

    async def answer(self, number: int) -> None:
        """Read one answer and check it."""
        text = f"plan {number}"
        answer = await self.caller().generate(Prompt("clearance", text, 40))
        if answer.tokens != expected_answer(text, 40)[: len(answer.tokens)]:
            self.problems.append(f"answer {number}: wrong tokens")
        if answer.is_complete() and len(answer.tokens) == 40:
            self.ends["whole"] += 1
        elif answer.problem is not None:
            self.ends[answer.problem["type"].rpartition(":")[2]] += 1
        else:
            self.problems.append(f"answer {number}: neither whole nor refused")

    async def call(self, number: int) -> None:
        """Send one key through several entries, as an impatient caller."""
        key = new_key(SystemClock().now())
        self.keys.append(key)
        caller = self.caller()
        for at in range(3):
            try:
                answer = await caller.call("bookings", "confirm", b"{}", key, 4_000, at)
            except ConnectionFailed:
                continue
            self.ends[f"call {answer.status}"] += 1
            if answer.status == 200 and random.random() < 0.7:
                return

    async def disturb(self) -> None:
        """Set faults at random, for ever; each is mended after a while."""
        while True:
            await trio.sleep(random.uniform(0.3, 1.0))
            engine = random.choice(sorted(self.servers.engines))
            kind = random.choice(("die", "silence", "stall", "slow", "outage", "lost"))
            self.ends[f"fault {kind}"] += 1
            if kind == "outage":
                self.servers.set_fault("platform", "outage", 1)
                await trio.sleep(random.uniform(0.5, 3))
                self.servers.set_fault("platform", "outage", 0)
            elif kind == "lost":
                self.servers.set_fault("platform", "lose-answers", 0.3)
                self.servers.set_fault("bookings", "lose-answers", 0.3)
                await trio.sleep(2)
                self.servers.set_fault("platform", "lose-answers", 0)
                self.servers.set_fault("bookings", "lose-answers", 0)
            elif kind == "die":
                self.servers.set_fault(engine, "die", 1)
                await trio.sleep(1)
                self.servers.set_fault(engine, "revive", 1)
            else:
                self.servers.set_fault(engine, kind, 30 if kind == "slow" else 1)
                await trio.sleep(1)
                if kind != "silence":
                    self.servers.set_fault(engine, kind, kind == "slow")

    async def storm(self, seconds: float) -> None:
        """Send load for some seconds while faults strike."""
        async with trio.open_nursery() as faults:
            faults.start_soon(self.disturb)
            end = trio.current_time() + seconds
            number = 0
            async with trio.open_nursery() as load:
                while trio.current_time() < end:
                    load.start_soon(self.answer, number)
                    load.start_soon(self.call, number)
                    number += 1
                    await trio.sleep(0.25)
            faults.cancel_scope.cancel()
        service = self.servers.services["bookings"]
        for key in self.keys:
            if service.count_runs(f"crews.{key}") > 1:
                self.problems.append(f"key {key} ran more than once")


@asynccontextmanager
async def make_rig():
    """Give running stand-ins and entries."""
    manifest = demo_manifest(replicas=4)
    platform, faults = (Address("127.0.0.1", port) for port in free_ports(2))
    servers = FakeServers(manifest, TIMES, random.Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(servers.run, platform, faults)
        nodes = []
        for number in range(ENTRIES):
            settings = demo_settings(f"entry-{number}", "anta", platform)
            nodes.append(Node(settings))
            await nursery.start(nodes[-1].run)
        report = await nodes[0].changes.apply(manifest, encode_manifest(manifest))
        assert report.result == "in force", report
        while not all(node.agreement.may_admit() for node in nodes):
            await trio.sleep(0.05)
        rig = Rig(servers, nodes)
        yield rig
        await rig.connections.close()
        nursery.cancel_scope.cancel()


async def timed_trial(rig: Rig, fault: str, number: int) -> float:
    """Return the seconds from a fault to the next token after the gap."""
    times: list[float] = []
    struck: list[float] = []

    def on_token(position: int) -> None:
        times.append(trio.current_time())
        if position == 20:
            busy = [e for e in rig.servers.engines.values() if e.running()]
            busy.sort(key=lambda engine: engine.name)
            struck.append(trio.current_time())
            rig.servers.set_fault(busy[0].name, fault, 1)
            struck.append(busy[0].name)

    text = f"trial {fault} {number}"
    answer = await rig.caller().generate(Prompt("clearance", text, 40), on_token)
    if not answer.is_complete():
        rig.problems.append(f"{text}: not whole")
    if fault == "die":
        rig.servers.set_fault(struck[1], "revive", 1)
        await trio.sleep(1.5)
    elif fault != "silence":
        rig.servers.set_fault(struck[1], fault, 0)
    later = [struck[0], *(at for at in times if at >= struck[0])]
    # The first gap that is not a token's own; later ones are the machine's noise.
    for before, after in zip(later, later[1:], strict=False):
        if after - before > NORMAL_GAP_SECONDS:
            return after - struck[0]
    return later[-1] - struck[0]


async def run(seconds: float) -> int:
    """Run both parts and print; return the exit status."""
    async with make_rig() as rig:
        for number in range(3):
            await rig.answer(number)
        for fault, floor in TIMED.items():
            taken = [await timed_trial(rig, fault, n) for n in range(TRIALS)]
            p50, p95 = (percentile(taken, share) * 1000 for share in (0.5, 0.95))
            ratio = p50 / (floor * 1000)
            print(
                f"{fault:8} p50 {p50:4.0f} ms, p95 {p95:4.0f} ms, {ratio:.1f} x floor"
            )
        rig.ends.clear()
        await rig.storm(seconds)
        print(", ".join(f"{count} {end}" for end, count in sorted(rig.ends.items())))
        for problem in rig.problems:
            print(problem)
        print(f"{len(rig.problems)} promises broken")
        return 1 if rig.problems else 0


def main() -> int:
    """Run on loopback.

    Returns:
        The exit status.
    """
    logger.remove()
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    return trio.run(run, seconds)


if __name__ == "__main__":
    raise SystemExit(main())
