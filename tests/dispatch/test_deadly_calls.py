"""Calls that crash the endpoints of a plain service."""

import trio

from pistachioreach.errors import ConnectionFailed
from tests.dispatch.test_plain import PlainEntry

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
