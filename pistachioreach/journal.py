"""Journal of decisions: logs each one and keeps recent ones for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from datetime import datetime

    from pistachioreach.clock import Clock

__all__ = ["Decision", "Journal"]

#: Number of requests whose decisions are kept; at 50 requests/s these are the
#: requests of the last 80 seconds.
MAX_KEPT_REQUESTS = 4096


class Decision(NamedTuple):
    """One routing or placement decision.

    Attributes:
        at: Wall time of the decision.
        kind: Kind of the decision, such as `chain` or `admission`.
        choice: What was chosen.
        reason: Short reason for the choice.
        details: What was considered, such as the candidates with their costs.
    """

    at: datetime
    kind: str
    choice: str
    reason: str
    details: dict[str, Any]


class Journal:
    """Logs decisions and keeps those of the latest requests in memory.

    Args:
        clock: Clock that timestamps the decisions.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock that timestamps the decisions.
        self.clock = clock
        #: Decisions by request identifier, the oldest request first.
        self.requests: dict[str, list[Decision]] = {}

    def record(
        self, kind: str, request: str, choice: str, reason: str, **details: Any
    ) -> None:
        """Log and keep one decision; drop those of the oldest request when full.

        Args:
            kind: Kind of the decision, such as `chain` or `admission`.
            request: Identifier of the request, or of the placement order.
            choice: What was chosen.
            reason: Short reason for the choice.
            **details: What was considered; logged as fields of the log line.
        """
        decision = Decision(self.clock.now(), kind, choice, reason, details)
        self.requests.setdefault(request, []).append(decision)
        while len(self.requests) > MAX_KEPT_REQUESTS:
            self.requests.pop(next(iter(self.requests)))
        logger.bind(request=request, choice=choice, reason=reason, **details).info(
            "decision {}", kind
        )

    def explain(self, request: str) -> list[Decision]:
        """Return the decisions on a request, oldest first; empty when unknown."""
        return list(self.requests.get(request, ()))
