"""Control loop that sends orders until the engines hold the planned layers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.isolation import isolate_errors
from pistachioreach.placement.lease import PendingLoad
from pistachioreach.placement.plan import (
    PlacedEngine,
    grid_fits,
    load_reasons,
    plan_layout,
)
from pistachioreach.platform.engines import OrderResult, place_layers, read_report
from pistachioreach.platform.store import ENDPOINT_TABLE

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.journal import Journal
    from pistachioreach.knowledge.platform import PlatformView
    from pistachioreach.placement.lease import Lease
    from pistachioreach.placement.plan import Layout, LoadReason
    from pistachioreach.routing.routes import EngineModel, Service

__all__ = ["Placer"]

#: Time between comparisons of the layout with what the engines hold, in seconds.
LOOP_SECONDS = 0.2
#: Maximum random delay of a lease request, in seconds, so that the entries do not send
#: their requests at the same time.
JITTER_SECONDS = 0.15
#: Time without a new engine after which the first layout is planned, and the maximum
#: wait for that, both in seconds. Engines register within a few seconds of the start; a
#: layout for some of them is changed again when the others come.
DISCOVERY_QUIET_SECONDS = 2.0
MAX_DISCOVERY_SECONDS = 6.0
#: Time for which an engine keeps its layers after an order, in seconds. Without it,
#: engines that crash and restart would make others give up layers again and again.
KEEP_SECONDS = 10.0
#: Maximum number of engines that give up layers for others at the same time.
MOVES_AT_ONCE = 2
#: Wait after an order without an answer, before the engine gets another order, in
#: seconds. An order may be executed up to 12 s late, but never at another order count.
UNKNOWN_SECONDS = 1.0
#: Time in which pending loads are collected before they are written to the lease row
#: for the next holder, in seconds.
BATCH_SECONDS = 0.1
#: Factor on the expected time of a load, after which the engine's registration is used
#: again.
OVERDUE_FACTOR = 3.0
#: Seconds without a reachable endpoint after which another entry should place layers.
CUT_OFF_SECONDS = 1.5


class Placer:
    """Decides which layers each engine holds while this entry holds the lease.

    Args:
        knowledge: Endpoints, routes and other data of the platform.
        lease: Lease that elects the placer.
        connections: Connections to the engines.
        journal: Journal in which orders are recorded.
        clock: Clock by which loads and waits are timed.
        random: Random number generator for delays.
        candidate: Function that returns whether this entry may request the lease. Only
            a few of many entries do, so that the number of requests to the store does
            not grow with the number of entries.
        demand: Function that returns the share of prompt tokens by failure domain.
        is_cut_off: Function that returns whether this entry has reached no endpoint
            for a number of seconds. It then leaves the lease to another entry.
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
        demand: Callable[[], Mapping[str, float] | None] = lambda: None,
        is_cut_off: Callable[[float], bool] = lambda _: False,
    ) -> None:
        #: Endpoints, routes and other data of the platform.
        self.knowledge = knowledge
        #: Lease that elects the placer.
        self.lease = lease
        #: Connections to the engines.
        self.connections = connections
        #: Journal in which orders are recorded.
        self.journal = journal
        #: Clock by which loads and waits are timed.
        self.clock = clock
        #: Random number generator for delays.
        self.random = random
        #: Function that returns whether this entry may request the lease.
        self.candidate = candidate
        #: Function that returns the share of prompt tokens by failure domain.
        self.demand = demand
        #: Function that returns whether this entry has reached no endpoint for some
        #: seconds.
        self.is_cut_off = is_cut_off
        #: Whether the placer has been stopped and no longer renews the lease.
        self.stopped = False
        #: Event that is set when the lease row must be written for a new pending load,
        #: or read since the store came back from an older copy.
        self.row_outdated = trio.Event()
        #: Number of orders that each engine process is known to have begun, by engine
        #: id and start time.
        self.order_counts: dict[tuple[str, int], int] = {}
        #: Ids of engines to which an order is being sent.
        self.in_progress: set[str] = set()
        #: Monotonic time of the last accepted order of each engine, by engine id.
        self.ordered_at: dict[str, float] = {}
        #: Engines that are giving up layers for others, and the monotonic time at
        #: which their load is overdue, by engine id.
        self.moving: dict[str, float] = {}
        #: Monotonic time at which the first engine was seen, and the latest new one.
        self.first_seen_at = float("inf")
        self.last_seen_at = float("-inf")
        #: The last layout, with the engines and constraints for which it was planned,
        #: and the reasons for its loads.
        self.planned: tuple[tuple, Layout, dict[str, LoadReason]] | None = None
        #: Ids of all engines seen so far.
        self.seen: set[str] = set()

    async def run(self) -> None:
        """Hold the lease whenever it is free, and place layers while it is held."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.keep_lease)
            while True:
                if (
                    self.lease.held()
                    and not self.knowledge.connectivity.in_grace_period(ENDPOINT_TABLE)
                ):
                    self.place(nursery)
                await trio.sleep(LOOP_SECONDS)

    async def keep_lease(self) -> None:
        """Acquire and renew the lease in an endless loop."""
        await trio.sleep(self.random.uniform(0, 0.2))
        while True:
            if self.is_cut_off(CUT_OFF_SECONDS):
                await self.release()
            elif not self.stopped and (self.lease.held() or self.candidate()):
                await self.lease.renew()
            jitter = self.random.uniform(0.0, JITTER_SECONDS)
            with trio.move_on_after(self.lease.renewal_delay() + jitter):
                await self.row_outdated.wait()
                # Several orders are sent at a time; one write covers all of them.
                await trio.sleep(BATCH_SECONDS)
            self.row_outdated = trio.Event()

    def request_renewal(self) -> None:
        """Acquire or renew the lease at once, not only at the next planned time.

        The wait after a restore of the store counts from the first read of the lease.
        """
        self.row_outdated.set()

    async def stop(self) -> None:
        """Release the lease for another entry and do not renew it again."""
        self.stopped = True
        await self.release()

    async def release(self) -> None:
        """Release the lease, if this entry holds it, for another entry."""
        try:
            await self.lease.release()
        except (StoreConflict, StoreUnavailable) as error:
            logger.bind(reason=str(error)).warning("lease not released")

    def place(self, nursery: trio.Nursery) -> None:
        """Start an order for each engine that does not hold its planned layers."""
        routes = self.knowledge.routes
        if routes is None:
            return
        for service in routes.services.values():
            if service.engine is not None:
                with isolate_errors("plan of layers", service=service.name):
                    self.place_service(nursery, service)

    def place_service(self, nursery: trio.Nursery, service: Service) -> None:
        """Start an order for each engine of one service that needs one."""
        endpoints = {
            endpoint.id: endpoint
            for endpoint in self.knowledge.directory.of_service(service.name)
            if not endpoint.leaving
        }
        engines = [self.placed_engine(endpoint) for endpoint in endpoints.values()]
        if not self.discovery_complete(engines):
            return
        layout, reasons = self.layout(service.engine, engines)
        for engine in engines:
            wanted = layout.get(engine.id)
            if wanted is None or wanted == engine.held:
                continue
            if engine.id in self.in_progress:
                continue
            self.in_progress.add(engine.id)
            nursery.start_soon(
                self.order,
                endpoints[engine.id],
                service,
                wanted,
                engine.held,
                reasons.get(engine.id),
            )

    def layout(
        self, model: EngineModel, engines: list[PlacedEngine]
    ) -> tuple[Layout, dict[str, LoadReason]]:
        """Return the layout for the engines and the reasons for its loads.

        The layout is planned again only after a change of the engines or constraints.
        A change of the demand alone is no reason to plan again.
        """
        fixed = frozenset(self.fixed_engines(engines, model))
        moves = max(0, MOVES_AT_ONCE - len(self.moving))
        loads = len(self.in_progress | self.lease.pending_loads.keys())
        urgent = max(0, model.loads_at_once - loads)
        moves = min(moves, urgent)
        key = (tuple(engines), fixed, moves, urgent)
        if self.planned is None or self.planned[0] != key:
            demand = self.demand()
            layout = plan_layout(engines, model, fixed, demand, moves, urgent)
            reasons = load_reasons(engines, layout, model, demand)
            self.planned = (key, layout, reasons)
        return self.planned[1:]

    def discovery_complete(self, engines: list[PlacedEngine]) -> bool:
        """Return whether the first layout need not wait for more engines.

        Also records the engines that were not seen before.
        """
        now = self.clock.monotonic()
        for engine in engines:
            if engine.id not in self.seen:
                self.seen.add(engine.id)
                self.first_seen_at = min(self.first_seen_at, now)
                self.last_seen_at = now
        if any(engine.held is not None for engine in engines):
            return True
        quiet = now - self.last_seen_at >= DISCOVERY_QUIET_SECONDS
        return quiet or now - self.first_seen_at >= MAX_DISCOVERY_SECONDS

    def fixed_engines(
        self, engines: list[PlacedEngine], model: EngineModel
    ) -> set[str]:
        """Return the ids of the engines that must keep their present layers.

        These are the engines with a pending load, an order in progress or a recent
        order, or all engines while the maximum number of moves is reached. Where the
        grid of layers does not fit the model, the plan limits the moves itself.
        """
        now = self.clock.monotonic()
        for id, until in list(self.moving.items()):
            if now > until or id not in self.lease.pending_loads:
                del self.moving[id]
        if len(self.moving) >= MOVES_AT_ONCE and grid_fits(model):
            return {engine.id for engine in engines}
        recent = {id for id, at in self.ordered_at.items() if now - at < KEEP_SECONDS}
        return {*self.lease.pending_loads, *self.in_progress, *recent}

    def placed_engine(self, endpoint: Endpoint) -> PlacedEngine:
        """Return an engine with the layers that it holds or is loading.

        Removes the engine's pending load if the load has finished or is overdue, or
        if the engine has restarted.
        """
        registration = endpoint.registration
        held = registration.layers
        layers = None if held is None else (held.first, held.last)
        load = self.lease.pending_loads.get(endpoint.id)
        if load is not None:
            overdue = self.clock.monotonic() > load.until
            if (
                overdue
                or layers == load.layers
                or load.started_ms != registration.started_ms
            ):
                del self.lease.pending_loads[endpoint.id]
            else:
                layers = load.layers
        return PlacedEngine(
            endpoint.id, registration.card, registration.failure_domain, layers
        )

    async def order(
        self,
        endpoint: Endpoint,
        service: Service,
        wanted: tuple[int, int],
        held: tuple[int, int] | None,
        reason: LoadReason | None = None,
    ) -> None:
        """Order one engine to hold a range of layers.

        Args:
            endpoint: The engine.
            service: Service of the engine.
            wanted: First layer, and the layer after the last one.
            held: Range of layers that the engine holds now, or None.
            reason: Reason for the order, or None if unknown.
        """
        try:
            with isolate_errors("order of layers", endpoint=endpoint.id):
                await self.send_order(endpoint, service, wanted, held, reason)
                return
            # The next order would fail like this one.
            await trio.sleep(UNKNOWN_SECONDS)
        finally:
            self.in_progress.discard(endpoint.id)

    async def send_order(
        self,
        endpoint: Endpoint,
        service: Service,
        wanted: tuple[int, int],
        held: tuple[int, int] | None,
        reason: LoadReason | None,
    ) -> None:
        """Send one order and handle its answer; the arguments are those of `order`."""
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
            **({} if reason is None else reason_fields(reason)),
        )
        await self.handle_answer(endpoint, service.engine, wanted, answer, orders)

    async def order_count(self, endpoint: Endpoint) -> int | None:
        """Return how many orders an engine process has begun.

        Returns None, after a wait, if the engine had to be asked and did not answer.
        """
        run = (endpoint.id, endpoint.registration.started_ms)
        if run not in self.order_counts:
            load = self.lease.pending_loads.get(endpoint.id)
            if load is not None and load.started_ms == endpoint.registration.started_ms:
                return load.orders
            if endpoint.registration.layers is None:
                # Engines start without layers, so an engine without layers has begun
                # no order. If it has, the engine refuses this order and is then asked
                # for its count.
                return 0
            report = await read_report(
                self.connections, endpoint.id, endpoint.registration.address
            )
            if report is None:
                await trio.sleep(UNKNOWN_SECONDS)
                return None
            self.order_counts[run] = report.order_count
        return self.order_counts[run]

    async def handle_answer(
        self,
        endpoint: Endpoint,
        model: EngineModel,
        wanted: tuple[int, int],
        answer: OrderResult,
        orders: int,
    ) -> None:
        """Update the placer's state after the answer to an order.

        An accepted order becomes a pending load. An answer that shows a newer fencing
        token ends the lease in this entry. After any other answer, the engine is
        asked for its order count.

        Args:
            endpoint: The engine.
            model: Model that the engine runs.
            wanted: First layer, and the layer after the last one.
            answer: The answer to the order.
            orders: Number of orders that the engine had begun before this one.
        """
        run = (endpoint.id, endpoint.registration.started_ms)
        now = self.clock.monotonic()
        if answer is OrderResult.ACCEPTED:
            share = (wanted[1] - wanted[0]) / model.layers
            seconds = 1.0 + OVERDUE_FACTOR * model.load_seconds * share
            self.lease.pending_loads[endpoint.id] = PendingLoad(
                *wanted, now + seconds, endpoint.registration.started_ms, orders + 1
            )
            self.request_renewal()
            self.ordered_at[endpoint.id] = now
            if endpoint.registration.layers is not None:
                self.moving[endpoint.id] = now + seconds
            self.order_counts[run] = orders + 1
            return
        if answer is OrderResult.FENCED:
            self.lease.drop("an engine has seen a higher fencing token")
            return
        # The stored order count may be wrong; ask the engine before the next order.
        self.order_counts.pop(run, None)
        report = await read_report(
            self.connections, endpoint.id, endpoint.registration.address
        )
        if report is None:
            logger.bind(endpoint=endpoint.id).warning("engine did not send a report")
            await trio.sleep(UNKNOWN_SECONDS)
            return
        self.order_counts[run] = report.order_count
        if report.busy:
            await trio.sleep(UNKNOWN_SECONDS)


def reason_fields(reason: LoadReason) -> dict[str, str | float | None]:
    """Return the fields of a decision that state the reason for a load."""
    return {
        "cause": reason.reason,
        "streams_before": round(reason.streams_before, 1),
        "streams_after": round(reason.streams_after, 1),
        "demand": reason.demand,
    }
