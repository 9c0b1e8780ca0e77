"""Rig of the scripts: router processes of the deploy file, stand-ins, and clients."""

from __future__ import annotations

import os
import random
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import h11
import msgspec
import trio

from pistachioreach.platform.standins import deployment as standins
from pistachioreach.platform.standins.deployment import StandInDeployment
from pistachioreach.platform.standins.engine import event_bytes
from pistachioreach.ports import free_ports

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "BROKEN",
    "HELD",
    "UNUSABLE",
    "Answer",
    "KeptConnection",
    "Record",
    "RouterProcess",
    "run_case",
    "send_request",
    "start_rig",
    "stream_body",
    "trouble_enabled",
    "whole_stream",
]

#: Exit statuses of a script: the rule held, was broken, or the case could not run.
HELD, BROKEN, UNUSABLE = 0, 1, 2
#: Seconds after which a case ends.
CASE_SECONDS = 105.0
#: Root of the repository.
ROOT = Path(__file__).resolve().parent.parent
#: Port on which each router serves metrics.
METRICS_PORT = 9464
#: Seconds within which a router must be ready, and the engines must hold all layers.
START_SECONDS = 30.0
#: Engines of the user Acequia Limpia: kind of accelerator, zone and number.
FLEET = (
    ("a100", "urubamba", 2),
    ("a100", "anta", 1),
    ("a100", "paucartambo", 1),
    ("l40s", "urubamba", 2),
    ("l40s", "anta", 3),
    ("l40s", "paucartambo", 6),
    ("l4", "urubamba", 5),
    ("l4", "anta", 8),
    ("l4", "paucartambo", 5),
)
#: Zones of that user's machines.
ZONES = ("urubamba", "anta", "paucartambo")
#: Bounds of the users' deployments acequia-andes and tbilisi-confirm.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-delay-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 5000,
    "strict-revoke": False,
    "revoke-ms": 5000,
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 198,
    "recovery-s": 12,
    "event-delay-ms": 120,
    "retry-after-s": 0,
    "stall_ms": 2500,
    "checks-fence": True,
}


def run_case(run: Callable, folder: Path) -> int:
    """Run a case once, for CASE_SECONDS at most, and return its exit status.

    Args:
        run: Runs the case with a record, ends all that it started, and returns the
            exit status.
        folder: Folder of the case, for the record.
    """
    record = Record(folder / "record.txt")

    async def run_limited() -> int:
        with trio.move_on_after(CASE_SECONDS):
            return await run(record)
        record.note("the time is over")
        return UNUSABLE

    try:
        return trio.run(run_limited)
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return UNUSABLE
    finally:
        record.close()


def trouble_enabled() -> bool:
    """Return whether the script shall cause its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Log of what was sent, answered and run, with the seconds since the start.

    Args:
        path: File that is written.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self.started_at
        self.file.write(f"{seconds:8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class RouterProcess:
    """One router, started with the command of the deploy file.

    Args:
        name: Name of the VM.
        zone: Failure domain of the VM.
        seeds: Addresses of the routers' control ports.
        store: Address of the store.
        folder: Temporary folder for the settings file and the log.
        host: Loopback address of the VM.
        ports: Ports for callers, readiness and control.
    """

    def __init__(self, name, zone, seeds, store, folder, host, ports) -> None:
        self.name = name
        self.folder = folder
        self.front, self.ready, self.control = (f"{host}:{port}" for port in ports)
        self.process: subprocess.Popen | None = None
        zones = dict.fromkeys(ZONES, "cusco-valles")
        document = {
            "node-name": name,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": host,
            "zone": zone,
            "region": "cusco-valles",
            "zones": zones,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "port-range": [7340, 7355],
            "seeds": list(seeds),
            "bootstrap": True,
            "loss-counts": False,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4200,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1200,
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "table"},
        }
        self.node_file = folder / f"{name}.json"
        self.node_file.write_bytes(msgspec.json.encode(document))

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment |= role.get("env", {}) | {
            "PISTACHIOREACH_NODE_FILE": str(self.node_file),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the router answers its readiness check with 200."""
        answer = await send_request(self.ready, "GET", "/readiness", [], b"", 1.0)
        return answer.status == 200

    def destroy(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Answer(NamedTuple):
    """What a client received.

    Attributes:
        status: Status code, or None without an answer.
        headers: Header fields by name in lower case.
        body: Bytes of the body.
        complete: Whether the answer was complete in the protocol.
        sent_at: Monotonic time at which the last byte of the request was sent.
        ended_at: Monotonic time of the end.
        failure: How the answer ended if it was not complete.
    """

    status: int | None
    headers: dict[str, str]
    body: bytes
    complete: bool
    sent_at: float
    ended_at: float
    failure: str


class KeptConnection:
    """A client's connection to a router, kept for many requests.

    Args:
        address: Address of the router.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.stream: trio.SocketStream | None = None
        self.http = h11.Connection(h11.CLIENT)

    async def send(self, method: str, path: str, fields: list, body: bytes) -> Answer:
        """Send a request and read the answer; open a connection if there is none."""
        if self.stream is None:
            host, _, port = self.address.rpartition(":")
            self.stream = await trio.open_tcp_stream(host, int(port))
            self.http = h11.Connection(h11.CLIENT)
        parts: list[bytes] = []
        status, headers, complete, failure = None, {}, False, ""
        sent_at = time.monotonic()
        try:
            request = h11.Request(method=method, target=path, headers=fields)
            data = self.http.send(request)
            if body:
                data += self.http.send(h11.Data(data=body))
            data += self.http.send(h11.EndOfMessage())
            await self.stream.send_all(data)
            sent_at = time.monotonic()
            while not complete:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.http.receive_data(await self.stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    complete = True
                elif isinstance(event, h11.ConnectionClosed):
                    failure = "the connection was closed"
                    break
        except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
            failure = f"the connection broke: {error!r}"
        if complete and self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            await trio.aclose_forcefully(self.stream)
            self.stream = None
        ended_at = time.monotonic()
        body = b"".join(parts)
        return Answer(status, headers, body, complete, sent_at, ended_at, failure)


async def send_request(
    address: str,
    method: str,
    path: str,
    fields: list[tuple[str, str]],
    body: bytes,
    seconds: float,
    event_gap: float | None = None,
) -> Answer:
    """Send a request on a new connection and read the answer to its end.

    Args:
        address: Address of the router.
        method: HTTP method.
        path: Path.
        fields: Header fields.
        body: Body of the request.
        seconds: Seconds after which the client closes the connection.
        event_gap: Seconds without a byte after which the client leaves, or None.
    """
    host, _, port = address.rpartition(":")
    parts: list[bytes] = []
    status, headers, complete, failure = None, {}, False, "the client gave up"
    sent_at = time.monotonic()
    stream = None
    http = h11.Connection(h11.CLIENT)
    names = {name.lower() for name, _ in fields}
    if "host" not in names:
        fields = [("host", address), *fields]
    request = h11.Request(method=method, target=path, headers=fields)
    with trio.move_on_after(seconds):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
            data = http.send(request)
            if body:
                data += http.send(h11.Data(data=body))
            data += http.send(h11.EndOfMessage())
            await stream.send_all(data)
            sent_at = time.monotonic()
            while not complete:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    with trio.move_on_after(event_gap or seconds) as gap:
                        received = await stream.receive_some(65536)
                    if gap.cancelled_caught:
                        break
                    http.receive_data(received)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {
                        name.decode(): value.decode("latin-1")
                        for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    complete = True
                elif isinstance(event, h11.ConnectionClosed):
                    failure = "the connection was closed"
                    break
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            failure = f"the connection broke: {error!r}"
        except h11.RemoteProtocolError as error:
            failure = f"the answer was cut: {error}"
    if stream is not None:
        with suppress(Exception):
            await trio.aclose_forcefully(stream)
    ended_at = time.monotonic()
    return Answer(
        status,
        headers,
        b"".join(parts),
        complete,
        sent_at,
        ended_at,
        "" if complete else failure,
    )


def whole_stream(events: int, body: bytes) -> bytes:
    """Return the whole body of the stand-in engines' answer to a request's body."""
    return b"".join(event_bytes(number, body) for number in range(1, events + 1))


def stream_body(number: int) -> bytes:
    """Return the body of the request with a number, which no other request has."""
    return b'{"plan": %d}' % number


def loopback_host(number: int) -> str:
    """Return a loopback address whose metrics port is free.

    Args:
        number: Number of the router.
    """
    while True:
        host = f"127.{random.randrange(2, 250)}.{random.randrange(250)}.{number + 1}"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, METRICS_PORT))
            return host


async def start_rig(
    nursery: trio.Nursery, routers: int, record: Record
) -> tuple[StandInDeployment, list[RouterProcess]]:
    """Start the stand-ins and the routers, and wait until they serve.

    Args:
        nursery: Nursery of the stand-ins.
        routers: Number of routers.
        record: Record of the run.
    """
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    standins.FLEET = FLEET
    deployment = StandInDeployment(nursery)
    await deployment.start(routers=0)
    hosts = [loopback_host(number) for number in range(routers)]
    ports = [free_ports(3) for _ in range(routers)]
    seeds = [f"{host}:{port[2]}" for host, port in zip(hosts, ports, strict=True)][:3]
    processes = [
        RouterProcess(
            f"edge-{number}",
            ZONES[number % len(ZONES)],
            seeds,
            deployment.store_address,
            folder,
            hosts[number],
            ports[number],
        )
        for number in range(routers)
    ]
    for process in processes:
        process.start()
    try:
        with trio.fail_after(START_SECONDS):
            for process in processes:
                while not await process.is_ready():
                    await trio.sleep(0.1)
            while not all(
                engine.layers is not None for engine in deployment.engines.values()
            ):
                await trio.sleep(0.1)
            await trio.sleep(2.0)
    except BaseException:
        for process in processes:
            process.destroy()
        raise
    record.note(f"{routers} routers are ready; logs and settings in a temporary folder")
    print(f"logs: {folder}", file=sys.stderr)
    return deployment, processes
