"""Directory of the endpoints that have registered themselves."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Directory", "Endpoint", "LayerRange", "Registration"]

#: Maximum number of removed endpoints that are remembered. The oldest ones are dropped
#: first.
MAX_REMOVED = 1000


class LayerRange(NamedTuple):
    """Range of a model's layers that an endpoint holds.

    Attributes:
        first: First layer of the range.
        last: Layer after the last layer of the range.
        version: Version of the model weights.
    """

    first: int
    last: int
    version: int


class Registration(NamedTuple):
    """Properties of an endpoint, as the endpoint itself registers them.

    Attributes:
        id: Identifier of the endpoint's instance; a restart may keep it.
        service: Name of the service that the endpoint belongs to.
        address: `ip:port` of the endpoint. An endpoint of another service may get
            the same address later.
        failure_domain: Failure domain of the endpoint.
        started_ms: Start time of the endpoint in Unix milliseconds, or 0.
        leaving: Whether the endpoint accepts no new requests.
        slots: Number of requests that the endpoint processes concurrently.
        card: Kind of the endpoint's accelerator, or an empty string.
        layers: Layers that the endpoint holds, or None.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    started_ms: int
    leaving: bool
    slots: int
    card: str
    layers: LayerRange | None

    def digest(self) -> str:
        """Return a digest that is the same on all routers that know this state."""
        return hashlib.blake2b(repr(tuple(self)).encode(), digest_size=6).hexdigest()


class Endpoint:
    """Registered endpoint, with the health and load that this router has observed.

    Args:
        registration: Properties of the endpoint.
    """

    def __init__(self, registration: Registration) -> None:
        #: Properties of the endpoint, as it registered them.
        self.registration = registration
        #: Number of this router's requests that the endpoint is processing.
        self.in_flight = 0
        #: Share of the endpoint's slots in use, by its last response.
        self.reported_load = 0.0
        #: Monotonic time, in seconds, until which the endpoint is quarantined: it
        #: gets no new requests.
        self.quarantined_until = 0.0
        #: Monotonic time, in seconds, until which this router announces to other
        #: routers that the endpoint is quarantined.
        self.announced_until = 0.0
        #: Monotonic time, in seconds, until which the endpoint is considered lost:
        #: nothing responds at its address.
        self.lost_until = 0.0
        #: Whether the endpoint has stated in a response, or in an earlier registration,
        #: that it is leaving.
        self.states_leaving = False
        #: Monotonic time, in seconds, until which the endpoint refuses the requests of
        #: this router, as it stated in a response.
        self.refuses_until = 0.0
        #: Consecutive failures since the endpoint's last successful response.
        self.failures = 0

    def update(self, registration: Registration) -> None:
        """Use a new registration of the same run, and end the quarantine."""
        if registration.started_ms:
            # A run that leaves does so until its end: a row that says otherwise is a
            # write that the store applied late. Without a start, it may be a later run.
            self.states_leaving = self.leaving
        self.registration = registration
        self.quarantined_until = self.announced_until = self.lost_until = 0.0

    @property
    def id(self) -> str:
        """Return the identifier of the endpoint's instance."""
        return self.registration.id

    @property
    def run_id(self) -> str:
        """Return the identifier of this run; a restart may keep the instance's."""
        return f"{self.registration.id}/{self.registration.started_ms}"

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint accepts no new requests from any entry."""
        return self.registration.leaving or self.states_leaving

    def accepts(self, now: float) -> bool:
        """Return whether the endpoint accepts new requests, as far as it has stated.

        Args:
            now: Current monotonic time, in seconds.
        """
        return not self.leaving and now >= self.refuses_until

    def usable(self, now: float) -> bool:
        """Return whether the endpoint should get new requests.

        Args:
            now: Current monotonic time, in seconds.
        """
        return self.accepts(now) and now >= self.quarantined_until


class Directory:
    """All registered endpoints, by identifier."""

    def __init__(self) -> None:
        #: Endpoints by identifier.
        self.endpoints: dict[str, Endpoint] = {}
        #: Removed and replaced endpoints by the identifier of their run, which may be
        #: registered again after an outage of the store or by a late write.
        self.removed: dict[str, Endpoint] = {}

    def register(self, registration: Registration) -> bool:
        """Add or update the endpoint of a registration.

        An update that changes any property ends the endpoint's quarantine.

        Args:
            registration: Properties of the endpoint.

        Returns:
            Whether the registration is new or differs from the previous one.
        """
        known = self.endpoints.get(registration.id)
        if known is None or known.registration.started_ms != registration.started_ms:
            # An endpoint that restarted with the same identifier has lost its state.
            if known is not None:
                self.remember(known)
            endpoint = Endpoint(registration)
            # Requests in progress refer to the state that the run had before.
            endpoint = self.removed.pop(endpoint.run_id, endpoint)
            endpoint.update(registration)
            self.endpoints[registration.id] = endpoint
            self.log_change("endpoint registered", registration)
        elif known.registration != registration:
            if registration.leaving and not known.registration.leaving:
                self.log_change("endpoint is leaving", registration)
            known.update(registration)
        else:
            return False
        return True

    def remove(self, id: str, reason: str) -> None:
        """Remove an endpoint; its running requests continue.

        Args:
            id: Identifier of the endpoint; an unknown one is ignored.
            reason: Reason for the removal, for the log.
        """
        endpoint = self.endpoints.pop(id, None)
        if endpoint is not None:
            self.log_change(f"endpoint removed: {reason}", endpoint.registration)
            self.remember(endpoint)

    def remember(self, endpoint: Endpoint) -> None:
        """Keep what an endpoint that is no longer registered has stated."""
        self.removed[endpoint.run_id] = endpoint
        while len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]

    def was_removed(self, registration: Registration) -> bool:
        """Return whether the endpoint's run has been removed or replaced lately."""
        return Endpoint(registration).run_id in self.removed

    def mark_leaving(self, run: str) -> None:
        """Record that an endpoint stated to another entry that it is leaving.

        Args:
            run: Identifier of the endpoint's run; an unknown one is ignored.
        """
        endpoint = self.endpoints.get(run.rpartition("/")[0])
        if endpoint is None or endpoint.run_id != run:
            endpoint = self.removed.get(run)
        if endpoint is not None:
            endpoint.states_leaving = True

    def leaving_runs(self) -> tuple[str, ...]:
        """Return the runs of the endpoints that leave but are registered as ready."""
        return tuple(
            endpoint.run_id
            for endpoint in self.endpoints.values()
            if endpoint.states_leaving and not endpoint.registration.leaving
        )

    def replace_all(self, registrations: Iterable[Registration]) -> None:
        """Register all endpoints of a full list and remove those that it lacks."""
        listed = {registration.id: registration for registration in registrations}
        for id in set(self.endpoints) - set(listed):
            self.remove(id, "not in the full list")
        for registration in listed.values():
            self.register(registration)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.registration.service == service
        ]

    def log_change(self, message: str, registration: Registration) -> None:
        """Log a change of one endpoint."""
        logger.bind(
            endpoint=registration.id,
            address=registration.address,
            service=registration.service,
            failure_domain=registration.failure_domain,
            layers=registration.layers and registration.layers[:2],
        ).info("{}", message)
