"""Checks of engines that may have crashed, by an entry that still reaches others."""

from contextlib import suppress

import pytest
import trio

from pistachioreach.dispatch.crash_checks import CrashChecks
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
            await entry.run(**{"max-attempts": 1})
        for engine in entry.directory.endpoints.values():
            engine.quarantined_until = 0.0
        await trio.sleep(1.0)
    assert entry.deaths.suspects.death_count("f") == 0
