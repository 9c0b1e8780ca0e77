"""Places for streams: a chain with room for each, in order of rank and arrival.

Answers the heaviest days, on which more streams come than the engines' memory
holds: a stream waits only where a place is expected while its answer is still
of use, and is refused at once otherwise, with the time after which a place is
expected. Those that wait are served by rank and then by arrival, also large
ones: nobody behind them is admitted before them.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import trio

from pistachioreach.verdict import (
    DEADLINE_PASSED,
    NO_CHAIN,
    QUEUE_FULL,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.clock import Clock
    from pistachioreach.routing.engine_load import LoadTracker, Reservation
    from pistachioreach.routing.paths import Path, StreamNeed

__all__ = ["StreamSlot", "StreamSlots"]

#: Seconds that a stream is assumed to run before any has been observed.
INITIAL_RUN_SECONDS = 2.0
#: Stages of a usual chain.
USUAL_STAGES = 5
#: Weight of a new observation in the moving average of run times.
SMOOTHING = 0.1
#: Longest expected wait, as a multiple of the time within which the first event
#: is due; a later answer earns the caller little more than coming back.
PATIENCE = 3.0
#: Shares of the time left that a caller is asked to stay away, at most.
RETRY_SHARE = 1 / 3
#: Shortest time that a caller is asked to stay away, in seconds.
SHORTEST_RETRY = 0.25
#: Seconds after which a caller may come back when no chain covers the layers;
#: loading a range takes about this long.
COVER_SECONDS = 1.5


class StreamSlot:
    """A chain that a stream holds until it ends.

    Args:
        path: The chain.
        reservation: What the stream takes of the engines.
        since: Monotonic time at which it was taken.
    """

    def __init__(self, path: Path, reservation: Reservation, since: float) -> None:
        #: The chain.
        self.path = path
        #: What the stream takes of the engines.
        self.reservation = reservation
        #: Monotonic time at which it was taken.
        self.since = since


class Waiter:
    """A stream that waits for a place.

    Args:
        rank: Its rank and arrival, by which waiters are served.
        find: Returns a chain with room, or None.
        need: What the stream needs of each layer.
    """

    def __init__(
        self, rank: tuple[int, int], find: Callable[[], Path | None], need: StreamNeed
    ) -> None:
        #: Its rank and arrival.
        self.rank = rank
        #: Returns a chain with room, or None.
        self.find = find
        #: What the stream needs of each layer.
        self.need = need
        #: The place, once there is one.
        self.place: StreamSlot | None = None
        #: Set once there is a place.
        self.admitted = trio.Event()


class StreamSlots:
    """The places of one entry and the streams that wait for them.

    Args:
        ledger: Work on the engines.
        clock: Clock of all decisions.
        entries: Returns the number of live entries.
    """

    def __init__(
        self,
        ledger: LoadTracker,
        clock: Clock,
        entries: Callable[[], int] = lambda: 1,
    ) -> None:
        #: Work on the engines.
        self.ledger = ledger
        #: Clock of all decisions.
        self.clock = clock
        #: Returns the number of live entries.
        self.entries = entries
        #: Streams that wait, the next one first.
        self.waiters: list[Waiter] = []
        #: Streams that hold a place.
        self.running = 0
        #: Moving average of the seconds that a stream runs.
        self.run_seconds = INITIAL_RUN_SECONDS
        #: Arrivals so far; breaks ties.
        self.arrivals = 0

    async def acquire(
        self,
        find: Callable[[], Path | None],
        covered: Callable[[], bool],
        need: StreamNeed,
        priority: int,
        target: float,
        deadline: float,
    ) -> StreamSlot | Failure:
        """Return a place, after a wait if need be, or why there is none.

        Args:
            find: Returns a chain with room, or None.
            covered: Whether any chain covers all layers, with or without room.
            need: What the stream needs of each layer.
            priority: Rank, 0 the highest.
            target: Seconds within which the first event is due.
            deadline: Monotonic time after which the answer is of no use.
        """
        self.arrivals += 1
        rank = (priority, self.arrivals)
        if not self.waiters or rank < self.waiters[0].rank:
            path = find()
            if path is not None:
                return self.reserve(path, need)
        left = deadline - self.clock.monotonic()
        if not covered():
            return refuse(NO_CHAIN, "no engines cover all layers", left, COVER_SECONDS)
        ahead = sum(1 for waiter in self.waiters if waiter.rank < rank)
        wait = self.expected_wait(ahead) if ahead else 0.0
        if wait > min(PATIENCE * target, left):
            detail = f"the expected wait is {wait:.2f} s with {ahead} ahead"
            return refuse(QUEUE_FULL, detail, left, wait)
        return await self.wait(Waiter(rank, find, need), left, PATIENCE * target)

    async def wait(
        self, waiter: Waiter, left: float, patience: float
    ) -> StreamSlot | Failure:
        """Wait for a place within the patience and the time left."""
        bisect.insort(self.waiters, waiter, key=lambda other: other.rank)
        try:
            with trio.move_on_after(min(left, patience)):
                await waiter.admitted.wait()
        except BaseException:
            if waiter.place is not None:
                self.release(waiter.place, completed=False)
            raise
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if waiter.place is not None:
            return waiter.place
        reason = DEADLINE_PASSED if left <= patience else QUEUE_FULL
        remaining = left - min(left, patience)
        return refuse(reason, "no place became free", remaining, self.run_seconds)

    def expected_wait(self, ahead: int) -> float:
        """Return the seconds until a place is free for one with some ahead.

        Room that any entry's stream leaves can be taken here; an entry's share of
        all streams says more than the few that it happens to run itself.
        """
        share = self.ledger.stage_count() / USUAL_STAGES / self.entries()
        running = max(1.0, self.running, share)
        return (ahead + 1) * self.run_seconds / running

    def reserve(self, path: Path, need: StreamNeed) -> StreamSlot:
        """Take a place on a chain."""
        reservation = path.reservation(need)
        self.ledger.add_stream(reservation)
        self.running += 1
        return StreamSlot(path, reservation, self.clock.monotonic())

    def move(self, place: StreamSlot, path: Path, need: StreamNeed) -> None:
        """Let a stream hold another chain in place of its own."""
        self.ledger.remove_stream(place.reservation)
        place.path, place.reservation = path, path.reservation(need)
        self.ledger.add_stream(place.reservation)

    def release(self, place: StreamSlot, completed: bool) -> None:
        """Give a place back and admit those that wait.

        Args:
            place: The place.
            completed: Whether its stream ran to the end.
        """
        self.ledger.remove_stream(place.reservation)
        self.running -= 1
        if completed:
            seconds = self.clock.monotonic() - place.since
            self.run_seconds += SMOOTHING * (seconds - self.run_seconds)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Give places to those that wait, in their order."""
        while self.waiters:
            waiter = self.waiters[0]
            path = waiter.find()
            if path is None:
                return
            self.waiters.pop(0)
            waiter.place = self.reserve(path, waiter.need)
            waiter.admitted.set()


def refuse(reason, detail: str, left: float, wait: float) -> Failure:
    """Return the refusal of a stream that has not run."""
    retry_after = max(0.0, min(left * RETRY_SHARE, max(wait, SHORTEST_RETRY)))
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after)
