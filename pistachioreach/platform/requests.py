"""Translates callers' requests and endpoints' answers from and to the wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = [
    "CallerRequest",
    "EndpointResponse",
    "GenerationSize",
    "PromptPart",
    "response_headers",
    "decode_response",
    "decode_request",
    "endpoint_headers",
    "chain_header",
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


class PromptPart(NamedTuple):
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
        prompt_tokens: Prompt tokens.
        max_output_tokens: Most output tokens.
        expected_output_tokens: The caller's estimate of the output tokens.
        prompt_parts: Parts of the prompt in order.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    prompt_parts: tuple[PromptPart, ...]


class CallerRequest(NamedTuple):
    """What the header section of a caller's request says.

    Attributes:
        id: Identifier of this attempt of the caller.
        method: Method.
        host: Host without a port.
        path: Path without the query.
        target: Path with the query, as sent.
        api_key: Key of the workspace, or None.
        wait_seconds: Seconds that the caller waits, or None.
        size: Size of a generation, or None.
        last_event: Number of the last event that the caller has, or None.
        fields: Fields to be passed on.
    """

    id: str
    method: str
    host: str
    path: str
    target: bytes
    api_key: str | None
    wait_seconds: float | None
    size: GenerationSize | None
    last_event: int | None
    fields: Fields


class EndpointResponse(NamedTuple):
    """What the header section of an endpoint's answer says.

    Attributes:
        status: Status code.
        request_id: Identifier of the request that it answers, or None.
        not_run: Whether the endpoint says that it did not run the request.
        misdirected: Whether another run of an endpoint has the address, or the
            endpoint does not hold its part of the chain.
        signed: Whether the answer bears the endpoint's signature.
        load: Share of the endpoint's slots that are taken or waited for, or None.
        failed_address: Address of the endpoint of a chain that failed, or None.
        keep_alive_seconds: How long the connection may be idle, or None.
        fields: Fields to be passed on to the caller.
    """

    status: int
    request_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    load: float | None
    failed_address: str | None
    keep_alive_seconds: float | None
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
    wait_ms = whole(values.get(b"deadline-ms"))
    host = text(values.get(b"host")) or ""
    return CallerRequest(
        id=text(values.get(b"attempt-id")) or "",
        method=method,
        host=host.rpartition(":")[0] if ":" in host else host,
        path=target.partition(b"?")[0].decode("latin-1"),
        target=target,
        api_key=key_of(text(values.get(b"authorization"))),
        wait_seconds=None if wait_ms is None else wait_ms / 1000,
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
    prompt_tokens, max_output_tokens = whole(prompt), whole(limit)
    if prompt_tokens is None or max_output_tokens is None:
        return None
    estimate = whole(values.get(b"length-hint"))
    parts = []
    for entry in (text(values.get(b"prefix-hash")) or "").split(","):
        name, _, tokens = entry.strip().partition(":")
        count = whole(tokens)
        if name and count is not None:
            parts.append(PromptPart(name, count))
    return GenerationSize(
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        expected_output_tokens=max_output_tokens if estimate is None else estimate,
        prompt_parts=tuple(parts),
    )


def endpoint_headers(
    request: CallerRequest,
    *,
    endpoint: str,
    workspace: str | None,
    seconds: float,
    priority: int | None,
    body: bytes,
    chain: str | None = None,
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
        chain: The chain, from `chain_header`.
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
    if chain is not None:
        fields.append((b"hop-count", chain.encode()))
    if last_event is not None:
        fields.append((b"last-event-id", str(last_event).encode()))
    if body or request.method not in ("GET", "HEAD", "DELETE"):
        fields.append((b"content-length", str(len(body)).encode()))
    return fields


def chain_header(stages: Sequence[tuple[str, int, int]]) -> str:
    """Return a chain as the endpoints read it.

    Args:
        stages: Address, first layer and the layer after the last of each stage.
    """
    return ",".join(f"{address}={first}-{last}" for address, first, last in stages)


def decode_response(status: int, fields: Iterable) -> EndpointResponse:
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
    return EndpointResponse(
        status=status,
        request_id=text(values.get(b"attempt-id")),
        not_run=b"not-executed" in values or status == MISDIRECTED,
        misdirected=status == MISDIRECTED,
        signed=b"response-seal" in values,
        load=load_of(text(values.get(b"server-load"))),
        failed_address=text(values.get(b"at-server")),
        keep_alive_seconds=idle_limit(values),
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


def response_headers(
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
