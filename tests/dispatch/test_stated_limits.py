"""Endpoints that state how many requests a second they take."""

import trio

from pistachioreach.verdict import Failure, Verdict
from tests.dispatch.test_plain import PlainEntry
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import RecordedResponse, ScriptedResponse, events

#: Requests a second that the endpoint takes.
LIMIT = 2.0
#: Seconds after the first statement from which on the limit holds, and the length in
#: seconds of the window in which requests are counted.
CONTACT_SECONDS, WINDOW_SECONDS = 3.0, 4.0


def limited(*steps):
    """Return a response that states the limit."""
    return ScriptedResponse(*steps, fields=[(b"server-limit", b"%.1f" % LIMIT)])


async def test_endpoint_gets_no_more_calls_than_it_states(autojump_clock):
    entry = PlainEntry(*(limited(b"read") for _ in range(600)), servers=1)
    times = []
    for _ in range(400):
        before = len(entry.connections.sent)
        await entry.run("idempotent")
        if len(entry.connections.sent) > before:
            times.append(trio.current_time())
        await trio.sleep(0.05)
    start = times[0] + CONTACT_SECONDS
    counts = [
        sum(1 for other in times if time - WINDOW_SECONDS < other <= time)
        for time in times
        if time >= start
    ]
    assert max(counts) <= 1.5 * LIMIT * WINDOW_SECONDS + 5
    # Nearly all that the limit allows is used.
    assert sum(1 for time in times if time >= start) >= 0.9 * LIMIT * (20 - 3)


async def test_streams_begin_on_an_engine_no_more_often_than_it_states(
    autojump_clock, nursery
):
    steps = (events(1, 2), 0.05, events(3, 4))
    entry = StreamEntry(*(limited(*steps) for _ in range(600)))
    starts = {"a": [], "c": []}
    served = []

    async def stream():
        reply = RecordedResponse()
        outcome = await entry.dispatcher.run(entry.routed_request(), reply)
        served.append(outcome is None and reply.data == events(1, 4))

    async def admit_waiting():
        while True:
            entry.slots.admit_waiting()
            await trio.sleep(0.1)

    nursery.start_soon(admit_waiting)
    nursery.start_soon(entry.permits.run)
    for _ in range(200):
        before = len(entry.connections.sent)
        nursery.start_soon(stream)
        await trio.sleep(0.1)
        for engine, _ in entry.connections.sent[before:]:
            starts[engine].append(trio.current_time())
    first = min(times[0] for times in starts.values())
    for times in starts.values():
        late = [time for time in times if time >= first + CONTACT_SECONDS]
        counts = [
            sum(1 for other in times if time - WINDOW_SECONDS < other <= time)
            for time in late
        ]
        assert max(counts) <= 1.5 * LIMIT * WINDOW_SECONDS + 5
        assert len(late) >= 0.9 * LIMIT * (20 - 3 - 1)
    assert sum(served) >= 0.9 * 2 * LIMIT * (20 - 4)


async def test_stream_begins_on_an_engine_without_a_limit(autojump_clock):
    entry = StreamEntry(*(ScriptedResponse(events(1, 1)) for _ in range(40)))
    for _ in range(40):
        entry.health.limits.record("a/1", 0.1)
        assert await entry.run() is None
    engines = [engine for engine, _ in entry.connections.sent]
    assert engines.count("a") <= 1


async def test_limit_ends_when_an_answer_states_none(autojump_clock):
    entry = PlainEntry(*(ScriptedResponse(b"read") for _ in range(40)), servers=1)
    entry.health.limits.record("s0/1", 0.5)
    for _ in range(40):
        await entry.run("idempotent")
    assert len(entry.connections.sent) == 40


async def test_call_over_the_limit_is_refused_until_a_permit_is_due(autojump_clock):
    entry = PlainEntry(*(limited(b"read") for _ in range(9)), servers=1)
    for _ in range(6):
        outcome = await entry.run("idempotent")
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.NOT_RUN
    assert 0 < outcome.retry_after <= 0.5
