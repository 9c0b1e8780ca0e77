"""Verification of the attempt, position and layer trace of token events."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pistachioreach.endpoints.wire import EndEvent, LayerRun, TokenEvent

__all__ = ["Check", "TokenVerifier", "trace_is_complete"]


class Check(enum.Enum):
    """Result of the verification of an event."""

    #: The event is the next one and is sent to the caller.
    ACCEPT = "accept"
    #: The event is late, a duplicate, or of another request or attempt, and is ignored.
    DROP = "drop"
    #: A token is missing; the attempt cannot continue.
    GAP = "gap"
    #: The layers did not run exactly once and in order; the attempt cannot continue.
    TRACE = "trace"


def trace_is_complete(trace: Sequence[LayerRun], layers: int) -> bool:
    """Return whether a trace covers each layer exactly once, in order.

    Args:
        trace: Layer ranges that ran, in the order in which they ran.
        layers: Number of layers of the model.
    """
    expected = 0
    for _, first, last in trace:
        if first != expected or last <= first:
            return False
        expected = last
    return expected == layers


class TokenVerifier:
    """Checks that the events of a request arrive completely and in order.

    Args:
        request: Identifier of the request.
        layers: Number of layers of the model.
        position: Position of the next token.
    """

    def __init__(self, request: str, layers: int, position: int = 0) -> None:
        #: Identifier of the request.
        self.request = request
        #: Number of layers of the model.
        self.layers = layers
        #: Position of the next token.
        self.position = position
        #: Number of the current attempt; events of other attempts are dropped.
        self.attempt = 0
        #: Traces of the current attempt that were already found complete. A chain
        #: sends the same trace with each token, so the check runs once.
        self.complete_traces: set[tuple[LayerRun, ...]] = set()

    def start_attempt(self, attempt: int) -> None:
        """Accept only the events of a new attempt from now on."""
        self.attempt = attempt
        self.complete_traces.clear()

    def check_token(self, event: TokenEvent) -> Check:
        """Check a token event and, if it is accepted, advance the position."""
        if event["attempt"] != self.attempt or event["request"] != self.request:
            return Check.DROP
        position = event["position"]
        if position != self.position:
            return Check.DROP if position < self.position else Check.GAP
        trace = tuple(event["trace"])
        if trace not in self.complete_traces:
            if not trace_is_complete(trace, self.layers):
                return Check.TRACE
            self.complete_traces.add(trace)
        self.position = position + 1
        return Check.ACCEPT

    def check_end(self, event: EndEvent) -> Check:
        """Check the event that ends a stream against the number of accepted tokens."""
        if event["attempt"] != self.attempt or event["request"] != self.request:
            return Check.DROP
        return Check.ACCEPT if event["count"] == self.position else Check.GAP
