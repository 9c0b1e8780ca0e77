"""What the stand-ins for engines and for plain services have in common."""

from __future__ import annotations

from contextvars import ContextVar
from typing import TYPE_CHECKING

import trio

from pistachioreach.platform.standins.store import read_all
from pistachioreach.server import serve_lifespan

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["BY_REMOVAL", "BY_REPORT", "BY_STATEMENT", "StandInEndpoint", "sender"]

#: Seconds between two checks of whether an endpoint responds again.
CHECK_SECONDS = 0.01
#: Ways in which an endpoint that goes on serving leaves: its registration says so, its
#: registration is removed, or only its responses say so.
BY_REPORT, BY_REMOVAL, BY_STATEMENT = "report", "removal", "statement"
#: Header field of the responses of an endpoint that states that it is leaving.
LEAVING_FIELD = (b"server-leaving", b"1")
#: IP address from which the request came that the current task handles.
sender = ContextVar("sender", default="")


class StandInEndpoint:
    """What the stand-ins for engines and for plain services have in common.

    Args:
        id: Identifier of the endpoint's instance.
    """

    def __init__(self, id: str) -> None:
        #: Identifier of the endpoint's instance.
        self.id = id
        #: Whether the endpoint is dead: it neither responds nor runs its requests.
        self.dead = False
        #: Whether the endpoint hangs: it behaves as if dead but stays registered.
        self.hung = False
        #: Way in which the endpoint is leaving, or an empty string.
        self.leaving = ""
        #: Number of times that the endpoint has started.
        self.start_count = 1
        #: Called with each request that the endpoint begins to run, the IP address that
        #: it came from, and the endpoints that it newly runs on.
        self.on_request: Callable[[str, str, Sequence[StandInEndpoint]], None] = (
            lambda *_: None
        )

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_all(receive)
        while self.dead or self.hung:
            await trio.sleep(CHECK_SECONDS)

        async def send_statement(message: dict) -> None:
            if (
                self.leaving == BY_STATEMENT
                and message["type"] == "http.response.start"
            ):
                fields = (*message["headers"], LEAVING_FIELD)
                message = message | {"headers": fields}
            await send(message)

        sender.set((scope.get("client") or ("", 0))[0])
        await self.respond(scope, body, send_statement)

    async def respond(self, scope: dict, body: bytes, send: Callable) -> None:
        """Respond to one request.

        Args:
            scope: ASGI scope of the request.
            body: Body of the request.
            send: ASGI function that sends the response.
        """
        raise NotImplementedError

    def state(self) -> str:
        """Return the state that the endpoint registers."""
        return "draining" if self.leaving == BY_REPORT else "ready"

    def registered(self) -> bool:
        """Return whether the store holds a registration of the endpoint."""
        return not self.dead and self.leaving != BY_REMOVAL

    def restart(self) -> None:
        """Start a new run, which is not leaving."""
        self.start_count += 1
        self.dead, self.leaving = False, ""
