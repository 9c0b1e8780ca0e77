"""Endpoints that state in their answers that they leave."""

import pytest
import trio

from pistachioreach.endpoints.directory import Directory
from pistachioreach.errors import ConnectionFailed
from tests.dispatch.test_plain import PlainEntry
from tests.dispatch.test_relay import cut_off
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import (
    RecordedResponse,
    ScriptedResponse,
    endpoint,
    events,
)

LEAVING = [(b"server-leaving", b"1")]
#: Run of an endpoint that leaves, as another entry states it.
LEAVING_RUN = (b"leaving-run", b"s0/1")


def leaving_ids(entry):
    """Return the identifiers of the endpoints that leave, as far as an entry knows."""
    return [e.id for e in entry.directory.endpoints.values() if e.leaving]


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


@pytest.mark.parametrize(
    "response",
    [
        ScriptedResponse(status=503, not_run=True, fields=LEAVING),
        ScriptedResponse(status=429, not_run=True, fields=LEAVING),
        ScriptedResponse(b"none", status=404, fields=LEAVING),
        ScriptedResponse(b"broken", status=500, fields=LEAVING),
    ],
)
@pytest.mark.parametrize("make_entry", [PlainEntry, StreamEntry])
async def test_endpoint_states_that_it_leaves_with_any_status(
    autojump_clock, response, make_entry
):
    entry = make_entry(response, *[ScriptedResponse(events(1, 1))] * 3)
    await entry.run()
    assert leaving_ids(entry) == [entry.connections.sent[0][0]]


@pytest.mark.parametrize(
    "steps", [(b"re", ConnectionFailed("s", True, "reset")), (30.0,)]
)
async def test_statement_in_an_answer_that_is_not_complete_counts(
    autojump_clock, steps
):
    # Guards against calls to an endpoint that stated its leaving before it fell silent.
    entry = PlainEntry(ScriptedResponse(*steps, fields=LEAVING))
    await entry.run()
    assert leaving_ids(entry) == [entry.connections.sent[0][0]]


@pytest.mark.parametrize("make_entry", [PlainEntry, StreamEntry])
async def test_statement_in_an_answer_that_its_caller_gives_up_counts(
    autojump_clock, make_entry
):
    entry = make_entry(ScriptedResponse(30.0, fields=LEAVING))
    with trio.move_on_after(0.05):
        await entry.run()
    assert leaving_ids(entry) == [entry.connections.sent[0][0]]


async def test_incomplete_answer_does_not_end_the_quarantine_of_its_endpoint(
    autojump_clock,
):
    # Guards against a header section that counts as a success.
    broken = ScriptedResponse(b"re", ConnectionFailed("s", True, "reset"))
    entry = PlainEntry(broken, servers=1)
    server = entry.directory.endpoints["s0"]
    server.failures = 2
    await entry.run()
    assert server.failures == 3


async def test_answer_for_another_entry_names_the_run_that_leaves(autojump_clock):
    entry = PlainEntry(ScriptedResponse(b"read", fields=LEAVING), servers=1)
    outcome = await entry.run(relayed_by="entry-2")
    assert LEAVING_RUN in outcome.fields


async def test_stream_for_another_entry_names_the_run_that_leaves(autojump_clock):
    class FieldsRecorded(RecordedResponse):
        async def start(self, status, fields):
            self.fields = fields
            await super().start(status, fields)

    entry = StreamEntry(ScriptedResponse(events(1, 1), fields=LEAVING))
    reply = FieldsRecorded()
    await entry.run(reply, relayed_by="entry-2")
    (leaving,) = leaving_ids(entry)
    assert (b"leaving-run", b"%s/1" % leaving.encode()) in reply.fields


@pytest.mark.parametrize("relayed_by", [None, "entry-2"])
async def test_field_of_an_endpoint_is_not_taken_for_one_of_an_entry(
    autojump_clock, relayed_by
):
    # Guards against an endpoint that states the leaving of another one.
    fields = [LEAVING_RUN]
    entry = PlainEntry(*[ScriptedResponse(b"read", fields=fields)] * 5)
    for _ in range(5):
        outcome = await entry.run(relayed_by=relayed_by)
        assert LEAVING_RUN not in outcome.fields
    assert leaving_ids(entry) == []


async def test_entry_that_passes_on_an_answer_of_another_entry_knows_who_leaves(
    autojump_clock,
):
    # Guards against calls to the endpoint if the other entry ends before it tells all.
    fields = [*LEAVING, LEAVING_RUN]
    entry = cut_off(PlainEntry(ScriptedResponse(b"read", fields=fields)))
    outcome = await entry.run()
    assert leaving_ids(entry) == ["s0"]
    assert LEAVING[0] in outcome.fields
    assert LEAVING_RUN not in outcome.fields


async def test_entry_that_passes_on_a_stream_of_another_entry_knows_who_leaves(
    autojump_clock,
):
    fields = [*LEAVING, (b"leaving-run", b"b/1")]
    entry = cut_off(StreamEntry(ScriptedResponse(events(1, 2), 30.0, fields=fields)))
    with trio.move_on_after(0.1):
        await entry.run()
    assert entry.reply.started
    assert leaving_ids(entry) == ["b"]


def test_run_that_was_replaced_still_leaves_if_a_late_registration_returns_it():
    directory = Directory()
    registration = endpoint("a").registration
    directory.register(registration)
    directory.endpoints["a"].states_leaving = True
    directory.register(registration._replace(started_ms=2))
    assert not directory.endpoints["a"].leaving
    directory.register(registration)
    assert directory.endpoints["a"].leaving


def test_run_whose_leaving_is_told_after_its_removal_leaves_when_it_returns():
    directory = Directory()
    registration = endpoint("a").registration
    directory.register(registration)
    directory.remove("a", "test")
    directory.mark_leaving("a/1")
    directory.register(registration)
    assert directory.endpoints["a"].leaving


def test_next_run_of_an_endpoint_that_left_leaves_when_it_says_so():
    # Guards against a leaving that is taken for the one of the earlier run.
    directory = Directory()
    registration = endpoint("a").registration._replace(leaving=True)
    for started_ms in (1, 2):
        directory.register(registration._replace(started_ms=started_ms, leaving=False))
        assert not directory.endpoints["a"].leaving
        directory.register(registration._replace(started_ms=started_ms))
        assert directory.endpoints["a"].leaving


def test_endpoint_without_a_stated_start_is_used_again_after_it_left():
    # Guards against endpoints that are never used again since their runs look the same.
    directory = Directory()
    registration = endpoint("a", born=0).registration
    directory.register(registration._replace(leaving=True))
    directory.remove("a", "test")
    directory.register(registration)
    assert not directory.endpoints["a"].leaving


def test_leaving_that_another_answer_states_is_kept_when_the_registration_changes():
    directory = Directory()
    registration = endpoint("a").registration
    directory.register(registration)
    directory.endpoints["a"].states_leaving = True
    directory.register(registration._replace(slots=3))
    assert directory.endpoints["a"].leaving


@pytest.mark.parametrize("make_entry", [PlainEntry, StreamEntry])
async def test_statement_counts_if_the_run_was_registered_again_meanwhile(
    autojump_clock, nursery, make_entry
):
    # Guards against a statement that only the earlier state of the endpoint gets.
    entry = make_entry(ScriptedResponse(events(1, 1), fields=LEAVING))

    async def register_again():
        while not entry.connections.sent:
            await trio.sleep(0.0001)
        for known in list(entry.directory.endpoints.values()):
            entry.directory.remove(known.id, "test")
            entry.directory.register(known.registration)

    nursery.start_soon(register_again)
    await entry.run()
    assert leaving_ids(entry) == [entry.connections.sent[0][0]]


def test_run_that_is_registered_again_keeps_its_requests_in_flight():
    directory = Directory()
    registration = endpoint("a").registration
    directory.register(registration)
    known = directory.endpoints["a"]
    known.in_flight, known.quarantined_until, known.failures = 2, 200.0, 3
    directory.remove("a", "test")
    directory.register(registration._replace(slots=3))
    assert directory.endpoints["a"].in_flight == 2
    assert directory.endpoints["a"].registration.slots == 3
    assert directory.endpoints["a"].usable(100.0)
    directory.register(registration._replace(started_ms=2))
    assert directory.endpoints["a"].in_flight == 0
