"""Small deployment on loopback: routers as processes, stand-ins for all else.

The stand-ins follow the users' pages and use only the standard library: the store, the
servers of a plain service, and clients. Each writes what happens to one record.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs

#: Root of the repository, from which the programs are started.
ROOT = Path(__file__).resolve().parent.parent
#: Command of the deploy file for the role of the routers.
ROUTER_COMMAND = ("python3", "-m", "pistachioreach.bin.router")
#: Whether the disruption is brought about.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Seconds between two heartbeats of a server (`heartbeat-ms`).
HEARTBEAT_SECONDS = 1.2
#: Seconds of changes that the store's feed keeps (`history-s`).
HISTORY_SECONDS = 20.0
#: Zones of the routers and servers, in turn.
ZONES = ("ge-east-a", "ge-east-b", "ge-east-c")
#: Bounds of the site tbilisi-confirm.
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


class CannotRunError(Exception):
    """Raised when a case could not be brought about."""


class Record:
    """What was sent, answered and run, with the time since the start.

    Args:
        path: File that the record is written to.
    """

    def __init__(self, path: Path) -> None:
        #: File that the record is written to.
        self.file = path.open("w")
        #: Monotonic time of the start.
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, *words: Any) -> None:
        """Write one line."""
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


class Request(NamedTuple):
    """HTTP request.

    Attributes:
        method: Method.
        target: Path with the query.
        fields: Header fields by name, in lower case.
        body: Body.
    """

    method: str
    target: str
    fields: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """HTTP response; status 0 stands for a connection that ended without one.

    Attributes:
        status: Status code.
        fields: Header fields by name, in lower case.
        body: Body.
        complete: Whether the whole body was received.
    """

    status: int
    fields: dict[str, str] = {}
    body: bytes = b""
    complete: bool = False


#: Answers a request, or returns None to close the connection without an answer.
Handler = Callable[[Request], Awaitable[Response | None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the header fields of a message.

    Raises:
        asyncio.IncompleteReadError: The connection ended before.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body of a message that states its length or comes in chunks."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    await reader.readline()
    return b"".join(parts)


class HttpServer:
    """HTTP server on a loopback address.

    Args:
        handler: Answers the requests.
    """

    def __init__(self, handler: Handler) -> None:
        #: Answers the requests.
        self.handler = handler
        #: Listening server, or None while stopped.
        self.server: asyncio.Server | None = None
        #: Address, `ip:port`; kept over a restart.
        self.address = ""
        #: Open connections.
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on that of an earlier start."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, limit=2**20, reuse_address=True
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Close the port and reset all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self.writers.add(writer)
        # A connection is cancelled at the end of the run.
        endings = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*endings):
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, fields)
                response = await self.handler(Request(method, target, fields, body))
                if response is None:
                    break
                write_response(writer, response)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


def write_response(writer: asyncio.StreamWriter, response: Response) -> None:
    """Write a response with the length of its body."""
    fields = {**response.fields, "Content-Length": str(len(response.body))}
    lines = [f"HTTP/1.1 {response.status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(lines) + "\r\n\r\n"
    writer.write(head.encode("latin-1") + response.body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    linger = b"\1\0\0\0\0\0\0\0"
    with contextlib.suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Row(NamedTuple):
    """Row of the store.

    Attributes:
        version: Version of its last change.
        value: Value in base64, or None if it was removed.
        at: Monotonic time of that change.
    """

    version: int
    value: str | None
    at: float


class Store:
    """The platform's store, with rows of the empty part only.

    Args:
        record: Record of the run.
    """

    def __init__(self, record: Record) -> None:
        #: Record of the run.
        self.record = record
        #: Rows by table and key; removed ones are kept.
        self.rows: dict[tuple[str, str], Row] = {}
        #: Newest version.
        self.version = 100
        #: Version up to which the feed has no history.
        self.oldest = 100
        #: Value of the header `Store-Era`.
        self.era = 1
        #: Servers at which the routers reach it.
        self.servers: list[HttpServer] = []
        #: Set, and replaced, at each change.
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, document: Any) -> int:
        """Write a row, or remove it if the document is None; return the version."""
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self.version += 1
        self.rows[table, key] = Row(self.version, value, time.monotonic())
        self.notify()
        return self.version

    def notify(self) -> None:
        """Wake the feeds that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> tuple[int, dict[tuple[str, str], Row]]:
        """Return a copy of the rows and the newest version, for a drill."""
        return self.version, dict(self.rows)

    async def restore(
        self, copy: tuple[int, dict[tuple[str, str], Row]], away_seconds: float
    ) -> None:
        """Be away for a moment and come back from a copy.

        Args:
            copy: The copy, as `copy` has returned it.
            away_seconds: Seconds for which the store is away.
        """
        self.record.write("the store goes away, at version", self.version)
        for server in self.servers:
            server.stop()
        await asyncio.sleep(away_seconds)
        self.version, self.rows = copy[0], dict(copy[1])
        self.era += 1
        for server in self.servers:
            await server.start()
        self.record.write("the store is back, at version", self.version)

    async def handle(self, request: Request) -> Response:
        """Answer one call."""
        path, _, query = request.target.partition("?")
        values = {name: items[0] for name, items in parse_qs(query).items()}
        handlers = {
            "/rows-get": self.read,
            "/rows-feed": self.feed,
            "/rows-tx": self.transact,
        }
        if path not in handlers:
            return self.respond(404, {})
        status, document = await handlers[path](values, request.body)
        return self.respond(status, document)

    def respond(self, status: int, document: dict[str, Any]) -> Response:
        """Return a response with the newest version and the store's clock."""
        now_ms = round(time.monotonic() * 1000)
        body = json.dumps({**document, "ver": self.version, "now-ms": now_ms})
        fields = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return Response(status, fields, body.encode())

    async def read(self, query: dict[str, str], _: bytes) -> tuple[int, dict]:
        """Return the rows of a table from a key on."""
        start = query.get("from", "")
        rows = [
            describe(table, key, row)
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and key >= start and row.value is not None
        ]
        return 200, {"rows": rows, "more-pages": False}

    async def feed(self, query: dict[str, str], _: bytes) -> tuple[int, dict]:
        """Return the changes of a table; wait for the first one."""
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        era = self.era
        while True:
            if era != self.era or not self.oldest <= after <= self.version:
                return 410, {}
            rows = self.changes(query["table"], after)
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows of a table that have changed after a version, in order."""
        found = sorted(
            (row.version, key)
            for (name, key), row in self.rows.items()
            if name == table and row.version > after
        )
        return [describe(table, key, self.rows[table, key]) for _, key in found]

    async def transact(self, _: dict[str, str], body: bytes) -> tuple[int, dict]:
        """Apply writes if their conditions hold."""
        call = json.loads(body)
        for item in call.get("expected", ()):
            row = self.rows.get((item["table"], item["key"]))
            version = row.version if row is not None and row.value is not None else 0
            if version != item["ver"]:
                return 412, {"rows": []}
        if any(item["table"] in ("op", "servers") for item in call["writes"]):
            return 403, {}
        self.version += 1
        for item in call["writes"]:
            row = Row(self.version, item["value"], time.monotonic())
            self.rows[item["table"], item["key"]] = row
        self.notify()
        return 200, {}


class StoreFront:
    """Address at which one router reaches the store, and which can be cut off.

    Args:
        store: The store.
    """

    def __init__(self, store: Store) -> None:
        #: The store.
        self.store = store
        #: Whether the router gets no answer.
        self.silent = False
        #: Set when the router gets answers again.
        self.healed = asyncio.Event()
        #: Listening server.
        self.server = HttpServer(self.handle)

    def cut(self) -> None:
        """Let no call reach the store, and no answer the router."""
        self.silent = True
        self.healed = asyncio.Event()

    def heal(self) -> None:
        """End the cut; the calls that were made meanwhile are lost."""
        self.silent = False
        self.healed.set()

    async def handle(self, request: Request) -> Response | None:
        """Pass a call on, unless the router is cut off before it is answered."""
        if not self.silent:
            response = await self.store.handle(request)
            if not self.silent:
                return response
        await self.healed.wait()
        return None


def describe(table: str, key: str, row: Row) -> dict[str, Any]:
    """Return a row as answers of the store contain it."""
    fields = {"table": table, "part": "", "key": key, "ver": row.version}
    if row.value is None:
        return fields | {"removed": True}
    return fields | {"value": row.value}


class PlainServer:
    """Server of a plain service, which runs what it is sent.

    Args:
        name: Name of the server; each start is a new incarnation with an id of its own.
        service: Name of the service on the wire.
        zone: Zone of the server.
        deployment: The deployment.
        work_seconds: Seconds that a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        deployment: Deployment,
        work_seconds: float = 0.03,
    ) -> None:
        #: Name of the server.
        self.name = name
        #: Name of the service on the wire.
        self.service = service
        #: Zone of the server.
        self.zone = zone
        #: The deployment.
        self.deployment = deployment
        #: Seconds that a request takes.
        self.work_seconds = work_seconds
        #: Number of starts.
        self.starts = 0
        #: Requests that are running.
        self.running = 0
        #: Whether the server is up.
        self.up = False
        #: State in the registration.
        self.state = "ready"
        #: Number of heartbeats of this incarnation.
        self.beats = 0
        #: Unix millisecond of the start.
        self.born = 0
        #: The listening server.
        self.http = HttpServer(self.handle)
        #: Task that sends heartbeats.
        self.task: asyncio.Task | None = None

    @property
    def id(self) -> str:
        """Identifier of this incarnation."""
        return f"i-{self.name}-{self.starts}"

    async def start(self) -> None:
        """Start a new incarnation at the address of the one before."""
        self.starts += 1
        self.beats, self.running = 0, 0
        self.born = round(time.time() * 1000)
        await self.http.start()
        self.up = True
        self.register()
        self.task = asyncio.create_task(self.send_heartbeats())

    def register(self) -> None:
        """Write the registration of this incarnation."""
        self.beats += 1
        document = {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold-left-ms": 0,
            "seq-no": self.beats,
            "born": self.born,
        }
        self.deployment.store.put("servers", self.id, document)

    async def send_heartbeats(self) -> None:
        """Register again and again, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    def leave(self) -> None:
        """Leave without having reported it: the registration is removed."""
        self.task.cancel()
        self.deployment.store.put("servers", self.id, None)
        self.deployment.record.write("server", self.id, "leaves; entry removed")

    def crash(self) -> None:
        """End at once, without a word; the registration lapses later."""
        self.up = False
        self.task.cancel()
        self.http.stop()
        key = self.id
        self.deployment.record.write("server", key, "crashes with", self.running)
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_SECONDS, self.lapse, key)

    def lapse(self, key: str) -> None:
        """Remove a registration after three heartbeat intervals of silence."""
        self.deployment.store.put("servers", key, None)

    async def handle(self, request: Request) -> Response | None:
        """Run a request, or reject one that is for another incarnation."""
        if request.fields.get("expect-instance", self.id) != self.id:
            return Response(421, {"Instance-Id": self.id})
        if request.target.startswith("/health"):
            return Response(200, {"Instance-Id": self.id})
        attempt, incarnation = request.fields.get("attempt-id", ""), self.starts
        self.deployment.record.write(
            "run",
            attempt,
            "by",
            self.id,
            request.method,
            request.target,
            "tenant",
            request.fields.get("tenant"),
        )
        at = self.deployment.record.now()
        self.deployment.runs.append(Run(attempt, self.id, at, self.service, request))
        self.running += 1
        await asyncio.sleep(self.work_seconds)
        if incarnation != self.starts or not self.up:
            return None
        self.running -= 1
        fields = {
            "Attempt-Id": attempt,
            "Response-Seal": f"seal.{self.id}.{attempt}",
            "Server-Load": f"{self.running},0,6",
        }
        return Response(200, fields, f"{attempt} {request.target}".encode())


class Run(NamedTuple):
    """Run of a request at a server.

    Attributes:
        attempt: Identifier of the request.
        server: Identifier of the server's incarnation.
        at: Seconds from the start of the run of the case.
        service: Name of the service.
        request: The request, as the server got it.
    """

    attempt: str
    server: str
    at: float
    service: str
    request: Request


class Router:
    """One router: its settings and its process.

    Args:
        number: Number of the router, from 0.
        deployment: The deployment.
    """

    def __init__(self, number: int, deployment: Deployment) -> None:
        #: The deployment.
        self.deployment = deployment
        #: Zone of the router.
        self.zone = ZONES[number % len(ZONES)]
        #: Name of the router's machine.
        self.name = f"edge-{self.zone}-{number // len(ZONES) + 1}"
        pid = os.getpid()
        #: Loopback address of the machine; all routers use the same ports.
        self.host = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{number + 1}"
        #: Process, or None before the start.
        self.process: asyncio.subprocess.Process | None = None
        #: Address at which the router reaches the store.
        self.front_of_store = StoreFront(deployment.store)

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.host}:8227"

    def settings(self, seeds: list[str]) -> dict[str, Any]:
        """Return the settings as the platform writes them."""
        return {
            "node-name": self.name,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": self.host,
            "zone": self.zone,
            "region": "ge-east",
            "zones": dict.fromkeys(ZONES, "ge-east"),
            "listen": {
                "front": self.front,
                "ready": f"{self.host}:8220",
                "control": f"{self.host}:8229",
            },
            "port-range": [7340, 7355],
            "seeds": seeds,
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
            "heartbeat-ms": round(HEARTBEAT_SECONDS * 1000),
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.front_of_store.server.address,
                "form": "table",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "tx-ms": 3.0,
                "part-writes-per-s": 300,
                "row-bytes": 65536,
                "across": True,
                "history-s": HISTORY_SECONDS,
                "blob-bytes": 8388608,
                "blob-ms": 25.0,
                "blob-mb-per-s": 80.0,
            },
        }

    async def start(self, seeds: list[str]) -> None:
        """Start the process with the command of the deploy file."""
        if self.front_of_store.server.server is None:
            await self.front_of_store.server.start()
            self.deployment.store.servers.append(self.front_of_store.server)
        folder = self.deployment.folder
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(seeds)))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PISTACHIOREACH_NODE_FILE": str(path),
            "PISTACHIOREACH_KEYS": "replace-these-characters-in-a-deployment",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *ROUTER_COMMAND,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the router answers the balancer's question with 200."""
        response = await send(f"{self.host}:8220", "GET", "/readiness", {}, timeout=1)
        return response.status == 200

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.deployment.record.write(self.name, "gets signal", number)
            self.process.send_signal(number)


async def send(
    address: str,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout: float = 3.0,
) -> Response:
    """Send a request on a new connection and return the response."""
    host, _, port = address.rpartition(":")
    writer = None
    status, received, content = 0, {}, b""
    lines = [f"{method} {target} HTTP/1.1"]
    fields = {"Host": address, **fields}
    if body or method != "GET":
        fields = {**fields, "Content-Length": str(len(body))}
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(lines) + "\r\n\r\n"
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode("latin-1") + body)
            first, received = await read_head(reader)
            status = int(first.split(" ")[1])
            content = await read_body(reader, received)
            return Response(status, received, content, True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Response(status, received, content)
    finally:
        if writer is not None:
            writer.close()


class Deployment:
    """Routers, the store and servers.

    Args:
        record: Record of the run.
        folder: Temporary folder for settings and logs.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        #: Record of the run.
        self.record = record
        #: Temporary folder.
        self.folder = folder
        #: The store.
        self.store = Store(record)
        #: Routers.
        self.routers: list[Router] = []
        #: Servers.
        self.servers: list[PlainServer] = []
        #: Runs of requests, in order.
        self.runs: list[Run] = []
        #: Number of requests sent.
        self.sent = 0

    async def start(self, routers: int, configuration: dict[str, Any]) -> None:
        """Start the store and the routers, and wait until these are ready."""
        self.configure(configuration)
        for server in self.servers:
            await server.start()
        self.routers = [Router(number, self) for number in range(routers)]
        seeds = [f"{router.host}:8229" for router in self.routers[:3]]
        for router in self.routers:
            await router.start(seeds)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all routers are ready.

        Raises:
            CannotRunError: They are not ready in time.
        """
        for _ in range(200):
            if all([await router.is_ready() for router in self.routers]):
                self.record.write("all routers are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the routers are not ready")

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        row = self.store.put("op", "config", configuration)
        self.record.write(
            "configuration", configuration["version"], "acknowledged, row", row
        )

    async def request(
        self,
        router: Router,
        method: str,
        target: str,
        key: str | None,
        body: bytes = b"",
        deadline_ms: int = 2500,
    ) -> tuple[str, Response]:
        """Send a request of a client; return its identifier and the response."""
        self.sent += 1
        attempt = f"{self.sent:016x}"
        fields = {
            "Host": "ficu95.example",
            "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            fields["Authorization"] = f"Token {key}"
        self.record.write("send", attempt, method, target, "key", key, router.name)
        response = await send(
            router.front, method, target, fields, body, deadline_ms / 1000 + 1
        )
        seal = response.fields.get("response-seal")
        self.record.write("answer", attempt, response.status, "seal", seal)
        return attempt, response

    async def stop(self) -> None:
        """End all processes that were started."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
        for server in self.store.servers:
            server.stop()
        for server in self.servers:
            if server.up:
                server.task.cancel()
                server.http.stop()


def run_case(play: Callable[[Deployment], Awaitable[bool]], folder: Path) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    Args:
        play: Plays the case; returns whether the rule held.
        folder: Folder of the case, in which the record is written.
    """

    async def run() -> int:
        record = Record(folder / "record.txt")
        with tempfile.TemporaryDirectory() as name:
            deployment = Deployment(record, Path(name))
            try:
                async with asyncio.timeout(115):
                    held = await play(deployment)
            except (CannotRunError, TimeoutError, OSError) as error:
                record.write("cannot run:", repr(error))
                return 2
            finally:
                await deployment.stop()
                if kept := os.environ.get("KEEP_LOGS"):
                    for path in Path(name).glob("*.log"):
                        Path(kept, path.name).write_bytes(path.read_bytes())
            record.write("the rule held" if held else "the rule was broken")
            return 0 if held else 1

    sys.exit(asyncio.run(run()))
