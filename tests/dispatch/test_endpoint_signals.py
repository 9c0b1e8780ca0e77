"""Endpoints that state in their answers that they leave."""

from pistachioreach.endpoints.directory import Directory
from tests.dispatch.test_plain import PlainEntry
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import ScriptedResponse, endpoint, events

LEAVING = [(b"server-leaving", b"1")]


async def test_endpoint_that_states_that_it_leaves_gets_no_more_calls(autojump_clock):
    entry = PlainEntry(
        ScriptedResponse(b"read", fields=LEAVING),
        *(ScriptedResponse(b"read") for _ in range(9)),
        servers=2,
    )
    for _ in range(10):
        await entry.run("idempotent")
    first, *others = [endpoint for endpoint, _ in entry.connections.sent]
    assert len(others) == 9
    assert first not in others


async def test_engine_that_states_that_it_leaves_is_in_no_more_chains(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 1), fields=LEAVING),
        *(ScriptedResponse(events(1, 1)) for _ in range(9)),
    )
    for _ in range(10):
        assert await entry.run() is None
    first, *others = [endpoint for endpoint, _ in entry.connections.sent]
    assert len(others) == 9
    assert first not in others


def test_leaving_endpoint_still_leaves_after_its_registration_lapsed():
    directory = Directory()
    registration = endpoint("a").registration
    directory.register(registration)
    directory.endpoints["a"].states_leaving = True
    directory.remove("a", "its registration expired during an outage of the store")
    directory.register(registration)
    assert directory.endpoints["a"].leaving
    directory.register(registration._replace(started_ms=2))
    assert not directory.endpoints["a"].leaving


def test_leaving_endpoint_is_told_to_other_entries():
    one, other = Directory(), Directory()
    for directory in (one, other):
        directory.register(endpoint("a").registration)
        directory.register(endpoint("b", born=2).registration)
    one.endpoints["a"].states_leaving = one.endpoints["b"].states_leaving = True
    other.register(endpoint("b", born=3).registration)
    for run in one.leaving_runs():
        other.mark_leaving(run)
    assert other.endpoints["a"].leaving
    assert not other.endpoints["b"].leaving
