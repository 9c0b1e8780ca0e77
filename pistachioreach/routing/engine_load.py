"""Load of each engine: this entry's own streams plus the reports of other entries."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["NO_LOAD", "EngineLoad", "LoadTracker", "Reservation"]

#: Age, in seconds, from which on the load report of another entry is ignored.
REPORT_TTL_SECONDS = 3.0


class EngineLoad(NamedTuple):
    """The load of one engine.

    Attributes:
        streams: Number of streams whose chain includes the engine.
        memory: KV cache that these streams need, in tokens times layers.
    """

    streams: int
    memory: float


class Reservation(NamedTuple):
    """The KV cache that one stream reserves on the engines of its chain.

    Attributes:
        engines: Id of each engine, and the KV cache reserved on it in tokens times
            layers.
    """

    engines: tuple[tuple[str, float], ...]


#: Load of an engine without streams.
NO_LOAD = EngineLoad(0, 0.0)


class LoadTracker:
    """The load of all engines, as known to one entry.

    Entries choose chains independently. Each entry counts its own streams exactly
    and adds the loads that the other entries last reported.
    """

    def __init__(self) -> None:
        #: Load of each engine from the streams of this entry.
        self.own: dict[str, EngineLoad] = {}
        #: Last report of each other entry: the monotonic time at which the report
        #: arrived, and the load of each engine.
        self.reports: dict[str, tuple[float, dict[str, EngineLoad]]] = {}
        #: Load of each engine, summed over the reports of the other entries.
        self.reported: dict[str, EngineLoad] = {}

    def add_stream(self, reservation: Reservation) -> None:
        """Add a stream of this entry to the load of its engines."""
        for engine, memory in reservation.engines:
            load = self.own.get(engine, NO_LOAD)
            self.own[engine] = EngineLoad(load.streams + 1, load.memory + memory)

    def remove_stream(self, reservation: Reservation) -> None:
        """Subtract a stream of this entry from the load of its engines."""
        for engine, memory in reservation.engines:
            load = self.own.get(engine, NO_LOAD)
            if load.streams <= 1:
                self.own.pop(engine, None)
            else:
                remaining = max(0.0, load.memory - memory)
                self.own[engine] = EngineLoad(load.streams - 1, remaining)

    def record_report(
        self, entry: str, now: float, loads: dict[str, EngineLoad]
    ) -> None:
        """Store the load report of another entry.

        Args:
            entry: Name of the other entry.
            now: Monotonic time.
            loads: Load of each engine from the streams of the other entry.
        """
        self.reports[entry] = (now, loads)
        self.sum_reports(now)

    def sum_reports(self, now: float) -> None:
        """Drop expired reports and sum the others by engine."""
        for entry, (received_at, _) in list(self.reports.items()):
            if now - received_at > REPORT_TTL_SECONDS:
                del self.reports[entry]
        totals: dict[str, EngineLoad] = {}
        for _, loads in self.reports.values():
            for engine, load in loads.items():
                total = totals.get(engine, NO_LOAD)
                totals[engine] = EngineLoad(
                    total.streams + load.streams, total.memory + load.memory
                )
        self.reported = totals

    def stage_count(self) -> int:
        """Return the number of stages of all known running streams."""
        own = sum(load.streams for load in self.own.values())
        return own + sum(load.streams for load in self.reported.values())

    def load(self, engine: str) -> EngineLoad:
        """Return the load of an engine from the streams of all entries."""
        own = self.own.get(engine, NO_LOAD)
        other = self.reported.get(engine, NO_LOAD)
        return EngineLoad(own.streams + other.streams, own.memory + other.memory)
