"""Callers that send unusual but permitted, cut off or malformed requests."""

from __future__ import annotations

import base64
import random
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.platform.standins.deployment import caller_fields
from pistachioreach.platform.standins.engine import response_bytes
from soak.checks import Attempt
from soak.keys import IDLE_SECONDS

if TYPE_CHECKING:
    from soak.environment import SoakEnvironment

__all__ = ["OddCaller"]

#: Deadline of the requests in seconds.
DEADLINE_SECONDS = 3.0
#: Maximum seconds between two requests of an odd caller.
MAX_PAUSE_SECONDS = 0.1
#: Seconds by which a request may be sent before or after the end of the idle time.
IDLE_SPREAD_SECONDS = 0.03
#: Seconds between two parts of a body that is sent slowly.
SLOW_PART_SECONDS = 0.05
#: Path of the requests, which may not be repeated.
PATH = "/bookings/x"
#: Preface of HTTP/2 with an empty SETTINGS frame.
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
#: SETTINGS of HTTP/2 that can't be decoded, and with a maximum frame size of 1.
BAD_SETTINGS = (
    "!!!!",
    base64.urlsafe_b64encode(bytes((0, 5, 0, 0, 0, 1))).decode(),
)
#: Fields of an upgrade to WebSocket, with a good key and with a bad one.
WEBSOCKET_KEYS = ("dGhlIHNhbXBsZSBub25jZQ==", "bad")
#: Bytes that begin each answer.
ANSWER_START = b"HTTP/1.1 "
#: Exceptions of a connection that the router closes.
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class OddRequest(NamedTuple):
    """Request of an odd caller.

    Attributes:
        id: Identifier of the attempt.
        head: Header section.
        body: Body.
    """

    id: str
    head: bytes
    body: bytes


class OddCaller:
    """Caller without connection pool that opens a connection for each odd request.

    Args:
        environment: Environment of the run.
        number: Number of the odd caller.
        seed: Seed of the caller's random choices.
    """

    def __init__(self, environment: SoakEnvironment, number: int, seed: int) -> None:
        #: Environment of the run.
        self.environment = environment
        #: Number of the odd caller.
        self.number = number
        #: Generator of the caller's random choices.
        self.random = random.Random(seed)
        #: Number of requests so far, which makes identifiers unique.
        self.sequence_number = 0

    async def run(self) -> None:
        """Send one odd request after another, and requests at the end of idle times."""
        async with trio.open_nursery() as nursery:
            for number in range(len(self.environment.routers)):
                nursery.start_soon(self.send_after_idle_time, number)
            while True:
                routers = range(len(self.environment.routers))
                await self.send_odd_request(self.random.choice(routers))
                await trio.sleep(self.random.uniform(0.0, MAX_PAUSE_SECONDS))

    def make_request(self, router: int, *extra: str, method="POST") -> OddRequest:
        """Return a request to a router.

        Args:
            router: Number of the router.
            *extra: Further lines of the header section.
            method: Method of the request.
        """
        self.sequence_number += 1
        id = f"{router}.odd{self.number}.{self.sequence_number}"
        body = b"" if method == "GET" else id.encode()
        key = self.environment.keys.usable()
        fields = caller_fields(id, body, key, DEADLINE_SECONDS)
        lines = [f"{method} {PATH} HTTP/1.1", *(f"{n}: {v}" for n, v in fields), *extra]
        return OddRequest(id, "\r\n".join([*lines, "", ""]).encode(), body)

    async def send_odd_request(self, router: int) -> None:
        """Send an odd request of a random form to a router, and read all answers."""
        forms = (
            self.send_upgrade,
            self.send_http2,
            self.send_pipelined,
            self.send_slowly,
            self.send_cut,
            self.send_half_closed,
            self.send_relayed,
        )
        form = self.random.choice(forms)
        target = self.environment.routers[router].link.target
        with suppress(*CONNECTION_ERRORS), trio.move_on_after(2 * DEADLINE_SECONDS):
            async with await trio.open_tcp_stream(*target) as stream:
                await form(stream, router)

    async def send_after_idle_time(self, router: int) -> None:
        """Send requests to a router around the end of a connection's idle time."""
        target = self.environment.routers[router].link.target
        while True:
            with suppress(*CONNECTION_ERRORS):
                async with await trio.open_tcp_stream(*target) as stream:
                    await self.send_all(stream, router, [self.make_request(router)])
                    spread = self.random.uniform(-1, 1) * IDLE_SPREAD_SECONDS
                    await trio.sleep(IDLE_SECONDS + spread)
                    await self.send_all(stream, router, [self.make_request(router)], 1)
            await trio.sleep(MAX_PAUSE_SECONDS)

    async def send_upgrade(self, stream: trio.SocketStream, router: int) -> None:
        """Ask for an upgrade to HTTP/2 or WebSocket, which the router doesn't offer."""
        if self.random.random() < 0.5:
            settings = self.random.choice(BAD_SETTINGS)
            extra = ("connection: Upgrade, HTTP2-Settings", "upgrade: h2c")
            request = self.make_request(router, *extra, f"http2-settings: {settings}")
        else:
            key = self.random.choice(WEBSOCKET_KEYS)
            extra = ("connection: Upgrade", "upgrade: websocket")
            extra += ("sec-websocket-version: 13", f"sec-websocket-key: {key}")
            request = self.make_request(router, *extra, method="GET")
        await stream.send_all(request.head + request.body)
        await read_answers(stream, 1)

    async def send_http2(self, stream: trio.SocketStream, router: int) -> None:
        """Send a request of HTTP/2 whose path is not ASCII."""
        fields = ((b":method", b"GET"), (b":path", b"/\xff"), (b":scheme", b"http"))
        block = b"".join(
            b"\x00" + bytes((len(name),)) + name + bytes((len(value),)) + value
            for name, value in (*fields, (b":authority", b"x"))
        )
        frame = len(block).to_bytes(3, "big") + bytes((1, 5, 0, 0, 0, 1)) + block
        await stream.send_all(PREFACE + frame)
        await read_answers(stream, 1)

    async def send_pipelined(self, stream: trio.SocketStream, router: int) -> None:
        """Send several requests in one write."""
        requests = [self.make_request(router) for _ in range(3)]
        await self.send_all(stream, router, requests)

    async def send_slowly(self, stream: trio.SocketStream, router: int) -> None:
        """Send the body of a second request byte by byte."""
        await self.send_all(stream, router, [self.make_request(router)])
        request = self.make_request(router)
        await stream.send_all(request.head)
        for byte in request.body[:-1]:
            await stream.send_all(bytes((byte,)))
            await trio.sleep(SLOW_PART_SECONDS)
        await self.send_all(stream, router, [request], 1, request.body[-1:])

    async def send_cut(self, stream: trio.SocketStream, router: int) -> None:
        """Close the connection within the body of a request."""
        request = self.make_request(router)
        await stream.send_all(request.head + request.body[:3])
        await trio.sleep(self.random.uniform(0.0, 0.1))

    async def send_half_closed(self, stream: trio.SocketStream, router: int) -> None:
        """Send a request and close the direction to the router.

        HTTP/1.1 lets a server take this for the caller's end, so that an answer that
        doesn't come is counted and not reported.
        """
        request = self.make_request(router)
        await stream.send_all(request.head + request.body)
        await stream.send_eof()
        answered = ANSWER_START in await read_answers(stream, 1)
        outcome = "answered" if answered else "not answered"
        self.environment.record.log_event(f"half-closed {request.id}: {outcome}")

    async def send_relayed(self, stream: trio.SocketStream, router: int) -> None:
        """Send a request that claims to come from another entry."""
        request = self.make_request(router, "relayed-by: entry-9")
        await self.send_all(stream, router, [self.make_request(router)])
        await self.send_all(stream, router, [request], 1)

    async def send_all(
        self,
        stream: trio.SocketStream,
        router: int,
        requests: list[OddRequest],
        earlier: int = 0,
        data: bytes | None = None,
    ) -> None:
        """Send requests at once, read the answers, and record each attempt.

        Args:
            stream: Connection to the router.
            router: Number of the router.
            requests: The requests.
            earlier: Number of requests that the connection has served.
            data: Bytes to send; None sends the requests whole.
        """
        sent_at = trio.current_time()
        if data is None:
            data = b"".join(request.head + request.body for request in requests)
        received, failure = b"", ""
        try:
            await stream.send_all(data)
            received = await read_answers(stream, len(requests))
        except CONNECTION_ERRORS as error:
            failure = repr(error)
        answers = received.split(ANSWER_START)[1:]
        for number, request in enumerate(requests):
            answer = answers[number] if number < len(answers) else b""
            expected = response_bytes(request.body)
            status = int(answer[:3]) if answer else None
            attempt = Attempt(
                request.id,
                "bookings",
                self.environment.routers[router].name,
                sent_at,
                trio.current_time(),
                status,
                is_whole(answer),
                answer.partition(b"\r\n\r\n")[2],
                expected,
                200,
                DEADLINE_SECONDS,
                bool(earlier + number),
                failure,
            )
            self.environment.record.attempts.append(attempt)


def is_whole(answer: bytes) -> bool:
    """Return whether an answer, without its first bytes, has its whole body."""
    head, _, body = answer.partition(b"\r\n\r\n")
    _, found, length = head.lower().partition(b"content-length: ")
    if found:
        return len(body) >= int(length.split(b"\r\n")[0])
    return body.endswith(b"0\r\n\r\n")


async def read_answers(stream: trio.SocketStream, count: int) -> bytes:
    """Return what arrives until a number of answers is whole, the end or a deadline.

    Raises:
        trio.BrokenResourceError: The connection broke.
    """
    received = b""
    with trio.move_on_after(DEADLINE_SECONDS + 0.5):
        while data := await stream.receive_some(65536):
            received += data
            answers = received.split(ANSWER_START)[1:]
            if len(answers) >= count and all(map(is_whole, answers)):
                break
    return received
