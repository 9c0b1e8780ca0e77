"""Entries in concert on loopback: time to in force, and the cost of control.

Run `python -m bench.concert [SIZES]`, as `7,14,28`. Starts the platform's
stand-in and that many entries, each a process of its own. Without load, so that
what they use is control. Prints, for each size, the time until an operator is
told that a change is in force, the spread of the news that an endpoint is
leaving, and the processor time, memory and bytes of an entry.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import httpcore

from bench.processes import (
    cpu_seconds,
    machine,
    resident_bytes,
    running,
    wait_answer,
)
from pistachioreach.bin.load import percentile
from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.manifest import encode_manifest
from pistachioreach.server import free_ports

if TYPE_CHECKING:
    from pistachioreach.manifest import ManifestDocument

__all__ = ["Figures", "main", "measure"]

#: Changes that are timed.
CHANGES = 10
#: Seconds over which the cost of an idle entry is taken.
IDLE_SECONDS = 10.0
#: The operators' credential of the measurement.
TOKEN = "measurement-only"
#: Seconds that all entries have to join.
JOIN_SECONDS = 120.0


class Figures(NamedTuple):
    """What one size gave.

    Attributes:
        entries: Number of entries.
        in_force: Seconds until an operator is told, each change.
        leaving: Seconds until every entry knows that an endpoint is leaving.
        cpu: Processor seconds a second of an entry, on average.
        memory: Resident bytes of an entry, on average.
        peer_bytes: Bytes a second of an entry, to and from other entries.
    """

    entries: int
    in_force: list[float]
    leaving: float
    cpu: float
    memory: float
    peer_bytes: float


def operate(address: str, method: str, path: str, body: bytes = b"") -> Any:
    """Ask one entry as an operator."""
    answer = httpcore.request(
        method,
        f"http://{address}{path}",
        headers={"Authorization": f"Bearer {TOKEN}"},
        content=body,
    )
    return json.loads(answer.content)


def statuses(addresses: list[str]) -> list[dict]:
    """Return what every entry says of itself."""
    return [operate(address, "GET", "/v1/status") for address in addresses]


def wait_all(addresses: list[str], check, seconds: float) -> float:
    """Wait until a check holds at every entry; return how long it took."""
    since = time.monotonic()
    waiting = list(addresses)
    while waiting:
        if time.monotonic() - since > seconds:
            raise TimeoutError(f"{len(waiting)} entries after {seconds:g} s")
        waiting = [
            address
            for address in waiting
            if not check(operate(address, "GET", "/v1/status"))
        ]
        time.sleep(0.01)
    return time.monotonic() - since


def change(manifest: ManifestDocument, build: int, address: str) -> tuple[float, dict]:
    """Apply a build that changes one workspace; return how long it took."""
    manifest["build"] = build
    manifest["workspaces"][0]["weight"] = build
    since = time.monotonic()
    report = operate(address, "POST", "/v1/manifest", encode_manifest(manifest))
    return time.monotonic() - since, report


def measure(count: int) -> Figures:
    """Start some entries and measure them."""
    manifest = demo_manifest(replicas=10, stages=3)
    ports = free_ports(2 + 2 * count)
    platform, faults = (f"127.0.0.1:{port}" for port in ports[:2])
    addresses = [f"127.0.0.1:{port}" for port in ports[2 : 2 + count]]
    peers = [f"127.0.0.1:{port}" for port in ports[2 + count :]]
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = Path(folder, "manifest.json")
        path.write_bytes(encode_manifest(manifest))
        fakes = ["run", str(path), f"--platform={platform}", f"--faults={faults}"]
        stack.enter_context(running(["pistachioreach.bin.fakes", *fakes]))
        wait_answer(platform)
        pids = [
            stack.enter_context(
                running(["pistachioreach.bin.entry", *flags(number, *place, platform)])
            )
            for number, place in enumerate(zip(addresses, peers, strict=True))
        ]
        for address in addresses:
            wait_answer(address, "/healthz")
        wait_all(addresses, lambda s: len(s["roster"]) == count, JOIN_SECONDS)
        return figures_of(manifest, addresses, pids, faults)


def flags(number: int, listen: str, peer: str, platform: str) -> list[str]:
    """Return the flags of one entry."""
    return [
        f"--name=entry-{number}",
        "--failure-domain=anta",
        f"--listen={listen}",
        f"--peer-listen={peer}",
        f"--platform={platform}",
        "--keys=key-of-the-measurement",
        f"--operator-token={TOKEN}",
        "--log-level=WARNING",
    ]


def figures_of(
    manifest: ManifestDocument, addresses: list[str], pids: list[int], faults: str
) -> Figures:
    """Measure entries that run."""
    count = len(addresses)
    _, report = change(manifest, 1, addresses[0])
    in_force = []
    for build in range(2, 2 + CHANGES):
        seconds, report = change(manifest, build, addresses[build % count])
        assert report["result"] == "in force", report
        in_force.append(seconds)
    cpu = [cpu_seconds(pid) for pid in pids]
    sent = [status["peer_bytes"] for status in statuses(addresses)]
    time.sleep(IDLE_SECONDS)
    used = [cpu_seconds(pid) - before for pid, before in zip(pids, cpu, strict=True)]
    traffic = [
        status["peer_bytes"] - before
        for status, before in zip(statuses(addresses), sent, strict=True)
    ]
    fault = {"target": "stage-1-1", "fault": "leave", "value": 1}
    httpcore.request(
        "POST", f"http://{faults}/v1/faults", content=json.dumps(fault).encode()
    )
    leaving = wait_all(
        addresses, lambda s: s["endpoints"]["stage-1-1"]["leaving"], 30.0
    )
    memory = [resident_bytes(pid) for pid in pids]
    return Figures(
        count,
        in_force,
        leaving,
        sum(used) / count / IDLE_SECONDS,
        sum(memory) / count,
        sum(traffic) / count / IDLE_SECONDS,
    )


def main() -> None:
    """Measure some sizes and print them."""
    sizes = sys.argv[1] if len(sys.argv) > 1 else "3,7,14,28"
    print(machine())
    print("entries  in force p50  p95 ms  leaving ms  cpu %  memory MB  peers B/s")
    for size in sizes.split(","):
        found = measure(int(size))
        p50, p95 = (percentile(found.in_force, share) * 1000 for share in (0.5, 0.95))
        print(
            f"{found.entries:7} {p50:13.0f} {p95:7.0f} {found.leaving * 1000:11.0f} "
            f"{found.cpu * 100:6.2f} {found.memory / 2**20:10.1f} "
            f"{found.peer_bytes:10.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
