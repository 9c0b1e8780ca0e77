"""Processor time of one decision and memory of the state, by size of the fleet.

Run `python -m bench.decisions`. Prints slopes that docs/CAPACITY.md uses: chain
plans, manifest decoding, deltas, frames, log lines, and resident memory.
"""

from __future__ import annotations

import os
import random
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from bench.processes import machine, resident_bytes
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

__all__ = ["main", "microseconds"]

#: Model servers of the fleets that are measured.
FLEETS = (30, 300, 2500)
#: Workspaces of the manifests that are measured.
WORKSPACES = (10, 300, 2700)
#: Target for a plan, in microseconds.
PLAN_TARGET = 200.0


def microseconds(function: Callable[[], object], seconds: float = 0.5) -> float:
    """Return the processor microseconds of one call, the best of five rounds."""
    best = float("inf")
    for _ in range(5):
        calls = 0
        since = time.process_time()
        while time.process_time() - since < seconds / 5:
            function()
            calls += 1
        best = min(best, (time.process_time() - since) / calls * 1e6)
    return best


def manifest_of(servers: int, workspaces: int) -> dict:
    """Return a manifest of some size."""
    return demo_manifest(
        replicas=max(1, servers // 3),
        ports=range(1024, 1024 + servers + 10),
        workspaces=[f"workspace-{number}" for number in range(workspaces)],
    )


def measure_plans() -> None:
    """Print the cost of a plan by size of the fleet."""
    for servers in FLEETS:
        fleet = Fleet()
        fleet.load_manifest(manifest_of(servers, 1))
        planner = Planner(fleet, "anta", random.Random(1))
        cost = microseconds(lambda planner=planner: planner.plan("clearance", 0.0))
        met = "met" if cost < PLAN_TARGET else "NOT MET"
        print(f"plan over {servers} servers: {cost:.0f} us (target 200: {met})")


def measure_manifests() -> None:
    """Print the cost of a manifest and of a delta by size."""
    for servers, workspaces in zip(FLEETS, WORKSPACES, strict=True):
        old = manifest_of(servers, workspaces)
        raw = encode_manifest(old)
        new = msgspec.json.decode(raw)
        new["workspaces"][0]["weight"] = 2
        delta = make_delta(old, new)
        size = len(msgspec.json.encode(delta))
        check = microseconds(lambda raw=raw: decode_manifest(raw))
        decode = microseconds(lambda raw=raw: decode_verified_manifest(raw))
        apply = microseconds(
            lambda old=old, delta=delta: encode_manifest(apply_delta(old, delta))
        )
        load = microseconds(lambda old=old: Fleet().load_manifest(old))
        print(
            f"manifest of {servers} servers, {workspaces} workspaces: "
            f"{len(raw)} bytes, check {check / 1000:.1f} ms, "
            f"decode {decode / 1000:.1f} ms, delta {size} bytes, "
            f"apply and encode {apply / 1000:.1f} ms, load {load / 1000:.1f} ms"
        )


def measure_frames() -> None:
    """Print the cost of a frame."""
    key = b"key-of-the-measurement"
    frame = Frame("entry-1", "0123456789abcdef", 1, COMMIT, 7, 7, body=b"x" * 300)
    raw = encode_frame(frame, key, b"salt")
    encode = microseconds(lambda: encode_frame(frame, key, b"salt"))
    decode = microseconds(lambda: decode_frame(raw, [key], b"salt"))
    print(f"frame: {len(raw)} bytes, encode {encode:.0f} us, decode {decode:.0f} us")


def measure_logs() -> None:
    """Print the cost of a log line."""
    configure_logs("json", "INFO")
    stderr, sys.stderr = sys.stderr, open("/dev/null", "w")
    candidates = {f"stage-{number}": 0.0123 for number in range(12)}
    bound = logger.bind(request="r", choice="c", reason="r", candidates=candidates)
    cost = microseconds(lambda: bound.info("decision {}", "chain"))
    sys.stderr = stderr
    print(f"log line of a decision: {cost:.0f} us")


def main() -> None:
    """Measure and print."""
    logger.remove()
    print(machine())
    measure_plans()
    measure_manifests()
    measure_frames()
    measure_logs()
    print(f"resident after all of this: {resident_bytes(os.getpid()) / 2**20:.0f} MB")


if __name__ == "__main__":
    main()
