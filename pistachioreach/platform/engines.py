"""Client of the engines' control interface: orders to engines and their reports."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import trio
from loguru import logger

from pistachioreach.decoding import (
    INVALID_DOCUMENT_ERRORS,
    check_integer,
    check_number,
)
from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = [
    "EngineReport",
    "OrderResult",
    "place_layers",
    "read_report",
    "reroute_stream",
]

#: Timeout of an order or a report; engines respond within milliseconds.
RESPONSE_TIMEOUT_SECONDS = 0.8
#: Header field by which a connection is closed after a response. Responses to orders
#: and reports have no identifier, so that a second copy of one cannot be told from the
#: response to the next request.
CLOSING = ("Connection", "close")


class OrderResult(enum.Enum):
    """Result of an order, as far as the router knows it."""

    #: The engine started the order, or was already in the requested state.
    ACCEPTED = "accepted"
    #: The order does not match the engine's state; the engine started nothing.
    STATE_MISMATCH = "unfit"
    #: The engine has already seen a higher fencing token than the order's.
    FENCED = "fenced"
    #: The address now belongs to another instance of an endpoint.
    MISDIRECTED = "misdirected"
    #: No usable response: the engine may have started the order, or may start it
    #: seconds later.
    UNKNOWN = "unknown"


class EngineReport(NamedTuple):
    """State of an engine by its own report, a few hundred milliseconds old.

    Attributes:
        order_count: Number of orders that the engine has started since its own start.
        busy: Whether an order is in progress.
        kv_used: KV cache memory that requests occupy, in tokens times layers.
        kv_capacity: KV cache memory of the engine, in tokens times layers.
        slowdown: Factor by which the engine is slower than normal.
        stalled: Address of the stage that each stalled request waits for, by the
            identifier of the request.
    """

    order_count: int
    busy: bool
    kv_used: float
    kv_capacity: float
    slowdown: float
    stalled: dict[str, str]


async def read_report(
    connections: Connections, endpoint: str, address: str
) -> EngineReport | None:
    """Fetch the report of an engine; return None if there is no valid response.

    Args:
        connections: HTTP connections to engines.
        endpoint: Identifier of the endpoint's instance.
        address: Address of the engine, `ip:port`.
    """
    try:
        response = await send_request(
            connections, endpoint, address, "GET", "/report", b""
        )
        if response.status != 200:
            return None
        return parse_report(msgspec.json.decode(response.body))
    except (ConnectionFailed, trio.TooSlowError):
        return None
    except INVALID_DOCUMENT_ERRORS as error:
        logger.bind(endpoint=endpoint, reason=repr(error)).warning(
            "cannot decode report"
        )
        return None


async def is_listening(connections: Connections, endpoint: str, address: str) -> bool:
    """Return whether an engine accepts a connection, whatever it answers.

    Args:
        connections: HTTP connections to engines.
        endpoint: Identifier of the endpoint's instance.
        address: Address of the engine, `ip:port`.
    """
    try:
        with trio.move_on_after(RESPONSE_TIMEOUT_SECONDS):
            await connections.call(
                endpoint, address, "GET", "/report", headers=(CLOSING,), fresh=True
            )
    except ConnectionFailed as error:
        return error.sent
    return True


def parse_report(document: dict[str, Any]) -> EngineReport:
    """Convert the parsed JSON document of a report.

    Raises:
        AttributeError: The document is not an object.
        KeyError: A field is missing.
        TypeError: A field has the wrong type.
        ValueError: A number is out of range.
    """
    stalled = {item["id"]: item["address"] for item in document.get("stalled") or ()}
    return EngineReport(
        # In a report, "seq-no" counts orders; in a registration, heartbeats.
        order_count=check_integer(document["seq-no"]),
        busy=bool(document["busy"]),
        kv_used=check_number(document["kv-used"]),
        kv_capacity=check_number(document["kv-total"]),
        slowdown=check_number(document.get("pace", 1.0)),
        stalled=stalled,
    )


async def place_layers(
    connections: Connections,
    endpoint: str,
    address: str,
    layers: tuple[int, int],
    fence: int,
    order_count: int,
) -> OrderResult:
    """Order an engine to hold a range of layers and no other layers.

    Args:
        connections: HTTP connections to engines.
        endpoint: Identifier of the endpoint's instance.
        address: Address of the engine, `ip:port`.
        layers: First layer, and the layer after the last one.
        fence: Fencing token of the router that places layers.
        order_count: Number of orders that the engine has started so far. The engine
            rejects the order at any other count, so a delayed order has no effect.
    """
    body = {
        "op": "place",
        "from": layers[0],
        "target": layers[1],
        "drain-mode": "queue",
        "fence": fence,
        "expected": order_count,
    }
    return await send_order(connections, endpoint, address, body)


async def reroute_stream(
    connections: Connections,
    endpoint: str,
    address: str,
    request: str,
    chain: str,
    on_send: Callable[[], None] = lambda: None,
) -> OrderResult:
    """Order the first engine of a chain to continue a request along another chain.

    Args:
        connections: HTTP connections to engines.
        endpoint: Identifier of the first endpoint's instance.
        address: Address of the first engine, `ip:port`.
        request: Identifier of the request.
        chain: The new chain, from `requests.chain_header`.
        on_send: Called just before the first byte of the order is sent. If it raises an
            exception, nothing is sent.
    """
    body = {"op": "repath", "id": request, "path": chain}
    return await send_order(connections, endpoint, address, body, on_send=on_send)


async def send_order(
    connections: Connections,
    endpoint: str,
    address: str,
    body: dict[str, Any],
    **options: Any,
) -> OrderResult:
    """Send an order and map the response's status to a result."""
    raw = msgspec.json.encode(body)
    try:
        response = await send_request(
            connections, endpoint, address, "POST", "/order", raw, **options
        )
    except (ConnectionFailed, trio.TooSlowError):
        return OrderResult.UNKNOWN
    if response.status in (200, 202):
        return OrderResult.ACCEPTED
    if response.status == 412:
        return OrderResult.FENCED
    if response.status == 421:
        return OrderResult.MISDIRECTED
    return OrderResult.STATE_MISMATCH if response.status < 500 else OrderResult.UNKNOWN


async def send_request(
    connections: Connections,
    endpoint: str,
    address: str,
    method: str,
    path: str,
    body: bytes,
    **options: Any,
) -> HttpResponse:
    """Send one request to an engine, on a connection of its own.

    Args:
        connections: HTTP connections to engines.
        endpoint: Identifier of the endpoint's instance.
        address: Address of the engine, `ip:port`.
        method: HTTP method.
        path: Path and query.
        body: Body of the request.
        **options: Further arguments of `Connections.call`.

    Raises:
        ConnectionFailed: The engine could not be reached, or the connection broke.
        trio.TooSlowError: The timeout passed.
    """
    headers: list[tuple[str, str]] = [("Expect-Instance", endpoint), CLOSING]
    if body:
        headers.append(("Content-Type", "application/json"))
    with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
        return await connections.call(
            endpoint, address, method, path, body, tuple(headers), fresh=True, **options
        )
