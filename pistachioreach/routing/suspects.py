"""Suspicion of requests that kill the endpoints that run them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pistachioreach.clock import Clock

__all__ = ["SuspectTracker", "fingerprint_of"]

#: Seconds for which a death counts against a request.
MEMORY_SECONDS = 3600.0
#: Seconds for which a death is told to the other entries.
TOLD_SECONDS = 3.0
#: Fingerprints remembered at most, the oldest dropped first.
MEMORY_ENTRIES = 10_000


def fingerprint_of(workspace: str, model: str, prompt: str) -> str:
    """Return what stays the same when a caller sends a request again."""
    text = f"{workspace}\0{model}\0{prompt}"
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


class SuspectTracker:
    """Deaths of endpoints, by the fingerprints that were in flight on them.

    Args:
        clock: Clock by which deaths are forgotten.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which deaths are forgotten.
        self.clock = clock
        #: For each fingerprint the deaths seen: a name of each, and its time.
        self.deaths: dict[str, dict[str, float]] = {}

    def record_death(self, fingerprint: str, death: str) -> bool:
        """Count a death against a request.

        Args:
            fingerprint: Fingerprint of the request.
            death: Name of the death; the same name counts once.

        Returns:
            Whether this death is new for the fingerprint.
        """
        known = self.deaths.setdefault(fingerprint, {})
        new = death not in known
        if new:
            known[death] = self.clock.monotonic()
        while len(self.deaths) > MEMORY_ENTRIES:
            self.deaths.pop(next(iter(self.deaths)))
        return new

    def death_count(self, fingerprint: str) -> int:
        """Return the recent deaths that count against a request."""
        known = self.deaths.get(fingerprint)
        if not known:
            return 0
        oldest = self.clock.monotonic() - MEMORY_SECONDS
        return sum(1 for at in known.values() if at >= oldest)

    def recent_deaths(self) -> list[tuple[str, str]]:
        """Return fingerprint and name of the deaths that are still told to others."""
        oldest = self.clock.monotonic() - TOLD_SECONDS
        return [
            (fingerprint, death)
            for fingerprint, deaths in self.deaths.items()
            for death, at in deaths.items()
            if at >= oldest
        ]

    def clear(self, fingerprint: str) -> None:
        """Forget a request that ran to its end."""
        self.deaths.pop(fingerprint, None)
