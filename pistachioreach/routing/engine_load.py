"""What runs on each engine, by this entry's own work and the others' reports."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["NO_LOAD", "EngineLoad", "LoadTracker", "Reservation"]

#: Seconds after which another entry's report counts for nothing.
REPORT_LIFETIME = 3.0


class EngineLoad(NamedTuple):
    """Work on one engine.

    Attributes:
        streams: Streams that run through it.
        memory: Memory that they need, in tokens times layers.
    """

    streams: int
    memory: float


class Reservation(NamedTuple):
    """What one stream takes of the engines of its chain.

    Attributes:
        engines: Id of each engine, with its memory in tokens times layers.
    """

    engines: tuple[tuple[str, float], ...]


#: No work.
NO_LOAD = EngineLoad(0, 0.0)


class LoadTracker:
    """Work on all engines, as one entry knows it.

    The entries choose chains apart from each other. Each counts its own streams
    exactly and adds what the others told of theirs a moment ago.
    """

    def __init__(self) -> None:
        #: This entry's own work by engine.
        self.own: dict[str, EngineLoad] = {}
        #: The others' work by entry: monotonic time of the report, and by engine.
        self.others: dict[str, tuple[float, dict[str, EngineLoad]]] = {}
        #: The others' work by engine.
        self.summed: dict[str, EngineLoad] = {}

    def add_stream(self, reservation: Reservation) -> None:
        """Count a stream that begins."""
        for engine, memory in reservation.engines:
            load = self.own.get(engine, NO_LOAD)
            self.own[engine] = EngineLoad(load.streams + 1, load.memory + memory)

    def remove_stream(self, reservation: Reservation) -> None:
        """Count a stream no longer."""
        for engine, memory in reservation.engines:
            load = self.own.get(engine, NO_LOAD)
            if load.streams <= 1:
                self.own.pop(engine, None)
            else:
                left = max(0.0, load.memory - memory)
                self.own[engine] = EngineLoad(load.streams - 1, left)

    def record_report(
        self, entry: str, now: float, loads: dict[str, EngineLoad]
    ) -> None:
        """Take over another entry's work."""
        self.others[entry] = (now, loads)
        self.sum_reports(now)

    def sum_reports(self, now: float) -> None:
        """Add up the others' work, without reports that are too old."""
        for entry, (at, _) in list(self.others.items()):
            if now - at > REPORT_LIFETIME:
                del self.others[entry]
        summed: dict[str, EngineLoad] = {}
        for _, loads in self.others.values():
            for engine, load in loads.items():
                sum_ = summed.get(engine, NO_LOAD)
                summed[engine] = EngineLoad(
                    sum_.streams + load.streams, sum_.memory + load.memory
                )
        self.summed = summed

    def stage_count(self) -> int:
        """Return the stages of all streams that run, as far as they are known."""
        own = sum(load.streams for load in self.own.values())
        return own + sum(load.streams for load in self.summed.values())

    def load(self, engine: str) -> EngineLoad:
        """Return all known work on an engine."""
        own = self.own.get(engine, NO_LOAD)
        other = self.summed.get(engine, NO_LOAD)
        return EngineLoad(own.streams + other.streams, own.memory + other.memory)
