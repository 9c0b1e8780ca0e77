"""Calls that crash the endpoints of a plain service."""

import pytest
import trio

from pistachioreach.dispatch.crash_checks import CrashChecks
from pistachioreach.dispatch.crashes import (
    BLOCKED_RETRY_SECONDS,
    SUSPECTED_RETRY_SECONDS,
)
from pistachioreach.errors import ConnectionFailed
from pistachioreach.routing.crash_evidence import CONFIRM_SECONDS
from pistachioreach.routing.suspects import BLOCK_TTL_SECONDS
from pistachioreach.verdict import Failure, Verdict
from tests.dispatch.test_plain import PlainEntry
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import ScriptedResponse

#: Number of crashes after which few further sends may reach endpoints.
KNOWN_AFTER_CRASHES = 3
#: Number of those further sends.
FURTHER_SENDS = 3


def crash():
    """Return the failure of a connection whose endpoint crashed."""
    return ConnectionFailed("s", True, "peer closed connection")


async def test_call_that_crashes_endpoints_is_sent_to_few_of_them(autojump_clock):
    entry = PlainEntry(*(crash() for _ in range(60)))
    for _ in range(20):
        await entry.run("idempotent")
        await trio.sleep(4.0)
    assert len(entry.connections.sent) <= KNOWN_AFTER_CRASHES + FURTHER_SENDS


async def test_call_that_crashed_endpoints_is_refused_as_not_run(autojump_clock):
    entry = PlainEntry(crash(), crash())
    await entry.run("idempotent")
    outcome = await entry.run("idempotent")
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason.status == 503
    assert outcome.retry_after > 0


async def test_call_that_crashed_endpoints_may_have_run(autojump_clock):
    entry = PlainEntry(*(crash() for _ in range(3)))
    outcome = await entry.run("idempotent", **{"max-attempts": 3})
    assert len(entry.connections.sent) == 2
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def test_other_calls_are_served_meanwhile(autojump_clock):
    entry = PlainEntry()
    for number in range(12):
        entry.connections.responses = [crash(), crash()]
        await entry.run("idempotent", fingerprint="deadly")
        await trio.sleep(4.0)
        entry.connections.responses = [ScriptedResponse(b"read")]
        outcome = await entry.run("idempotent", fingerprint=f"sound{number}")
        assert outcome.body == b"read"


async def test_broken_connection_of_a_running_endpoint_blocks_no_call(autojump_clock):
    entry = PlainEntry(*(crash() for _ in range(12)), ScriptedResponse(b"read"))
    entry.connections.listening = True
    for _ in range(6):
        await entry.run("idempotent")
        await trio.sleep(4.0)
    assert (await entry.run("idempotent")).body == b"read"


async def test_calls_that_broke_because_links_were_lost_are_not_blocked(
    autojump_clock,
):
    # Guards against an entry that takes the loss of its own links for crashes.
    entry = PlainEntry(*(crash() for _ in range(12)), ScriptedResponse(b"read"))
    for _ in range(6):
        entry.cut_off = True
        await entry.run("idempotent")
        entry.cut_off = False
        await entry.links.try_endpoints()
        await trio.sleep(4.0)
    entry.connections.responses = [ScriptedResponse(b"read")]
    assert (await entry.run("idempotent")).body == b"read"


async def test_call_that_is_answered_is_no_longer_suspected(autojump_clock):
    entry = PlainEntry()
    for _ in range(4):
        entry.connections.responses = [crash(), ScriptedResponse(b"read")]
        assert (await entry.run("idempotent")).body == b"read"
        await trio.sleep(4.0)


async def test_blocked_call_is_told_to_entries_that_start_later(autojump_clock):
    entry, later = PlainEntry(crash(), crash()), PlainEntry()
    await entry.run("idempotent")
    await trio.sleep(60.0)
    for fingerprint, death in entry.suspects.recent_deaths():
        later.suspects.record_death(fingerprint, death)
    outcome = await later.run("idempotent")
    assert outcome.verdict is Verdict.NOT_RUN
    assert later.connections.sent == []


async def test_blocked_call_is_accepted_again_after_its_time(autojump_clock):
    entry = PlainEntry(crash(), crash(), ScriptedResponse(b"read"))
    await entry.run("idempotent")
    await trio.sleep(BLOCK_TTL_SECONDS + 1.0)
    assert (await entry.run("idempotent")).body == b"read"


async def test_call_waits_for_evidence_on_crashes_that_are_not_certain(
    autojump_clock, nursery
):
    # Guards against calls that are refused as links to two endpoints were lost.
    entry = PlainEntry(crash(), crash())
    checks = CrashChecks(entry.suspects, entry.directory, entry.links, entry.clock)
    for first in entry.directory.endpoints.values():
        address = f"10.0.0.{first.id[1:]}:80"
        first.registration = first.registration._replace(address=address)
    await entry.run("idempotent")
    nursery.start_soon(checks.run)
    entry.connections.responses = [ScriptedResponse(b"read")]
    assert (await entry.run("idempotent")).body == b"read"


async def test_call_that_is_refused_before_its_crashes_are_certain_comes_back_soon(
    autojump_clock,
):
    entry = PlainEntry(crash(), crash())
    await entry.run("idempotent")
    outcome = await entry.run("idempotent", seconds=1.0)
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.retry_after == SUSPECTED_RETRY_SECONDS
    await trio.sleep(CONFIRM_SECONDS)
    outcome = await entry.run("idempotent", seconds=1.0)
    assert outcome.retry_after == BLOCKED_RETRY_SECONDS


@pytest.mark.parametrize("reused", [False, True])
async def test_stream_that_crashes_engines_is_sent_to_few_of_them(
    autojump_clock, reused
):
    broken = ConnectionFailed("a", True, "peer closed connection", reused)
    entry = StreamEntry(*(broken for _ in range(60)))
    for _ in range(20):
        await entry.run()
        await trio.sleep(5.0)
    assert len(entry.connections.sent) <= KNOWN_AFTER_CRASHES + FURTHER_SENDS
