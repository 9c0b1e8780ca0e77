"""ASGI application that serves callers and operators of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST
from starlette.applications import Starlette
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from pistachioreach.callers.generate import generate
from pistachioreach.callers.services import call_service
from pistachioreach.operators.routes import operator_routes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from pistachioreach.entry import Entry
    from pistachioreach.operators.routes import Operations

__all__ = ["make_app"]


def make_app(entry: Entry, operations: Operations) -> Starlette:
    """Return the ASGI application that serves callers and operators.

    Args:
        entry: The entry that answers the requests.
        operations: Functions that operators may call on the entry.
    """

    def with_entry(function: Callable[[Entry, Request], Awaitable]) -> Callable:
        async def endpoint(http: Request):
            return await function(entry, http)

        return endpoint

    routes = [
        Route("/v1/generate", with_entry(generate), methods=["POST"]),
        Route(
            "/v1/services/{service}/{call}", with_entry(call_service), methods=["POST"]
        ),
        Route("/healthz", with_entry(alive)),
        Route("/readyz", with_entry(ready)),
        Route("/metrics", with_entry(metrics)),
        *operator_routes(entry, operations),
    ]
    return Starlette(routes=routes)


async def alive(entry: Entry, http: Request) -> PlainTextResponse:
    """Answer a liveness check."""
    return PlainTextResponse("alive\n")


async def metrics(entry: Entry, http: Request) -> Response:
    """Answer with all metrics in the Prometheus text format."""
    return Response(entry.metrics.render(), media_type=CONTENT_TYPE_LATEST)


async def ready(entry: Entry, http: Request) -> JSONResponse:
    """Answer the balancer's readiness check: 200 when ready, else 503."""
    configured = entry.configuration is not None
    permitted = entry.may_admit()
    is_ready = configured and permitted and not entry.draining
    state = {
        "configured": configured,
        "permitted": permitted,
        "draining": entry.draining,
    }
    return JSONResponse(state, 200 if is_ready else 503)
