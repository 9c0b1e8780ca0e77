"""Requests of an entry that is cut off, which other entries serve."""

import random

import pytest
import trio

from pistachioreach.configuration.row import Member
from pistachioreach.dispatch.relay import MAX_ENTRIES
from pistachioreach.dispatch.work import CompleteResponse
from pistachioreach.errors import ConnectionFailed, ResponseAborted
from pistachioreach.platform.relay_proof import relay_field
from pistachioreach.verdict import CUT_OFF, RELAY_REFUSED, Failure, Verdict
from tests.dispatch.test_plain import REQUEST, PlainEntry
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import RELAY_KEY, ScriptedResponse, events


def cut_off(entry, others=3):
    """Cut an entry off from all endpoints, and let it know some other entries."""
    entry.links.cut_off = True
    own = entry.relay.entries.own_member
    members = [
        Member(f"other-{number}", "127.0.0.1:1", "anta", "", 0.0, f"127.0.0.1:{number}")
        for number in range(2, 2 + others)
    ]
    entry.relay.entries.members = {member.name: member for member in [own, *members]}
    return entry


def failure(sent):
    """Return the failure of a connection to another entry."""
    return ConnectionFailed("other", sent, "reset")


def own_answer(status, *steps, **fields):
    """Return a response that another entry itself creates."""
    response = ScriptedResponse(*steps, status=status)
    response.headers = [(name.encode(), value) for name, value in fields.items()]
    return response


def receivers(entry):
    """Return the names of the entries and endpoints that got the request, in order."""
    return [peer for peer, _ in entry.connections.sent]


async def test_call_is_served_through_another_entry(autojump_clock):
    entry = cut_off(PlainEntry(ScriptedResponse(b"booked")))
    outcome = await entry.run()
    assert (outcome.status, outcome.body) == (200, b"booked")
    ((peer, fields),) = entry.connections.sent
    assert peer.startswith("other-")
    assert fields[b"relayed-by"] == relay_field("entry-1", REQUEST, RELAY_KEY)
    assert fields[b"authorization"].startswith(b"Token ")
    assert 1400 < int(fields[b"deadline-ms"]) <= 1500
    assert b"expect-instance" not in fields
    assert entry.connections.fresh == [True]


@pytest.mark.parametrize(
    "first", [failure(sent=False), own_answer(421), own_answer(404), own_answer(401)]
)
async def test_entry_that_does_not_accept_a_call_is_passed_over(autojump_clock, first):
    entry = cut_off(PlainEntry(first, ScriptedResponse(b"booked")))
    assert (await entry.run()).body == b"booked"
    refusing, serving = receivers(entry)
    assert refusing != serving
    # It gets no further request for a while.
    entry.connections.responses = [ScriptedResponse(b"booked")] * 5
    for _ in range(5):
        await entry.run()
    assert refusing not in receivers(entry)[1:]


@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent"])
@pytest.mark.parametrize(
    "first",
    [failure(sent=True), own_answer(502), own_answer(504), own_answer(500)],
)
async def test_call_that_may_have_run_is_sent_to_one_entry(autojump_clock, first, kind):
    entry = cut_off(PlainEntry(first, ScriptedResponse(b"booked")))
    outcome = await entry.run(kind)
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert len(entry.connections.sent) == 1


async def test_refusal_of_another_entry_reaches_the_caller(autojump_clock):
    refusal = own_answer(503, **{"retry-after": b"0.75"})
    entry = cut_off(PlainEntry(refusal, ScriptedResponse(b"booked")))
    outcome = await entry.run()
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.retry_after == 0.75
    assert len(entry.connections.sent) == 1


async def test_failure_of_an_endpoint_reaches_the_caller(autojump_clock):
    entry = cut_off(PlainEntry(ScriptedResponse(b"broken", status=500)))
    outcome = await entry.run()
    assert isinstance(outcome, CompleteResponse)
    assert (outcome.status, outcome.body) == (500, b"broken")


@pytest.mark.parametrize("others", [0, 3, 30])
async def test_call_that_no_entry_accepts_is_refused_at_once(autojump_clock, others):
    entry = cut_off(PlainEntry(*[own_answer(421)] * 30), others)
    outcome = await entry.run()
    assert outcome.reason is CUT_OFF
    assert outcome.verdict is Verdict.NOT_RUN
    assert 0 < outcome.retry_after < 1.0
    assert len(entry.connections.sent) == min(others, MAX_ENTRIES)
    assert trio.current_time() < 0.1


async def test_silent_entry_is_given_up_at_the_deadline(autojump_clock):
    entry = cut_off(PlainEntry(ScriptedResponse(30.0), ScriptedResponse(b"booked")))
    outcome = await entry.run(seconds=1.5)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert trio.current_time() == pytest.approx(1.5, abs=0.1)
    assert len(entry.connections.sent) == 1


async def test_call_after_its_deadline_is_not_sent(autojump_clock):
    entry = cut_off(PlainEntry(ScriptedResponse(b"booked")))
    outcome = await entry.run(seconds=0.0)
    assert outcome.verdict is Verdict.NOT_RUN
    assert entry.connections.sent == []


@pytest.mark.parametrize("builder", [PlainEntry, StreamEntry])
async def test_request_of_another_entry_goes_no_further(autojump_clock, builder):
    # Guards against requests that go in circles among entries that are cut off.
    entry = cut_off(builder(ScriptedResponse(b"booked")))
    outcome = await entry.run(relayed_by="other-2")
    assert outcome.reason is RELAY_REFUSED
    assert outcome.verdict is Verdict.NOT_RUN
    assert entry.connections.sent == []


async def test_links_that_are_lost_during_a_call_send_it_to_another_entry(
    autojump_clock,
):
    entry = cut_off(PlainEntry(failure(sent=False), ScriptedResponse(b"booked")))
    entry.links.cut_off = False
    entry.cut_off = True
    assert (await entry.run()).body == b"booked"
    endpoint, other = receivers(entry)
    assert endpoint.startswith("s")
    assert other.startswith("other-")


async def test_call_that_may_have_run_before_the_cut_is_not_sent_again(autojump_clock):
    entry = cut_off(PlainEntry(failure(sent=True), ScriptedResponse(b"booked")))
    entry.links.cut_off = False
    entry.cut_off = True
    outcome = await entry.run("non_idempotent")
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert len(entry.connections.sent) == 1


async def test_repeated_call_counts_against_the_retry_limit(autojump_clock):
    scripts = (failure(sent=True), ScriptedResponse(b"read"))
    entry = cut_off(PlainEntry(*scripts, slack=0.0))
    entry.links.cut_off = False
    entry.cut_off = True
    outcome = await entry.run("idempotent")
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert len(entry.connections.sent) == 1


async def test_stream_is_served_through_another_entry(autojump_clock):
    entry = cut_off(StreamEntry(ScriptedResponse(events(1, 3), 0.02, events(4, 5))))
    assert await entry.run() is None
    assert entry.reply.data == events(1, 5)
    assert entry.reply.ended


async def test_answer_that_has_begun_goes_on_through_another_entry(autojump_clock):
    entry = cut_off(
        StreamEntry(
            ScriptedResponse(events(1, 2), failure(sent=True)),
            ScriptedResponse(events(3, 5)),
        )
    )
    entry.links.cut_off = False
    engines = entry.directory.endpoints.values()
    entry.refusing = {engine.registration.address for engine in engines}
    assert await entry.run() is None
    assert entry.reply.data == events(1, 5)
    _, (other, fields) = entry.connections.sent
    assert other.startswith("other-")
    assert fields[b"last-event-id"] == b"2"


async def test_silent_run_goes_on_through_another_entry(autojump_clock):
    entry = cut_off(
        StreamEntry(
            ScriptedResponse(events(1, 2), 30.0), ScriptedResponse(events(3, 5))
        )
    )
    entry.links.cut_off = False
    engines = entry.directory.endpoints.values()
    entry.dark = {engine.registration.address for engine in engines}
    entry.connections.call_responses["/"] = 404, {}
    assert await entry.run() is None
    assert entry.reply.data == events(1, 5)
    assert trio.current_time() < 1.0


async def test_silent_run_is_kept_if_all_entries_are_cut_off(autojump_clock):
    entry = cut_off(StreamEntry(ScriptedResponse(events(1, 2), 1.2, events(3, 4))))
    entry.links.cut_off = False
    engines = entry.directory.endpoints.values()
    entry.dark = {engine.registration.address for engine in engines}
    entry.connections.call_responses["/"] = 421, {}
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 1


async def test_stream_that_breaks_at_one_entry_is_resumed_at_another(autojump_clock):
    entry = cut_off(
        StreamEntry(
            ScriptedResponse(events(1, 2), failure(sent=True)),
            ScriptedResponse(events(3, 5)),
        )
    )
    assert await entry.run(**{"max-attempts": 2}) is None
    assert entry.reply.data == events(1, 5)


@pytest.mark.parametrize("refusal", [503, 421])
async def test_answer_that_has_begun_waits_for_an_entry(autojump_clock, refusal):
    entry = cut_off(
        StreamEntry(
            ScriptedResponse(events(1, 2), failure(sent=True)),
            *[own_answer(refusal)] * 3,
            ScriptedResponse(events(3, 5)),
        )
    )
    assert await entry.run(**{"max-attempts": 2}) is None
    assert entry.reply.data == events(1, 5)


async def test_stream_that_is_not_resumable_runs_through_one_entry(autojump_clock):
    entry = cut_off(
        StreamEntry(
            ScriptedResponse(events(1, 2), failure(sent=True)),
            ScriptedResponse(events(3, 5)),
        )
    )
    with pytest.raises(ResponseAborted):
        await entry.run(resumable=False)
    assert len(entry.connections.sent) == 1


async def test_entries_are_tried_in_random_order(autojump_clock):
    entry = cut_off(PlainEntry(), others=6)
    entry.relay.random = random.Random(2)
    for _ in range(60):
        entry.connections.responses = [ScriptedResponse(b"booked")]
        await entry.run()
    counts = {name: receivers(entry).count(name) for name in receivers(entry)}
    assert len(counts) == 6
    assert max(counts.values()) < 25
