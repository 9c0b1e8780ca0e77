"""Admission control: a bounded queue with fair sharing, priorities and deadlines."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.routing.fair_queue import FairQueue
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    QUEUE_FULL,
    WORKSPACE_LIMIT,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.routing.fair_queue import QueuedItem

__all__ = ["Admission", "Waiter", "WorkspaceShare"]

#: Maximum number of queued requests for each slot.
WAITING_PER_SLOT = 2
#: Run time, in seconds, that is assumed until the first request has finished.
INITIAL_RUN_SECONDS = 1.0
#: Weight of a new observation in the moving average of run times.
SMOOTHING = 0.1


class WorkspaceShare(NamedTuple):
    """The limits and the weight of one workspace on one entry.

    Attributes:
        workspace: Name of the workspace.
        weight: Weight of the workspace, relative to the other workspaces, when
            requests compete for slots.
        concurrency: Maximum number of requests that the workspace may run on this
            entry at the same time.
        rate: Maximum rate at which the workspace may send requests to this entry,
            in requests per second.
    """

    workspace: str
    weight: int
    concurrency: int
    rate: float


class Waiter:
    """A queued request.

    Args:
        share: Limits and weight of the workspace that sent the request.
    """

    def __init__(self, share: WorkspaceShare) -> None:
        #: Limits and weight of the workspace that sent the request.
        self.share = share
        #: Event that is set when the request gets a slot.
        self.admitted = trio.Event()


class Admission:
    """The slots of one entry and the queue of requests that wait for a slot.

    Requests of equal priority are ordered by weighted fair queueing between their
    workspaces.

    Args:
        slots: Maximum number of requests that run at the same time.
        clock: Clock for the rate limits and deadlines.
    """

    def __init__(self, slots: int, clock: Clock) -> None:
        #: Maximum number of requests that run at the same time.
        self.slots = slots
        #: Clock for the rate limits and deadlines.
        self.clock = clock
        #: Number of running requests of each workspace.
        self.running: dict[str, int] = {}
        #: Number of running requests of all workspaces.
        self.in_flight = 0
        #: Queued requests; the tier is the priority, the flow is the workspace.
        self.queue: FairQueue[Waiter] = FairQueue()
        #: Token bucket of each workspace: the tokens left, and the monotonic time
        #: at which they were counted.
        self.rate_tokens: dict[str, tuple[float, float]] = {}
        #: Moving average of the run time of a request, in seconds.
        self.run_seconds = INITIAL_RUN_SECONDS

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self.queue)

    async def admit(
        self, share: WorkspaceShare, priority: int, deadline: float
    ) -> Failure | None:
        """Wait until a slot is free and take the slot.

        Args:
            share: Limits and weight of the workspace that sent the request.
            priority: Priority of the request; 0 is the highest.
            deadline: Monotonic time after which the answer is useless.

        Returns:
            None once the request has a slot, which the caller must return with
            `release`; otherwise the reason for the refusal. A refused request has
            not run.
        """
        refused = self.refusal(share, deadline)
        if refused is not None:
            return refused
        if self.in_flight < self.slots and not self.waiting:
            self.take_slot(share)
            return None
        place = self.queue.push(
            Waiter(share), share.workspace, priority, weight=share.weight
        )
        waiter = place.item
        seconds = deadline - self.clock.monotonic()
        try:
            with trio.move_on_after(seconds):
                await waiter.admitted.wait()
        except BaseException:
            self.abandon(place)
            raise
        if waiter.admitted.is_set():
            return None
        self.abandon(place)
        return refuse(DEADLINE_PASSED, "no place became free before the deadline")

    def refusal(self, share: WorkspaceShare, deadline: float) -> Failure | None:
        """Check whether a request must be refused at once.

        Takes a token from the token bucket of the workspace if all other checks
        pass.

        Returns:
            The reason for the refusal, or None if the request may run or queue.
        """
        workspace = share.workspace
        if self.running.get(workspace, 0) >= share.concurrency:
            detail = f"workspace '{workspace}' runs {share.concurrency} requests here"
            return refuse(WORKSPACE_LIMIT, detail, self.run_seconds)
        wait = self.expected_wait()
        if self.waiting >= WAITING_PER_SLOT * self.slots:
            return refuse(QUEUE_FULL, f"{self.waiting} requests are waiting", wait)
        if self.clock.monotonic() + wait >= deadline:
            detail = f"the expected wait of {wait:.1f} s misses the deadline"
            return refuse(QUEUE_FULL, detail, wait)
        if not self.take_rate_token(share):
            detail = (
                f"workspace '{workspace}' sends over {share.rate:.1f} requests/s here"
            )
            return refuse(WORKSPACE_LIMIT, detail, 1 / share.rate)
        return None

    def expected_wait(self) -> float:
        """Return the expected queueing time of a new request, in seconds."""
        if self.in_flight < self.slots and not self.waiting:
            return 0.0
        return (self.waiting + 1) * self.run_seconds / self.slots

    def take_rate_token(self, share: WorkspaceShare) -> bool:
        """Take one token from the token bucket of a workspace, if one is left.

        The bucket holds the tokens of one second, but at least one token.

        Returns:
            Whether a token was taken.
        """
        now = self.clock.monotonic()
        burst = max(1.0, share.rate)
        tokens, counted_at = self.rate_tokens.get(share.workspace, (burst, now))
        tokens = min(burst, tokens + (now - counted_at) * share.rate)
        allowed = tokens >= 1
        self.rate_tokens[share.workspace] = (tokens - allowed, now)
        return allowed

    def abandon(self, place: QueuedItem[Waiter]) -> None:
        """Drop a request from the queue, or release its slot if it already has one."""
        if place.item.admitted.is_set():
            self.release(place.item.share, None)
            return
        self.queue.leave(place)

    def take_slot(self, share: WorkspaceShare) -> None:
        """Count a request of a workspace as running."""
        self.in_flight += 1
        self.running[share.workspace] = self.running.get(share.workspace, 0) + 1

    def release(self, share: WorkspaceShare, seconds: float | None) -> None:
        """Release the slot of a request and admit queued requests.

        Args:
            share: Limits and weight of the workspace that sent the request.
            seconds: Run time of the request in seconds, or None if the request did
                not run.
        """
        self.in_flight -= 1
        self.running[share.workspace] -= 1
        if not self.running[share.workspace]:
            del self.running[share.workspace]
        if seconds is not None:
            self.run_seconds += SMOOTHING * (seconds - self.run_seconds)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Assign the free slots to queued requests, in queue order."""
        for place in self.queue:
            if self.in_flight >= self.slots:
                return
            self.queue.serve(place)
            self.take_slot(place.item.share)
            place.item.admitted.set()


def refuse(reason, detail: str, retry_after: float | None = None) -> Failure:
    """Return the failure of a request that was refused before it ran.

    Args:
        reason: Reason that is sent to the caller.
        detail: Text that is sent to the caller.
        retry_after: Seconds after which the caller may retry, or None.
    """
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after)
