"""Answers that a server sends before it has read the whole request."""

import pytest
import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from tests.raw_servers import EarlyServer, answer_bytes

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nResponse-Seal: seal\r\n"
WITHOUT_LENGTH = HEAD + b"Connection: close\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: Body of a request that the sockets of both sides cannot hold.
UPLOAD = b"x" * (16 * 1024 * 1024)


@pytest.mark.parametrize("reset", [True, False])
async def test_early_answer_without_a_length_that_is_reset_is_not_complete(
    nursery, reset
):
    # Guards against a part of an answer that reaches the caller as a whole one: the
    # write of the request takes the error of the reset, so that the read finds an end.
    address = await EarlyServer(WITHOUT_LENGTH + b"part", reset).start(nursery)
    with trio.fail_after(5), pytest.raises(ConnectionFailed) as failure:
        await Connections().call("e", address, "POST", "/x", UPLOAD)
    assert failure.value.sent


async def test_early_stream_without_a_length_that_is_reset_is_not_complete(nursery):
    answer = WITHOUT_LENGTH + b"id: 1\ndata: t\n\n"
    address = await EarlyServer(answer, reset=True).start(nursery)
    received = b""
    with trio.fail_after(5), pytest.raises(ConnectionFailed):
        async with Connections().send(
            "e",
            address,
            "POST",
            b"/x",
            [("Host", address), ("Content-Length", str(len(UPLOAD)))],
            UPLOAD,
            unlimited=True,
        ) as exchange:
            async for data in exchange.response.aiter_stream():
                received += data
    assert received == b"id: 1\ndata: t\n\n"


@pytest.mark.parametrize(
    "answer", [answer_bytes(413, b"body"), CHUNKED + b"4\r\nbody\r\n0\r\n\r\n"]
)
async def test_early_answer_whose_end_is_known_reaches_the_caller(nursery, answer):
    # Guards against the loss of a whole answer whose connection is reset after it.
    address = await EarlyServer(answer, reset=True).start(nursery)
    with trio.fail_after(5):
        response = await Connections().call("e", address, "POST", "/x", UPLOAD)
    assert response.body == b"body"
