"""Checks of engines that may have crashed, by an entry that still reaches others."""

from contextlib import suppress

import pytest
import trio

from pistachioreach.dispatch.crash_checks import CrashChecks
from pistachioreach.dispatch.silent_engines import (
    CONFIRM_SECONDS as SILENCE_CONFIRM_SECONDS,
)
from pistachioreach.errors import ResponseAborted
from pistachioreach.routing.crash_evidence import CONFIRM_SECONDS
from pistachioreach.routing.suspects import BLOCK_TTL_SECONDS
from tests.dispatch.test_streams import StreamEntry, connection_failure
from tests.platform_builders import ScriptedResponse, events


def checked_entry(nursery, *scripts):
    """Return an entry that checks the engines that may have crashed."""
    entry = StreamEntry(*scripts)
    checks = CrashChecks(
        entry.deaths.suspects, entry.directory, entry.links, entry.clock
    )
    nursery.start_soon(checks.run)
    return entry


def lose_link(entry, id):
    """Refuse connections to an engine, as after its crash."""
    entry.refusing.add(entry.directory.endpoints[id].registration.address)


def restart(entry, id):
    """Start an engine again that had crashed."""
    registration = entry.directory.endpoints[id].registration
    started_ms = registration.started_ms + 1
    entry.directory.register(registration._replace(started_ms=started_ms))
    entry.refusing.discard(registration.address)


@pytest.mark.parametrize("away_seconds", [0.5, 1.2, 5.0, 20.0])
async def test_request_is_sent_again_once_the_links_are_back(
    autojump_clock, nursery, away_seconds
):
    # Guards against a request that stays blocked as links were lost for a moment.
    entry = checked_entry(nursery, connection_failure(), connection_failure())
    for id in ("a", "c"):
        lose_link(entry, id)
    with trio.move_on_after(away_seconds):
        await entry.run(**{"max-attempts": 2})
        assert entry.deaths.suspects.blocks_request("f")
        await trio.sleep_forever()
    entry.refusing.clear()
    await trio.sleep(3.0)
    entry.connections.responses = [ScriptedResponse(events(1, 3))]
    assert await entry.run() is None
    assert entry.reply.data == events(1, 3)


@pytest.mark.parametrize("away_seconds", [0.5, 1.5, 3.0, 8.0])
async def test_request_whose_engines_have_restarted_stays_blocked(
    autojump_clock, nursery, away_seconds
):
    # Guards against a crash that is withdrawn since the engine is back.
    entry = checked_entry(nursery, connection_failure(), connection_failure())
    for id in ("a", "c"):
        lose_link(entry, id)
    with trio.move_on_after(away_seconds):
        await entry.run(**{"max-attempts": 2})
        await trio.sleep_forever()
    for id in ("a", "c"):
        restart(entry, id)
    await trio.sleep(BLOCK_TTL_SECONDS - 30.0)
    assert entry.deaths.suspects.blocks_request("f", certain=True)
    assert len(entry.connections.sent) == 2


async def test_engine_that_registers_late_after_its_restart_has_crashed(
    autojump_clock, nursery
):
    entry = checked_entry(nursery, connection_failure(), connection_failure())
    for id in ("a", "c"):
        lose_link(entry, id)
    with trio.move_on_after(CONFIRM_SECONDS + 1.0):
        await entry.run(**{"max-attempts": 2})
        await trio.sleep_forever()
    entry.refusing.clear()
    await trio.sleep(0.7)
    for id in ("a", "c"):
        restart(entry, id)
    await trio.sleep(5.0)
    assert entry.deaths.suspects.blocks_request("f", certain=True)


async def test_deaths_during_an_answer_are_withdrawn_when_the_links_are_back(
    autojump_clock, nursery
):
    # Guards against answers that end for links that three engines lost.
    steps = [step for n in range(1, 6) for step in (events(n, n), 0.1)]
    entry = checked_entry(
        nursery, *(ScriptedResponse(*steps, connection_failure()) for _ in range(3))
    )
    for _ in range(3):
        with suppress(ResponseAborted):
            await entry.run(resumable=False)
        for engine in entry.directory.endpoints.values():
            engine.quarantined_until = 0.0
        await trio.sleep(1.0)
    assert entry.deaths.suspects.death_count("f") == 0


async def test_crashes_do_not_become_certain_while_the_entry_is_cut_off(
    autojump_clock, nursery
):
    # Guards against links that are lost one after the other, until all are.
    entry = checked_entry(nursery, connection_failure(), connection_failure())
    for id in ("a", "c"):
        lose_link(entry, id)
    with trio.move_on_after(1.0):
        await entry.run(**{"max-attempts": 2})
        await trio.sleep_forever()
    for id in ("b", "d"):
        lose_link(entry, id)
    assert await entry.links.check()
    await trio.sleep(5.0)
    suspects = entry.deaths.suspects
    assert suspects.blocks_request("f")
    assert not suspects.blocks_request("f", certain=True)
    entry.refusing = {entry.directory.endpoints["a"].registration.address}
    await entry.links.try_endpoints()
    await trio.sleep(CONFIRM_SECONDS + 0.5)
    assert suspects.death_count("f") == 1
    assert suspects.death_count("f", certain=True) == 1


async def run_and_lose_links(entry, nursery, outcomes, **route):
    """Run a stream in the background; return once two attempts have broken."""

    async def run():
        try:
            outcomes.append(await entry.run(**route))
        except ResponseAborted as error:
            outcomes.append(error)

    for id in ("a", "c"):
        lose_link(entry, id)
    nursery.start_soon(run)
    await trio.sleep(0.5)
    assert len(entry.connections.sent) == 2


@pytest.mark.parametrize("begun", [False, True])
async def test_stream_waits_while_the_crashes_of_its_engines_are_not_certain(
    autojump_clock, nursery, begun
):
    # Guards against answers that are broken off as two engines lost their links.
    lost = [events(1, 2), 0.1] if begun else []
    entry = checked_entry(
        nursery,
        ScriptedResponse(*lost, connection_failure()),
        ScriptedResponse(connection_failure()),
        ScriptedResponse(events(3 if begun else 1, 6)),
    )
    outcomes = []
    await run_and_lose_links(entry, nursery, outcomes, **{"max-attempts": 4})
    await trio.sleep(0.7)
    assert outcomes == []
    entry.refusing.clear()
    await trio.sleep(5.0)
    assert outcomes == [None]
    assert entry.reply.data == events(1, 6)


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("away_seconds", [1.0, 10.0])
async def test_stream_ends_once_the_crashes_of_its_engines_are_certain(
    autojump_clock, nursery, begun, away_seconds
):
    lost = [events(1, 2), 0.1] if begun else []
    entry = checked_entry(
        nursery,
        ScriptedResponse(*lost, connection_failure()),
        ScriptedResponse(connection_failure()),
    )
    outcomes = []
    await run_and_lose_links(entry, nursery, outcomes, **{"max-attempts": 4})
    started_at = entry.clock.monotonic()
    with trio.move_on_after(away_seconds):
        while not outcomes:
            await trio.sleep(0.1)
    for id in ("a", "c"):
        restart(entry, id)
    while not outcomes:
        await trio.sleep(0.1)
    assert entry.clock.monotonic() - started_at < CONFIRM_SECONDS
    assert "engines crashed on the same request" in str(outcomes[0])
    assert len(entry.connections.sent) == 2


async def test_answer_waits_while_three_deaths_are_not_certain(autojump_clock, nursery):
    # Guards against a long answer that ends as three engines of it lost their links.
    entry = checked_entry(nursery, ScriptedResponse(events(1, 3)))
    engines = list(entry.directory.endpoints.values())[:3]
    for engine in engines:
        lose_link(entry, engine.id)
        entry.deaths.suspects.record_crash("f", engine)
    nursery.start_soon(entry.run)
    await trio.sleep(0.5)
    assert entry.connections.sent == []
    entry.refusing.clear()
    await trio.sleep(2.0)
    assert entry.reply.ended
    assert entry.reply.data == events(1, 3)


async def test_death_of_a_silent_engine_is_withdrawn_when_its_links_are_back(
    autojump_clock, nursery
):
    # Guards against answers that end for links that only hung for some seconds.
    entry = checked_entry(nursery)
    nursery.start_soon(entry.silent_engines.run)
    engine = entry.directory.endpoints["a"]
    entry.dark = {engine.registration.address}
    entry.deaths.request_started("g", [engine.id])
    entry.silent_engines.record(engine)
    await trio.sleep(SILENCE_CONFIRM_SECONDS + 0.5)
    assert entry.deaths.suspects.death_count("g", certain=True) == 1
    entry.dark.clear()
    await trio.sleep(3.0)
    assert entry.deaths.suspects.death_count("g") == 0


async def test_death_of_a_silent_engine_that_registers_late_stays_certain(
    autojump_clock, nursery
):
    # Guards against a death that is withdrawn since the next run accepts connections.
    entry = checked_entry(nursery)
    nursery.start_soon(entry.silent_engines.run)
    engine = entry.directory.endpoints["a"]
    entry.dark = {engine.registration.address}
    entry.deaths.request_started("g", [engine.id])
    entry.silent_engines.record(engine)
    await trio.sleep(SILENCE_CONFIRM_SECONDS + 0.5)
    entry.dark.clear()
    await trio.sleep(0.7)
    restart(entry, "a")
    await trio.sleep(5.0)
    assert entry.deaths.suspects.death_count("g", certain=True) == 1


async def test_reported_crash_of_an_engine_that_registers_late_is_not_withdrawn(
    autojump_clock, nursery
):
    # Guards against a deadly request that is sent on by an entry that heard of its
    # crash when the engine was about to start again.
    entry = checked_entry(nursery)
    lose_link(entry, "a")
    engine = entry.directory.endpoints["a"]
    suspects = entry.deaths.suspects
    suspects.report_death("request/f", engine.run_id, entry.directory)
    await trio.sleep(0.3)
    entry.refusing.clear()
    await trio.sleep(0.7)
    restart(entry, "a")
    await trio.sleep(5.0)
    assert suspects.death_count("request/f", certain=True) == 1
