"""Endpoints that leave, and the check that they get no new requests afterwards."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import trio

from pistachioreach.platform.standins.endpoint import (
    BY_REMOVAL,
    BY_REPORT,
    BY_STATEMENT,
)
from pistachioreach.platform.standins.engine import StandInEngine
from soak.checks import APPLY_SECONDS, MARGIN_SECONDS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pistachioreach.platform.standins.deployment import StandInDeployment
    from pistachioreach.platform.standins.endpoint import StandInEndpoint
    from soak.checks import RunRecord
    from soak.plan import Fault
    from soak.proxy import LinkProxy
    from soak.routers import RouterProcess

__all__ = ["LeavingEndpoints"]

#: Ways in which an endpoint leaves.
WAYS = (BY_REMOVAL, BY_REPORT, BY_STATEMENT)
#: Maximum number of engines that leave at the same time. The other seven can hold each
#: layer of the model, whichever these are.
MAX_LEAVING_ENGINES = 3
#: Maximum seconds from one engine to the next of several that leave. The layers of the
#: first one are being ordered elsewhere in that time.
MAX_STAGGER_SECONDS = 1.5
#: Maximum seconds until an endpoint that has left is back as a new run.
MAX_DOWN_SECONDS = 2.0


@dataclass
class Leaving:
    """Endpoint that is leaving.

    Attributes:
        way: Way in which it leaves, one of `WAYS`.
        since: Time by trio's clock at which the store took its registration or the
            removal, or at which it began to state that it is leaving.
        requests: Requests that it answers with the statement.
        statements: Time at which each router, by name, first passed such an answer on,
            and the number of its interruptions before.
    """

    way: str
    since: float
    requests: set[str] = field(default_factory=set)
    statements: dict[str, tuple[float, int]] = field(default_factory=dict)


class LeavingEndpoints:
    """Lets endpoints leave, and checks that they get no new requests afterwards.

    Args:
        deployment: Stand-ins of the run.
        routers: All routers.
        record: Record of the run.
    """

    def __init__(
        self,
        deployment: StandInDeployment,
        routers: Sequence[RouterProcess],
        record: RunRecord,
    ) -> None:
        #: Stand-ins of the run.
        self.deployment = deployment
        #: All routers.
        self.routers = routers
        #: Record of the run.
        self.record = record
        #: The endpoints that are leaving, by identifier; None while one waits for the
        #: store, and after its end until it is back.
        self.leaving: dict[str, Leaving | None] = {}
        #: Links of all endpoints by identifier.
        self.links: dict[str, LinkProxy] = {}

    def observe_requests(self) -> None:
        """Check each request that an endpoint begins to run from now on."""
        endpoints = {**self.deployment.engines, **self.deployment.services}
        for address, endpoint in endpoints.items():
            self.links[endpoint.id] = self.deployment.links[address]
            endpoint.on_request = partial(self.check_request, endpoint)

    async def inject(self, effect: str, fault: Fault) -> None:
        """Let an endpoint, or several engines, leave in ways that the target draws."""
        generator = random.Random(fault.target)
        endpoints = list(self.deployment.engines.values())
        if effect == "of a service's endpoint":
            endpoints = list(self.deployment.services.values())
        count = 1
        if effect == "of several engines":
            count = generator.randint(2, MAX_LEAVING_ENGINES)
        async with trio.open_nursery() as nursery:
            for endpoint in generator.sample(endpoints, count):
                way = generator.choice(WAYS)
                nursery.start_soon(self.leave, endpoint, way, fault.duration_seconds)
                await trio.sleep(generator.uniform(0.0, MAX_STAGGER_SECONDS))

    def may_leave(self, endpoint: StandInEndpoint) -> bool:
        """Return whether an endpoint works and enough others of its kind stay."""
        max_count, others = 1, self.deployment.services.values()
        if isinstance(endpoint, StandInEngine):
            max_count, others = MAX_LEAVING_ENGINES, self.deployment.engines.values()
        count = sum(other.id in self.leaving for other in others)
        disturbed = endpoint.dead or endpoint.hung or endpoint.id in self.leaving
        return count < max_count and not disturbed

    async def leave(self, endpoint: StandInEndpoint, way: str, seconds: float) -> None:
        """Let an endpoint leave, serve for some time, end and start as a new run.

        Args:
            endpoint: The endpoint; ignored if it is disturbed or too many are leaving.
            way: Way in which it leaves, one of `WAYS`.
            seconds: Seconds for which it goes on serving.
        """
        if not self.may_leave(endpoint):
            return
        self.leaving[endpoint.id] = None
        # An endpoint can not write to a store that has a fault.
        while way != BY_STATEMENT and self.record.active_disturbances.get("store"):
            await trio.sleep(0.05)
        if endpoint.dead or endpoint.hung:
            del self.leaving[endpoint.id]
            return
        endpoint.leaving = way
        self.deployment.write_registrations()
        self.leaving[endpoint.id] = Leaving(way, trio.current_time())
        self.record.log_event(f"{endpoint.id} leaves by {way}")
        await trio.sleep(seconds)
        self.leaving[endpoint.id] = None
        self.record.begin_disturbance("endpoints", f"{endpoint.id} has left")
        self.record.begin_period(endpoint.id)
        endpoint.dead = True
        self.links[endpoint.id].reset_connections()
        await trio.sleep(min(seconds, MAX_DOWN_SECONDS))
        endpoint.restart()
        del self.leaving[endpoint.id]
        self.record.end_period(endpoint.id)
        self.record.end_disturbance("endpoints", f"{endpoint.id} has left")

    def check_request(
        self,
        first: StandInEndpoint,
        request: str,
        source: str,
        endpoints: Sequence[StandInEndpoint],
    ) -> None:
        """Check that a request that arrives does not run on an endpoint that left.

        Args:
            first: Endpoint that gets the request.
            request: Identifier of the attempt.
            source: IP address of the router that sent it.
            endpoints: Endpoints on which it newly runs, in the order of the chain. The
                first one is not among them if its chain was only changed.
        """
        sender = next(router for router in self.routers if router.host == source)
        for endpoint in endpoints:
            leaving = self.leaving.get(endpoint.id)
            if leaving is None:
                continue
            if endpoint is first:
                leaving.requests.add(request)
            since = self.bound_since(leaving, request, sender)
            late = trio.current_time() - since
            late_at = self.links[first.id].late_at.get(source, -math.inf)
            held_up = trio.current_time() - late_at < MARGIN_SECONDS
            if late > APPLY_SECONDS + MARGIN_SECONDS and not held_up:
                chain = "+".join(stage.id for stage in endpoints)
                self.record.add_violation(
                    f"{endpoint.id}, which left by {leaving.way}, gets {request} from "
                    f"{sender.name} on {chain} {late:.2f} s later"
                )

    def bound_since(
        self, leaving: Leaving, request: str, sender: RouterProcess
    ) -> float:
        """Return the time since which a sender must know of a leaving, or infinity.

        A leaving that the store knows counts if the router that took the request and
        the one that sent it on are in touch. A statement counts from the moment at
        which the sender itself passed it on.

        Args:
            leaving: The endpoint that is leaving.
            request: Identifier of the attempt, which begins with the router's number.
            sender: Router that sent the request to the endpoint.
        """
        if leaving.way == BY_STATEMENT:
            time, interruptions = leaving.statements.get(sender.name, (0.0, -1))
            return time if interruptions == sender.interruptions else math.inf
        names = (sender.name, f"entry-{request.split('.')[0]}")
        return leaving.since if all(map(self.record.synced, names)) else math.inf

    def record_answer(self, request: str, router: RouterProcess) -> None:
        """Record that a caller gets an endpoint's answer from a router.

        An answer to a request that ran at two endpoints may be that of either, and is
        taken for neither's.

        Args:
            request: Identifier of the attempt.
            router: Router that passed the answer on.
        """
        for id, leaving in self.leaving.items():
            if leaving is None or request not in leaving.requests:
                continue
            runs = [engine.chains for engine in self.deployment.engines.values()]
            runs += [service.runs for service in self.deployment.services.values()]
            _, interruptions = leaving.statements.get(router.name, (0.0, -1))
            once = sum(request in requests for requests in runs) == 1
            if once and interruptions != router.interruptions:
                statement = (trio.current_time(), router.interruptions)
                leaving.statements[router.name] = statement
                self.record.log_event(f"{router.name} passes on that {id} leaves")
