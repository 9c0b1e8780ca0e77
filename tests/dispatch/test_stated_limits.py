"""Endpoints that state how many requests a second they take."""

import trio

from tests.dispatch.test_plain import PlainEntry
from tests.platform_builders import ScriptedResponse

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
