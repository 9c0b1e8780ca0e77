"""Minimal relay of events and a token source, as a baseline for the entry's cost.

An entry is one router process. `python -m bench.relay source PORT SECONDS` serves an
engine that answers each order with one token every SECONDS. `python -m bench.relay
relay PORT SOURCE` forwards the events of the source at address SOURCE one by one,
without parsing them.
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

#: ASGI message that starts the response with a stream of events.
RESPONSE_START = {
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


async def send_not_found(send) -> None:
    """Send a response with status 404."""
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 404, "headers": headers})
    await send({"type": "http.response.body", "body": b"{}"})


async def send_idle_load(send) -> None:
    """Send a load report without running or waiting streams."""
    body = msgspec.json.encode(LoadReport(running=0, waiting=0, leaving=False))
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def source_app(seconds: float):
    """Return an ASGI app of an engine that emits a token of a stream every `seconds`.

    The engine runs all layers that the order assigns to the first stage.
    """

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            raise RuntimeError("only HTTP is served")
        body = await read_body(receive)
        if scope["path"] == "/v1/load":
            await send_idle_load(send)
            return
        if scope["method"] != "POST" or not body:
            await send_not_found(send)
            return
        order = msgspec.json.decode(body, type=StreamOrder)
        await send(RESPONSE_START)
        stage = order["stages"][0]
        trace = [LayerRun(stage.endpoint, stage.first, stage.last)]
        next_at = trio.current_time()
        for position in range(order["max_tokens"]):
            next_at += seconds
            await trio.sleep_until(next_at)
            event = TokenEvent(
                request=order["request"],
                attempt=order["attempt"],
                position=position,
                text=" token",
                trace=trace,
            )
            await send(body_message(encode_event(event), True))
        end = EndEvent(
            request=order["request"],
            attempt=order["attempt"],
            count=order["max_tokens"],
        )
        await send(body_message(encode_event(end), False))

    return app


def body_message(body: bytes, more: bool) -> dict:
    """Return the ASGI message for a part of a response body.

    Args:
        body: Bytes of the part.
        more: Whether more parts follow.
    """
    return {"type": "http.response.body", "body": body, "more_body": more}


def relay_app(source: str):
    """Return an ASGI app that forwards the events of a source, one event per write.

    Args:
        source: Address of the source, `ip:port`.
    """
    pool = httpcore.AsyncConnectionPool(max_connections=10_000)

    async def app(scope, receive, send) -> None:
        if scope["type"] != "http":
            raise RuntimeError("only HTTP is served")
        body = await read_body(receive)
        if not body:
            await send_not_found(send)
            return
        async with pool.stream(
            "POST", f"http://{source}/v1/streams", content=body
        ) as response:
            await send(RESPONSE_START)
            async for chunk in response.aiter_stream():
                for event in chunk.split(b"\n\n"):
                    if event:
                        await send(body_message(event + b"\n\n", True))
            await send(body_message(b"", False))

    return app


def main() -> None:
    """Serve the token source or the relay, as the arguments say."""
    role, port, argument = sys.argv[1:]
    app = source_app(float(argument)) if role == "source" else relay_app(argument)
    listener = bind(Address("127.0.0.1", int(port)))
    trio.run(serve_app, app, listener, trio.sleep_forever, timedelta(0))


if __name__ == "__main__":
    main()
