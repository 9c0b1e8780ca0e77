"""HTTP routes for operators."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pistachioreach.errors import ManifestError
from pistachioreach.manifest import decode_manifest, encode_manifest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from pistachioreach.configuration.change import ChangeReport
    from pistachioreach.entry import Entry
    from pistachioreach.manifest import ManifestDocument

__all__ = ["Operations", "operator_routes"]

#: HTTP status code for each result of a `ChangeReport`.
CHANGE_STATUSES = {
    "in force": 200,
    "not in force": 409,
    "conflict": 409,
    "unknown": 504,
}


class Operations(NamedTuple):
    """Functions that operators may call on an entry, and their credential.

    Attributes:
        token: Credential of operators.
        apply: Puts a manifest in force at all entries or at none. The arguments are
            the decoded manifest and its canonical JSON.
        status: Returns the state of the entry as a JSON-serialisable document.
    """

    token: str
    apply: Callable[[ManifestDocument, bytes], Awaitable[ChangeReport]]
    status: Callable[[], dict[str, Any]]


def operator_routes(entry: Entry, operations: Operations) -> list[Route]:
    """Return the HTTP routes for operators.

    Args:
        entry: The entry whose decisions are shown.
        operations: Functions that the routes call, and the credential of operators.
    """

    def with_authentication(
        function: Callable[[Request], Awaitable[Response]],
    ) -> Callable:
        async def endpoint(http: Request) -> Response:
            credential = http.headers.get("authorization", "").encode()
            expected = f"Bearer {operations.token}".encode()
            if not hmac.compare_digest(credential, expected):
                return JSONResponse({"error": "not the operators' credential"}, 401)
            return await function(http)

        return endpoint

    async def apply(http: Request) -> Response:
        raw = await http.body()
        try:
            manifest = decode_manifest(raw)
        except ManifestError as error:
            return JSONResponse({"path": error.path, "problem": error.problem}, 422)
        report = await operations.apply(manifest, encode_manifest(manifest))
        return JSONResponse(report._asdict(), CHANGE_STATUSES[report.result])

    async def status(http: Request) -> Response:
        return JSONResponse(operations.status())

    async def explain(http: Request) -> Response:
        request = http.path_params["request"]
        decisions = entry.journal.explain(request)
        code = 200 if decisions else 404
        body = msgspec.json.encode([decision._asdict() for decision in decisions])
        return Response(body, code, media_type="application/json")

    return [
        Route("/v1/manifest", with_authentication(apply), methods=["POST"]),
        Route("/v1/status", with_authentication(status)),
        Route("/v1/explain/{request}", with_authentication(explain)),
    ]
