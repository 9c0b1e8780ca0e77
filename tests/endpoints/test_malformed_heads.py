"""Header sections that no sound server sends."""

import pytest
import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from tests.raw_servers import RawServer

SIGNED = b"Attempt-Id: 9c41d07be2a35f68\r\nResponse-Seal: seal\r\n"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
OK = b"HTTP/1.1 200 OK"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n%s\r\n"


def head_bytes(status_line=OK, first=b"", last=b"", framing=LENGTH):
    """Return the bytes of a header section."""
    return status_line + b"\r\n" + first + SIGNED + framing + last + b"\r\n"


async def call(nursery, answer):
    """Return the response to a call whose server sends some bytes, then closes."""
    server = await RawServer([answer, None]).start(nursery)
    with trio.fail_after(2):
        return await Connections().call("e", server.address, "GET", "/x")


async def receive_stream(nursery, answer):
    """Return the status and the data of a stream whose server sends some bytes."""
    server = await RawServer([answer, None]).start(nursery)
    with trio.fail_after(2):
        async with Connections().send(
            "e",
            server.address,
            "GET",
            b"/x",
            [("Host", server.address)],
            b"",
            unlimited=True,
        ) as exchange:
            parts = [part async for part in exchange.response.aiter_stream()]
            return exchange.response.status, b"".join(parts)


@pytest.mark.parametrize("receive", [call, receive_stream])
@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 000 Status",
        b"HTTP/1.1 000",
        b"HTTP/1.1 099 Status",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/1.1 600 Status",
        b"HTTP/1.1 600",
        b"HTTP/1.1 999 Status",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 +20 OK",
        b"HTTP/2.0 200 OK",
        b"HTTP/0.9 200 OK",
    ],
)
async def test_status_line_that_no_server_sends_is_a_failure(
    nursery, status_line, receive
):
    # Guards against a status that means nothing, which reached the caller.
    with pytest.raises(ConnectionFailed) as failure:
        await receive(nursery, head_bytes(status_line) + b"body")
    assert failure.value.sent


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600"])
async def test_response_after_an_invalid_one_is_a_failure(nursery, status):
    first = b"HTTP/1.1 " + status + b" Status\r\nLink: a\r\n\r\n"
    with pytest.raises(ConnectionFailed):
        await call(nursery, first + head_bytes() + b"body")


@pytest.mark.parametrize("version", [b"1.0", b"1.1", b"1.2"])
@pytest.mark.parametrize("status", [200, 206, 304, 404, 421, 500, 599])
async def test_any_valid_status_line_is_passed_on(nursery, version, status):
    line = b"HTTP/%s %d" % (version, status)
    response = await call(nursery, head_bytes(line) + b"body")
    assert response.status == status
