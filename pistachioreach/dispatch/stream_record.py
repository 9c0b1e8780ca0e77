"""Record of the attempts of one stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.work import FailedAttempt
    from pistachioreach.endpoints.directory import Directory, Endpoint

__all__ = ["RESUME_CHECK_SECONDS", "AttemptRecord"]

#: Time, in seconds, after which an answer that has begun tries again if engines cannot
#: be reached or the retry limit is used up: the caller notices no shorter pause.
RESUME_CHECK_SECONDS = 0.1
#: Longest time, in seconds, between two attempts of an answer that has begun. Callers
#: leave a stream after a pause of two seconds or more.
MAX_PAUSE_SECONDS = 1.0
#: Attempts without an event after which the time between attempts begins to double.
#: The retry limit is shared by all requests to a service.
PROMPT_ATTEMPTS = 3

#: Seconds for which an answer that has begun is not sent again to an engine that has
#: refused it. Engines that return without their layers load them for a second or more,
#: and full ones have room again when other streams end.
REFUSED_SECONDS = 1.0


class EngineRun(NamedTuple):
    """Runs of a stream that began on one run of an engine.

    Attributes:
        engine: The engine, or None if another entry has chosen it.
        counts: Whether the engine counts against the attempts of the route. It does
            not if it ended, or was out of reach, after each of the runs.
    """

    engine: Endpoint | None
    counts: bool


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
        #: Number of attempts that were sent since the last event.
        self.fruitless = 0
        #: Engines on which the stream ran or may still run, by the identifier of the
        #: engine's run, or by the number of the attempt through another entry.
        self.engines: dict[str, EngineRun] = {}

    @property
    def was_sent(self) -> bool:
        """Whether an attempt was sent."""
        return self.runs + self.unrun > 0

    @property
    def engine_count(self) -> int:
        """Number of engines that count against the attempts of the route."""
        return sum(run.counts for run in self.engines.values())

    def count_with(self, engine: Endpoint) -> int:
        """Return that number once the stream has run on one more engine."""
        run = self.engines.get(engine.run_id)
        return self.engine_count + (run is None or not run.counts)

    def registered(self, directory: Directory) -> frozenset[str]:
        """Return the ids of the engines that are still registered."""
        return frozenset(
            run.engine.id
            for run in self.engines.values()
            if run.engine is not None and is_registered(run.engine, directory)
        )

    def unregistered(self, directory: Directory) -> list[Endpoint]:
        """Return the engines that count and are no longer registered."""
        return [
            run.engine
            for run in self.engines.values()
            if run.counts
            and run.engine is not None
            and not is_registered(run.engine, directory)
        ]

    def forget_ended(self, engine: Endpoint) -> None:
        """Do not count an engine that has ended."""
        self.engines[engine.run_id] = EngineRun(engine, False)

    def avoided(self, starts: frozenset[str] | None = None) -> frozenset[str]:
        """Return the ids of the engines that the next attempt must not use.

        Args:
            starts: Ids of the engines with which the chain must begin, or None. A
                failure does not exclude them.
        """
        oldest = self.clock.monotonic() - REFUSED_SECONDS
        refusing = (id for id, time in self.refused_at.items() if time > oldest)
        return (self.failed - (starts or frozenset())).union(refusing)

    def add(self, failed: FailedAttempt, progressed: bool) -> None:
        """Add a failed attempt.

        Args:
            failed: The attempt.
            progressed: Whether the caller has received an event of it.
        """
        if progressed:
            self.fruitless = 0
        elif not failed.unreached:
            self.fruitless += 1
        if failed.unreached:
            self.unreached += 1
        elif progressed or failed.may_still_run:
            self.runs += 1
            self.add_engine(failed)
        else:
            self.unrun += 1
        if self.verdict is not Verdict.RAN and failed.verdict is not Verdict.NOT_RUN:
            self.verdict = failed.verdict
        self.failed |= failed.avoid
        if failed.verdict is Verdict.NOT_RUN and not failed.unreached:
            now = self.clock.monotonic()
            self.refused_at |= dict.fromkeys(failed.avoid, now)

    def add_engine(self, failed: FailedAttempt) -> None:
        """Add the engine of an attempt that ran or may still run."""
        if failed.first is None:
            self.engines[f"attempt {self.runs}"] = EngineRun(None, True)
            return
        known = self.engines.get(failed.first.run_id)
        counts = not failed.ended or (known is not None and known.counts)
        self.engines[failed.first.run_id] = EngineRun(failed.first, counts)

    def pause_seconds(self) -> float:
        """Return the time before the next attempt of an answer that has begun.

        It doubles with each attempt without an event, after the first ones.
        """
        doublings = max(0, self.fruitless - PROMPT_ATTEMPTS)
        return min(MAX_PAUSE_SECONDS, RESUME_CHECK_SECONDS * 2**doublings)

    def forget_failures(self) -> None:
        """Let engines that failed be tried again, and later those that refused."""
        self.failed = frozenset()


def is_registered(engine: Endpoint, directory: Directory) -> bool:
    """Return whether the run of an engine is registered.

    After an outage of the store, the same run may be registered anew.
    """
    known = directory.endpoints.get(engine.id)
    return known is not None and known.run_id == engine.run_id
