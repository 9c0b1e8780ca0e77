"""Demand of streams for KV cache and for the link, summed over all entries.

An entry chooses whom it admits by what all entries want. Each entry counts its own
streams, and the entries add up their reports along the hierarchy, as for the load of
the engines (`routing/engine_load.py`). The load that this module addresses is a fleet
of 1,000 entries and 2,700 workspaces: a report has a bounded size whatever runs.

All amounts in reports are whole numbers up to `MAX_AMOUNT`, so that sums and
differences of the reports of a thousand entries are exact in floating point. A report
that is replaced leaves no remainder. Whole numbers also take fewer bytes on the wire.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = [
    "LINK_REPORT_SECONDS",
    "MAX_AMOUNT",
    "MAX_REPORTED_CLASSES",
    "MAX_REPORTED_DOMAINS",
    "MAX_REPORTED_WORKSPACES",
    "NO_DEMAND",
    "OTHER_NAMES",
    "DemandReport",
    "DemandSums",
    "DemandTracker",
    "LinkDemand",
    "RecentRange",
    "Usage",
    "WorkspaceUsage",
    "bound_demand",
    "quantize",
    "subtract_demand",
]

#: Maximum number of workspaces that a report names. 2,700 names four times a second
#: would exceed the 11 KB/s that control traffic may use.
MAX_REPORTED_WORKSPACES = 64
#: Maximum number of failure domains that a report names.
MAX_REPORTED_DOMAINS = 64
#: Maximum number of priorities, and of tiers, that a report contains. The least urgent
#: ones beyond it are reported as one.
MAX_REPORTED_CLASSES = 64
#: Highest priority value that is reported; less urgent streams count as this one. Tiers
#: then fit 32 bits.
MAX_PRIORITY = 2**30
#: Name under which the amounts of workspaces or domains beyond the limit are summed.
OTHER_NAMES = ""
#: Maximum length of a workspace's name that is reported, in characters. Longer names,
#: and those with a line feed, which separates names on the wire, count as others.
MAX_NAME_CHARACTERS = 64
#: Maximum of a reported amount in tokens, tokens a second or Mbit/s. The sum of a
#: thousand of them is exact (2**40 * 2**10 < 2**53).
MAX_AMOUNT = 2.0**40
#: Time constant, in seconds, of the average of arrivals. Arrivals that oscillate with a
#: period of 15 s then move it by 8% of their amplitude, and no layers.
ARRIVAL_AVERAGE_SECONDS = 30.0
#: Time constant, in seconds, of the average of transfers. That of an entry with one
#: stream a second then deviates by 13% (standard deviation).
TRANSFER_AVERAGE_SECONDS = 30.0
#: Factor by which the average of transfers must change before the reported value does.
#: An entry counts the lowest recent value as its own and reports the highest one, so
#: that random changes would leave a part of the link unused.
HELD_FACTOR = 1.25
#: Maximum age, in seconds, of what an entry knows of the transfers of another, up to
#: which the shares of the link hold their bound: five rounds of 0.25 s along the
#: hierarchy, and one more for a lost message.
LINK_REPORT_SECONDS = 1.5
#: Minimum time, in seconds, between two kept values of the average of transfers.
SAMPLE_SECONDS = 0.1


class Usage(NamedTuple):
    """Streams of one priority or tier, and the KV cache that they need.

    Attributes:
        streams: Number of streams.
        tokens: KV cache in tokens, of prompts and expected answers.
    """

    streams: int
    tokens: float


class WorkspaceUsage(NamedTuple):
    """KV cache of the streams of one workspace.

    Attributes:
        running: Tokens of running streams.
        waiting: Tokens of waiting streams.
    """

    running: float
    waiting: float


class DemandReport(NamedTuple):
    """What the streams of some entries together need.

    Attributes:
        running: Running streams by priority.
        waiting: Waiting streams by tier: `2 * priority`, plus 1 if the workspace is
            over its share.
        workspaces: KV cache by workspace, of at most `MAX_REPORTED_WORKSPACES`; that
            of the others is summed under `OTHER_NAMES`.
        arrivals: Prompt tokens that arrive a second, averaged over 30 s, by the failure
            domain of the entry.
        transfers: Mbit/s that streams want to send over the link between failure
            domains, averaged over 30 s: the highest value of the last
            `LINK_REPORT_SECONDS`.
    """

    running: dict[int, Usage]
    waiting: dict[int, Usage]
    workspaces: dict[str, WorkspaceUsage]
    arrivals: dict[str, float]
    transfers: float


class LinkDemand(NamedTuple):
    """What one entry, and all entries together, want to send over the link.

    Attributes:
        own: Mbit/s that this entry has wanted for at least `LINK_REPORT_SECONDS`.
        total: Mbit/s that all entries want, of which no less than `own` is this one's.
    """

    own: float
    total: float


#: Report of entries without streams.
NO_DEMAND = DemandReport({}, {}, {}, {}, 0.0)


class DemandSums:
    """Sums of demand reports, which are kept by difference."""

    def __init__(self) -> None:
        #: Running streams by priority.
        self.running: dict[int, Usage] = {}
        #: Waiting streams by tier.
        self.waiting: dict[int, Usage] = {}
        #: KV cache by workspace, without a bound on their number.
        self.workspaces: dict[str, WorkspaceUsage] = {}
        #: Prompt tokens a second by failure domain.
        self.arrivals: dict[str, float] = {}
        #: Mbit/s wanted on the link.
        self.transfers = 0.0
        #: Number of changes of the sums so far.
        self.changes = 0

    def add(self, report: DemandReport) -> None:
        """Add a report."""
        self.replace(NO_DEMAND, report)

    def replace(self, previous: DemandReport, report: DemandReport) -> None:
        """Add a report in place of an earlier one, which was added before."""
        if report == previous:
            return
        self.changes += 1
        replace_pairs(self.running, previous.running, report.running, Usage)
        replace_pairs(self.waiting, previous.waiting, report.waiting, Usage)
        replace_pairs(
            self.workspaces, previous.workspaces, report.workspaces, WorkspaceUsage
        )
        for domain in previous.arrivals.keys() | report.arrivals.keys():
            rate = self.arrivals.get(domain, 0.0) + (
                report.arrivals.get(domain, 0.0) - previous.arrivals.get(domain, 0.0)
            )
            if rate > 0:
                self.arrivals[domain] = rate
            else:
                self.arrivals.pop(domain, None)
        self.transfers += report.transfers - previous.transfers

    def unbounded(self) -> DemandReport:
        """Return the sums with all names, as a view of this object's state."""
        return DemandReport(
            self.running, self.waiting, self.workspaces, self.arrivals, self.transfers
        )

    def plus(self, *reports: DemandReport) -> DemandReport:
        """Return the sum of this object's and some more reports, in a bounded size."""
        sums = DemandSums()
        sums.running = dict(self.running)
        sums.waiting = dict(self.waiting)
        sums.workspaces = dict(self.workspaces)
        sums.arrivals = dict(self.arrivals)
        sums.transfers = self.transfers
        for report in reports:
            sums.add(report)
        return bound_demand(sums.unbounded())


class MovingRate:
    """Exponential moving average of a rate.

    Args:
        seconds: Time constant of the average, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        #: Time constant of the average, in seconds.
        self.seconds = seconds
        #: Average rate at the time of the last amount.
        self.rate = 0.0
        #: Monotonic time of the last amount.
        self.recorded_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount that arrived now."""
        self.rate = self.at(now) + amount / self.seconds
        self.recorded_at = max(now, self.recorded_at)

    def at(self, now: float) -> float:
        """Return the average rate, in amounts a second."""
        age = max(0.0, now - self.recorded_at)
        return self.rate * math.exp(-age / self.seconds)


class RecentRange:
    """Lowest and highest value of the recent past.

    Args:
        seconds: Time that counts as recent, in seconds.
    """

    def __init__(self, seconds: float) -> None:
        #: Time that counts as recent, in seconds.
        self.seconds = seconds
        #: Start of an interval, and the lowest and highest value in it. The first one
        #: contains the start of the recent past, once there are values that old.
        self.intervals: deque[tuple[float, float, float]] = deque()

    def add(self, value: float, now: float) -> None:
        """Add the value that applies from now on."""
        intervals = self.intervals
        if intervals and now - intervals[-1][0] < SAMPLE_SECONDS:
            start, low, high = intervals.pop()
            intervals.append((start, min(low, value), max(high, value)))
        else:
            intervals.append((now, value, value))
        while len(intervals) > 1 and intervals[1][0] <= now - self.seconds:
            intervals.popleft()

    def low(self, now: float) -> float:
        """Return the lowest recent value, 0 while the oldest is too young."""
        if not self.intervals or now - self.intervals[0][0] < self.seconds:
            return 0.0
        return min(low for _, low, _ in self.intervals)

    def high(self) -> float:
        """Return the highest recent value, 0 if there is none."""
        return max((high for _, _, high in self.intervals), default=0.0)


class DemandTracker:
    """Streams of one entry: what they hold, wait for and send over the link.

    Args:
        failure_domain: Failure domain of the entry.
    """

    def __init__(self, failure_domain: str = "") -> None:
        #: Failure domain of the entry.
        self.failure_domain = reported_name(failure_domain)
        #: Workspaces that are over their share; their waiting streams are reported in
        #: the less urgent tier of their priority.
        self.over_share: frozenset[str] = frozenset()
        #: Running streams by workspace and priority.
        self.running: dict[tuple[str, int], Usage] = {}
        #: Waiting streams by workspace and priority.
        self.waiting: dict[tuple[str, int], Usage] = {}
        #: Prompt tokens a second.
        self.arrivals = MovingRate(ARRIVAL_AVERAGE_SECONDS)
        #: Mbit/s wanted on the link.
        self.transfers = MovingRate(TRANSFER_AVERAGE_SECONDS)
        #: Average of the transfers at the last time when it had changed noticeably.
        self.held_transfers = 0.0
        #: Recent range of these values.
        self.transfer_range = RecentRange(LINK_REPORT_SECONDS)

    def stream_waits(self, workspace: str, priority: int, tokens: float) -> None:
        """Count a stream that starts to wait for KV cache."""
        change_usage(self.waiting, workspace, priority, 1, tokens)

    def stream_stops_waiting(
        self, workspace: str, priority: int, tokens: float
    ) -> None:
        """Stop counting a waiting stream, whether it was admitted or not."""
        change_usage(self.waiting, workspace, priority, -1, -tokens)

    def stream_runs(self, workspace: str, priority: int, tokens: float) -> None:
        """Count a stream that has reserved KV cache."""
        change_usage(self.running, workspace, priority, 1, tokens)

    def stream_grows(self, workspace: str, priority: int, tokens: float) -> None:
        """Count tokens that a running stream reserves in addition."""
        change_usage(self.running, workspace, priority, 0, tokens)

    def stream_ends(self, workspace: str, priority: int, tokens: float) -> None:
        """Stop counting a running stream.

        Args:
            workspace: Name of the workspace.
            priority: Priority of the stream.
            tokens: All tokens reserved for the stream, with those that it grew by.
        """
        change_usage(self.running, workspace, priority, -1, -tokens)

    def record_arrival(self, prompt_tokens: float, now: float) -> None:
        """Count the prompt of a request that has arrived."""
        self.arrivals.add(prompt_tokens, now)

    def record_transfer(self, mbit: float, now: float) -> None:
        """Count data that a stream sends, or wanted to send, over the link."""
        self.sample_transfers(now)
        self.transfers.add(mbit, now)
        self.sample_transfers(now)

    def sample_transfers(self, now: float) -> None:
        """Add the present average of the transfers to their range."""
        rate = self.transfers.at(now)
        if rate < 1.0:
            self.held_transfers = 0.0
        elif not 1 / HELD_FACTOR <= rate / max(1.0, self.held_transfers) <= HELD_FACTOR:
            self.held_transfers = rate
        self.transfer_range.add(self.held_transfers, now)

    def recent_transfers(self, now: float) -> float:
        """Return the highest value of the last `LINK_REPORT_SECONDS`, in Mbit/s."""
        self.sample_transfers(now)
        return self.transfer_range.high()

    def lasting_transfers(self, now: float) -> float:
        """Return the lowest value of the last `LINK_REPORT_SECONDS`, in Mbit/s.

        All other entries know by now that this entry wants at least this much. It is
        rounded down, so that the sum over many entries does not exceed that of their
        rounded reports.
        """
        self.sample_transfers(now)
        return math.floor(self.transfer_range.low(now))

    def report(self, now: float) -> DemandReport:
        """Return the demand of this entry's streams.

        Args:
            now: Monotonic time.
        """
        running: dict[int, Usage] = {}
        waiting: dict[int, Usage] = {}
        workspaces: dict[str, WorkspaceUsage] = {}
        for (workspace, priority), usage in self.running.items():
            add_pair(running, priority, usage, Usage)
            add_pair(
                workspaces, workspace, WorkspaceUsage(usage.tokens, 0.0), WorkspaceUsage
            )
        for (workspace, priority), usage in self.waiting.items():
            tier = 2 * priority + (workspace in self.over_share)
            add_pair(waiting, tier, usage, Usage)
            add_pair(
                workspaces, workspace, WorkspaceUsage(0.0, usage.tokens), WorkspaceUsage
            )
        rate = quantize(self.arrivals.at(now))
        return bound_demand(
            DemandReport(
                running,
                waiting,
                workspaces,
                {self.failure_domain: rate} if rate else {},
                quantize(self.recent_transfers(now)),
            )
        )


def quantize(amount: float) -> float:
    """Return an amount as a whole number between 0 and `MAX_AMOUNT`."""
    return float(round(min(MAX_AMOUNT, max(0.0, amount))))


def reported_name(name: str) -> str:
    """Return the name under which a workspace or failure domain is reported."""
    sendable = len(name) <= MAX_NAME_CHARACTERS and "\n" not in name
    return name if sendable else OTHER_NAMES


def change_usage(
    usages: dict[tuple[str, int], Usage],
    workspace: str,
    priority: int,
    streams: int,
    tokens: float,
) -> None:
    """Add to the streams and tokens of a workspace and priority.

    The entry is dropped with its last stream, so that no remainder of its tokens stays.
    """
    key = (reported_name(workspace), min(MAX_PRIORITY, max(0, priority)))
    known = usages.get(key, Usage(0, 0.0))
    count = known.streams + streams
    if count <= 0:
        usages.pop(key, None)
        return
    change = math.copysign(quantize(abs(tokens)), tokens)
    usages[key] = Usage(count, min(MAX_AMOUNT, max(0.0, known.tokens + change)))


def add_pair(sums: dict, key: int | str, pair: tuple, make: Callable) -> None:
    """Add a pair of amounts to that of a key."""
    first, second = sums.get(key, (0, 0.0))
    sums[key] = make(first + pair[0], second + pair[1])


def replace_pairs(
    sums: dict, previous: Mapping, pairs: Mapping, make: Callable
) -> None:
    """Add pairs of amounts in place of earlier ones, and drop the keys without any."""
    for key, pair in pairs.items():
        if previous.get(key) != pair:
            add_pair(sums, key, pair, make)
    for key, pair in previous.items():
        if pairs.get(key) != pair:
            first, second = sums.get(key, (0, 0.0))
            first, second = max(0, first - pair[0]), max(0.0, second - pair[1])
            if first or second:
                sums[key] = make(first, second)
            else:
                sums.pop(key, None)


def bound_demand(report: DemandReport) -> DemandReport:
    """Return a copy of a report with a bounded number of names and classes."""
    return DemandReport(
        fold_classes(report.running),
        fold_classes(report.waiting),
        fold_workspaces(report.workspaces),
        fold_domains(report.arrivals),
        report.transfers,
    )


def fold_classes(usages: Mapping[int, Usage]) -> dict[int, Usage]:
    """Return the usage by class; the least urgent beyond the limit are one class."""
    if len(usages) <= MAX_REPORTED_CLASSES:
        return dict(usages)
    ordered = sorted(usages)
    folded = {key: usages[key] for key in ordered[: MAX_REPORTED_CLASSES - 1]}
    for key in ordered[MAX_REPORTED_CLASSES - 1 :]:
        add_pair(folded, ordered[-1], usages[key], Usage)
    return folded


def fold_workspaces(
    usages: Mapping[str, WorkspaceUsage],
) -> dict[str, WorkspaceUsage]:
    """Return the usage of the largest workspaces, the others summed as one."""
    if len(usages) - (OTHER_NAMES in usages) <= MAX_REPORTED_WORKSPACES:
        return dict(usages)
    ordered = sorted(
        (-running - waiting, name)
        for name, (running, waiting) in usages.items()
        if name != OTHER_NAMES
    )
    folded = {name: usages[name] for _, name in ordered[:MAX_REPORTED_WORKSPACES]}
    running, waiting = usages.get(OTHER_NAMES, (0.0, 0.0))
    for _, name in ordered[MAX_REPORTED_WORKSPACES:]:
        usage = usages[name]
        running, waiting = running + usage.running, waiting + usage.waiting
    folded[OTHER_NAMES] = WorkspaceUsage(running, waiting)
    return folded


def fold_domains(rates: Mapping[str, float]) -> dict[str, float]:
    """Return the rates of the largest failure domains, the others summed as one."""
    if len(rates) - (OTHER_NAMES in rates) <= MAX_REPORTED_DOMAINS:
        return dict(rates)
    ordered = sorted(
        rates.keys() - {OTHER_NAMES}, key=lambda name: (-rates[name], name)
    )
    folded = {name: rates[name] for name in ordered[:MAX_REPORTED_DOMAINS]}
    folded[OTHER_NAMES] = rates.get(OTHER_NAMES, 0.0) + sum(
        rates[name] for name in ordered[MAX_REPORTED_DOMAINS:]
    )
    return folded


def subtract_demand(total: DemandReport, sent: DemandReport) -> DemandReport:
    """Return the demand of the other entries, given that of all and a part of them.

    No amount is negative, and each sum over names or classes is the difference of the
    sums, or 0 if that is negative. A name may be folded into `OTHER_NAMES` in one of
    the reports only. What cannot be subtracted under its own name is subtracted from
    `OTHER_NAMES`; what exceeds that is subtracted, in proportion, from the names that
    `sent` does not contain, and then from all names.

    Args:
        total: Demand of all entries.
        sent: Report of some of these entries that the total includes.
    """
    return DemandReport(
        subtract_classes(total.running, sent.running),
        subtract_classes(total.waiting, sent.waiting),
        join_columns(
            *(
                subtract_names(
                    {name: pair[column] for name, pair in total.workspaces.items()},
                    {name: pair[column] for name, pair in sent.workspaces.items()},
                )
                for column in range(2)
            ),
            WorkspaceUsage,
        ),
        {
            name: rate
            for name, rate in subtract_names(total.arrivals, sent.arrivals).items()
            if rate
        },
        max(0.0, total.transfers - sent.transfers),
    )


def subtract_classes(
    total: Mapping[int, Usage], sent: Mapping[int, Usage]
) -> dict[int, Usage]:
    """Return the difference of usages by priority or tier.

    What cannot be subtracted from its own class is subtracted from the least urgent
    ones.
    """
    columns = []
    for column in range(2):
        rest = {key: pair[column] for key, pair in total.items()}
        excess = subtract_own(rest, {key: pair[column] for key, pair in sent.items()})
        for key in sorted(rest, reverse=True):
            taken = min(excess, rest[key])
            rest[key] -= taken
            excess -= taken
        columns.append(rest)
    return join_columns(*columns, Usage)


def subtract_names(
    total: Mapping[str, float], sent: Mapping[str, float]
) -> dict[str, float]:
    """Return the difference of amounts by name, see `subtract_demand`."""
    rest = dict(total)
    excess = subtract_own(rest, sent)
    for names in ({OTHER_NAMES} & rest.keys(), rest.keys() - sent.keys(), rest.keys()):
        if excess:
            excess -= take_in_proportion(rest, names, excess)
    return rest


def subtract_own(rest: dict, sent: Mapping) -> float:
    """Subtract amounts under their own keys, and return what exceeded these."""
    excess = 0
    for key, amount in sent.items():
        known = rest.get(key, 0)
        if known:
            rest[key] = max(0, known - amount)
        excess += max(0, amount - known)
    return excess


def take_in_proportion(rest: dict[str, float], names, amount: float) -> float:
    """Subtract an amount from those of some names in proportion to these.

    Returns:
        The amount that was subtracted, which is less if the names have less.
    """
    available = sum(rest[name] for name in names)
    amount = left = min(amount, available)
    if not amount:
        return 0.0
    ordered = sorted(names, key=lambda name: (-rest[name], name))
    for name in ordered:
        taken = float(math.floor(rest[name] * amount / available))
        rest[name] -= taken
        left -= taken
    for name in ordered:
        # The remainders of the rounding.
        taken = min(left, rest[name])
        rest[name] -= taken
        left -= taken
    return amount


def join_columns(first: Mapping, second: Mapping, make: Callable) -> dict:
    """Return pairs of the amounts of two columns, without the keys that have none."""
    return {
        key: make(first.get(key, 0), second.get(key, 0.0))
        for key in {**first, **second}
        if first.get(key, 0) or second.get(key, 0.0)
    }
