"""Detection of requests and parts of prompts that crash endpoints."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.routing.crash_evidence import (
    MIN_RESTART_SECONDS,
    CrashLog,
    CrashState,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.routing.crash_evidence import Crash

__all__ = [
    "SuspectTracker",
    "blocked_parts",
    "blocked_requests",
    "call_fingerprint",
    "fingerprint_of",
    "part_fingerprints",
    "request_fingerprint",
]

#: Time for which a death counts against a request, in seconds.
DEATH_TTL_SECONDS = 3600.0
#: Time for which a death is sent to the other entries, in seconds.
GOSSIP_SECONDS = 3.0
#: Maximum number of stored fingerprints. The oldest ones are dropped first.
MAX_FINGERPRINTS = 10_000
#: First characters of the fingerprints of parts of prompts.
PART_PREFIX = "part/"
#: First characters of the fingerprints of requests for streams, as a whole.
REQUEST_PREFIX = "request/"
#: First characters of the fingerprints of calls to plain services.
CALL_PREFIX = "call/"
#: Crashes of endpoints after which a call is blocked. Only the calls whose own
#: connection broke are counted, and a service may have no more than three endpoints.
MAX_CALL_CRASHES = 2
#: Crashes of engines after which a request or a part of a prompt is blocked. One may be
#: a coincidence; each further one costs all streams of an engine.
MAX_PART_CRASHES = 2
#: The same for one on which an answer went on lately, at any entry: it was probably
#: near the crashes by coincidence.
MAX_SOUND_PART_CRASHES = 4
#: Time for which a crash counts against a request, a part or a call, in seconds. One
#: that was blocked by mistake is accepted again after that.
BLOCK_TTL_SECONDS = 600.0
#: Time for which an answer shows that a request or a part is sound, in seconds.
SOUND_SECONDS = 60.0
#: Time in seconds after which the blocked requests and parts are determined again
#: without a new crash, as deaths expire.
ATTRIBUTION_SECONDS = 1.0
#: In place of the name of a death, tells other entries that a part was sound lately.
SOUND = ""


def fingerprint_of(workspace: str, model: str, prompt: str) -> str:
    """Return a hash that is equal for each repetition of a request by its caller."""
    text = f"{workspace}\0{model}\0{prompt}"
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def part_fingerprints(parts: Iterable[str]) -> list[str]:
    """Return the fingerprints of the parts of one prompt, in order.

    A fingerprint holds the index of the part, which is the same in all prompts.
    """
    return [f"{PART_PREFIX}{depth}/{part}" for depth, part in enumerate(parts)]


def request_fingerprint(fingerprint: str) -> str:
    """Return the fingerprint under which crashes count against a request as a whole.

    Args:
        fingerprint: Fingerprint of the request.
    """
    return f"{REQUEST_PREFIX}{fingerprint}"


def call_fingerprint(fingerprint: str) -> str:
    """Return the fingerprint under which the crashes of a call are counted.

    Args:
        fingerprint: Fingerprint of the request.
    """
    return f"{CALL_PREFIX}{fingerprint}"


def part_depth(fingerprint: str) -> int:
    """Return the index in its prompts of the part that has a fingerprint."""
    return int(fingerprint.removeprefix(PART_PREFIX).partition("/")[0])


def blocked_requests(
    deaths: Mapping[str, Collection[str]], limits: Mapping[str, int]
) -> set[str]:
    """Return the fingerprints of the requests to which enough crashes are attributed.

    A request that was near some of the crashes of another one, and of no others, is not
    blocked: the other one explains them.

    Args:
        deaths: Names of the deaths counted against each request, by fingerprint.
        limits: Number of crashes at which each request is blocked, by fingerprint.
    """
    counted = {
        fingerprint: frozenset(names)
        for fingerprint, names in deaths.items()
        if fingerprint.startswith(REQUEST_PREFIX) and len(names) >= limits[fingerprint]
    }
    # Many requests are near the same crashes, so that there are few different sets.
    different = set(counted.values())
    explained = {
        names for names in different if any(names < others for others in different)
    }
    return {
        fingerprint for fingerprint, names in counted.items() if names not in explained
    }


def blocked_parts(
    deaths: Mapping[str, Collection[str]], limits: Mapping[str, int]
) -> set[str]:
    """Return the fingerprints of the parts to which enough crashes are attributed.

    Parts at the beginning of a prompt are in many prompts. A crash is therefore
    attributed to the last part that is blocked, and not to those before it; among the
    parts at one place, to the one with the most crashes. If a single request, which its
    caller repeats, explains all crashes of a part, the part is not blocked.

    Args:
        deaths: Names of the deaths counted against each request and each part, by
            fingerprint.
        limits: Number of crashes at which each of them is blocked, by fingerprint.
    """
    requests = [set(deaths[request]) for request in blocked_requests(deaths, limits)]
    blocked: set[str] = set()
    attributed: set[str] = set()
    parts = [item for item in deaths if item.startswith(PART_PREFIX)]
    for fingerprint in sorted(
        parts, key=lambda item: (-part_depth(item), -len(deaths[item]), item)
    ):
        unexplained = set(deaths[fingerprint]) - attributed
        if len(unexplained) >= limits[fingerprint] and not any(
            unexplained <= names for names in requests
        ):
            blocked.add(fingerprint)
            attributed.update(deaths[fingerprint])
    return blocked


class Attribution(NamedTuple):
    """The requests and parts to which crashes are attributed.

    Attributes:
        at: Monotonic time at which this was determined, in seconds.
        blocked: Fingerprints of the blocked requests and parts.
        deaths: Names of the deaths that are attributed to them.
        certain: Fingerprints that would be blocked if only certain deaths were counted.
    """

    at: float
    blocked: frozenset[str]
    deaths: frozenset[str]
    certain: frozenset[str]


class SuspectTracker:
    """The endpoint deaths that count against each fingerprint.

    When an endpoint dies, all requests that were in flight on the endpoint become
    suspects. A request as a whole and the parts of its prompt become suspects if the
    answer was just beginning; they are blocked after few crashes. A part is blocked
    only if requests that differ crashed on it. Most parts are soon cleared by other
    requests that hold them.

    Args:
        clock: Clock by which deaths expire.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which deaths expire.
        self.clock = clock
        #: Evidence on the deaths that are not certain yet.
        self.crash_log = CrashLog(clock)
        #: Recorded deaths of each fingerprint: the name of each death, and the
        #: monotonic time at which it was recorded.
        self.deaths: dict[str, dict[str, float]] = {}
        #: Fingerprints of the requests as a whole, and of the parts, with
        #: MAX_PART_CRASHES deaths or more.
        self.suspected: set[str] = set()
        #: The last attribution of crashes, or None after a change.
        self.attribution: Attribution | None = None
        #: Monotonic time at which each request or part was last known to be sound.
        self.sound_at: dict[str, float] = {}
        #: Monotonic time at which a death was last recorded for each sound one.
        self.contested_at: dict[str, float] = {}

    def record_death(self, fingerprint: str, death: str) -> bool:
        """Record the death of an endpoint that ran a request.

        Args:
            fingerprint: Fingerprint of the request or part.
            death: Unique name of the death, which counts once, or SOUND.

        Returns:
            Whether the death was not yet recorded for the fingerprint.
        """
        if death == SOUND:
            self.record_sound(fingerprint)
            return False
        known = self.deaths.setdefault(fingerprint, {})
        new = death not in known
        if new:
            known[death] = self.clock.monotonic()
            may_be_blocked = fingerprint.startswith((REQUEST_PREFIX, PART_PREFIX))
            if may_be_blocked and len(known) >= MAX_PART_CRASHES:
                self.suspected.add(fingerprint)
                self.attribution = None
            if self.is_sound(fingerprint):
                self.contested_at[fingerprint] = self.clock.monotonic()
        while len(self.deaths) > MAX_FINGERPRINTS:
            dropped = next(iter(self.deaths))
            del self.deaths[dropped]
            self.suspected.discard(dropped)
        return new

    def record_crash(
        self, fingerprint: str, endpoint: Endpoint, since: float | None = None
    ) -> bool:
        """Record a suspected crash of an endpoint that ran a request.

        Args:
            fingerprint: Fingerprint of the request or part.
            endpoint: Endpoint whose connection broke, or that fell silent.
            since: Monotonic time in seconds since which it may have crashed, or None
                for now.

        Returns:
            Whether the crash was not yet recorded for the fingerprint.
        """
        self.crash_log.suspect(endpoint, since)
        return self.record_death(fingerprint, endpoint.run_id)

    def report_death(self, fingerprint: str, death: str, directory: Directory) -> None:
        """Record a death that another entry reported.

        That entry may have lost its links to an endpoint that goes on. The death is
        therefore only suspected while the run that it names is registered.

        Args:
            fingerprint: Fingerprint of the request or part.
            death: Unique name of the death, or SOUND.
            directory: Directory of the registered endpoints.
        """
        if self.crash_log.is_disproved(death):
            return
        endpoint = directory.endpoints.get(death.rpartition("/")[0])
        if (
            endpoint is not None
            and endpoint.run_id == death
            and not self.crash_log.is_suspected(death)
        ):
            # It may have crashed some time ago, and be about to start again.
            since = self.clock.monotonic() - MIN_RESTART_SECONDS
            self.crash_log.suspect(endpoint, since)
        self.record_death(fingerprint, death)

    def update_crash(self, crash: Crash) -> None:
        """Replace the evidence on a suspected crash; withdraw it if it is disproved."""
        self.crash_log.crashes[crash.run] = crash
        self.attribution = None
        if crash.state is not CrashState.DISPROVED:
            return
        for fingerprint, names in list(self.deaths.items()):
            if names.pop(crash.run, None) is not None and not names:
                del self.deaths[fingerprint]
            if len(names) < MAX_PART_CRASHES:
                self.suspected.discard(fingerprint)

    def death_count(self, fingerprint: str, certain: bool = False) -> int:
        """Return the number of unexpired deaths that count against a request.

        Args:
            fingerprint: Fingerprint of the request.
            certain: Whether to count only the deaths that are certain.
        """
        known = self.deaths.get(fingerprint)
        if not known:
            return 0
        expires_early = fingerprint.startswith(
            (REQUEST_PREFIX, PART_PREFIX, CALL_PREFIX)
        )
        ttl = BLOCK_TTL_SECONDS if expires_early else DEATH_TTL_SECONDS
        oldest = self.clock.monotonic() - ttl
        return sum(
            recorded_at >= oldest
            and not (certain and not self.crash_log.is_certain(death))
            for death, recorded_at in known.items()
        )

    def blocks_call(self, fingerprint: str, certain: bool = False) -> bool:
        """Return whether a call is blocked.

        Args:
            fingerprint: Fingerprint of the call, from `call_fingerprint`.
            certain: Whether to count only the deaths that are certain.
        """
        return self.death_count(fingerprint, certain) >= MAX_CALL_CRASHES

    def blocks_request(self, fingerprint: str, certain: bool = False) -> bool:
        """Return whether a request for a stream is blocked as a whole.

        Args:
            fingerprint: Fingerprint of the request.
            certain: Whether to count only the deaths that are certain.
        """
        return request_fingerprint(fingerprint) in self.blocked(certain)

    def blocked_part(self, parts: Iterable[str], certain: bool = False) -> str | None:
        """Return the fingerprint of the first part that is blocked, or None.

        Args:
            parts: Identifiers of the parts of a prompt that other prompts may share.
            certain: Whether to count only the deaths that are certain.
        """
        blocked = self.blocked(certain)
        if not blocked:
            return None
        found = (item for item in part_fingerprints(parts) if item in blocked)
        return next(found, None)

    def blocked(self, certain: bool) -> frozenset[str]:
        """Return the fingerprints of the blocked requests and parts.

        Args:
            certain: Whether to count only the deaths that are certain.
        """
        attribution = self.attribute()
        return attribution.certain if certain else attribution.blocked

    def attribute(self) -> Attribution:
        """Return the blocked requests and parts, determined anew after a change."""
        now = self.clock.monotonic()
        if self.attribution is None or now - self.attribution.at >= ATTRIBUTION_SECONDS:
            deaths = {
                fingerprint: self.deaths[fingerprint]
                for fingerprint in self.suspected
                if self.death_count(fingerprint) >= MAX_PART_CRASHES
            }
            limits = {
                fingerprint: (
                    MAX_SOUND_PART_CRASHES
                    if self.is_sound(fingerprint)
                    else MAX_PART_CRASHES
                )
                for fingerprint in deaths
            }
            blocked = blocked_requests(deaths, limits) | blocked_parts(deaths, limits)
            explained = frozenset(name for item in blocked for name in deaths[item])
            certain = blocked
            if self.crash_log.crashes:
                known = {
                    fingerprint: set(filter(self.crash_log.is_certain, names))
                    for fingerprint, names in deaths.items()
                }
                certain = blocked_requests(known, limits) | blocked_parts(known, limits)
            self.attribution = Attribution(
                now, frozenset(blocked), explained, frozenset(certain)
            )
        return self.attribution

    def unexplained_death_count(self, fingerprint: str, certain: bool = False) -> int:
        """Return the number of deaths that count against a request and no other.

        Deaths for which another request or a part of prompts is blocked are left out.

        Args:
            fingerprint: Fingerprint of the request.
            certain: Whether to count only the deaths that are certain.
        """
        count = self.death_count(fingerprint, certain)
        if not count:
            return 0
        explained = self.attribute().deaths
        return count - sum(
            name in explained and (not certain or self.crash_log.is_certain(name))
            for name in self.deaths[fingerprint]
        )

    def is_sound(self, fingerprint: str) -> bool:
        """Return whether a request or part was sound within SOUND_SECONDS."""
        sound_at = self.sound_at.get(fingerprint, float("-inf"))
        return self.clock.monotonic() - sound_at < SOUND_SECONDS

    def record_sound(self, fingerprint: str) -> None:
        """Record that an answer went on, here or at another entry."""
        if fingerprint in self.suspected:
            self.attribution = None
        self.sound_at.pop(fingerprint, None)
        self.sound_at[fingerprint] = self.clock.monotonic()
        while len(self.sound_at) > MAX_FINGERPRINTS:
            dropped = next(iter(self.sound_at))
            del self.sound_at[dropped]
            self.contested_at.pop(dropped, None)

    def recent_deaths(self) -> list[tuple[str, str]]:
        """Return the deaths that are sent to the other entries.

        Those of blocked requests, parts and calls are sent for as long as they count,
        so that entries that start later block these too.

        Returns:
            Pairs of a fingerprint and the name of a death, or SOUND for one near a
            recent crash that is known to be sound.
        """
        oldest = self.clock.monotonic() - GOSSIP_SECONDS
        blocked = self.attribute().blocked | {
            fingerprint
            for fingerprint in self.deaths
            if fingerprint.startswith(CALL_PREFIX) and self.blocks_call(fingerprint)
        }
        sound = [
            (fingerprint, SOUND)
            for fingerprint, contested_at in self.contested_at.items()
            if contested_at >= oldest and self.is_sound(fingerprint)
        ]
        return sound + [
            (fingerprint, death)
            for fingerprint, deaths in self.deaths.items()
            for death, recorded_at in deaths.items()
            if recorded_at >= oldest or fingerprint in blocked
        ]

    def clear(self, fingerprint: str) -> None:
        """Drop the recorded deaths of a request that completed."""
        self.deaths.pop(fingerprint, None)

    def clear_request(self, fingerprint: str) -> None:
        """Drop the deaths recorded for a request whose answer went on, if any.

        Args:
            fingerprint: Fingerprint of the request.
        """
        if request_fingerprint(fingerprint) in self.deaths:
            self.clear_part(request_fingerprint(fingerprint))

    def clear_part(self, fingerprint: str) -> None:
        """Drop the recorded deaths of a request or part on which an answer went on."""
        if self.deaths.pop(fingerprint, None):
            self.attribution = None
            # Other entries may count the same deaths.
            self.contested_at[fingerprint] = self.clock.monotonic()
        self.suspected.discard(fingerprint)
        self.record_sound(fingerprint)
