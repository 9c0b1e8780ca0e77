"""Environment of a run: stand-ins, links and routers, with fault injection."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from pistachioreach.platform.standins.deployment import (
    StandInDeployment,
)
from pistachioreach.platform.standins.endpoint import BY_REPORT
from pistachioreach.platform.standins.engine import WRONG_BYTES
from pistachioreach.platform.standins.store import send_json
from pistachioreach.server import serve_lifespan
from soak.cuts import CUTS, cut_routers, disturb_links
from soak.keys import WorkspaceKeys
from soak.leaving import LeavingEndpoints
from soak.odd_callers import OddCaller
from soak.proxy import FROM_TARGET, TO_TARGET, LinkProxy
from soak.routers import RouterProcess

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.platform.standins.engine import StandInService
    from soak.checks import RunRecord
    from soak.plan import Fault, Plan
    from soak.routers import RunFolders

__all__ = ["SoakEnvironment"]

#: Seconds between two health checks of the balancer, and timeout of each.
HEALTH_CHECK_SECONDS = 0.5
#: Number of consecutive failed health checks after which the balancer no longer
#: sends requests to a router.
UNHEALTHY_CHECKS = 2
#: Seconds by which a slow link or store delays bytes or responses.
SLOW_SECONDS = 0.15
#: Number of incomplete responses that one fault of the store or service causes.
LOST_RESPONSES = 3
#: Seconds for which the store is away before it comes back from a copy.
RESTORE_SECONDS = 0.7
#: Number of versions that the store loses with each copy.
LOST_VERSIONS = 300
#: Number of layers of the model.
LAYER_COUNT = 80


class StoreGate:
    """ASGI application between one router and the store; can reject its requests.

    Args:
        store: ASGI application of the store.
    """

    def __init__(self, store: Callable) -> None:
        #: ASGI application of the store.
        self.store = store
        #: Whether all requests are rejected with status 503.
        self.refusing = False

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "http" and self.refusing:
            await send_json(send, 503, {})
        elif scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        else:
            await self.store(scope, receive, send)


class SoakDeployment(StandInDeployment):
    """Stand-ins, each behind a link proxy that can inject faults.

    Args:
        nursery: Nursery in which all stand-ins and proxies run.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        #: Link proxies by the address on which they listen.
        self.links: dict[str, LinkProxy] = {}

    def listen(self, app: Callable) -> str:
        """Serve an ASGI application behind a link proxy; return the proxy's address."""
        link = LinkProxy(super().listen(app))
        self.links[link.address] = link
        self.nursery.start_soon(link.run)
        return link.address


class SoakEnvironment:
    """All parts of a run except the callers: stand-ins, links, routers and balancer.

    Args:
        nursery: Nursery in which all parts run.
        plan: Parameters and faults of the run.
        folders: Folders that the run uses.
        record: Record of the run.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        plan: Plan,
        folders: RunFolders,
        record: RunRecord,
    ) -> None:
        #: Nursery in which all parts run.
        self.nursery = nursery
        #: Record of the run.
        self.record = record
        #: Source of random choices of links that repeat responses.
        self.random = random.Random(plan.seed)
        #: Stand-ins for the store, the engines and the plain service.
        self.deployment = SoakDeployment(nursery)
        #: API keys of the workspace.
        self.keys = WorkspaceKeys()
        #: Number of odd callers so far.
        self.odd_callers = 0
        #: Gate between each router and the store, by number of the router.
        self.gates: list[StoreGate] = []
        #: Link between each router and its gate, by number of the router.
        self.store_links: list[LinkProxy] = []
        #: Router processes by number of the router.
        self.routers: list[RouterProcess] = []
        #: Names of the routers to which the balancer sends requests.
        self.ready_routers: set[str] = set()
        for number in range(plan.router_count):
            gate = StoreGate(self.deployment.store)
            address = self.deployment.listen(gate)
            self.gates.append(gate)
            self.store_links.append(self.deployment.links[address])
            self.routers.append(RouterProcess(number, address, folders, record))
        #: Endpoints that leave.
        self.leaving = LeavingEndpoints(self.deployment, self.routers, record)

    async def start(self) -> None:
        """Start all parts, and wait until routers are ready and all layers are held."""
        await self.deployment.start(routers=0)
        self.leaving.observe_requests()
        self.deployment.store.put("op", "config", self.keys.configuration())
        for router in self.routers:
            self.nursery.start_soon(router.link.run)
            await router.start()
            self.nursery.start_soon(router.watch_exits)
            self.nursery.start_soon(self.check_readiness, router)
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all routers are ready and live engines hold all layers."""
        while len(self.ready_routers) < len(self.routers) or not self.all_layers_held():
            await trio.sleep(0.05)

    def all_layers_held(self) -> bool:
        """Return whether live engines hold all layers."""
        held = {
            layer
            for engine in self.deployment.engines.values()
            if engine.layers and not engine.dead and not engine.hung
            for layer in range(*engine.layers)
        }
        return len(held) == LAYER_COUNT

    async def check_readiness(self, router: RouterProcess) -> None:
        """Check the readiness of one router forever, as the balancer does."""
        failed_checks = 0
        connections = Connections()
        address = f"{router.host}:{router.ready_port}"
        while True:
            ready = False
            with trio.move_on_after(HEALTH_CHECK_SECONDS):
                try:
                    response = await connections.call(
                        router.name, address, "GET", "/ready"
                    )
                    ready = response.status == 200
                except ConnectionFailed:
                    # The failed connection counts as a failed check.
                    ready = False
            failed_checks = 0 if ready else failed_checks + 1
            if ready:
                self.ready_routers.add(router.name)
                router.mark_ready()
            elif failed_checks >= UNHEALTHY_CHECKS:
                self.ready_routers.discard(router.name)
            await trio.sleep(HEALTH_CHECK_SECONDS)

    def count_runs(self) -> Counter[str]:
        """Return how often each attempt was executed at endpoints, and check chains."""
        runs: Counter[str] = Counter()
        for service in self.deployment.services.values():
            runs.update(service.runs)
        for engine in self.deployment.engines.values():
            for request, chains in engine.chains.items():
                runs[request] += len(chains)
                for chain in chains:
                    self.check_layers(request, chain)
        return runs

    def check_layers(self, request: str, chain: list[tuple[str, int, int]]) -> None:
        """Check that a chain of engines covers each layer once and in order.

        Args:
            request: Identifier of the attempt that ran on the chain.
            chain: Address, first layer and layer after the last, for each stage.
        """
        edges = [0, *(last for _, _, last in chain)]
        starts = [first for _, first, _ in chain]
        if starts != edges[:-1] or edges[-1] != LAYER_COUNT:
            self.record.add_violation(f"{request} ran through layers {chain}")

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and wait until the fault has ended."""
        subject, _, effect = fault.kind.partition(" ")
        actions = {
            "router": self.inject_router_fault,
            "all": self.inject_fault_in_all_routers,
            "callers'": self.inject_caller_link_fault,
            "store": self.inject_store_fault,
            "engine": self.inject_engine_fault,
            "service": self.inject_service_fault,
            "keys": self.rotate_keys,
            "links": self.inject_fault_in_many_links,
            "odd": self.run_odd_caller,
            "leaving": self.leaving.inject,
        }
        if subject not in ("engine", "service"):
            await actions[subject](effect, fault)
            return
        endpoints = self.deployment.engines
        if subject == "service":
            endpoints = self.deployment.services
        endpoint = list(endpoints.values())[fault.target % len(endpoints)]
        self.record.begin_period(endpoint.id)
        await actions[subject](effect, fault)
        if effect == "loses answers":
            self.nursery.start_soon(self.end_period_of_lost_answers, endpoint)
        else:
            self.record.end_period(endpoint.id)

    async def end_period_of_lost_answers(self, service: StandInService) -> None:
        """Record that a service is sound again after it has lost its last answer."""
        while service.lost_answers:
            await trio.sleep(0.05)
        self.record.end_period(service.id)

    async def run_odd_caller(self, effect: str, fault: Fault) -> None:
        """Let one caller send unusual requests to all routers for some time."""
        self.odd_callers += 1
        caller = OddCaller(self, self.odd_callers, fault.target)
        with trio.move_on_after(fault.duration_seconds):
            await caller.run()

    def endpoint_links(self) -> list[LinkProxy]:
        """Return the links of all engines and endpoints of the plain service."""
        addresses = (*self.deployment.engines, *self.deployment.services)
        return [self.deployment.links[address] for address in addresses]

    async def inject_fault_in_many_links(self, effect: str, fault: Fault) -> None:
        """Disturb the links of many sound endpoints, or cut routers off from all."""
        disturb = cut_routers if effect in CUTS else disturb_links
        await disturb(self.routers, self.endpoint_links(), effect, fault, self.record)

    async def inject_router_fault(self, effect: str, fault: Fault) -> None:
        """Kill, pause, terminate or cut off one router, or cut off most of them."""
        if effect in CUTS:
            await self.inject_fault_in_many_links(effect, fault)
            return
        router = self.routers[fault.target % len(self.routers)]
        actions = {
            "killed": router.kill,
            "stopped for a while": router.pause,
            "terminated": router.terminate,
        }
        await actions[effect](fault.duration_seconds)

    async def inject_fault_in_all_routers(self, effect: str, fault: Fault) -> None:
        """Kill all routers at once, or terminate them one after another."""
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                if effect == "routers killed":
                    nursery.start_soon(router.kill, fault.duration_seconds)
                else:
                    nursery.start_soon(router.terminate, fault.duration_seconds)
                    await trio.sleep(1.0)

    async def inject_caller_link_fault(self, effect: str, fault: Fault) -> None:
        """Inject a fault into the link between the callers and one router."""
        router = self.routers[fault.target % len(self.routers)]
        await self.inject_link_fault(
            router.name, router.link, effect, fault.duration_seconds
        )

    async def inject_link_fault(
        self, subject: str, link: LinkProxy, effect: str, duration_seconds: float
    ) -> None:
        """Reset the connections of a link, or disturb its bytes for some time.

        Args:
            subject: Subject for which the disturbance is recorded.
            link: Link that gets the fault.
            effect: `link reset`, `link slow`, `link silent`, `link one way` or `link
                repeats responses`.
            duration_seconds: Seconds that the fault lasts.
        """
        self.record.begin_disturbance(subject, effect)
        if effect == "link reset":
            link.reset_connections()
        elif effect == "link slow":
            link.delay_seconds = SLOW_SECONDS
            await trio.sleep(duration_seconds)
            link.delay_seconds = 0.0
        elif effect == "link repeats responses":
            link.repeats = self.random
            await trio.sleep(duration_seconds)
            link.repeats = None
        else:
            link.pause(
                (TO_TARGET, FROM_TARGET) if effect == "link silent" else (FROM_TARGET,)
            )
            await trio.sleep(duration_seconds)
            link.resume()
        self.record.end_disturbance(subject, effect)

    async def inject_store_fault(self, effect: str, fault: Fault) -> None:
        """Inject a fault into the store, or into one router's link to the store."""
        number = fault.target % len(self.routers)
        if effect.startswith("link"):
            name, link = self.routers[number].name, self.store_links[number]
            await self.inject_link_fault(name, link, effect, fault.duration_seconds)
            return
        store = self.deployment.store
        if effect == "comes back from a copy":
            await self.restore_store(fault)
            return
        if effect == "cut off from its readers":
            await self.cut_off_readers(fault)
            return
        if effect == "turns some away":
            gates = [g for n, g in enumerate(self.gates) if fault.target >> n & 1]
            self.record.log_event(f"store rejects requests of {len(gates)} routers")
            for gate in gates:
                gate.refusing = True
            await trio.sleep(fault.duration_seconds)
            for gate in gates:
                gate.refusing = False
            return
        self.record.begin_disturbance("store", effect)
        if effect == "loses answers":
            store.faults.lost_writes += LOST_RESPONSES
        elif effect == "forgets its history":
            store.drop_history()
        else:
            await self.inject_store_outage(effect, fault)
        self.record.end_disturbance("store", effect)

    async def restore_store(self, fault: Fault) -> None:
        """Let the store come back from a copy, with some targets twice in a row.

        The age of the copy is the duration of the fault. The operator and the endpoints
        write again what they wrote, and the keys change afterwards.
        """
        store = self.deployment.store
        copy = store.copy()
        await trio.sleep(fault.duration_seconds)
        # Without as many versions, those written again would pass the lost ones.
        for _ in range(LOST_VERSIONS):
            store.put("heartbeats", "endpoint", {})
        self.record.begin_disturbance("store", fault.kind)
        for _ in range(2 if fault.target % 3 == 0 else 1):
            store.faults.status = 503
            await trio.sleep(RESTORE_SECONDS)
            store.faults.status = 0
            self.deployment.restore_store(copy)
            store.put("op", "config", self.keys.configuration())
        self.record.end_disturbance("store", fault.kind)
        await self.rotate_keys("change", fault)

    async def cut_off_readers(self, fault: Fault) -> None:
        """Hold back all bytes between the store and the routers that read it for all.

        These are the first ones by name; the target says whether one, two or three.
        """
        readers = list(zip(self.routers, self.store_links, strict=True))
        readers = readers[: 1 + fault.target % 3]
        for router, link in readers:
            self.record.begin_disturbance(router.name, fault.kind)
            link.pause((TO_TARGET, FROM_TARGET))
        await trio.sleep(fault.duration_seconds)
        for router, link in readers:
            link.resume()
            self.record.end_disturbance(router.name, fault.kind)

    async def inject_store_outage(self, effect: str, fault: Fault) -> None:
        """Make the store reject requests, not respond, or respond slowly for some time.

        After a rejecting outage with an odd target, all registrations are removed, as
        if they had expired during the outage.
        """
        faults = self.deployment.store.faults
        name, value, normal = {
            "down": ("status", 503, 0),
            "silent": ("silent", True, False),
            "slow": ("delay", SLOW_SECONDS, 0.0),
        }[effect]
        setattr(faults, name, value)
        await trio.sleep(fault.duration_seconds)
        setattr(faults, name, normal)
        if effect == "down" and fault.target % 2:
            self.record.log_event("registrations expire")
            self.deployment.expire_registrations()

    async def inject_engine_fault(self, effect: str, fault: Fault) -> None:
        """Inject a fault into one engine, or into the link to the engine.

        A fault of an engine that is already dead, hung or leaving is skipped. An engine
        that was killed restarts after at most 2 s.
        """
        engines = list(self.deployment.engines.items())
        address, engine = engines[fault.target % len(engines)]
        link = self.deployment.links[address]
        if effect.startswith("link"):
            await self.inject_link_fault(
                "endpoints", link, effect, fault.duration_seconds
            )
            return
        if engine.dead or engine.hung or engine.leaving:
            return
        if effect == "leaves":
            await self.leaving.leave(engine, BY_REPORT, fault.duration_seconds)
            return
        self.record.begin_disturbance("endpoints", f"{engine.id} {effect}")
        if effect == "hangs":
            engine.hung = True
            await trio.sleep(fault.duration_seconds)
            engine.hung = False
        elif effect == "sends wrong bytes":
            engine.wrong_bytes = WRONG_BYTES[fault.target % len(WRONG_BYTES)]
            await trio.sleep(fault.duration_seconds)
            engine.wrong_bytes = None
        else:
            engine.dead = True
            link.reset_connections()
            await trio.sleep(min(fault.duration_seconds, 2.0))
            engine.restart()
        self.record.end_disturbance("endpoints", f"{engine.id} {effect}")

    async def inject_service_fault(self, effect: str, fault: Fault) -> None:
        """Inject a fault into one endpoint of the plain service, or into its link."""
        services = list(self.deployment.services.items())
        address, service = services[fault.target % len(services)]
        if effect.startswith("link"):
            link = self.deployment.links[address]
            await self.inject_link_fault(
                "endpoints", link, effect, fault.duration_seconds
            )
        elif effect == "loses answers":
            self.record.add_disturbance("endpoints", f"{service.id} {effect}")
            service.lost_answers += LOST_RESPONSES
        else:
            await self.leaving.leave(service, BY_REPORT, fault.duration_seconds)

    async def rotate_keys(self, effect: str, fault: Fault) -> None:
        """Rotate the keys of the workspace when the store has no fault.

        Or change the list of other workspaces, which may have no keys, or none at all.

        The routers must have applied the previous rotation before the next one, so
        that callers always have a key that is valid in both configurations.
        """
        while self.record.active_disturbances.get("store") or not self.keys.settled():
            await trio.sleep(0.1)
        if effect == "change":
            document = self.keys.rotate()
        else:
            document = self.keys.change_others()
        self.deployment.store.put("op", "config", document)
        self.record.log_event(f"configuration {self.keys.version}")
