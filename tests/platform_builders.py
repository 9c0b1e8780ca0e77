"""Builders of documents, responses and requests of platform, endpoints and callers."""

from __future__ import annotations

import random
import uuid
from contextlib import asynccontextmanager

import msgspec
import trio

from pistachioreach.configuration.row import Member
from pistachioreach.dispatch.relay import EntryRelay
from pistachioreach.endpoints.connections import Exchange, HttpResponse
from pistachioreach.endpoints.directory import (
    Directory,
    Endpoint,
    LayerRange,
    Registration,
)
from pistachioreach.endpoints.http_connection import CONNECTION_EXTENSION
from pistachioreach.endpoints.link_monitor import LinkMonitor
from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.journal import Journal
from pistachioreach.knowledge.contacts import Contacts
from pistachioreach.knowledge.permits import Permits
from pistachioreach.metrics import Metrics
from pistachioreach.placement.plan import PlacedEngine
from pistachioreach.platform.configuration import decode_configuration
from pistachioreach.platform.store import (
    RESPONSE_TIMEOUT_SECONDS,
    UNKNOWN_ERA,
    Snapshot,
    StoredRow,
)
from pistachioreach.routing.demand import (
    OTHER_NAMES,
    DemandReport,
    DemandTracker,
    Usage,
    WorkspaceUsage,
)
from pistachioreach.routing.rate_limits import PermitIssuer
from pistachioreach.routing.routes import Card

#: Accelerators of both users' deployments: memory in MB, step factor, read factor.
CARDS = {
    "a100": (72000.0, 2.4, 3.2),
    "l40s": (43200.0, 5.6, 2.7),
    "l4": (21600.0, 16, 8.2),
}
#: Number of engines by card and failure domain: the deployment of the user Acequia
#: Limpia today, and the same deployment after growth.
SMALL_FLEET = {
    "a100": {"urubamba": 2, "anta": 1, "paucartambo": 1},
    "l40s": {"urubamba": 2, "anta": 3, "paucartambo": 6},
    "l4": {"urubamba": 5, "anta": 8, "paucartambo": 5},
}
GROWN_FLEET = {
    "a100": {"urubamba": 4, "anta": 2, "paucartambo": 2},
    "l40s": {"urubamba": 6, "anta": 9, "paucartambo": 15},
    "l4": {"urubamba": 14, "anta": 22, "paucartambo": 12},
}
#: Engines of a deployment with accelerators that the grid of 8 layers does not fit, and
#: of its copy with a fifth of the engines.
UNEVEN_FLEET = {
    "a100": {"urubamba": 4, "anta": 3, "paucartambo": 2},
    "v100": {"urubamba": 10, "anta": 14, "paucartambo": 24},
    "l4": {"urubamba": 11, "anta": 16, "paucartambo": 9},
}
UNEVEN_COPY = {
    "a100": {"urubamba": 1, "anta": 1},
    "v100": {"urubamba": 2, "anta": 3, "paucartambo": 5},
    "l4": {"urubamba": 2, "anta": 3, "paucartambo": 2},
}


class FakeClock:
    """Monotonic clock that advances only when the test advances it."""

    def __init__(self):
        self.time = 100.0

    def monotonic(self):
        return self.time

    def advance(self, seconds):
        self.time += seconds


class TimedStore:
    """Store in memory, for virtual time: it answers after a few milliseconds.

    While it is away, calls fail after their timeout.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = UNKNOWN_ERA
        self.restore_count = 0
        self.away = False
        self.changed = trio.Event()

    def put(self, table, key, document):
        """Write a row, or remove it if the document is None."""
        self.version += 1
        value = None if document is None else msgspec.json.encode(document)
        self.rows[table, key] = StoredRow(key, self.version, value)
        self.changed.set()
        self.changed = trio.Event()

    def changes(self, table, after):
        return tuple(
            row
            for (name, _), row in self.rows.items()
            if name == table and row.version > after
        )

    async def respond(self, timeout):
        if self.away:
            await trio.sleep(timeout)
            raise StoreUnavailable("no answer")
        await trio.sleep(0.004)

    async def read(self, table):
        await self.respond(RESPONSE_TIMEOUT_SECONDS)
        rows = self.changes(table, -1)
        present = tuple(row for row in rows if row.value is not None)
        return Snapshot(present, self.version, 0.0)

    async def wait_for_changes(self, table, after, wait):
        await self.respond(wait + RESPONSE_TIMEOUT_SECONDS)
        with trio.move_on_after(wait):
            while not self.changes(table, after):
                await self.changed.wait()
        await self.respond(RESPONSE_TIMEOUT_SECONDS)
        return Snapshot(self.changes(table, after), self.version, 0.0)


class SoundConnection:
    """Connection on which each body is that of its own response."""

    def check_body(self, body):
        pass


class ScriptedResponse:
    """Scripted response of an endpoint: a status, header fields and body steps.

    A step is bytes to send, seconds to wait, or an exception to raise.
    """

    def __init__(
        self, *steps, status=200, not_run=False, request="9c41d07be2a35f68", fields=()
    ):
        self.steps = steps
        self.status = status
        self.extensions = {CONNECTION_EXTENSION: SoundConnection()}
        self.headers = [(b"attempt-id", request.encode()), *fields]
        if not_run:
            self.headers.append((b"not-executed", b"1"))
        else:
            self.headers.append((b"response-seal", b"seal"))

    async def aiter_stream(self):
        for step in self.steps:
            if isinstance(step, Exception):
                raise step
            if isinstance(step, bytes):
                yield step
            else:
                await trio.sleep(step)

    async def aread(self):
        return b"".join([part async for part in self.aiter_stream()])


async def wait_for_nothing(peer, path):
    """Open a connection at once."""


class ScriptedConnections:
    """Connections on which each `send` returns the next scripted response."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.sent = []
        # Whether each request had to go on a new connection.
        self.fresh = []
        self.calls = []
        # Status and body of the response to `call` by path; other paths fail.
        self.call_responses = {}
        # Whether the peers still accept connections after one broke.
        self.listening = False
        # Called with the peer and the path of each request and order before it is sent,
        # while its connection is being opened.
        self.opening = wait_for_nothing

    async def is_listening(self, address):
        return self.listening

    async def call(
        self,
        peer,
        address,
        method,
        path,
        body=b"",
        headers=(),
        fresh=False,
        on_send=lambda: None,
    ):
        await self.opening(peer, path)
        on_send()
        self.calls.append((peer, path, body and msgspec.json.decode(body)))
        if path not in self.call_responses:
            raise ConnectionFailed(peer, False, "no response")
        status, document = self.call_responses[path]
        return HttpResponse(status, {}, msgspec.json.encode(document))

    @asynccontextmanager
    async def send(
        self,
        peer,
        address,
        method,
        target,
        fields,
        body,
        fresh=False,
        unlimited=False,
        on_send=lambda: None,
    ):
        await self.opening(peer, target.decode())
        on_send()
        self.sent.append((peer, dict(fields)))
        self.fresh.append(fresh)
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        await trio.sleep(0.001)
        yield Exchange(response)


class LoneEntries:
    """The other entries of an entry that has none."""

    own_member = Member("entry-1", "127.0.0.1:1", "urubamba", "", 0.0)
    members = {"entry-1": own_member}

    def __init__(self, clock):
        self.contacts = Contacts(clock, random.Random(1))

    def registered_count(self):
        return len(self.members)


def lone_permits(clock, limits):
    """Return the permits of an entry without others."""
    issuer, entries = PermitIssuer(clock), LoneEntries(clock)
    return Permits(limits, issuer, entries, None, "run-1", clock)


def sound_links(clock):
    """Return the monitor of an entry that is not cut off and has no endpoints."""

    async def is_listening(address):
        return True

    return LinkMonitor(Directory(), is_listening, clock, random.Random(1))


#: Key of the entries by which an entry proves that it sends a request.
RELAY_KEY = b"a-key-of-the-tests"


def lone_relay(clock, connections, links):
    """Return the relay of an entry without others."""
    return EntryRelay(
        LoneEntries(clock),
        connections,
        links,
        links.directory,
        Journal(clock),
        Metrics(),
        clock,
        random.Random(1),
        RELAY_KEY,
    )


class RecordedResponse:
    """Records the response that a caller receives."""

    def __init__(self, delay=0.0):
        self.started = False
        self.status = None
        self.data = b""
        self.ended = False
        self.times = []
        self.delay = delay

    async def start(self, status, fields):
        self.started, self.status = True, status

    async def send(self, data):
        await trio.sleep(self.delay)
        self.data += data
        self.times.append(trio.current_time())

    async def end(self):
        self.ended = True


def events(first, last):
    """Return the bytes of the events with the numbers `first` to `last`."""
    return b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(first, last + 1))


def engine_document():
    """Return the model of an engine service as the operator configures it."""
    return {
        "slots": 96,
        "kv-capacity": 50000,
        "kv-token-bytes": 1836000,
        "link-mbps": 400000.0,
        "stride": 3,
        "models": [{"name": "m", "pace": 1.0, "load-s": 14.0, "warmup-s": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01428,
        "context_per_k": 0.01912,
        "read_per_s": 105000.0,
        "pairs_per_m": 0.309,
        "chunk": 512,
        "loads_at_once": 5,
        "usual": {"prompt": 774, "answer": 204},
        "layers": 80,
        "layer-mb": 1750.0,
        "activation-bytes": 91800,
        "pipe-mbps": 22000.0,
        "kinds": [
            {"name": name, "size-mb": size, "pace": pace, "read-factor": read}
            for name, (size, pace, read) in CARDS.items()
        ],
    }


def route_document(prefix="/plans/", kind="streaming", service="engines", **fields):
    """Return a route as the operator configures it."""
    route = {
        "name": f"r{prefix}",
        "host": "crews.example",
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 20000,
        "slo-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "resumable": kind == "streaming",
        "gap-target-ms": 200 if kind == "streaming" else None,
    }
    return route | fields


def configuration_document(version=7, routes=None, **fields):
    """Return a configuration document as the operator writes it."""
    document = {
        "version": version,
        "routes": routes
        or [
            route_document(),
            route_document("/bookings/", "non_idempotent", "bookings"),
            route_document("/schedules/", "idempotent", "bookings"),
        ],
        "services": [
            {"name": "engines", "max-conns": 968, "engine": engine_document()},
            {"name": "bookings", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "crews", "api-keys": ["key-1", "key-2"], "priority": 3}],
    }
    return document | fields


def sound_document(**fields):
    """Return a configuration document in which a check finds nothing."""
    routes = [
        route_document(),
        route_document(
            "/bookings/", "non_idempotent", "bookings", **{"max-attempts": 1}
        ),
        route_document("/schedules/", "idempotent", "bookings"),
    ]
    return configuration_document(routes=routes, **fields)


def replace_field(document, path, value):
    """Replace one value in a document, and return the document.

    Args:
        document: Objects and lists, nested in each other.
        path: Names and indices that lead to the value.
        value: The new value.
    """
    parent = document
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return document


def route_table(**fields):
    """Return the route table decoded from a configuration document."""
    return decode_configuration(msgspec.json.encode(configuration_document(**fields)))


def engine_model():
    """Return the model that both users run."""
    return route_table().services["engines"].engine


def uneven_model(link_mbps=6640.0):
    """Return the model of the deployment that the grid of 8 layers does not fit."""
    cards = {
        "a100": Card(72000.0, 2.4, 3.2),
        "v100": Card(14400.0, 5.3, 7.9),
        "l4": Card(21600.0, 16.0, 8.2),
    }
    return engine_model()._replace(
        token_bytes=590000.0,
        step_ms=1.02,
        request_ms=0.00459,
        prefill_ms=1 / 196,
        steps_per_pass=5,
        activation_bytes=29500.0,
        mean_prompt_tokens=760.0,
        mean_answer_tokens=230.0,
        link_mbps=link_mbps,
        cards=cards,
    )


def registration_document(**fields):
    """Return the registration that an endpoint writes to the store."""
    registration = {
        "service": "engines",
        "address": "10.1.64.9:8080",
        "zone": "urubamba",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "cold-left-ms": 0,
        "born": 1700000000000,
        "kind": "a100",
        "layers": {"from": 0, "target": 24, "version": 1},
        "seq-no": 4,
    }
    return registration | fields


def endpoint(id, first=0, last=80, card="a100", domain="urubamba", **fields):
    """Return an engine that holds a range of layers."""
    registration = Registration(
        id=id,
        service=fields.get("service", "engines"),
        address=fields.get("address", f"127.0.0.1:{10000 + len(id)}"),
        failure_domain=domain,
        started_ms=fields.get("born", 1),
        leaving=fields.get("leaving", False),
        slots=fields.get("slots", 96),
        card=card,
        layers=LayerRange(first, last, 1) if last > first else None,
    )
    return Endpoint(registration)


def engines_without_layers(table):
    """Return the engines of a deployment; none of them holds a layer.

    Args:
        table: Number of engines by card and failure domain.
    """
    return [
        PlacedEngine(f"{domain}-{card}-{number}", card, domain, None)
        for card, domains in table.items()
        for domain, count in domains.items()
        for number in range(count)
    ]


def endpoints_in_layout(engines, layout):
    """Return the endpoints of the engines in a layout, with the layers it assigns."""
    return [
        endpoint(engine.id, *layout[engine.id], engine.card, engine.failure_domain)
        for engine in engines
        if engine.id in layout
    ]


def caller_fields(**fields):
    """Return the header fields of a caller's request."""
    values = {
        "host": "crews.example",
        "attempt-id": "9c41d07be2a35f68",
        "deadline-ms": "20000",
        "authorization": "Token key-1",
    }
    values |= {name.replace("_", "-"): value for name, value in fields.items()}
    return [
        (name.encode(), value.encode())
        for name, value in values.items()
        if value is not None
    ]


def demand_report(
    source, workspaces=64, priorities=5, domains=5, others=True, characters=36
):
    """Return a report of random demand.

    Args:
        source: Random number generator.
        workspaces: Number of named workspaces.
        priorities: Number of priorities; there are twice as many tiers.
        domains: Number of failure domains.
        others: Whether there is demand of workspaces that are not named.
        characters: Length of the workspaces' names, at most 36.
    """
    names = [
        str(uuid.UUID(int=source.getrandbits(128)))[:characters]
        for _ in range(workspaces)
    ]
    return DemandReport(
        {p: Usage(source.randrange(1, 500), amount(source)) for p in range(priorities)},
        {
            t: Usage(source.randrange(1, 90), amount(source))
            for t in range(2 * priorities)
        },
        {
            name: WorkspaceUsage(amount(source), amount(source))
            for name in names + [OTHER_NAMES] * others
        },
        {f"domain-{number}": amount(source) for number in range(domains)},
        amount(source),
    )


def amount(source):
    """Return a random amount in a demand report."""
    return float(source.randrange(1, 10**6))


def busy_tracker(source, streams=20, workspaces=200, domain="urubamba"):
    """Return the demand of an entry with random streams, and these streams.

    Returns:
        The tracker, and the workspace, priority and tokens of each running and each
        waiting stream.
    """
    tracker = DemandTracker(domain)
    running, waiting = (
        [
            (f"crew-{source.randrange(workspaces)}", source.randrange(3), tokens)
            for tokens in source.choices(range(300, 1500), k=streams)
        ]
        for _ in range(2)
    )
    for stream in running:
        tracker.stream_runs(*stream)
    for stream in waiting:
        tracker.stream_waits(*stream)
    return tracker, running, waiting


def member_document(**fields):
    """Return the row by which an entry registers itself."""
    member = {
        "name": "entry-9",
        "address": "127.0.0.1:9",
        "failure_domain": "urubamba",
        "incarnation": "",
        "joined": 0.0,
    }
    return member | fields


def encode_document(document):
    """Return a document as the bytes of a row."""
    return msgspec.json.encode(document)
