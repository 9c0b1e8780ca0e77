"""Connections to endpoints that answer with bytes that belong to no request."""

import errno
import functools
import itertools
import socket

import pytest
import trio

from pistachioreach.endpoints.connections import (
    MAX_RESPONSE_BYTES,
    Connections,
    read_body,
)
from pistachioreach.endpoints.http_connection import MAX_HEAD_BYTES, open_connection
from pistachioreach.errors import ConnectionFailed
from tests.raw_servers import REQUEST_ID, RawServer, answer_bytes

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: Bytes that the sockets of both sides may hold besides those that were read.
SOCKET_BYTES = 8 * 1024 * 1024


class Flood:
    """Server that answers each connection with bytes until the caller closes it."""

    def __init__(self, first, repeated):
        self.first = first
        self.repeated = repeated
        self.sent_bytes = 0
        self.closed = trio.Event()

    async def answer(self, stream):
        await stream.receive_some(65536)
        try:
            for part in itertools.chain([self.first], itertools.repeat(self.repeated)):
                await stream.send_all(part)
                self.sent_bytes += len(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed.set()


def address_of(listener):
    """Return the address of a listener on loopback."""
    host, port = listener.socket.getsockname()
    return f"{host}:{port}"


@pytest.fixture
async def flood_of(nursery):
    async def start(first, repeated):
        flood = Flood(first, repeated)
        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, flood.answer, 0, host="127.0.0.1")
        )
        flood.address = address_of(listeners[0])
        return flood

    return start


@pytest.mark.parametrize(
    ("first", "repeated", "limit"),
    [
        pytest.param(b"", b"x" * 4096, MAX_HEAD_BYTES, id="no header section"),
        pytest.param(HEAD, b"a: b\r\n" * 500, MAX_HEAD_BYTES, id="fields"),
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 99, MAX_HEAD_BYTES, id="interim"
        ),
        pytest.param(
            HEAD + b"\r\n", b"y" * 65536, MAX_RESPONSE_BYTES, id="body to the close"
        ),
        pytest.param(
            CHUNKED, b"1\r\nz\r\n" * 5000, MAX_RESPONSE_BYTES, id="small chunks"
        ),
        pytest.param(
            CHUNKED,
            b"1;a=" + b"e" * 9000 + b"\r\nz\r\n",
            MAX_RESPONSE_BYTES,
            id="extensions",
        ),
        pytest.param(
            CHUNKED + b"0\r\n", b"t: u\r\n" * 999, MAX_RESPONSE_BYTES, id="trailers"
        ),
    ],
)
async def test_bytes_without_end_are_a_failure(flood_of, first, repeated, limit):
    flood = await flood_of(first, repeated)
    connections = Connections()
    with trio.fail_after(20.0):
        with pytest.raises(ConnectionFailed) as caught:
            await connections.call("e", flood.address, "GET", "/x")
        await flood.closed.wait()
    assert caught.value.sent
    assert flood.sent_bytes <= limit + SOCKET_BYTES
    assert not connections.idle.get(flood.address)


async def test_idle_connections_to_many_endpoints_are_bounded(nursery):
    """A placer orders each of many engines once and does not need them again soon."""
    answer = HEAD + b"Content-Length: 0\r\n\r\n"

    async def serve(stream):
        while await stream.receive_some(65536):
            await stream.send_all(answer)

    serve_all = functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    connections = Connections(max_idle=8)
    addresses = []
    for _ in range(20):
        listeners = await nursery.start(serve_all)
        addresses.append(address_of(listeners[0]))
        await connections.call("e", addresses[-1], "GET", "/x")
    assert sum(len(idle) for idle in connections.idle.values()) == 8
    # The connections that were used last are kept.
    assert all(connections.idle.get(address) for address in addresses[-8:])


async def test_a_stream_may_be_longer_than_the_limit_of_a_response(flood_of):
    flood = await flood_of(CHUNKED, b"8000\r\n" + b"z" * 0x8000 + b"\r\n")
    received = 0
    with trio.fail_after(20.0):
        async with Connections().send(
            "e", flood.address, "GET", b"/x", [("Host", "e")], b"", unlimited=True
        ) as exchange:
            async for data in exchange.response.aiter_stream():
                received += len(data)
                if received > 2 * MAX_RESPONSE_BYTES:
                    break


async def test_the_limit_starts_anew_with_each_request_of_a_connection(nursery):
    body = b"b" * (MAX_RESPONSE_BYTES // 2)
    answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body

    async def serve(stream):
        while await stream.receive_some(65536):
            await stream.send_all(answer)

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    address = address_of(listeners[0])
    connections = Connections()
    for _ in range(4):
        response = await connections.call("e", address, "GET", "/x")
        assert response.body == body
        assert len(connections.idle[address]) == 1


async def test_the_error_body_of_a_stream_is_limited(flood_of):
    flood = await flood_of(HEAD + b"\r\n", b"y" * 65536)
    with trio.fail_after(20.0):
        with pytest.raises(ConnectionFailed):
            async with Connections().send(
                "e", flood.address, "GET", b"/x", [("Host", "e")], b"", unlimited=True
            ) as exchange:
                await read_body(exchange.response)
        await flood.closed.wait()
    assert flood.sent_bytes <= MAX_RESPONSE_BYTES + SOCKET_BYTES


async def test_other_tasks_run_while_many_small_parts_are_read(flood_of, nursery):
    flood = await flood_of(CHUNKED, b"1\r\nz\r\n" * 5000)
    longest_wait = 0.0

    async def measure():
        nonlocal longest_wait
        while True:
            before = trio.current_time()
            await trio.lowlevel.checkpoint()
            longest_wait = max(longest_wait, trio.current_time() - before)

    nursery.start_soon(measure)
    with pytest.raises(ConnectionFailed):
        await Connections().call("e", flood.address, "GET", "/x")
    assert longest_wait < 0.1


async def test_bytes_after_a_response_leave_a_log_line(nursery, log_lines):
    copy = answer_bytes(request="earlier")
    server = await RawServer([answer_bytes() + copy]).start(nursery)
    await Connections().call("e", server.address, "GET", "/x")
    [line] = [line for line in log_lines if line["message"].startswith("bytes that")]
    assert line["extra"]["address"] == server.address
    assert line["extra"]["bytes"] == len(copy)
    assert line["extra"]["responses"] == 1


async def test_bytes_on_an_idle_connection_leave_a_log_line(nursery, log_lines):
    copy = answer_bytes(request="earlier")
    server = await RawServer([answer_bytes(), copy], [answer_bytes()]).start(nursery)
    connections = Connections()
    await connections.call("e", server.address, "GET", "/x")
    await trio.sleep(0.05)
    await connections.call("e", server.address, "GET", "/x")
    [line] = [line for line in log_lines if line["message"].startswith("bytes that")]
    assert line["extra"]["bytes"] == len(copy)
    assert line["extra"]["idle"] > 0


async def test_bytes_after_a_response_end_its_connection(nursery):
    # Guards against bytes in the parser's buffer that begin the next response.
    copy = answer_bytes(request="earlier")
    server = await RawServer([answer_bytes() + copy], [answer_bytes()]).start(nursery)
    connections = Connections()
    for _ in range(2):
        response = await connections.call("e", server.address, "GET", "/x")
        assert response.headers["attempt-id"] == REQUEST_ID
    assert server.connections == 2


async def test_connections_that_end_while_idle_leave_no_line(nursery, log_lines):
    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(answer_bytes())
        await trio.sleep(0.01)
        await stream.aclose()

    serve_all = functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    [listener] = await nursery.start(serve_all)
    connections = Connections()
    for _ in range(2):
        await connections.call("e", address_of(listener), "GET", "/x")
        await trio.sleep(0.05)
    assert not log_lines


async def test_a_header_section_within_another_one_is_a_failure(nursery):
    # Guards against a report or an order whose status is that of an earlier response.
    copy = answer_bytes(412)[:50]
    server = await RawServer([answer_bytes()], [copy, answer_bytes()]).start(nursery)
    connections = Connections()
    await connections.call("e", server.address, "GET", "/x")
    with pytest.raises(ConnectionFailed) as caught:
        await connections.call("e", server.address, "GET", "/x")
    assert caught.value.sent
    assert not connections.idle.get(server.address)


async def test_a_field_that_names_the_protocol_is_no_status_line(nursery):
    answer = answer_bytes(fields=(b"Via: HTTP/1.1 proxy", b"Link: </HTTP/1.1>"))
    server = await RawServer([answer]).start(nursery)
    response = await Connections().call("e", server.address, "GET", "/x")
    assert response.status == 200


async def test_an_unread_response_is_no_surplus(nursery):
    # Guards against sound endpoints whose streams are left by their callers.
    stream = [CHUNKED + b"5\r\nfirst\r\n" + b"5\r\nnext"]
    server = await RawServer([answer_bytes()], stream, [answer_bytes()]).start(nursery)
    connections = Connections()
    await connections.call("e", server.address, "GET", "/x")
    async with connections.stream("e", server.address, "GET", "/x") as response:
        assert await anext(response.aiter_stream()) == b"first"
    for _ in range(3):
        await connections.call("e", server.address, "GET", "/x")
    assert server.connections == 2


async def test_a_cancelled_request_closes_the_connection_it_discards(nursery):
    server = await RawServer([answer_bytes(), b"surplus"]).start(nursery)
    connections = Connections()
    await connections.call("e", server.address, "GET", "/x")
    [(connection, _)] = connections.idle[server.address]
    await trio.sleep(0.02)
    with trio.CancelScope() as scope:
        scope.cancel()
        await connections.call("e", server.address, "GET", "/x")
    assert connection.is_closed()


async def test_lack_of_descriptors_does_not_show_that_a_peer_is_lost(monkeypatch):
    """All engines would be avoided, by every entry that is told, for seconds."""
    connections = Connections()
    assert not await connections.is_listening("127.0.0.1:1")

    async def fail(*args, **kwargs):
        error = OSError(errno.EMFILE, "too many open files")
        raise OSError("all attempts failed") from ExceptionGroup("failed", [error])

    monkeypatch.setattr(trio, "open_tcp_stream", fail)
    assert await connections.is_listening("127.0.0.1:1")


@pytest.mark.parametrize(
    "address",
    ["fe80::1%\u00e9:80", "fe80::1%" + "z" * 64 + ":80", "10.0.0.1:x", "host:80", ""],
)
async def test_an_address_that_cannot_be_used_is_a_failure_to_connect(address):
    # Guards against an error that ends the process of the placer, or a call with 500.
    connections = Connections()
    with pytest.raises(ConnectionFailed) as failure:
        await connections.call("e", address, "GET", "/x")
    assert not failure.value.sent
    assert not await connections.is_listening(address)


#: Time in seconds for which a sound endpoint may be silent.
SILENCE_SECONDS = 2.0


async def test_kernel_ends_no_connection_for_a_moment_of_silence(nursery):
    # Guards against a user timeout that ends a connection after one lost probe.
    server = await RawServer([answer_bytes()]).start(nursery)
    connection = await open_connection(server.address)
    options = connection.stream.get_extra_info("socket")

    def option(name):
        return options.getsockopt(socket.IPPROTO_TCP, name)

    idle, interval = option(socket.TCP_KEEPIDLE), option(socket.TCP_KEEPINTVL)
    # The first probe follows the last bytes after the idle time. A later one finds
    # that the user timeout has passed; the number of probes does not matter then.
    timeout = option(socket.TCP_USER_TIMEOUT) / 1000
    given_up = next(
        at for at in itertools.count(idle + interval, interval) if at >= timeout
    )
    assert given_up - idle > SILENCE_SECONDS
    await connection.aclose()
