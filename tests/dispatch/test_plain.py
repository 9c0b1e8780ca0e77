"""Requests to plain services: at most one run, correct verdicts, complete answers."""

import random

import pytest

from pistachioreach.clock import TrioClock
from pistachioreach.dispatch.plain import PlainDispatcher
from pistachioreach.dispatch.work import CompleteResponse, RoutedRequest
from pistachioreach.endpoints.directory import Directory
from pistachioreach.endpoints.health import HealthTracker
from pistachioreach.endpoints.link_monitor import LinkMonitor
from pistachioreach.errors import ConnectionFailed
from pistachioreach.journal import Journal
from pistachioreach.platform.requests import decode_request
from pistachioreach.routing.retries import RetryLimit
from pistachioreach.routing.suspects import SuspectTracker
from pistachioreach.verdict import Failure, Verdict
from tests.platform_builders import (
    ScriptedConnections,
    ScriptedResponse,
    caller_fields,
    endpoint,
    events,
    lone_permits,
    lone_relay,
    route_document,
    route_table,
)

#: Identifier of the callers' requests, and of the scripted responses.
REQUEST = "9c41d07be2a35f68"


class PlainEntry:
    """One entry with three servers of a plain service."""

    def __init__(self, *scripts, servers=3, slack=100.0):
        self.clock = TrioClock()
        self.directory = Directory()
        for number in range(servers):
            id = f"s{number}"
            self.directory.endpoints[id] = endpoint(
                id, 0, 0, "", service="bookings", slots=6
            )
        self.connections = ScriptedConnections(*scripts)
        # Whether this entry reaches no server.
        self.cut_off = False
        self.links = LinkMonitor(
            self.directory, self.accepts_connection, self.clock, random.Random(1)
        )
        self.health = HealthTracker(self.clock)
        self.suspects = SuspectTracker(self.clock)
        self.relay = lone_relay(self.clock, self.connections, self.links)
        self.dispatcher = PlainDispatcher(
            directory=self.directory,
            connections=self.connections,
            links=self.links,
            relay=self.relay,
            health=self.health,
            suspects=self.suspects,
            permits=lone_permits(self.clock, self.health.limits),
            retries=RetryLimit(0.2, slack, 10.0, lambda: 1, self.clock),
            journal=Journal(self.clock),
            clock=self.clock,
            random=random.Random(1),
            failure_domain="urubamba",
        )

    async def accepts_connection(self, address):
        return not self.cut_off

    async def run(
        self,
        kind="non_idempotent",
        seconds=1.5,
        fingerprint="f",
        last_event=None,
        request=REQUEST,
        relayed_by=None,
        **route,
    ):
        routes = route_table(routes=[route_document("/b/", kind, "bookings", **route)])
        now = self.clock.monotonic()
        fields = caller_fields(last_event_id=last_event, attempt_id=request)
        decoded = decode_request("POST", b"/b/x", fields)
        routed = RoutedRequest(
            request=decoded._replace(relayed_by=relayed_by),
            body=b"{}",
            route=routes.routes["crews.example"][0],
            service=routes.services["bookings"],
            workspace="crews",
            priority=2,
            arrived=now,
            deadline=now + seconds,
            fingerprint=fingerprint,
        )
        outcome = await self.dispatcher.run(routed)
        assert all(not e.in_flight for e in self.directory.endpoints.values())
        return outcome


def connection_failure(sent, reused=False):
    return ConnectionFailed("s", sent, "reset", reused)


async def test_late_refusal_of_an_earlier_request_says_nothing_of_this_one(
    autojump_clock,
):
    late = ScriptedResponse(status=503, not_run=True, request="0" * 16)
    entry = PlainEntry(late, ScriptedResponse(b"booked"))
    outcome = await entry.run()
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert len(entry.connections.sent) == 1


async def test_response_is_passed_on_unchanged(autojump_clock):
    outcome = await PlainEntry(ScriptedResponse(b"booked")).run()
    assert isinstance(outcome, CompleteResponse)
    assert (outcome.status, outcome.body) == (200, b"booked")


@pytest.mark.parametrize(
    "script",
    [
        ScriptedResponse(connection_failure(True)),
        ScriptedResponse(b"half", connection_failure(True)),
        connection_failure(True),
        connection_failure(True, reused=True),
        ScriptedResponse(b"x", request="another"),
        ScriptedResponse(9.0),
    ],
)
async def test_call_that_may_have_run_is_never_repeated(autojump_clock, script):
    entry = PlainEntry(script, ScriptedResponse(b"booked twice"))
    outcome = await entry.run()
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason.status in (502, 504)
    assert len(entry.connections.sent) == 1


@pytest.mark.parametrize(
    "script", [ScriptedResponse(status=503, not_run=True), connection_failure(False)]
)
async def test_call_that_did_not_run_goes_to_another_server(autojump_clock, script):
    entry = PlainEntry(script, ScriptedResponse(b"booked"))
    assert (await entry.run()).body == b"booked"
    assert len({id for id, _ in entry.connections.sent}) == 2


async def test_call_refused_by_all_servers_is_not_run(autojump_clock):
    entry = PlainEntry(*[ScriptedResponse(status=503, not_run=True) for _ in range(3)])
    outcome = await entry.run()
    assert outcome.verdict is Verdict.NOT_RUN
    assert 0 < outcome.retry_after <= 0.5


async def test_call_without_servers_is_refused_at_once(autojump_clock):
    outcome = await PlainEntry(servers=0).run()
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason.status == 503


async def test_repeatable_request_is_retried_within_max_attempts(autojump_clock):
    entry = PlainEntry(ScriptedResponse(9.0), ScriptedResponse(b"read"))
    assert (await entry.run("idempotent")).body == b"read"
    entry = PlainEntry(
        connection_failure(True), connection_failure(True), ScriptedResponse(b"third")
    )
    outcome = await entry.run("idempotent")
    assert isinstance(outcome, Failure)
    assert len(entry.connections.sent) == 2


async def test_server_error_is_retried_or_passed_on(autojump_clock):
    entry = PlainEntry(ScriptedResponse(b"bad", status=500), ScriptedResponse(b"good"))
    assert (await entry.run("idempotent")).body == b"good"
    entry = PlainEntry(
        ScriptedResponse(b"bad", status=500), ScriptedResponse(b"worse", status=500)
    )
    assert (await entry.run("idempotent")).status == 500
    entry = PlainEntry(ScriptedResponse(b"bad", status=500), ScriptedResponse(b"good"))
    assert (await entry.run("non_idempotent")).status == 500


async def test_unknown_outcome_at_deadline_is_not_reported_as_refused(autojump_clock):
    outcome = await PlainEntry(ScriptedResponse(9.0)).run(seconds=0.5)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason.status == 504


async def test_retries_of_all_requests_stay_within_limit(autojump_clock):
    # Every server fails. The retry limit for 100 requests is 0.2 x 100 retries plus a
    # slack of 10.
    scripts = [connection_failure(True) for _ in range(400)]
    entry = PlainEntry(*scripts, slack=10.0)
    for _ in range(100):
        await entry.run("idempotent")
    assert len(entry.connections.sent) - 100 <= 30


async def test_request_goes_to_server_with_most_free_slots(autojump_clock):
    entry = PlainEntry(ScriptedResponse(b"a"), ScriptedResponse(b"b"))
    endpoints = entry.directory.endpoints
    endpoints["s0"].in_flight, endpoints["s1"].in_flight = 3, 1
    chosen = entry.dispatcher.choose_endpoint("bookings", [])
    assert chosen.id == "s2"
    endpoints["s2"].quarantined_until = entry.clock.monotonic() + 5
    assert entry.dispatcher.choose_endpoint("bookings", []).id == "s1"


@pytest.mark.parametrize("last_event", [None, "3"])
async def test_number_of_the_last_event_is_passed_on(autojump_clock, last_event):
    # Guards against events that a caller gets twice from a service without layers.
    entry = PlainEntry(ScriptedResponse(events(4, 5)))
    outcome = await entry.run("streaming", last_event=last_event)
    assert outcome.body == events(4, 5)
    sent = entry.connections.sent[0][1].get(b"last-event-id")
    assert sent == (last_event and last_event.encode())


async def test_stream_of_a_service_that_ends_inside_an_event_is_not_complete(
    autojump_clock,
):
    # Guards against an answer that broke off and reaches its caller as a success.
    entry = PlainEntry(ScriptedResponse(events(1, 2) + b"id: 3\ndata"))
    outcome = await entry.run("streaming")
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
