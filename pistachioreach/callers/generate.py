"""HTTP handler of generation requests, answered as a stream or in one piece."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NotRequired, TypedDict

import msgspec
import trio
from msgspec import Meta
from starlette.requests import ClientDisconnect
from starlette.responses import Response

from pistachioreach.callers.problems import problem_document, problem_response
from pistachioreach.callers.validation import (
    decode_body,
    read_body,
    refuse,
    validate_headers,
)
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

    from pistachioreach.callers.validation import ValidatedRequest
    from pistachioreach.dispatch.cursor import Cursor, CursorWriter
    from pistachioreach.endpoints.wire import TokenEvent
    from pistachioreach.entry import Entry

__all__ = ["GenerateBody", "TokenStream", "generate"]

#: Largest number of tokens that a caller may ask for.
MAX_TOKENS = 100_000

encode_json = msgspec.json.Encoder().encode


class GenerateBody(TypedDict):
    """JSON body of a generation request.

    Attributes:
        model: Name of the model.
        prompt: Text of the prompt.
        max_tokens: Length of the answer in tokens.
        stream: Whether to answer with server-sent events; true by default.
        received: Tokens that the caller received over earlier connections.
    """

    model: str
    prompt: Annotated[str, Meta(min_length=1)]
    max_tokens: Annotated[int, Meta(ge=1, le=MAX_TOKENS)]
    stream: NotRequired[bool]
    received: NotRequired[list[str]]


class TokenStream:
    """Sends an answer as server-sent events.

    The status line is sent with the first token, so that a request that fails
    before its first token is answered with a problem document.

    Args:
        request: Identifier of the request.
        send: Sends one ASGI message.
    """

    def __init__(self, request: str, send: Send) -> None:
        #: Identifier of the request.
        self.request = request
        #: Sends one ASGI message.
        self.send = send
        #: Whether the status line has been sent.
        self.started = False

    async def start(self) -> None:
        """Send the status line and header section, unless already sent."""
        if self.started:
            return
        self.started = True
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"cache-control", b"no-store"),
            (b"request-id", self.request.encode()),
        ]
        await self.send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )

    async def deliver(self, tokens: list[TokenEvent], writer: CursorWriter) -> None:
        """Send a batch of tokens in one write, each token with its cursor.

        Args:
            tokens: The tokens.
            writer: Encodes the cursor of a position.
        """
        await self.start()
        parts = []
        for token in tokens:
            position = token["position"]
            data = encode_json({"position": position, "text": token["text"]})
            cursor = writer.write(position + 1)
            parts.append(b"id: %b\nevent: token\ndata: %b\n\n" % (cursor, data))
        await self.write(b"".join(parts), more=True)

    async def finish(self, finished: Finished) -> None:
        """Send the event that marks the answer as complete."""
        await self.start()
        data = encode_json({"request": self.request, "count": finished.count})
        await self.write(b"event: finish\ndata: %b\n\n" % data, more=False)

    async def fail(self, failure: Failure) -> None:
        """Send the problem document of an answer that cannot be completed."""
        data = encode_json(problem_document(failure, self.request))
        await self.write(b"event: error\ndata: %b\n\n" % data, more=False)

    async def write(self, body: bytes, more: bool) -> None:
        """Send a part of the body; `more` tells whether further parts follow."""
        await self.send({"type": "http.response.body", "body": body, "more_body": more})


class GenerateResponse:
    """ASGI application that runs one generation request and sends its answer.

    Args:
        entry: The entry that runs the request.
        validated: Validated header values of the request.
        request: The generation request.
        streamed: Whether to answer with server-sent events.
    """

    def __init__(
        self,
        entry: Entry,
        validated: ValidatedRequest,
        request: GenerationRequest,
        streamed: bool,
    ) -> None:
        #: The entry that runs the request.
        self.entry = entry
        #: Validated header values of the request.
        self.validated = validated
        #: The generation request.
        self.request = request
        #: Whether to answer with server-sent events.
        self.streamed = streamed
        #: Whether the request has ended, so that only the end of the answer is left
        #: to be sent.
        self.ended = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the request until it ends or the caller disconnects."""
        async with trio.open_nursery() as nursery:

            async def cancel_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                if self.ended:
                    return
                self.entry.journal.record(
                    "cancel", self.request.request_id, "cancel", "the caller has gone"
                )
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_disconnect)
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
        outcome = await run_admitted(entry, self.validated, self.request, deliver)
        self.ended = True
        count_outcome(entry, outcome)
        if isinstance(outcome, Failure) and not stream.started:
            response = problem_response(outcome, self.request.request_id)
            await response(scope, receive, send)
        elif isinstance(outcome, Failure):
            await stream.fail(outcome)
        elif self.streamed:
            await stream.finish(outcome)
        else:
            text = "".join([*self.request.received, *texts])
            document = {
                "request": self.request.request_id,
                "text": text,
                "count": outcome.count,
            }
            response = Response(encode_json(document), media_type="application/json")
            await response(scope, receive, send)


async def run_admitted(
    entry: Entry, validated: ValidatedRequest, request: GenerationRequest, deliver
) -> Finished | Failure:
    """Wait until a request is admitted, then run it.

    Args:
        entry: The entry that runs the request.
        validated: Validated header values of the request.
        request: The generation request.
        deliver: Takes each batch of tokens together with the cursor writer.

    Returns:
        The outcome of the request, or why it was refused.
    """
    share = entry.workspace_share(validated.workspace)
    refused = await entry.admission.admit(share, validated.priority, validated.deadline)
    if refused is not None:
        entry.journal.record(
            "admission",
            request.request_id,
            "refuse",
            refused.detail,
            label=validated.label,
        )
        return refused
    entry.journal.record(
        "admission",
        request.request_id,
        "admit",
        "a place is free",
        label=validated.label,
        workspace=share.workspace,
        priority=validated.priority,
        running=entry.admission.in_flight,
        places=entry.admission.slots,
    )
    started_at = entry.clock.monotonic()
    entry.in_progress += 1
    try:
        if not entry.may_admit():
            detail = f"entry '{entry.name}' lost touch while the request waited"
            return refuse(OUT_OF_TOUCH, detail)
        return await Generation(entry, request, deliver).run()
    finally:
        entry.in_progress -= 1
        entry.admission.release(share, entry.clock.monotonic() - started_at)


def count_outcome(entry: Entry, outcome: Finished | Failure) -> None:
    """Count the outcome of a request in the metrics."""
    if isinstance(outcome, Failure):
        entry.metrics.incr("generations_failed", reason=outcome.reason.code)
        return
    entry.metrics.incr("generations_finished")
    entry.metrics.incr("tokens_delivered", outcome.count)


async def generate(entry: Entry, http: Request):
    """Validate a generation request.

    Returns:
        An ASGI application that runs the request and sends the answer, or the
        response to a refused request.
    """
    request = entry.new_id()
    validated = validate_headers(entry, http, request)
    if isinstance(validated, Failure):
        return problem_response(validated, request)
    try:
        raw = await read_body(http)
    except ClientDisconnect:
        raw = Failure(Verdict.NOT_RUN, CALLER_GONE, "before the body was whole")
    body = raw if isinstance(raw, Failure) else decode_body(raw, GenerateBody)
    if isinstance(body, Failure):
        return problem_response(body, request)
    generation = build_generation(entry, validated, body, http)
    if isinstance(generation, Failure):
        return problem_response(generation, request)
    return GenerateResponse(entry, validated, generation, body.get("stream", True))


def build_generation(
    entry: Entry, validated: ValidatedRequest, body: GenerateBody, http: Request
) -> GenerationRequest | Failure:
    """Check the model and the cursor of a request, and return the request to run.

    Args:
        entry: The entry that received the request.
        validated: Validated header values.
        body: The decoded body.
        http: The HTTP request.
    """
    model = body["model"]
    if model not in validated.workspace["models"]:
        detail = f"workspace '{validated.workspace['name']}' has no model '{model}'"
        return refuse(NOT_FOUND, detail)
    parts = [validated.workspace["name"], model, body["prompt"], body["max_tokens"]]
    digest = body_digest(encode_json(parts))
    cursor = decode_cursor(entry, http, digest)
    if isinstance(cursor, Failure):
        return cursor
    received = tuple(body.get("received", ()))
    position = cursor.position if cursor else 0
    if received and len(received) != position:
        detail = f"{len(received)} tokens received, but the cursor is at {position}"
        return refuse(BAD_REQUEST, detail)
    return GenerationRequest(
        request_id=cursor.request_id if cursor else validated.request,
        workspace=validated.workspace["name"],
        model=model,
        prompt=body["prompt"],
        max_tokens=body["max_tokens"],
        priority=validated.priority,
        deadline=validated.deadline,
        digest=digest,
        received=received,
        cursor=cursor,
    )


def decode_cursor(entry: Entry, http: Request, digest: str) -> Cursor | None | Failure:
    """Return the cursor in Last-Event-ID, or None if the caller sent none.

    Args:
        entry: The entry that received the request.
        http: The HTTP request.
        digest: Digest of the request, which the cursor must carry too.
    """
    raw = http.headers.get("last-event-id")
    if not raw:
        return None
    cursor = read_cursor(raw, entry.cursor_keys)
    if cursor is None:
        return Failure(Verdict.MAY_HAVE_RUN, STREAM_LOST, "Last-Event-ID is not valid")
    if cursor.digest != digest:
        return refuse(BAD_REQUEST, "Last-Event-ID belongs to another request")
    return cursor
