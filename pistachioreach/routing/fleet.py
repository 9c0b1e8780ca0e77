"""What one entry knows of the endpoints, from the manifest and from traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from pistachioreach.endpoints.wire import LoadReport
    from pistachioreach.manifest import ManifestDocument

__all__ = [
    "MANIFEST",
    "PEER_ENTRY",
    "REFUSAL",
    "REPORT",
    "VM_LIST",
    "Endpoint",
    "EndpointState",
    "Fleet",
]

#: Sources that may say that an endpoint is leaving.
MANIFEST = "manifest"
REPORT = "load report"
REFUSAL = "refused a stream"
VM_LIST = "VM list"
PEER_ENTRY = "another entry"

#: Weight of a new observation in a moving average.
SMOOTHING = 0.1
#: Seconds between tokens assumed before any endpoint has been observed.
INITIAL_GAP_SECONDS = 0.02
#: Seconds after which an observation counts half; links recover within minutes.
GAP_HALF_LIFE_SECONDS = 10.0
#: Seconds for which an endpoint that failed gets no work, the first time.
FIRST_EJECTION_SECONDS = 1.0
#: Longest ejection, so that an endpoint that is well again is used within it.
LONGEST_EJECTION_SECONDS = 30.0
#: Share of the endpoints of one layer range that may be ejected at once.
EJECTED_SHARE = 0.5
#: Seconds after which a load report is no longer believed.
LOAD_REPORT_SECONDS = 5.0


class Endpoint(NamedTuple):
    """A model server or a server of a plain service.

    Attributes:
        name: Unique name.
        address: Where it listens, `ip:port`.
        failure_domain: Failure domain that it stands in.
        kind: Kind of its accelerators; empty for a plain service.
        model: Name of its model; empty for a plain service.
        first: First layer that it holds.
        last: Layer after the last that it holds.
        concurrency: Streams that it runs at once.
    """

    name: str
    address: str
    failure_domain: str
    kind: str = ""
    model: str = ""
    first: int = 0
    last: int = 0
    concurrency: int = 1


class EndpointState:
    """One endpoint and what has been observed of it.

    Args:
        endpoint: The endpoint, as declared.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        #: The endpoint, as declared.
        self.endpoint = endpoint
        #: Requests of this entry that run on it.
        self.in_flight = 0
        #: Places on it that are this entry's own, of those of all entries.
        self.own_slots = 0
        #: Requests under suspicion, of any entry, that run on it.
        self.suspect_requests = 0
        #: The sources that say that it is leaving.
        self.leaving_sources: set[str] = set()
        #: Monotonic time until which it gets no work.
        self.ejected_until = 0.0
        #: Whether its last poll was refused or not answered.
        self.unreachable = False
        #: Failures since the last success.
        self.failures = 0
        #: Moving average of the seconds between tokens of its chains, or None
        #: before the first observation.
        self.gap_seconds: float | None = None
        #: Monotonic time of the last such observation.
        self.gap_observed_at = 0.0
        #: Last load report, or None.
        self.load: LoadReport | None = None
        #: Monotonic time of the last load report.
        self.load_reported_at = 0.0
        #: Requests of this entry that ran on it at that time.
        self.in_flight_at_report = 0

    @property
    def leaving(self) -> bool:
        """Whether any source says that it is leaving."""
        return bool(self.leaving_sources)

    def usable(self, now: float) -> bool:
        """Whether it may get new work at a monotonic time."""
        return not (self.leaving or self.unreachable or now < self.ejected_until)

    def has_recent_load(self, now: float) -> bool:
        """Whether its last load report is recent enough to be believed."""
        return (
            self.load is not None and now - self.load_reported_at < LOAD_REPORT_SECONDS
        )

    @property
    def free_slots_at_report(self) -> int:
        """Places that were free at the last load report."""
        taken = self.load["running"] + self.load["waiting"]
        return max(0, self.endpoint.concurrency - taken)

    def other_streams(self, now: float) -> int:
        """Return the streams of other entries, by the last load report."""
        if not self.has_recent_load(now):
            return 0
        reported = self.load["running"] + self.load["waiting"]
        return max(0, reported - self.in_flight_at_report)

    def occupancy(self, now: float) -> float:
        """Return the expected streams on it over those it runs at once.

        A recent load report counts for the other entries' streams; this
        entry's own are known exactly.
        """
        return (self.in_flight + self.other_streams(now)) / self.endpoint.concurrency

    def observe_gap(self, seconds: float, now: float) -> None:
        """Note the time between two tokens of a chain that it is part of."""
        self.gap_observed_at = now
        if self.gap_seconds is None:
            self.gap_seconds = seconds
        self.gap_seconds += SMOOTHING * (seconds - self.gap_seconds)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Note a load report."""
        self.unreachable = False
        self.load = report
        self.load_reported_at = now
        self.in_flight_at_report = self.in_flight
        if not report["leaving"]:
            # The endpoint itself knows best that it has come back.
            self.leaving_sources -= {REPORT, REFUSAL, PEER_ENTRY}

    def succeeded(self) -> None:
        """Note a request that ran to its end."""
        self.failures = 0

    def eject(self, now: float) -> float:
        """Give it no work for a while, longer with each failure in a row.

        Returns:
            The seconds that it gets no work.
        """
        factor = 2 ** min(self.failures, 8)
        seconds = min(LONGEST_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * factor)
        self.failures += 1
        self.ejected_until = now + seconds
        return seconds


class Fleet:
    """All endpoints of the manifest in force, grouped by what they hold."""

    def __init__(self) -> None:
        #: Every endpoint by name.
        self.states: dict[str, EndpointState] = {}
        #: Model servers by model and layer range.
        self.ranges: dict[str, dict[tuple[int, int], list[EndpointState]]] = {}
        #: Servers of each plain service.
        self.services: dict[str, list[EndpointState]] = {}
        #: Number of layers of each model.
        self.layers: dict[str, int] = {}
        #: Number of entries that share the model servers.
        self.entries = 1
        #: Moving average of the seconds between tokens of all chains.
        self.typical_gap = INITIAL_GAP_SECONDS

    def load_manifest(self, manifest: ManifestDocument) -> None:
        """Take over a manifest; endpoints that stay keep what was observed."""
        old = self.states
        self.states = {}
        self.ranges = {model["name"]: {} for model in manifest["models"]}
        self.layers = {model["name"]: model["layers"] for model in manifest["models"]}
        for document in manifest["endpoints"]:
            endpoint = Endpoint(
                document["name"],
                document["address"],
                document["failure_domain"],
                document["kind"],
                document["model"],
                document["first_layer"],
                document["last_layer"],
                document["concurrency"],
            )
            state = self.carry_over(old, endpoint, document["leaving"])
            groups = self.ranges[endpoint.model]
            groups.setdefault((endpoint.first, endpoint.last), []).append(state)
        self.services = {}
        for service in manifest["services"]:
            self.services[service["name"]] = [
                self.carry_over(
                    old,
                    Endpoint(
                        server["name"], server["address"], server["failure_domain"]
                    ),
                    server["leaving"],
                )
                for server in service["endpoints"]
            ]

    def carry_over(
        self, old: dict[str, EndpointState], endpoint: Endpoint, leaving: bool
    ) -> EndpointState:
        """Return the state of an endpoint: the old one where it is the same."""
        state = old.get(endpoint.name)
        if state is None or state.endpoint != endpoint:
            state = EndpointState(endpoint)
        state.leaving_sources.discard(MANIFEST)
        if leaving:
            state.leaving_sources.add(MANIFEST)
        self.states[endpoint.name] = state
        return state

    def assign_slots(self, rank: int, entries: int) -> None:
        """Divide the places of all model servers among the entries.

        Every place belongs to one entry, so that entries that know nothing of
        each other's requests do not meet on the same server.

        Args:
            rank: Rank of this entry among all, from 0.
            entries: Number of entries.
        """
        self.entries = entries
        for groups in self.ranges.values():
            for states in groups.values():
                place = 0
                for state in states:
                    owners = range(place, place + state.endpoint.concurrency)
                    state.own_slots = sum(n % entries == rank for n in owners)
                    place += state.endpoint.concurrency

    def available_slots(self, now: float) -> int:
        """Return how many streams this entry may run at once.

        Its own places, or what it used at the last load reports and an equal
        part of what was free then, if that is more. All entries together thus
        take no more than was free, also when load comes to all of them at once.

        Args:
            now: Monotonic time.
        """
        total = 0
        for groups in self.ranges.values():
            totals = [
                group_slots(states, self.entries, now) for states in groups.values()
            ]
            total += min(totals, default=0)
        return total

    def observe_gap(
        self, states: list[EndpointState], seconds: float, now: float
    ) -> None:
        """Note the time between two tokens of a chain, for each of its endpoints."""
        self.typical_gap += SMOOTHING * (seconds - self.typical_gap)
        for state in states:
            state.observe_gap(seconds, now)

    def expected_gap(self, state: EndpointState, now: float) -> float:
        """Return the seconds between tokens to expect of an endpoint.

        One not yet observed counts as typical: a better guess would draw all
        requests to it at once, a worse one would never try it. For the same
        reason an old observation fades into the typical value.
        """
        if state.gap_seconds is None:
            return self.typical_gap
        weight = 0.5 ** ((now - state.gap_observed_at) / GAP_HALF_LIFE_SECONDS)
        return self.typical_gap + weight * (state.gap_seconds - self.typical_gap)

    def replicas_of(self, state: EndpointState) -> list[EndpointState]:
        """Return the endpoints that can stand in for one, itself included."""
        endpoint = state.endpoint
        if endpoint.model:
            groups = self.ranges.get(endpoint.model, {})
            return groups.get((endpoint.first, endpoint.last), [])
        for servers in self.services.values():
            if state in servers:
                return servers
        return []

    def may_eject(self, state: EndpointState, now: float) -> bool:
        """Whether ejecting one more endpoint keeps within the allowed share."""
        group = self.replicas_of(state)
        ejected = sum(1 for other in group if now < other.ejected_until)
        return ejected + 1 <= EJECTED_SHARE * len(group)


def group_slots(states: list[EndpointState], entries: int, now: float) -> int:
    """Return how many streams an entry may run on the endpoints of one range."""
    usable = [state for state in states if state.usable(now)]
    own = sum(state.own_slots for state in usable)
    known = [state for state in usable if state.has_recent_load(now)]
    unknown = sum(state.own_slots for state in usable if not state.has_recent_load(now))
    used = sum(state.in_flight_at_report for state in known)
    free = sum(state.free_slots_at_report for state in known)
    return max(own, unknown + used + free // entries)
