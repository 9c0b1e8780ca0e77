"""Answers that have begun: how they go on after failures, and what ends them."""

import pytest
import trio

from pistachioreach.dispatch.prompts import MAX_DEATHS
from pistachioreach.dispatch.stream_limits import Limit
from pistachioreach.dispatch.stream_record import REFUSED_SECONDS
from pistachioreach.endpoints.health import MAX_QUARANTINE_SECONDS
from pistachioreach.errors import ResponseAborted
from pistachioreach.routing.engine_load import EngineLoad, LoadReport
from pistachioreach.routing.paths import kv_cache_capacity
from tests.dispatch.test_link_waits import LinkEntry
from tests.dispatch.test_streams import StreamEntry, connection_failure
from tests.platform_builders import (
    RecordedResponse,
    ScriptedResponse,
    endpoint,
    events,
)


def broken(first, last):
    """Return the response of an engine whose connection breaks after some events."""
    return ScriptedResponse(events(first, last), connection_failure())


@pytest.mark.parametrize(
    ("limit", "route"),
    [
        (Limit.BLOCKED, {"max-attempts": 3}),
        (Limit.RUNS_ONCE, {"resumable": False}),
        (Limit.DEADLINE, {"seconds": 2.0}),
    ],
)
async def test_broken_off_answer_names_the_limit_that_ended_it(
    autojump_clock, limit, route
):
    # Guards against logs that name only the last failed attempt.
    second = ScriptedResponse(30.0) if limit is Limit.DEADLINE else broken(3, 4)
    entry = StreamEntry(broken(1, 2), second)
    if limit is Limit.DEADLINE:
        entry.connections.call_responses["/report"] = 200, {}
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(**route)
    assert aborted.value.limit == limit.value


async def test_answer_that_has_begun_waits_for_the_retry_limit(autojump_clock, nursery):
    # Guards against answers that end because other requests used up the limit.
    entry = StreamEntry(broken(1, 2), ScriptedResponse(events(3, 4)), slack=0.0)
    retries = entry.dispatcher.retries

    async def allow_a_retry():
        await trio.sleep(3.0)
        assert len(entry.connections.sent) == 1
        retries.slack = 1.2

    nursery.start_soon(allow_a_retry)
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert len(retries.retries["engines"]) == 1
    assert 3.0 <= trio.current_time() <= 3.2


async def test_answer_that_waits_for_the_retry_limit_ends_at_its_deadline(
    autojump_clock,
):
    # Guards against retries over the limit, and against an answer that never ends.
    entry = StreamEntry(broken(1, 2), slack=0.0)
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(seconds=2.0)
    assert aborted.value.limit == Limit.DEADLINE.value
    assert len(entry.connections.sent) == 1
    assert not entry.dispatcher.retries.retries["engines"]
    assert trio.current_time() == pytest.approx(2.0, abs=0.01)


async def test_stream_that_has_not_begun_does_not_wait_for_the_retry_limit(
    autojump_clock,
):
    # Guards against callers that learn late that they must try elsewhere.
    entry = StreamEntry(ScriptedResponse(status=503, not_run=True), slack=0.0)
    await entry.run()
    assert trio.current_time() < 0.1


async def test_caller_that_leaves_ends_the_wait_for_the_retry_limit(autojump_clock):
    # Guards against attempts for a caller that has gone.
    entry = StreamEntry(broken(1, 2), ScriptedResponse(events(3, 4)), slack=0.0)
    with trio.move_on_after(1.0) as scope:
        await entry.dispatcher.run(entry.routed_request(), RecordedResponse())
    assert scope.cancelled_caught
    entry.dispatcher.retries.slack = 100.0
    await trio.sleep(5.0)
    assert len(entry.connections.sent) == 1
    assert entry.slots.running == 0
    assert entry.load_tracker.own == {}


async def admit_waiting(entry):
    """Admit waiting streams again and again, as the router does."""
    while True:
        await trio.sleep(0.1)
        entry.slots.admit_waiting()


async def test_answer_that_has_begun_is_not_refused_by_the_queue(
    autojump_clock, nursery
):
    # Guards against answers that end as the expected wait exceeds their deadline.
    entry = StreamEntry(
        broken(1, 2),
        broken(1, 2),
        ScriptedResponse(events(3, 4)),
        ScriptedResponse(events(3, 4)),
    )
    entry.connections.listening = True
    entry.slots.run_seconds = 100.0
    find, replies = entry.finder.find, [RecordedResponse(), RecordedResponse()]

    def find_late(routed, avoid):
        is_full = routed.sent_tokens and trio.current_time() < 3.0
        return None if is_full else find(routed, avoid)

    entry.finder.find = find_late
    nursery.start_soon(admit_waiting, entry)
    async with trio.open_nursery() as answers:
        for number, reply in enumerate(replies):
            routed = entry.routed_request()
            routed = routed._replace(fingerprint=f"f{number}")
            answers.start_soon(entry.dispatcher.run, routed, reply)
    assert [reply.data for reply in replies] == [events(1, 4)] * 2
    assert trio.current_time() >= 3.0


async def test_answer_that_has_begun_waits_for_the_link_between_domains(
    autojump_clock, nursery
):
    # Guards against answers that end as other streams use the link at the moment.
    entry = LinkEntry(broken(1, 2), ScriptedResponse(events(3, 4)))
    reply = RecordedResponse()
    start = reply.start

    async def occupy_link_once_begun(status, fields):
        entry.occupy_link(30.0)
        await start(status, fields)

    async def free_link():
        await trio.sleep(3.0)
        entry.occupy_link(0.0)

    reply.start = occupy_link_once_begun
    nursery.start_soon(admit_waiting, entry)
    nursery.start_soon(free_link)
    assert await entry.run(reply=reply) is None
    assert reply.data == events(1, 4)
    assert 3.0 <= trio.current_time() < 4.0
    assert not entry.finder.link_waiters


async def test_answer_that_has_begun_leaves_the_queue_at_its_deadline(autojump_clock):
    # Guards against an answer that waits longer than its caller.
    entry = StreamEntry(broken(1, 2))
    entry.connections.listening = True
    find = entry.finder.find
    entry.finder.find = lambda routed, avoid: (
        None if routed.sent_tokens else find(routed, avoid)
    )
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(seconds=2.0)
    assert aborted.value.limit == Limit.DEADLINE.value
    assert trio.current_time() == pytest.approx(2.0, abs=0.01)
    assert not entry.slots.waiters


def refusals(count, status=421):
    """Return responses of engines that have not run a request."""
    return [ScriptedResponse(status=status, not_run=True) for _ in range(count)]


def record_times(entry):
    """Return a list that gets the time and the engine of each request sent."""
    times, send = [], entry.connections.send

    def send_and_record(peer, *args, **kwargs):
        times.append((trio.current_time(), peer))
        return send(peer, *args, **kwargs)

    entry.connections.send = send_and_record
    return times


@pytest.mark.parametrize("status", [421, 503])
async def test_answer_that_has_begun_survives_refusals(autojump_clock, nursery, status):
    # Guards against answers that end as engines return without layers, or are full.
    entry = StreamEntry(
        broken(1, 2), *refusals(6, status), ScriptedResponse(events(3, 4))
    )
    nursery.start_soon(admit_waiting, entry)
    times = record_times(entry)
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    # Each attempt after the first one is charged, and no engine is tried at once again.
    assert len(entry.dispatcher.retries.retries["engines"]) == 7
    for engine in entry.directory.endpoints:
        tried = [time for time, peer in times[1:] if peer == engine]
        pauses = [b - a for a, b in zip(tried, tried[1:], strict=False)]
        assert all(pause >= REFUSED_SECONDS for pause in pauses)


async def test_refusals_of_an_answer_that_has_begun_stay_within_the_retry_limit(
    autojump_clock, nursery
):
    # Guards against engines that are flooded while they refuse, and late attempts.
    entry = StreamEntry(broken(1, 2), *refusals(50), slack=4.0)
    nursery.start_soon(admit_waiting, entry)
    times = record_times(entry)
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(seconds=8.0)
    assert aborted.value.limit == Limit.DEADLINE.value
    assert trio.current_time() == pytest.approx(8.0, abs=0.01)
    assert 3 <= len(times) <= 4
    assert times[-1][0] < 8.0


async def test_answer_in_the_queue_returns_to_an_engine_that_has_refused_it(
    autojump_clock, nursery
):
    # Guards against an answer that waits for full engines and leaves out a free one.
    entry = StreamEntry(
        broken(1, 2), *refusals(1), ScriptedResponse(events(3, 4)), slack=100.0
    )
    nursery.start_soon(admit_waiting, entry)
    times = record_times(entry)
    capacity = kv_cache_capacity(
        entry.directory.endpoints["a"], entry.routed_request().service.engine
    )

    async def fill_first_engine():
        while not times:
            await trio.sleep(0)
        loads = {times[0][1]: EngineLoad(96, capacity)}
        entry.load_tracker.record_child("entry-2", 0.0, LoadReport(1, loads))

    nursery.start_soon(fill_first_engine)
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert [peer for _, peer in times[1:]] == [times[1][1]] * 2
    assert REFUSED_SECONDS <= trio.current_time() <= MAX_QUARANTINE_SECONDS + 0.2


def slow_events(first, last):
    """Return the steps of an answer that goes on for longer than its beginning."""
    return [step for n in range(first, last + 1) for step in (events(n, n), 0.1)]


class WideEntry(StreamEntry):
    """One entry with five engines that can begin a chain."""

    def __init__(self, *scripts, **fields):
        super().__init__(*scripts, **fields)
        for id in "efg":
            self.directory.endpoints[id] = endpoint(
                id, 0, 40, "big", address=f"10.0.0.{ord(id)}:80"
            )

    def all_listen(self):
        self.connections.listening = True
        self.connections.call_responses["/report"] = 200, {}


@pytest.mark.parametrize("max_attempts", [1, 2])
async def test_answer_survives_resets_of_sound_engines(
    autojump_clock, nursery, max_attempts
):
    # Guards against answers that end as often as links are reset, and against more
    # engines than the route allows.
    entry = WideEntry(
        broken(1, 2),
        broken(3, 4),
        broken(5, 6),
        broken(7, 8),
        ScriptedResponse(events(9, 10)),
    )
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    times = record_times(entry)
    assert await entry.run(**{"max-attempts": max_attempts}) is None
    assert entry.reply.data == events(1, 10)
    assert len({peer for _, peer in times}) == max_attempts
    assert len(entry.dispatcher.retries.retries["engines"]) == len(times) - 1
    # Once the route's engines are used up, the attempts are spread over time.
    later = [time for time, _ in times[max_attempts:]]
    assert all(b - a >= 0.1 for a, b in zip(later, later[1:], strict=False))


async def test_run_on_an_engine_that_ended_does_not_count(autojump_clock):
    # Guards against answers that end because their engine has crashed or was cut off.
    entry = WideEntry(
        ScriptedResponse(*slow_events(1, 5), connection_failure()),
        ScriptedResponse(events(6, 7)),
    )
    assert await entry.run(**{"max-attempts": 1}) is None
    assert entry.reply.data == events(1, 7)


async def test_answer_that_crashes_its_engines_is_resumed_on_few_of_them(
    autojump_clock,
):
    # Guards against an answer whose crashed engines do not count and are not counted.
    entry = WideEntry(
        *(
            ScriptedResponse(*slow_events(5 * n + 1, 5 * n + 5), connection_failure())
            for n in range(6)
        )
    )
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(**{"max-attempts": 1})
    assert aborted.value.limit == Limit.BLOCKED.value
    assert len(entry.connections.sent) == MAX_DEATHS


async def test_reset_of_a_sound_engine_is_no_death(autojump_clock):
    # Guards against sound requests that are blocked after three resets.
    entry = WideEntry(
        ScriptedResponse(*slow_events(1, 5), connection_failure()),
        ScriptedResponse(events(6, 7)),
    )
    entry.all_listen()
    entry.deaths.request_started("g", entry.directory.endpoints)
    assert await entry.run() is None
    assert entry.deaths.suspects.death_count("g") == 0


@pytest.mark.parametrize("ends", ["removed", "restarted"])
async def test_answer_leaves_its_last_engine_if_that_ends_meanwhile(
    autojump_clock, nursery, ends
):
    # Guards against an answer that waits until its deadline for an engine that is gone.
    entry = WideEntry(broken(1, 2), ScriptedResponse(events(3, 4)))
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    times = record_times(entry)
    directory = entry.directory

    async def end_engine():
        while not times:
            await trio.sleep(0.001)
        await trio.sleep(0.05)
        engine = directory.endpoints[times[0][1]]
        if ends == "removed":
            directory.remove(engine.id, "its entry is gone")
            entry.connections.listening = False
        else:
            directory.register(engine.registration._replace(started_ms=9))

    nursery.start_soon(end_engine)
    assert await entry.run(**{"max-attempts": 1}) is None
    assert entry.reply.data == events(1, 4)
    assert trio.current_time() < 2.0


async def test_stream_that_runs_once_is_not_resumed_after_its_engine_ended(
    autojump_clock,
):
    # Guards against a second run of a stream that may not be resumed.
    entry = WideEntry(broken(1, 2), ScriptedResponse(events(3, 4)))
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(resumable=False)
    assert aborted.value.limit == Limit.RUNS_ONCE.value
    assert len(entry.connections.sent) == 1


@pytest.mark.parametrize("cut", [7, 0])
async def test_answer_goes_on_after_an_engine_ended_inside_an_event(
    autojump_clock, cut
):
    # Guards against answers without a length that end as their engine restarts.
    entry = WideEntry(
        ScriptedResponse(*slow_events(1, 5), events(6, 6)[: cut or -1]),
        ScriptedResponse(events(6, 7)),
    )
    entry.deaths.request_started("g", entry.directory.endpoints)
    assert await entry.run(**{"max-attempts": 1}) is None
    assert entry.reply.data == events(1, 7)
    assert entry.deaths.suspects.death_count("g") == 1


async def test_answer_whose_engines_end_inside_events_is_resumed_on_few_of_them(
    autojump_clock,
):
    # Guards against a request that crashes engines whose answers have no length.
    entry = WideEntry(
        *(
            ScriptedResponse(*slow_events(5 * n + 1, 5 * n + 5), b"id: ")
            for n in range(6)
        )
    )
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(**{"max-attempts": 1})
    assert aborted.value.limit == Limit.BLOCKED.value
    assert len(entry.connections.sent) == MAX_DEATHS


async def test_sound_engine_that_ends_inside_an_event_counts(autojump_clock, nursery):
    # Guards against more engines than the route allows.
    entry = WideEntry(
        ScriptedResponse(events(1, 2), b"id: "),
        ScriptedResponse(events(3, 4), b"id: "),
        ScriptedResponse(events(5, 6)),
    )
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    times = record_times(entry)
    assert await entry.run(**{"max-attempts": 1}) is None
    assert entry.reply.data == events(1, 6)
    assert len({peer for _, peer in times}) == 1


async def test_answer_ends_if_its_resumption_is_answered_with_an_error_of_the_request(
    autojump_clock, nursery
):
    # Guards against attempts that repeat a request to which an engine has objected.
    errors = [ScriptedResponse(b"gone", status=404) for _ in range(200)]
    entry = WideEntry(broken(1, 2), *errors)
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run()
    assert aborted.value.limit == Limit.ATTEMPTS.value
    assert len(entry.connections.sent) == 2


async def test_resumptions_without_an_event_come_at_longer_and_longer_intervals(
    autojump_clock, nursery
):
    # Guards against one answer that uses up the retry limit of its service.
    entry = WideEntry(broken(1, 2), *(broken(3, 2) for _ in range(200)))
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    times = record_times(entry)
    with pytest.raises(ResponseAborted) as aborted:
        await entry.run(seconds=20.0)
    assert aborted.value.limit == Limit.DEADLINE.value
    assert len(times) < 30
    assert all(b[0] - a[0] >= 0.9 for a, b in zip(times[8:], times[9:], strict=False))
