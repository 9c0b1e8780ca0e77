"""ASGI gateway: routes and authenticates the requests that the balancer sends."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import trio

from pistachioreach.callers.asgi import (
    AsgiReply,
    CallerDisconnected,
    read_body,
    wait_for_disconnect,
)
from pistachioreach.dispatch.work import CompleteResponse, RoutedRequest, refused
from pistachioreach.errors import ResponseAborted
from pistachioreach.platform.requests import decode_request, response_headers
from pistachioreach.routing.routes import find_route, pick_service
from pistachioreach.server import serve_lifespan
from pistachioreach.server_connection import connection_end
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    DRAINING,
    NO_ENDPOINT,
    NO_MANIFEST,
    NOT_FOUND,
    OUTCOME_UNKNOWN,
    RELAY_REFUSED,
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
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.journal import Journal
    from pistachioreach.knowledge.platform import PlatformView
    from pistachioreach.metrics import Metrics
    from pistachioreach.platform.requests import CallerRequest
    from pistachioreach.routing.routes import RouteTable

    Send = Callable[[dict[str, Any]], Awaitable[None]]
    Receive = Callable[[], Awaitable[dict[str, Any]]]

__all__ = ["Gateway"]

#: Retry-After, in seconds, of an entry that has no configuration yet.
UNCONFIGURED_RETRY_SECONDS = 0.5
#: Maximum time in seconds for which a request waits for the tables of the store. They
#: are read within milliseconds of a start, unless the store is away.
START_WAIT_SECONDS = 0.5
#: Retry-After, in seconds, of a draining entry; the retry goes to another entry,
#: since the balancer checks every second which entries are ready.
DRAINING_RETRY_SECONDS = 0.25
#: Timeout in seconds of a request without a deadline.
DEFAULT_TIMEOUT_SECONDS = 60.0
#: Seconds before the caller's deadline at which the final answer is due.
ANSWER_MARGIN_SECONDS = 0.03


class Gateway:
    """ASGI application that answers callers.

    Args:
        platform_view: The configuration in force and the known endpoints.
        plain_dispatcher: Dispatches requests to plain services.
        stream_dispatcher: Dispatches streams to engines.
        journal: Journal of decisions.
        metrics: Counters and histograms.
        clock: Clock that all times are read from.
        random: Source of random choices.
        drain: State of the entry's graceful shutdown.
        links: Finds out whether this entry is cut off from all endpoints.
        keys: Keys shared by the entries, by which one proves that it sends a request.
    """

    def __init__(
        self,
        platform_view: PlatformView,
        plain_dispatcher: PlainDispatcher,
        stream_dispatcher: StreamDispatcher,
        journal: Journal,
        metrics: Metrics,
        clock: Clock,
        random: Random,
        drain: Drain,
        links: LinkMonitor,
        keys: tuple[bytes, ...] = (),
    ) -> None:
        #: The configuration in force and the known endpoints.
        self.platform_view = platform_view
        #: Dispatches requests to plain services.
        self.plain_dispatcher = plain_dispatcher
        #: Dispatches streams to engines.
        self.stream_dispatcher = stream_dispatcher
        #: Journal of decisions.
        self.journal = journal
        #: Counters and histograms.
        self.metrics = metrics
        #: Clock that all times are read from.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: State of the entry's graceful shutdown.
        self.drain = drain
        #: Finds out whether this entry is cut off from all endpoints.
        self.links = links
        #: Keys shared by the entries.
        self.keys = keys

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            self.drain.request_started()
            try:
                await self.serve(scope, receive, send)
            finally:
                self.drain.request_ended()

    async def serve(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request.

        If an answer cannot be completed, its last ASGI message is not sent, so that
        the server closes the connection.
        """
        arrived_at = self.clock.monotonic()
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        request = decode_request(scope["method"], target, scope["headers"], self.keys)
        end = connection_end(scope)
        reply = AsgiReply(send, lambda: self.drain.begun, self.clock, end)
        try:
            outcome = await self.handle(request, arrived_at, receive, reply)
            await self.answer(request, arrived_at, outcome, reply)
        except CallerDisconnected:
            reason = end.reason or "the server closed the connection"
            self.record(request, arrived_at, "none", reason)
        except ResponseAborted as error:
            self.record(
                request, arrived_at, "broken off", str(error), limit=error.limit
            )
        except BaseException as error:
            self.record_error(request, arrived_at, error, reply)
            raise

    async def answer(
        self,
        request: CallerRequest,
        arrived_at: float,
        outcome: Failure | CompleteResponse | None,
        reply: AsgiReply,
    ) -> None:
        """Send the answer to a request, unless it has been streamed, and record it.

        Args:
            request: The request.
            arrived_at: Monotonic time at which the request arrived.
            outcome: Outcome of the request, as `handle` returns it.
            reply: Sends the answer.
        """
        if isinstance(outcome, Failure):
            await self.answer_failure(request, arrived_at, outcome, reply)
        elif isinstance(outcome, CompleteResponse):
            await reply.start(outcome.status, outcome.fields)
            await reply.send(outcome.body)
            await reply.end()
            self.record_answer(
                request,
                arrived_at,
                str(outcome.status),
                "answered",
                reply,
                endpoint=outcome.endpoint,
                earlier_responses=outcome.earlier_responses,
            )
        else:
            self.record_stream(request, arrived_at, reply)

    async def handle(
        self,
        request: CallerRequest,
        arrived_at: float,
        receive: Receive,
        reply: AsgiReply,
    ) -> Failure | CompleteResponse | None:
        """Read the body of a request, check the request and dispatch it.

        Args:
            request: The request without its body.
            arrived_at: Monotonic time at which the request arrived.
            receive: Receives one ASGI message.
            reply: Sends the answer of a stream.

        Returns:
            A failure or an answer that is still to be sent, or None for a stream
            that has been delivered through `reply`.

        Raises:
            CallerDisconnected: The caller has closed the connection.
            ResponseAborted: The answer has begun and cannot be completed.
        """
        if request.relayed_by is not None and self.links.cut_off:
            return refused(RELAY_REFUSED, "this entry reaches no endpoint either")
        await self.platform_view.wait_complete(START_WAIT_SECONDS)
        routes = self.platform_view.routes
        if routes is None:
            detail = "no configuration is known yet"
            return refused(NO_MANIFEST, detail, UNCONFIGURED_RETRY_SECONDS)
        body = await read_body(receive, routes.limits.body_bytes)
        if isinstance(body, Failure):
            return body
        if self.drain.refuses_requests():
            return refused(DRAINING, "too late in the shutdown", DRAINING_RETRY_SECONDS)
        # The configuration may have changed while the body was being read.
        work = self.route_request(self.platform_view.routes, request, body, arrived_at)
        if isinstance(work, Failure):
            return work
        return await self.dispatch(work, receive, reply)

    def route_request(
        self,
        routes: RouteTable,
        request: CallerRequest,
        body: bytes,
        arrived_at: float,
    ) -> RoutedRequest | Failure:
        """Match a request to a route, authenticate it and pick a service.

        Args:
            routes: The configuration in force.
            request: The request without its body.
            body: Body of the request.
            arrived_at: Monotonic time at which the request arrived.

        Returns:
            The request ready for dispatch, or why it is refused.
        """
        route = find_route(routes, request.host, request.path)
        if route is None:
            return refused(NOT_FOUND, f"no route for {request.host}{request.path}")
        workspace = None
        if routes.workspaces is not None and not route.public:
            key = request.api_key
            # A request without a key is none with an empty one.
            workspace = routes.workspaces.get(key) if key else None
            if workspace is None:
                return refused(UNAUTHORIZED, "no workspace holds the key")
        service = routes.services.get(pick_service(route, self.random))
        if service is None:
            return refused(NO_ENDPOINT, f"route '{route.name}' has no service", 1.0)
        timeout = request.wait_seconds or DEFAULT_TIMEOUT_SECONDS
        limit = min(timeout - ANSWER_MARGIN_SECONDS, route.timeout)
        has_own_priority = workspace is not None and workspace.priority is not None
        name = workspace.name if workspace else None
        return RoutedRequest(
            request=request,
            body=body,
            route=route,
            service=service,
            workspace=name,
            priority=workspace.priority if has_own_priority else route.priority,
            arrived=arrived_at,
            # What cannot end before this process does is refused while it is queued.
            deadline=min(
                arrived_at + limit, self.drain.latest_exit - ANSWER_MARGIN_SECONDS
            ),
            fingerprint=fingerprint(request, name, body),
        )

    async def dispatch(
        self, work: RoutedRequest, receive: Receive, reply: AsgiReply
    ) -> Failure | CompleteResponse | None:
        """Dispatch a request; cancel it if the caller disconnects or the drain ends.

        Returns:
            The outcome, as `handle` returns it.

        Raises:
            CallerDisconnected: The caller has closed the connection.
            ResponseAborted: The answer has begun and cannot be completed.
        """
        outcome: list = []
        error: list[ResponseAborted] = []
        disconnected = False
        async with trio.open_nursery() as nursery:

            async def cancel_on_disconnect() -> None:
                nonlocal disconnected
                await wait_for_disconnect(receive)
                # The server also reports a disconnect after a complete answer.
                disconnected = not reply.ended
                if disconnected:
                    nursery.cancel_scope.cancel()

            async def cancel_at_exit() -> None:
                await self.drain.exiting.wait()
                if reply.started:
                    error.append(ResponseAborted("the entry exits", "shutdown"))
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_disconnect)
            nursery.start_soon(cancel_at_exit)
            try:
                if work.route.streaming and work.service.engine is not None:
                    outcome.append(await self.stream_dispatcher.run(work, reply))
                else:
                    outcome.append(await self.plain_dispatcher.run(work))
            except ResponseAborted as broken:
                error.append(broken)
            nursery.cancel_scope.cancel()
        if outcome:
            return outcome[0]
        if error:
            raise error[0]
        if disconnected:
            raise CallerDisconnected
        return Failure(Verdict.MAY_HAVE_RUN, OUTCOME_UNKNOWN, "the entry exits")

    async def answer_failure(
        self,
        request: CallerRequest,
        arrived_at: float,
        failure: Failure,
        reply: AsgiReply,
    ) -> None:
        """Send the answer to a request that was refused or failed.

        A request that may have run never gets 429 or 503, which mean a refusal, but
        502; a request that has not run by its deadline gets 503.
        """
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
        self.record_answer(
            request,
            arrived_at,
            str(status),
            f"{failure.reason.code}: {failure.detail}",
            reply,
            verdict=failure.verdict.value,
            retry_after=failure.retry_after,
        )

    def record_stream(
        self, request: CallerRequest, arrived_at: float, reply: AsgiReply
    ) -> None:
        """Record the timing of a delivered stream in the journal and the metrics."""
        self.metrics.observe("longest_pause_seconds", reply.longest_pause)
        first = (
            None
            if reply.first_sent_at is None
            else round(reply.first_sent_at - arrived_at, 4)
        )
        pause = round(reply.longest_pause, 4)
        self.record_answer(
            request,
            arrived_at,
            "200",
            "streamed",
            reply,
            first=first,
            longest_pause=pause,
        )

    def record_error(
        self,
        request: CallerRequest,
        arrived_at: float,
        error: BaseException,
        reply: AsgiReply,
    ) -> None:
        """Record a request that is cancelled from outside or ends with an error."""
        if reply.connection.reason is not None:
            choice, reason = "none", reply.connection.reason
        elif not isinstance(error, Exception):
            choice = "none"
            reason = "cut off by the shutdown"
            if not self.drain.begun:
                reason = "cancelled, the process ends without a drain"
        else:
            # The server answers with 500 if no answer has begun.
            choice = "broken off" if reply.started else "500"
            reason = f"unexpected error: {error!r}"
        self.record(request, arrived_at, choice, reason)

    def record_answer(
        self,
        request: CallerRequest,
        arrived_at: float,
        choice: str,
        reason: str,
        reply: AsgiReply,
        **details,
    ) -> None:
        """Record an answer like `record`, unless the caller did not get all of it."""
        if reply.connection.answer_lost:
            reason = f"{reply.connection.reason} before the end of: {choice} {reason}"
            choice = "none"
        self.record(request, arrived_at, choice, reason, **details)

    def record(
        self,
        request: CallerRequest,
        arrived_at: float,
        choice: str,
        reason: str,
        **details,
    ) -> None:
        """Record the outcome of a request in the journal and the metrics.

        Args:
            request: The request.
            arrived_at: Monotonic time at which the request arrived.
            choice: Status code of the answer, or how the request ended without one.
            reason: Why the request ended in this way.
            **details: Further fields of the journal's decision.
        """
        seconds = self.clock.monotonic() - arrived_at
        kind = "generation" if request.size is not None else "call"
        self.metrics.incr("requests_ended", kind=kind, outcome=choice)
        self.metrics.observe("request_seconds", seconds, kind=kind)
        routes = self.platform_view.routes
        self.journal.record(
            "end",
            request.id,
            choice,
            reason,
            age=round(seconds, 4),
            configuration=routes and routes.version,
            **details,
        )


def fingerprint(request: CallerRequest, workspace: str | None, body: bytes) -> str:
    """Return a digest that is the same each time a caller sends a request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.target, (workspace or "").encode(), body):
        digest.update(part + b"\0")
    return digest.hexdigest()
