"""Refusals of requests whose body the gateway does not read to its end."""

from contextlib import suppress

import h11
import pytest
import trio

from pistachioreach.server_connection import LINGER_SECONDS
from tests.callers.test_gateway import World
from tests.platform_builders import caller_fields

#: Sizes in bytes of a body: over the limit, and far over the buffers besides.
BODY_BYTES = (4 * 2**20 + 1, 5 * 2**20, 64 * 2**20)


async def begin_request(world, size):
    """Send a header section that announces a body of a given size."""
    caller = await world.connect()
    headers = [*caller_fields(), ("content-length", str(size))]
    head = h11.Request(method="POST", target="/bookings/1", headers=headers)
    await caller.stream.send_all(caller.http.send(head))
    return caller


async def wait_until_ended(world, seconds):
    with trio.fail_after(seconds):
        while world.drain.in_progress:
            await trio.sleep(0.01)


@pytest.mark.parametrize("size", BODY_BYTES)
@pytest.mark.parametrize("status", [413, 503])
async def test_a_refusal_reaches_a_caller_that_sends_its_whole_body_first(
    nursery, status, size
):
    # Guards against a connection that hangs, and one whose reset loses the refusal.
    world = await World().start(nursery)
    if status == 503:
        world.platform_view.routes = None
    caller = await begin_request(world, size)
    with trio.fail_after(5):
        await caller.stream.send_all(size * b"x")
        await trio.sleep(0.1)
        assert (await caller.answer())[0] == status
        # A connection whose request was read to its end is kept.
        await caller.stream.send_eof()
        assert await caller.stream.receive_some() == b""
    await wait_until_ended(world, 0.1)


@pytest.mark.parametrize("sends", [True, False])
async def test_a_refused_caller_that_goes_on_is_cut_off_in_time(nursery, sends):
    # Guards against connections that callers keep open after their refusal.
    world = await World().start(nursery)
    caller = await begin_request(world, 2**40)
    with trio.fail_after(LINGER_SECONDS + 3), suppress(trio.BrokenResourceError):
        while world.drain.in_progress or not world.gateway.journal.requests:
            await caller.stream.send_all(2**20 * b"x")
        if not sends:
            await trio.sleep(LINGER_SECONDS + 0.5)
        while True:
            await caller.stream.send_all(b"x")
            await trio.sleep(0.01)
    await wait_until_ended(world, 0.1)


async def test_a_malformed_request_with_a_body_gets_its_refusal(nursery):
    # Guards against a reset by the bytes that follow a header section.
    world = await World().start(nursery)
    caller = await world.connect()
    await caller.stream.send_all(b"GET / HTTP/1.1\r\nx\r\n\r\n" + 2**22 * b"x")
    received = b""
    with trio.fail_after(5):
        async for part in caller.stream:
            received += part
    assert received.startswith(b"HTTP/1.1 400 ")
