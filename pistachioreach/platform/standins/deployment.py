"""A whole deployment on loopback: store, engines, a plain service and routers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

import trio
from hypercorn.trio import serve

from pistachioreach.platform.node_file import VmSettings
from pistachioreach.platform.standins.engine import (
    StandInEngine,
    StandInService,
    event_bytes,
)
from pistachioreach.platform.standins.store import StandInStore
from pistachioreach.router import Router
from pistachioreach.server import bind, free_ports, port_of, server_config
from pistachioreach.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["KEY", "StandInDeployment", "caller_fields", "configuration"]

#: Key of the one workspace, and of the entries.
KEY = "example-key-of-crews"
#: Seconds between two looks at what the engines hold.
HEARTBEAT_SECONDS = 0.1
#: Cards by failure domain.
FLEET = (
    ("a100", "urubamba", 2),
    ("l40s", "urubamba", 2),
    ("a100", "anta", 1),
    ("l40s", "anta", 3),
    ("l4", "anta", 2),
)


def configuration(version: int = 1, keys: tuple[str, ...] = (KEY,)) -> dict[str, Any]:
    """Return a configuration with a model and a plain service.

    Args:
        version: Its version.
        keys: Keys of the one workspace.
    """
    kinds = (("a100", 72000, 2.4, 3.2), ("l40s", 43200, 5.6, 2.7), ("l4", 21600, 16, 8))
    engine = {
        "slots": 96,
        "kv-token-bytes": 1836000,
        "stride": 3,
        "models": [{"name": "m", "load-s": 14.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.014,
        "context_per_k": 0.019,
        "read_per_s": 105000.0,
        "chunk": 512,
        "usual": {"prompt": 774, "answer": 204},
        "layers": 80,
        "layer-mb": 1750.0,
        "activation-bytes": 91800,
        "pipe-mbps": 22000.0,
        "kinds": [
            {"name": name, "size-mb": size, "pace": pace, "read-factor": read}
            for name, size, pace, read in kinds
        ],
    }
    common = {"host": "crews.example", "slo-ms": 500, "timeout-ms": 20000}
    plans = {"name": "plans", "prefix": "/plans/", "kind": "streaming"}
    plans |= {"service": "model", "resumable": True, "gap-target-ms": 200}
    bookings = {"name": "bookings", "prefix": "/bookings/", "kind": "non_idempotent"}
    schedules = {"name": "schedules", "prefix": "/schedules/", "kind": "idempotent"}
    return {
        "version": version,
        "routes": [
            common | plans | {"max-attempts": 2},
            common | bookings | {"service": "bookings", "max-attempts": 1},
            common | schedules | {"service": "bookings", "max-attempts": 2},
        ],
        "services": [{"name": "model", "engine": engine}, {"name": "bookings"}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "crews", "api-keys": list(keys), "priority": 1}],
    }


def caller_fields(
    request: str, body: bytes = b"{}", key: str = KEY, seconds: float = 20.0
) -> list[tuple[str, str]]:
    """Return the header fields of a request of the one workspace.

    Args:
        request: Identifier of the request.
        body: Its body.
        key: Key of the workspace.
        seconds: Time that the caller waits.
    """
    return [
        ("host", "crews.example"),
        ("attempt-id", request),
        ("deadline-ms", str(round(seconds * 1000))),
        ("authorization", f"Token {key}"),
        ("content-length", str(len(body))),
    ]


class StandInDeployment:
    """Store, engines, a plain service and routers in one process.

    Args:
        nursery: Runs all of them.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        #: Runs all of them.
        self.nursery = nursery
        #: The store.
        self.store = StandInStore()
        #: Engines by address.
        self.engines: dict[str, StandInEngine] = {}
        #: Servers of the plain service by address.
        self.services: dict[str, StandInService] = {}
        #: Running routers.
        self.routers: list[Router] = []
        #: Address of the store.
        self.address = ""
        #: Registrations in the store, as they were written.
        self.written: dict[str, Any] = {}

    async def start(self, routers: int = 2) -> None:
        """Start everything and wait until the routers are ready."""
        self.address = self.listen(self.store)
        self.store.put("op", "config", configuration())
        for card, domain, count in FLEET:
            for number in range(count):
                id = f"i-{card}-{domain}-{number}"
                engine = StandInEngine(id, card, domain, self.engines)
                self.engines[self.listen(engine)] = engine
        for number in range(2):
            service = StandInService(f"i-bookings-{number}")
            self.services[self.listen(service)] = service
        self.nursery.start_soon(self.heartbeats)
        for number in range(routers):
            self.add_router(f"entry-{number}", ("urubamba", "anta")[number % 2])
        while not all(router.ready() for router in self.routers):
            await trio.sleep(HEARTBEAT_SECONDS)

    def listen(self, app: Callable) -> str:
        """Serve an application on a free port and return its address."""
        listener = bind(Address("127.0.0.1", 0))
        address = f"127.0.0.1:{port_of(listener)}"
        self.nursery.start_soon(serve, app, server_config(listener, timedelta(0), 15))
        return address

    def expire_registrations(self) -> None:
        """Let all registrations lapse, as after a long outage of the store."""
        for id in list(self.written):
            self.store.put("servers", id, None)
        self.written.clear()

    def add_router(self, name: str, domain: str) -> Router:
        """Start one more router."""
        ports = free_ports(4)
        callers, readiness, peers = (f"127.0.0.1:{port}" for port in ports[:3])
        settings = VmSettings(
            name=name,
            failure_domain=domain,
            callers=callers,
            readiness=readiness,
            peers=peers,
            seeds=(),
            memory_mb=300.0,
            max_descriptors=4000,
            store=self.address,
            drain=2.0,
            grace=8.0,
            configuration_apply=2.0,
            retry_ratio=0.2,
            retry_window=10.0,
            retry_slack=198.0,
            stall=2.5,
        )
        router = Router(settings, (KEY.encode(),), lambda: settings, ports[3])
        self.routers.append(router)
        self.nursery.start_soon(router.run)
        return router

    async def heartbeats(self) -> None:
        """Let each live engine and server write what it is, for ever."""
        while True:
            for address, engine in self.engines.items():
                entry = None
                if not engine.dead:
                    entry = engine.registration(address, "model")
                self.write(engine.id, entry)
            for address, service in self.services.items():
                self.write(service.id, service.registration(address))
            await trio.sleep(HEARTBEAT_SECONDS)

    def write(self, id: str, entry: Any) -> None:
        """Write a registration that has changed."""
        if self.written.get(id) != entry:
            self.written[id] = entry
            self.store.put("servers", id, entry)

    def chains_of(self, request: str) -> list[list[tuple[str, int, int]]]:
        """Return the chains on which a request ran: address and layers of stages."""
        return [
            chain
            for engine in self.engines.values()
            for chain in engine.chains.get(request, [])
        ]

    def kill_stage(self, request: str) -> str:
        """Kill the second stage of a running request and return its id."""
        chain = self.chains_of(request)[0]
        engine = self.engines[chain[1][0]]
        engine.dead = True
        return engine.id

    def complete_response(self, body: bytes = b"x") -> bytes:
        """Return the answer of the engines to a request with a body."""
        engine = next(iter(self.engines.values()))
        return b"".join(event_bytes(n, body) for n in range(1, engine.events + 1))

    async def wait_until_placed(self) -> None:
        """Wait until the engines hold all layers and the routers know it."""

        def covered(router: Router) -> bool:
            held = {
                layer
                for endpoint in router.platform_view.directory.of_service("model")
                if endpoint.registration.layers
                for layer in range(*endpoint.registration.layers[:2])
            }
            return len(held) == 80

        while not all(covered(router) for router in self.routers):
            await trio.sleep(HEARTBEAT_SECONDS)
