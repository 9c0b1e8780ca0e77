"""Responses that contain parts of another one, on connections in use again."""

import pytest
import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.engine import HttpEngineClient
from pistachioreach.endpoints.wire import Stage
from pistachioreach.errors import ConnectionFailed
from tests.raw_servers import RawServer, answer_bytes

COPY = answer_bytes(request="7" * 16)


class ClosingServer(RawServer):
    """Server whose last answer ends with its connection."""

    async def serve(self, stream):
        async with stream:
            await super().serve(ClosedAfterLast(stream, self))


class ClosedAfterLast:
    """Stream that is closed when the last answer has been sent."""

    def __init__(self, stream, server):
        self.stream = stream
        self.server = server

    async def receive_some(self, size):
        if self.server.requests == len(self.server.answers):
            return b""
        return await self.stream.receive_some(size)

    async def send_all(self, data):
        await self.stream.send_all(data)


@pytest.mark.parametrize("place", ["before the body", "after the body"])
async def test_a_copy_in_a_body_without_a_length_is_a_failure(nursery, place):
    # Guards against an earlier answer as a part of a body that ends its connection.
    head, _, _ = answer_bytes().partition(b"\r\nContent-Length")
    head += b"\r\n\r\n"
    parts = (
        [head, COPY, b"own"] if place == "before the body" else [head + b"own", COPY]
    )
    server = await ClosingServer([answer_bytes()], parts).start(nursery)
    connections = Connections()
    await connections.call("e", server.address, "GET", "/x")
    with trio.fail_after(2.0), pytest.raises(ConnectionFailed):
        response = await connections.call("e", server.address, "GET", "/x")
        assert response.body == b"own"


async def test_a_copy_in_place_of_a_refusal_breaks_the_stream(nursery):
    # Guards against an error of the connections that the engines' client lets through.
    refusal = answer_bytes(503, b'{"ran":false,"reason":"full"}')
    end = refusal.index(b"\r\n\r\n") + 4
    parts = [refusal[:end], COPY + COPY + refusal[end:]]
    server = await RawServer([answer_bytes()], parts).start(nursery)
    client = HttpEngineClient(Connections())
    stage = Stage("e", server.address, 0, 1)
    await client.connections.call("e", server.address, "GET", "/x")
    order = {"stages": [stage], "stage": 0}
    async with client.open(order) as batches:
        events = [event async for batch in batches for event in batch]
    [broken] = events
    assert broken.sent
    assert not broken.refused


async def test_a_head_that_two_copies_interrupt_is_a_failure(nursery):
    # Guards against the status of an earlier answer if no status line is whole.
    own = answer_bytes(404, b"nothing")
    cut = COPY.index(b"plain")
    parts = [COPY[:cut], own[:10], COPY[cut : cut + 3], own[10:]]
    server = await RawServer([answer_bytes()], parts).start(nursery)
    connections = Connections()
    await connections.call("e", server.address, "GET", "/x")
    with pytest.raises(ConnectionFailed):
        response = await connections.call("e", server.address, "GET", "/x")
        assert response.status == 404
