"""Stand-ins of model engines that hold ranges of layers, and of a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from pistachioreach.platform.standins.store import answer, read_all
from pistachioreach.server import serve_lifespan

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["StandInEngine", "StandInService", "event_bytes"]

#: Seconds between two events of a stream.
EVENT_SECONDS = 0.01
#: Signature of all answers.
SEAL = b"stand-in"


class StandInEngine:
    """One engine as an ASGI application; a chain's first engine sends its events.

    Args:
        id: Name of its run.
        card: Kind of its accelerator.
        domain: Failure domain that it stands in.
        fleet: All engines by address, itself included.
        events: Events of each answer.
    """

    def __init__(
        self, id: str, card: str, domain: str, fleet: dict, events: int = 30
    ) -> None:
        #: Name of its run.
        self.id = id
        #: Kind of its accelerator.
        self.card = card
        #: Failure domain that it stands in.
        self.domain = domain
        #: All engines by address.
        self.fleet = fleet
        #: Events of each answer.
        self.events = events
        #: Layers that it holds: first, and the one after the last.
        self.layers: tuple[int, int] | None = None
        #: Orders begun.
        self.orders = 0
        #: Highest fencing token seen.
        self.fence = 0
        #: Whether it is dead: it answers nothing and passes nothing on.
        self.dead = False
        #: Chain of each running request.
        self.running: dict[str, list[tuple[str, int, int]]] = {}
        #: Chains that ran here, by request.
        self.chains: dict[str, list[list[tuple[str, int, int]]]] = {}

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_all(receive)
        while self.dead:
            await trio.sleep(EVENT_SECONDS)
        if scope["path"] == "/report":
            await answer(send, 200, self.report())
        elif scope["path"] == "/order":
            await answer(send, self.order(msgspec.json.decode(body)), {})
        else:
            await self.stream(dict(scope["headers"]), send)

    def registration(self, address: str, service: str) -> dict[str, Any]:
        """Return what it writes of itself to the store."""
        entry = {
            "service": service,
            "address": address,
            "zone": self.domain,
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold-left-ms": 0,
            "born": 1,
            "kind": self.card,
            "seq-no": 1,
        }
        if self.layers is not None:
            first, last = self.layers
            entry["layers"] = {"from": first, "target": last, "version": 1}
        return entry

    def report(self) -> dict[str, Any]:
        """Return its report."""
        stalled = [
            {"id": request, "address": dead[0]}
            for request, chain in self.running.items()
            if (dead := [a for a, _, _ in chain if self.fleet[a].dead])
        ]
        report = {"seq-no": self.orders, "busy": False, "kv-used": 0, "kv-total": 1}
        return report | {"stalled": stalled}

    def order(self, body: dict[str, Any]) -> int:
        """Carry out an order and return the status."""
        if body.get("fence", 0) < self.fence:
            return 412
        self.fence = body.get("fence", 0)
        if body["op"] == "repath":
            return self.move(body)
        if body["op"] != "place":
            return 400
        if body.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.layers = (body["from"], body["target"])
        return 202

    def move(self, body: dict[str, Any]) -> int:
        """Let a request go on along another chain and return the status."""
        if body["id"] not in self.running:
            return 404
        chain = [parse_stage(part) for part in body["path"].split(",")]
        if chain[0] != self.running[body["id"]][0] or not self.holds(chain):
            return 409
        self.running[body["id"]] = chain
        self.chains[body["id"]].append(chain)
        return 200

    def holds(self, chain: list[tuple[str, int, int]]) -> bool:
        """Whether each engine of a chain holds its part."""
        for address, first, last in chain:
            held = self.fleet[address].layers
            if held is None or not held[0] <= first < last <= held[1]:
                return False
        return True

    async def stream(self, fields: dict[bytes, bytes], send: Callable) -> None:
        """Run a request through the chain that it names."""
        if fields.get(b"expect-instance", b"").decode() != self.id:
            await answer(send, 421, {})
            return
        request = fields[b"attempt-id"].decode()
        chain = [parse_stage(part) for part in fields[b"hop-count"].decode().split(",")]
        if not self.holds(chain):
            await answer(send, 421, {})
            return
        self.running[request] = chain
        self.chains.setdefault(request, []).append(chain)
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"attempt-id", request.encode()),
            (b"response-seal", SEAL),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        after = int(fields.get(b"last-event-id", b"0"))
        for number in range(after + 1, self.events + 1):
            while any(self.fleet[a].dead for a, _, _ in self.running[request]):
                await trio.sleep(EVENT_SECONDS)
            event = event_bytes(number)
            await send({"type": "http.response.body", "body": event, "more_body": True})
            await trio.sleep(EVENT_SECONDS)
        del self.running[request]
        await send({"type": "http.response.body", "body": b"", "more_body": False})


class StandInService:
    """A server of a plain service; counts how often each request ran.

    Args:
        id: Name of its run.
    """

    def __init__(self, id: str) -> None:
        #: Name of its run.
        self.id = id
        #: How often each request ran.
        self.runs: dict[str, int] = {}
        #: Answers that are still to be lost after their request ran.
        self.lost_answers = 0

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        await read_all(receive)
        fields = dict(scope["headers"])
        if fields.get(b"expect-instance", b"").decode() != self.id:
            await answer(send, 421, {})
            return
        request = fields[b"attempt-id"].decode()
        self.runs[request] = self.runs.get(request, 0) + 1
        headers = [
            (b"attempt-id", request.encode()),
            (b"response-seal", SEAL),
            (b"content-length", b"4"),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if self.lost_answers:
            # Ends the connection before the body.
            self.lost_answers -= 1
            return
        await send({"type": "http.response.body", "body": b"done", "more_body": False})


def event_bytes(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def parse_stage(part: str) -> tuple[str, int, int]:
    """Return address, first layer and the layer after the last of a stage."""
    address, _, layers = part.partition("=")
    first, _, last = layers.partition("-")
    return address, int(first), int(last)
