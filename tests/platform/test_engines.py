"""Reports and orders on connections on which an engine repeats an earlier answer."""

import msgspec
import pytest

from pistachioreach.endpoints.connections import Connections
from pistachioreach.platform.engines import (
    OrderResult,
    is_listening,
    place_layers,
    read_report,
    reroute_stream,
)
from tests.raw_servers import RepeatingServer, plain_bytes


def report_bytes(order_count):
    document = {"seq-no": order_count, "busy": False, "kv-used": 0, "kv-total": 1}
    return plain_bytes(200, msgspec.json.encode(document))


async def place(connections, address):
    return await place_layers(connections, "a", address, (0, 40), 5, 1)


async def reroute(connections, address):
    return await reroute_stream(connections, "a", address, "r-1", "10.0.0.1:80=0-80")


@pytest.mark.parametrize("order", [place, reroute])
async def test_second_copy_of_a_report_is_no_acceptance_of_an_order(nursery, order):
    server = RepeatingServer(report_bytes(2), plain_bytes(409))
    await server.start(nursery)
    connections = Connections()
    assert await read_report(connections, "a", server.address)
    result = await order(connections, server.address)
    assert result is OrderResult.STATE_MISMATCH


@pytest.mark.parametrize("status", [202, 409, 412, 421])
async def test_second_copy_of_an_order_answer_is_not_the_next_ones(nursery, status):
    own = plain_bytes(409 if status == 202 else 202)
    server = RepeatingServer(plain_bytes(status), own)
    await server.start(nursery)
    connections = Connections()
    first = await place(connections, server.address)
    second = await place(connections, server.address)
    assert OrderResult.ACCEPTED in (first, second)
    assert first is not second


async def test_second_copy_of_a_report_is_not_the_next_report(nursery):
    server = RepeatingServer(report_bytes(1), report_bytes(2))
    await server.start(nursery)
    connections = Connections()
    for count in (1, 2):
        report = await read_report(connections, "a", server.address)
        assert report.order_count == count


@pytest.mark.parametrize("ask", [place, is_listening, read_report])
async def test_second_copy_of_an_engines_answer_reaches_no_request(nursery, ask):
    # A second 421 that counts for a request has all entries avoid the engine.
    server = RepeatingServer(plain_bytes(421), plain_bytes(200))
    await server.start(nursery)
    connections = Connections()
    if ask is place:
        await place(connections, server.address)
    else:
        await ask(connections, "a", server.address)
    response = await connections.call("a", server.address, "GET", "/x")
    assert response.status == 200
