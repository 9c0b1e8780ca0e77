"""Passive health checks: endpoints are judged by their responses, without probes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from pistachioreach.routing.rate_limits import StatedLimits

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.platform.requests import EndpointResponse

__all__ = ["HealthTracker", "QuarantineNotice"]

#: Length of the quarantine after the first failure; the length doubles with each
#: further failure.
INITIAL_QUARANTINE_SECONDS = 0.4
#: Maximum length of a quarantine, so that the return of an endpoint is noticed
#: within the recovery time.
MAX_QUARANTINE_SECONDS = 4.0
#: Seconds by which a router that was notified quarantines an endpoint longer than the
#: router that observed the failure, so that few routers retry the endpoint.
PEER_EXTRA_SECONDS = 0.5
#: Seconds after which a reported load has lost half of its weight.
LOAD_HALF_LIFE_SECONDS = 0.3


class QuarantineNotice(NamedTuple):
    """Notice to other routers that this router has quarantined an endpoint.

    Attributes:
        seconds: Remaining length of the quarantine.
        lost: Whether nothing responds at the endpoint's address. Otherwise the
            endpoint rejected a request, perhaps for lack of memory, and other
            routers can use the endpoint again soon.
        registration: Digest of the registration that the notice is about. An endpoint
            whose registration has changed since is usable again.
    """

    seconds: float
    lost: bool
    registration: str


class HealthTracker:
    """Quarantines endpoints by their responses and by notices of other routers.

    Args:
        clock: Clock for all decisions.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock for all decisions.
        self.clock = clock
        #: Monotonic time, in seconds, of each endpoint's last reported load.
        self.load_reported_at: dict[str, float] = {}
        #: Monotonic time, in seconds, of each endpoint's last announcement to other
        #: routers.
        self.announced_at: dict[str, float] = {}
        #: Limits that the endpoints state in their responses.
        self.limits = StatedLimits(clock)
        #: Event that is set, and then replaced, when the other routers must be
        #: notified of a lost endpoint at once.
        self.announcement = trio.Event()

    def record_response(self, endpoint: Endpoint, response: EndpointResponse) -> None:
        """Update an endpoint's load, limit and health by one of its responses."""
        self.record_statements(endpoint, response)
        self.record_outcome(endpoint, response)

    def record_statements(self, endpoint: Endpoint, response: EndpointResponse) -> None:
        """Record what a header section states, whether or not its body is complete."""
        if response.leaving and not endpoint.states_leaving:
            endpoint.states_leaving = True
            logger.bind(
                endpoint=endpoint.id,
                address=endpoint.registration.address,
                registered_as_leaving=endpoint.registration.leaving,
            ).info("endpoint states that it is leaving")
        self.limits.record(endpoint.run_id, response.requests_per_second)
        if response.refused_seconds is not None:
            self.record_refusal(endpoint, response.refused_seconds)
        if response.load is not None:
            endpoint.reported_load = response.load
            self.load_reported_at[endpoint.id] = self.clock.monotonic()

    def record_outcome(self, endpoint: Endpoint, response: EndpointResponse) -> None:
        """Record a response that shows that an endpoint works."""
        if not response.not_run and response.signed and response.status < 500:
            self.record_success(endpoint)

    def record_refusal(self, endpoint: Endpoint, seconds: float) -> None:
        """Record that an endpoint refuses the requests of this router for some time.

        Args:
            endpoint: The endpoint.
            seconds: Time for which it refuses them.
        """
        until = self.clock.monotonic() + seconds
        endpoint.refuses_until = max(endpoint.refuses_until, until)
        logger.bind(
            endpoint=endpoint.id,
            address=endpoint.registration.address,
            seconds=seconds,
        ).info("endpoint refuses requests for some time")

    def quarantine_notices(
        self, endpoints: Iterable[Endpoint]
    ) -> dict[str, QuarantineNotice]:
        """Return the notices for other routers, by the identifier of the endpoint.

        Each router that receives the notice of a lost endpoint forwards the notice,
        so that every router gets the notice within a few gossip rounds. The notice
        states the remaining time, so the quarantine ends at about the same time on
        all routers.

        Args:
            endpoints: Endpoints to consider.
        """
        now = self.clock.monotonic()
        return {
            endpoint.id: QuarantineNotice(
                endpoint.announced_until - now,
                endpoint.lost_until > now,
                endpoint.registration.digest(),
            )
            for endpoint in endpoints
            if endpoint.announced_until > now
        }

    def apply_notice(self, endpoint: Endpoint, notice: QuarantineNotice) -> None:
        """Quarantine an endpoint that another router has quarantined.

        Without the notice, each of many routers would send its own requests to a dead
        engine until the engine's registration expires. A notice about another
        registration than the known one is ignored: it is out of date, or it comes
        again when this router has read the new registration.

        Args:
            endpoint: The endpoint.
            notice: Notice of the other router.
        """
        if notice.registration != endpoint.registration.digest():
            return
        now = self.clock.monotonic()
        until = now + min(notice.seconds, MAX_QUARANTINE_SECONDS)
        if notice.lost:
            if now >= endpoint.lost_until:
                self.announce(endpoint)
            endpoint.lost_until = max(endpoint.lost_until, until)
            endpoint.announced_until = max(endpoint.announced_until, until)
            until += PEER_EXTRA_SECONDS
        endpoint.quarantined_until = max(endpoint.quarantined_until, until)

    def announce(self, endpoint: Endpoint) -> None:
        """Have the other routers notified of a lost endpoint at once.

        Set the announcement event, unless the endpoint was already announced within
        the last `MAX_QUARANTINE_SECONDS`.

        Args:
            endpoint: The lost endpoint.
        """
        now = self.clock.monotonic()
        if (
            now - self.announced_at.get(endpoint.id, float("-inf"))
            < MAX_QUARANTINE_SECONDS
        ):
            return
        self.announced_at[endpoint.id] = now
        self.announcement.set()
        self.announcement = trio.Event()

    def record_success(self, endpoint: Endpoint) -> None:
        """Record that an endpoint works, and end its quarantine."""
        endpoint.failures = 0
        endpoint.quarantined_until = endpoint.announced_until = endpoint.lost_until = (
            0.0
        )

    def reported_load(self, endpoint: Endpoint) -> float:
        """Return the last reported load of an endpoint, which decays with its age."""
        age = self.clock.monotonic() - self.load_reported_at.get(
            endpoint.id, float("-inf")
        )
        return endpoint.reported_load * 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)

    def mark_unusable(self, endpoint: Endpoint, detail: str) -> None:
        """Quarantine an endpoint as lost, until its registration changes.

        The quarantine ends after the maximum length at the latest; failures while it
        lasts do not extend it. The reason may be that nothing listens at the address,
        that another instance responds there, or that the endpoint does not hold the
        layers that it registered.

        Args:
            endpoint: The endpoint.
            detail: Observed reason, for the log.
        """
        now = self.clock.monotonic()
        if now < endpoint.lost_until:
            return
        endpoint.announced_until = endpoint.lost_until = now + MAX_QUARANTINE_SECONDS
        if now >= endpoint.quarantined_until:
            logger.bind(
                endpoint=endpoint.id,
                address=endpoint.registration.address,
                seconds=MAX_QUARANTINE_SECONDS,
                reason=detail,
            ).info("endpoint avoided until its registration changes")
            self.announce(endpoint)
        endpoint.quarantined_until = now + MAX_QUARANTINE_SECONDS

    def record_failure(
        self, endpoint: Endpoint, detail: str, notify_peers: bool = False
    ) -> None:
        """Quarantine an endpoint after a failure, with exponential backoff.

        Failures during the quarantine are ignored.

        Args:
            endpoint: The endpoint.
            detail: Observed failure, for the log.
            notify_peers: Whether the other routers are to quarantine the endpoint
                too.
        """
        now = self.clock.monotonic()
        if now < endpoint.quarantined_until:
            return
        seconds = min(
            MAX_QUARANTINE_SECONDS, INITIAL_QUARANTINE_SECONDS * 2**endpoint.failures
        )
        endpoint.failures += 1
        endpoint.quarantined_until = now + seconds
        if notify_peers:
            endpoint.announced_until = now + seconds
        logger.bind(
            endpoint=endpoint.id,
            address=endpoint.registration.address,
            seconds=seconds,
            failures=endpoint.failures,
            reason=detail,
        ).info("endpoint avoided")
