"""The endpoints that have registered themselves, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Directory", "Endpoint", "LayerRange", "Registration"]


class LayerRange(NamedTuple):
    """Layers of a model that an endpoint holds.

    Attributes:
        first: First layer.
        last: The layer after the last one.
        version: Version of the weights.
    """

    first: int
    last: int
    version: int


class Registration(NamedTuple):
    """What an endpoint says of itself.

    Attributes:
        id: Name of this run of the endpoint; a restart may keep it.
        service: Service that it belongs to.
        address: Its `ip:port`; later endpoints of other services may get it.
        failure_domain: Failure domain that it stands in.
        started_ms: Unix milliseconds of its start, or 0.
        leaving: Whether it takes no new work.
        slots: Requests that it works on at once.
        card: Kind of its accelerator, or an empty string.
        layers: Layers that it holds, or None.
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


class Endpoint:
    """A registered endpoint, with what this entry has seen of it.

    Args:
        registration: What it says of itself.
    """

    def __init__(self, registration: Registration) -> None:
        #: What it says of itself.
        self.registration = registration
        #: Requests of this entry that it works on.
        self.in_flight = 0
        #: Share of its slots in use, by its last answer.
        self.reported_load = 0.0
        #: Monotonic time until which it gets no new work.
        self.quarantined_until = 0.0
        #: The same, for what this entry tells the others.
        self.announced_until = 0.0
        #: Monotonic time until which nothing is taken to answer at its address.
        self.lost_until = 0.0
        #: Failures since its last good answer.
        self.failures = 0

    @property
    def id(self) -> str:
        """Name of this run of the endpoint."""
        return self.registration.id

    def usable(self, now: float) -> bool:
        """Whether it may get new work at a monotonic time."""
        return not self.registration.leaving and now >= self.quarantined_until


class Directory:
    """All registered endpoints."""

    def __init__(self) -> None:
        #: Endpoints by id.
        self.endpoints: dict[str, Endpoint] = {}

    def register(self, registration: Registration) -> bool:
        """Take over what an endpoint says of itself; return whether it is new."""
        known = self.endpoints.get(registration.id)
        if known is None or known.registration.started_ms != registration.started_ms:
            # A restart under the same id holds and knows nothing of before.
            self.endpoints[registration.id] = Endpoint(registration)
            self.log("endpoint registered", registration)
        elif known.registration != registration:
            if registration.leaving and not known.registration.leaving:
                self.log("endpoint is leaving", registration)
            known.registration = registration
            known.quarantined_until = known.announced_until = known.lost_until = 0.0
        else:
            return False
        return True

    def remove(self, id: str, reason: str) -> None:
        """Forget an endpoint; requests that it works on go on."""
        endpoint = self.endpoints.pop(id, None)
        if endpoint is not None:
            self.log(f"endpoint removed: {reason}", endpoint.registration)

    def replace_all(self, registrations: Iterable[Registration]) -> None:
        """Take over a full list; endpoints that it lacks are gone."""
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

    def log(self, message: str, registration: Registration) -> None:
        """Write one line on a change."""
        logger.bind(
            endpoint=registration.id,
            address=registration.address,
            service=registration.service,
            failure_domain=registration.failure_domain,
            layers=registration.layers and registration.layers[:2],
        ).info("{}", message)
