"""Dispatcher of requests to plain services.

A request that may not be repeated runs at most once. To absorb short bursts, each
request goes to the endpoint with the most free slots, by this entry's own count and
the load that the endpoints last reported. Requests are never queued here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.crashes import (
    blocked_call,
    count_call_crash,
    is_blocked_call,
)
from pistachioreach.dispatch.plain_responses import check_response, limit_idle_time
from pistachioreach.dispatch.sends import check_send
from pistachioreach.dispatch.work import (
    CompleteResponse,
    FailedAttempt,
    refused,
    unsent_attempt,
)
from pistachioreach.endpoints.connections import read_body
from pistachioreach.errors import ConnectionFailed, EndpointLeft
from pistachioreach.platform.requests import decode_response, endpoint_headers
from pistachioreach.routing.routes import RetryPolicy
from pistachioreach.routing.suspects import call_fingerprint
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
    from pistachioreach.dispatch.relay import EntryRelay
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.journal import Journal
    from pistachioreach.knowledge.permits import Permits
    from pistachioreach.routing.retries import RetryLimit
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["PlainDispatcher"]

#: Limit on the attempts of one request, refused and unreached ones included.
#: Attempts after which the request may have run are also limited by the route.
MAX_SENDS = 4
#: Timeout of an attempt that may be repeated, as a share of the time from the
#: request's arrival to its deadline.
ATTEMPT_TIME_SHARE = 0.4
#: Seconds after which a caller may retry if no endpoint ran the request.
RETRY_AFTER_SECONDS = 0.3
#: Load added to the score of an endpoint in another failure domain; such an endpoint
#: is chosen only if its load is lower by more than this.
OTHER_DOMAIN_PENALTY = 0.05


class PlainDispatcher:
    """Sends requests to plain services and retries where that is safe.

    Args:
        directory: Directory of the registered endpoints.
        connections: Connections to the endpoints.
        links: Finds out whether this entry is cut off from all endpoints.
        relay: Sends requests through other entries meanwhile.
        health: Health state of the endpoints, by their responses.
        suspects: Crashes that count against calls.
        permits: Permits for requests to endpoints that state a limit.
        retries: Retry limit by service.
        journal: Journal of the decisions.
        clock: Clock of all decisions.
        random: Source of random choices.
        failure_domain: Failure domain of this entry.
    """

    def __init__(
        self,
        directory: Directory,
        connections: Connections,
        links: LinkMonitor,
        relay: EntryRelay,
        health: HealthTracker,
        suspects: SuspectTracker,
        permits: Permits,
        retries: RetryLimit,
        journal: Journal,
        clock: Clock,
        random: Random,
        failure_domain: str,
    ) -> None:
        #: Directory of the registered endpoints.
        self.directory = directory
        #: Connections to the endpoints.
        self.connections = connections
        #: Finds out whether this entry is cut off from all endpoints.
        self.links = links
        #: Sends requests through other entries meanwhile.
        self.relay = relay
        #: Health state of the endpoints, by their responses.
        self.health = health
        #: Crashes that count against calls.
        self.suspects = suspects
        #: Permits for requests to endpoints that state a limit.
        self.permits = permits
        #: Retry limit by service.
        self.retries = retries
        #: Journal of the decisions.
        self.journal = journal
        #: Clock of all decisions.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: Failure domain of this entry.
        self.failure_domain = failure_domain

    async def run(self, routed: RoutedRequest) -> CompleteResponse | Failure:
        """Send a request to endpoints until it has a response or no attempt is left.

        Returns:
            The response of an endpoint, or the failure.
        """
        if routed.request.relayed_by is None:
            self.retries.count_first_attempt(routed.service.name)
        tried: list[str] = []
        possible_runs = 0
        failed = FailedAttempt(Verdict.NOT_RUN, "no endpoint of the service is usable")
        while True:
            if await is_blocked_call(routed, self.suspects, self.clock):
                if not possible_runs:
                    return blocked_call(routed, self.suspects)
                return self.final_outcome(routed, failed, possible_runs)
            if self.links.cut_off and self.clock.monotonic() < routed.deadline:
                return await self.relay_or_refuse(routed, failed, possible_runs)
            endpoint = await self.choose_permitted(routed.service.name, tried)
            if endpoint is None or len(tried) >= MAX_SENDS:
                return self.final_outcome(routed, failed, possible_runs)
            seconds_left = routed.deadline - self.clock.monotonic()
            if seconds_left <= 0:
                return self.final_outcome(routed, failed, possible_runs)
            is_retry = bool(tried) and not failed.unreached
            if is_retry and not self.retries.spend(routed.service.name):
                self.record_attempt(
                    routed, "no retry", "the retry limit is reached", failed
                )
                return self.final_outcome(routed, failed, possible_runs)
            tried.append(endpoint.id)
            self.permits.use(endpoint)
            result = await self.send(routed, endpoint, seconds_left, len(tried))
            if isinstance(result, CompleteResponse):
                return result
            if result.endpoint_left:
                tried.pop()
                if is_retry:
                    self.retries.refund(routed.service.name)
                continue
            failed = result
            if failed.unanswered:
                await self.links.check()
            if not (failed.unreached and self.links.cut_off):
                self.update_health(failed)
            if failed.verdict is not Verdict.NOT_RUN:
                possible_runs += 1
            self.record_attempt(routed, endpoint.id, failed.detail, failed)
            if not self.may_send_again(routed, possible_runs):
                return self.final_outcome(routed, failed, possible_runs)

    async def relay_or_refuse(
        self, routed: RoutedRequest, failed: FailedAttempt, possible_runs: int
    ) -> CompleteResponse | Failure:
        """Return the outcome of a request while this entry is cut off.

        Args:
            routed: The request, which may be sent again.
            failed: The last attempt.
            possible_runs: Attempts after which the request may have run.
        """
        outcome = self.relay.refuse_relayed(routed)
        if self.relay.is_needed(routed) and (
            not possible_runs or self.retries.spend(routed.service.name)
        ):
            outcome = await self.relay.call(routed)
        if isinstance(outcome, CompleteResponse):
            return outcome
        if not possible_runs:
            return outcome or self.relay.refuse()
        return self.final_outcome(routed, failed, possible_runs)

    def may_send_again(self, routed: RoutedRequest, possible_runs: int) -> bool:
        """Return whether a request may be sent again, to another endpoint.

        Args:
            routed: The request.
            possible_runs: Attempts after which the request may have run.
        """
        if not possible_runs:
            return True
        return (
            routed.route.retry_policy is RetryPolicy.ANY
            and possible_runs < routed.route.max_attempts
        )

    def final_outcome(
        self, routed: RoutedRequest, failed: FailedAttempt, possible_runs: int
    ) -> CompleteResponse | Failure:
        """Return the final outcome of a request whose attempts all failed.

        Args:
            routed: The request.
            failed: The last attempt.
            possible_runs: Attempts after which the request may have run.
        """
        if failed.fallback is not None:
            return failed.fallback
        if not possible_runs:
            seconds_left = routed.deadline - self.clock.monotonic()
            refused_seconds = self.refused_seconds(routed.service.name)
            detail = failed.detail
            if refused_seconds:
                detail = "no endpoint takes more requests now"
            wait = max(RETRY_AFTER_SECONDS, refused_seconds)
            return refused(NO_ENDPOINT, detail, min(wait, max(0, seconds_left) / 3))
        if self.clock.monotonic() >= routed.deadline:
            reason = (
                DEADLINE_PASSED
                if routed.route.retry_policy is RetryPolicy.ANY
                else OUTCOME_UNKNOWN
            )
            return Failure(Verdict.MAY_HAVE_RUN, reason, failed.detail)
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, failed.detail)

    async def choose_permitted(self, service: str, tried: list[str]) -> Endpoint | None:
        """Return the best endpoint that a request may be sent to, or None.

        A permit is obtained for an endpoint that states a limit.
        """
        excluded = list(tried)
        while True:
            endpoint = self.choose_endpoint(service, excluded)
            if endpoint is None or await self.permits.obtain(endpoint):
                return endpoint
            excluded.append(endpoint.id)

    def refused_seconds(self, service: str) -> float:
        """Return the seconds until an endpoint of a service may take a request again.

        Returns 0 if one of them may take a request now, or if there is none.
        """
        now = self.clock.monotonic()
        waits = [
            max(endpoint.refuses_until - now, self.permits.wait_seconds(endpoint), 0.0)
            for endpoint in self.directory.of_service(service)
            if not endpoint.leaving
        ]
        return min(waits, default=0.0)

    def choose_endpoint(self, service: str, tried: list[str]) -> Endpoint | None:
        """Return the endpoint with the most free slots, or None if none is left.

        Endpoints in quarantine after a failure are used only if there are no others.
        """
        now = self.clock.monotonic()
        known = [
            endpoint
            for endpoint in self.directory.of_service(service)
            if endpoint.accepts(now) and endpoint.id not in tried
        ]
        usable = [endpoint for endpoint in known if endpoint.usable(now)] or known
        if not usable:
            return None
        return min(usable, key=self.load_score)

    def load_score(self, endpoint: Endpoint) -> float:
        """Return the score by which endpoints are compared; the lowest is chosen.

        The score is the share of slots in use, with a penalty for another failure
        domain and a small random part that breaks ties.
        """
        registration = endpoint.registration
        load = endpoint.in_flight / registration.slots
        load = max(load, self.health.reported_load(endpoint))
        if registration.failure_domain != self.failure_domain:
            load += OTHER_DOMAIN_PENALTY
        return load + 0.01 * self.random.random()

    async def send(
        self,
        routed: RoutedRequest,
        endpoint: Endpoint,
        seconds_left: float,
        number: int,
    ) -> CompleteResponse | FailedAttempt:
        """Send a request to one endpoint and read the complete response.

        Args:
            routed: The request.
            endpoint: The endpoint.
            seconds_left: Seconds until the request's deadline.
            number: Number of the attempt, from 1.
        """
        timeout = seconds_left
        may_retry = (
            routed.route.retry_policy is RetryPolicy.ANY
            and number < routed.route.max_attempts
        )
        if may_retry:
            timeout = min(
                seconds_left, ATTEMPT_TIME_SHARE * (routed.deadline - routed.arrived)
            )
        endpoint.in_flight += 1
        try:
            with trio.move_on_after(timeout):
                return await self.exchange(routed, endpoint, seconds_left)
        except EndpointLeft as error:
            return unsent_attempt(error)
        except ConnectionFailed as error:
            if error.sent:
                await count_call_crash(
                    routed,
                    endpoint,
                    self.suspects,
                    self.connections,
                    self.links,
                    self.journal,
                )
            verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
            culprit = None if error.reused else endpoint
            return FailedAttempt(
                verdict,
                str(error),
                culprit,
                unreached=not error.sent,
                unanswered=True,
            )
        finally:
            endpoint.in_flight -= 1
        detail = f"no answer within {timeout:.2f} s"
        return FailedAttempt(Verdict.MAY_HAVE_RUN, detail, endpoint, unanswered=True)

    async def exchange(
        self, routed: RoutedRequest, endpoint: Endpoint, seconds_left: float
    ) -> CompleteResponse | FailedAttempt:
        """Send a request and decode the response.

        Raises:
            ConnectionFailed: The connection could not be opened or broke.
            EndpointLeft: The endpoint left before the request was sent.
        """
        fields = endpoint_headers(
            routed.request,
            endpoint=endpoint.id,
            workspace=routed.workspace,
            seconds=seconds_left,
            priority=routed.priority,
            body=routed.body,
            last_event=routed.request.last_event,
        )
        async with self.connections.send(
            endpoint.id,
            endpoint.registration.address,
            routed.request.method,
            routed.request.target,
            fields,
            routed.body,
            # The endpoint may close an idle connection just as the request arrives,
            # and then it is unknown whether the request ran.
            fresh=routed.route.retry_policy is RetryPolicy.ONCE,
            on_send=check_send(
                routed.request.id, [endpoint], self.directory, self.clock
            ),
        ) as exchange:
            response = exchange.response
            answer = decode_response(response.status, response.headers)
            if answer.belongs_to_another(routed.request.id):
                # A late response to an earlier request on this connection.
                exchange.misplaced = True
                detail = f"answer to request '{answer.request_id}'"
                return FailedAttempt(Verdict.MAY_HAVE_RUN, detail, endpoint)
            limit_idle_time(exchange, answer)
            # The body may break off, or its caller may leave.
            self.health.record_statements(endpoint, answer)
            body = await read_body(response)
        result = check_response(routed, endpoint, exchange, answer, body, self.health)
        if isinstance(result, CompleteResponse) or result.fallback is not None:
            self.suspects.clear(call_fingerprint(routed.fingerprint))
        return result

    def update_health(self, failed: FailedAttempt) -> None:
        """Update the health state of the endpoint that failed in an attempt."""
        if failed.unreached:
            self.health.mark_unusable(failed.culprit, failed.detail)
        elif failed.culprit is not None and failed.fallback is None:
            self.health.record_failure(failed.culprit, failed.detail)

    def record_attempt(
        self, routed: RoutedRequest, choice: str, reason: str, failed: FailedAttempt
    ) -> None:
        """Write the result of an attempt to the journal."""
        self.journal.record(
            "try",
            routed.request.id,
            choice,
            reason,
            service=routed.service.name,
            fingerprint=routed.fingerprint,
            verdict=failed.verdict.value,
            age=round(self.clock.monotonic() - routed.arrived, 4),
        )
