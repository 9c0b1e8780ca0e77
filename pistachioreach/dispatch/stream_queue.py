"""Record of the queue's decisions on streams, in the journal and the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.routing.stream_waiters import HELD_BACK, REFUSED, WAITS

if TYPE_CHECKING:
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.journal import Journal
    from pistachioreach.metrics import Metrics
    from pistachioreach.routing.stream_waiters import QueueDecision

__all__ = ["QueueRecord"]

#: Maximum number of workspaces and of priorities with their own label in the metrics.
#: A deployment has up to 2,700 workspaces, each of which would add time series.
MAX_LABELS = 64
#: Label of all further workspaces and priorities.
OTHER_LABEL = "other"
#: Label of requests without a workspace.
NO_WORKSPACE_LABEL = "none"


class QueueRecord:
    """Writes the decisions on queued and refused streams to journal and metrics.

    Args:
        journal: Journal of the decisions.
        metrics: Counters and gauges.
    """

    def __init__(self, journal: Journal, metrics: Metrics) -> None:
        #: Journal of the decisions.
        self.journal = journal
        #: Counters and gauges.
        self.metrics = metrics
        #: Workspaces with their own label.
        self.workspaces: set[str] = set()
        #: Priorities with their own label.
        self.priorities: set[str] = set()

    def labels(self, workspace: str | None, priority: int) -> dict[str, str]:
        """Return the labels of a stream, whose number is bounded."""
        return {
            "priority": bounded_label(str(priority), self.priorities),
            "workspace": bounded_label(
                workspace or NO_WORKSPACE_LABEL, self.workspaces
            ),
        }

    def record(self, routed: RoutedRequest, decision: QueueDecision) -> None:
        """Record a decision on a stream.

        The journal names who was ahead: the tokens by tier, what the workspace ran
        and its share, and how old the reports were on which this rests.
        """
        labels = self.labels(routed.workspace, routed.priority)
        if decision.choice == WAITS:
            self.metrics.change("streams_waiting", 1, **labels)
        elif decision.choice == HELD_BACK:
            self.metrics.incr("streams_held_back", **labels)
        elif decision.queued:
            self.metrics.change("streams_waiting", -1, **labels)
        if decision.choice == REFUSED:
            self.metrics.incr("streams_refused", **labels)
        share, age = decision.share, decision.report_age
        self.journal.record(
            "queue",
            routed.request.id,
            decision.choice,
            decision.reason,
            workspace=routed.workspace,
            tier=decision.tier,
            waited=round(decision.waited, 4),
            ahead={tier: round(tokens) for tier, tokens in decision.ahead.items()},
            running_tokens=round(decision.running_tokens),
            share=None if share is None else round(share),
            report_age=None if age is None else round(age, 3),
        )


def bounded_label(name: str, known: set[str]) -> str:
    """Return the label of a name: itself, or `OTHER_LABEL` if there are too many."""
    if name not in known and len(known) >= MAX_LABELS:
        return OTHER_LABEL
    known.add(name)
    return name
