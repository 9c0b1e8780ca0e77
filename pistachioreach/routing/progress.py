"""Detection of dead and slow engines from the events of the streams.

Engines may die, hang or become slow without any error. An engine is suspected while
no stream through it makes progress, and its speed is estimated from the times between
the events of its streams. No probes are sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from pistachioreach.clock import Clock
    from pistachioreach.routing.paths import Path, PathStage

__all__ = ["Progress"]

#: Fraction of the error between expected and observed time that one event corrects.
LEARNING_RATE = 0.1
#: Bounds of the estimated slowdown of an engine. No engine is much faster than normal.
#: With the lower bound, the estimate tells a slow engine from the others of its chain.
MIN_SLOWDOWN = 0.8
MAX_SLOWDOWN = 20.0
#: Minimum slowdown that is assumed for an engine that may have silenced a stream.
SUSPECT_SLOWDOWN = 3.0
#: Maximum time of one event that enters the estimate, in milliseconds. Longer pauses
#: are stalls.
MAX_EVENT_MS = 400.0
#: Weight of a new observation in the moving average of the times between events.
SMOOTHING = 0.2
#: Maximum silence of a live engine, as a multiple of the usual time between events.
SILENCE_GAPS = 4.0
#: Maximum silence of a live engine, in seconds. Callers disconnect after two seconds.
MAX_SILENCE_SECONDS = 0.4
#: Half-life of an estimated slowdown, in seconds. The estimate decays so that an engine
#: that is avoided is tried again.
SLOWDOWN_HALF_LIFE_SECONDS = 4.0


class Progress:
    """The progress and the speed of the engines, estimated from stream events.

    Only events of this entry's own streams are used.

    Args:
        clock: Clock by which events are timed.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which events are timed.
        self.clock = clock
        #: Monotonic time of the last event through each engine, by engine id.
        self.last_events: dict[str, float] = {}
        #: Moving average of the time between two events of a stream through each
        #: engine, in seconds, by engine id.
        self.event_gaps: dict[str, float] = {}
        #: Estimated factor on the normal times of each engine, and the monotonic time
        #: of the estimate, by engine id.
        self.slowdowns: dict[str, tuple[float, float]] = {}

    def record_event(self, path: Path, now: float, gap: float | None) -> None:
        """Record an event of a stream for all engines of its chain.

        Args:
            path: Chain of the stream.
            now: Monotonic time of the event, equal to the time that the stream itself
                records.
            gap: Time since the previous event of the stream in seconds, or None for
                the first event.
        """
        for stage in path.stages:
            self.last_events[stage.endpoint.id] = now
        if gap is not None:
            self.record_gap(path, gap)
            self.update_slowdowns(path, min(gap * 1000, MAX_EVENT_MS), now)

    def record_gap(self, path: Path, gap: float) -> None:
        """Add the time between two events to the moving averages of the engines."""
        for stage in path.stages:
            average = self.event_gaps.get(stage.endpoint.id, gap)
            self.event_gaps[stage.endpoint.id] = average + SMOOTHING * (gap - average)

    def update_slowdowns(self, path: Path, observed_ms: float, now: float) -> None:
        """Correct the estimated slowdowns by the time of one event.

        Uses the normalized least mean squares (NLMS) rule: each stage takes a part of
        the error that is proportional to the stage's expected time.

        Args:
            path: Chain of the stream.
            observed_ms: Time since the previous event, in milliseconds.
            now: Monotonic time of the event.
        """
        factors = [self.slowdown(stage.endpoint.id) for stage in path.stages]
        pairs = zip(path.stage_ms, factors, strict=True)
        error = (
            observed_ms - path.overhead_ms - sum(ms * factor for ms, factor in pairs)
        )
        scale = LEARNING_RATE * error / sum(ms * ms for ms in path.stage_ms)
        for stage, ms, factor in zip(path.stages, path.stage_ms, factors, strict=True):
            updated = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, factor + scale * ms))
            self.slowdowns[stage.endpoint.id] = (updated, now)

    def penalize(self, engines: Collection[str]) -> None:
        """Raise the slowdown of engines of which one may have silenced a stream.

        Other chains are then preferred until events through the engines lower their
        estimates again, or the estimates decay.

        Args:
            engines: Ids of the engines.
        """
        now = self.clock.monotonic()
        for engine in engines:
            self.slowdowns[engine] = (
                max(SUSPECT_SLOWDOWN, self.slowdown(engine)),
                now,
            )

    def slowdown(self, engine: str) -> float:
        """Return the estimated factor on the normal times of an engine.

        The factor is 1 for an engine of normal speed. An estimate decays towards 1
        with its age.
        """
        estimate = self.slowdowns.get(engine)
        if estimate is None:
            return 1.0
        value, estimated_at = estimate
        age = self.clock.monotonic() - estimated_at
        return 1.0 + (value - 1.0) * 0.5 ** (age / SLOWDOWN_HALF_LIFE_SECONDS)

    def silent_stages(
        self, path: Path, since: float, gaps: float = SILENCE_GAPS
    ) -> list[PathStage]:
        """Return the stages through which no stream has made progress since a time.

        A stage that has been silent for only a few of its usual times between events
        is left out: its engine is slow, and not dead.

        Args:
            path: Chain of the stream.
            since: Monotonic time.
            gaps: Maximum silence of a live engine, as a multiple of the usual time
                between its events.
        """
        now = self.clock.monotonic()
        return [
            stage
            for stage in path.stages
            if not self.progressed_since(stage.endpoint.id, since)
            and now - self.last_event(stage.endpoint.id)
            > self.max_silence(stage.endpoint.id, gaps)
        ]

    def last_event(self, engine: str) -> float:
        """Return the monotonic time of the last event through an engine.

        Returns minus infinity if there was no event.
        """
        return self.last_events.get(engine, float("-inf"))

    def progressed_since(self, engine: str, since: float) -> bool:
        """Return whether any stream through an engine got an event after a time."""
        return self.last_event(engine) > since

    def max_silence(self, engine: str, gaps: float) -> float:
        """Return how long a live engine may be silent, in seconds.

        Args:
            engine: Id of the engine.
            gaps: The same as a multiple of the usual time between its events.
        """
        return min(MAX_SILENCE_SECONDS, gaps * self.event_gaps.get(engine, 0.0))
