"""Stand-ins for model engines, which hold layer ranges, and for a plain service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from pistachioreach.platform.requests import parse_generation_size
from pistachioreach.platform.standins.endpoint import StandInEndpoint, sender
from pistachioreach.platform.standins.kept_prompts import KeptPrompts
from pistachioreach.platform.standins.store import send_json
from pistachioreach.routing.prompt_cache import prompt_beginnings

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

__all__ = [
    "FAILED_PATHS",
    "StandInEngine",
    "StandInService",
    "event_bytes",
    "response_bytes",
]

#: Seconds between two events of a stream.
EVENT_SECONDS = 0.01
#: Seconds that a stream waits for a dead stage before it is aborted.
STALL_SECONDS = 2.5
#: Value of the signature field of all responses.
SIGNATURE = b"stand-in"
#: Status codes of the signed failures with which endpoints of the plain service
#: respond, by the path of the request.
FAILED_PATHS = {"/schedules/404": 404, "/schedules/500": 500}
#: What may be wrong in the bytes that an engine sends.
WRONG_BYTES = ("number of an event", "error page", "number in a report")
#: Error page of a faulty engine, inside a stream.
ERROR_PAGE = b"<html>\n<body>502 Bad Gateway</body>\n</html>\n\n"
#: Number that exceeds the range of a float.
LONG_NUMBER = 10**400


class StandInEngine(StandInEndpoint):
    """Stand-in for one engine, as an ASGI application.

    The first engine of a chain sends all events of the stream.

    Args:
        id: Identifier of the engine's instance.
        card: Kind of the engine's accelerator.
        domain: Failure domain of the engine.
        fleet: All engines by address, including this one.
        events: Number of events in each response.
        prefill_seconds: Time of the prefill of one token on one layer.
        memory: KV cache of the engine in tokens times layers, in which it keeps the
            beginnings of prompts; 0 if it keeps none.
    """

    def __init__(
        self,
        id: str,
        card: str,
        domain: str,
        fleet: dict,
        events: int = 30,
        prefill_seconds: float = 0.0,
        memory: float = 0.0,
    ) -> None:
        super().__init__(id)
        #: Kind of the engine's accelerator.
        self.card = card
        #: Failure domain of the engine.
        self.domain = domain
        #: All engines by address, including this one.
        self.fleet = fleet
        #: Number of events in each response.
        self.events = events
        #: Time of the prefill of one token on one layer, in seconds.
        self.prefill_seconds = prefill_seconds
        #: KV cache with the beginnings of prompts that the engine keeps.
        self.cache = KeptPrompts(memory)
        #: First layer that the engine holds, and the layer after the last, or None.
        self.layers: tuple[int, int] | None = None
        #: Number of orders started since the engine's start.
        self.order_count = 0
        #: Highest fencing token seen.
        self.fence = 0
        #: What is wrong in the bytes that the engine sends, one of `WRONG_BYTES`, or
        #: None.
        self.wrong_bytes: str | None = None
        #: Chain of each running request, by the identifier of the request.
        self.running: dict[str, list[tuple[str, int, int]]] = {}
        #: Start count of each engine in the chain of a running request, by request
        #: and address, from the time when the request entered the chain.
        self.chain_start_counts: dict[str, dict[str, int]] = {}
        #: All chains whose first engine was this one, by request.
        self.chains: dict[str, list[list[tuple[str, int, int]]]] = {}

    async def respond(self, scope: dict, body: bytes, send: Callable) -> None:
        """Respond to one request, an order or a question for the engine's report."""
        if scope["path"] == "/report":
            await send_json(send, 200, self.report())
        elif scope["path"] == "/order":
            await send_json(send, self.handle_order(msgspec.json.decode(body)), {})
        else:
            await self.stream(dict(scope["headers"]), body, send)

    def registration(self, address: str, service: str) -> dict[str, Any]:
        """Return the registration that the engine writes to the store.

        Args:
            address: Address of the engine, `ip:port`.
            service: Name of the engine's service.
        """
        registration = {
            "service": service,
            "address": address,
            "zone": self.domain,
            "version": "v1",
            "slots": 96,
            "state": self.state(),
            "cold-left-ms": 0,
            "born": self.start_count,
            "kind": self.card,
            "seq-no": 1,
        }
        if self.layers is not None:
            first, last = self.layers
            registration["layers"] = {"from": first, "target": last, "version": 1}
        return registration

    def report(self) -> dict[str, Any]:
        """Return the engine's report of its load and of its stalled requests."""
        stalled = [
            {"id": request, "address": addresses[0]}
            for request in self.running
            if (addresses := self.blocking_stages(request))
        ]
        report = {
            "seq-no": self.order_count,
            "busy": False,
            "kv-used": 0,
            "kv-total": 1,
        }
        if self.wrong_bytes == "number in a report":
            report["kv-used"] = LONG_NUMBER
        return report | {"stalled": stalled}

    def distort(self, event: bytes) -> bytes:
        """Return an event, followed by wrong bytes in the same write if any."""
        if self.wrong_bytes == "number of an event":
            return event + event.replace(b"id: ", b"id: ?", 1)
        if self.wrong_bytes == "error page":
            return event + ERROR_PAGE
        return event

    def handle_order(self, body: dict[str, Any]) -> int:
        """Execute an order and return the status code of the response."""
        if body.get("fence", 0) < self.fence:
            return 412
        self.fence = body.get("fence", 0)
        if body["op"] == "repath":
            return self.reroute(body)
        if body["op"] != "place":
            return 400
        if body.get("expected", self.order_count) != self.order_count:
            return 409
        self.order_count += 1
        self.layers = (body["from"], body["target"])
        self.cache.kept.clear()
        return 202

    def reroute(self, body: dict[str, Any]) -> int:
        """Continue a request along another chain; return the response's status code."""
        if body["id"] not in self.running:
            return 404
        chain = [parse_stage(part) for part in body["path"].split(",")]
        if chain[0] != self.running[body["id"]][0] or not self.chain_holds_layers(
            chain
        ):
            return 409
        former = {address for address, _, _ in self.running[body["id"]]}
        self.start_chain(body["id"], chain, former)
        return 200

    def start_chain(
        self,
        request: str,
        chain: list[tuple[str, int, int]],
        former: Collection[str] = (),
    ) -> None:
        """Run a request through a chain from now on.

        Args:
            request: Identifier of the request.
            chain: Address, first layer and layer after the last, for each stage.
            former: Addresses of the engines on which the request is running already.
        """
        self.running[request] = chain
        self.chain_start_counts[request] = {
            address: self.fleet[address].start_count for address, _, _ in chain
        }
        self.chains.setdefault(request, []).append(chain)
        self.on_request(
            request,
            sender.get(),
            [self.fleet[address] for address, _, _ in chain if address not in former],
        )

    def blocking_stages(self, request: str) -> list[str]:
        """Return the addresses of dead, hung or restarted stages of a request."""
        return [
            address
            for address, start_count in self.chain_start_counts.get(request, {}).items()
            if (engine := self.fleet[address]).dead
            or engine.hung
            or engine.start_count != start_count
        ]

    def restart(self) -> None:
        """Restart the engine without layers, requests or orders."""
        super().restart()
        self.layers, self.order_count, self.fence = None, 0, 0
        self.running.clear()
        self.cache.clear()
        self.chain_start_counts.clear()

    def chain_holds_layers(self, chain: list[tuple[str, int, int]]) -> bool:
        """Return whether each engine of a chain holds the layers of its stage."""
        for address, first, last in chain:
            held = self.fleet[address].layers
            if held is None or not held[0] <= first < last <= held[1]:
                return False
        return True

    async def stream(
        self, fields: dict[bytes, bytes], body: bytes, send: Callable
    ) -> None:
        """Run a request through the chain that its header names, and stream events.

        Args:
            fields: Header fields of the request, names in lower case.
            body: Body of the request.
            send: ASGI function that sends the response.
        """
        if fields.get(b"expect-instance", b"").decode() != self.id:
            await send_json(send, 421, {})
            return
        request = fields[b"attempt-id"].decode()
        chain = [parse_stage(part) for part in fields[b"hop-count"].decode().split(",")]
        if not self.chain_holds_layers(chain):
            await send_json(send, 421, {})
            return
        self.start_chain(request, chain)
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"attempt-id", request.encode()),
            (b"response-seal", SIGNATURE),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        after = int(fields.get(b"last-event-id", b"0"))
        start_count = self.start_count
        taken: list[tuple[StandInEngine, int, float]] = []
        try:
            await self.prefill(fields, chain, taken)
            await self.send_events(request, body, after, start_count, send)
        finally:
            for engine, run, size in taken:
                if engine.start_count == run:
                    engine.cache.end_stream(size)

    async def prefill(
        self,
        fields: dict[bytes, bytes],
        chain: list[tuple[str, int, int]],
        taken: list[tuple[StandInEngine, int, float]],
    ) -> None:
        """Wait for the prefill of what the engines of a chain do not hold, and keep it.

        Args:
            fields: Header fields of the request, names in lower case.
            chain: Chain of the stream.
            taken: Gets each engine that takes memory, its start count, and the memory
                in tokens times layers.
        """
        size = parse_generation_size(fields)
        if size is None:
            return
        beginnings = prompt_beginnings(size.prompt_parts)
        tokens = size.prompt_tokens + size.expected_output_tokens
        seconds = 0.0
        for address, first, last in chain:
            engine = self.fleet[address]
            missing = size.prompt_tokens - engine.cache.held_tokens(beginnings)
            seconds += max(0, missing) * (last - first) * engine.prefill_seconds
            memory = float(tokens * (last - first))
            engine.cache.start_stream(memory)
            taken.append((engine, engine.start_count, memory))
        if seconds:
            await trio.sleep(seconds)
        for (engine, run, _), (_, first, last) in zip(taken, chain, strict=True):
            if engine.start_count == run:
                engine.cache.keep(beginnings, last - first)

    async def send_events(
        self, request: str, body: bytes, after: int, start_count: int, send: Callable
    ) -> None:
        """Send the events of a stream.

        Args:
            request: Identifier of the request.
            body: Body of the request.
            after: Number of the event after which the stream begins.
            start_count: Start count of the engine when the stream began.
            send: ASGI function that sends the response.
        """
        for number in range(after + 1, self.events + 1):
            with trio.move_on_after(STALL_SECONDS) as stall:
                while self.start_count == start_count and self.blocking_stages(request):
                    await trio.sleep(EVENT_SECONDS)
            if stall.cancelled_caught or self.start_count != start_count:
                # Returning here makes the server close the connection in the middle
                # of the response.
                return
            event = self.distort(event_bytes(number, body))
            await send({"type": "http.response.body", "body": event, "more_body": True})
            await trio.sleep(EVENT_SECONDS)
        if self.start_count == start_count:
            # Two streams of one request may have run here concurrently; the stream
            # that ends first has already removed the request.
            self.running.pop(request, None)
            self.chain_start_counts.pop(request, None)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


class StandInService(StandInEndpoint):
    """Stand-in for one endpoint of a plain service; counts the runs of each request.

    Args:
        id: Identifier of the endpoint's instance.
    """

    def __init__(self, id: str) -> None:
        super().__init__(id)
        #: Number of runs of each request, by the identifier of the request.
        self.runs: dict[str, int] = {}
        #: Number of future requests that run but whose response is not completed.
        self.lost_answers = 0
        #: Time from the arrival of a request to its response, in seconds.
        self.delay_seconds = 0.0

    async def respond(self, scope: dict, body: bytes, send: Callable) -> None:
        """Respond to one request, and count its run."""
        body = response_bytes(body)
        fields = dict(scope["headers"])
        if fields.get(b"expect-instance", b"").decode() != self.id:
            await send_json(send, 421, {})
            return
        request = fields[b"attempt-id"].decode()
        self.runs[request] = self.runs.get(request, 0) + 1
        self.on_request(request, sender.get(), [self])
        await trio.sleep(self.delay_seconds)
        headers = [
            (b"attempt-id", request.encode()),
            (b"response-seal", SIGNATURE),
            (b"content-length", str(len(body)).encode()),
        ]
        status = FAILED_PATHS.get(scope["path"], 200)
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        if self.lost_answers:
            # Returning before the body is sent makes the server close the connection.
            self.lost_answers -= 1
            return
        await send({"type": "http.response.body", "body": body, "more_body": False})

    def registration(self, address: str) -> dict[str, Any]:
        """Return the registration that the endpoint writes to the store."""
        registration = {"service": "bookings", "address": address, "zone": "anta"}
        state = {"slots": 6, "state": self.state(), "born": self.start_count}
        return registration | state


def response_bytes(body: bytes) -> bytes:
    """Return a plain service's response body to a request with a given body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest().encode()


def event_bytes(number: int, body: bytes) -> bytes:
    """Return one event of the response stream to a request with a given body."""
    return b"id: %d\ndata: token %d of %s\n\n" % (number, number, response_bytes(body))


def parse_stage(part: str) -> tuple[str, int, int]:
    """Parse a stage of a chain into address, first layer and layer after the last."""
    address, _, layers = part.partition("=")
    first, _, last = layers.partition("-")
    return address, int(first), int(last)
