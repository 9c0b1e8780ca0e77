"""Token benchmark: CPU time of an entry per token, compared with a minimal relay.

An entry is one router process; bench/relay.py is the minimal relay. Run
`python -m bench.token_cost`. For several numbers of open streams, the benchmark
measures the relay and the entry alternately, and prints the CPU time per token of both
in microseconds and the ratio. Then the benchmark prints the memory per open stream and
the CPU time of a call of a plain HTTP service.
"""

from __future__ import annotations

import json
import tempfile
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

import httpcore
import msgspec
import trio

from bench.processes import (
    cpu_seconds,
    describe_machine,
    resident_bytes,
    running_module,
    wait_until_answering,
)
from pistachioreach.clock import SystemClock
from pistachioreach.dispatch.keys import new_key
from pistachioreach.endpoints.wire import Stage, StreamOrder
from pistachioreach.fakes.deployment import DEMO_CREDENTIAL, demo_manifest
from pistachioreach.manifest import encode_manifest
from pistachioreach.ports import free_ports

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["main"]

#: Numbers of open streams that are measured.
STREAM_COUNTS = (10, 25, 50)
#: Seconds between the tokens of a stream. With 100 streams at this interval, the token
#: source uses a whole CPU core.
TOKEN_INTERVAL_SECONDS = 0.05
#: Number of tokens in a stream: 5.6 million tokens per second divided by 20,000
#: requests per second.
TOKENS_PER_STREAM = 280
#: Number of pairs of runs, one of the relay and one of the entry, for each number of
#: streams.
PAIR_COUNT = 3
#: Target for the CPU time of the entry per token over that of the relay.
TARGET_RATIO = 1.3
#: Operator token that the entry accepts.
OPERATOR_TOKEN = "measurement-only"


class BenchmarkProcesses(NamedTuple):
    """Processes that are measured, and the addresses of the benchmark.

    Attributes:
        entry: Process identifier of the entry.
        entry_address: Address of the entry.
        relay: Process identifier of the relay.
        relay_address: Address of the relay.
        source_address: Address of the token source.
    """

    entry: int
    entry_address: str
    relay: int
    relay_address: str
    source_address: str


@contextmanager
def run_processes() -> Iterator[BenchmarkProcesses]:
    """Run a token source, a relay, the stand-ins and an entry, each as a process.

    Yields:
        The processes and addresses; the processes are killed at the end of the context.
    """
    manifest = demo_manifest(replicas=1, stages=1, concurrency=5000)
    ports = free_ports(6)
    source, relay, entry = (f"127.0.0.1:{port}" for port in ports[:3])
    platform, faults, peer = (f"127.0.0.1:{port}" for port in ports[3:])
    file = tempfile.NamedTemporaryFile(suffix=".json")
    file.write(encode_manifest(manifest))
    file.flush()
    entry_flags = [
        "--name=bench",
        "--failure-domain=anta",
        f"--listen={entry}",
        f"--peer-listen={peer}",
        f"--platform={platform}",
        "--keys=key-of-the-measurement",
        f"--operator-token={OPERATOR_TOKEN}",
    ]
    fakes_flags = ["run", file.name, f"--platform={platform}", f"--faults={faults}"]
    with (
        file,
        running_module(
            ["bench.relay", "source", str(ports[0]), str(TOKEN_INTERVAL_SECONDS)]
        ),
        running_module(["bench.relay", "relay", str(ports[1]), source]) as relay_pid,
        running_module(["pistachioreach.bin.fakes", *fakes_flags]),
        running_module(["pistachioreach.bin.entry", *entry_flags]) as entry_pid,
    ):
        for address in (source, relay, entry, platform):
            wait_until_answering(address)
        apply_manifest(entry, manifest, source)
        yield BenchmarkProcesses(entry_pid, entry, relay_pid, relay, source)


def apply_manifest(entry: str, manifest: dict, source: str) -> None:
    """Apply a manifest whose only engine is the token source.

    Args:
        entry: Address of the entry.
        manifest: The manifest, which is modified.
        source: Address of the token source.
    """
    manifest["endpoints"][0]["address"] = source
    answer = httpcore.request(
        "POST",
        f"http://{entry}/v1/manifest",
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        content=encode_manifest(manifest),
    )
    assert answer.status == 200, answer.content


def make_order(number: int) -> bytes:
    """Return the encoded order for a stream, for the relay to forward to the source."""
    stage = Stage("engine", "", 0, 24)
    order = StreamOrder(
        stream=f"s{number}",
        request=f"r{number}",
        attempt=1,
        model="clearance",
        prompt="a plan",
        received=[],
        max_tokens=TOKENS_PER_STREAM,
        priority=9,
        stages=[stage],
        stage=0,
        previous=[],
    )
    return msgspec.json.encode(order)


def make_request_body() -> bytes:
    """Return the body of a generation request to the entry."""
    body = {"model": "clearance", "prompt": "a plan", "max_tokens": TOKENS_PER_STREAM}
    return json.dumps(body).encode()


#: Headers of the requests to the entry.
CALLER_HEADERS = {
    "Workspace": "crews",
    "Authorization": f"Bearer {DEMO_CREDENTIAL}",
}


async def read_streams(count: int, address: str, path: str, make_body, headers) -> int:
    """Read streams concurrently and return the number of tokens received.

    Args:
        count: Number of streams.
        address: Address of the server.
        path: Path of the requests.
        make_body: Function that returns the body of the request with a given number.
        headers: Headers of the requests.
    """
    tokens = 0

    async def read(number: int) -> None:
        nonlocal tokens
        async with pool.stream(
            "POST",
            f"http://{address}{path}",
            headers=headers,
            content=make_body(number),
        ) as response:
            chunks = [chunk async for chunk in response.aiter_stream()]
            tokens += b"".join(chunks).count(b"event: token")

    async with httpcore.AsyncConnectionPool(max_connections=10_000) as pool:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(read, number)
                await trio.sleep(TOKEN_INTERVAL_SECONDS / count)
    return tokens


def measure_relay(processes: BenchmarkProcesses, streams: int) -> float:
    """Return the CPU time of the relay per token, in microseconds."""
    before = cpu_seconds(processes.relay)
    tokens = trio.run(
        read_streams, streams, processes.relay_address, "/", make_order, {}
    )
    assert tokens == streams * TOKENS_PER_STREAM, tokens
    return (cpu_seconds(processes.relay) - before) / tokens * 1e6


def measure_entry(processes: BenchmarkProcesses, streams: int) -> float:
    """Return the CPU time of the entry per token, in microseconds."""
    before = cpu_seconds(processes.entry)
    body = make_request_body()
    tokens = trio.run(
        read_streams,
        streams,
        processes.entry_address,
        "/v1/generate",
        lambda number: body,
        CALLER_HEADERS,
    )
    assert tokens == streams * TOKENS_PER_STREAM, tokens
    return (cpu_seconds(processes.entry) - before) / tokens * 1e6


async def measure_memory(processes: BenchmarkProcesses, count: int) -> int:
    """Return the entry's resident memory in bytes while `count` streams are open."""
    memory_bytes = 0
    body = make_request_body()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            read_streams,
            count,
            processes.entry_address,
            "/v1/generate",
            lambda number: body,
            CALLER_HEADERS,
        )
        await trio.sleep(2)
        memory_bytes = resident_bytes(processes.entry)
    return memory_bytes


def measure_calls(processes: BenchmarkProcesses, calls: int) -> tuple[float, float]:
    """Return the CPU microseconds per service call, and the calls per second."""
    before = cpu_seconds(processes.entry)
    start = time.monotonic()
    trio.run(make_calls, processes, calls)
    cpu = (cpu_seconds(processes.entry) - before) / calls * 1e6
    return cpu, calls / (time.monotonic() - start)


async def make_calls(processes: BenchmarkProcesses, calls: int) -> None:
    """Make service calls that must not run twice, 20 at a time."""
    clock = SystemClock()

    async def worker(pool: httpcore.AsyncConnectionPool) -> None:
        for _ in range(calls // 20):
            headers = CALLER_HEADERS | {"Idempotency-Key": new_key(clock.now())}
            url = f"http://{processes.entry_address}/v1/services/bookings/confirm"
            answer = await pool.request("POST", url, headers=headers, content=b"{}")
            assert answer.status == 200, answer.content

    async with httpcore.AsyncConnectionPool(max_connections=20) as pool:
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(worker, pool)


def main() -> None:
    """Run all measurements and print the results."""
    print(describe_machine())
    with run_processes() as processes:
        measure_relay(processes, 10)
        measure_entry(processes, 10)
        print("streams  relay us/token  entry us/token  ratio (target 1.3)")
        for streams in STREAM_COUNTS:
            pairs = [
                (measure_relay(processes, streams), measure_entry(processes, streams))
                for _ in range(PAIR_COUNT)
            ]
            ratios = sorted(entry / relay for relay, entry in pairs)
            relay, entry = (
                sum(column) / PAIR_COUNT for column in zip(*pairs, strict=True)
            )
            verdict = "met" if ratios[PAIR_COUNT // 2] <= TARGET_RATIO else "NOT MET"
            print(
                f"{streams:7}  {relay:14.1f}  {entry:14.1f}  "
                f"{ratios[PAIR_COUNT // 2]:.2f} "
                f"({ratios[0]:.2f} to {ratios[-1]:.2f}) {verdict}"
            )
        memory = [(n, trio.run(measure_memory, processes, n)) for n in (25, 50, 100)]
        for count, memory_bytes in memory:
            print(f"{count:4} streams open: {memory_bytes / 2**20:.1f} MB resident")
        slope = (memory[-1][1] - memory[0][1]) / (memory[-1][0] - memory[0][0])
        print(f"slope: {slope / 1024:.1f} KB per stream")
        cpu, rate = measure_calls(processes, 1000)
        print(f"unrepeatable call: {cpu:.0f} us of CPU time, {rate:.0f}/s")


if __name__ == "__main__":
    main()
