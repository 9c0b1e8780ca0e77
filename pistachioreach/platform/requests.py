"""Translates callers' requests and endpoints' answers from and to the wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = [
    "CallerRequest",
    "EndpointAnswer",
    "GenerationSize",
    "Part",
    "answer_headers",
    "decode_answer",
    "decode_request",
    "endpoint_headers",
    "path_header",
]

#: Fields that concern one connection only.
CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
#: Fields that the router sets itself, whatever the caller sent.
OWN_FIELDS = frozenset(
    (
        b"authorization",
        b"tenant",
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"hop-count",
        b"request-priority",
        b"content-length",
        b"last-event-id",
    )
)
#: Fields of an endpoint's answer that only the router reads.
ENDPOINT_FIELDS = frozenset((b"server-load", b"instance-id", b"at-server"))
#: Statuses by which an endpoint always says that it did not run the request.
MISDIRECTED = 421
#: Highest value of the priority field.
LOWEST_PRIORITY = 9

#: Header fields, names in lower case.
Fields = list[tuple[bytes, bytes]]


class Part(NamedTuple):
    """A part of a prompt that several requests may share.

    Attributes:
        id: Name of the part.
        tokens: Its tokens.
    """

    id: str
    tokens: int


class GenerationSize(NamedTuple):
    """How large a generation is.

    Attributes:
        prompt: Prompt tokens.
        answer_limit: Most output tokens.
        answer_estimate: The caller's estimate of the output tokens.
        parts: Parts of the prompt in order.
    """

    prompt: int
    answer_limit: int
    answer_estimate: int
    parts: tuple[Part, ...]


class CallerRequest(NamedTuple):
    """What the header section of a caller's request says.

    Attributes:
        id: Identifier of this attempt of the caller.
        method: Method.
        host: Host without a port.
        path: Path without the query.
        target: Path with the query, as sent.
        key: Key of the workspace, or None.
        patience: Seconds that the caller waits, or None.
        size: Size of a generation, or None.
        last_event: Number of the last event that the caller has, or None.
        fields: Fields to be passed on.
    """

    id: str
    method: str
    host: str
    path: str
    target: bytes
    key: str | None
    patience: float | None
    size: GenerationSize | None
    last_event: int | None
    fields: Fields


class EndpointAnswer(NamedTuple):
    """What the header section of an endpoint's answer says.

    Attributes:
        status: Status code.
        request_id: Identifier of the request that it answers, or None.
        not_run: Whether the endpoint says that it did not run the request.
        misdirected: Whether another run of an endpoint has the address, or the
            endpoint does not hold its part of the chain.
        genuine: Whether the answer bears the endpoint's signature.
        load: Share of the endpoint's slots that are taken or waited for, or None.
        culprit: Address of the endpoint of a chain that failed, or None.
        reusable_seconds: How long the connection may be idle, or None.
        fields: Fields to be passed on to the caller.
    """

    status: int
    request_id: str | None
    not_run: bool
    misdirected: bool
    genuine: bool
    load: float | None
    culprit: str | None
    reusable_seconds: float | None
    fields: Fields


def decode_request(method: str, target: bytes, fields: Iterable) -> CallerRequest:
    """Decode the header section of a caller's request.

    Args:
        method: Method.
        target: Path with the query.
        fields: Header fields, names in lower case.
    """
    values: dict[bytes, bytes] = {}
    for name, value in fields:
        values.setdefault(name, value)
    passed = [
        (name, value)
        for name, value in fields
        if name not in CONNECTION_FIELDS | OWN_FIELDS | named_by_connection(values)
    ]
    last_event = whole(values.get(b"last-event-id"))
    patience = whole(values.get(b"deadline-ms"))
    host = text(values.get(b"host")) or ""
    return CallerRequest(
        id=text(values.get(b"attempt-id")) or "",
        method=method,
        host=host.rpartition(":")[0] if ":" in host else host,
        path=target.partition(b"?")[0].decode("latin-1"),
        target=target,
        key=key_of(text(values.get(b"authorization"))),
        patience=None if patience is None else patience / 1000,
        size=size_of(values),
        last_event=last_event,
        fields=passed,
    )


def named_by_connection(values: dict[bytes, bytes]) -> set[bytes]:
    """Return the fields that the Connection field names."""
    names = values.get(b"connection", b"").split(b",")
    return {name.strip().lower() for name in names}


def key_of(authorization: str | None) -> str | None:
    """Return the key of an Authorization field, or None."""
    scheme, _, key = (authorization or "").partition(" ")
    return key.strip() if scheme.lower() == "token" and key.strip() else None


def size_of(values: dict[bytes, bytes]) -> GenerationSize | None:
    """Return the size of a generation; None where the request names none."""
    prompt, _, limit = (text(values.get(b"token-usage")) or "").partition(",")
    prompt_tokens, answer_limit = whole(prompt), whole(limit)
    if prompt_tokens is None or answer_limit is None:
        return None
    estimate = whole(values.get(b"length-hint"))
    parts = []
    for entry in (text(values.get(b"prefix-hash")) or "").split(","):
        name, _, tokens = entry.strip().partition(":")
        count = whole(tokens)
        if name and count is not None:
            parts.append(Part(name, count))
    return GenerationSize(
        prompt=prompt_tokens,
        answer_limit=answer_limit,
        answer_estimate=answer_limit if estimate is None else estimate,
        parts=tuple(parts),
    )


def endpoint_headers(
    request: CallerRequest,
    *,
    endpoint: str,
    workspace: str | None,
    seconds: float,
    priority: int | None,
    body: bytes,
    path: str | None = None,
    last_event: int | None = None,
) -> Fields:
    """Return the header fields of a request to an endpoint.

    Args:
        request: The caller's request.
        endpoint: Run of the endpoint that may run it; any other refuses it.
        workspace: Name of the caller's workspace.
        seconds: Time that is left.
        priority: Rank, 0 the highest, or None.
        body: The body.
        path: The chain, from `path_header`.
        last_event: Event after which the stream goes on.
    """
    fields = list(request.fields)
    fields.append((b"deadline-ms", str(max(1, int(seconds * 1000))).encode()))
    fields.append((b"expect-instance", endpoint.encode()))
    if workspace is not None:
        fields.append((b"tenant", workspace.encode()))
    if priority is not None:
        value = min(LOWEST_PRIORITY, max(0, priority))
        fields.append((b"request-priority", str(value).encode()))
    if path is not None:
        fields.append((b"hop-count", path.encode()))
    if last_event is not None:
        fields.append((b"last-event-id", str(last_event).encode()))
    if body or request.method not in ("GET", "HEAD", "DELETE"):
        fields.append((b"content-length", str(len(body)).encode()))
    return fields


def path_header(stages: Sequence[tuple[str, int, int]]) -> str:
    """Return a chain as the endpoints read it.

    Args:
        stages: Address, first layer and the layer after the last of each stage.
    """
    return ",".join(f"{address}={first}-{last}" for address, first, last in stages)


def decode_answer(status: int, fields: Iterable) -> EndpointAnswer:
    """Decode the header section of an endpoint's answer.

    Args:
        status: Status code.
        fields: Header fields.
    """
    lowered = [(name.lower(), value) for name, value in fields]
    values = dict(lowered)
    passed = [
        (name, value)
        for name, value in lowered
        if name not in CONNECTION_FIELDS | ENDPOINT_FIELDS
    ]
    return EndpointAnswer(
        status=status,
        request_id=text(values.get(b"attempt-id")),
        not_run=b"not-executed" in values or status == MISDIRECTED,
        misdirected=status == MISDIRECTED,
        genuine=b"response-seal" in values,
        load=load_of(text(values.get(b"server-load"))),
        culprit=text(values.get(b"at-server")),
        reusable_seconds=idle_limit(values),
        fields=passed,
    )


def load_of(value: str | None) -> float | None:
    """Return the share of slots that running and waiting requests take."""
    numbers = [whole(part) for part in (value or "").split(",")]
    if len(numbers) != 3 or None in numbers or not numbers[2]:
        return None
    running, waiting, slots = numbers
    return (running + waiting) / slots


def idle_limit(values: dict[bytes, bytes]) -> float | None:
    """Return the idle time that an endpoint grants a connection."""
    for entry in values.get(b"keep-alive", b"").split(b","):
        name, _, seconds = entry.strip().partition(b"=")
        if name.lower() == b"timeout":
            return whole(seconds)
    return None


def answer_headers(
    length: int, retry_after: float | None, closing: bool, kind: bytes = b"text/plain"
) -> Fields:
    """Return the header fields of an answer of the router's own.

    Args:
        length: Bytes of the body.
        retry_after: Seconds after which the caller shall come back, or None.
        closing: Whether the connection ends with this answer.
        kind: Media type of the body.
    """
    fields = [(b"content-type", kind), (b"content-length", str(length).encode())]
    if retry_after is not None:
        fields.append((b"retry-after", f"{retry_after:.2f}".encode()))
    if closing:
        fields.append((b"connection", b"close"))
    return fields


def text(value: bytes | None) -> str | None:
    """Decode a field's value."""
    return None if value is None else value.decode("latin-1").strip()


def whole(value: bytes | str | None) -> int | None:
    """Return a whole number of at least 0, or None."""
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    value = (value or "").strip()
    if not value.isascii() or not value.isdigit():
        return None
    return int(value)
