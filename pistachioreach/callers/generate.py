"""Generation for callers, streamed or whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NotRequired, TypedDict

import msgspec
import trio
from msgspec import Meta
from starlette.requests import ClientDisconnect
from starlette.responses import Response

from pistachioreach.callers.intake import decode_body, read_body, refuse, take_in
from pistachioreach.callers.problems import problem_of, problem_response
from pistachioreach.dispatch.cursor import body_digest, read_cursor
from pistachioreach.dispatch.generation import (
    Finished,
    Generation,
    GenerationRequest,
)
from pistachioreach.verdict import (
    BAD_REQUEST,
    CALLER_GONE,
    NOT_FOUND,
    OUT_OF_TOUCH,
    STREAM_LOST,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

    from pistachioreach.callers.intake import Intake
    from pistachioreach.dispatch.cursor import Cursor, CursorWriter
    from pistachioreach.endpoints.wire import TokenEvent
    from pistachioreach.entry import Entry

__all__ = ["GenerateBody", "TokenStream", "generate"]

#: Tokens of the longest answer.
MAX_TOKENS = 100_000

_encode = msgspec.json.Encoder().encode


class GenerateBody(TypedDict):
    """Body of a request for an answer.

    Attributes:
        model: Name of the model.
        prompt: The prompt.
        max_tokens: Length of the answer.
        stream: Whether to answer with server-sent events; true by default.
        received: Tokens that the caller has from an earlier connection.
    """

    model: str
    prompt: Annotated[str, Meta(min_length=1)]
    max_tokens: Annotated[int, Meta(ge=1, le=MAX_TOKENS)]
    stream: NotRequired[bool]
    received: NotRequired[list[str]]


class TokenStream:
    """An answer as server-sent events.

    The status line leaves with the first token, so that a request that fails
    before it is answered by a problem document.

    Args:
        request: Identifier of the request.
        send: Sends an ASGI message.
    """

    def __init__(self, request: str, send: Send) -> None:
        #: Identifier of the request.
        self.request = request
        #: Sends an ASGI message.
        self.send = send
        #: Whether the status line has left.
        self.started = False

    async def start(self) -> None:
        """Send the status line, once."""
        if self.started:
            return
        self.started = True
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"cache-control", b"no-store"),
            (b"request-id", self.request.encode()),
        ]
        await self.send({"type": "http.response.start", "status": 200, "headers": headers})

    async def deliver(self, tokens: list[TokenEvent], writer: CursorWriter) -> None:
        """Send some tokens in one write, each with its cursor."""
        await self.start()
        parts = []
        for token in tokens:
            position = token["position"]
            data = _encode({"position": position, "text": token["text"]})
            cursor = writer.write(position + 1)
            parts.append(b"id: %b\nevent: token\ndata: %b\n\n" % (cursor, data))
        await self.write(b"".join(parts), more=True)

    async def finish(self, finished: Finished) -> None:
        """Send the event that ends a whole answer."""
        await self.start()
        data = _encode({"request": self.request, "count": finished.count})
        await self.write(b"event: finish\ndata: %b\n\n" % data, more=False)

    async def fail(self, failure: Failure) -> None:
        """Send the event that ends an answer that cannot be completed."""
        data = _encode(problem_of(failure, self.request))
        await self.write(b"event: error\ndata: %b\n\n" % data, more=False)

    async def write(self, body: bytes, more: bool) -> None:
        """Send a part of the body."""
        await self.send({"type": "http.response.body", "body": body, "more_body": more})


class GenerateResponse:
    """The ASGI answer to one request for generation.

    Args:
        entry: The entry that answers.
        intake: The request's sender and limits.
        request: The request.
        streamed: Whether to answer with server-sent events.
    """

    def __init__(self, entry: Entry, intake: Intake, request: GenerationRequest, streamed: bool) -> None:
        #: The entry that answers.
        self.entry = entry
        #: The request's sender and limits.
        self.intake = intake
        #: The request.
        self.request = request
        #: Whether to answer with server-sent events.
        self.streamed = streamed
        #: Whether only the last part of the answer is still to be sent.
        self.ended = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the request until it ends or the caller goes away."""
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                if self.ended:
                    return
                self.entry.journal.record("cancel", self.request.request_id, "cancel", "the caller has gone")
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await self.answer(scope, receive, send)
            nursery.cancel_scope.cancel()

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Admit and run the request, and send its answer."""
        entry = self.entry
        stream = TokenStream(self.request.request_id, send)
        texts: list[str] = []

        async def collect(tokens: list[TokenEvent], writer: CursorWriter) -> None:
            texts.extend(token["text"] for token in tokens)

        deliver = stream.deliver if self.streamed else collect
        outcome = await run_admitted(entry, self.intake, self.request, deliver)
        self.ended = True
        note_outcome(entry, outcome)
        if isinstance(outcome, Failure) and not stream.started:
            response = problem_response(outcome, self.request.request_id)
            await response(scope, receive, send)
        elif isinstance(outcome, Failure):
            await stream.fail(outcome)
        elif self.streamed:
            await stream.finish(outcome)
        else:
            text = "".join([*self.request.received, *texts])
            whole = {
                "request": self.request.request_id,
                "text": text,
                "count": outcome.count,
            }
            response = Response(_encode(whole), media_type="application/json")
            await response(scope, receive, send)


async def run_admitted(entry: Entry, intake: Intake, request: GenerationRequest, deliver) -> Finished | Failure:
    """Wait for a place, then run a request."""
    share = entry.share_of(intake.workspace)
    refused = await entry.admission.admit(share, intake.priority, intake.deadline)
    if refused is not None:
        entry.journal.record(
            "admission",
            request.request_id,
            "refuse",
            refused.detail,
            label=intake.label,
        )
        return refused
    entry.journal.record(
        "admission",
        request.request_id,
        "admit",
        "a place is free",
        label=intake.label,
        workspace=share.workspace,
        priority=intake.priority,
        running=entry.admission.in_flight,
        places=entry.admission.slots,
    )
    since = entry.clock.monotonic()
    entry.in_progress += 1
    try:
        if not entry.permitted():
            detail = f"entry '{entry.name}' lost touch while the request waited"
            return refuse(OUT_OF_TOUCH, detail)
        return await Generation(entry, request, deliver).run()
    finally:
        entry.in_progress -= 1
        entry.admission.release(share, entry.clock.monotonic() - since)


def note_outcome(entry: Entry, outcome: Finished | Failure) -> None:
    """Count how a request ended."""
    if isinstance(outcome, Failure):
        entry.metrics.incr("generations_failed", reason=outcome.reason.code)
        return
    entry.metrics.incr("generations_finished")
    entry.metrics.incr("tokens_delivered", outcome.count)


async def generate(entry: Entry, http: Request):
    """Answer a request for generation.

    Returns:
        An ASGI application that sends the answer.
    """
    request = entry.nonce()
    intake = take_in(entry, http, request)
    if isinstance(intake, Failure):
        return problem_response(intake, request)
    try:
        raw = await read_body(http)
    except ClientDisconnect:
        raw = Failure(Verdict.NOT_RUN, CALLER_GONE, "before the body was whole")
    body = raw if isinstance(raw, Failure) else decode_body(raw, GenerateBody)
    if isinstance(body, Failure):
        return problem_response(body, request)
    checked = check_generation(entry, intake, body, http)
    if isinstance(checked, Failure):
        return problem_response(checked, request)
    return GenerateResponse(entry, intake, checked, body.get("stream", True))


def check_generation(entry: Entry, intake: Intake, body: GenerateBody, http: Request) -> GenerationRequest | Failure:
    """Check what a request asks for."""
    model = body["model"]
    if model not in intake.workspace["models"]:
        detail = f"workspace '{intake.workspace['name']}' has no model '{model}'"
        return refuse(NOT_FOUND, detail)
    parts = [intake.workspace["name"], model, body["prompt"], body["max_tokens"]]
    digest = body_digest(_encode(parts))
    cursor = cursor_of(entry, http, digest)
    if isinstance(cursor, Failure):
        return cursor
    received = tuple(body.get("received", ()))
    position = cursor.position if cursor else 0
    if received and len(received) != position:
        detail = f"{len(received)} tokens received, but the cursor is at {position}"
        return refuse(BAD_REQUEST, detail)
    return GenerationRequest(
        request_id=cursor.request_id if cursor else intake.request,
        workspace=intake.workspace["name"],
        model=model,
        prompt=body["prompt"],
        max_tokens=body["max_tokens"],
        priority=intake.priority,
        deadline=intake.deadline,
        digest=digest,
        received=received,
        cursor=cursor,
    )


def cursor_of(entry: Entry, http: Request, digest: str) -> Cursor | None | Failure:
    """Return the cursor that a caller sent back, if it did."""
    raw = http.headers.get("last-event-id")
    if not raw:
        return None
    cursor = read_cursor(raw, entry.cursor_keys)
    if cursor is None:
        return Failure(Verdict.MAY_HAVE_RUN, STREAM_LOST, "Last-Event-ID is not valid")
    if cursor.digest != digest:
        return refuse(BAD_REQUEST, "Last-Event-ID belongs to another request")
    return cursor
