"""A caller of the router, as the load tool and the demo use it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from pistachioreach.callers.problems import Problem
from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["Caller", "Prompt", "StreamAnswer"]

#: Connections over which one answer is read at most.
MOST_CONNECTIONS = 8


class Prompt(NamedTuple):
    """A request for an answer.

    Attributes:
        model: Name of the model.
        text: The prompt.
        max_tokens: Length of the answer.
        deadline_ms: Milliseconds that the answer may take.
        priority: Priority, 0 the highest.
    """

    model: str
    text: str
    max_tokens: int
    deadline_ms: int = 60_000
    priority: int = 9


class StreamAnswer:
    """An answer as it arrives."""

    def __init__(self) -> None:
        #: Tokens so far.
        self.tokens: list[str] = []
        #: Cursor of the last token.
        self.cursor = ""
        #: Identifier that the entry gave the request.
        self.request = ""
        #: Tokens that the entry says the whole answer has, or None.
        self.count: int | None = None
        #: Problem document, when the request failed.
        self.problem: Problem | None = None
        #: Connections used.
        self.connections = 0

    def whole(self) -> bool:
        """Whether every token has arrived, and the entry confirms their number."""
        return self.count is not None and self.count == len(self.tokens)


class Caller:
    """One workspace's caller.

    Args:
        connections: Connections to entries.
        addresses: Addresses of the entries, tried in turn.
        workspace: Name of the workspace.
        credential: Its credential.
    """

    def __init__(
        self,
        connections: Connections,
        addresses: list[str],
        workspace: str,
        credential: str,
    ) -> None:
        #: Connections to entries.
        self.connections = connections
        #: Addresses of the entries.
        self.addresses = addresses
        #: Name of the workspace.
        self.workspace = workspace
        #: Its credential.
        self.credential = credential

    def headers(self, deadline_ms: int) -> tuple[tuple[str, str], ...]:
        """Return the header fields of each request."""
        return (
            ("Workspace", self.workspace),
            ("Authorization", f"Bearer {self.credential}"),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", str(deadline_ms)),
        )

    async def generate(
        self, prompt: Prompt, on_token: Callable[[int], None] = lambda position: None
    ) -> StreamAnswer:
        """Read an answer, reconnecting with its cursor when a connection breaks.

        Args:
            prompt: What to ask.
            on_token: Called with the position of each token.
        """
        answer = StreamAnswer()
        while answer.count is None and answer.problem is None:
            if answer.connections >= MOST_CONNECTIONS:
                break
            address = self.addresses[answer.connections % len(self.addresses)]
            answer.connections += 1
            try:
                await self.read_stream(address, prompt, answer, on_token)
            except ConnectionFailed:
                continue
        return answer

    async def read_stream(
        self,
        address: str,
        prompt: Prompt,
        answer: StreamAnswer,
        on_token: Callable[[int], None],
    ) -> None:
        """Read one connection's part of an answer.

        Raises:
            ConnectionFailed: The connection broke.
        """
        body = {
            "model": prompt.model,
            "prompt": prompt.text,
            "max_tokens": prompt.max_tokens,
            "received": answer.tokens,
        }
        headers = self.headers(prompt.deadline_ms)
        headers += (("Priority", str(prompt.priority)),)
        if answer.cursor:
            headers += (("Last-Event-ID", answer.cursor),)
        raw = msgspec.json.encode(body)
        async with self.connections.stream(
            "entry", address, "POST", "/v1/generate", raw, headers
        ) as response:
            if response.status != 200:
                content = await response.aread()
                answer.problem = msgspec.json.decode(content, type=Problem)
                return
            rest = b""
            async for chunk in response.aiter_stream():
                block, _, rest = (rest + chunk).rpartition(b"\n\n")
                for event in block.split(b"\n\n"):
                    take_event(event, answer, on_token)

    async def call(
        self, service: str, name: str, body: bytes, key: str, deadline_ms: int, at: int
    ) -> HttpResponse:
        """Make a call to a plain service through one entry.

        Raises:
            ConnectionFailed: No answer.
        """
        headers = self.headers(deadline_ms)
        if key:
            headers += (("Idempotency-Key", key),)
        address = self.addresses[at % len(self.addresses)]
        path = f"/v1/services/{service}/{name}"
        return await self.connections.call(
            "entry", address, "POST", path, body, headers
        )


def take_event(
    raw: bytes, answer: StreamAnswer, on_token: Callable[[int], None]
) -> None:
    """Add one server-sent event to an answer."""
    fields = dict(line.split(b": ", 1) for line in raw.split(b"\n") if b": " in line)
    kind = fields.get(b"event")
    if kind is None:
        return
    data = msgspec.json.decode(fields[b"data"])
    if kind == b"token":
        answer.tokens.append(data["text"])
        answer.cursor = fields[b"id"].decode("ascii")
        on_token(data["position"])
    elif kind == b"finish":
        answer.count = data["count"]
        answer.request = data["request"]
    elif kind == b"error":
        answer.problem = data
