"""Evidence on crashes of endpoints: a crash is only suspected until it is certain.

From one entry, an endpoint whose links are lost looks like one that has crashed: its
connections are reset, and new ones are refused. A crashed endpoint comes back as a new
run, or its registration lapses; one whose links were lost goes on under the same run,
under which it also registers again if it had lost its link to the store.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Directory, Endpoint

__all__ = ["MIN_RESTART_SECONDS", "Crash", "CrashLog", "CrashState", "judge_crash"]

#: Time, in seconds, after which a crash is certain if the endpoint still accepts no
#: connection. Links that are lost for a moment are mostly back by then, and a request
#: that crashes endpoints must be known 3 s after its third crash.
CONFIRM_SECONDS = 2.0
#: Time, in seconds, within which no crashed endpoint has started again.
MIN_RESTART_SECONDS = 1.0
#: Time, in seconds, within which the registration of an endpoint that has started again
#: is known. Until then, a new run at an address may be taken for the previous one.
REGISTRATION_SECONDS = 1.0
#: Time, in seconds, for which the evidence on a crash is kept. A crash without evidence
#: stays certain.
KEEP_SECONDS = 60.0

#: Time, in seconds, for which reports of a crash are ignored after it was disproved.
#: Other entries repeat a report for 3 s; a later one may be of a crash since then.
IGNORE_SECONDS = 5.0


class CrashState(enum.Enum):
    """What the evidence says of a suspected crash."""

    #: The endpoint accepts no connection, or has accepted one too lately.
    OPEN = "open"
    #: The run has ended.
    CERTAIN = "certain"
    #: The run goes on.
    DISPROVED = "disproved"


class Crash(NamedTuple):
    """A suspected crash of one run of an endpoint.

    Attributes:
        endpoint: Identifier of the endpoint's instance.
        run: Identifier of the run, which also names the crash.
        address: Address of the endpoint, `ip:port`.
        since: Monotonic time, in seconds, at which the crash was first suspected.
        accepted_at: Monotonic time, in seconds, since which the endpoint accepts
            connections, or None.
        state: What the evidence says so far.
    """

    endpoint: str
    run: str
    address: str
    since: float
    accepted_at: float | None = None
    state: CrashState = CrashState.OPEN

    def is_certain(self, now: float) -> bool:
        """Return whether the endpoint has crashed, as far as can be known.

        Args:
            now: Current monotonic time in seconds.
        """
        if self.state is CrashState.OPEN:
            return self.accepted_at is None and now - self.since >= CONFIRM_SECONDS
        return self.state is CrashState.CERTAIN


def judge_crash(
    crash: Crash, directory: Directory, accepted: bool | None, now: float
) -> Crash:
    """Return a suspected crash with the evidence of one check.

    Args:
        crash: The suspected crash.
        directory: Directory of the registered endpoints.
        accepted: Whether the address accepted a connection, or None if it was silent.
        now: Current monotonic time in seconds.
    """
    if crash.endpoint not in directory.endpoints:
        # Certain until the same run registers again, which a cut also from the store
        # may have kept from it.
        since = min(crash.since, now - CONFIRM_SECONDS)
        return crash._replace(since=since, accepted_at=None)
    if run_has_ended(crash, directory):
        return crash._replace(state=CrashState.CERTAIN)
    if accepted is None:
        return crash
    if not accepted:
        return crash._replace(accepted_at=None)
    accepted_at = now if crash.accepted_at is None else crash.accepted_at
    has_not_restarted = accepted_at - crash.since < MIN_RESTART_SECONDS
    if has_not_restarted or now - accepted_at >= REGISTRATION_SECONDS:
        return crash._replace(accepted_at=accepted_at, state=CrashState.DISPROVED)
    return crash._replace(accepted_at=accepted_at)


def run_has_ended(crash: Crash, directory: Directory) -> bool:
    """Return whether the registrations show that a run has ended.

    A later run has the same identifier or the same address.
    """
    known = directory.endpoints[crash.endpoint]
    if known.run_id != crash.run:
        return True
    return any(
        endpoint.registration.address == crash.address
        and endpoint.registration.started_ms > known.registration.started_ms
        for endpoint in directory.endpoints.values()
    )


class CrashLog:
    """The suspected crashes of the last minute, and the evidence on them.

    Args:
        clock: Clock by which crashes become certain.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which crashes become certain.
        self.clock = clock
        #: Suspected crashes by the identifier of the run.
        self.crashes: dict[str, Crash] = {}

    def suspect(self, endpoint: Endpoint, since: float | None = None) -> None:
        """Record that a connection of this entry to an endpoint broke or fell silent.

        Args:
            endpoint: The endpoint, whose present run may have crashed.
            since: Monotonic time in seconds since which it may have, or None for now.
        """
        now = self.clock.monotonic()
        known = self.crashes.get(endpoint.run_id)
        if known is not None and known.state is not CrashState.DISPROVED:
            self.crashes[known.run] = known._replace(accepted_at=None)
            return
        self.drop_expired(now)
        # Added anew, as crashes are dropped in the order in which they were added.
        self.crashes.pop(endpoint.run_id, None)
        address = endpoint.registration.address
        self.crashes[endpoint.run_id] = Crash(
            endpoint.id, endpoint.run_id, address, now if since is None else since
        )

    def is_disproved(self, run: str) -> bool:
        """Return whether a suspected crash of a run was disproved lately."""
        crash = self.crashes.get(run)
        if crash is None or crash.state is not CrashState.DISPROVED:
            return False
        disproved_at = crash.since if crash.accepted_at is None else crash.accepted_at
        return self.clock.monotonic() - disproved_at < IGNORE_SECONDS

    def is_suspected(self, run: str) -> bool:
        """Return whether a crash of a run is suspected or certain."""
        crash = self.crashes.get(run)
        return crash is not None and crash.state is not CrashState.DISPROVED

    def is_certain(self, death: str) -> bool:
        """Return whether a death is certain, by its name.

        One that was recorded without or after such evidence was certain from the start.
        """
        crash = self.crashes.get(death)
        if crash is None or crash.state is CrashState.DISPROVED:
            return True
        return crash.is_certain(self.clock.monotonic())

    def open_crashes(self) -> list[Crash]:
        """Return the suspected crashes on which more evidence is needed."""
        self.drop_expired(self.clock.monotonic())
        return [
            crash for crash in self.crashes.values() if crash.state is CrashState.OPEN
        ]

    def drop_expired(self, now: float) -> None:
        """Drop the evidence that is older than KEEP_SECONDS."""
        while self.crashes:
            oldest = next(iter(self.crashes.values()))
            if now - oldest.since < KEEP_SECONDS:
                return
            del self.crashes[oldest.run]
