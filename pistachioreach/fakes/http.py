"""HTTP servers of the fakes, which speak the protocols of docs/protocols.md."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from pistachioreach.endpoints.service import NOT_RUN_HEADER, ServiceCall
from pistachioreach.endpoints.wire import StreamOrder, encode_event
from pistachioreach.errors import ConnectionFailed, StoreConflict, StoreUnavailable
from pistachioreach.platform.wire import Check, ReadBody, TransactBody

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

    from pistachioreach.fakes.engine import FakeEngine, FakeStream
    from pistachioreach.fakes.platform import FakePlatform
    from pistachioreach.fakes.service import FakeService

__all__ = ["engine_app", "platform_app", "service_app"]


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(value)
    return Response(body, status, media_type="application/json")


def engine_app(engine: FakeEngine) -> Starlette:
    """Return the HTTP application of an engine."""

    async def stream_events(stream: FakeStream, position: int) -> AsyncIterator[bytes]:
        async with engine.open_reader(stream, position) as batches:
            async for batch in batches:
                yield b"".join(encode_event(event) for event in batch)

    async def open_stream(http: Request) -> Response:
        order = msgspec.json.decode(await http.body(), type=StreamOrder)
        refusal = engine.refusal_reason()
        if refusal is not None:
            return json_response({"ran": False, "reason": refusal}, 503)
        stream = engine.open(order)
        body = stream_events(stream, len(order["received"]))
        return StreamingResponse(body, media_type="text/event-stream")

    async def attach(http: Request) -> Response:
        stream = engine.streams.get(http.path_params["stream"])
        if stream is None:
            return json_response({"ran": True, "reason": "no such stream"}, 404)
        position = int(http.query_params.get("after", "0"))
        return StreamingResponse(
            stream_events(stream, position), media_type="text/event-stream"
        )

    async def state(http: Request) -> Response:
        stream = engine.streams.get(http.path_params["stream"])
        if stream is None:
            return json_response({"ran": False, "reason": "no such stream"}, 404)
        return json_response(stream.state())

    async def cancel(http: Request) -> Response:
        engine.cancel(http.path_params["stream"])
        return json_response({})

    async def load(http: Request) -> Response:
        return json_response(engine.load())

    return Starlette(
        routes=[
            Route("/v1/streams", open_stream, methods=["POST"]),
            Route("/v1/streams/{stream}", attach, methods=["GET"]),
            Route("/v1/streams/{stream}", cancel, methods=["DELETE"]),
            Route("/v1/streams/{stream}/state", state),
            Route("/v1/load", load),
        ]
    )


async def abort_response(scope: Scope, receive: Receive, send: Send) -> None:
    """Start a response and abort the connection, as an ASGI application.

    The announced body is never sent, so the client sees a lost response.
    """
    headers = [(b"content-length", b"100")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    raise ConnectionFailed("caller", True, "the response is lost")


def service_app(service: FakeService, server: str) -> Starlette:
    """Return the HTTP application of one server of a service.

    Args:
        service: Service that the server belongs to.
        server: Name of the server.
    """

    def service_call(http: Request, key: str, body: bytes) -> ServiceCall:
        return ServiceCall(server, "", http.url.path, key, body)

    async def run_call(http: Request) -> Response:
        key = http.headers.get("idempotency-key", "")
        try:
            response = await service.call(service_call(http, key, await http.body()))
        except ConnectionFailed:
            return abort_response
        headers = {
            name: value
            for name, value in response.headers.items()
            if name in ("content-type", NOT_RUN_HEADER)
        }
        return Response(response.body, response.status, headers)

    async def look_up(http: Request) -> Response:
        outcome = await service.look_up(
            service_call(http, http.path_params["key"], b"")
        )
        if outcome is None:
            return JSONResponse({"error": "no such key"}, 404)
        return Response(outcome.body, 200, media_type="application/json")

    return Starlette(
        routes=[
            Route("/calls/{call}", run_call, methods=["POST"]),
            Route("/outcomes/{call}/{key}", look_up),
        ]
    )


def platform_app(platform: FakePlatform) -> Starlette:
    """Return the HTTP application of the platform."""

    async def transact(http: Request) -> Response:
        body = msgspec.json.decode(await http.body(), type=TransactBody)
        try:
            await platform.transact(body["checks"], body["writes"])
        except StoreConflict as conflict:
            return json_response(Check(conflict.table, conflict.key, 0), 409)
        return json_response({})

    async def read(http: Request) -> Response:
        body = msgspec.json.decode(await http.body(), type=ReadBody)
        return json_response(await platform.read(body["table"], body["key"]))

    async def put(http: Request) -> Response:
        await platform.put(await http.body())
        return json_response({})

    async def get(http: Request) -> Response:
        return Response(await platform.get(http.path_params["digest"]))

    async def list_vms(http: Request) -> Response:
        return json_response(await platform.list_vms())

    async def respond_unavailable(http: Request, error: Exception) -> Response:
        return json_response({"error": str(error)}, 503)

    return Starlette(
        routes=[
            Route("/v1/transact", transact, methods=["POST"]),
            Route("/v1/read", read, methods=["POST"]),
            Route("/v1/objects/{digest}", put, methods=["PUT"]),
            Route("/v1/objects/{digest}", get, methods=["GET"]),
            Route("/v1/vms", list_vms),
        ],
        exception_handlers={StoreUnavailable: respond_unavailable},
    )
