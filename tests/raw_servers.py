"""Servers for tests that answer requests with exactly the given bytes."""

import functools
import socket
import struct

import h11
import trio

#: Identifier of the request that `caller_fields` describes.
REQUEST_ID = "9c41d07be2a35f68"
#: Size in bytes of the receive buffer of a server that does not read a request.
BUFFER_BYTES = 8192
#: Option by which a socket is reset when it is closed.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def answer_bytes(status=200, body=b"body", request=REQUEST_ID, fields=()):
    """Return the bytes of an answer, which is signed if it has an identifier."""
    lines = [b"HTTP/1.1 %d Status" % status, b"Content-Type: text/plain"]
    if request is not None:
        lines += [b"Attempt-Id: " + request.encode(), b"Response-Seal: seal"]
    lines += [*fields, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def plain_bytes(status=200, body=b""):
    """Return the bytes of an answer without an identifier and a signature."""
    return answer_bytes(status, body, request=None)


async def read_request(stream):
    """Read one request with its body; return whether there was one."""
    http = h11.Connection(h11.SERVER)
    while not isinstance(event := http.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            data = await stream.receive_some(65536)
            if not data:
                return False
            http.receive_data(data)
    return True


class RawServer:
    """Server that answers each request with the next of the given byte strings.

    Each item is a list of parts, which are sent one after the other with a pause. When
    none is left, the last item is repeated. A part that is None ends the connection.
    `connections` counts the connections.
    """

    def __init__(self, *answers, pause=0.005):
        self.answers = list(answers)
        self.pause = pause
        self.connections = 0
        self.requests = 0

    async def start(self, nursery):
        serve = functools.partial(trio.serve_tcp, self.serve, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        return self

    async def serve(self, stream):
        self.connections += 1
        earlier = b""
        try:
            while await read_request(stream):
                parts = self.answers[min(self.requests, len(self.answers) - 1)]
                self.requests += 1
                if copy := self.copy_of(earlier):
                    parts = [copy, *parts]
                earlier = parts[-1]
                for number, part in enumerate(parts):
                    if number:
                        await trio.sleep(self.pause)
                    if part is None:
                        await stream.aclose()
                        return
                    await stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The router closes a connection that it does not trust.
            return

    def copy_of(self, answer):
        """Return what is sent once more before the next answer on a connection."""
        return b""


class RepeatingServer(RawServer):
    """Server that repeats an answer when the next request on a connection has arrived.

    `cut` is the number of bytes of the second copy that are sent, or None for all.
    """

    def __init__(self, *answers, cut=None):
        super().__init__(*([answer] for answer in answers), pause=0.002)
        self.cut = cut

    def copy_of(self, answer):
        return answer[: self.cut]


class EarlyServer:
    """Server that answers without reading the request, then ends the connection.

    Args:
        answer: Bytes of the answer, or of its beginning.
        reset: Whether the connection is reset, as opposed to closed. The system resets
            it in either case, as the request has not been read.
    """

    def __init__(self, answer, reset):
        self.answer = answer
        self.reset = reset

    async def start(self, nursery):
        listen = functools.partial(trio.open_tcp_listeners, 0, host="127.0.0.1")
        [listener] = await listen()
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        nursery.start_soon(trio.serve_listeners, self.serve, [listener])
        host, port = listener.socket.getsockname()
        return f"{host}:{port}"

    async def serve(self, stream):
        await stream.send_all(self.answer)
        await trio.sleep(0.1)
        if self.reset:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await trio.aclose_forcefully(stream)
