"""Answers that have begun: how they go on after failures, and what ends them."""

import pytest

from pistachioreach.dispatch.stream_limits import Limit
from pistachioreach.errors import ResponseAborted
from tests.dispatch.test_streams import StreamEntry, connection_failure
from tests.platform_builders import ScriptedResponse, events


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
