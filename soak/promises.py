"""What happens in a run, and the promises that it breaks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable
    from pathlib import Path

__all__ = ["Attempt", "Record", "judge_cuts", "judge_logs", "judge_runs"]

#: Seconds after a disturbance for which a router is excused.
CONTACT_SECONDS = 4.0
#: Seconds beyond a limit that this machine may add.
MARGIN = 0.5
#: Seconds within which a changed configuration is in force, and a leaving
#: endpoint gets no new work.
APPLY_SECONDS = 2.0
#: Seconds between the end of a process's connections and the note of its end.
CLOSE_SECONDS = 1.0
#: Statuses by which a router says that a request has not run.
PROMISES = (408, 421, 429, 503)
#: Most runs of a request that may be repeated.
MOST_RUNS = 2


class Attempt(NamedTuple):
    """One request of a caller, and how it ended.

    Attributes:
        id: Its identifier.
        path: First part of its path.
        router: Router that took it.
        sent: Time at which it was sent.
        ended: Time at which it ended.
        status: Status of the answer, or None.
        whole: Whether the answer came to its end.
        answer: What came of the body.
        wanted: The whole body that is right.
        deadline: Seconds that the caller waited.
    """

    id: str
    path: str
    router: str
    sent: float
    ended: float
    status: int | None
    whole: bool
    answer: bytes
    wanted: bytes
    deadline: float


class Record:
    """What happens in a run.

    Args:
        path: File that gets a line for each event.
    """

    def __init__(self, path: Path) -> None:
        #: Takes a line for each event.
        self.file = path.open("w")
        #: Time of the start.
        self.start = trio.current_time()
        #: Broken promises.
        self.violations: list[str] = []
        #: Times of the disturbances of each router, or of `endpoints` and `store`.
        self.disturbed: dict[str, list[float]] = {}
        #: What became of the requests.
        self.attempts: list[Attempt] = []
        #: Requests that were cut off; whether they had been read shows later.
        self.cut: list[Attempt] = []
        #: Faults that last now, by what they hit.
        self.lasting: dict[str, int] = {}

    def note(self, text: str) -> None:
        """Write down an event."""
        self.file.write(f"{trio.current_time() - self.start:8.3f} {text}\n")
        self.file.flush()

    def violation(self, text: str) -> None:
        """Write down a broken promise."""
        self.note(f"BROKEN {text}")
        self.violations.append(text)

    def disturb(self, what: str, how: str) -> None:
        """Write down a disturbance."""
        self.note(f"{what} {how}")
        self.disturbed.setdefault(what, []).append(trio.current_time())

    def begin(self, what: str, how: str) -> None:
        """Write down the beginning of a disturbance that lasts."""
        self.disturb(what, how)
        self.lasting[what] = self.lasting.get(what, 0) + 1

    def end(self, what: str, how: str) -> None:
        """Write down the end of a disturbance."""
        self.disturb(what, f"{how} ends")
        self.lasting[what] -= 1

    def calm(self, what: str, since: float, until: float | None = None) -> bool:
        """Whether nothing disturbed a router, the endpoints or the store."""
        until = trio.current_time() if until is None else until
        times = self.disturbed.get(what, ())
        if self.lasting.get(what):
            return False
        return not any(since <= time <= until for time in times)

    def in_touch(self, router: str) -> bool:
        """Whether a router must know by now what the store says."""
        start = trio.current_time() - CONTACT_SECONDS
        return all(self.calm(what, start) for what in (router, "store"))

    def ended(self, attempt: Attempt) -> None:
        """Judge how a request ended."""
        self.attempts.append(attempt)
        text = f"{attempt.id} at {attempt.router}: {attempt.status}"
        if attempt.status == 200:
            right = (
                attempt.answer == attempt.wanted
                if attempt.whole
                else attempt.wanted.startswith(attempt.answer)
            )
            if not right:
                self.violation(f"{text} with a wrong answer {attempt.answer[-80:]!r}")
        elif attempt.status in (400, 401, 403, 404, 413):
            self.violation(f"{text} though it is allowed")
        if not self.calm(attempt.router, attempt.sent - MARGIN, attempt.ended):
            return
        if attempt.ended - attempt.sent > attempt.deadline + MARGIN:
            self.violation(f"{text}, later than its deadline")
        plain = attempt.path != "plans"
        quiet = self.calm("endpoints", attempt.sent - MARGIN, attempt.ended)
        if not attempt.whole and (plain or quiet):
            self.cut.append(attempt)


def judge_runs(record: Record, runs: Counter[str]) -> None:
    """Judge how often requests ran, once nothing can run any more."""
    for attempt in record.attempts:
        count = runs[attempt.id]
        if attempt.status in PROMISES and count:
            record.violation(f"{attempt.id} got {attempt.status} and ran {count} times")
        most = 1 if attempt.path == "bookings" else MOST_RUNS
        if attempt.path != "plans" and count > most:
            record.violation(f"{attempt.id} ran {count} times")


def judge_cuts(record: Record, out: Path) -> None:
    """Judge the requests that were cut off.

    One that crosses the close of a process which ends its shutdown has not been
    read: the process says nothing of it, and that it ended with nothing in
    progress. It has made no promise to the caller.
    """
    for attempt in record.cut:
        times = record.disturbed.get(attempt.router, ())
        closes = any(0 <= time - attempt.ended <= CLOSE_SECONDS for time in times)
        log = (out / f"{attempt.router}.log").read_text(errors="replace")
        ends = [line for line in log.splitlines() if '"drain ends"' in line]
        finished = ends and all('"in_progress":0' in line for line in ends)
        if closes and finished and f'"{attempt.id}"' not in log:
            record.note(f"{attempt.id} crossed the close of {attempt.router}")
            continue
        record.violation(f"{attempt.id} at {attempt.router}: cut off")


def judge_logs(record: Record, logs: Iterable[Path]) -> None:
    """Look for errors that nobody handled."""
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if "Traceback" in line or '"level":"CRITICAL"' in line:
                record.violation(f"{log.name}: {line[:300]}")
