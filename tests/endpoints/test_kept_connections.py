"""The product's own interface on connections on which an endpoint repeats an answer."""

import msgspec
import pytest

from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.engine import HttpEngineClient
from pistachioreach.endpoints.service import HttpServiceClient, ServiceCall
from pistachioreach.endpoints.wire import BrokenStream, Stage
from tests.raw_servers import RawServer, RepeatingServer, plain_bytes


@pytest.mark.parametrize("status", [200, 404])
async def test_second_outcome_of_a_call_is_not_the_outcome_of_another(nursery, status):
    server = RepeatingServer(plain_bytes(200, b"first"), plain_bytes(status, b"own"))
    await server.start(nursery)
    client = HttpServiceClient(Connections())
    first, second = (
        ServiceCall("s", server.address, "/outcomes/book", f"crews.{key}", b"")
        for key in ("1", "2")
    )
    assert (await client.look_up(first)).body == b"first"
    found = await client.look_up(second)
    assert (found and found.body) == (b"own" if status == 200 else None)


def stream_order(address):
    stages = [Stage("engine-1", address, 0, 80)]
    return {"stream": "r-1.1.x", "request": "r-1", "stages": stages, "stage": 0}


async def first_events(client, address):
    async with client.open(stream_order(address)) as batches:
        return await anext(batches)


async def test_second_refusal_of_a_stream_refuses_no_other_stream(nursery):
    refusal = msgspec.json.encode({"ran": False, "reason": "full"})
    event = b'event: end\ndata: {"request": "r-1", "attempt": 1, "count": 0}\n\n'
    server = RepeatingServer(plain_bytes(503, refusal), plain_bytes(200, event))
    await server.start(nursery)
    client = HttpEngineClient(Connections())
    (refused,) = await first_events(client, server.address)
    assert refused.refused
    (own,) = await first_events(client, server.address)
    assert not isinstance(own, BrokenStream)


async def test_second_report_of_the_load_is_not_a_stream(nursery):
    load = msgspec.json.encode({"running": 0, "waiting": 0, "leaving": False})
    event = b'event: end\ndata: {"request": "r-1", "attempt": 1, "count": 0}\n\n'
    server = RepeatingServer(plain_bytes(200, load), plain_bytes(200, event))
    await server.start(nursery)
    client = HttpEngineClient(Connections())
    await client.load("engine-1", server.address)
    (own,) = await first_events(client, server.address)
    assert not isinstance(own, BrokenStream)


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param(
            [b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nfu", None], id="cut"
        ),
        pytest.param([plain_bytes(503, b"x" * 9)[:-9], plain_bytes(), b"x"], id="copy"),
    ],
)
async def test_refusal_that_is_not_whole_breaks_the_stream_only(nursery, parts):
    # Guards against an error that escapes from the reader of a stream.
    server = await RawServer(parts).start(nursery)
    (event,) = await first_events(HttpEngineClient(Connections()), server.address)
    assert isinstance(event, BrokenStream)
    assert not event.refused
