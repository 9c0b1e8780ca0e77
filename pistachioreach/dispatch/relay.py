"""Requests that this entry sends through other entries while it is cut off.

Answers the load of an entry that has lost its links to all endpoints, but not those to
callers and to the other entries. The balancer goes on sending callers to it if most
entries of its failure domain are in the same state, and callers keep their connections.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.events import EventError
from pistachioreach.dispatch.forwarding import forward_events
from pistachioreach.dispatch.work import (
    CompleteResponse,
    FailedAttempt,
    Finished,
    refused,
)
from pistachioreach.endpoints.connections import read_body
from pistachioreach.errors import ConnectionFailed
from pistachioreach.platform.relay_proof import relay_probe_headers
from pistachioreach.platform.requests import (
    decode_response,
    relay_headers,
)
from pistachioreach.verdict import (
    CUT_OFF,
    ENDPOINT_FAILED,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    RELAY_REFUSED,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.configuration.row import Member
    from pistachioreach.dispatch.events import EventSplitter
    from pistachioreach.dispatch.work import Reply, RoutedRequest
    from pistachioreach.endpoints.connections import Connections, Exchange
    from pistachioreach.endpoints.directory import Directory
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.journal import Journal
    from pistachioreach.knowledge.entries import KnownEntries
    from pistachioreach.metrics import Metrics
    from pistachioreach.platform.requests import EndpointResponse

__all__ = ["EntryRelay"]

#: Maximum number of entries to which a request is sent until one accepts it.
MAX_ENTRIES = 8
#: Seconds for which an entry that did not accept a request gets no other.
REFUSED_SECONDS = 0.5
#: Seconds for which an entry that could not be reached gets no request.
UNREACHED_SECONDS = 2.0
#: Seconds in which an entry answers whether it accepts requests.
AVAILABLE_SECONDS = 0.1
#: Retry-After, in seconds, of a request that no entry accepted. A retry goes to another
#: entry.
CUT_OFF_RETRY_SECONDS = 0.3
#: Status codes with which an entry does not accept a request because it is cut off as
#: well, or because it has an older configuration.
NOT_ACCEPTED_STATUSES = frozenset((401, 404, RELAY_REFUSED.status))
#: Status codes with which an entry refuses a request that has not run, for its caller.
REFUSAL_STATUSES = frozenset((408, 429, 503))
#: Status code of an entry that does not know whether a request ran.
UNKNOWN_OUTCOME_STATUS = 504
#: Lowest status code of a response that is not a stream.
FIRST_NON_STREAM_STATUS = 300


class EntryRelay:
    """Sends requests through other entries while this entry is cut off.

    Args:
        entries: The other entries.
        connections: Connections to the other entries.
        links: Finds out whether this entry is cut off from all endpoints.
        directory: Directory of the registered endpoints.
        journal: Journal of the decisions.
        metrics: Counters and gauges.
        clock: Clock of all decisions.
        random: Source of the order in which entries are tried.
        key: Key shared by the entries, by which this one proves that it sends a
            request.
    """

    def __init__(
        self,
        entries: KnownEntries,
        connections: Connections,
        links: LinkMonitor,
        directory: Directory,
        journal: Journal,
        metrics: Metrics,
        clock: Clock,
        random: Random,
        key: bytes,
    ) -> None:
        #: The other entries.
        self.entries = entries
        #: Connections to the other entries.
        self.connections = connections
        #: Finds out whether this entry is cut off from all endpoints.
        self.links = links
        #: Directory of the registered endpoints.
        self.directory = directory
        #: Journal of the decisions.
        self.journal = journal
        #: Counters and gauges.
        self.metrics = metrics
        #: Clock of all decisions.
        self.clock = clock
        #: Source of the order in which entries are tried.
        self.random = random
        #: Key shared by the entries.
        self.key = key
        #: Monotonic time, in seconds, until which an entry gets no request, by name.
        self.avoided_until: dict[str, float] = {}

    def is_needed(self, routed: RoutedRequest) -> bool:
        """Return whether a request must go through another entry.

        One that another entry has sent goes no further.
        """
        return self.links.cut_off and routed.request.relayed_by is None

    def refuse_relayed(self, routed: RoutedRequest) -> Failure | None:
        """Return the refusal of a request of another entry, or None to accept it."""
        if not self.links.cut_off or routed.request.relayed_by is None:
            return None
        return refused(RELAY_REFUSED, "this entry reaches no endpoint either")

    def refuse(self) -> Failure:
        """Return the refusal of a request that no entry accepted."""
        detail = "neither endpoints nor entries that reach them can be reached"
        return refused(CUT_OFF, detail, CUT_OFF_RETRY_SECONDS)

    def candidates(self) -> list[Member]:
        """Return the entries that may accept a request, in random order."""
        now = self.clock.monotonic()
        members = [
            member
            for member in self.entries.members.values()
            if member.name != self.entries.own_member.name
            and member.callers
            and member.name not in self.entries.contacts.unreachable
            and self.avoided_until.get(member.name, 0.0) <= now
        ]
        self.random.shuffle(members)
        return members[:MAX_ENTRIES]

    def avoid(self, member: Member, seconds: float) -> None:
        """Send no request to an entry for some time."""
        self.avoided_until[member.name] = self.clock.monotonic() + seconds

    async def is_available(self) -> bool:
        """Return whether this entry is cut off and another one is not."""
        if not await self.links.check():
            return False
        for member in self.candidates():
            if await self.accepts_requests(member):
                return True
        return False

    async def accepts_requests(self, member: Member) -> bool:
        """Return whether an entry can be reached and is not cut off."""
        own_name = self.entries.own_member.name
        with trio.move_on_after(AVAILABLE_SECONDS):
            try:
                response = await self.connections.call(
                    member.name,
                    member.callers,
                    "GET",
                    "/",
                    headers=relay_probe_headers(own_name, self.key),
                    fresh=True,
                )
            except ConnectionFailed:
                pass
            else:
                if response.status != RELAY_REFUSED.status:
                    return True
                self.avoid(member, REFUSED_SECONDS)
                return False
        self.avoid(member, UNREACHED_SECONDS)
        return False

    async def call(self, routed: RoutedRequest) -> CompleteResponse | Failure | None:
        """Send a request for a complete response through another entry.

        Returns:
            The response or the failure, or None if no entry accepted the request.
        """
        for member in self.candidates():
            outcome = Failure(
                Verdict.MAY_HAVE_RUN, OUTCOME_UNKNOWN, "no answer by the deadline"
            )
            with trio.move_on_after(self.seconds_left(routed)):
                outcome = await self.call_entry(routed, member)
            self.record(routed, member, outcome)
            if outcome is not None:
                return outcome
        return None

    async def call_entry(
        self, routed: RoutedRequest, member: Member
    ) -> CompleteResponse | Failure | None:
        """Send a request for a complete response through one entry, see `call`."""
        last_event = routed.request.last_event
        try:
            async with self.send(routed, member, last_event) as (exchange, answer):
                body = await read_body(exchange.response)
        except ConnectionFailed as error:
            if not error.sent:
                self.avoid(member, UNREACHED_SECONDS)
                return None
            return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, str(error))
        return self.judge(routed, member, answer, body)

    async def stream(
        self, routed: RoutedRequest, reply: Reply, events: EventSplitter
    ) -> Finished | FailedAttempt | CompleteResponse | Failure | None:
        """Send a stream through another entry and forward its events.

        Args:
            routed: The request for the stream.
            reply: Reply to the caller.
            events: Events that the caller has received.

        Returns:
            How the attempt ended, or None if no entry accepted the request.
        """
        for member in self.candidates():
            outcome = await self.stream_through(routed, reply, events, member)
            self.record(routed, member, outcome)
            if outcome is not None:
                return outcome
        return None

    async def stream_through(
        self,
        routed: RoutedRequest,
        reply: Reply,
        events: EventSplitter,
        member: Member,
    ) -> Finished | FailedAttempt | CompleteResponse | Failure | None:
        """Send a stream through one entry and forward its events, see `stream`."""
        events.discard_partial()
        number_before = events.last_number
        detail = "the deadline has passed"
        with trio.move_on_after(self.seconds_left(routed)):
            try:
                async with self.send(routed, member, number_before, True) as (
                    exchange,
                    answer,
                ):
                    if is_stream(routed, answer):
                        await forward_events(exchange, answer, reply, events)
                        return Finished()
                    body = await read_body(exchange.response)
                return self.judge(routed, member, answer, body)
            except (ConnectionFailed, EventError) as error:
                if isinstance(error, ConnectionFailed) and not error.sent:
                    self.avoid(member, UNREACHED_SECONDS)
                    return None
                detail = str(error)
        ran = events.last_number != number_before
        return FailedAttempt(Verdict.RAN if ran else Verdict.MAY_HAVE_RUN, detail)

    @asynccontextmanager
    async def send(
        self,
        routed: RoutedRequest,
        member: Member,
        last_event: int | None,
        unlimited: bool = False,
    ) -> AsyncIterator[tuple[Exchange, EndpointResponse]]:
        """Send a request to another entry; yield its response with an unread body.

        Args:
            routed: The request.
            member: The other entry.
            last_event: Number of the event after which the stream resumes, or None.
            unlimited: Whether the body of the response may be of any length.

        Raises:
            ConnectionFailed: The connection could not be opened or broke.
        """
        fields = relay_headers(
            routed.request,
            entry=self.entries.own_member.name,
            key=self.key,
            seconds=self.seconds_left(routed),
            body=routed.body,
            last_event=last_event,
        )
        async with self.connections.send(
            member.name,
            member.callers,
            routed.request.method,
            routed.request.target,
            fields,
            routed.body,
            # As for a call that may not be repeated: an idle connection may be closed
            # just as the request arrives.
            fresh=True,
            unlimited=unlimited,
        ) as exchange:
            exchange.idle_seconds = 0.0
            response = exchange.response
            answer = decode_response(response.status, response.headers)
            if answer.leaving_run is not None:
                self.directory.mark_leaving(answer.leaving_run)
            yield exchange, answer

    def judge(
        self,
        routed: RoutedRequest,
        member: Member,
        answer: EndpointResponse,
        body: bytes,
    ) -> CompleteResponse | Failure | None:
        """Return what the complete response of an entry means.

        Returns:
            The response of an endpoint, a failure for the caller, or None if the entry
            did not accept the request.
        """
        if answer.signed and not answer.belongs_to_another(routed.request.id):
            return CompleteResponse(answer.status, answer.fields, body, member.name)
        detail = f"status {answer.status} of entry '{member.name}'"
        if answer.status in NOT_ACCEPTED_STATUSES:
            self.avoid(member, REFUSED_SECONDS)
            return None
        if answer.status in REFUSAL_STATUSES:
            return refused(NO_ENDPOINT, detail, answer.refused_seconds)
        reason = ENDPOINT_FAILED
        if answer.status == UNKNOWN_OUTCOME_STATUS:
            reason = OUTCOME_UNKNOWN
        return Failure(Verdict.MAY_HAVE_RUN, reason, detail)

    def seconds_left(self, routed: RoutedRequest) -> float:
        """Return the seconds until the deadline of a request."""
        return max(0.0, routed.deadline - self.clock.monotonic())

    def record(
        self,
        routed: RoutedRequest,
        member: Member,
        outcome: Finished | FailedAttempt | CompleteResponse | Failure | None,
    ) -> None:
        """Record the result of an attempt through another entry."""
        kind = reason = "not accepted"
        if isinstance(outcome, Finished):
            kind = reason = "streamed"
        elif isinstance(outcome, CompleteResponse):
            kind, reason = "answered", f"answered with {outcome.status}"
        elif outcome is not None:
            kind, reason = "failed", outcome.detail
        self.metrics.incr("relayed_requests", outcome=kind)
        self.journal.record(
            "relay",
            routed.request.id,
            member.name,
            reason,
            checked=round(self.clock.monotonic() - self.links.checked_at, 3),
            age=round(self.clock.monotonic() - routed.arrived, 4),
        )


def is_stream(routed: RoutedRequest, answer: EndpointResponse) -> bool:
    """Return whether a response is the stream that answers a request."""
    return (
        answer.signed
        and not answer.belongs_to_another(routed.request.id)
        and answer.status < FIRST_NON_STREAM_STATUS
    )
