"""A bare relay of events and a source of tokens, to compare the entry with.

`python -m bench.relay source PORT SECONDS` answers each order with one token
every so many seconds; `python -m bench.relay relay PORT SOURCE` passes events
on one by one, without looking at them.
"""

from __future__ import annotations

import sys
from datetime import timedelta

import httpcore
import msgspec
import trio

from pistachioreach.endpoints.wire import (
    EndEvent,
    LayerRun,
    LoadReport,
    StreamOrder,
    TokenEvent,
    encode_event,
)
from pistachioreach.server import bind, serve_app
from pistachioreach.settings import Address

__all__ = ["main", "relay_app", "source_app"]

START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-type", b"text/event-stream")],
}


async def read_body(receive) -> bytes:
    """Read the whole body of an ASGI request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def answer_plain(send) -> None:
    """Answer that nothing of this name is here."""
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 404, "headers": headers})
    await send({"type": "http.response.body", "body": b"{}"})


async def answer_load(send) -> None:
    """Answer that the engine is idle."""
    body = msgspec.json.encode(LoadReport(running=0, waiting=0, leaving=False))
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def source_app(seconds: float):
    """Return an engine that holds all layers and gives a token every `seconds`."""

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            raise RuntimeError("only HTTP is served")
        body = await read_body(receive)
        if scope["path"] == "/v1/load":
            await answer_load(send)
            return
        if scope["method"] != "POST" or not body:
            await answer_plain(send)
            return
        order = msgspec.json.decode(body, type=StreamOrder)
        await send(START)
        stage = order["stages"][0]
        trace = [LayerRun(stage.endpoint, stage.first, stage.last)]
        due = trio.current_time()
        for position in range(order["max_tokens"]):
            due += seconds
            await trio.sleep_until(due)
            event = TokenEvent(
                request=order["request"],
                attempt=order["attempt"],
                position=position,
                text=" token",
                trace=trace,
            )
            await send(part(encode_event(event), True))
        end = EndEvent(
            request=order["request"],
            attempt=order["attempt"],
            count=order["max_tokens"],
        )
        await send(part(encode_event(end), False))

    return app


def part(body: bytes, more: bool) -> dict:
    """Return the ASGI message of a part of a body."""
    return {"type": "http.response.body", "body": body, "more_body": more}


def relay_app(source: str):
    """Return an application that passes a source's events on, one a write."""
    pool = httpcore.AsyncConnectionPool(max_connections=10_000)

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            raise RuntimeError("only HTTP is served")
        body = await read_body(receive)
        if not body:
            await answer_plain(send)
            return
        async with pool.stream(
            "POST", f"http://{source}/v1/streams", content=body
        ) as response:
            await send(START)
            async for chunk in response.aiter_stream():
                for event in chunk.split(b"\n\n"):
                    if event:
                        await send(part(event + b"\n\n", True))
            await send(part(b"", False))

    return app


def main() -> None:
    """Serve one of the two."""
    kind, port, argument = sys.argv[1:]
    app = source_app(float(argument)) if kind == "source" else relay_app(argument)
    listener = bind(Address("127.0.0.1", int(port)))
    trio.run(serve_app, app, listener, trio.sleep_forever, timedelta(0))


if __name__ == "__main__":
    main()
