"""Parts of prompts that crash engines."""

from contextlib import suppress

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.errors import ConnectionFailed, ResponseAborted
from pistachioreach.platform.requests import decode_request
from pistachioreach.routing.engine_load import EngineLoad
from pistachioreach.routing.suspects import (
    BLOCK_TTL_SECONDS,
    MAX_PART_CRASHES,
    SuspectTracker,
    blocked_parts,
    blocked_requests,
)
from pistachioreach.verdict import Failure, Verdict
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import (
    RecordedResponse,
    ScriptedResponse,
    caller_fields,
    events,
)

#: Load of an engine that has no memory left.
FULL = EngineLoad(96, 1e12)
#: Number of crashes after which few further requests may reach an engine.
KNOWN_AFTER_CRASHES = 5
#: Number of those further requests.
FURTHER_REQUESTS = 3


def crash():
    """Return the failure of a connection whose engine crashed."""
    return ConnectionFailed("a", True, "peer closed connection")


async def send(entry, parts, number=0, **route):
    """Send one of many streams that have some parts of their prompts in common."""
    routed = entry.routed_request(**route)
    prefix = ",".join(f"{part}:40" for part in (*parts, f"own{number}"))
    fields = caller_fields(token_usage="800,200", prefix_hash=prefix)
    routed = routed._replace(
        request=decode_request("POST", b"/plans/x", fields), fingerprint=f"f{number}"
    )
    reply = RecordedResponse()
    outcome = await entry.dispatcher.run(routed, reply)
    entry.restart_engines()
    return outcome, reply


async def test_part_of_prompts_that_crashes_engines_reaches_few_of_them(
    autojump_clock,
):
    entry = StreamEntry(*(crash() for _ in range(60)))
    for number in range(20):
        await send(entry, ("all", "deadly"), number, **{"max-attempts": 2})
        await trio.sleep(5.0)
    assert len(entry.connections.sent) <= KNOWN_AFTER_CRASHES + FURTHER_REQUESTS


async def test_requests_that_share_other_parts_are_served_meanwhile(autojump_clock):
    entry = StreamEntry()
    steps = [step for n in range(1, 6) for step in (events(n, n), 0.1)]
    for number in range(12):
        entry.connections.responses = [crash(), crash()]
        await send(entry, ("all", "deadly"), number, **{"max-attempts": 2})
        await trio.sleep(5.0)
        entry.connections.responses = [ScriptedResponse(*steps)]
        outcome, reply = await send(entry, ("all", f"sound{number}"), 100 + number)
        assert outcome is None
        assert reply.data == events(1, 5)


async def test_blocked_request_has_not_run(autojump_clock):
    entry = StreamEntry(crash(), crash())
    for number in range(MAX_PART_CRASHES):
        await send(entry, ("all", "deadly"), number, resumable=False)
    outcome, reply = await send(entry, ("other", "deadly"), 2)
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.retry_after > 0
    assert not reply.started


async def test_blocked_request_that_was_sent_may_have_run(autojump_clock):
    entry = StreamEntry(*(crash() for _ in range(3)))
    outcome, _ = await send(entry, ("all", "deadly"), **{"max-attempts": 3})
    assert len(entry.connections.sent) == 2
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("status", [200, 503])
async def test_broken_connection_of_a_running_engine_blocks_no_part(
    autojump_clock, status
):
    entry = StreamEntry(*(crash() for _ in range(12)))
    entry.connections.call_responses["/report"] = status, {}
    for number in range(6):
        await send(entry, ("all", "rare"), number, **{"max-attempts": 2})
        await trio.sleep(5.0)
    assert entry.deaths.suspects.blocked_part(("all", "rare")) is None


@pytest.mark.parametrize("begun", [False, True])
async def test_streams_that_broke_because_links_were_lost_block_nothing(
    autojump_clock, begun
):
    # Guards against an entry that takes the loss of its own links for crashes.
    steps = [step for n in range(1, 6) for step in (events(n, n), 0.1)]
    entry = StreamEntry()
    engines = entry.directory.endpoints.values()
    entry.refusing = {engine.registration.address for engine in engines}
    for _ in range(6):
        broken = ScriptedResponse(*steps, crash()) if begun else crash()
        entry.connections.responses = [broken]
        with suppress(ResponseAborted):
            await send(entry, ("all", "rare"), 1, **{"max-attempts": 1})
        await trio.sleep(5.0)
        entry.restart_engines()
    assert entry.deaths.suspects.death_count("f1") == 0
    assert entry.deaths.suspects.blocked_part(("all", "rare")) is None


async def test_crash_during_an_answer_that_had_begun_blocks_no_part(autojump_clock):
    entry = StreamEntry()
    steps = [step for n in range(1, 6) for step in (events(n, n), 0.1)]
    for number in range(4):
        broken = ScriptedResponse(*steps, crash())
        entry.connections.responses = [broken, ScriptedResponse(events(6, 7))]
        outcome, reply = await send(entry, ("all", "rare"), number)
        assert outcome is None
        assert reply.data == events(1, 7)
        await trio.sleep(5.0)
    assert entry.deaths.suspects.blocked_part(("all", "rare")) is None


async def test_last_part_of_a_prompt_is_never_blocked(autojump_clock):
    entry = StreamEntry(*(crash() for _ in range(4)))
    for _ in range(2):
        await send(entry, ("all",), 7, **{"max-attempts": 2})
        await trio.sleep(5.0)
    assert entry.deaths.suspects.blocked_part(("own7",)) is None


async def test_request_that_waits_for_a_chain_is_not_sent_once_a_part_is_blocked(
    autojump_clock, nursery
):
    entry = StreamEntry(ScriptedResponse(events(1, 1)))
    for endpoint in entry.directory.endpoints.values():
        endpoint.quarantined_until = entry.clock.monotonic() + 1.0
        entry.load_tracker.own[endpoint.id] = FULL
    outcomes = []

    async def request():
        outcomes.append(await send(entry, ("all", "deadly")))

    nursery.start_soon(request)
    await trio.sleep(0.2)
    for death in ("a/1", "c/1"):
        entry.deaths.suspects.record_death("part/1/deadly", death)
    entry.load_tracker.own.clear()
    entry.slots.admit_waiting()
    await trio.sleep(2.0)
    assert outcomes[0][0].verdict is Verdict.NOT_RUN
    assert entry.connections.sent == []
    assert entry.slots.running == 0


@pytest.mark.parametrize(
    ("deaths", "blocked"),
    [
        pytest.param({"part/0/all": "ab", "part/1/x": "a"}, {"part/0/all"}, id="first"),
        pytest.param({"part/0/all": "ab", "part/1/x": "ab"}, {"part/1/x"}, id="last"),
        pytest.param(
            {"part/0/all": "abc", "part/1/x": "ab"}, {"part/1/x"}, id="one besides"
        ),
        pytest.param(
            {"part/0/all": "abcd", "part/1/x": "ab"},
            {"part/0/all", "part/1/x"},
            id="two besides",
        ),
        pytest.param({"part/0/all": "a", "part/1/x": "a"}, set(), id="one crash"),
        pytest.param(
            {"part/0/near": "ab", "part/0/x": "abc"}, {"part/0/x"}, id="same place"
        ),
        pytest.param(
            {"request/r": "ab", "part/0/x": "ab"}, set(), id="one request explains them"
        ),
        pytest.param(
            {"request/r": "ab", "request/s": "c", "part/0/x": "abc"},
            {"part/0/x"},
            id="no single request explains them",
        ),
    ],
)
def test_crashes_are_attributed_to_the_last_part_that_explains_them(deaths, blocked):
    assert blocked_parts(deaths, dict.fromkeys(deaths, MAX_PART_CRASHES)) == blocked


async def test_blocked_part_is_told_to_entries_that_start_later(autojump_clock):
    entry, later = StreamEntry(crash(), crash()), StreamEntry()
    for number in range(MAX_PART_CRASHES):
        await send(entry, ("all", "deadly"), number, resumable=False)
    await trio.sleep(60.0)
    for fingerprint, death in entry.deaths.suspects.recent_deaths():
        later.deaths.suspects.record_death(fingerprint, death)
    outcome, _ = await send(later, ("all", "deadly"), 2)
    assert outcome.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize("requests", [1, 2])
async def test_request_that_crashes_engines_blocks_no_part_of_its_prompt(
    autojump_clock, requests
):
    # Guards against sound requests that are refused for a prompt they share a part of.
    entry = StreamEntry()
    steps = [step for n in range(1, 6) for step in (events(n, n), 0.1)]
    for round in range(6):
        for number in range(requests):
            entry.connections.responses = [crash(), crash()]
            parts = ("all", f"topic{number}")
            await send(entry, parts, number, **{"max-attempts": 2})
            entry.connections.responses = [ScriptedResponse(*steps)]
            outcome, reply = await send(entry, parts, 100 + 10 * round + number)
            assert outcome is None
            assert reply.data == events(1, 5)
            await trio.sleep(5.0)
    assert len(entry.connections.sent) == requests * (MAX_PART_CRASHES + 6)


async def test_deaths_that_another_request_explains_do_not_block_a_request(
    autojump_clock,
):
    # Guards against long streams that end because they ran beside one that crashes.
    entry = StreamEntry(ScriptedResponse(events(1, 5)))
    suspects = entry.deaths.suspects
    for number in range(3):
        suspects.record_death("request/deadly", f"e/{number}")
        suspects.record_death("f1", f"e/{number}")
    outcome, reply = await send(entry, ("all",), 1)
    assert outcome is None
    assert reply.data == events(1, 5)


def test_requests_near_the_same_crashes_are_blocked_until_one_of_them_explains_all():
    deaths = {"request/a": "ab", "request/b": "ab", "request/c": "b"}
    limits = dict.fromkeys(deaths, MAX_PART_CRASHES)
    assert blocked_requests(deaths, limits) == {"request/a", "request/b"}
    deaths["request/a"] = "abc"
    assert blocked_requests(deaths, limits) == {"request/a"}


async def test_blocked_part_is_accepted_again_after_its_time(autojump_clock):
    entry = StreamEntry(crash(), crash(), ScriptedResponse(events(1, 2)))
    await send(entry, ("all", "rare"), **{"max-attempts": 2})
    await trio.sleep(BLOCK_TTL_SECONDS + 1.0)
    outcome, reply = await send(entry, ("all", "rare"), 1)
    assert outcome is None
    assert reply.ended
    assert entry.deaths.suspects.blocked_part(("all", "rare")) is None


async def test_crash_that_ends_an_answer_without_a_length_counts(autojump_clock):
    entry = StreamEntry(*(ScriptedResponse() for _ in range(60)))
    for number in range(20):
        await send(entry, ("all", "deadly"), number, **{"max-attempts": 2})
        await trio.sleep(5.0)
    assert len(entry.connections.sent) <= KNOWN_AFTER_CRASHES + FURTHER_REQUESTS


async def test_part_that_is_sound_at_one_entry_is_not_blocked_at_another(
    autojump_clock,
):
    """Requests with a sound part were near two crashes at an entry by coincidence."""
    clock = TrioClock()
    serving, other = SuspectTracker(clock), SuspectTracker(clock)
    serving.clear_part("part/0/near")
    for death in ("a/1", "b/1"):
        other.record_death("part/0/near", death)
    assert other.blocked_part(["near"])
    for sender, receiver in ((other, serving), (serving, other)):
        for fingerprint, death in sender.recent_deaths():
            receiver.record_death(fingerprint, death)
    assert not serving.blocked_part(["near"])
    assert not other.blocked_part(["near"])


async def test_part_that_was_sound_is_blocked_after_more_crashes(autojump_clock):
    tracker = SuspectTracker(TrioClock())
    tracker.clear_part("part/0/used")
    for number in range(4):
        assert not tracker.blocked_part(["used"])
        tracker.record_death("part/0/used", f"e/{number}")
    assert tracker.blocked_part(["used"])
    tracker.record_death("part/0/used", "")
    assert tracker.blocked_part(["used"])


async def test_crash_near_a_request_whose_answer_goes_on_later_does_not_count(
    autojump_clock,
):
    steps = [step for n in range(1, 6) for step in (events(n, n), 0.1)]
    entry = StreamEntry(crash(), ScriptedResponse(*steps), crash())
    await send(entry, ("all",), 1, **{"max-attempts": 2})
    await send(entry, ("all",), 1, resumable=False)
    assert not entry.deaths.suspects.blocks_request("f1")


async def test_blocked_requests_are_determined_again_only_after_a_change(
    autojump_clock,
):
    # Guards against requests that each compare all suspects with each other.
    tracker = SuspectTracker(TrioClock())
    for death in ("a/1", "b/1"):
        tracker.record_death("request/r", death)
    attribution = tracker.attribute()
    tracker.record_death("request/s", "a/1")
    assert tracker.blocks_request("r")
    assert tracker.attribute() is attribution
    tracker.record_death("request/s", "c/1")
    assert tracker.blocks_request("s")
    tracker.clear_request("r")
    assert not tracker.blocks_request("r")
    await trio.sleep(BLOCK_TTL_SECONDS + 1.0)
    assert not tracker.blocks_request("s")
