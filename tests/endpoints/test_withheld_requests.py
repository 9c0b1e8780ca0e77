"""Requests that are withheld just before their first byte."""

import functools

import pytest
import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import EndpointLeft
from tests.endpoints.test_connections import address_of
from tests.raw_servers import answer_bytes


class Recorder:
    """Server that records what each connection receives."""

    def __init__(self):
        self.received = []

    async def answer(self, stream):
        number = len(self.received)
        self.received.append(b"")
        async for data in stream:
            self.received[number] += data
            await stream.send_all(answer_bytes())


def withhold():
    raise EndpointLeft("e")


@pytest.mark.parametrize("kept", [False, True])
async def test_request_that_is_withheld_sends_nothing_and_closes_its_connection(
    nursery, kept
):
    # Guards against a next request on a connection that is in use for this one.
    server, connections = Recorder(), Connections()
    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, server.answer, 0, host="127.0.0.1")
    )
    address = address_of(listeners[0])
    if kept:
        await connections.call("e", address, "GET", "/first")
    with trio.fail_after(2), pytest.raises(EndpointLeft):
        async with connections.send(
            "e", address, "GET", b"/withheld", [], b"", on_send=withhold
        ):
            pass
    assert not connections.idle.get(address)
    response = await connections.call("e", address, "GET", "/next")
    assert response.status == 200
    assert not any(b"/withheld" in data for data in server.received)
    assert b"/next" in server.received[1]
