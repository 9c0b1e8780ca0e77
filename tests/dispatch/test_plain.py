"""Requests to plain services: at most once, true refusals, whole answers."""

import random

import pytest

from pistachioreach.clock import TrioClock
from pistachioreach.dispatch.plain import PlainDispatcher
from pistachioreach.dispatch.work import CompleteResponse, RoutedRequest
from pistachioreach.endpoints.directory import Directory
from pistachioreach.endpoints.health import HealthMarks
from pistachioreach.errors import ConnectionFailed
from pistachioreach.journal import Journal
from pistachioreach.platform.requests import decode_request
from pistachioreach.routing.retries import RetryLimit
from pistachioreach.verdict import Failure, Verdict
from tests.platform_builders import (
    Script,
    ScriptedConnections,
    caller_fields,
    endpoint,
    route_document,
    route_table,
)


class Entry:
    """One entry before three servers of a plain service."""

    def __init__(self, *scripts, servers=3, slack=100.0):
        self.clock = TrioClock()
        self.directory = Directory()
        for number in range(servers):
            id = f"s{number}"
            self.directory.endpoints[id] = endpoint(
                id, 0, 0, "", service="bookings", slots=6
            )
        self.connections = ScriptedConnections(*scripts)
        self.health = HealthMarks(self.clock)
        self.plain = PlainDispatcher(
            directory=self.directory,
            connections=self.connections,
            health=self.health,
            retries=RetryLimit(0.2, slack, 10.0, lambda: 1, self.clock),
            journal=Journal(self.clock),
            clock=self.clock,
            random=random.Random(1),
            failure_domain="urubamba",
        )

    async def run(self, kind="non_idempotent", seconds=1.5, **route):
        routes = route_table(routes=[route_document("/b/", kind, "bookings", **route)])
        now = self.clock.monotonic()
        work = RoutedRequest(
            request=decode_request("POST", b"/b/x", caller_fields()),
            body=b"{}",
            route=routes.routes["crews.example"][0],
            service=routes.services["bookings"],
            workspace="crews",
            priority=2,
            arrived=now,
            deadline=now + seconds,
            fingerprint="f",
        )
        outcome = await self.plain.run(work)
        assert all(not e.in_flight for e in self.directory.endpoints.values())
        return outcome


def broken(sent, reused=False):
    return ConnectionFailed("s", sent, "reset", reused)


async def test_an_answer_passes_unchanged(autojump_clock):
    outcome = await Entry(Script(b"booked")).run()
    assert isinstance(outcome, CompleteResponse)
    assert (outcome.status, outcome.body) == (200, b"booked")


@pytest.mark.parametrize(
    "script",
    [
        Script(broken(True)),
        Script(b"half", broken(True)),
        broken(True),
        broken(True, reused=True),
        Script(b"x", request="another"),
        Script(9.0),
    ],
)
async def test_a_call_that_may_have_run_is_never_sent_again(autojump_clock, script):
    entry = Entry(script, Script(b"booked twice"))
    outcome = await entry.run()
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason.status in (502, 504)
    assert len(entry.connections.sent) == 1


@pytest.mark.parametrize("script", [Script(status=503, not_run=True), broken(False)])
async def test_a_call_that_did_not_run_goes_to_another_server(autojump_clock, script):
    entry = Entry(script, Script(b"booked"))
    assert (await entry.run()).body == b"booked"
    assert len({id for id, _ in entry.connections.sent}) == 2


async def test_a_call_refused_everywhere_is_refused_as_not_run(autojump_clock):
    entry = Entry(*[Script(status=503, not_run=True) for _ in range(3)])
    outcome = await entry.run()
    assert outcome.verdict is Verdict.NOT_RUN
    assert 0 < outcome.retry_after <= 0.5


async def test_without_servers_the_refusal_comes_at_once(autojump_clock):
    outcome = await Entry(servers=0).run()
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason.status == 503


async def test_a_repeatable_request_is_tried_again_within_its_attempts(autojump_clock):
    entry = Entry(Script(9.0), Script(b"read"))
    assert (await entry.run("idempotent")).body == b"read"
    entry = Entry(broken(True), broken(True), Script(b"third"))
    outcome = await entry.run("idempotent")
    assert isinstance(outcome, Failure)
    assert len(entry.connections.sent) == 2


async def test_a_servers_failure_is_bettered_or_passed_on(autojump_clock):
    entry = Entry(Script(b"bad", status=500), Script(b"good"))
    assert (await entry.run("idempotent")).body == b"good"
    entry = Entry(Script(b"bad", status=500), Script(b"worse", status=500))
    assert (await entry.run("idempotent")).status == 500
    entry = Entry(Script(b"bad", status=500), Script(b"good"))
    assert (await entry.run("non_idempotent")).status == 500


async def test_what_is_unknown_at_the_deadline_is_not_called_refused(autojump_clock):
    outcome = await Entry(Script(9.0)).run(seconds=0.5)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason.status == 504


async def test_repeats_of_all_requests_stay_within_the_limit(autojump_clock):
    # Every server fails: callers' 100 requests may be sent again 0.2 x 100 times
    # and 10 times besides.
    scripts = [broken(True) for _ in range(400)]
    entry = Entry(*scripts, slack=10.0)
    for _ in range(100):
        await entry.run("idempotent")
    assert len(entry.connections.sent) - 100 <= 30


async def test_work_goes_to_the_server_with_most_free_slots(autojump_clock):
    entry = Entry(Script(b"a"), Script(b"b"))
    endpoints = entry.directory.endpoints
    endpoints["s0"].in_flight, endpoints["s1"].in_flight = 3, 1
    picked = entry.plain.choose_endpoint("bookings", [])
    assert picked.id == "s2"
    endpoints["s2"].avoided_until = entry.clock.monotonic() + 5
    assert entry.plain.choose_endpoint("bookings", []).id == "s1"
