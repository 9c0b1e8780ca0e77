"""Evidence that tells crashes of endpoints from lost links."""

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.endpoints.directory import Directory
from pistachioreach.routing.crash_evidence import (
    CONFIRM_SECONDS,
    KEEP_SECONDS,
    MIN_RESTART_SECONDS,
    REGISTRATION_SECONDS,
    Crash,
    CrashState,
    judge_crash,
)
from pistachioreach.routing.suspects import SuspectTracker
from tests.platform_builders import endpoint

#: A moment after the crash at which no endpoint has started again.
SOON = MIN_RESTART_SECONDS / 2
#: A moment after the crash at which it may have started again.
LATER = MIN_RESTART_SECONDS + 0.5


def directory_of(*engines):
    """Return a directory with some endpoints."""
    directory = Directory()
    for engine in engines:
        directory.endpoints[engine.id] = engine
    return directory


def engine(id="a", born=1, address="10.0.0.1:80"):
    """Return an engine that was started at a given time."""
    made = endpoint(id, 0, 40, "big", address=address)
    made.registration = made.registration._replace(started_ms=born)
    return made


def suspected(**fields):
    """Return a suspected crash of the engine, at time 0."""
    return Crash("a", "a/1", "10.0.0.1:80", 0.0)._replace(**fields)


@pytest.mark.parametrize(
    "directory",
    [
        pytest.param(directory_of(engine(born=2)), id="same identifier"),
        pytest.param(directory_of(engine(), engine("b", 2)), id="same address"),
    ],
)
@pytest.mark.parametrize("accepted", [True, False, None])
def test_crash_is_certain_once_the_run_has_been_replaced(directory, accepted):
    # Guards against a crash that is withdrawn since the next run accepts connections.
    judged = judge_crash(suspected(), directory, accepted, SOON)
    assert judged.state is CrashState.CERTAIN
    assert judged.is_certain(SOON)


@pytest.mark.parametrize("accepted", [True, False, None])
def test_crash_is_certain_while_the_run_is_not_registered(accepted):
    # Guards against a crash that is withdrawn since something listens at the address.
    judged = judge_crash(suspected(), directory_of(), accepted, SOON)
    assert judged.is_certain(SOON)
    assert judge_crash(judged, directory_of(), accepted, LATER).is_certain(LATER)


def test_endpoint_of_before_at_the_same_address_does_not_replace_a_run():
    directory = directory_of(engine(), engine("b", born=0))
    judged = judge_crash(suspected(), directory, False, SOON)
    assert judged.state is CrashState.OPEN


def test_crash_is_disproved_when_the_same_run_accepts_connections_at_once():
    judged = judge_crash(suspected(), directory_of(engine()), True, SOON)
    assert judged.state is CrashState.DISPROVED


def test_endpoint_that_may_have_restarted_must_stay_registered_as_the_same_run():
    # Guards against a crash that is withdrawn before the new run has registered.
    directory = directory_of(engine())
    first = judge_crash(suspected(), directory, True, LATER)
    assert first.state is CrashState.OPEN
    assert not first.is_certain(LATER + CONFIRM_SECONDS)
    at = LATER + REGISTRATION_SECONDS
    assert judge_crash(first, directory, True, at).state is CrashState.DISPROVED
    assert judge_crash(first, directory, False, at) == suspected()
    restarted = directory_of(engine(born=2))
    assert judge_crash(first, restarted, True, at).state is CrashState.CERTAIN


@pytest.mark.parametrize("accepted", [False, None])
def test_crash_is_certain_if_the_endpoint_stays_away(accepted):
    judged = judge_crash(suspected(), directory_of(engine()), accepted, LATER)
    assert not judged.is_certain(LATER)
    assert judged.is_certain(CONFIRM_SECONDS)


async def test_deaths_of_a_run_that_goes_on_are_withdrawn(autojump_clock):
    # Guards against requests that stay blocked when the links are back.
    tracker = SuspectTracker(TrioClock())
    for id in ("a", "b"):
        for fingerprint in ("f", "call/c", "request/r", "part/0/p"):
            tracker.record_crash(fingerprint, engine(id))
    tracker.record_death("part/0/p", "c/1")
    assert tracker.blocks_call("call/c")
    assert tracker.blocks_request("r")
    assert tracker.blocked_part(["p"])
    crash = tracker.crash_log.crashes["a/1"]
    tracker.update_crash(crash._replace(state=CrashState.DISPROVED))
    assert tracker.death_count("f") == 1
    assert not tracker.blocks_call("call/c")
    assert not tracker.blocks_request("r")
    assert tracker.blocked_part(["p"])
    assert {death for _, death in tracker.recent_deaths()} == {"b/1", "c/1"}


async def test_suspected_deaths_are_told_from_certain_ones(autojump_clock):
    tracker = SuspectTracker(TrioClock())
    for id in ("a", "b"):
        for fingerprint in ("f", "call/c", "request/r"):
            tracker.record_crash(fingerprint, engine(id))
    assert tracker.blocks_request("r")
    assert not tracker.blocks_request("r", certain=True)
    assert not tracker.blocks_call("call/c", certain=True)
    assert tracker.death_count("f", certain=True) == 0
    await trio.sleep(CONFIRM_SECONDS)
    assert tracker.blocks_request("r", certain=True)
    assert tracker.blocks_call("call/c", certain=True)
    assert tracker.death_count("f", certain=True) == 2


async def test_death_that_another_entry_reports_is_checked_here(autojump_clock):
    # Guards against the lost links of one entry that block requests at all of them.
    tracker, directory = SuspectTracker(TrioClock()), directory_of(engine())
    tracker.report_death("call/c", "a/1", directory)
    assert tracker.death_count("call/c") == 1
    assert not tracker.crash_log.is_certain("a/1")
    (crash,) = tracker.crash_log.open_crashes()
    tracker.update_crash(crash._replace(state=CrashState.DISPROVED))
    tracker.report_death("call/c", "a/1", directory)
    assert tracker.death_count("call/c") == 0
    for death in ("a/0", "gone/1", "b/entry/3"):
        tracker.report_death("call/c", death, directory)
    assert tracker.death_count("call/c", certain=True) == 3


async def test_run_whose_crash_was_disproved_may_crash_later(autojump_clock):
    tracker = SuspectTracker(TrioClock())
    tracker.record_crash("call/c", engine())
    crash = tracker.crash_log.crashes["a/1"]
    tracker.update_crash(crash._replace(state=CrashState.DISPROVED))
    await trio.sleep(KEEP_SECONDS / 2)
    assert tracker.record_crash("call/c", engine())
    assert tracker.death_count("call/c", certain=True) == 0
    await trio.sleep(CONFIRM_SECONDS)
    assert tracker.death_count("call/c", certain=True) == 1


async def test_crash_that_another_entry_reports_counts_after_lost_links(autojump_clock):
    # Guards against a deadly request that this entry sends on, since the links to the
    # endpoint were lost within the last minute.
    tracker, directory = SuspectTracker(TrioClock()), directory_of(engine())
    tracker.record_crash("call/other", engine())
    crash = tracker.crash_log.crashes["a/1"]
    now = trio.current_time()
    judged = judge_crash(crash, directory, True, now)
    assert judged.state is CrashState.DISPROVED
    tracker.update_crash(judged)
    await trio.sleep(KEEP_SECONDS / 4)
    tracker.report_death("call/c", "a/1", directory)
    assert tracker.death_count("call/c") == 1
    await trio.sleep(CONFIRM_SECONDS)
    assert tracker.death_count("call/c", certain=True) == 1


async def test_lapsed_registration_of_a_run_that_goes_on_proves_no_crash(
    autojump_clock,
):
    # Guards against requests that stay blocked after their engines were cut off from
    # the store and this entry for some seconds.
    tracker, engines = SuspectTracker(TrioClock()), directory_of(engine())
    tracker.record_crash("call/c", engine())
    await trio.sleep(CONFIRM_SECONDS)
    crash = tracker.crash_log.crashes["a/1"]
    tracker.update_crash(judge_crash(crash, directory_of(), False, trio.current_time()))
    assert tracker.death_count("call/c", certain=True) == 1
    for _ in range(2):
        await trio.sleep(REGISTRATION_SECONDS)
        for crash in tracker.crash_log.open_crashes():
            now = trio.current_time()
            tracker.update_crash(judge_crash(crash, engines, True, now))
    assert tracker.death_count("call/c") == 0
