"""Stand-ins of model engines that hold ranges of layers, and of a plain service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from pistachioreach.platform.standins.store import answer, read_all
from pistachioreach.server import serve_lifespan

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["StandInEngine", "StandInService", "answer_bytes", "event_bytes"]

#: Seconds between two events of a stream.
EVENT_SECONDS = 0.01
#: Seconds for which a stream waits for a stage that is dead.
STALL_SECONDS = 2.5
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
        self.order_count = 0
        #: Highest fencing token seen.
        self.fence = 0
        #: Whether it is dead: it answers nothing and passes nothing on.
        self.dead = False
        #: Whether it hangs: like a dead one, but it stays registered.
        self.hung = False
        #: Whether it says that it is leaving.
        self.leaving = False
        #: Number of its start.
        self.born = 1
        #: Chain of each running request.
        self.running: dict[str, list[tuple[str, int, int]]] = {}
        #: Start of each engine of the chain of a running request.
        self.births: dict[str, dict[str, int]] = {}
        #: Chains that ran here, by request.
        self.chains: dict[str, list[list[tuple[str, int, int]]]] = {}

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_all(receive)
        while self.dead or self.hung:
            await trio.sleep(EVENT_SECONDS)
        if scope["path"] == "/report":
            await answer(send, 200, self.report())
        elif scope["path"] == "/order":
            await answer(send, self.order(msgspec.json.decode(body)), {})
        else:
            await self.stream(dict(scope["headers"]), body, send)

    def registration(self, address: str, service: str) -> dict[str, Any]:
        """Return what it writes of itself to the store."""
        entry = {
            "service": service,
            "address": address,
            "zone": self.domain,
            "version": "v1",
            "slots": 96,
            "state": "draining" if self.leaving else "ready",
            "cold-left-ms": 0,
            "born": self.born,
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
            for request in self.running
            if (dead := self.broken(request))
        ]
        report = {
            "seq-no": self.order_count,
            "busy": False,
            "kv-used": 0,
            "kv-total": 1,
        }
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
        if body.get("expected", self.order_count) != self.order_count:
            return 409
        self.order_count += 1
        self.layers = (body["from"], body["target"])
        return 202

    def move(self, body: dict[str, Any]) -> int:
        """Let a request go on along another chain and return the status."""
        if body["id"] not in self.running:
            return 404
        chain = [parse_stage(part) for part in body["path"].split(",")]
        if chain[0] != self.running[body["id"]][0] or not self.holds(chain):
            return 409
        self.begin(body["id"], chain)
        return 200

    def begin(self, request: str, chain: list[tuple[str, int, int]]) -> None:
        """Let a request run through a chain from now on."""
        self.running[request] = chain
        self.births[request] = {a: self.fleet[a].born for a, _, _ in chain}
        self.chains.setdefault(request, []).append(chain)

    def broken(self, request: str) -> list[str]:
        """Return the addresses of the stages that a request waits for."""
        return [
            address
            for address, born in self.births.get(request, {}).items()
            if (engine := self.fleet[address]).dead
            or engine.hung
            or engine.born != born
        ]

    def restart(self) -> None:
        """Come back empty, as another run."""
        self.born += 1
        self.layers, self.order_count, self.fence = None, 0, 0
        self.running.clear()
        self.births.clear()
        self.dead = False

    def holds(self, chain: list[tuple[str, int, int]]) -> bool:
        """Whether each engine of a chain holds its part."""
        for address, first, last in chain:
            held = self.fleet[address].layers
            if held is None or not held[0] <= first < last <= held[1]:
                return False
        return True

    async def stream(
        self, fields: dict[bytes, bytes], body: bytes, send: Callable
    ) -> None:
        """Run a request through the chain that it names."""
        if fields.get(b"expect-instance", b"").decode() != self.id:
            await answer(send, 421, {})
            return
        request = fields[b"attempt-id"].decode()
        chain = [parse_stage(part) for part in fields[b"hop-count"].decode().split(",")]
        if not self.holds(chain):
            await answer(send, 421, {})
            return
        self.begin(request, chain)
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"attempt-id", request.encode()),
            (b"response-seal", SEAL),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        after = int(fields.get(b"last-event-id", b"0"))
        born = self.born
        for number in range(after + 1, self.events + 1):
            with trio.move_on_after(STALL_SECONDS) as stall:
                while self.born == born and self.broken(request):
                    await trio.sleep(EVENT_SECONDS)
            if stall.cancelled_caught or self.born != born:
                # Ends the connection in the middle of the answer.
                return
            event = event_bytes(number, body)
            await send({"type": "http.response.body", "body": event, "more_body": True})
            await trio.sleep(EVENT_SECONDS)
        if self.born == born:
            # The same request may have run here twice at a time.
            self.running.pop(request, None)
            self.births.pop(request, None)
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
        #: Whether it says that it is leaving.
        self.leaving = False
        #: Answers that are still to be lost after their request ran.
        self.lost_answers = 0

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = answer_bytes(await read_all(receive))
        fields = dict(scope["headers"])
        if fields.get(b"expect-instance", b"").decode() != self.id:
            await answer(send, 421, {})
            return
        request = fields[b"attempt-id"].decode()
        self.runs[request] = self.runs.get(request, 0) + 1
        headers = [
            (b"attempt-id", request.encode()),
            (b"response-seal", SEAL),
            (b"content-length", str(len(body)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if self.lost_answers:
            # Ends the connection before the body.
            self.lost_answers -= 1
            return
        await send({"type": "http.response.body", "body": body, "more_body": False})

    def registration(self, address: str) -> dict[str, Any]:
        """Return what it writes of itself to the store."""
        state = "draining" if self.leaving else "ready"
        entry = {"service": "bookings", "address": address, "zone": "anta"}
        return entry | {"slots": 6, "state": state, "born": 1}


def answer_bytes(body: bytes) -> bytes:
    """Return a plain service's answer to a request with a body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest().encode()


def event_bytes(number: int, body: bytes) -> bytes:
    """Return one event of the stream that answers a request with a body."""
    return b"id: %d\ndata: token %d of %s\n\n" % (number, number, answer_bytes(body))


def parse_stage(part: str) -> tuple[str, int, int]:
    """Return address, first layer and the layer after the last of a stage."""
    address, _, layers = part.partition("=")
    first, _, last = layers.partition("-")
    return address, int(first), int(last)
