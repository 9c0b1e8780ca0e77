"""Checks that all requests of callers share: credential, deadline, body."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

from pistachioreach.decoding import MALFORMED_JSON_ERRORS, parse_integer
from pistachioreach.verdict import (
    BAD_REQUEST,
    DEADLINE_INVALID,
    DRAINING,
    NO_MANIFEST,
    OUT_OF_TOUCH,
    TOO_LARGE,
    UNAUTHORIZED,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from starlette.requests import Request

    from pistachioreach.entry import Entry
    from pistachioreach.manifest import WorkspaceDocument

__all__ = ["ValidatedRequest", "decode_body", "read_body", "validate_headers"]

#: Largest accepted size of a body, in bytes.
MAX_BODY_BYTES = 1024 * 1024
#: Lowest priority, the default of a request.
LOWEST_PRIORITY = 9
#: Largest length of the Request-Id that a caller sends.
MAX_REQUEST_ID_CHARACTERS = 64

T = TypeVar("T")


class ValidatedRequest(NamedTuple):
    """Header values of a request whose workspace is authenticated.

    Attributes:
        request: Identifier of the request, unique across all entries.
        label: Identifier that the caller sent in Request-Id, or the empty string.
        workspace: Workspace that sent the request.
        priority: Priority of the request; 0 is the highest.
        deadline: Monotonic time after which the caller no longer uses the answer.
    """

    request: str
    label: str
    workspace: WorkspaceDocument
    priority: int
    deadline: float


def refuse(reason, detail: str) -> Failure:
    """Return the failure of a request that is refused before it runs."""
    return Failure(Verdict.NOT_RUN, reason, detail)


def validate_headers(
    entry: Entry, http: Request, request: str
) -> ValidatedRequest | Failure:
    """Check the header fields of a request and authenticate its workspace.

    Args:
        entry: The entry that received the request.
        http: The request.
        request: Identifier that the entry assigned to the request.

    Returns:
        The validated header values, or why the request is refused.
    """
    if entry.draining:
        return refuse(DRAINING, f"entry '{entry.name}' is shutting down")._replace(
            retry_after=1.0
        )
    if entry.configuration is None:
        return refuse(NO_MANIFEST, "no manifest has been applied")
    if not entry.may_admit():
        detail = (
            f"entry '{entry.name}' has reached neither the store nor enough entries"
        )
        return refuse(OUT_OF_TOUCH, detail)._replace(retry_after=1.0)
    name = http.headers.get("workspace", "")
    scheme, _, credential = http.headers.get("authorization", "").partition(" ")
    workspace = entry.configuration.authenticate(name, credential)
    if workspace is None or scheme.lower() != "bearer":
        return refuse(UNAUTHORIZED, f"no such credential of workspace '{name}'")
    label = http.headers.get("request-id", "")
    if len(label) > MAX_REQUEST_ID_CHARACTERS or not label.isprintable():
        return refuse(
            BAD_REQUEST, f"Request-Id is over {MAX_REQUEST_ID_CHARACTERS} characters"
        )
    seconds = parse_deadline(entry, http)
    if isinstance(seconds, Failure):
        return seconds
    priority = parse_priority(http, workspace)
    if isinstance(priority, Failure):
        return priority
    deadline = entry.clock.monotonic() + seconds
    return ValidatedRequest(request, label, workspace, priority, deadline)


def parse_deadline(entry: Entry, http: Request) -> float | Failure:
    """Return the seconds until the deadline of a request.

    A request without Deadline-Ms gets the default of the manifest.
    """
    deadlines = entry.configuration.manifest["deadlines"]
    text = http.headers.get("deadline-ms")
    if text is None:
        return deadlines["default_ms"] / 1000
    max_ms = deadlines["max_ms"]
    milliseconds = parse_integer(text)
    if milliseconds is None or not 0 < milliseconds <= max_ms:
        detail = f"Deadline-Ms '{text:.40}' is not a whole number from 1 to {max_ms}"
        return refuse(DEADLINE_INVALID, detail)
    return milliseconds / 1000


def parse_priority(http: Request, workspace: WorkspaceDocument) -> int | Failure:
    """Return the priority of a request, capped at the workspace's highest one."""
    text = http.headers.get("priority", str(LOWEST_PRIORITY))
    if len(text) != 1 or text not in "0123456789":
        return refuse(BAD_REQUEST, f"Priority '{text}' is not a digit from 0 to 9")
    return max(int(text), workspace["top_priority"])


async def read_body(http: Request) -> bytes | Failure:
    """Read a body, and refuse one that is larger than `MAX_BODY_BYTES`."""
    chunks = []
    size = 0
    async for chunk in http.stream():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            return refuse(TOO_LARGE, f"the body is over {MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def decode_body(raw: bytes, expected: type[T]) -> T | Failure:
    """Decode a JSON body into the expected type, or refuse it."""
    try:
        return msgspec.json.decode(raw, type=expected)
    except MALFORMED_JSON_ERRORS as error:
        return refuse(BAD_REQUEST, f"body: {error}")
