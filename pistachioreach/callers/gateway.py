"""Callers' requests as they come from the platform's balancer: routes and keys."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import trio

from pistachioreach.dispatch.work import CompleteResponse, RoutedRequest, refused
from pistachioreach.errors import ResponseAborted
from pistachioreach.platform.requests import decode_request, response_headers
from pistachioreach.routing.routes import find_route, pick_service
from pistachioreach.server import serve_lifespan
from pistachioreach.verdict import (
    CALLER_GONE,
    DEADLINE_PASSED,
    DRAINING,
    NO_ENDPOINT,
    NO_MANIFEST,
    NOT_FOUND,
    TOO_LARGE,
    UNAUTHORIZED,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from pistachioreach.callers.drain import Drain
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.plain import PlainDispatcher
    from pistachioreach.dispatch.streams import StreamDispatcher
    from pistachioreach.journal import Journal
    from pistachioreach.knowledge.platform import Knowledge
    from pistachioreach.metrics import Metrics
    from pistachioreach.platform.requests import CallerRequest
    from pistachioreach.routing.routes import RouteTable

    Send = Callable[[dict[str, Any]], Awaitable[None]]
    Receive = Callable[[], Awaitable[dict[str, Any]]]

__all__ = ["Gateway"]

#: Seconds after which a caller may come back to an entry without configuration.
UNCONFIGURED_SECONDS = 0.5
#: Seconds after which a caller may come back to another entry; the balancer asks
#: every second which are ready.
DRAINING_SECONDS = 0.25
#: Seconds for a caller that names no deadline.
DEFAULT_PATIENCE = 60.0
#: Seconds before the caller's deadline at which it is answered.
ANSWER_MARGIN = 0.03


class CallerLeft(Exception):
    """The caller has closed the connection."""


class AsgiReply:
    """The answer to a caller over ASGI.

    Args:
        send: Sends one ASGI message.
        closing: Returns whether connections end with their answer.
        clock: Clock of the pauses.
    """

    def __init__(self, send: Send, closing: Callable[[], bool], clock: Clock) -> None:
        #: Sends one ASGI message.
        self.send_message = send
        #: Returns whether connections end with their answer.
        self.closing = closing
        #: Whether the header section has been sent.
        self.started = False
        #: Whether the body is complete.
        self.ended = False
        #: Clock of the pauses.
        self.clock = clock
        #: Monotonic time of the first part of the body, and of the last one.
        self.first: float | None = None
        self.last: float | None = None
        #: Longest time between two parts, in seconds.
        self.longest_pause = 0.0

    async def start(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Send the header section."""
        self.started = True
        if self.closing():
            fields = [*fields, (b"connection", b"close")]
        await self.send_message({"type": "http.response.start", "status": status, "headers": fields})

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        now = self.clock.monotonic()
        if self.first is None:
            self.first = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last)
        self.last = now
        await self.send_message({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """Say that the body is complete."""
        self.ended = True
        await self.send_message({"type": "http.response.body", "body": b"", "more_body": False})


class Gateway:
    """The ASGI application for callers.

    Args:
        knowledge: What is known of the platform.
        plain: Takes requests to plain services.
        streams: Takes streams to engines.
        journal: Where decisions are written.
        metrics: Counters and histograms.
        clock: Clock of all decisions.
        random: Source of random choices.
        drain: The entry's shutdown.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        plain: PlainDispatcher,
        streams: StreamDispatcher,
        journal: Journal,
        metrics: Metrics,
        clock: Clock,
        random: Random,
        drain: Drain,
    ) -> None:
        #: What is known of the platform.
        self.knowledge = knowledge
        #: Takes requests to plain services.
        self.plain = plain
        #: Takes streams to engines.
        self.streams = streams
        #: Where decisions are written.
        self.journal = journal
        #: Counters and histograms.
        self.metrics = metrics
        #: Clock of all decisions.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: The entry's shutdown.
        self.drain = drain

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            self.drain.arrived()
            try:
                await self.serve(scope, receive, send)
            finally:
                self.drain.ended()

    async def serve(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request; ends the connection if the answer cannot be whole."""
        arrived = self.clock.monotonic()
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        request = decode_request(scope["method"], target, scope["headers"])
        reply = AsgiReply(send, lambda: self.drain.begun, self.clock)
        try:
            outcome = await self.handle(request, arrived, receive, reply)
        except CallerLeft:
            self.record(request, arrived, "none", "the caller has left")
            return
        except ResponseAborted as error:
            self.record(request, arrived, "broken off", str(error))
            return
        if isinstance(outcome, Failure):
            await self.answer_failure(request, arrived, outcome, reply)
        elif isinstance(outcome, CompleteResponse):
            await reply.start(outcome.status, outcome.fields)
            await reply.send(outcome.body)
            await reply.end()
            self.record(request, arrived, str(outcome.status), "answered")
        else:
            self.record_stream(request, arrived, reply)

    async def handle(self, request: CallerRequest, arrived: float, receive: Receive, reply: AsgiReply) -> Failure | CompleteResponse | None:
        """Take a request to its outcome.

        Raises:
            CallerLeft: The caller has closed the connection.
            ResponseAborted: The answer has begun and cannot be completed.
        """
        routes = self.knowledge.routes
        if routes is None:
            detail = "no configuration is known yet"
            return refused(NO_MANIFEST, detail, UNCONFIGURED_SECONDS)
        body = await read_body(receive, routes.limits.body_bytes)
        if isinstance(body, Failure):
            return body
        if self.drain.refuses():
            return refused(DRAINING, "too late in the shutdown", DRAINING_SECONDS)
        # The configuration may have changed while the body came in.
        work = self.work_of(self.knowledge.routes, request, body, arrived)
        if isinstance(work, Failure):
            return work
        return await self.dispatch(work, receive, reply)

    def work_of(self, routes: RouteTable, request: CallerRequest, body: bytes, arrived: float) -> RoutedRequest | Failure:
        """Return what is to be done for a request, or why it is refused."""
        route = find_route(routes, request.host, request.path)
        if route is None:
            return refused(NOT_FOUND, f"no route for {request.host}{request.path}")
        workspace = None
        if routes.workspaces is not None and not route.public:
            workspace = routes.workspaces.get(request.api_key or "")
            if workspace is None:
                return refused(UNAUTHORIZED, "no workspace holds the key")
        service = routes.services.get(pick_service(route, self.random))
        if service is None:
            return refused(NO_ENDPOINT, f"route '{route.name}' has no service", 1.0)
        patience = request.wait_seconds or DEFAULT_PATIENCE
        limit = min(patience - ANSWER_MARGIN, route.timeout)
        ranked = workspace is not None and workspace.priority is not None
        name = workspace.name if workspace else None
        return RoutedRequest(
            request=request,
            body=body,
            route=route,
            service=service,
            workspace=name,
            priority=workspace.priority if ranked else route.priority,
            arrived=arrived,
            deadline=arrived + limit,
            fingerprint=fingerprint(request, name, body),
        )

    async def dispatch(self, work: RoutedRequest, receive: Receive, reply: AsgiReply) -> Failure | CompleteResponse | None:
        """Run a request for as long as its caller stays.

        Raises:
            CallerLeft: The caller has closed the connection.
            ResponseAborted: The answer has begun and cannot be completed.
        """
        outcome: list = []
        error: list[ResponseAborted] = []
        left = False
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal left
                await caller_left(receive)
                # The end of an answer is told in the same way.
                left = not reply.ended
                if left:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            try:
                if work.route.streaming and work.service.engine is not None:
                    outcome.append(await self.streams.run(work, reply))
                else:
                    outcome.append(await self.plain.run(work))
            except ResponseAborted as broken:
                error.append(broken)
            nursery.cancel_scope.cancel()
        if outcome:
            return outcome[0]
        if error:
            raise error[0]
        if left:
            raise CallerLeft
        return Failure(Verdict.MAY_HAVE_RUN, CALLER_GONE, "cancelled")

    async def answer_failure(self, request: CallerRequest, arrived: float, failure: Failure, reply: AsgiReply) -> None:
        """Answer a request that has no answer of an endpoint."""
        status = failure.reason.status
        if failure.verdict is not Verdict.NOT_RUN and status in (429, 503):
            status = 502
        if failure.reason is DEADLINE_PASSED and failure.verdict is Verdict.NOT_RUN:
            status = 503
        body = failure.reason.title.encode() + b"\n"
        fields = response_headers(len(body), failure.retry_after, closing=False)
        await reply.start(status, fields)
        await reply.send(body)
        await reply.end()
        self.record(
            request,
            arrived,
            str(status),
            f"{failure.reason.code}: {failure.detail}",
            verdict=failure.verdict.value,
            retry_after=failure.retry_after,
        )

    def record_stream(self, request: CallerRequest, arrived: float, reply: AsgiReply) -> None:
        """Write how a stream was delivered."""
        self.metrics.observe("longest_pause_seconds", reply.longest_pause)
        first = None if reply.first is None else round(reply.first - arrived, 4)
        pause = round(reply.longest_pause, 4)
        self.record(request, arrived, "200", "streamed", first=first, longest_pause=pause)

    def record(self, request: CallerRequest, arrived: float, choice: str, reason: str, **more) -> None:
        """Write how a request ended."""
        seconds = self.clock.monotonic() - arrived
        kind = "generation" if request.size is not None else "call"
        self.metrics.incr("requests_ended", kind=kind, outcome=choice)
        self.metrics.observe("request_seconds", seconds, kind=kind)
        routes = self.knowledge.routes
        self.journal.record(
            "end",
            request.id,
            choice,
            reason,
            age=round(seconds, 4),
            configuration=routes and routes.version,
            **more,
        )


def fingerprint(request: CallerRequest, workspace: str | None, body: bytes) -> str:
    """Return what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.target, (workspace or "").encode(), body):
        digest.update(part + b"\0")
    return digest.hexdigest()


async def read_body(receive: Receive, limit: int) -> bytes | Failure:
    """Read the body of a request.

    Raises:
        CallerLeft: The caller has closed the connection.
    """
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeft
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            return refused(TOO_LARGE, f"the body is over {limit} bytes")
        if not message.get("more_body"):
            return b"".join(parts)


async def caller_left(receive: Receive) -> None:
    """Return once the caller has closed the connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
