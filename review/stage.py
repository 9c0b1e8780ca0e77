"""Stage of the scripts of the second review: stand-ins in this process, real routers.

The store, the engines and the plain service are the project's own stand-ins. They run
in the process of the script. Each router is a process of its own, started with the
command of the deploy file and a settings file like that of a small deployment.
"""

from __future__ import annotations

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from datetime import timedelta
from pathlib import Path

import trio
from hypercorn.trio import serve

from pistachioreach.platform.standins.deployment import KEY, configuration
from pistachioreach.platform.standins.engine import StandInEngine, StandInService
from pistachioreach.platform.standins.store import StandInStore
from pistachioreach.server import bind, port_of, server_config
from pistachioreach.settings import Address

__all__ = [
    "CANNOT_RUN",
    "KEY",
    "ROOT",
    "Record",
    "RouterProcess",
    "Stage",
    "get_kept",
    "request",
]

#: Root of the repository.
ROOT = Path(__file__).resolve().parent.parent
#: Exit status of a case that could not run.
CANNOT_RUN = 2
#: Zones of the deployment.
ZONES = {"urubamba": "cusco-valles", "anta": "cusco-valles"}
#: Kind of accelerator, zone and number of the engines.
FLEET = (("a100", "urubamba", 2), ("l40s", "urubamba", 2), ("a100", "anta", 2))
#: Seconds between the heartbeats of the servers.
HEARTBEAT_SECONDS = 0.3
#: Seconds for which a crashed engine is down, less than three heartbeats of 1.2 s.
DOWN_SECONDS = 3.0
#: Seconds from an exit of a router to its next start, as the platform restarts it.
RESTART_SECONDS = 0.5


class Record:
    """Record of a run, written to `record.txt` in the folder of the case.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.begin = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the begin of the run."""
        line = f"{time.monotonic() - self.begin:8.3f}  {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


def free_port(host: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class RouterProcess:
    """One router, as the platform runs it on a machine.

    Args:
        number: Number of the machine.
        store: Address of the store.
        folder: Temporary folder for the settings and the log.
        record: Record of the run.
    """

    def __init__(self, number: int, store: str, folder: Path, record: Record) -> None:
        pid = os.getpid()
        # All routers serve metrics on the same port, so that each needs an address.
        self.host = f"127.{1 + pid % 250}.{pid // 250 % 250}.{number + 1}"
        self.name = f"edge-{number + 1}"
        self.record = record
        self.folder = folder
        self.front, ready, control = (free_port(self.host) for _ in range(3))
        self.ready_port = ready
        zone = list(ZONES)[number % len(ZONES)]
        self.settings = {
            "node-name": self.name,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": self.host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{ready}",
                "control": f"{self.host}:{control}",
            },
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4200,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "bounds": {
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "loss-slack-ms": 200,
                "config-apply-ms": 2000,
                "retry-ratio": 0.2,
                "retry-window-s": 10,
                "retry-slack": 198,
                "recovery-s": 12,
                "stall_ms": 2500,
                "checks-fence": True,
            },
            "platform": {"address": store, "form": "table", "history-s": 20},
        }
        self.process: subprocess.Popen | None = None
        #: Exit statuses of the process that nobody asked for.
        self.own_ends: list[int] = []
        self.end_is_wanted = False

    def write_settings(self) -> None:
        """Write the settings file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))

    def start(self) -> None:
        """Start the process with the command and the variables of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= role.get("env", {})
        environment["PISTACHIOREACH_NODE_FILE"] = str(self.folder / f"{self.name}.json")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self.record.note(f"{self.name} is started")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def watch(self) -> None:
        """Restart the process whenever it ends, as the platform does, forever."""
        while True:
            status = self.process.poll()
            if status is not None:
                wanted = "" if self.end_is_wanted else " by itself"
                self.record.note(f"{self.name} ends{wanted} with status {status}")
                if not self.end_is_wanted:
                    self.own_ends.append(status)
                self.end_is_wanted = False
                await trio.sleep(RESTART_SECONDS)
                self.start()
            await trio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Return whether the readiness check gets a 200."""
        try:
            with trio.move_on_after(0.5):
                status, _ = await request(
                    self.host, self.ready_port, "GET", "/readiness", []
                )
                return status == 200
        except (OSError, EOFError, trio.BrokenResourceError):
            pass
        return False

    def last_error(self) -> str:
        """Return the last line of the log that is not JSON, such as an exception."""
        lines = (self.folder / f"{self.name}.log").read_text(errors="replace")
        errors = [
            line.strip(" |+-")
            for line in lines.splitlines()
            if line.strip(" |+-") and not line.startswith("{")
        ]
        return errors[-1] if errors else "none"


class Stage:
    """Store, engines and a plain service in this process, and router processes.

    Args:
        nursery: Nursery in which the stand-ins run.
        record: Record of the run.
        folder: Temporary folder.
    """

    def __init__(self, nursery: trio.Nursery, record: Record, folder: Path) -> None:
        self.nursery = nursery
        self.record = record
        self.folder = folder
        self.store = StandInStore()
        self.engines: dict[str, StandInEngine] = {}
        self.services: dict[str, StandInService] = {}
        #: Cancel scope of the server of each engine that runs, by address.
        self.scopes: dict[str, trio.CancelScope] = {}
        self.routers: list[RouterProcess] = []
        self.written: dict[str, object] = {}
        self.store_address = ""

    def listen(self, app) -> str:
        """Serve a stand-in on a free port and return its address."""
        listener = bind(Address("127.0.0.1", 0))
        address = f"127.0.0.1:{port_of(listener)}"
        self.nursery.start_soon(serve, app, server_config(listener, timedelta(0), 15))
        return address

    async def serve_engine(self, address: str, engine: StandInEngine) -> None:
        """Serve an engine at an address, and start it again after each crash."""
        host, _, port = address.rpartition(":")
        while True:
            listener = bind(Address(host, int(port)))
            with trio.CancelScope() as scope:
                self.scopes[address] = scope
                await serve(engine, server_config(listener, timedelta(0), 15))
            await trio.sleep(DOWN_SECONDS)
            engine.restart()
            self.record.note(f"{engine.id} is back, without layers")

    def crash(self, engine: StandInEngine) -> None:
        """Crash an engine: its connections end, and nothing listens for a while."""
        for address, other in self.engines.items():
            if other is engine and not engine.dead:
                engine.dead = True
                self.scopes[address].cancel()

    async def start(
        self, routers: int, events: int = 30, fleet=FLEET, engine_class=StandInEngine
    ) -> None:
        """Start the stand-ins and the routers."""
        self.store_address = self.listen(self.store)
        self.store.put("op", "config", configuration())
        for card, zone, count in fleet:
            for number in range(count):
                id = f"i-{card}-{zone}-{number}"
                engine = engine_class(id, card, zone, self.engines, events=events)
                address = f"127.0.0.1:{free_port('127.0.0.1')}"
                self.engines[address] = engine
                self.nursery.start_soon(self.serve_engine, address, engine)
        for number in range(3):
            service = StandInService(f"i-bookings-{number}")
            self.services[self.listen(service)] = service
        self.nursery.start_soon(self.send_heartbeats)
        for number in range(routers):
            router = RouterProcess(number, self.store_address, self.folder, self.record)
            self.routers.append(router)
            router.start()
            self.nursery.start_soon(router.watch)

    async def wait_ready(self, seconds: float = 25.0) -> None:
        """Wait until all routers are ready and the engines hold all layers."""
        with trio.fail_after(seconds):
            while not all([await router.is_ready() for router in self.routers]):
                await trio.sleep(0.1)
            while len(self.held_layers()) < 80:
                await trio.sleep(0.1)
            # The routers learn of the layers by the store's feed.
            await trio.sleep(2.0)
        self.record.note("all routers are ready, the engines hold all layers")

    def held_layers(self) -> set[int]:
        """Return the layers that some engine holds."""
        return {
            layer
            for engine in self.engines.values()
            if engine.layers
            for layer in range(*engine.layers)
        }

    async def send_heartbeats(self) -> None:
        """Keep the entries of the servers in the store up to date, forever."""
        while True:
            for address, engine in self.engines.items():
                if not engine.dead:
                    self.write(engine.id, engine.registration(address, "model"))
            for address, service in self.services.items():
                self.write(service.id, service.registration(address))
            await trio.sleep(HEARTBEAT_SECONDS)

    def write(self, id: str, entry: object) -> None:
        """Write the entry of a server if it has changed."""
        if self.written.get(id) != entry:
            self.written[id] = entry
            self.store.put("servers", id, entry)

    def end(self) -> None:
        """End all processes that were started."""
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.kill()
                router.process.wait()


async def read_head(stream: trio.SocketStream, buffer: bytes) -> tuple[bytes, bytes]:
    """Read a header section; return it and the bytes after it.

    Raises:
        EOFError: The connection ended before.
    """
    while b"\r\n\r\n" not in buffer:
        data = await stream.receive_some(65536)
        if not data:
            raise EOFError("the connection ended before an answer")
        buffer += data
    head, _, rest = buffer.partition(b"\r\n\r\n")
    return head, rest


async def request(
    host: str,
    port: int,
    method: str,
    path: str,
    fields: list[tuple[str, str]],
    body: bytes = b"",
    on_data=lambda _: None,
) -> tuple[int, bytes]:
    """Send one request on a new connection; return the status and the whole body.

    Raises:
        EOFError: The connection ended before the answer was complete.
    """
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in fields)]
    if not any(name.lower() == "host" for name, _ in fields):
        lines.insert(1, f"Host: {host}")
    raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    stream = await trio.open_tcp_stream(host, port)
    async with stream:
        await stream.send_all(raw)
        head, rest = await read_head(stream, b"")
        status = int(head.split(b" ", 2)[1])
        names = {
            name.strip().lower(): value.strip().lower()
            for name, _, value in (
                line.partition(b":") for line in head.split(b"\r\n")[1:]
            )
        }
        if names.get(b"transfer-encoding") == b"chunked":
            return status, await read_chunks(stream, rest, on_data)
        length = int(names.get(b"content-length", b"0"))
        while len(rest) < length:
            data = await stream.receive_some(65536)
            if not data:
                raise EOFError("the connection ended inside an answer")
            rest += data
        on_data(rest)
        return status, rest


async def get_kept(
    stream: trio.SocketStream,
    path: str,
    id: str,
    seconds: float,
    body: bytes | None = None,
) -> int:
    """Send a request on an open connection, read its answer, return its status.

    Args:
        stream: The connection.
        path: Path of the request.
        id: Identifier of the request.
        seconds: Seconds that the caller waits.
        body: Body of a POST request, or None for a GET request.

    Raises:
        EOFError: The connection ended before the answer was complete.
    """
    lines = [
        f"{'GET' if body is None else 'POST'} {path} HTTP/1.1",
        "Host: crews.example",
        f"Attempt-Id: {id}",
        f"Deadline-Ms: {round(seconds * 1000)}",
        f"Authorization: Token {KEY}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
    await stream.send_all(raw)
    head, rest = await read_head(stream, b"")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(rest) < length:
        rest += await receive_more(stream)
    return int(head.split(b" ", 2)[1])


async def read_chunks(stream: trio.SocketStream, buffer: bytes, on_data) -> bytes:
    """Read a body in chunks up to its end.

    Raises:
        EOFError: The connection ended before.
    """
    body = b""
    while True:
        while b"\r\n" not in buffer:
            buffer += await receive_more(stream)
        size, _, buffer = buffer.partition(b"\r\n")
        length = int(size, 16)
        while len(buffer) < length + 2:
            buffer += await receive_more(stream)
        if not length:
            return body
        body += buffer[:length]
        on_data(buffer[:length])
        buffer = buffer[length + 2 :]


async def receive_more(stream: trio.SocketStream) -> bytes:
    """Receive some bytes.

    Raises:
        EOFError: The connection has ended.
    """
    data = await stream.receive_some(65536)
    if not data:
        raise EOFError("the connection ended inside an answer")
    return data


def play(case, folder: Path) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Args:
        case: Async function that takes the stage, and returns whether the rule held.
        folder: Folder of the case.
    """
    record = Record(folder)

    def stop(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    # So that the processes are ended too if the script is.
    signal.signal(signal.SIGTERM, stop)

    async def main() -> int:
        with tempfile.TemporaryDirectory() as name:
            async with trio.open_nursery() as nursery:
                stage = Stage(nursery, record, Path(name))
                try:
                    with trio.fail_after(110):
                        held = await case(stage)
                    status = 0 if held else 1
                except (trio.TooSlowError, OSError) as error:
                    record.note(f"the case can't run: {error!r}")
                    status = CANNOT_RUN
                except BaseExceptionGroup as errors:
                    record.note(f"the case can't run: {errors.exceptions!r}")
                    status = CANNOT_RUN
                finally:
                    stage.end()
                    nursery.cancel_scope.cancel()
        return status

    status = trio.run(main)
    record.note({0: "the rule held", 1: "the rule was broken"}.get(status, "can't run"))
    sys.exit(status)
