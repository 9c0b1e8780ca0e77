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


#: Lines whose name of a field holds a blank or a control character, or none at all.
MALFORMED_LINES = [
    b" Name: value\r\n",
    b"\tName: value\r\n",
    b" Name: value\n",
    b"Na me: value\r\n",
    b"Name : value\r\n",
    b"Na\x00me: value\r\n",
    b"Na\x01me: value\r\n",
    b"Na\x1cme: value\r\n",
    b"Na\x7fme: value\r\n",
    b"\x0bName: value\r\n",
    b"\rName: value\r\n",
    b"Name\r: value\r\n",
    b"Name: val\x01ue\r\n",
    b": value\r\n",
    b"Name\r\n",
    b" \r\n",
    b"\t\r\n",
]


@pytest.mark.parametrize("receive", [call, receive_stream])
@pytest.mark.parametrize("place", ["first", "last", "interim"])
@pytest.mark.parametrize("line", MALFORMED_LINES)
async def test_malformed_line_of_a_header_section_is_a_failure(
    nursery, line, place, receive
):
    # Guards against a line that reaches the caller as a part of another field.
    if place == "interim":
        answer = EARLY_HINTS % line + head_bytes() + b"body"
    else:
        answer = head_bytes(**{place: line}) + b"body"
    with pytest.raises(ConnectionFailed) as failure:
        await receive(nursery, answer)
    assert failure.value.sent


@pytest.mark.parametrize("receive", [call, receive_stream])
@pytest.mark.parametrize("blank", [b" ", b"\t", b"\x0b", b"\x00"])
async def test_length_in_a_malformed_line_is_a_failure(nursery, blank, receive):
    # Guards against a body with the bytes after it, whose length was lost in the field
    # before it.
    head = head_bytes(framing=blank + LENGTH)
    with pytest.raises(ConnectionFailed):
        await receive(nursery, head + b"body, and bytes of another answer")


@pytest.mark.parametrize("size", [1, 7, 1000])
async def test_malformed_line_in_parts_is_a_failure(nursery, size):
    answer = head_bytes(last=b" Name: value\r\n") + b"body"
    parts = [answer[start : start + size] for start in range(0, len(answer), size)]
    server = await RawServer([*parts, None], pause=0.0).start(nursery)
    with trio.fail_after(2), pytest.raises(ConnectionFailed):
        await Connections().call("e", server.address, "GET", "/x")


@pytest.mark.parametrize("line", MALFORMED_LINES)
async def test_malformed_trailer_changes_nothing_of_the_answer(nursery, line):
    # The end of such a body is known before its trailers, which are not passed on.
    chunks = b"4\r\nbody\r\n0\r\nA: b\r\n" + line + b"\r\n"
    answer = head_bytes(framing=CHUNKED) + chunks
    try:
        response = await call(nursery, answer)
    except ConnectionFailed as failure:
        assert failure.sent
    else:
        assert response.body == b"body"
        assert set(response.headers) == {
            "attempt-id",
            "response-seal",
            "transfer-encoding",
        }


@pytest.mark.parametrize("receive", [call, receive_stream])
async def test_sound_header_sections_in_any_form_are_passed_on(nursery, receive):
    # A body may begin with a blank, and fields may hold any text that is visible.
    fields = b"A:\r\nB: \t x  y \r\nC:\xe9\x80!\"#$%&'()*+,-./:;<=>?@[\\]^_`{|}~\n"
    answer = EARLY_HINTS % b"" + head_bytes(first=fields) + b" \x00\r\n"
    if receive is call:
        response = await call(nursery, answer)
        assert response.headers["b"] == "x  y"
        assert response.body == b" \x00\r\n"
    else:
        assert await receive_stream(nursery, answer) == (200, b" \x00\r\n")


async def test_malformed_line_of_an_earlier_body_is_no_fault(nursery):
    # Guards against bytes of a body that count as those of the next header section.
    answer = head_bytes(framing=b"Content-Length: 6\r\n") + b"\n \x00\r\n\t"
    server = await RawServer([answer]).start(nursery)
    connections = Connections()
    for _ in range(3):
        response = await connections.call("e", server.address, "GET", "/x")
        assert response.body == b"\n \x00\r\n\t"
    assert server.connections == 1
