"""What the journal says of requests that end without a complete answer."""

import socket

import pytest
import trio
from hypercorn.protocol.h11 import H11Protocol

from pistachioreach.dispatch.work import CompleteResponse
from tests.callers.test_gateway import World
from tests.raw_servers import RESET_ON_CLOSE

REQUEST = "r"
#: Size in bytes of an answer that does not fit into the buffers of a connection.
LARGE_ANSWER_BYTES = 32 * 2**20
#: First bytes of a request whose body is malformed.
MALFORMED = (
    b"POST /bookings/1 HTTP/1.1\r\nHost: crews.example\r\nAttempt-Id: r\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nno size\r\n"
)


async def hang(work, reply):
    await trio.sleep_forever()


async def fail(work, reply):
    raise RuntimeError("not expected")


async def answer_at_length(work, reply):
    return CompleteResponse(200, [], LARGE_ANSWER_BYTES * b"x")


async def begin_request(nursery, handler):
    """Return a gateway whose dispatcher runs a request, and its caller."""
    world = await World().start(nursery)
    world.plain.handler = handler
    caller = await world.connect()
    await caller.send(attempt_id=REQUEST)
    with trio.fail_after(2):
        while not world.plain.requests:
            await trio.sleep(0.01)
    return world, caller.stream


async def end_of(world):
    """Wait until a request has ended; return the choice and the reason."""
    with trio.fail_after(5):
        while not (decisions := world.gateway.journal.explain(REQUEST)):
            await trio.sleep(0.01)
    [decision] = decisions
    assert decision.kind == "end"
    return decision.choice, decision.reason


async def reset(stream):
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await stream.aclose()


async def test_a_caller_that_closes_is_told_from_one_that_resets(nursery):
    world, stream = await begin_request(nursery, hang)
    await stream.aclose()
    assert await end_of(world) == ("none", "the caller closed the connection")
    world, stream = await begin_request(nursery, hang)
    await reset(stream)
    assert await end_of(world) == ("none", "the caller reset the connection")


async def test_a_malformed_body_is_not_taken_for_a_caller_that_left(nursery):
    world = await World().start(nursery)
    caller = await world.connect()
    await caller.stream.send_all(MALFORMED)
    assert await end_of(world) == ("none", "the request was malformed")


async def test_an_error_on_the_connection_is_named(nursery, monkeypatch):
    world, stream = await begin_request(nursery, hang)

    async def raise_error(protocol, event):
        raise RuntimeError("not expected")

    monkeypatch.setattr(H11Protocol, "handle", raise_error)
    await stream.send_all(b"x")
    expected = "error on the connection: RuntimeError('not expected')"
    assert await end_of(world) == ("none", expected)


async def test_an_error_of_the_router_is_named(nursery):
    world, _ = await begin_request(nursery, fail)
    choice, reason = await end_of(world)
    assert choice == "500"
    assert "not expected" in reason


@pytest.mark.parametrize(
    ("drains", "reason"),
    [
        (True, "cut off by the shutdown"),
        (False, "cancelled, the process ends without a drain"),
    ],
)
async def test_a_cancelled_request_is_recorded(drains, reason):
    async with trio.open_nursery() as nursery:
        world, _ = await begin_request(nursery, hang)
        if drains:
            world.drain.begin(8.0)
        nursery.cancel_scope.cancel()
    assert await end_of(world) == ("none", reason)


async def test_an_answer_that_the_caller_did_not_get_is_not_recorded_as_sent(nursery):
    world, stream = await begin_request(nursery, answer_at_length)
    await stream.receive_some(100)
    await reset(stream)
    choice, reason = await end_of(world)
    assert choice == "none"
    # The system reports a reset once, and an end to the other of reading and sending.
    ends = ("the caller reset the connection", "the caller closed the connection")
    assert reason in [f"{end} before the end of: 200 answered" for end in ends]
