"""Record of the events of a run, and checks that report violated guarantees."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.platform.standins.engine import FAILED_PATHS

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable
    from pathlib import Path

__all__ = [
    "Attempt",
    "RunRecord",
    "check_interrupted",
    "check_logs",
    "check_run_counts",
]

#: Seconds after a disturbance in which a router may still have outdated knowledge
#: of the store.
SYNC_SECONDS = 4.0
#: Seconds added to time limits, to allow for delays of the test machine.
MARGIN_SECONDS = 0.5
#: Seconds within which routers must apply a changed configuration and must stop
#: sending new requests to a leaving endpoint.
APPLY_SECONDS = 2.0
#: Maximum seconds between the moment at which an exiting process closes its
#: connections and the moment at which its exit is recorded.
CLOSE_TO_EXIT_SECONDS = 1.0
#: Statuses with which a router guarantees that the request has not been executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
#: Maximum number of executions of a request that may be repeated.
MAX_RUNS = 2


class Attempt(NamedTuple):
    """One attempt of a caller to send a request, and its result.

    Attributes:
        id: Identifier of the attempt.
        route: Name of the route, which is the first part of the path.
        router: Name of the router that the attempt was sent to.
        sent_at: Time in seconds, by trio's clock, at which the attempt was sent.
        ended_at: Time in seconds, by trio's clock, at which the attempt ended.
        status: Status code of the response, or None without a response.
        complete: Whether the response arrived completely. Also true when the connection
            was refused, or failed before the router could read the request.
        body: Part of the response body that arrived.
        expected_body: Complete body of a correct response.
        expected_status: Status code with which the endpoint responds.
        deadline_seconds: Seconds from sending to the caller's deadline.
        kept: Whether the connection had served an earlier request.
        error: How the connection failed, or empty.
    """

    id: str
    route: str
    router: str
    sent_at: float
    ended_at: float
    status: int | None
    complete: bool
    body: bytes
    expected_body: bytes
    expected_status: int
    deadline_seconds: float
    kept: bool = False
    error: str = ""


class RunRecord:
    """Record of the attempts, disturbances and violated guarantees of a run.

    A disturbance is an event that can affect requests, such as an injected fault or
    the exit or start of a router. Some guarantees are checked only for attempts during
    which there was no disturbance. All times are in seconds by trio's clock.

    Args:
        path: File to which each event is written as a line.
    """

    def __init__(self, path: Path) -> None:
        #: File to which each event is written as a line.
        self.file = path.open("w")
        #: Time at which the run started.
        self.start = trio.current_time()
        #: Descriptions of the violated guarantees.
        self.violations: list[str] = []
        #: Times of the disturbances by subject: the name of a router, `endpoints`
        #: or `store`.
        self.disturbances: dict[str, list[float]] = {}
        #: Start and end of the lasting disturbances, by subject; besides the subjects
        #: above, identifiers of endpoints. The end is infinite until it is known.
        self.periods: dict[str, list[tuple[float, float]]] = {}
        #: All attempts that have ended.
        self.attempts: list[Attempt] = []
        #: Attempts whose response was interrupted. Whether the router had read the
        #: request is decided from its log after the run.
        self.interrupted: list[Attempt] = []
        #: Number of disturbances that are active now, by subject.
        self.active_disturbances: dict[str, int] = {}

    def log_event(self, text: str) -> None:
        """Write an event with its time to the file."""
        self.file.write(f"{trio.current_time() - self.start:8.3f} {text}\n")
        self.file.flush()

    def add_violation(self, text: str) -> None:
        """Record a violated guarantee."""
        self.log_event(f"BROKEN {text}")
        self.violations.append(text)

    def add_disturbance(self, subject: str, description: str) -> None:
        """Record a disturbance that happens now."""
        self.log_event(f"{subject} {description}")
        self.disturbances.setdefault(subject, []).append(trio.current_time())

    def begin_disturbance(self, subject: str, description: str) -> None:
        """Record the beginning of a disturbance that lasts for some time."""
        self.add_disturbance(subject, description)
        self.begin_period(subject)
        self.active_disturbances[subject] = self.active_disturbances.get(subject, 0) + 1

    def end_disturbance(self, subject: str, description: str) -> None:
        """Record the end of a disturbance that lasted for some time."""
        self.add_disturbance(subject, f"{description} ends")
        self.end_period(subject)
        self.active_disturbances[subject] -= 1

    def begin_period(self, subject: str) -> None:
        """Record that a subject is disturbed from now on."""
        periods = self.periods.setdefault(subject, [])
        periods.append((trio.current_time(), math.inf))

    def end_period(self, subject: str) -> None:
        """Record that the earliest unfinished period of a subject ends now."""
        periods = self.periods[subject]
        index = next(i for i, period in enumerate(periods) if period[1] == math.inf)
        periods[index] = (periods[index][0], trio.current_time())

    def sound_between(self, subject: str, since: float, until: float) -> bool:
        """Return whether no lasting disturbance of a subject overlaps a period."""
        periods = self.periods.get(subject, ())
        return not any(begin <= until and since <= end for begin, end in periods)

    def undisturbed(
        self, subject: str, since: float, until: float | None = None
    ) -> bool:
        """Return whether a subject has no active disturbance and had none in a period.

        Args:
            subject: Name of a router, `endpoints` or `store`.
            since: Start of the period.
            until: End of the period, or None for the current time.
        """
        until = trio.current_time() if until is None else until
        times = self.disturbances.get(subject, ())
        if self.active_disturbances.get(subject):
            return False
        return not any(since <= time <= until for time in times)

    def synced(self, router: str) -> bool:
        """Return whether a router must by now know the content of the store."""
        start = trio.current_time() - SYNC_SECONDS
        return all(self.undisturbed(subject, start) for subject in (router, "store"))

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that has ended, and check its result."""
        self.attempts.append(attempt)
        text = f"{attempt.id} at {attempt.router}: {attempt.status}"
        if attempt.status == attempt.expected_status:
            correct = (
                attempt.body == attempt.expected_body
                if attempt.complete
                else attempt.expected_body.startswith(attempt.body)
            )
            if not correct:
                self.add_violation(f"{text} with a wrong body {attempt.body[-80:]!r}")
        elif attempt.status in (200, *FAILED_PATHS.values()):
            self.add_violation(
                f"{text} where the endpoint answered {attempt.expected_status}"
            )
        elif attempt.status in (400, 401, 403, 404, 413):
            self.add_violation(f"{text} although the request is valid")
        if not self.undisturbed(
            attempt.router, attempt.sent_at - MARGIN_SECONDS, attempt.ended_at
        ):
            return
        if (
            attempt.ended_at - attempt.sent_at
            > attempt.deadline_seconds + MARGIN_SECONDS
        ):
            self.add_violation(f"{text}, later than its deadline")
        plain = attempt.route != "plans"
        endpoints_undisturbed = self.undisturbed(
            "endpoints", attempt.sent_at - MARGIN_SECONDS, attempt.ended_at
        )
        if not attempt.complete and (plain or endpoints_undisturbed):
            self.interrupted.append(attempt)


def check_run_counts(record: RunRecord, runs: Counter[str]) -> None:
    """Check how often requests were executed, after all executions have ended.

    Args:
        record: Record with the attempts; violations are added to it.
        runs: Number of executions at endpoints, by identifier of the attempt.
    """
    for attempt in record.attempts:
        count = runs[attempt.id]
        if attempt.status in NOT_EXECUTED_STATUSES and count:
            record.add_violation(
                f"{attempt.id} got {attempt.status} and ran {count} times"
            )
        max_runs = 1 if attempt.route == "bookings" else MAX_RUNS
        if attempt.route != "plans" and count > max_runs:
            record.add_violation(f"{attempt.id} ran {count} times")


def check_interrupted(record: RunRecord, output: Path) -> None:
    """Check that no router interrupted a response to a request that it had read.

    A request can arrive while a router that ends its shutdown closes the connection.
    The router has not read such a request and has guaranteed nothing to the caller,
    so that there is no violation. The request is recognised by three conditions: a
    disturbance of the router, such as its exit, is recorded shortly after the
    attempt; the router's log does not contain the identifier of the attempt; and
    each shutdown in the log ended with no request in progress.

    Args:
        record: Record with the attempts; violations are added to it.
        output: Folder with the logs of the routers.
    """
    for attempt in record.interrupted:
        times = record.disturbances.get(attempt.router, ())
        exited = any(
            0 <= time - attempt.ended_at <= CLOSE_TO_EXIT_SECONDS for time in times
        )
        log = (output / f"{attempt.router}.log").read_text(errors="replace")
        drain_ends = [line for line in log.splitlines() if '"drain ends"' in line]
        drained = drain_ends and all('"in_progress":0' in line for line in drain_ends)
        if exited and drained and f'"{attempt.id}"' not in log:
            record.log_event(
                f"{attempt.id} was sent while {attempt.router} closed its connections"
            )
            continue
        record.add_violation(f"{attempt.id} at {attempt.router}: interrupted")


def check_logs(record: RunRecord, logs: Iterable[Path]) -> None:
    """Check that logs contain no unhandled exception and no critical message."""
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if "Traceback" in line or '"level":"CRITICAL"' in line:
                record.add_violation(f"{log.name}: {line[:300]}")
