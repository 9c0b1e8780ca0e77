"""Complete deployment on loopback: store, engines, a plain service and routers."""

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
from pistachioreach.ports import free_ports
from pistachioreach.router import Router
from pistachioreach.server import bind, port_of, server_config
from pistachioreach.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.platform.standins.store import StoreCopy

__all__ = ["KEY", "StandInDeployment", "caller_fields", "configuration"]

#: API key of the only workspace; also the key that routers share with each other.
KEY = "example-key-of-crews"
#: Seconds between heartbeats of the endpoints, and between checks of a condition.
HEARTBEAT_SECONDS = 0.1
#: Kind of accelerator, failure domain and number of the engines.
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
        version: Version of the configuration.
        keys: API keys of the only workspace.
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
    """Return the header fields of a request from the only workspace.

    Args:
        request: Identifier of the request.
        body: Body of the request.
        key: API key of the workspace.
        seconds: Seconds that the caller waits.
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
        nursery: Nursery in which all parts of the deployment run.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        #: Nursery in which all parts of the deployment run.
        self.nursery = nursery
        #: The store.
        self.store = StandInStore()
        #: Engines by address.
        self.engines: dict[str, StandInEngine] = {}
        #: Endpoints of the plain service by address.
        self.services: dict[str, StandInService] = {}
        #: Routers that have been started.
        self.routers: list[Router] = []
        #: Address of the store, `ip:port`.
        self.store_address = ""
        #: Registrations as last written to the store, by endpoint.
        self.written_registrations: dict[str, Any] = {}

    async def start(self, routers: int = 2) -> None:
        """Start all parts of the deployment and wait until the routers are ready.

        Args:
            routers: Number of routers.
        """
        self.store_address = self.listen(self.store)
        self.store.put("op", "config", configuration())
        for card, domain, count in FLEET:
            for number in range(count):
                id = f"i-{card}-{domain}-{number}"
                engine = StandInEngine(id, card, domain, self.engines)
                self.engines[self.listen(engine)] = engine
        for number in range(2):
            service = StandInService(f"i-bookings-{number}")
            self.services[self.listen(service)] = service
        self.nursery.start_soon(self.send_heartbeats)
        for number in range(routers):
            self.add_router(f"entry-{number}", ("urubamba", "anta")[number % 2])
        while not all(router.ready() for router in self.routers):
            await trio.sleep(HEARTBEAT_SECONDS)

    def listen(self, app: Callable) -> str:
        """Serve an ASGI application on a free port and return its address."""
        listener = bind(Address("127.0.0.1", 0))
        address = f"127.0.0.1:{port_of(listener)}"
        self.nursery.start_soon(serve, app, server_config(listener, timedelta(0), 15))
        return address

    def expire_registrations(self) -> None:
        """Remove all registrations, which expire during a long outage of the store."""
        for id in list(self.written_registrations):
            self.store.put("servers", id, None)
        self.written_registrations.clear()

    def restore_store(self, copy: StoreCopy) -> None:
        """Let the store come back from an older copy.

        The endpoints write their registrations again, and those of endpoints that are
        gone are removed again.
        """
        self.store.restore(copy)
        for table, id in copy.rows:
            if table == "servers" and self.written_registrations.get(id) is None:
                self.store.put("servers", id, None)
        self.written_registrations.clear()

    def add_router(self, name: str, domain: str) -> Router:
        """Start one more router.

        Args:
            name: Name of the router's VM.
            domain: Failure domain of the VM.
        """
        router = self.make_router(name, domain)
        self.routers.append(router)
        self.nursery.start_soon(router.run)
        return router

    def make_router(self, name: str, domain: str) -> Router:
        """Return one more router, which has not been started.

        Args:
            name: Name of the router's VM.
            domain: Failure domain of the VM.
        """
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
            store=self.store_address,
            drain=2.0,
            grace=8.0,
            configuration_apply=2.0,
            retry_ratio=0.2,
            retry_window=10.0,
            retry_slack=198.0,
            stall=2.5,
            first_start=True,
        )
        return Router(settings, (KEY.encode(),), lambda: settings, ports[3])

    async def send_heartbeats(self) -> None:
        """Keep the registrations of all endpoints up to date, forever."""
        while True:
            self.write_registrations()
            await trio.sleep(HEARTBEAT_SECONDS)

    def write_registrations(self) -> None:
        """Write the registrations of all endpoints that have changed.

        Those of dead endpoints, and of those that leave by removal, are removed.
        """
        for address, engine in self.engines.items():
            registration = engine.registration(address, "model")
            self.write_registration(
                engine.id, registration if engine.registered() else None
            )
        for address, service in self.services.items():
            registration = service.registration(address)
            self.write_registration(
                service.id, registration if service.registered() else None
            )

    def write_registration(self, id: str, registration: Any) -> None:
        """Write a registration to the store if it has changed; None removes it."""
        if self.written_registrations.get(id) != registration:
            self.written_registrations[id] = registration
            self.store.put("servers", id, registration)

    def chains_of(self, request: str) -> list[list[tuple[str, int, int]]]:
        """Return the chains on which a request ran.

        Each stage is given as address, first layer and layer after the last.
        """
        return [
            chain
            for engine in self.engines.values()
            for chain in engine.chains.get(request, [])
        ]

    def kill_stage(self, request: str) -> str:
        """Kill the engine at the second stage of a running request.

        Returns:
            The identifier of the engine.
        """
        chain = self.chains_of(request)[0]
        engine = self.engines[chain[1][0]]
        engine.dead = True
        return engine.id

    def complete_response(self, body: bytes = b"x") -> bytes:
        """Return the complete response body of the engines to a given request body."""
        engine = next(iter(self.engines.values()))
        return b"".join(event_bytes(n, body) for n in range(1, engine.events + 1))

    async def wait_until_placed(self) -> None:
        """Wait until, to the knowledge of every router, engines hold all layers."""

        def all_layers_held(router: Router) -> bool:
            layers = {
                layer
                for endpoint in router.platform_view.directory.of_service("model")
                if endpoint.registration.layers
                for layer in range(*endpoint.registration.layers[:2])
            }
            return len(layers) == 80

        while not all(all_layers_held(router) for router in self.routers):
            await trio.sleep(HEARTBEAT_SECONDS)
