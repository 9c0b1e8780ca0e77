"""State of the endpoints as known to one entry, from the manifest and from traffic."""

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

#: Sources that can report that an endpoint is leaving.
MANIFEST = "manifest"
REPORT = "load report"
REFUSAL = "refused a stream"
VM_LIST = "VM list"
PEER_ENTRY = "another entry"

#: Weight of a new observation in a moving average.
SMOOTHING = 0.1
#: Time between tokens, in seconds, that is assumed until the first observation.
INITIAL_GAP_SECONDS = 0.02
#: Age, in seconds, at which an observed gap has half its weight. Links recover within
#: minutes.
GAP_HALF_LIFE_SECONDS = 10.0
#: Duration of the first ejection of an endpoint that failed, in seconds.
FIRST_EJECTION_SECONDS = 1.0
#: Maximum duration of an ejection, in seconds. An endpoint that has recovered is used
#: again within this time.
MAX_EJECTION_SECONDS = 30.0
#: Maximum share of the endpoints of one layer range that are ejected at the same time.
MAX_EJECTED_SHARE = 0.5
#: Age, in seconds, from which on a load report is ignored.
LOAD_REPORT_TTL_SECONDS = 5.0


class Endpoint(NamedTuple):
    """A model server or a server of a plain service.

    Attributes:
        name: Unique name of the endpoint.
        address: Address at which the endpoint listens, as `ip:port`.
        failure_domain: Failure domain of the endpoint.
        kind: Kind of the accelerators; empty for a plain service.
        model: Name of the model; empty for a plain service.
        first: First layer that the endpoint holds.
        last: Layer after the last one that the endpoint holds.
        concurrency: Maximum number of streams that the endpoint runs at the same time.
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
    """An endpoint with its observed state.

    Args:
        endpoint: The endpoint, as declared in the manifest.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        #: The endpoint, as declared in the manifest.
        self.endpoint = endpoint
        #: Number of this entry's requests that run on the endpoint.
        self.in_flight = 0
        #: Number of the endpoint's slots that are assigned to this entry.
        self.own_slots = 0
        #: Number of this entry's suspect requests that run on the endpoint.
        self.suspect_requests = 0
        #: Sources that report that the endpoint is leaving.
        self.leaving_sources: set[str] = set()
        #: Monotonic time until which the endpoint is ejected.
        self.ejected_until = 0.0
        #: Whether the last poll of the endpoint failed.
        self.unreachable = False
        #: Number of ejections since the last successful request.
        self.failures = 0
        #: Moving average of the time between tokens in chains that include the
        #: endpoint, in seconds, or None before the first observation.
        self.gap_seconds: float | None = None
        #: Monotonic time of the last observation of that time.
        self.gap_observed_at = 0.0
        #: Last load report, or None.
        self.load: LoadReport | None = None
        #: Monotonic time of the last load report.
        self.load_reported_at = 0.0
        #: Value of `in_flight` at the last load report.
        self.in_flight_at_report = 0

    @property
    def leaving(self) -> bool:
        """Whether any source reports that the endpoint is leaving."""
        return bool(self.leaving_sources)

    def usable(self, now: float) -> bool:
        """Return whether the endpoint may get new requests at a monotonic time."""
        return not (self.leaving or self.unreachable or now < self.ejected_until)

    def has_recent_load(self, now: float) -> bool:
        """Return whether the last load report has not expired."""
        return (
            self.load is not None
            and now - self.load_reported_at < LOAD_REPORT_TTL_SECONDS
        )

    @property
    def free_slots_at_report(self) -> int:
        """Number of slots that were free at the last load report."""
        taken = self.load["running"] + self.load["waiting"]
        return max(0, self.endpoint.concurrency - taken)

    def other_streams(self, now: float) -> int:
        """Return the number of streams of other entries at the last load report.

        Returns 0 if the report has expired.
        """
        if not self.has_recent_load(now):
            return 0
        reported = self.load["running"] + self.load["waiting"]
        return max(0, reported - self.in_flight_at_report)

    def occupancy(self, now: float) -> float:
        """Return the expected number of streams, as a fraction of the concurrency.

        The streams of other entries are taken from a recent load report. The number
        of this entry's own streams is known exactly.
        """
        return (self.in_flight + self.other_streams(now)) / self.endpoint.concurrency

    def observe_gap(self, seconds: float, now: float) -> None:
        """Record the time between two tokens of a chain that includes the endpoint.

        Args:
            seconds: Time between the tokens, in seconds.
            now: Monotonic time.
        """
        self.gap_observed_at = now
        if self.gap_seconds is None:
            self.gap_seconds = seconds
        self.gap_seconds += SMOOTHING * (seconds - self.gap_seconds)

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Store a load report of the endpoint.

        Args:
            report: The load report.
            now: Monotonic time.
        """
        self.unreachable = False
        self.load = report
        self.load_reported_at = now
        self.in_flight_at_report = self.in_flight
        if not report["leaving"]:
            # The endpoint's own report that it is not leaving overrides these sources.
            self.leaving_sources -= {REPORT, REFUSAL, PEER_ENTRY}

    def succeeded(self) -> None:
        """Reset the failure count after a request that ran to the end."""
        self.failures = 0

    def eject(self, now: float) -> float:
        """Exclude the endpoint from new requests for a time.

        The time doubles with each ejection until a request succeeds.

        Args:
            now: Monotonic time.

        Returns:
            Duration of the ejection, in seconds.
        """
        factor = 2 ** min(self.failures, 8)
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * factor)
        self.failures += 1
        self.ejected_until = now + seconds
        return seconds


class Fleet:
    """All endpoints of the manifest in force, by model, layer range and service."""

    def __init__(self) -> None:
        #: All endpoints by name.
        self.states: dict[str, EndpointState] = {}
        #: Model servers by model and layer range.
        self.ranges: dict[str, dict[tuple[int, int], list[EndpointState]]] = {}
        #: Servers of each plain service.
        self.services: dict[str, list[EndpointState]] = {}
        #: Number of layers of each model.
        self.layers: dict[str, int] = {}
        #: Number of entries that share the model servers.
        self.entries = 1
        #: Moving average of the time between tokens of all chains, in seconds.
        self.typical_gap = INITIAL_GAP_SECONDS

    def load_manifest(self, manifest: ManifestDocument) -> None:
        """Replace the endpoints by those of a manifest.

        Endpoints whose declaration is unchanged keep their observed state.
        """
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
        """Store and return the state of an endpoint of a new manifest.

        Args:
            old: States under the previous manifest, by name.
            endpoint: The endpoint.
            leaving: Whether the manifest declares that the endpoint is leaving.

        Returns:
            The old state if the endpoint's declaration is unchanged; otherwise a new
            state.
        """
        state = old.get(endpoint.name)
        if state is None or state.endpoint != endpoint:
            state = EndpointState(endpoint)
        state.leaving_sources.discard(MANIFEST)
        if leaving:
            state.leaving_sources.add(MANIFEST)
        self.states[endpoint.name] = state
        return state

    def assign_slots(self, rank: int, entries: int) -> None:
        """Divide the slots of all model servers among the entries.

        Each slot belongs to exactly one entry. Entries that do not know of each
        other's requests therefore do not overload the same server.

        Args:
            rank: Rank of this entry among all entries, from 0.
            entries: Number of entries.
        """
        self.entries = entries
        for groups in self.ranges.values():
            for states in groups.values():
                first_slot = 0
                for state in states:
                    slots = range(first_slot, first_slot + state.endpoint.concurrency)
                    state.own_slots = sum(n % entries == rank for n in slots)
                    first_slot += state.endpoint.concurrency

    def available_slots(self, now: float) -> int:
        """Return how many streams this entry may run at the same time.

        The number is the larger one of the entry's own slots, and the slots that it
        used at the last load reports plus an equal part of those that were free then.
        All entries together therefore take no more slots than were free, even if load
        reaches all of them at once.

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
        """Record the time between two tokens of a chain for all its endpoints.

        Args:
            states: Endpoints of the chain.
            seconds: Time between the tokens, in seconds.
            now: Monotonic time.
        """
        self.typical_gap += SMOOTHING * (seconds - self.typical_gap)
        for state in states:
            state.observe_gap(seconds, now)

    def expected_gap(self, state: EndpointState, now: float) -> float:
        """Return the expected time between tokens of an endpoint, in seconds.

        An endpoint without observations gets the typical value of all chains. A lower
        value would attract all requests to the endpoint at once, and with a higher
        value the endpoint would never be tried. For the same reason, an observation
        decays towards the typical value with its age.
        """
        if state.gap_seconds is None:
            return self.typical_gap
        weight = 0.5 ** ((now - state.gap_observed_at) / GAP_HALF_LIFE_SECONDS)
        return self.typical_gap + weight * (state.gap_seconds - self.typical_gap)

    def replicas_of(self, state: EndpointState) -> list[EndpointState]:
        """Return the replicas that can replace an endpoint, including the endpoint."""
        endpoint = state.endpoint
        if endpoint.model:
            groups = self.ranges.get(endpoint.model, {})
            return groups.get((endpoint.first, endpoint.last), [])
        for servers in self.services.values():
            if state in servers:
                return servers
        return []

    def may_eject(self, state: EndpointState, now: float) -> bool:
        """Return whether one more ejection among the replicas stays within the limit.

        Args:
            state: The endpoint that would be ejected.
            now: Monotonic time.
        """
        group = self.replicas_of(state)
        ejected = sum(1 for other in group if now < other.ejected_until)
        return ejected + 1 <= MAX_EJECTED_SHARE * len(group)


def group_slots(states: list[EndpointState], entries: int, now: float) -> int:
    """Return how many streams one entry may run on the endpoints of a layer range.

    Args:
        states: Endpoints of the layer range.
        entries: Number of entries.
        now: Monotonic time.
    """
    usable = [state for state in states if state.usable(now)]
    own = sum(state.own_slots for state in usable)
    reported = [state for state in usable if state.has_recent_load(now)]
    own_unreported = sum(
        state.own_slots for state in usable if not state.has_recent_load(now)
    )
    used = sum(state.in_flight_at_report for state in reported)
    free = sum(state.free_slots_at_report for state in reported)
    return max(own, own_unreported + used + free // entries)
