"""Verification of tokens: attempt, position and layer trace."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pistachioreach.endpoints.wire import EndEvent, LayerRun, TokenEvent

__all__ = ["Check", "TokenVerifier", "trace_is_complete"]


class Check(enum.Enum):
    """What the verifier says of one event."""

    #: The event is the next one; pass it on.
    ACCEPT = "accept"
    #: The event is late, crossed or a duplicate; ignore it.
    DROP = "drop"
    #: A token is missing; the attempt cannot go on.
    GAP = "gap"
    #: A layer did not run once, in order; the attempt cannot go on.
    TRACE = "trace"


def trace_is_complete(trace: Sequence[LayerRun], layers: int) -> bool:
    """Whether a trace covers each layer once, in order."""
    expected = 0
    for _, first, last in trace:
        if first != expected or last <= first:
            return False
        expected = last
    return expected == layers


class TokenVerifier:
    """Checks the events of one request against what must come next.

    Args:
        request: Identifier of the request.
        layers: Layers of the model.
        position: Position of the next token.
    """

    def __init__(self, request: str, layers: int, position: int = 0) -> None:
        #: Identifier of the request.
        self.request = request
        #: Layers of the model.
        self.layers = layers
        #: Position of the next token.
        self.position = position
        #: Number of the attempt whose events count.
        self.attempt = 0
        #: Traces already found whole; a chain sends the same one each time.
        self.whole_traces: set[tuple[LayerRun, ...]] = set()

    def start_attempt(self, attempt: int) -> None:
        """Let only the events of one attempt count from now on."""
        self.attempt = attempt
        self.whole_traces.clear()

    def check_token(self, event: TokenEvent) -> Check:
        """Check one token, and move on to the next position if it is right."""
        if event["attempt"] != self.attempt or event["request"] != self.request:
            return Check.DROP
        position = event["position"]
        if position != self.position:
            return Check.DROP if position < self.position else Check.GAP
        trace = tuple(event["trace"])
        if trace not in self.whole_traces:
            if not trace_is_complete(trace, self.layers):
                return Check.TRACE
            self.whole_traces.add(trace)
        self.position = position + 1
        return Check.ACCEPT

    def check_end(self, event: EndEvent) -> Check:
        """Check the event that ends a stream."""
        if event["attempt"] != self.attempt or event["request"] != self.request:
            return Check.DROP
        return Check.ACCEPT if event["count"] == self.position else Check.GAP
