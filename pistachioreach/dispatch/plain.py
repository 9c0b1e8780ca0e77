"""Takes requests to plain services; what may not be repeated runs at most once.

Answers short bursts: the endpoint with the most free slots is taken, by this
entry's own count and the endpoints' last words, and no request waits here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.work import Answered, Lost, refused
from pistachioreach.errors import ConnectionFailed
from pistachioreach.platform.requests import decode_answer, endpoint_headers
from pistachioreach.routing.routes import Repeat
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.work import Work
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.endpoints.health import HealthMarks
    from pistachioreach.journal import Journal
    from pistachioreach.routing.retries import RetryLimit

__all__ = ["PlainDispatcher"]

#: Sends of one request that endpoints refuse or that never reach them; those
#: that may have run are limited by the route.
MOST_SENDS = 4
#: Share of a request's whole time after which, if it may be repeated, it is sent
#: to another endpoint.
TRY_SHARE = 0.4
#: Seconds after which a caller may come back when no endpoint could be reached.
RETRY_AFTER = 0.3
#: Load by which another failure domain's endpoint must be freer.
DOMAIN_PREFERENCE = 0.05
#: Lowest status that tells of an endpoint's own failure.
SERVER_ERROR = 500


class PlainDispatcher:
    """Takes requests to plain services.

    Args:
        directory: The endpoints.
        connections: Connections to them.
        health: Marks of endpoints that failed.
        retries: Limit on repeated sends.
        journal: Where decisions are written.
        clock: Clock of all decisions.
        random: Source of random choices.
        failure_domain: Failure domain of this entry.
    """

    def __init__(
        self,
        directory: Directory,
        connections: Connections,
        health: HealthMarks,
        retries: RetryLimit,
        journal: Journal,
        clock: Clock,
        random: Random,
        failure_domain: str,
    ) -> None:
        #: The endpoints.
        self.directory = directory
        #: Connections to them.
        self.connections = connections
        #: Marks of endpoints that failed.
        self.health = health
        #: Limit on repeated sends.
        self.retries = retries
        #: Where decisions are written.
        self.journal = journal
        #: Clock of all decisions.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: Failure domain of this entry.
        self.failure_domain = failure_domain

    async def run(self, work: Work) -> Answered | Failure:
        """Take a request to its outcome."""
        self.retries.count_first_attempt(work.service.name)
        tried: list[str] = []
        runs = 0
        lost = Lost(Verdict.NOT_RUN, "no endpoint of the service is usable")
        while True:
            endpoint = self.pick(work.service.name, tried)
            if endpoint is None or len(tried) >= MOST_SENDS:
                return self.give_up(work, lost, runs)
            left = work.deadline - self.clock.monotonic()
            if left <= 0:
                return self.give_up(work, lost, runs)
            again = bool(tried) and not lost.unreached
            if again and not self.retries.spend(work.service.name):
                self.record(work, "no retry", "the retry limit is reached", lost)
                return self.give_up(work, lost, runs)
            tried.append(endpoint.id)
            result = await self.send(work, endpoint, left, len(tried))
            if isinstance(result, Answered):
                return result
            lost = result
            self.note(lost)
            if lost.verdict is not Verdict.NOT_RUN:
                runs += 1
            self.record(work, endpoint.id, lost.detail, lost)
            if not self.may_repeat(work, runs):
                return self.give_up(work, lost, runs)

    def may_repeat(self, work: Work, runs: int) -> bool:
        """Whether a request may be sent to another endpoint."""
        if not runs:
            return True
        return work.route.repeat is Repeat.ANY and runs < work.route.max_attempts

    def give_up(self, work: Work, lost: Lost, runs: int) -> Answered | Failure:
        """Return the final answer to a request that no endpoint answered well."""
        if lost.fallback is not None:
            return lost.fallback
        if not runs:
            left = work.deadline - self.clock.monotonic()
            return refused(NO_ENDPOINT, lost.detail, min(RETRY_AFTER, max(0, left) / 3))
        if self.clock.monotonic() >= work.deadline:
            reason = (
                DEADLINE_PASSED if work.route.repeat is Repeat.ANY else OUTCOME_UNKNOWN
            )
            return Failure(Verdict.MAY_HAVE_RUN, reason, lost.detail)
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, lost.detail)

    def pick(self, service: str, tried: list[str]) -> Endpoint | None:
        """Return the endpoint with the most free slots, or None."""
        now = self.clock.monotonic()
        known = [
            endpoint
            for endpoint in self.directory.of_service(service)
            if not endpoint.registration.leaving and endpoint.id not in tried
        ]
        usable = [endpoint for endpoint in known if endpoint.usable(now)] or known
        if not usable:
            return None
        return min(usable, key=self.cost)

    def cost(self, endpoint: Endpoint) -> float:
        """Return the load by which endpoints are compared."""
        registration = endpoint.registration
        load = endpoint.in_flight / registration.slots
        load = max(load, self.health.reported_load(endpoint))
        if registration.failure_domain != self.failure_domain:
            load += DOMAIN_PREFERENCE
        return load + 0.01 * self.random.random()

    async def send(
        self, work: Work, endpoint: Endpoint, left: float, number: int
    ) -> Answered | Lost:
        """Send a request to one endpoint and read its whole answer."""
        limit = left
        again = work.route.repeat is Repeat.ANY and number < work.route.max_attempts
        if again:
            limit = min(left, TRY_SHARE * (work.deadline - work.arrived))
        endpoint.in_flight += 1
        try:
            with trio.move_on_after(limit):
                return await self.exchange(work, endpoint, left)
        except ConnectionFailed as error:
            verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
            culprit = None if error.reused else endpoint
            return Lost(verdict, str(error), culprit, unreached=not error.sent)
        finally:
            endpoint.in_flight -= 1
        detail = f"no answer within {limit:.2f} s"
        return Lost(Verdict.MAY_HAVE_RUN, detail, endpoint)

    async def exchange(
        self, work: Work, endpoint: Endpoint, left: float
    ) -> Answered | Lost:
        """Send a request and decode the answer.

        Raises:
            ConnectionFailed: The connection could not be opened or broke.
        """
        fields = endpoint_headers(
            work.request,
            endpoint=endpoint.id,
            workspace=work.workspace,
            seconds=left,
            priority=work.priority,
            body=work.body,
        )
        async with self.connections.send(
            endpoint.id,
            endpoint.registration.address,
            work.request.method,
            work.request.target,
            fields,
            work.body,
            # An idle connection may be closed as the request arrives, and then
            # nobody knows whether it ran.
            fresh=work.route.repeat is Repeat.ONCE,
        ) as exchange:
            response = exchange.response
            answer = decode_answer(response.status, response.headers)
            if answer.request_id != work.request.id and not answer.not_run:
                # An answer to an earlier request that came late.
                exchange.idle_seconds = 0.0
                detail = f"answer to request '{answer.request_id}'"
                return Lost(Verdict.MAY_HAVE_RUN, detail, endpoint)
            if answer.reusable_seconds is not None:
                exchange.idle_seconds = answer.reusable_seconds
            body = await response.aread()
        self.health.answered(endpoint, answer)
        if answer.misdirected:
            self.health.unusable(endpoint, "it says that the request is not for it")
        if answer.not_run:
            return Lost(Verdict.NOT_RUN, f"refused with {answer.status}", endpoint)
        if not answer.genuine:
            detail = f"status {answer.status} without a signature"
            return Lost(Verdict.MAY_HAVE_RUN, detail, endpoint)
        whole = Answered(answer.status, answer.fields, body)
        if answer.status >= SERVER_ERROR:
            detail = f"status {answer.status}"
            return Lost(Verdict.RAN, detail, endpoint, fallback=whole)
        return whole

    def note(self, lost: Lost) -> None:
        """Mark the endpoint that failed a try."""
        if lost.unreached:
            self.health.unusable(lost.culprit, lost.detail)
        elif lost.culprit is not None and lost.fallback is None:
            self.health.failed(lost.culprit, lost.detail)

    def record(self, work: Work, choice: str, reason: str, lost: Lost) -> None:
        """Write what became of a try."""
        self.journal.record(
            "try",
            work.request.id,
            choice,
            reason,
            service=work.service.name,
            verdict=lost.verdict.value,
            age=round(self.clock.monotonic() - work.arrived, 4),
        )
