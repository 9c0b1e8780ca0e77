"""Decoding and encoding of the header sections of requests and responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.decoding import parse_decimal, parse_integer
from pistachioreach.platform.relay_proof import relay_field, relaying_entry

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = [
    "EVENT_FIELDS",
    "EVENT_NUMBER_FIELD",
    "LEAVING_RUN",
    "CallerRequest",
    "EndpointResponse",
    "GenerationSize",
    "PromptPart",
    "chain_header",
    "decode_request",
    "decode_response",
    "endpoint_headers",
    "relay_headers",
    "response_headers",
]

#: Hop-by-hop header fields: they apply to one connection and are not forwarded.
HOP_BY_HOP_FIELDS = frozenset(
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
#: Request header fields that the router consumes or sets itself; a caller's values
#: are not forwarded.
ROUTER_FIELDS = frozenset(
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
        b"relayed-by",
    )
)
#: Response header field in which an entry tells another one, for which it serves a
#: request, the run of the endpoint that states in the response that it is leaving.
LEAVING_RUN = b"leaving-run"
#: Response header fields of endpoints and entries that are for the router only.
ENDPOINT_FIELDS = frozenset((b"server-load", b"instance-id", b"at-server", LEAVING_RUN))
#: Status code by which an endpoint rejects a request that is not for it; such a
#: request never ran.
MISDIRECTED = 421
#: Status code by which an endpoint rejects a request for lack of capacity.
UNAVAILABLE = 503
#: Status code by which an endpoint ends a request at its deadline.
DEADLINE_STATUS = 504
#: Highest value of the priority header field, which means the lowest priority.
LOWEST_PRIORITY = 9

#: Field of a server-sent event that holds its number.
EVENT_NUMBER_FIELD = b"id"
#: Names of all fields of a server-sent event. An engine whose weights have changed
#: states their version in the last one.
EVENT_FIELDS = frozenset(
    (EVENT_NUMBER_FIELD, b"data", b"event", b"retry", b"weight-versions")
)

#: Header fields as pairs of name, in lower case, and value.
Fields = list[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """Part of a prompt that several requests may have in common.

    Attributes:
        id: Identifier of the part.
        tokens: Number of tokens in the part.
    """

    id: str
    tokens: int


class GenerationSize(NamedTuple):
    """Size of a generation, as the caller states it.

    Attributes:
        prompt_tokens: Number of prompt tokens.
        max_output_tokens: Maximum number of output tokens.
        expected_output_tokens: The caller's estimate of the number of output tokens.
        prompt_parts: Parts of the prompt, in order.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    prompt_parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Identifiers of the parts that other prompts may have: all but the last."""
        return tuple(part.id for part in self.prompt_parts[:-1])


class CallerRequest(NamedTuple):
    """Decoded header section of a caller's request.

    Attributes:
        id: Identifier of the caller's attempt.
        method: HTTP method.
        host: Host without the port.
        path: Path without the query.
        target: Path with the query, as sent.
        api_key: API key of the workspace, or None.
        wait_seconds: Seconds that the caller waits for the response, or None.
        size: Size of the generation, or None if the request is not a generation.
        last_event: Number of the last event that the caller has received, or None.
        relayed_by: Name of the entry that sent the request for its caller, if it has
            proved that, or None.
        fields: Header fields to forward.
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
    relayed_by: str | None
    fields: Fields


class EndpointResponse(NamedTuple):
    """Decoded header section of an endpoint's response.

    Attributes:
        status: Status code.
        request_id: Identifier of the request that the response belongs to, or None.
            Several different ones are combined, which is the identifier of no request.
        not_run: Whether the endpoint states that it did not run the request.
        misdirected: Whether another instance of an endpoint now has the address, or
            the endpoint does not hold its layers of the chain.
        signed: Whether the response has the endpoint's signature field. The value of
            the field is not verified.
        load: Running and waiting requests divided by the endpoint's slots, or None.
        requests_per_second: Requests a second that the endpoint takes from all entries
            together, or None if it states no limit.
        leaving: Whether the endpoint states that it is leaving.
        leaving_run: Run of the endpoint that states it, in the response of another
            entry, or None. An endpoint may send anything there.
        refused_seconds: Seconds for which the endpoint refuses the requests of this
            router, or None if it states no time.
        failed_address: Address of the endpoint of the chain that failed, or None.
        keep_alive_seconds: Seconds that the connection may stay idle, or None.
        fields: Header fields to forward to the caller.
    """

    status: int
    request_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    load: float | None
    requests_per_second: float | None
    leaving: bool
    leaving_run: str | None
    refused_seconds: float | None
    failed_address: str | None
    keep_alive_seconds: float | None
    fields: Fields

    @property
    def is_server_fault(self) -> bool:
        """Whether the endpoint failed, rather than the request or its deadline."""
        return self.status >= 500 and self.status != DEADLINE_STATUS

    def belongs_to_another(self, request: str) -> bool:
        """Return whether the response does not belong to a request.

        A late response to an earlier request may arrive on a connection that is in use
        again. Only a rejection may be without the identifier.
        """
        if self.request_id is None:
            return not self.not_run
        return self.request_id != request


def decode_request(
    method: str, target: bytes, fields: Iterable, keys: Sequence[bytes] = ()
) -> CallerRequest:
    """Decode the header section of a caller's request.

    Args:
        method: HTTP method.
        target: Path with the query.
        fields: Header fields as pairs of name, in lower case, and value.
        keys: Keys shared by the entries, by which another entry proves that it has
            sent the request.
    """
    values: dict[bytes, bytes] = {}
    for name, value in fields:
        values.setdefault(name, value)
    forwarded = [
        (name, value)
        for name, value in fields
        if name not in HOP_BY_HOP_FIELDS | ROUTER_FIELDS | connection_options(values)
    ]
    last_event = parse_integer(values.get(b"last-event-id"))
    wait_ms = parse_integer(values.get(b"deadline-ms"))
    host = decode_text(values.get(b"host")) or ""
    request_id = decode_text(values.get(b"attempt-id")) or ""
    return CallerRequest(
        id=request_id,
        method=method,
        host=host.rpartition(":")[0] if ":" in host else host,
        path=target.partition(b"?")[0].decode("latin-1"),
        target=target,
        api_key=parse_api_key(decode_text(values.get(b"authorization"))),
        wait_seconds=None if wait_ms is None else wait_ms / 1000,
        size=parse_generation_size(values),
        last_event=last_event,
        relayed_by=relaying_entry(values.get(b"relayed-by"), request_id, keys),
        fields=forwarded,
    )


def connection_options(values: dict[bytes, bytes]) -> set[bytes]:
    """Return the names of the fields that the Connection field marks as hop-by-hop."""
    names = values.get(b"connection", b"").split(b",")
    return {name.strip().lower() for name in names}


def parse_api_key(authorization: str | None) -> str | None:
    """Return the API key of an Authorization field, or None if it has none."""
    scheme, _, api_key = (authorization or "").partition(" ")
    return api_key.strip() if scheme.lower() == "token" and api_key.strip() else None


def parse_generation_size(values: dict[bytes, bytes]) -> GenerationSize | None:
    """Return the size of a generation, or None if the request does not state it."""
    prompt, _, limit = (decode_text(values.get(b"token-usage")) or "").partition(",")
    prompt_tokens, max_output_tokens = parse_integer(prompt), parse_integer(limit)
    if prompt_tokens is None or max_output_tokens is None:
        return None
    estimate = parse_integer(values.get(b"length-hint"))
    parts = []
    for item in (decode_text(values.get(b"prefix-hash")) or "").split(","):
        name, _, tokens = item.strip().partition(":")
        count = parse_integer(tokens)
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
        endpoint: Identifier of the endpoint's instance that may run the request; any
            other instance rejects it.
        workspace: Name of the caller's workspace, or None.
        seconds: Seconds left until the deadline.
        priority: Priority, 0 the highest, or None.
        body: Body of the request.
        chain: The chain, from `chain_header`, or None.
        last_event: Number of the event after which the stream resumes, or None.
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


def relay_headers(
    request: CallerRequest,
    *,
    entry: str,
    key: bytes,
    seconds: float,
    body: bytes,
    last_event: int | None = None,
) -> Fields:
    """Return the header fields of a request that another entry is to serve.

    Args:
        request: The caller's request.
        entry: Name of this entry.
        key: Key of the entries that is in use.
        seconds: Seconds left until the deadline.
        body: Body of the request.
        last_event: Number of the event after which the stream resumes, or None.
    """
    fields = [
        *request.fields,
        (b"deadline-ms", str(max(1, int(seconds * 1000))).encode()),
        (b"relayed-by", relay_field(entry, request.id, key)),
        (b"content-length", str(len(body)).encode()),
    ]
    if request.api_key is not None:
        fields.append((b"authorization", b"Token " + request.api_key.encode("latin-1")))
    if last_event is not None:
        fields.append((b"last-event-id", str(last_event).encode()))
    return fields


def chain_header(stages: Sequence[tuple[str, int, int]]) -> str:
    """Format a chain as the value of the chain header field.

    Args:
        stages: Address, first layer, and layer after the last of each stage.
    """
    return ",".join(f"{address}={first}-{last}" for address, first, last in stages)


def decode_response(status: int, fields: Iterable) -> EndpointResponse:
    """Decode the header section of an endpoint's response.

    Args:
        status: Status code.
        fields: Header fields as pairs of name and value.
    """
    lowered = [(name.lower(), value) for name, value in fields]
    values = dict(lowered)
    ids = dict.fromkeys(value for name, value in lowered if name == b"attempt-id")
    dropped = HOP_BY_HOP_FIELDS | ENDPOINT_FIELDS
    if b"transfer-encoding" in values:
        # The length of a chunked body is that of its chunks (RFC 9112, 6.3).
        dropped |= {b"content-length"}
    forwarded = [(name, value) for name, value in lowered if name not in dropped]
    refused_seconds = None
    if status == UNAVAILABLE:
        refused_seconds = parse_decimal(values.get(b"retry-after"))
    return EndpointResponse(
        status=status,
        request_id=decode_text(b", ".join(ids)) if ids else None,
        not_run=b"not-executed" in values or status == MISDIRECTED,
        misdirected=status == MISDIRECTED,
        signed=b"response-seal" in values,
        load=parse_load(decode_text(values.get(b"server-load"))),
        requests_per_second=parse_decimal(values.get(b"server-limit")),
        leaving=decode_text(values.get(b"server-leaving")) == "1",
        leaving_run=decode_text(values.get(LEAVING_RUN)),
        refused_seconds=refused_seconds,
        failed_address=decode_text(values.get(b"at-server")),
        keep_alive_seconds=parse_keep_alive(values),
        fields=forwarded,
    )


def parse_load(value: str | None) -> float | None:
    """Return running and waiting requests divided by slots, or None.

    Args:
        value: Running requests, waiting requests and slots, separated by commas.
    """
    numbers = [parse_integer(part) for part in (value or "").split(",")]
    if len(numbers) != 3 or None in numbers or not numbers[2]:
        return None
    running, waiting, slots = numbers
    return (running + waiting) / slots


def parse_keep_alive(values: dict[bytes, bytes]) -> float | None:
    """Return the seconds for which an endpoint keeps an idle connection, or None."""
    for item in values.get(b"keep-alive", b"").split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return parse_integer(seconds)
    return None


def response_headers(
    length: int,
    retry_after: float | None,
    closing: bool,
    media_type: bytes = b"text/plain",
) -> Fields:
    """Return the header fields of a response that the router itself creates.

    Args:
        length: Length of the body, in bytes.
        retry_after: Seconds after which the caller should retry, or None.
        closing: Whether the connection is closed after the response.
        media_type: Media type of the body.
    """
    fields = [
        (b"content-type", media_type),
        (b"content-length", str(length).encode()),
    ]
    if retry_after is not None:
        fields.append((b"retry-after", f"{retry_after:.2f}".encode()))
    if closing:
        fields.append((b"connection", b"close"))
    return fields


def decode_text(value: bytes | None) -> str | None:
    """Decode and strip the value of a header field; None stays None."""
    return None if value is None else value.decode("latin-1").strip()
