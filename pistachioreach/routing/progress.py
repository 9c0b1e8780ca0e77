"""Which engines make progress, and how slow they are, by the streams' events.

Answers engines that die, hang or turn slow without a word: an engine is suspect
while no stream through it goes on, and its pace is learned from the time between
events. No probes are sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from pistachioreach.clock import Clock
    from pistachioreach.routing.paths import Path, PathStage

__all__ = ["Progress"]

#: Share of the error between expected and seen times that one event corrects.
LEARNING_RATE = 0.1
#: Bounds of the learned factor on an engine's normal times. None is much faster
#: than normal, so that the engines beside a slow one are told from it.
LEAST_FACTOR = 0.8
MOST_FACTOR = 20.0
#: Factor of an engine that may be the cause of a silence.
DOUBT_FACTOR = 3.0
#: Most milliseconds of one event that count; longer pauses are stalls.
LONGEST_EVENT_MS = 400.0
#: Weight of a new observation in the moving average of times between events.
SMOOTHING = 0.2
#: Usual times between events for which an engine may be silent.
USUAL_GAPS = 4.0
#: Longest time in seconds for which an engine may be silent; callers leave after
#: two seconds.
LONGEST_PATIENCE = 0.4
#: Seconds after which half of what was learned of an engine is forgotten, so
#: that one that is avoided is tried again.
FORGET_SECONDS = 4.0


class Progress:
    """What the events of this entry's streams tell of the engines.

    Args:
        clock: Clock of the events.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock of the events.
        self.clock = clock
        #: Monotonic time of the last event through each engine.
        self.last_events: dict[str, float] = {}
        #: Moving average of the seconds between a stream's events, by engine.
        self.event_gaps: dict[str, float] = {}
        #: Learned factor on each engine's normal times, and when it was learned.
        self.slowdowns: dict[str, tuple[float, float]] = {}

    def record_event(self, path: Path, now: float, gap: float | None) -> None:
        """Note an event of a stream.

        Args:
            path: Chain of the stream.
            now: Monotonic time of the event, the same as the stream's own.
            gap: Seconds since its event before, or None for the first.
        """
        for stage in path.stages:
            self.last_events[stage.endpoint.id] = now
        if gap is not None:
            self.note_gap(path, gap)
            self.learn(path, min(gap * 1000, LONGEST_EVENT_MS), now)

    def note_gap(self, path: Path, gap: float) -> None:
        """Note the time between two events of a stream for each engine."""
        for stage in path.stages:
            average = self.event_gaps.get(stage.endpoint.id, gap)
            self.event_gaps[stage.endpoint.id] = average + SMOOTHING * (gap - average)

    def learn(self, path: Path, seen_ms: float, now: float) -> None:
        """Correct the factors by the time of one event.

        This is the normalized least mean squares rule: each stage takes a part
        of the error in proportion to its expected time.
        """
        factors = [self.slowdown(stage.endpoint.id) for stage in path.stages]
        pairs = zip(path.stage_ms, factors, strict=True)
        error = seen_ms - path.other_ms - sum(ms * factor for ms, factor in pairs)
        scale = LEARNING_RATE * error / sum(ms * ms for ms in path.stage_ms)
        for stage, ms, factor in zip(path.stages, path.stage_ms, factors, strict=True):
            learned = min(MOST_FACTOR, max(LEAST_FACTOR, factor + scale * ms))
            self.slowdowns[stage.endpoint.id] = (learned, now)

    def penalize(self, engines: Collection[str]) -> None:
        """Note that a stream fell silent for want of one of some engines.

        Other chains are preferred until events through them prove them well.
        """
        now = self.clock.monotonic()
        for engine in engines:
            self.slowdowns[engine] = (max(DOUBT_FACTOR, self.slowdown(engine)), now)

    def slowdown(self, engine: str) -> float:
        """Return the factor on an engine's normal times."""
        learned = self.slowdowns.get(engine)
        if learned is None:
            return 1.0
        value, at = learned
        age = self.clock.monotonic() - at
        return 1.0 + (value - 1.0) * 0.5 ** (age / FORGET_SECONDS)

    def silent_stages(self, path: Path, since: float) -> list[PathStage]:
        """Return the stages through which no stream has gone on since a time.

        A stage is passed over while it has been silent no longer than a few of
        the usual times between events: it is slow, and not dead.
        """
        now = self.clock.monotonic()
        return [
            stage
            for stage in path.stages
            if not self.progressed_since(stage.endpoint.id, since)
            and now - self.last_event(stage.endpoint.id)
            > self.patience(stage.endpoint.id)
        ]

    def last_event(self, engine: str) -> float:
        """Return the monotonic time of the last event through an engine."""
        return self.last_events.get(engine, float("-inf"))

    def progressed_since(self, engine: str, since: float) -> bool:
        """Whether a stream through an engine has gone on since a time."""
        return self.last_event(engine) > since

    def patience(self, engine: str) -> float:
        """Return the seconds for which an engine may be silent while it is well."""
        return min(LONGEST_PATIENCE, USUAL_GAPS * self.event_gaps.get(engine, 0.0))
