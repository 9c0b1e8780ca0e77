"""Translates orders to model engines and reports of them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import trio

from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = [
    "EngineReport",
    "OrderResult",
    "reroute_stream",
    "place_layers",
    "read_report",
]

#: Seconds for an answer to an order or a report; engines answer in milliseconds.
ANSWER_SECONDS = 0.8


class OrderResult(enum.Enum):
    """What became of an order."""

    #: It has begun, or what it asks for holds already.
    ACCEPTED = "accepted"
    #: It does not fit the engine's state; nothing was begun.
    UNFIT = "unfit"
    #: The fencing token was lower than one that the engine has seen.
    FENCED = "fenced"
    #: The address belongs to another run of an endpoint.
    MISDIRECTED = "misdirected"
    #: No answer: it may have begun, or may begin seconds later.
    UNKNOWN = "unknown"


class EngineReport(NamedTuple):
    """What an engine reports of itself, some hundred milliseconds old.

    Attributes:
        order_count: Orders that it has begun since its start.
        busy: Whether an order is in progress.
        kv_used: Memory of requests in tokens times layers.
        kv_capacity: Memory for requests in tokens times layers.
        slowdown: Factor on its normal times.
        stalled: Identifier of each stalled request, with the address of the
            stage that it waits for.
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
    """Ask an engine for its report; None when it gives none.

    Args:
        connections: Connections to use.
        endpoint: Run of the endpoint that is asked.
        address: Its address.
    """
    try:
        answer = await send(connections, endpoint, address, "GET", "/report", b"")
        if answer.status != 200:
            return None
        return report_of(msgspec.json.decode(answer.body))
    except (ConnectionFailed, trio.TooSlowError, msgspec.DecodeError):
        return None
    except (KeyError, TypeError, ValueError):
        return None


def report_of(entry: dict[str, Any]) -> EngineReport:
    """Decode a report.

    Raises:
        KeyError: A field is missing.
        TypeError: A field is of another type.
    """
    stalled = {item["id"]: item["address"] for item in entry.get("stalled") or ()}
    return EngineReport(
        # Here the field counts orders; in a registration it counts heartbeats.
        order_count=int(entry["seq-no"]),
        busy=bool(entry["busy"]),
        kv_used=float(entry["kv-used"]),
        kv_capacity=float(entry["kv-total"]),
        slowdown=float(entry.get("pace", 1.0)),
        stalled=stalled,
    )


async def place_layers(
    connections: Connections,
    endpoint: str,
    address: str,
    layers: tuple[int, int],
    fence: int,
    orders: int,
) -> OrderResult:
    """Order an engine to hold a range of layers and no others.

    Args:
        connections: Connections to use.
        endpoint: Run of the endpoint that gets the order.
        address: Its address.
        layers: First layer, and the layer after the last one.
        fence: Fencing token of the placer.
        orders: Orders that the engine has begun so far; at any other count it
            does nothing, so that an order that comes late changes nothing.
    """
    body = {
        "op": "place",
        "from": layers[0],
        "target": layers[1],
        "drain-mode": "queue",
        "fence": fence,
        "expected": orders,
    }
    return await order(connections, endpoint, address, body)


async def reroute_stream(
    connections: Connections, endpoint: str, address: str, request: str, path: str
) -> OrderResult:
    """Order the first engine of a chain to go on along another chain.

    Args:
        connections: Connections to use.
        endpoint: Run of the first endpoint.
        address: Its address.
        request: Identifier of the request.
        path: The new chain, from `requests.chain_header`.
    """
    body = {"op": "repath", "id": request, "path": path}
    return await order(connections, endpoint, address, body)


async def order(
    connections: Connections, endpoint: str, address: str, body: dict[str, Any]
) -> OrderResult:
    """Send an order and decode what became of it."""
    raw = msgspec.json.encode(body)
    try:
        answer = await send(connections, endpoint, address, "POST", "/order", raw)
    except (ConnectionFailed, trio.TooSlowError):
        return OrderResult.UNKNOWN
    if answer.status in (200, 202):
        return OrderResult.ACCEPTED
    if answer.status == 412:
        return OrderResult.FENCED
    if answer.status == 421:
        return OrderResult.MISDIRECTED
    return OrderResult.UNFIT if answer.status < 500 else OrderResult.UNKNOWN


async def send(
    connections: Connections,
    endpoint: str,
    address: str,
    method: str,
    path: str,
    body: bytes,
) -> HttpResponse:
    """Send one call to an engine."""
    headers: list[tuple[str, str]] = [("Expect-Instance", endpoint)]
    if body:
        headers.append(("Content-Type", "application/json"))
    with trio.fail_after(ANSWER_SECONDS):
        return await connections.call(
            endpoint, address, method, path, body, tuple(headers)
        )
