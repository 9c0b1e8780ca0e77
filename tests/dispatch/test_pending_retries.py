"""Retries of answers that have begun: when the retry limit is charged for them."""

from contextlib import suppress

import pytest
import trio

from pistachioreach.errors import ResponseAborted
from tests.dispatch.test_begun_answers import (
    WideEntry,
    admit_waiting,
    broken,
    record_times,
)
from tests.dispatch.test_streams import connection_failure
from tests.platform_builders import RecordedResponse, ScriptedResponse, events


async def test_retries_that_waited_for_a_chain_stay_within_the_limit(
    autojump_clock, nursery
):
    # Guards against retries charged in one window that all reach engines in the next.
    entry = WideEntry(
        *(broken(1, 2) for _ in range(6)),
        *(ScriptedResponse(events(3, 4)) for _ in range(6)),
        slack=2.5,
    )
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    times, find = record_times(entry), entry.finder.find
    retries = entry.dispatcher.retries

    def find_late(routed, avoid):
        is_full = routed.sent_tokens and trio.current_time() < retries.window - 0.1
        return None if is_full else find(routed, avoid)

    entry.finder.find = find_late
    async with trio.open_nursery() as answers:
        for number in range(6):
            routed = entry.routed_request(seconds=60.0)
            routed = routed._replace(fingerprint=f"f{number}")
            answers.start_soon(entry.dispatcher.run, routed, RecordedResponse())
    sent = [time for time, _ in times[6:]]
    allowed = retries.ratio * 6 + retries.slack
    for start in sent:
        assert sum(start <= time < start + retries.window for time in sent) <= allowed
    assert len(sent) == 6


async def test_retry_that_was_not_sent_is_not_charged(autojump_clock):
    # Guards against a limit that is used up by callers who left.
    entry = WideEntry(broken(1, 2))
    entry.all_listen()
    find = entry.finder.find
    entry.finder.find = lambda routed, avoid: (
        None if routed.sent_tokens else find(routed, avoid)
    )
    with trio.move_on_after(1.0):
        await entry.run()
    retries = entry.dispatcher.retries
    assert not retries.retries["engines"]
    assert not retries.pending["engines"]


async def test_retry_is_charged_when_it_reaches_an_engine(autojump_clock):
    # Guards against retries charged while links are cut that arrive together later.
    entry = WideEntry(
        broken(1, 2),
        *[connection_failure(sent=False)] * 30,
        ScriptedResponse(events(3, 4)),
    )
    entry.all_listen()
    times = record_times(entry)
    assert await entry.run() is None
    assert times[-1][0] > 1.0
    retries = entry.dispatcher.retries
    assert list(retries.retries["engines"]) == pytest.approx([times[-1][0]], abs=0.01)
    assert not retries.pending["engines"]


async def test_answer_without_a_chain_leaves_the_retry_limit_to_others(
    autojump_clock, nursery
):
    # Guards against answers that wait for the retries of others that find no engine.
    entry = WideEntry(
        broken(1, 2),
        broken(1, 2),
        ScriptedResponse(events(3, 4)),
        slack=1.0,
    )
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    find, covered = entry.finder.find, entry.finder.layers_covered

    def is_stuck(routed):
        return routed.sent_tokens and routed.fingerprint == "stuck"

    entry.finder.find = lambda routed, avoid: (
        None if is_stuck(routed) else find(routed, avoid)
    )
    entry.finder.layers_covered = lambda routed, avoid: (
        not is_stuck(routed) and covered(routed, avoid)
    )
    nursery.start_soon(
        entry.dispatcher.run,
        entry.routed_request()._replace(fingerprint="stuck"),
        RecordedResponse(),
    )
    await trio.sleep(0.5)
    reply = RecordedResponse()
    assert await entry.dispatcher.run(entry.routed_request(), reply) is None
    assert reply.data == events(1, 4)
    assert trio.current_time() < 2.0


async def test_retries_of_silent_runs_that_waited_for_a_chain_stay_within_the_limit(
    autojump_clock, nursery
):
    # Guards against retries charged when silent runs were abandoned, and sent together
    # with those of a later window.
    entry = WideEntry(
        *(ScriptedResponse(events(1, 2), 60.0) for _ in range(6)),
        *(ScriptedResponse(events(3, 4)) for _ in range(6)),
        slack=2.5,
    )
    entry.all_listen()
    nursery.start_soon(admit_waiting, entry)
    times, find = record_times(entry), entry.finder.find
    retries = entry.dispatcher.retries

    async def has_other_chain(routed, run, avoid):
        return True

    def find_late(routed, avoid):
        is_full = routed.sent_tokens and trio.current_time() < retries.window + 2.0
        return None if is_full else find(routed, avoid)

    entry.dispatcher.stall_monitor.has_other_chain = has_other_chain
    entry.finder.find = find_late

    async def run(number):
        routed = entry.routed_request(seconds=60.0)
        # The limit may leave no retry to the last ones before their deadline.
        with suppress(ResponseAborted):
            await entry.dispatcher.run(
                routed._replace(fingerprint=f"f{number}"), RecordedResponse()
            )

    async with trio.open_nursery() as answers:
        for number in range(6):
            answers.start_soon(run, number)
    sent = [time for time, _ in times[6:]]
    allowed = retries.ratio * 6 + retries.slack
    for start in sent:
        assert sum(start <= time < start + retries.window for time in sent) <= allowed
    assert len(sent) >= 3
