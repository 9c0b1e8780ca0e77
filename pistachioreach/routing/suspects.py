"""Detection of requests that crash the endpoints on which they run."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pistachioreach.clock import Clock

__all__ = ["SuspectTracker", "fingerprint_of"]

#: Time for which a death counts against a request, in seconds.
DEATH_TTL_SECONDS = 3600.0
#: Time for which a death is sent to the other entries, in seconds.
GOSSIP_SECONDS = 3.0
#: Maximum number of stored fingerprints. The oldest ones are dropped first.
MAX_FINGERPRINTS = 10_000


def fingerprint_of(workspace: str, model: str, prompt: str) -> str:
    """Return a hash that is equal for each repetition of a request by its caller."""
    text = f"{workspace}\0{model}\0{prompt}"
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


class SuspectTracker:
    """The endpoint deaths that count against each request fingerprint.

    When an endpoint dies, all requests that were in flight on the endpoint become
    suspects.

    Args:
        clock: Clock by which deaths expire.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which deaths expire.
        self.clock = clock
        #: Recorded deaths of each fingerprint: the name of each death, and the
        #: monotonic time at which it was recorded.
        self.deaths: dict[str, dict[str, float]] = {}

    def record_death(self, fingerprint: str, death: str) -> bool:
        """Record the death of an endpoint that ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            death: Unique name of the death. Each name counts once.

        Returns:
            Whether the death was not yet recorded for the fingerprint.
        """
        known = self.deaths.setdefault(fingerprint, {})
        new = death not in known
        if new:
            known[death] = self.clock.monotonic()
        while len(self.deaths) > MAX_FINGERPRINTS:
            self.deaths.pop(next(iter(self.deaths)))
        return new

    def death_count(self, fingerprint: str) -> int:
        """Return the number of unexpired deaths that count against a request."""
        known = self.deaths.get(fingerprint)
        if not known:
            return 0
        oldest = self.clock.monotonic() - DEATH_TTL_SECONDS
        return sum(1 for recorded_at in known.values() if recorded_at >= oldest)

    def recent_deaths(self) -> list[tuple[str, str]]:
        """Return the deaths that are sent to the other entries.

        Returns:
            Pairs of a fingerprint and the name of a death.
        """
        oldest = self.clock.monotonic() - GOSSIP_SECONDS
        return [
            (fingerprint, death)
            for fingerprint, deaths in self.deaths.items()
            for death, recorded_at in deaths.items()
            if recorded_at >= oldest
        ]

    def clear(self, fingerprint: str) -> None:
        """Drop the recorded deaths of a request that completed."""
        self.deaths.pop(fingerprint, None)
