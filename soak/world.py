"""The deployment of a run: stand-ins, links, routers, and the faults they get."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from pistachioreach.platform.standins.deployment import (
    KEY,
    StandInDeployment,
    configuration,
)
from pistachioreach.platform.standins.engine import StandInEngine, StandInService
from pistachioreach.platform.standins.store import send_json
from pistachioreach.server import serve_lifespan
from soak.promises import APPLY_SECONDS, MARGIN
from soak.proxy import DOWN, UP, Link
from soak.routers import RouterProcess

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.plan import Fault, Plan
    from soak.promises import Record
    from soak.routers import Folders

__all__ = ["Keys", "SoakWorld"]

#: Seconds between questions of the balancer, and misses that take a router out.
BALANCER_SECONDS = 0.5
MISSES = 2
#: Seconds by which a slow link or store is late.
SLOW_SECONDS = 0.15
#: Writes without an answer of one fault.
LOST_ANSWERS = 3
#: Layers of the model.
LAYERS = 80


class StoreGate:
    """The store as one router sees it: it may turn this one away.

    Args:
        store: The store.
    """

    def __init__(self, store: Callable) -> None:
        #: The store.
        self.store = store
        #: Whether this router is turned away.
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
    """Stand-ins behind links that can be disturbed.

    Args:
        nursery: Runs all of them.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        #: Links by their address.
        self.links: dict[str, Link] = {}

    def listen(self, app: Callable) -> str:
        """Serve an application behind a link and return the link's address."""
        link = Link(super().listen(app))
        self.links[link.address] = link
        self.nursery.start_soon(link.run)
        return link.address


class Keys:
    """The keys of the workspace, as the operator changes them."""

    def __init__(self) -> None:
        #: Version of the configuration.
        self.version = 1
        #: All keys so far with the time at which each was put in force.
        self.keys: list[tuple[str, float]] = [(KEY, trio.current_time())]

    def change(self) -> dict:
        """Return a configuration with a new key, which drops the last but one."""
        self.version += 1
        self.keys.append((f"key-{self.version}", trio.current_time()))
        return configuration(self.version, tuple(key for key, _ in self.keys[-2:]))

    def settled(self) -> bool:
        """Whether the last change must be in force everywhere."""
        return trio.current_time() - self.keys[-1][1] > APPLY_SECONDS + MARGIN

    def usable(self) -> str:
        """Return a key that each router in touch must take."""
        key, at = self.keys[-1]
        old = len(self.keys) == 1 or trio.current_time() - at > 3 * APPLY_SECONDS
        return key if old else self.keys[-2][0]

    def dropped(self) -> tuple[str, float] | None:
        """Return the key dropped last and the time of that, if there is one."""
        if len(self.keys) < 3:
            return None
        return self.keys[-3][0], self.keys[-1][1]


class SoakWorld:
    """Everything that a run consists of.

    Args:
        nursery: Runs all of it.
        plan: What the run does.
        folders: Where its files are.
        record: What happens in it.
    """

    def __init__(
        self, nursery: trio.Nursery, plan: Plan, folders: Folders, record: Record
    ) -> None:
        #: Runs all of it.
        self.nursery = nursery
        #: What happens in it.
        self.record = record
        #: The stand-ins.
        self.deployment = SoakDeployment(nursery)
        #: The keys of the workspace.
        self.keys = Keys()
        #: The store as each router sees it, and the link to it.
        self.gates: list[StoreGate] = []
        self.store_links: list[Link] = []
        #: The routers.
        self.routers: list[RouterProcess] = []
        #: Routers to which the balancer sends.
        self.ready: set[str] = set()
        for number in range(plan.routers):
            gate = StoreGate(self.deployment.store)
            address = self.deployment.listen(gate)
            self.gates.append(gate)
            self.store_links.append(self.deployment.links[address])
            self.routers.append(RouterProcess(number, address, folders, record))

    async def start(self) -> None:
        """Start everything, and wait until all layers are held."""
        await self.deployment.start(routers=0)
        for router in self.routers:
            self.nursery.start_soon(router.link.run)
            await router.start()
            self.nursery.start_soon(router.watch)
            self.nursery.start_soon(self.balance, router)
        await self.whole()

    async def whole(self) -> None:
        """Wait until all layers are held and all routers are ready."""
        while len(self.ready) < len(self.routers) or not self.covered():
            await trio.sleep(0.05)

    def covered(self) -> bool:
        """Whether live engines hold all layers."""
        held = {
            layer
            for engine in self.deployment.engines.values()
            if engine.layers and not engine.dead and not engine.hung
            for layer in range(*engine.layers)
        }
        return len(held) == LAYERS

    async def balance(self, router: RouterProcess) -> None:
        """Ask one router for its readiness for ever."""
        misses = 0
        connections = Connections()
        address = f"{router.host}:{router.ready_port}"
        while True:
            ready = False
            with trio.move_on_after(BALANCER_SECONDS):
                try:
                    found = await connections.call(
                        router.name, address, "GET", "/ready"
                    )
                    ready = found.status == 200
                except ConnectionFailed:
                    # It is counted as a miss.
                    ready = False
            misses = 0 if ready else misses + 1
            if ready:
                self.ready.add(router.name)
                router.note_ready()
            elif misses >= MISSES:
                self.ready.discard(router.name)
            await trio.sleep(BALANCER_SECONDS)

    def runs(self) -> Counter[str]:
        """Return how often each request ran at any endpoint."""
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
        """Check that a chain runs each layer once and in order."""
        edges = [0, *(last for _, _, last in chain)]
        starts = [first for _, first, _ in chain]
        if starts != edges[:-1] or edges[-1] != LAYERS:
            self.record.violation(f"{request} ran through layers {chain}")

    def leave(self, endpoint: StandInEngine | StandInService) -> None:
        """Let an endpoint say that it is leaving, and watch over its new work."""
        endpoint.leaving = True
        seen = endpoint.chains if isinstance(endpoint, StandInEngine) else endpoint.runs
        self.nursery.start_soon(self.watch_leaving, endpoint, seen)

    async def watch_leaving(
        self, endpoint: StandInEngine | StandInService, seen: dict
    ) -> None:
        """Check that a leaving endpoint gets no new work after the time allowed."""
        await trio.sleep(APPLY_SECONDS + MARGIN)
        known = set(seen)
        while endpoint.leaving:
            await trio.sleep(0.02)
            for request in set(seen) - known:
                router = f"entry-{request.split('.')[0]}"
                if self.record.in_touch(router):
                    self.record.violation(
                        f"{endpoint.id}, leaving, gets {request} from {router}"
                    )
            known |= set(seen)

    async def inject(self, fault: Fault) -> None:
        """Let one fault happen."""
        what, _, how = fault.kind.partition(" ")
        acts = {
            "router": self.disturb_router,
            "all": self.disturb_all,
            "callers'": self.disturb_callers,
            "store": self.disturb_store,
            "engine": self.disturb_engine,
            "service": self.disturb_service,
            "keys": self.change_keys,
        }
        await acts[what](how, fault)

    async def disturb_router(self, how: str, fault: Fault) -> None:
        """Send a signal to one router."""
        router = self.routers[fault.target % len(self.routers)]
        acts = {
            "killed": router.kill,
            "stopped for a while": router.stop,
            "terminated": router.terminate,
        }
        await acts[how](fault.seconds)

    async def disturb_all(self, how: str, fault: Fault) -> None:
        """Send a signal to all routers."""
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                if how == "routers killed":
                    nursery.start_soon(router.kill, fault.seconds)
                else:
                    nursery.start_soon(router.terminate, fault.seconds)
                    await trio.sleep(1.0)

    async def disturb_callers(self, how: str, fault: Fault) -> None:
        """Disturb the link between callers and one router."""
        router = self.routers[fault.target % len(self.routers)]
        await self.disturb_link(router.name, router.link, how, fault.seconds)

    async def disturb_link(
        self, what: str, link: Link, how: str, seconds: float
    ) -> None:
        """Disturb one link: a reset, or a time in which bytes are late or wait."""
        self.record.begin(what, how)
        if how == "link reset":
            link.reset()
        elif how == "link slow":
            link.delay = SLOW_SECONDS
            await trio.sleep(seconds)
            link.delay = 0.0
        else:
            link.hold((UP, DOWN) if how == "link silent" else (DOWN,))
            await trio.sleep(seconds)
            link.release()
        self.record.end(what, how)

    async def disturb_store(self, how: str, fault: Fault) -> None:
        """Disturb the store, or the link between it and one router."""
        number = fault.target % len(self.routers)
        if how.startswith("link"):
            name, link = self.routers[number].name, self.store_links[number]
            await self.disturb_link(name, link, how, fault.seconds)
            return
        store = self.deployment.store
        if how == "turns some away":
            some = [g for n, g in enumerate(self.gates) if fault.target >> n & 1]
            self.record.note(f"store turns {len(some)} away")
            for gate in some:
                gate.refusing = True
            await trio.sleep(fault.seconds)
            for gate in some:
                gate.refusing = False
            return
        self.record.begin("store", how)
        if how == "loses answers":
            store.faults.lost_writes += LOST_ANSWERS
        elif how == "forgets its history":
            store.drop_history()
        else:
            await self.hold_store(how, fault)
        self.record.end("store", how)

    async def hold_store(self, how: str, fault: Fault) -> None:
        """Let the store be down, silent or slow for a while."""
        faults = self.deployment.store.faults
        name, value, normal = {
            "down": ("status", 503, 0),
            "silent": ("silent", True, False),
            "slow": ("delay", SLOW_SECONDS, 0.0),
        }[how]
        setattr(faults, name, value)
        await trio.sleep(fault.seconds)
        setattr(faults, name, normal)
        if how == "down" and fault.target % 2:
            self.record.note("registrations lapse")
            self.deployment.expire_registrations()

    async def disturb_engine(self, how: str, fault: Fault) -> None:
        """Disturb one engine, or the link to it."""
        engines = list(self.deployment.engines.items())
        address, engine = engines[fault.target % len(engines)]
        link = self.deployment.links[address]
        if how.startswith("link"):
            await self.disturb_link("endpoints", link, how, fault.seconds)
            return
        if engine.dead or engine.hung or engine.leaving:
            return
        self.record.begin("endpoints", f"{engine.id} {how}")
        if how == "hangs":
            engine.hung = True
            await trio.sleep(fault.seconds)
            engine.hung = False
        else:
            if how == "leaves":
                self.leave(engine)
                await trio.sleep(fault.seconds)
                engine.leaving = False
            engine.dead = True
            link.reset()
            await trio.sleep(min(fault.seconds, 2.0))
            engine.restart()
        self.record.end("endpoints", f"{engine.id} {how}")

    async def disturb_service(self, how: str, fault: Fault) -> None:
        """Disturb one server of the plain service, or the link to it."""
        services = list(self.deployment.services.items())
        address, service = services[fault.target % len(services)]
        if how.startswith("link"):
            link = self.deployment.links[address]
            await self.disturb_link("endpoints", link, how, fault.seconds)
        elif how == "loses answers":
            self.record.disturb("endpoints", f"{service.id} {how}")
            service.lost_answers += LOST_ANSWERS
        elif not any(other.leaving for _, other in services):
            self.record.note(f"{service.id} {how}")
            self.leave(service)
            await trio.sleep(fault.seconds)
            service.leaving = False

    async def change_keys(self, how: str, fault: Fault) -> None:
        """Change the keys of the workspace, once the store is well.

        The change before must be in force, so that a caller always has a key that
        both configurations hold.
        """
        while self.record.lasting.get("store") or not self.keys.settled():
            await trio.sleep(0.1)
        self.deployment.store.put("op", "config", self.keys.change())
        self.record.note(f"configuration {self.keys.version}")
