"""The journal of decisions: a log line each, and the latest kept for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from datetime import datetime

    from pistachioreach.clock import Clock

__all__ = ["Decision", "Journal"]

#: Requests whose decisions are kept; at 50 requests/s the last 80 seconds.
KEPT_REQUESTS = 4096


class Decision(NamedTuple):
    """One routing or placement decision.

    Attributes:
        at: When it was taken.
        kind: What was decided, as `chain` or `admission`.
        choice: What was chosen.
        reason: Why, in a few words.
        details: What was weighed, such as the candidates with their costs.
    """

    at: datetime
    kind: str
    choice: str
    reason: str
    details: dict[str, Any]


class Journal:
    """Writes decisions to the log and keeps those of the latest requests.

    Args:
        clock: Clock of the decisions' times.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock of the decisions' times.
        self.clock = clock
        #: Decisions by request, the oldest request first.
        self.requests: dict[str, list[Decision]] = {}

    def record(
        self, kind: str, request: str, choice: str, reason: str, **details: Any
    ) -> None:
        """Write and keep one decision.

        Args:
            kind: What was decided, as `chain` or `admission`.
            request: Identifier of the request, or of the order.
            choice: What was chosen.
            reason: Why, in a few words.
            **details: What was weighed.
        """
        decision = Decision(self.clock.now(), kind, choice, reason, details)
        self.requests.setdefault(request, []).append(decision)
        while len(self.requests) > KEPT_REQUESTS:
            self.requests.pop(next(iter(self.requests)))
        logger.bind(request=request, choice=choice, reason=reason, **details).info(
            "decision {}", kind
        )

    def explain(self, request: str) -> list[Decision]:
        """Return the decisions on a request, oldest first; none when unknown."""
        return list(self.requests.get(request, ()))
