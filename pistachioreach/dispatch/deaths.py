"""Deaths of endpoints, and which requests were in flight on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.routing.suspects import SuspectTracker

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioreach.clock import Clock

__all__ = ["Deaths"]

#: Seconds within which reports of one endpoint's death mean the same death.
SAME_DEATH_SECONDS = 2.0


class Deaths:
    """Lets each death of an endpoint count once against what ran on it.

    Args:
        entry: Name of this entry, part of each death's name.
        clock: Clock that tells deaths apart.
    """

    def __init__(self, entry: str, clock: Clock) -> None:
        #: Name of this entry.
        self.entry = entry
        #: Clock that tells deaths apart.
        self.clock = clock
        #: Where deaths are counted.
        self.suspicion = SuspectTracker(clock)
        #: Fingerprints in flight, by endpoint, with how often.
        self.in_flight: dict[str, dict[str, int]] = {}
        #: Time and name of the last death, by endpoint.
        self.last: dict[str, tuple[float, str]] = {}
        #: Deaths seen so far.
        self.count = 0

    def started(self, fingerprint: str, endpoints: Iterable[str]) -> None:
        """Note that a request runs on some endpoints."""
        for endpoint in endpoints:
            running = self.in_flight.setdefault(endpoint, {})
            running[fingerprint] = running.get(fingerprint, 0) + 1

    def stopped(self, fingerprint: str, endpoints: Iterable[str]) -> None:
        """Note that a request no longer runs on some endpoints."""
        for endpoint in endpoints:
            running = self.in_flight[endpoint]
            running[fingerprint] -= 1
            if not running[fingerprint]:
                del running[fingerprint]

    def died(self, endpoint: str) -> list[str]:
        """Count the death of an endpoint against all requests that ran on it.

        Returns:
            The fingerprints for which this death is new, for the other entries.
        """
        now = self.clock.monotonic()
        at, name = self.last.get(endpoint, (-SAME_DEATH_SECONDS, ""))
        if now - at >= SAME_DEATH_SECONDS:
            self.count += 1
            name = f"{endpoint}/{self.entry}/{self.count}"
            self.last[endpoint] = (now, name)
        running = self.in_flight.get(endpoint, {})
        return [
            fingerprint
            for fingerprint in running
            if self.suspicion.record_death(fingerprint, name)
        ]
