"""Limits that endpoints state on their requests a second, and permits under them.

An endpoint that is short of capacity states in its answers how many requests a second
it takes from all entries together. For each such endpoint, one entry issues permits,
one for each request. So the limit holds for all entries, and those that have requests
can use all of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from pistachioreach.clock import Clock

__all__ = ["LimitNotice", "Permit", "PermitIssuer", "StatedLimits"]

#: Time for which an answer about a limit is sent to the other entries, in seconds.
NOTICE_SECONDS = 3.0
#: Maximum number of endpoints whose limits are kept. The oldest ones are dropped first.
MAX_LIMITS = 10_000
#: Lowest rate of permits, in requests a second. An endpoint that takes no requests can
#: state a new limit only in an answer.
MIN_PERMITS_PER_SECOND = 0.25
#: Seconds whose permits may be issued at once after a pause.
BURST_SECONDS = 0.5
#: Time in seconds during which an entry that begins to issue permits issues only a
#: share of them: the entry that did so before may be issuing them still.
WARM_UP_SECONDS = 4.0
#: That share.
WARM_UP_SHARE = 0.5
#: Time in seconds after its last request from which on a bucket counts as new.
IDLE_SECONDS = 10.0
#: Time in seconds for which an entry that was refused a permit counts as waiting.
WAITING_SECONDS = 1.0
#: Limits in seconds of the wait until an entry may ask for a permit again.
WAIT_LIMITS_SECONDS = (0.05, 1.0)
#: Refusals for each permit issued, at most, when all entries wait for permits.
REFUSALS_PER_PERMIT = 2.0


class LimitNotice(NamedTuple):
    """What an endpoint stated of its limit in an answer, as told to other entries.

    Attributes:
        run: Identifier of the run of the endpoint.
        per_second: Requests a second, or None if the endpoint states no limit any more.
        age: Seconds since the answer.
    """

    run: str
    per_second: float | None
    age: float


class StatedLimit(NamedTuple):
    """The latest known limit of an endpoint.

    Attributes:
        per_second: Requests a second, or None if the endpoint states no limit any more.
        stated_at: Monotonic time of the answer, in seconds.
    """

    per_second: float | None
    stated_at: float


class StatedLimits:
    """The limits that endpoints state, by their answers to any entry.

    Args:
        clock: Clock of the answers.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock of the answers.
        self.clock = clock
        #: Latest limit of each run of an endpoint that has stated one.
        self.known: dict[str, StatedLimit] = {}

    def limit(self, run: str) -> float | None:
        """Return the requests a second that an endpoint takes, or None if unlimited."""
        stated = self.known.get(run)
        return None if stated is None else stated.per_second

    def record(self, run: str, per_second: float | None, age: float = 0.0) -> None:
        """Record what an endpoint stated in an answer.

        Args:
            run: Identifier of the run of the endpoint.
            per_second: Requests a second, or None if the answer states no limit.
            age: Seconds since the answer.
        """
        known = self.known.get(run)
        stated_at = self.clock.monotonic() - age
        if known is None and per_second is None:
            return
        if known is not None and known.stated_at > stated_at:
            return
        if known is None or known.per_second != per_second:
            logger.bind(
                endpoint=run,
                per_second=per_second,
                before=known and known.per_second,
                age=round(age, 3),
            ).info("endpoint states another limit")
        self.known.pop(run, None)
        self.known[run] = StatedLimit(per_second, stated_at)
        while len(self.known) > MAX_LIMITS:
            del self.known[next(iter(self.known))]

    def notices(self) -> tuple[LimitNotice, ...]:
        """Return the recent statements, for the other entries.

        Endpoints that stated earlier that they have no limit any more are forgotten.
        """
        now = self.clock.monotonic()
        notices = []
        for run, stated in list(self.known.items()):
            age = now - stated.stated_at
            if age < NOTICE_SECONDS:
                notices.append(LimitNotice(run, stated.per_second, age))
            elif stated.per_second is None:
                del self.known[run]
        return tuple(notices)


class Permit(NamedTuple):
    """Answer to an entry that asks for a permit.

    Attributes:
        granted: Whether the entry may send one request now.
        wait_seconds: Seconds after which the entry may ask again if it may not.
    """

    granted: bool
    wait_seconds: float


class PermitBucket:
    """Permits for the requests to one endpoint.

    Args:
        now: Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        #: Monotonic time at which this entry began to issue the permits.
        self.opened_at = now
        #: Monotonic time of the last request.
        self.asked_at = now
        #: Permits that may be issued at once.
        self.permits = 1.0
        #: Monotonic time of the last refusal, by the name of the entry.
        self.refused_at: dict[str, float] = {}

    def issue(self, per_second: float, entry: str, now: float) -> Permit:
        """Issue a permit to an entry, or tell it when to ask again.

        Args:
            per_second: Limit of the endpoint.
            entry: Name of the entry.
            now: Monotonic time in seconds.
        """
        rate = max(MIN_PERMITS_PER_SECOND, per_second)
        if now - self.opened_at < WARM_UP_SECONDS:
            rate *= WARM_UP_SHARE
        gained = rate * (now - self.asked_at)
        self.permits = min(1.0 + BURST_SECONDS * rate, self.permits + gained)
        self.asked_at = now
        if self.permits >= 1.0:
            self.permits -= 1.0
            self.refused_at.pop(entry, None)
            return Permit(True, 0.0)
        self.refused_at[entry] = now
        self.refused_at = {
            name: at
            for name, at in self.refused_at.items()
            if now - at <= WAITING_SECONDS
        }
        shortest, longest = WAIT_LIMITS_SECONDS
        turn = len(self.refused_at) / (REFUSALS_PER_PERMIT * rate)
        next_permit = (1.0 - self.permits) / rate
        return Permit(False, min(longest, max(shortest, next_permit, turn)))


class PermitIssuer:
    """Issues the permits of the endpoints that fall to this entry.

    Args:
        clock: Clock of the rates.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock of the rates.
        self.clock = clock
        #: Permits by the run of the endpoint.
        self.buckets: dict[str, PermitBucket] = {}

    def issue(self, run: str, per_second: float, entry: str) -> Permit:
        """Issue a permit to an entry, or tell it when to ask again.

        Args:
            run: Identifier of the run of the endpoint.
            per_second: Limit that the endpoint states.
            entry: Name of the entry.
        """
        now = self.clock.monotonic()
        bucket = self.buckets.pop(run, None)
        if bucket is None or now - bucket.asked_at > IDLE_SECONDS:
            bucket = PermitBucket(now)
        # The endpoint that was asked for last comes last.
        self.buckets[run] = bucket
        while len(self.buckets) > MAX_LIMITS:
            del self.buckets[next(iter(self.buckets))]
        return bucket.issue(per_second, entry, now)
