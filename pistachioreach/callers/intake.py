"""What all requests of callers have in common: credentials, deadline, body."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

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

__all__ = ["Intake", "decode_body", "read_body", "take_in"]

#: Bytes of the largest body.
MAX_BODY_BYTES = 1024 * 1024
#: Lowest priority.
LOWEST_PRIORITY = 9
#: Characters of the longest identifier that a caller may give a request.
MAX_REQUEST_ID = 64

T = TypeVar("T")


class Intake(NamedTuple):
    """A request whose sender is known.

    Attributes:
        request: Identifier of the request, unique over all entries.
        label: Identifier that the caller gave it, or the empty string.
        workspace: The workspace that sent it.
        priority: Priority, 0 the highest.
        deadline: Monotonic time after which the answer is of no use.
    """

    request: str
    label: str
    workspace: WorkspaceDocument
    priority: int
    deadline: float


def refuse(reason, detail: str) -> Failure:
    """Return the refusal of a request that has not run."""
    return Failure(Verdict.NOT_RUN, reason, detail)


def take_in(entry: Entry, http: Request, request: str) -> Intake | Failure:
    """Check the header of a request.

    Args:
        entry: The entry that got it.
        http: The request.
        request: Identifier for it.

    Returns:
        The request's sender and limits, or why it is refused.
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
    if len(label) > MAX_REQUEST_ID or not label.isprintable():
        return refuse(BAD_REQUEST, f"Request-Id is over {MAX_REQUEST_ID} characters")
    seconds = deadline_seconds(entry, http)
    if isinstance(seconds, Failure):
        return seconds
    priority = priority_of(http, workspace)
    if isinstance(priority, Failure):
        return priority
    deadline = entry.clock.monotonic() + seconds
    return Intake(request, label, workspace, priority, deadline)


def deadline_seconds(entry: Entry, http: Request) -> float | Failure:
    """Return the seconds that a request allows itself."""
    deadlines = entry.configuration.manifest["deadlines"]
    text = http.headers.get("deadline-ms")
    if text is None:
        return deadlines["default_ms"] / 1000
    most = deadlines["max_ms"]
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= most:
        detail = f"Deadline-Ms '{text}' is not a whole number from 1 to {most}"
        return refuse(DEADLINE_INVALID, detail)
    return int(text) / 1000


def priority_of(http: Request, workspace: WorkspaceDocument) -> int | Failure:
    """Return the priority of a request, at most the workspace's highest."""
    text = http.headers.get("priority", str(LOWEST_PRIORITY))
    if len(text) != 1 or text not in "0123456789":
        return refuse(BAD_REQUEST, f"Priority '{text}' is not a digit from 0 to 9")
    return max(int(text), workspace["top_priority"])


async def read_body(http: Request) -> bytes | Failure:
    """Read a body up to the largest size."""
    chunks = []
    size = 0
    async for chunk in http.stream():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            return refuse(TOO_LARGE, f"the body is over {MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def decode_body(raw: bytes, expected: type[T]) -> T | Failure:
    """Decode a JSON body into a type."""
    try:
        return msgspec.json.decode(raw, type=expected)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(BAD_REQUEST, f"body: {error}")
