"""CPU time of planning, manifests, frames and log lines, and resident memory.

Run `python -m bench.decisions`. Prints the CPU time of planning a chain of model
servers, of decoding a manifest and of applying a delta to one, each by size of the
deployment. Prints also the CPU time of a frame between entries (router processes)
and of a log line, and the resident memory at the end. docs/CAPACITY.md uses these
figures.
"""

from __future__ import annotations

import os
import random
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from bench.processes import describe_machine, resident_bytes
from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.logs import configure_logs
from pistachioreach.manifest import (
    decode_manifest,
    decode_verified_manifest,
    encode_manifest,
)
from pistachioreach.manifest.delta import apply_delta, make_delta
from pistachioreach.peers.wire import COMMIT, Frame, decode_frame, encode_frame
from pistachioreach.routing.chains import Planner
from pistachioreach.routing.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["cpu_microseconds", "main"]

#: Numbers of model servers that are measured.
FLEET_SIZES = (30, 300, 2500)
#: Numbers of workspaces, one for each number of model servers.
WORKSPACE_COUNTS = (10, 300, 2700)
#: Target for the CPU time of planning one chain, in microseconds.
PLAN_TARGET_MICROSECONDS = 200.0


def cpu_microseconds(function: Callable[[], object], seconds: float = 0.5) -> float:
    """Return the CPU time of one call in microseconds, the lowest of five rounds.

    Args:
        function: Function to call.
        seconds: CPU time of all rounds together.
    """
    best = float("inf")
    for _ in range(5):
        calls = 0
        start = time.process_time()
        while time.process_time() - start < seconds / 5:
            function()
            calls += 1
        best = min(best, (time.process_time() - start) / calls * 1e6)
    return best


def make_manifest(servers: int, workspaces: int) -> dict:
    """Return a manifest of about `servers` model servers and some workspaces."""
    return demo_manifest(
        replicas=max(1, servers // 3),
        ports=range(1024, 1024 + servers + 10),
        workspaces=[f"workspace-{number}" for number in range(workspaces)],
    )


def measure_plans() -> None:
    """Print the CPU time of planning a chain, by number of model servers."""
    for servers in FLEET_SIZES:
        fleet = Fleet()
        fleet.load_manifest(make_manifest(servers, 1))
        planner = Planner(fleet, "anta", random.Random(1))
        cost = cpu_microseconds(lambda planner=planner: planner.plan("clearance", 0.0))
        verdict = "met" if cost < PLAN_TARGET_MICROSECONDS else "NOT MET"
        print(f"plan over {servers} servers: {cost:.0f} us (target 200: {verdict})")


def measure_manifests() -> None:
    """Print the CPU time of decoding, applying and loading, by size of the manifest."""
    for servers, workspaces in zip(FLEET_SIZES, WORKSPACE_COUNTS, strict=True):
        base = make_manifest(servers, workspaces)
        raw = encode_manifest(base)
        changed = msgspec.json.decode(raw)
        changed["workspaces"][0]["weight"] = 2
        delta = make_delta(base, changed)
        size = len(msgspec.json.encode(delta))
        check = cpu_microseconds(lambda raw=raw: decode_manifest(raw))
        decode = cpu_microseconds(lambda raw=raw: decode_verified_manifest(raw))
        apply = cpu_microseconds(
            lambda base=base, delta=delta: encode_manifest(apply_delta(base, delta))
        )
        load = cpu_microseconds(lambda base=base: Fleet().load_manifest(base))
        print(
            f"manifest of {servers} servers, {workspaces} workspaces: "
            f"{len(raw)} bytes, check {check / 1000:.1f} ms, "
            f"decode {decode / 1000:.1f} ms, delta {size} bytes, "
            f"apply and encode {apply / 1000:.1f} ms, load {load / 1000:.1f} ms"
        )


def measure_frames() -> None:
    """Print the CPU time of encoding and of decoding a frame between entries."""
    key = b"key-of-the-measurement"
    frame = Frame("entry-1", "0123456789abcdef", 1, COMMIT, 7, 7, body=b"x" * 300)
    raw = encode_frame(frame, key, b"salt")
    encode = cpu_microseconds(lambda: encode_frame(frame, key, b"salt"))
    decode = cpu_microseconds(lambda: decode_frame(raw, [key], b"salt"))
    print(f"frame: {len(raw)} bytes, encode {encode:.0f} us, decode {decode:.0f} us")


def measure_logs() -> None:
    """Print the CPU time of a log line of a routing decision."""
    configure_logs("json", "INFO")
    stderr, sys.stderr = sys.stderr, open("/dev/null", "w")
    candidates = {f"stage-{number}": 0.0123 for number in range(12)}
    bound = logger.bind(request="r", choice="c", reason="r", candidates=candidates)
    cost = cpu_microseconds(lambda: bound.info("decision {}", "chain"))
    sys.stderr = stderr
    print(f"log line of a decision: {cost:.0f} us")


def main() -> None:
    """Run all measurements and print the results."""
    logger.remove()
    print(describe_machine())
    measure_plans()
    measure_manifests()
    measure_frames()
    measure_logs()
    print(f"resident memory at the end: {resident_bytes(os.getpid()) / 2**20:.0f} MB")


if __name__ == "__main__":
    main()
