"""Marks of endpoints by the answers that they give; no probes are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.platform.requests import EndpointResponse

__all__ = ["QuarantineNotice", "HealthTracker"]

#: Seconds without new work after the first failure; they double with each.
INITIAL_QUARANTINE_SECONDS = 0.4
#: Most seconds without new work, so that a return is seen within recovery time.
MAX_QUARANTINE_SECONDS = 4.0
#: Seconds by which an entry that was told avoids an endpoint longer than one that
#: has seen it fail, so that few try whether it is well again.
PEER_EXTRA_SECONDS = 0.5
#: Seconds in which a reported load loses half of its weight.
LOAD_HALF_LIFE_SECONDS = 0.3


class QuarantineNotice(NamedTuple):
    """What one entry tells the others of an endpoint.

    Attributes:
        seconds: How long it goes on avoiding the endpoint.
        lost: Whether nothing answers there. Else the endpoint refused a request,
            perhaps for want of memory, and is of use to others soon.
    """

    seconds: float
    lost: bool


class HealthTracker:
    """What answers tell of endpoints.

    Args:
        clock: Clock of all decisions.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock of all decisions.
        self.clock = clock
        #: Monotonic time of each endpoint's last reported load.
        self.reported: dict[str, float] = {}
        #: Monotonic time at which the others were last told of each endpoint.
        self.announced_at: dict[str, float] = {}
        #: Set and replaced when an endpoint is found to be lost.
        self.announcement = trio.Event()

    def record_response(self, endpoint: Endpoint, answer: EndpointResponse) -> None:
        """Note an answer."""
        if answer.load is not None:
            endpoint.reported_load = answer.load
            self.reported[endpoint.id] = self.clock.monotonic()
        if not answer.not_run and answer.signed and answer.status < 500:
            self.record_success(endpoint)

    def quarantine_notices(
        self, endpoints: Iterable[Endpoint]
    ) -> dict[str, QuarantineNotice]:
        """Return the endpoints that other entries are to avoid.

        A lost one is passed on by all who are told, so that the word reaches each
        entry within a few rounds; it ends everywhere at about the same time.
        """
        now = self.clock.monotonic()
        return {
            endpoint.id: QuarantineNotice(
                endpoint.announced_until - now, endpoint.lost_until > now
            )
            for endpoint in endpoints
            if endpoint.announced_until > now
        }

    def apply_notice(self, endpoint: Endpoint, blame: QuarantineNotice) -> None:
        """Avoid an endpoint that another entry avoids.

        Answers the death of an engine on a day with many entries: each of them
        would else try it for itself, until its registration lapses.

        Args:
            endpoint: The endpoint.
            blame: What the other entry says of it.
        """
        now = self.clock.monotonic()
        until = now + min(blame.seconds, MAX_QUARANTINE_SECONDS)
        if blame.lost:
            if now >= endpoint.lost_until:
                self.announce(endpoint)
            endpoint.lost_until = max(endpoint.lost_until, until)
            endpoint.announced_until = max(endpoint.announced_until, until)
            until += PEER_EXTRA_SECONDS
        endpoint.quarantined_until = max(endpoint.quarantined_until, until)

    def announce(self, endpoint: Endpoint) -> None:
        """Let the other entries know at once, but seldom of the same endpoint."""
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
        """Note that a stream runs through an endpoint."""
        endpoint.failures = 0
        endpoint.quarantined_until = endpoint.announced_until = endpoint.lost_until = (
            0.0
        )

    def reported_load(self, endpoint: Endpoint) -> float:
        """Return the load last reported, less with its age."""
        age = self.clock.monotonic() - self.reported.get(endpoint.id, float("-inf"))
        return endpoint.reported_load * 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)

    def mark_unusable(self, endpoint: Endpoint, detail: str) -> None:
        """Give an endpoint no new work until it registers anew.

        Nothing listens at its address, another run answers there, or it does not
        hold what its entry says.
        """
        now = self.clock.monotonic()
        endpoint.announced_until = endpoint.lost_until = now + MAX_QUARANTINE_SECONDS
        if now >= endpoint.quarantined_until:
            logger.bind(
                endpoint=endpoint.id,
                address=endpoint.registration.address,
                seconds=MAX_QUARANTINE_SECONDS,
                reason=detail,
            ).info("endpoint avoided until its entry changes")
            self.announce(endpoint)
        endpoint.quarantined_until = now + MAX_QUARANTINE_SECONDS

    def record_failure(
        self, endpoint: Endpoint, detail: str, notify_peers: bool = False
    ) -> None:
        """Give an endpoint no new work for a while.

        Args:
            endpoint: The endpoint.
            detail: What was seen.
            notify_peers: Whether the other entries are to avoid it too.
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
