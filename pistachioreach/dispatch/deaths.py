"""Tracker of endpoint deaths and of the requests in flight at each death."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.routing.suspects import SuspectTracker

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Endpoint

__all__ = ["DeathTracker"]

#: Seconds within which further reports of an endpoint's death count as one death.
SAME_DEATH_SECONDS = 2.0


class DeathTracker:
    """Counts each death of an endpoint once against every request that ran on it.

    Args:
        entry: Name of this entry; part of the name of each death.
        clock: Clock that separates reports of one death from the next death.
    """

    def __init__(self, entry: str, clock: Clock) -> None:
        #: Name of this entry.
        self.entry = entry
        #: Clock that separates reports of one death from the next death.
        self.clock = clock
        #: Number of deaths that count against each request.
        self.suspects = SuspectTracker(clock)
        #: For each endpoint, the fingerprints of requests in flight there and how
        #: many requests have each fingerprint.
        self.in_flight: dict[str, dict[str, int]] = {}
        #: Monotonic time in seconds and name of the last death, by endpoint.
        self.last_death: dict[str, tuple[float, str]] = {}
        #: Number of deaths recorded so far.
        self.death_count = 0

    def request_started(self, fingerprint: str, endpoints: Iterable[str]) -> None:
        """Add a request to the requests in flight on some endpoints."""
        for endpoint in endpoints:
            running = self.in_flight.setdefault(endpoint, {})
            running[fingerprint] = running.get(fingerprint, 0) + 1

    def request_stopped(self, fingerprint: str, endpoints: Iterable[str]) -> None:
        """Remove a request from the requests in flight on some endpoints."""
        for endpoint in endpoints:
            running = self.in_flight[endpoint]
            running[fingerprint] -= 1
            if not running[fingerprint]:
                del running[fingerprint]

    def record_death(self, endpoint: str) -> list[str]:
        """Count the death of an endpoint against all requests in flight on it.

        Args:
            endpoint: Name of the endpoint.

        Returns:
            Fingerprints against which this death is counted for the first time, so
            that the other entries can be told.
        """
        return self.count(self.running_on(endpoint), self.name_death(endpoint))

    def record_crash(self, endpoint: Endpoint) -> None:
        """Count a suspected crash of an endpoint against all requests in flight on it.

        Args:
            endpoint: Endpoint whose connection broke.
        """
        for fingerprint in self.running_on(endpoint.id):
            self.suspects.record_crash(fingerprint, endpoint)

    def running_on(self, endpoint: str) -> tuple[str, ...]:
        """Return the fingerprints of the requests in flight on an endpoint."""
        return tuple(self.in_flight.get(endpoint, ()))

    def count(self, fingerprints: Iterable[str], name: str) -> list[str]:
        """Count a death against some requests.

        Args:
            fingerprints: Fingerprints of the requests.
            name: Name of the death.

        Returns:
            Fingerprints against which this death is counted for the first time.
        """
        return [
            fingerprint
            for fingerprint in fingerprints
            if self.suspects.record_death(fingerprint, name)
        ]

    def name_death(self, endpoint: str) -> str:
        """Return the name of a death that this entry has noticed now."""
        now = self.clock.monotonic()
        previous_at, name = self.last_death.get(endpoint, (-SAME_DEATH_SECONDS, ""))
        if now - previous_at >= SAME_DEATH_SECONDS:
            self.death_count += 1
            name = f"{endpoint}/{self.entry}/{self.death_count}"
            self.last_death[endpoint] = (now, name)
        return name
