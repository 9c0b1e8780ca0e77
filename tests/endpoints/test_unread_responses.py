"""Connections to sound endpoints stay in use, and their responses are no faults."""

import pytest
import trio

from pistachioreach.endpoints.connections import Connections
from tests.raw_servers import RawServer, answer_bytes


def surplus_lines(lines):
    """Return the log lines about bytes that belong to no request."""
    return [line for line in lines if line["message"].startswith("bytes that")]


async def test_an_unread_body_does_not_end_the_reuse_of_connections(nursery, log_lines):
    # Guards against new connections for 30 s to each engine that refuses a stream.
    refusal = answer_bytes(503, b"full", fields=(b"Not-Executed: 1",))
    server = await RawServer([refusal], [answer_bytes()]).start(nursery)
    connections = Connections()
    async with connections.stream("e", server.address, "GET", "/x") as response:
        assert response.status == 503
    assert not surplus_lines(log_lines)
    for _ in range(3):
        await connections.call("e", server.address, "GET", "/x")
    assert server.connections == 2


async def test_a_cancelled_response_does_not_end_the_reuse_of_connections(
    nursery, log_lines
):
    # Guards against a caller that leaves and costs an endpoint its kept connections.
    answer = answer_bytes()
    server = await RawServer([answer[:30], answer[30:]], [answer], pause=0.2).start(
        nursery
    )
    connections = Connections()
    with trio.move_on_after(0.05):
        await connections.call("e", server.address, "GET", "/x")
    assert not surplus_lines(log_lines)
    for _ in range(3):
        await connections.call("e", server.address, "GET", "/x")
    assert server.connections == 2


@pytest.mark.parametrize("received_by", [b"192.0.2.7", b"203.0.113.9:8080"])
async def test_the_address_of_a_proxy_is_no_status_line(nursery, received_by):
    # Guards against the failure of all requests to an endpoint behind a proxy.
    answer = answer_bytes(fields=(b"Via: HTTP/1.1 " + received_by,))
    server = await RawServer([answer]).start(nursery)
    response = await Connections().call("e", server.address, "GET", "/x")
    assert response.status == 200


async def test_a_connection_is_closed_if_its_request_is_cancelled_before_it_is_sent(
    nursery,
):
    # Guards against an open connection that no one holds, and a lost surplus.
    server = await RawServer([answer_bytes(), answer_bytes()]).start(nursery)
    connections = Connections()
    await connections.call("e", server.address, "GET", "/x")
    [(connection, _)] = connections.idle[server.address]
    await trio.sleep(0.05)
    with trio.CancelScope() as scope:
        scope.cancel()
        await connections.call("e", server.address, "GET", "/x")
    assert connection.is_closed()
    assert server.address in connections.single_use_until
