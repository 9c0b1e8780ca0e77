"""Load of each engine: this entry's own streams plus the reports of other entries."""

from __future__ import annotations

from typing import NamedTuple

from pistachioreach.routing.demand import (
    LINK_REPORT_SECONDS,
    NO_DEMAND,
    DemandReport,
    DemandSums,
    DemandTracker,
    LinkDemand,
    RecentRange,
    subtract_demand,
)

__all__ = ["NO_LOAD", "EngineLoad", "LoadReport", "LoadTracker", "Reservation"]

#: Age, in seconds, from which on the load report of another entry is ignored.
REPORT_TTL_SECONDS = 3.0
#: Source name of the report of this entry's parent in the hierarchy of the entries.
PARENT = ""


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


class LoadReport(NamedTuple):
    """The load that some entries together put on the engines.

    Attributes:
        entries: Number of these entries.
        loads: Load of each engine that has any, by engine id.
        demand: What the streams of these entries need.
    """

    entries: int
    loads: dict[str, EngineLoad]
    demand: DemandReport = NO_DEMAND


#: Load of an engine without streams.
NO_LOAD = EngineLoad(0, 0.0)


class ReportSums:
    """Latest reports of some sources and their sums, which are kept by difference."""

    def __init__(self) -> None:
        #: Monotonic arrival time and content of the latest report of each source, in
        #: the order of their arrival.
        self.reports: dict[str, tuple[float, LoadReport]] = {}
        #: Load of each engine, summed over the reports.
        self.totals: dict[str, EngineLoad] = {}
        #: Number of entries that the reports cover.
        self.entries = 0
        #: Demand, summed over the reports.
        self.demand = DemandSums()

    def record(self, source: str, now: float, report: LoadReport) -> None:
        """Replace the report of a source."""
        _, previous = self.reports.pop(source, (now, LoadReport(0, {})))
        self.reports[source] = (now, report)
        self.entries += report.entries - previous.entries
        self.demand.replace(previous.demand, report.demand)
        if report.loads == previous.loads:
            return
        for engine, load in report.loads.items():
            known = previous.loads.get(engine)
            if known != load:
                add_load(self.totals, engine, load)
                if known is not None:
                    subtract_load(self.totals, engine, known)
        for engine, load in previous.loads.items():
            if engine not in report.loads:
                subtract_load(self.totals, engine, load)

    def drop(self, source: str) -> None:
        """Drop the report of a source, if there is one."""
        if source in self.reports:
            self.record(source, 0.0, LoadReport(0, {}))
            del self.reports[source]

    def drop_expired(self, now: float) -> None:
        """Drop the reports that are older than REPORT_TTL_SECONDS."""
        while self.reports:
            source, (received_at, _) = next(iter(self.reports.items()))
            if now - received_at <= REPORT_TTL_SECONDS:
                return
            self.drop(source)


class LoadTracker:
    """The load of all engines, as known to one entry.

    Entries choose chains independently. Each entry counts its own streams exactly. The
    entries report to each other along a hierarchy (`knowledge/hierarchy.py`): an entry
    adds the reports of its children to its own load and reports the sum to its parent.
    The parent answers with the load of all entries.

    Args:
        failure_domain: Failure domain of this entry.
    """

    def __init__(self, failure_domain: str = "") -> None:
        #: Load of each engine from the streams of this entry.
        self.own: dict[str, EngineLoad] = {}
        #: Demand of the streams of this entry.
        self.demand = DemandTracker(failure_domain)
        #: Latest monotonic time that this tracker was told, which is at most one round
        #: of reports old.
        self.now = 0.0
        #: Reports of the entries that report to this one.
        self.children = ReportSums()
        #: Reports of the rest of the entries: one of the parent, or one of each other
        #: head of the hierarchy.
        self.others = ReportSums()
        #: Recent numbers of entries. While a head is replaced, some entries are missing
        #: from the reports for a moment.
        self.entry_range = RecentRange(LINK_REPORT_SECONDS)
        #: Recent values of what all entries want to send over the link, in Mbit/s.
        self.transfer_range = RecentRange(LINK_REPORT_SECONDS)
        #: Result of `others_waiting`, and the changes of the reports that it includes.
        #: It is needed for each admission, and reports change a few times a second.
        self.known_waiting: tuple[tuple[int, int], DemandReport] = ((0, 0), NO_DEMAND)

    def add_stream(self, reservation: Reservation) -> None:
        """Add a stream of this entry to the load of its engines."""
        for engine, memory in reservation.engines:
            add_load(self.own, engine, EngineLoad(1, memory))

    def remove_stream(self, reservation: Reservation) -> None:
        """Subtract a stream of this entry from the load of its engines."""
        for engine, memory in reservation.engines:
            subtract_load(self.own, engine, EngineLoad(1, memory))

    def record_child(self, entry: str, now: float, report: LoadReport) -> None:
        """Store the report of an entry that reports to this one.

        Args:
            entry: Name of the other entry.
            now: Monotonic time.
            report: Load from the other entry and its own children.
        """
        self.now = max(self.now, now)
        self.others.drop(entry)
        self.children.record(entry, now, report)
        self.sample_link(now)

    def record_head(self, entry: str, now: float, report: LoadReport) -> None:
        """Store the report of another head of the hierarchy.

        Args:
            entry: Name of the other entry.
            now: Monotonic time.
            report: Load from the other entry and its children.
        """
        self.now = max(self.now, now)
        self.others.drop(PARENT)
        self.children.drop(entry)
        self.others.record(entry, now, report)
        self.sample_link(now)

    def record_total(self, now: float, total: LoadReport, sent: LoadReport) -> None:
        """Store the load of all entries, as this entry's parent answered.

        Args:
            now: Monotonic time.
            total: Load from all entries, including what this entry had sent.
            sent: Report of this entry that the total includes.
        """
        self.now = max(self.now, now)
        for source in [source for source in self.others.reports if source != PARENT]:
            self.others.drop(source)
        rest = dict(total.loads)
        for engine, load in sent.loads.items():
            subtract_load(rest, engine, load)
        demand = subtract_demand(total.demand, sent.demand)
        report = LoadReport(max(0, total.entries - sent.entries), rest, demand)
        self.others.record(PARENT, now, report)
        self.sample_link(now)

    def drop_expired(self, now: float) -> None:
        """Drop the reports that are too old to be used."""
        self.now = max(self.now, now)
        self.children.drop_expired(now)
        self.others.drop_expired(now)
        self.sample_link(now)

    def sample_link(self, now: float) -> None:
        """Add the present use of the link by all entries to the recent ranges."""
        self.entry_range.add(self.entry_count(), now)
        transfers = (
            self.demand.recent_transfers(now)
            + self.children.demand.transfers
            + self.others.demand.transfers
        )
        self.transfer_range.add(transfers, now)

    def link_demand(self, now: float) -> LinkDemand:
        """Return what this entry and all entries want to send over the link."""
        self.sample_link(now)
        own = self.demand.lasting_transfers(now)
        return LinkDemand(own, self.transfer_range.high())

    def recent_entry_count(self) -> int:
        """Return the highest recent number of entries, this one included."""
        return max(self.entry_count(), round(self.entry_range.high()))

    def group_report(self) -> LoadReport:
        """Return the load from this entry and the entries that report to it."""
        demand = self.children.demand.plus(self.demand.report(self.now))
        return LoadReport(1 + self.children.entries, self.group_loads(), demand)

    def total_report(self) -> LoadReport:
        """Return the load from all entries, as far as it is known."""
        loads = self.group_loads()
        for engine, load in self.others.totals.items():
            add_load(loads, engine, load)
        return LoadReport(self.entry_count(), loads, self.total_demand())

    def group_loads(self) -> dict[str, EngineLoad]:
        """Return the load of each engine by this entry and those that report to it."""
        loads = dict(self.own)
        for engine, load in self.children.totals.items():
            add_load(loads, engine, load)
        return loads

    def total_demand(self) -> DemandReport:
        """Return the demand of all entries, as far as it is known."""
        own = self.demand.report(self.now)
        return self.children.demand.plus(own, self.others.demand.unbounded())

    def others_waiting(self) -> DemandReport:
        """Return the demand of all entries without the streams of this one."""
        children, others = self.children.demand, self.others.demand
        changes = (children.changes, others.changes)
        if self.known_waiting[0] != changes:
            self.known_waiting = (changes, children.plus(others.unbounded()))
        return self.known_waiting[1]

    def entry_count(self) -> int:
        """Return the number of entries whose load is known, this one included."""
        return 1 + self.children.entries + self.others.entries

    def stage_count(self) -> int:
        """Return the number of stages of all known running streams."""
        return sum(
            load.streams
            for loads in (self.own, self.children.totals, self.others.totals)
            for load in loads.values()
        )

    def load(self, engine: str) -> EngineLoad:
        """Return the load of an engine from the streams of all entries."""
        own = self.own.get(engine, NO_LOAD)
        children = self.children.totals.get(engine, NO_LOAD)
        others = self.others.totals.get(engine, NO_LOAD)
        return EngineLoad(
            own.streams + children.streams + others.streams,
            own.memory + children.memory + others.memory,
        )


def add_load(loads: dict[str, EngineLoad], engine: str, load: EngineLoad) -> None:
    """Add a load to that of an engine."""
    known = loads.get(engine)
    if known is not None:
        load = EngineLoad(known.streams + load.streams, known.memory + load.memory)
    loads[engine] = load


def subtract_load(loads: dict[str, EngineLoad], engine: str, load: EngineLoad) -> None:
    """Subtract a load from that of an engine, which is dropped without streams."""
    known = loads.get(engine, NO_LOAD)
    if known.streams <= load.streams:
        loads.pop(engine, None)
    else:
        loads[engine] = EngineLoad(
            known.streams - load.streams, max(0.0, known.memory - load.memory)
        )
