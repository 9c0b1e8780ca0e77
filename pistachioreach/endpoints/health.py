"""Marks of endpoints by the answers that they give; no probes are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.platform.requests import EndpointAnswer

__all__ = ["HealthMarks"]

#: Seconds without new work after the first failure; they double with each.
FIRST_REST = 0.4
#: Most seconds without new work, so that a return is seen within recovery time.
LONGEST_REST = 4.0
#: Seconds in which a reported load loses half of its weight.
LOAD_HALF_LIFE = 0.3


class HealthMarks:
    """What answers tell of endpoints.

    Args:
        clock: Clock of all decisions.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock of all decisions.
        self.clock = clock
        #: Monotonic time of each endpoint's last reported load.
        self.reported: dict[str, float] = {}

    def answered(self, endpoint: Endpoint, answer: EndpointAnswer) -> None:
        """Note an answer."""
        if answer.load is not None:
            endpoint.reported_load = answer.load
            self.reported[endpoint.id] = self.clock.monotonic()
        if not answer.not_run and answer.genuine and answer.status < 500:
            endpoint.failures = 0
            endpoint.avoided_until = endpoint.blamed_until = 0.0

    def blamed(self, endpoints: Iterable[Endpoint]) -> dict[str, float]:
        """Return the seconds for which endpoints are avoided, for other entries."""
        now = self.clock.monotonic()
        return {
            endpoint.id: endpoint.blamed_until - now
            for endpoint in endpoints
            if endpoint.blamed_until > now
        }

    def told(self, endpoint: Endpoint, seconds: float) -> None:
        """Avoid an endpoint of which another entry has seen that it is unusable."""
        until = self.clock.monotonic() + min(seconds, LONGEST_REST)
        endpoint.avoided_until = max(endpoint.avoided_until, until)

    def reported_load(self, endpoint: Endpoint) -> float:
        """Return the load last reported, less with its age."""
        age = self.clock.monotonic() - self.reported.get(endpoint.id, float("-inf"))
        return endpoint.reported_load * 0.5 ** (age / LOAD_HALF_LIFE)

    def unusable(self, endpoint: Endpoint, detail: str) -> None:
        """Give an endpoint no new work until it registers anew.

        Nothing listens at its address, another run answers there, or it does not
        hold what its entry says.
        """
        now = self.clock.monotonic()
        endpoint.blamed_until = now + LONGEST_REST
        if now >= endpoint.avoided_until:
            logger.bind(
                endpoint=endpoint.id,
                address=endpoint.registration.address,
                seconds=LONGEST_REST,
                reason=detail,
            ).info("endpoint avoided until its entry changes")
        endpoint.avoided_until = now + LONGEST_REST

    def failed(self, endpoint: Endpoint, detail: str, tell: bool = False) -> None:
        """Give an endpoint no new work for a while.

        Args:
            endpoint: The endpoint.
            detail: What was seen.
            tell: Whether the other entries are to avoid it too.
        """
        now = self.clock.monotonic()
        if now < endpoint.avoided_until:
            return
        seconds = min(LONGEST_REST, FIRST_REST * 2**endpoint.failures)
        endpoint.failures += 1
        endpoint.avoided_until = now + seconds
        if tell:
            endpoint.blamed_until = now + seconds
        logger.bind(
            endpoint=endpoint.id,
            address=endpoint.registration.address,
            seconds=seconds,
            failures=endpoint.failures,
            reason=detail,
        ).info("endpoint avoided")
