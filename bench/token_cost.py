"""Processor time of the entry for each token, against a bare relay.

Run `python -m bench.token_cost`. Prints, for several numbers of open streams,
the microseconds a token of both and their ratio, taken in turn; then the
memory of an open stream and the processor time of a short call.
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
from pistachioreach.server import free_ports

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["main"]

#: Numbers of open streams.
STREAMS = (10, 25, 50)
#: Seconds between tokens of a stream; 100 streams use up one core of the source.
TOKEN_SECONDS = 0.05
#: Tokens of a stream: 5.6 million tokens over 20,000 requests a second.
TOKENS = 280
#: Pairs of runs for each number of streams.
PAIRS = 3
#: Target: the entry over the bare relay.
TARGET_RATIO = 1.3
#: The operators' credential of the measurement.
TOKEN = "measurement-only"


class Rig(NamedTuple):
    """The processes of the measurement.

    Attributes:
        entry: Identifier of the entry's process.
        entry_address: Its address.
        relay: Identifier of the bare relay's process.
        relay_address: Its address.
        source_address: Address of the source of tokens.
    """

    entry: int
    entry_address: str
    relay: int
    relay_address: str
    source_address: str


@contextmanager
def make_rig() -> Iterator[Rig]:
    """Start a source, a relay, a platform with services, and an entry."""
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
        f"--operator-token={TOKEN}",
    ]
    fakes_flags = ["run", file.name, f"--platform={platform}", f"--faults={faults}"]
    with (
        file,
        running_module(["bench.relay", "source", str(ports[0]), str(TOKEN_SECONDS)]),
        running_module(["bench.relay", "relay", str(ports[1]), source]) as relay_pid,
        running_module(["pistachioreach.bin.fakes", *fakes_flags]),
        running_module(["pistachioreach.bin.entry", *entry_flags]) as entry_pid,
    ):
        for address in (source, relay, entry, platform):
            wait_until_answering(address)
        apply(entry, manifest, source)
        yield Rig(entry_pid, entry, relay_pid, relay, source)


def apply(entry: str, manifest: dict, source: str) -> None:
    """Apply the manifest with the source in place of its one engine."""
    manifest["endpoints"][0]["address"] = source
    answer = httpcore.request(
        "POST",
        f"http://{entry}/v1/manifest",
        headers={"Authorization": f"Bearer {TOKEN}"},
        content=encode_manifest(manifest),
    )
    assert answer.status == 200, answer.content


def relay_order(number: int) -> bytes:
    """Return an order that the bare relay passes to the source."""
    stage = Stage("engine", "", 0, 24)
    order = StreamOrder(
        stream=f"s{number}",
        request=f"r{number}",
        attempt=1,
        model="clearance",
        prompt="a plan",
        received=[],
        max_tokens=TOKENS,
        priority=9,
        stages=[stage],
        stage=0,
        previous=[],
    )
    return msgspec.json.encode(order)


def entry_body() -> bytes:
    """Return a request that the entry takes."""
    body = {"model": "clearance", "prompt": "a plan", "max_tokens": TOKENS}
    return json.dumps(body).encode()


CALLER_HEADERS = {
    "Workspace": "crews",
    "Authorization": f"Bearer {DEMO_CREDENTIAL}",
}


async def read_streams(count: int, address: str, path: str, bodies, headers) -> int:
    """Read streams side by side and return how many tokens came."""
    tokens = 0

    async def read(number: int) -> None:
        nonlocal tokens
        async with pool.stream(
            "POST", f"http://{address}{path}", headers=headers, content=bodies(number)
        ) as response:
            chunks = [chunk async for chunk in response.aiter_stream()]
            tokens += b"".join(chunks).count(b"event: token")

    async with httpcore.AsyncConnectionPool(max_connections=10_000) as pool:
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(read, number)
                await trio.sleep(TOKEN_SECONDS / count)
    return tokens


def relay_cost(rig: Rig, streams: int) -> float:
    """Return microseconds a token of the bare relay."""
    before = cpu_seconds(rig.relay)
    tokens = trio.run(read_streams, streams, rig.relay_address, "/", relay_order, {})
    assert tokens == streams * TOKENS, tokens
    return (cpu_seconds(rig.relay) - before) / tokens * 1e6


def entry_cost(rig: Rig, streams: int) -> float:
    """Return microseconds a token of the entry."""
    before = cpu_seconds(rig.entry)
    body = entry_body()
    tokens = trio.run(
        read_streams,
        streams,
        rig.entry_address,
        "/v1/generate",
        lambda number: body,
        CALLER_HEADERS,
    )
    assert tokens == streams * TOKENS, tokens
    return (cpu_seconds(rig.entry) - before) / tokens * 1e6


async def hold_streams(rig: Rig, count: int) -> int:
    """Return the entry's resident bytes while streams are open."""
    size = 0
    body = entry_body()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            read_streams,
            count,
            rig.entry_address,
            "/v1/generate",
            lambda number: body,
            CALLER_HEADERS,
        )
        await trio.sleep(2)
        size = resident_bytes(rig.entry)
    return size


def call_cost(rig: Rig, calls: int) -> tuple[float, float]:
    """Return processor microseconds of a booking, and bookings a second."""
    before = cpu_seconds(rig.entry)
    since = time.monotonic()
    trio.run(make_calls, rig, calls)
    cpu = (cpu_seconds(rig.entry) - before) / calls * 1e6
    return cpu, calls / (time.monotonic() - since)


async def make_calls(rig: Rig, calls: int) -> None:
    """Make bookings, 20 side by side."""
    clock = SystemClock()

    async def worker(pool: httpcore.AsyncConnectionPool) -> None:
        for _ in range(calls // 20):
            headers = CALLER_HEADERS | {"Idempotency-Key": new_key(clock.now())}
            url = f"http://{rig.entry_address}/v1/services/bookings/confirm"
            answer = await pool.request("POST", url, headers=headers, content=b"{}")
            assert answer.status == 200, answer.content

    async with httpcore.AsyncConnectionPool(max_connections=20) as pool:
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(worker, pool)


def main() -> None:
    """Measure and print."""
    print(describe_machine())
    with make_rig() as rig:
        relay_cost(rig, 10)
        entry_cost(rig, 10)
        print("streams  relay us/token  entry us/token  ratio (target 1.3)")
        for streams in STREAMS:
            pairs = [
                (relay_cost(rig, streams), entry_cost(rig, streams))
                for _ in range(PAIRS)
            ]
            ratios = sorted(entry / relay for relay, entry in pairs)
            relay, entry = (sum(column) / PAIRS for column in zip(*pairs, strict=True))
            met = "met" if ratios[PAIRS // 2] <= TARGET_RATIO else "NOT MET"
            print(
                f"{streams:7}  {relay:14.1f}  {entry:14.1f}  "
                f"{ratios[PAIRS // 2]:.2f} ({ratios[0]:.2f} to {ratios[-1]:.2f}) {met}"
            )
        sizes = [(n, trio.run(hold_streams, rig, n)) for n in (25, 50, 100)]
        for count, size in sizes:
            print(f"{count:4} streams open: {size / 2**20:.1f} MB resident")
        slope = (sizes[-1][1] - sizes[0][1]) / (sizes[-1][0] - sizes[0][0])
        print(f"slope: {slope / 1024:.1f} KB a stream")
        cpu, rate = call_cost(rig, 1000)
        print(f"unrepeatable call: {cpu:.0f} us of processor time, {rate:.0f}/s")


if __name__ == "__main__":
    main()
