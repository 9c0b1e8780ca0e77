"""Record of the attempts of one stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.work import FailedAttempt

__all__ = ["AttemptRecord"]

#: Seconds for which an answer that has begun is not sent again to an engine that has
#: refused it. Engines that return without their layers load them for a second or more,
#: and full ones have room again when other streams end.
REFUSED_SECONDS = 1.0


class AttemptRecord:
    """Attempts of one stream so far.

    Args:
        clock: Clock by which engines are avoided.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which engines are avoided.
        self.clock = clock
        #: Number of attempts that ran or may still run.
        self.runs = 0
        #: Number of attempts that were sent and run nowhere.
        self.unrun = 0
        #: Number of attempts that were not sent.
        self.unreached = 0
        #: What the attempts say of whether the request may have run.
        self.verdict = Verdict.NOT_RUN
        #: Ids of engines that failed, until `forget_failures`.
        self.failed: frozenset[str] = frozenset()
        #: Monotonic time in seconds of the last refusal of each engine, by id.
        self.refused_at: dict[str, float] = {}

    @property
    def was_sent(self) -> bool:
        """Whether an attempt was sent."""
        return self.runs + self.unrun > 0

    def avoided(self) -> frozenset[str]:
        """Return the ids of the engines that the next attempt must not use."""
        oldest = self.clock.monotonic() - REFUSED_SECONDS
        refusing = (id for id, time in self.refused_at.items() if time > oldest)
        return self.failed.union(refusing)

    def add(self, failed: FailedAttempt, progressed: bool) -> None:
        """Add a failed attempt.

        Args:
            failed: The attempt.
            progressed: Whether the caller has received an event of it.
        """
        if failed.unreached:
            self.unreached += 1
        elif progressed or failed.may_still_run:
            self.runs += 1
        else:
            self.unrun += 1
        if self.verdict is not Verdict.RAN and failed.verdict is not Verdict.NOT_RUN:
            self.verdict = failed.verdict
        self.failed |= failed.avoid
        if failed.verdict is Verdict.NOT_RUN and not failed.unreached:
            now = self.clock.monotonic()
            self.refused_at |= dict.fromkeys(failed.avoid, now)

    def forget_failures(self) -> None:
        """Let engines that failed be tried again, and later those that refused."""
        self.failed = frozenset()
