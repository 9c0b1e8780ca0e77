"""Admission: a bounded queue, fair between workspaces, aware of deadlines."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.verdict import (
    DEADLINE_PASSED,
    QUEUE_FULL,
    WORKSPACE_LIMIT,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.clock import Clock

__all__ = ["Admission", "WorkspaceShare", "Waiter"]

#: Requests that may wait, for each request that may run.
WAITING_PER_SLOT = 2
#: Seconds a request is assumed to run before any has been observed.
INITIAL_RUN_SECONDS = 1.0
#: Weight of a new observation in a moving average.
SMOOTHING = 0.1


class WorkspaceShare(NamedTuple):
    """A workspace's part of one entry.

    Attributes:
        workspace: Name of the workspace.
        weight: Share of contended places, relative to other workspaces.
        concurrency: Requests that it may run on this entry at once.
        rate: Requests a second that it may send to this entry.
    """

    workspace: str
    weight: int
    concurrency: int
    rate: float


class Waiter:
    """A request that waits for a place.

    Args:
        share: The workspace's part of this entry.
        tag: Virtual finish time, by which workspaces take turns.
    """

    def __init__(self, share: WorkspaceShare, tag: float) -> None:
        #: The workspace's part of this entry.
        self.share = share
        #: Virtual finish time.
        self.tag = tag
        #: Set when the request may go on.
        self.admitted = trio.Event()
        #: Whether the request has given up.
        self.gone = False


class Admission:
    """The places of one entry and the requests that wait for them.

    Args:
        slots: Requests that may run at once.
        clock: Clock of the rates and deadlines.
    """

    def __init__(self, slots: int, clock: Clock) -> None:
        #: Requests that may run at once.
        self.slots = slots
        #: Clock of the rates and deadlines.
        self.clock = clock
        #: Requests that run, by workspace.
        self.running: dict[str, int] = {}
        #: Requests that run, in all.
        self.in_flight = 0
        #: Waiting requests by priority, virtual finish time and arrival.
        self.queue: list[tuple[int, float, int, Waiter]] = []
        #: Waiting requests that have not given up.
        self.waiting = 0
        #: Virtual time of the queue.
        self.virtual_time = 0.0
        #: Virtual finish time of each workspace's last request.
        self.finish_times: dict[str, float] = {}
        #: Requests still allowed, and since when, by workspace.
        self.rate_tokens: dict[str, tuple[float, float]] = {}
        #: Moving average of the seconds that a request runs.
        self.run_seconds = INITIAL_RUN_SECONDS
        #: Arrivals so far; breaks ties.
        self.arrivals = 0

    async def admit(
        self, share: WorkspaceShare, priority: int, deadline: float
    ) -> Failure | None:
        """Wait for a place.

        Args:
            share: The workspace's part of this entry.
            priority: Priority of the request, 0 the highest.
            deadline: Monotonic time after which the answer is of no use.

        Returns:
            None once the request has a place, which `release` gives back; else
            why it was refused. A refused request has not run.
        """
        refused = self.refusal(share, deadline)
        if refused is not None:
            return refused
        if self.in_flight < self.slots and not self.waiting:
            self.take(share)
            return None
        waiter = self.enqueue(share, priority)
        seconds = deadline - self.clock.monotonic()
        try:
            with trio.move_on_after(seconds):
                await waiter.admitted.wait()
        except BaseException:
            self.give_up(waiter)
            raise
        if waiter.admitted.is_set():
            return None
        self.give_up(waiter)
        return refuse(DEADLINE_PASSED, "no place became free before the deadline")

    def refusal(self, share: WorkspaceShare, deadline: float) -> Failure | None:
        """Return why a request is refused at once, or None."""
        name = share.workspace
        if self.running.get(name, 0) >= share.concurrency:
            detail = f"workspace '{name}' runs {share.concurrency} requests here"
            return refuse(WORKSPACE_LIMIT, detail, self.run_seconds)
        wait = self.expected_wait()
        if self.waiting >= WAITING_PER_SLOT * self.slots:
            return refuse(QUEUE_FULL, f"{self.waiting} requests are waiting", wait)
        if self.clock.monotonic() + wait >= deadline:
            detail = f"the expected wait of {wait:.1f} s misses the deadline"
            return refuse(QUEUE_FULL, detail, wait)
        if not self.take_rate_token(share):
            detail = f"workspace '{name}' sends over {share.rate:.1f} requests/s here"
            return refuse(WORKSPACE_LIMIT, detail, 1 / share.rate)
        return None

    def expected_wait(self) -> float:
        """Return the seconds that a request arriving now would wait."""
        if self.in_flight < self.slots and not self.waiting:
            return 0.0
        return (self.waiting + 1) * self.run_seconds / self.slots

    def take_rate_token(self, share: WorkspaceShare) -> bool:
        """Take one request from a workspace's rate, if one is left."""
        now = self.clock.monotonic()
        burst = max(1.0, share.rate)
        left, since = self.rate_tokens.get(share.workspace, (burst, now))
        left = min(burst, left + (now - since) * share.rate)
        allowed = left >= 1
        self.rate_tokens[share.workspace] = (left - allowed, now)
        return allowed

    def enqueue(self, share: WorkspaceShare, priority: int) -> Waiter:
        """Put a request into the queue."""
        start = max(self.virtual_time, self.finish_times.get(share.workspace, 0.0))
        waiter = Waiter(share, start + 1 / share.weight)
        self.finish_times[share.workspace] = waiter.tag
        self.arrivals += 1
        heapq.heappush(self.queue, (priority, waiter.tag, self.arrivals, waiter))
        self.waiting += 1
        return waiter

    def give_up(self, waiter: Waiter) -> None:
        """Take a request out of the queue, or give its place back."""
        if waiter.admitted.is_set():
            self.release(waiter.share, None)
            return
        waiter.gone = True
        self.waiting -= 1

    def take(self, share: WorkspaceShare) -> None:
        """Give a request a place."""
        self.in_flight += 1
        self.running[share.workspace] = self.running.get(share.workspace, 0) + 1

    def release(self, share: WorkspaceShare, seconds: float | None) -> None:
        """Give a place back and admit the next request.

        Args:
            share: The workspace's part of this entry.
            seconds: How long the request ran, or None if it did not.
        """
        self.in_flight -= 1
        self.running[share.workspace] -= 1
        if not self.running[share.workspace]:
            del self.running[share.workspace]
        if seconds is not None:
            self.run_seconds += SMOOTHING * (seconds - self.run_seconds)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Give free places to waiting requests, in their order."""
        while self.queue and self.in_flight < self.slots:
            _, tag, _, waiter = heapq.heappop(self.queue)
            if waiter.gone:
                continue
            self.waiting -= 1
            self.virtual_time = max(self.virtual_time, tag)
            self.take(waiter.share)
            waiter.admitted.set()


def refuse(reason, detail: str, retry_after: float | None = None) -> Failure:
    """Return the refusal of a request that has not run."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after)
