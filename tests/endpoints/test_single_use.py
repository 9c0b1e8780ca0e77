"""Connections to endpoints that sent bytes of no request are used once."""

import pytest
import trio

from pistachioreach.endpoints import connections
from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from tests.dispatch.test_kept_connections import entry_of
from tests.raw_servers import RawServer, answer_bytes

OTHER = "7" * 16
SUCCESS = answer_bytes()
#: Answers without a body, of which nothing is left in the parser.
EMPTY = answer_bytes(body=b"")
EARLIER_EMPTY = answer_bytes(body=b"", request=OTHER)
JOINED = EARLIER_EMPTY[:40] + EMPTY


@pytest.mark.parametrize(
    "misplaced",
    [
        pytest.param(EARLIER_EMPTY, id="an answer to another request"),
        pytest.param(JOINED, id="a head within another one"),
    ],
)
async def test_a_misplaced_head_alone_ends_the_reuse_of_connections(nursery, misplaced):
    # Guards against a rule that only holds if a body is left unread.
    entry, server = await entry_of(nursery, [SUCCESS], [misplaced], [SUCCESS])
    for _ in range(2):
        await entry.run("idempotent")
    before = server.connections
    for _ in range(3):
        outcome = await entry.run("idempotent")
        assert (outcome.status, outcome.earlier_responses) == (200, 0)
    assert server.connections == before + 3


async def test_surplus_on_one_connection_closes_the_idle_ones(nursery):
    # Guards against a second answer on a connection that was idle meanwhile.
    server = await RawServer(
        [SUCCESS], [SUCCESS], [SUCCESS + SUCCESS], [SUCCESS], pause=0.0
    ).start(nursery)
    pool = Connections()
    async with pool.stream("e", server.address, "GET", "/x") as response:
        await pool.call("e", server.address, "GET", "/x")
        async for _ in response.aiter_stream():
            pass
    assert len(pool.idle[server.address]) == 2
    for _ in range(2):
        await pool.call("e", server.address, "GET", "/x")
    assert server.connections == 3
    assert not pool.idle.get(server.address)


async def test_addresses_are_forgotten_after_their_time(nursery, monkeypatch):
    # Guards against state that grows with each address that was ever in use.
    monkeypatch.setattr(connections, "SINGLE_USE_SECONDS", 0.05)
    pool = Connections()
    for _ in range(3):
        server = await RawServer([SUCCESS + SUCCESS]).start(nursery)
        await pool.call("e", server.address, "GET", "/x")
        await trio.sleep(0.06)
    assert list(pool.single_use_until) == [server.address]


async def test_a_request_on_a_new_connection_leaves_the_idle_ones(nursery):
    # Guards against a request that may run once on a connection that was in use.
    server = await RawServer([SUCCESS]).start(nursery)
    pool = Connections()
    for _ in range(2):
        await pool.call("e", server.address, "GET", "/x", fresh=True)
    assert server.connections == 2


async def test_an_endpoint_that_accepts_no_connection_got_no_request(nursery):
    # Guards against a failure that is not told from a request that may have run.
    [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listener.socket.getsockname()
    await listener.aclose()
    with pytest.raises(ConnectionFailed) as caught:
        await Connections().call("e", f"{host}:{port}", "GET", "/x")
    assert not caught.value.sent
