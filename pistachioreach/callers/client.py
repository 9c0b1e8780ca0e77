"""HTTP client of the router, used by the load generator and the demo."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from pistachioreach.callers.problems import Problem
from pistachioreach.endpoints.connections import read_body
from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["Caller", "Prompt", "StreamAnswer"]

#: Largest number of connections over which one answer is read.
MAX_CONNECTIONS = 8


class Prompt(NamedTuple):
    """Parameters of a generation request.

    Attributes:
        model: Name of the model.
        text: Text of the prompt.
        max_tokens: Length of the answer in tokens.
        deadline_ms: Milliseconds that the answer may take.
        priority: Priority of the request; 0 is the highest.
    """

    model: str
    text: str
    max_tokens: int
    deadline_ms: int = 60_000
    priority: int = 9


class StreamAnswer:
    """A streamed answer that is filled in as its events arrive."""

    def __init__(self) -> None:
        #: Texts of the tokens received so far.
        self.tokens: list[str] = []
        #: Cursor of the last token received; empty before the first token.
        self.cursor = ""
        #: Identifier that the entry assigned to the request.
        self.request = ""
        #: Number of tokens in the complete answer, as the entry reports at its end;
        #: None until then.
        self.token_count: int | None = None
        #: Problem document of a failed request, or None.
        self.problem: Problem | None = None
        #: Number of connections opened so far.
        self.connections = 0

    def is_complete(self) -> bool:
        """Return whether all tokens arrived and the entry confirmed their number."""
        return self.token_count is not None and self.token_count == len(self.tokens)


class Caller:
    """Client that sends requests on behalf of one workspace.

    Args:
        connections: Pool of connections to entries.
        addresses: Addresses of the entries, tried in turn.
        workspace: Name of the workspace.
        credential: Credential of the workspace.
    """

    def __init__(
        self,
        connections: Connections,
        addresses: list[str],
        workspace: str,
        credential: str,
    ) -> None:
        #: Pool of connections to entries.
        self.connections = connections
        #: Addresses of the entries, tried in turn.
        self.addresses = addresses
        #: Name of the workspace.
        self.workspace = workspace
        #: Credential of the workspace.
        self.credential = credential

    def headers(self, deadline_ms: int) -> tuple[tuple[str, str], ...]:
        """Return the header fields that every request carries."""
        return (
            ("Workspace", self.workspace),
            ("Authorization", f"Bearer {self.credential}"),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", str(deadline_ms)),
        )

    async def generate(
        self, prompt: Prompt, on_token: Callable[[int], None] = lambda position: None
    ) -> StreamAnswer:
        """Read an answer, resuming at the last cursor when a connection breaks.

        Each new connection goes to the next entry; reading stops after
        `MAX_CONNECTIONS` connections.

        Args:
            prompt: Parameters of the request.
            on_token: Called with the position of each token that arrives.
        """
        answer = StreamAnswer()
        while answer.token_count is None and answer.problem is None:
            if answer.connections >= MAX_CONNECTIONS:
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
        """Read the part of an answer that arrives over one connection.

        Args:
            address: Address of the entry.
            prompt: Parameters of the request.
            answer: The answer so far; extended by each event.
            on_token: Called with the position of each token that arrives.

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
                content = await read_body(response)
                answer.problem = msgspec.json.decode(content, type=Problem)
                return
            unfinished = b""
            async for chunk in response.aiter_stream():
                block, _, unfinished = (unfinished + chunk).rpartition(b"\n\n")
                for event in block.split(b"\n\n"):
                    add_event(event, answer, on_token)

    async def call(
        self,
        service: str,
        name: str,
        body: bytes,
        key: str,
        deadline_ms: int,
        entry_index: int,
    ) -> HttpResponse:
        """Call a plain service through one entry.

        Args:
            service: Name of the service.
            name: Name of the call.
            body: Body of the call.
            key: Idempotency key, or the empty string for none.
            deadline_ms: Milliseconds that the answer may take.
            entry_index: Index of the entry, taken modulo the number of addresses.

        Raises:
            ConnectionFailed: The entry gave no answer.
        """
        headers = self.headers(deadline_ms)
        if key:
            headers += (("Idempotency-Key", key),)
        address = self.addresses[entry_index % len(self.addresses)]
        path = f"/v1/services/{service}/{name}"
        return await self.connections.call(
            "entry", address, "POST", path, body, headers
        )


def add_event(
    raw: bytes, answer: StreamAnswer, on_token: Callable[[int], None]
) -> None:
    """Add one server-sent event to an answer.

    Args:
        raw: Lines of the event; an event without a type is ignored.
        answer: The answer so far.
        on_token: Called with the position of the token that the event carries.
    """
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
        answer.token_count = data["count"]
        answer.request = data["request"]
    elif kind == b"error":
        answer.problem = data
