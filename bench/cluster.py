"""Cluster benchmark: time to activate a configuration, and cost of idle entries.

An entry is one router process. Run `python -m bench.cluster [SIZES]`, where SIZES
is a list of cluster sizes such as `7,14,28`. For each size, the benchmark starts the
stand-in of the platform and that many entries on loopback, each in its own process.
The entries get no requests, so the CPU time, memory and traffic that they use is the
cost of the control plane. For each size, the benchmark prints the time until an
operator receives the report that a change is in force, the time until all entries
know that an endpoint is leaving, and the CPU time, memory and peer traffic per entry.
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
    describe_machine,
    resident_bytes,
    running_module,
    wait_until_answering,
)
from pistachioreach.bin.load import percentile
from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.manifest import encode_manifest
from pistachioreach.ports import free_ports

if TYPE_CHECKING:
    from pistachioreach.manifest import ManifestDocument

__all__ = ["ClusterResult", "main", "measure"]

#: Number of configuration changes that are timed.
CHANGE_COUNT = 10
#: Seconds over which the cost of an idle entry is measured.
IDLE_SECONDS = 10.0
#: Operator token that the entries accept.
OPERATOR_TOKEN = "measurement-only"
#: Timeout in seconds for all entries to join the roster.
JOIN_TIMEOUT_SECONDS = 120.0


class ClusterResult(NamedTuple):
    """Results for one cluster size.

    Attributes:
        entries: Number of entries.
        in_force: Seconds until an operator receives the report that a change is in
            force, for each change.
        leaving: Seconds until every entry knows that an endpoint is leaving.
        cpu: Fraction of a CPU core that an idle entry uses, on average.
        memory: Resident memory of an entry in bytes, on average.
        peer_bytes: Bytes per second that an idle entry exchanges with other entries,
            on average.
    """

    entries: int
    in_force: list[float]
    leaving: float
    cpu: float
    memory: float
    peer_bytes: float


def operator_request(address: str, method: str, path: str, body: bytes = b"") -> Any:
    """Send an operator request to an entry and return the decoded answer."""
    answer = httpcore.request(
        method,
        f"http://{address}{path}",
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        content=body,
    )
    return json.loads(answer.content)


def read_statuses(addresses: list[str]) -> list[dict]:
    """Return the status report of each entry."""
    return [operator_request(address, "GET", "/v1/status") for address in addresses]


def wait_until_all(addresses: list[str], check, seconds: float) -> float:
    """Wait until a condition holds for the status of every entry.

    Args:
        addresses: Addresses of the entries.
        check: Function that returns whether the status of an entry meets the
            condition. An entry that has met the condition is not asked again.
        seconds: Timeout.

    Returns:
        The seconds that it took.

    Raises:
        TimeoutError: Some entries did not meet the condition in time.
    """
    start = time.monotonic()
    waiting = list(addresses)
    while waiting:
        if time.monotonic() - start > seconds:
            raise TimeoutError(
                f"{len(waiting)} entries do not meet the condition after {seconds:g} s"
            )
        waiting = [
            address
            for address in waiting
            if not check(operator_request(address, "GET", "/v1/status"))
        ]
        time.sleep(0.01)
    return time.monotonic() - start


def apply_change(
    manifest: ManifestDocument, build: int, address: str
) -> tuple[float, dict]:
    """Apply a new build of the manifest in which one workspace has another weight.

    Args:
        manifest: The manifest, which is modified.
        build: Number of the new build, also used as the weight.
        address: Address of the entry that coordinates the change.

    Returns:
        The seconds until the answer, and the entry's report on the change.
    """
    manifest["build"] = build
    manifest["workspaces"][0]["weight"] = build
    start = time.monotonic()
    report = operator_request(
        address, "POST", "/v1/manifest", encode_manifest(manifest)
    )
    return time.monotonic() - start, report


def measure(count: int) -> ClusterResult:
    """Start a cluster of `count` entries and return its results."""
    manifest = demo_manifest(replicas=10, stages=3)
    ports = free_ports(2 + 2 * count)
    platform, faults = (f"127.0.0.1:{port}" for port in ports[:2])
    addresses = [f"127.0.0.1:{port}" for port in ports[2 : 2 + count]]
    peers = [f"127.0.0.1:{port}" for port in ports[2 + count :]]
    with ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        path = Path(directory, "manifest.json")
        path.write_bytes(encode_manifest(manifest))
        fakes = ["run", str(path), f"--platform={platform}", f"--faults={faults}"]
        stack.enter_context(running_module(["pistachioreach.bin.fakes", *fakes]))
        wait_until_answering(platform)
        pids = [
            stack.enter_context(
                running_module(
                    [
                        "pistachioreach.bin.entry",
                        *entry_flags(number, *address_pair, platform),
                    ]
                )
            )
            for number, address_pair in enumerate(zip(addresses, peers, strict=True))
        ]
        for address in addresses:
            wait_until_answering(address, "/healthz")
        wait_until_all(
            addresses, lambda s: len(s["roster"]) == count, JOIN_TIMEOUT_SECONDS
        )
        return measure_cluster(manifest, addresses, pids, faults)


def entry_flags(number: int, listen: str, peer: str, platform: str) -> list[str]:
    """Return the command-line flags of one entry."""
    return [
        f"--name=entry-{number}",
        "--failure-domain=anta",
        f"--listen={listen}",
        f"--peer-listen={peer}",
        f"--platform={platform}",
        "--keys=key-of-the-measurement",
        f"--operator-token={OPERATOR_TOKEN}",
        "--log-level=WARNING",
    ]


def measure_cluster(
    manifest: ManifestDocument, addresses: list[str], pids: list[int], faults: str
) -> ClusterResult:
    """Measure a running cluster.

    Args:
        manifest: Manifest to apply, which is modified.
        addresses: Addresses of the entries.
        pids: Process identifiers of the entries.
        faults: Address at which faults of the stand-ins are set.
    """
    count = len(addresses)
    _, report = apply_change(manifest, 1, addresses[0])
    in_force = []
    for build in range(2, 2 + CHANGE_COUNT):
        seconds, report = apply_change(manifest, build, addresses[build % count])
        assert report["result"] == "in force", report
        in_force.append(seconds)
    cpu = [cpu_seconds(pid) for pid in pids]
    bytes_before = [status["peer_bytes"] for status in read_statuses(addresses)]
    time.sleep(IDLE_SECONDS)
    cpu_used = [
        cpu_seconds(pid) - before for pid, before in zip(pids, cpu, strict=True)
    ]
    traffic = [
        status["peer_bytes"] - before
        for status, before in zip(read_statuses(addresses), bytes_before, strict=True)
    ]
    fault = {"target": "stage-1-1", "fault": "leave", "value": 1}
    httpcore.request(
        "POST", f"http://{faults}/v1/faults", content=json.dumps(fault).encode()
    )
    leaving = wait_until_all(
        addresses, lambda s: s["endpoints"]["stage-1-1"]["leaving"], 30.0
    )
    memory = [resident_bytes(pid) for pid in pids]
    return ClusterResult(
        count,
        in_force,
        leaving,
        sum(cpu_used) / count / IDLE_SECONDS,
        sum(memory) / count,
        sum(traffic) / count / IDLE_SECONDS,
    )


def main() -> None:
    """Measure each cluster size and print the results."""
    sizes = sys.argv[1] if len(sys.argv) > 1 else "3,7,14,28"
    print(describe_machine())
    print("entries  in force p50  p95 ms  leaving ms  cpu %  memory MB  peers B/s")
    for size in sizes.split(","):
        result = measure(int(size))
        p50, p95 = (percentile(result.in_force, share) * 1000 for share in (0.5, 0.95))
        print(
            f"{result.entries:7} {p50:13.0f} {p95:7.0f} {result.leaving * 1000:11.0f} "
            f"{result.cpu * 100:6.2f} {result.memory / 2**20:10.1f} "
            f"{result.peer_bytes:10.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
