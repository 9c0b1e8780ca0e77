"""Detection of requests and parts of prompts that crash endpoints."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from pistachioreach.clock import Clock

__all__ = ["SuspectTracker", "blocked_parts", "fingerprint_of", "part_fingerprints"]

#: Time for which a death counts against a request, in seconds.
DEATH_TTL_SECONDS = 3600.0
#: Time for which a death is sent to the other entries, in seconds.
GOSSIP_SECONDS = 3.0
#: Maximum number of stored fingerprints. The oldest ones are dropped first.
MAX_FINGERPRINTS = 10_000
#: First characters of the fingerprints of parts of prompts.
PART_PREFIX = "part/"
#: Crashes of engines after which a part of a prompt is blocked. One may be a
#: coincidence; each further one costs all streams of an engine.
MAX_PART_CRASHES = 2
#: Time for which a crash counts against a part, in seconds. A part that was blocked by
#: mistake is accepted again after that.
PART_TTL_SECONDS = 600.0
#: Time after an answer to a prompt during which no crash counts against its parts, in
#: seconds. A crash that another entry has seen is relayed for about that long.
CLEARED_SECONDS = 3.0


def fingerprint_of(workspace: str, model: str, prompt: str) -> str:
    """Return a hash that is equal for each repetition of a request by its caller."""
    text = f"{workspace}\0{model}\0{prompt}"
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def part_fingerprints(parts: Iterable[str]) -> list[str]:
    """Return the fingerprints of the parts of one prompt, in order.

    A fingerprint holds the index of the part, which is the same in all prompts.
    """
    return [f"{PART_PREFIX}{depth}/{part}" for depth, part in enumerate(parts)]


def part_depth(fingerprint: str) -> int:
    """Return the index in its prompts of the part that has a fingerprint."""
    return int(fingerprint.removeprefix(PART_PREFIX).partition("/")[0])


def blocked_parts(deaths: Mapping[str, Collection[str]]) -> set[str]:
    """Return the fingerprints of the parts to which enough crashes are attributed.

    Parts at the beginning of a prompt are in many prompts. A crash is therefore
    attributed to the last part that is blocked, and not to those before it.

    Args:
        deaths: Names of the deaths counted against each part, by fingerprint.
    """
    blocked: set[str] = set()
    attributed: set[str] = set()
    by_depth: dict[int, list[str]] = {}
    for fingerprint in deaths:
        by_depth.setdefault(part_depth(fingerprint), []).append(fingerprint)
    for depth in sorted(by_depth, reverse=True):
        found = [
            fingerprint
            for fingerprint in by_depth[depth]
            if len(set(deaths[fingerprint]) - attributed) >= MAX_PART_CRASHES
        ]
        blocked.update(found)
        for fingerprint in found:
            attributed.update(deaths[fingerprint])
    return blocked


class SuspectTracker:
    """The endpoint deaths that count against each fingerprint.

    When an endpoint dies, all requests that were in flight on the endpoint become
    suspects. The parts of a prompt become suspects if the answer was just beginning;
    they are blocked after few crashes, since each request with such a part differs from
    the others. Most parts are soon cleared by other requests that hold them.

    Args:
        clock: Clock by which deaths expire.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which deaths expire.
        self.clock = clock
        #: Recorded deaths of each fingerprint: the name of each death, and the
        #: monotonic time at which it was recorded.
        self.deaths: dict[str, dict[str, float]] = {}
        #: Fingerprints of the parts with MAX_PART_CRASHES deaths or more.
        self.suspected_parts: set[str] = set()
        #: Monotonic time at which each fingerprint was last cleared.
        self.cleared_at: dict[str, float] = {}

    def record_death(self, fingerprint: str, death: str) -> bool:
        """Record the death of an endpoint that ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            death: Unique name of the death. Each name counts once.

        Returns:
            Whether the death was not yet recorded for the fingerprint.
        """
        if self.recently_cleared(fingerprint):
            return False
        known = self.deaths.setdefault(fingerprint, {})
        new = death not in known
        if new:
            known[death] = self.clock.monotonic()
            if fingerprint.startswith(PART_PREFIX) and len(known) >= MAX_PART_CRASHES:
                self.suspected_parts.add(fingerprint)
        while len(self.deaths) > MAX_FINGERPRINTS:
            dropped = next(iter(self.deaths))
            del self.deaths[dropped]
            self.suspected_parts.discard(dropped)
        return new

    def death_count(self, fingerprint: str) -> int:
        """Return the number of unexpired deaths that count against a request."""
        known = self.deaths.get(fingerprint)
        if not known:
            return 0
        is_part = fingerprint.startswith(PART_PREFIX)
        ttl = PART_TTL_SECONDS if is_part else DEATH_TTL_SECONDS
        oldest = self.clock.monotonic() - ttl
        return sum(1 for recorded_at in known.values() if recorded_at >= oldest)

    def blocked_part(self, parts: Iterable[str]) -> str | None:
        """Return the fingerprint of the first part that is blocked, or None.

        Args:
            parts: Identifiers of the parts of a prompt that other prompts may share.
        """
        blocked = self.blocked_parts()
        if not blocked:
            return None
        found = (item for item in part_fingerprints(parts) if item in blocked)
        return next(found, None)

    def blocked_parts(self) -> set[str]:
        """Return the fingerprints of all blocked parts."""
        counted = {
            fingerprint: self.deaths[fingerprint]
            for fingerprint in self.suspected_parts
            if self.death_count(fingerprint) >= MAX_PART_CRASHES
        }
        return blocked_parts(counted)

    def recently_cleared(self, fingerprint: str) -> bool:
        """Return whether a fingerprint was cleared within CLEARED_SECONDS."""
        cleared_at = self.cleared_at.get(fingerprint, float("-inf"))
        return self.clock.monotonic() - cleared_at < CLEARED_SECONDS

    def recent_deaths(self) -> list[tuple[str, str]]:
        """Return the deaths that are sent to the other entries.

        Those of blocked parts are sent for as long as they count, so that entries that
        start later block these parts too.

        Returns:
            Pairs of a fingerprint and the name of a death.
        """
        oldest = self.clock.monotonic() - GOSSIP_SECONDS
        blocked = self.blocked_parts()
        return [
            (fingerprint, death)
            for fingerprint, deaths in self.deaths.items()
            for death, recorded_at in deaths.items()
            if recorded_at >= oldest or fingerprint in blocked
        ]

    def clear(self, fingerprint: str) -> None:
        """Drop the recorded deaths of a request or part that was answered."""
        self.deaths.pop(fingerprint, None)
        self.suspected_parts.discard(fingerprint)
        self.cleared_at.pop(fingerprint, None)
        self.cleared_at[fingerprint] = self.clock.monotonic()
        while len(self.cleared_at) > MAX_FINGERPRINTS:
            self.cleared_at.pop(next(iter(self.cleared_at)))
