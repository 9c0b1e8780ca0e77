"""Gives the orders that bring the layout of layers about."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.placement.lease import Loading
from pistachioreach.placement.plan import PlacedEngine, plan_layout
from pistachioreach.platform.engines import OrderAnswer, place_layers, read_report

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.journal import Journal
    from pistachioreach.knowledge.platform import PlatformView
    from pistachioreach.placement.lease import Lease
    from pistachioreach.placement.plan import Layout
    from pistachioreach.routing.routes import EngineModel, Service

__all__ = ["Placer"]

#: Seconds between looks at what the engines hold.
LOOK_SECONDS = 0.2
#: Most seconds added to a wait for the lease, so that entries do not ask together.
JITTER_SECONDS = 0.15
#: Seconds without a new engine after which the first layout is made, and the
#: longest wait for it; engines register within a few seconds of the start.
GATHER_SECONDS = 1.0
LONGEST_GATHER_SECONDS = 5.0
#: Seconds for which an engine keeps what it was ordered to hold, so that engines
#: which crash and come back do not make others give up layers again and again.
KEEP_SECONDS = 10.0
#: Engines that may be giving up layers for others at a time.
MOVES_AT_ONCE = 2
#: Seconds after an order without an answer before its engine gets another: an
#: order may be carried out up to 12 s late, but never at another order count.
UNKNOWN_SECONDS = 1.0
#: Seconds in which orders are gathered before they are written down for the next
#: holder of the lease.
NOTE_SECONDS = 0.1
#: Factor on the expected time of a load after which the engine is asked again.
OVERDUE = 3.0


class Placer:
    """Decides what each engine holds while this entry has the lease.

    Args:
        knowledge: What is known of the platform.
        lease: The lease.
        connections: Connections to the engines.
        journal: Where decisions are written.
        clock: Clock of all decisions.
        random: Source of random choices.
        candidate: Whether this entry may ask for the lease; a few entries of
            many do, so that the calls do not grow with their number.
    """

    def __init__(
        self,
        knowledge: PlatformView,
        lease: Lease,
        connections: Connections,
        journal: Journal,
        clock: Clock,
        random: Random,
        candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        #: What is known of the platform.
        self.knowledge = knowledge
        #: The lease.
        self.lease = lease
        #: Connections to the engines.
        self.connections = connections
        #: Where decisions are written.
        self.journal = journal
        #: Clock of all decisions.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: Whether this entry may ask for the lease.
        self.candidate = candidate
        #: Whether this entry gives no more orders.
        self.stopped = False
        #: Set when the lease's row is to be written for a new order.
        self.noted = trio.Event()
        #: Number of orders that each run of an engine is known to have begun.
        self.orders: dict[tuple[str, int], int] = {}
        #: Engines that are being given an order.
        self.ordering: set[str] = set()
        #: Monotonic time of each engine's last order.
        self.ordered: dict[str, float] = {}
        #: Engines that give up layers for others, with the end of their order.
        self.moving: dict[str, float] = {}
        #: Monotonic time of the first engine seen, and of the latest.
        self.first_seen = float("inf")
        self.last_seen = float("-inf")
        #: The last layout, with what it was made for.
        self.planned: tuple[tuple, Layout] | None = None
        #: Engines seen.
        self.seen: set[str] = set()

    async def run(self) -> None:
        """Hold the lease if nobody else does, and place layers, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.keep_lease)
            while True:
                if (
                    self.lease.held()
                    and not self.knowledge.connectivity.in_grace_period()
                ):
                    self.place(nursery)
                await trio.sleep(LOOK_SECONDS)

    async def keep_lease(self) -> None:
        """Take and renew the lease for ever."""
        await trio.sleep(self.random.uniform(0, 0.2))
        while True:
            if not self.stopped and (self.lease.held() or self.candidate()):
                await self.lease.renew()
            jitter = self.random.uniform(0.0, JITTER_SECONDS)
            with trio.move_on_after(self.lease.wait() + jitter):
                await self.noted.wait()
                # Orders are given several at a time.
                await trio.sleep(NOTE_SECONDS)
            self.noted = trio.Event()

    async def stop(self) -> None:
        """Give no more orders, and let another entry have the lease."""
        self.stopped = True
        try:
            await self.lease.release()
        except (StoreConflict, StoreUnavailable) as error:
            logger.bind(reason=str(error)).warning("lease not released")

    def place(self, nursery: trio.Nursery) -> None:
        """Give orders where an engine does not hold what the layout says."""
        routes = self.knowledge.routes
        if routes is None:
            return
        for service in routes.services.values():
            if service.engine is None:
                continue
            endpoints = {
                endpoint.id: endpoint
                for endpoint in self.knowledge.directory.of_service(service.name)
                if not endpoint.registration.leaving
            }
            placed = [self.placed(endpoint) for endpoint in endpoints.values()]
            if not self.gathered(placed):
                continue
            layout = self.layout(service.engine, placed)
            for engine in placed:
                wanted = layout.get(engine.id)
                if wanted is None or wanted == engine.held:
                    continue
                if engine.id in self.ordering:
                    continue
                self.ordering.add(engine.id)
                nursery.start_soon(
                    self.order, endpoints[engine.id], service, wanted, engine.held
                )

    def layout(self, model: EngineModel, placed: list[PlacedEngine]) -> Layout:
        """Return the layout for what the engines hold; made anew when it changes."""
        fixed = frozenset(self.fixed(placed))
        key = (tuple(placed), fixed)
        if self.planned is None or self.planned[0] != key:
            self.planned = (key, plan_layout(placed, model, fixed))
        return self.planned[1]

    def gathered(self, placed: list[PlacedEngine]) -> bool:
        """Whether the first layout need not wait for more engines."""
        now = self.clock.monotonic()
        for engine in placed:
            if engine.id not in self.seen:
                self.seen.add(engine.id)
                self.first_seen = min(self.first_seen, now)
                self.last_seen = now
        if any(engine.held is not None for engine in placed):
            return True
        quiet = now - self.last_seen >= GATHER_SECONDS
        return quiet or now - self.first_seen >= LONGEST_GATHER_SECONDS

    def fixed(self, placed: list[PlacedEngine]) -> set[str]:
        """Return the engines that must keep what they hold now."""
        now = self.clock.monotonic()
        for id, until in list(self.moving.items()):
            if now > until or id not in self.lease.loading:
                del self.moving[id]
        if len(self.moving) >= MOVES_AT_ONCE:
            return {engine.id for engine in placed}
        recent = {id for id, at in self.ordered.items() if now - at < KEEP_SECONDS}
        return {*self.lease.loading, *self.ordering, *recent}

    def placed(self, endpoint: Endpoint) -> PlacedEngine:
        """Return what an engine holds, orders under way included."""
        registration = endpoint.registration
        held = registration.layers
        layers = None if held is None else (held.first, held.last)
        loading = self.lease.loading.get(endpoint.id)
        if loading is not None:
            over = self.clock.monotonic() > loading.until
            if over or layers == loading.layers or loading.born != registration.born:
                del self.lease.loading[endpoint.id]
            else:
                layers = loading.layers
        return PlacedEngine(
            endpoint.id, registration.card, registration.failure_domain, layers
        )

    async def order(
        self,
        endpoint: Endpoint,
        service: Service,
        wanted: tuple[int, int],
        held: tuple[int, int] | None,
    ) -> None:
        """Order one engine to hold a range."""
        try:
            orders = await self.order_count(endpoint)
            if orders is None or not self.lease.held():
                return
            answer = await place_layers(
                self.connections,
                endpoint.id,
                endpoint.registration.address,
                wanted,
                self.lease.fence,
                orders,
            )
            self.journal.record(
                "placement",
                endpoint.id,
                f"{wanted[0]}:{wanted[1]}",
                answer.value,
                held=held,
                fence=self.lease.fence,
                orders=orders,
                card=endpoint.registration.card,
                failure_domain=endpoint.registration.failure_domain,
            )
            await self.settle(endpoint, service.engine, wanted, answer, orders)
        finally:
            self.ordering.discard(endpoint.id)

    async def order_count(self, endpoint: Endpoint) -> int | None:
        """Return how many orders an engine has begun, or None if it is silent."""
        run = (endpoint.id, endpoint.registration.born)
        if run not in self.orders:
            loading = self.lease.loading.get(endpoint.id)
            if loading is not None and loading.born == endpoint.registration.born:
                return loading.orders
            if endpoint.registration.layers is None:
                # Engines start empty, so one that holds nothing has begun none;
                # if it has, it refuses the order and is asked.
                return 0
            report = await read_report(
                self.connections, endpoint.id, endpoint.registration.address
            )
            if report is None:
                await trio.sleep(UNKNOWN_SECONDS)
                return None
            self.orders[run] = report.orders
        return self.orders[run]

    async def settle(
        self,
        endpoint: Endpoint,
        model: EngineModel,
        wanted: tuple[int, int],
        answer: OrderAnswer,
        orders: int,
    ) -> None:
        """Draw the consequences of an order's answer."""
        run = (endpoint.id, endpoint.registration.born)
        now = self.clock.monotonic()
        if answer is OrderAnswer.ACCEPTED:
            share = (wanted[1] - wanted[0]) / model.layers
            seconds = 1.0 + OVERDUE * model.load_seconds * share
            self.lease.loading[endpoint.id] = Loading(
                *wanted, now + seconds, endpoint.registration.born, orders + 1
            )
            self.noted.set()
            self.ordered[endpoint.id] = now
            if endpoint.registration.layers is not None:
                self.moving[endpoint.id] = now + seconds
            self.orders[run] = orders + 1
            return
        if answer is OrderAnswer.FENCED:
            self.lease.drop("an engine has seen a higher fencing token")
            return
        # What the engine has begun is read anew before the next order.
        self.orders.pop(run, None)
        report = await read_report(
            self.connections, endpoint.id, endpoint.registration.address
        )
        if report is None:
            logger.bind(endpoint=endpoint.id).warning("engine gives no report")
            await trio.sleep(UNKNOWN_SECONDS)
            return
        self.orders[run] = report.orders
        if report.busy:
            await trio.sleep(UNKNOWN_SECONDS)
