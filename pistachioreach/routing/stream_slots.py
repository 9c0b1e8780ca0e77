"""Admission of streams: each gets a chain with free memory, or waits, or is refused.

On the busiest days more streams arrive than fit into the memory of the engines. A
stream waits only if a slot is expected to become free while its answer is still
useful. Otherwise the stream is refused at once, with the time after which a slot is
expected. A stream whose answer has begun waits until its deadline, whatever the
expected wait: to refuse it would lose what its caller has received.

With one workspace and one priority, waiting streams are served by arrival, and none is
admitted before one that is ahead of it. Otherwise the order is by tier (priority, and
whether the workspace is over its share of the tokens that run), virtual finish time
and arrival. An entry then also regards what waits in the other entries, and admits
smaller streams while a larger one ahead of them finds no chain.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.routing.demand import NO_DEMAND, WorkspaceUsage
from pistachioreach.routing.fair_queue import FairQueue
from pistachioreach.routing.fair_shares import workspace_shares, workspaces_over
from pistachioreach.routing.paths import StreamNeed
from pistachioreach.routing.stream_waiters import (
    ADMITTED,
    HELD_BACK,
    LEFT,
    NO_CONTEXT,
    REFUSED,
    WAITS,
    QueueDecision,
    StreamContext,
    StreamSlot,
    Waiter,
    ignore_decision,
)
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    NO_CHAIN,
    QUEUE_FULL,
    UNAUTHORIZED,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Mapping

    from pistachioreach.clock import Clock
    from pistachioreach.routing.demand import DemandReport
    from pistachioreach.routing.engine_load import LoadTracker
    from pistachioreach.routing.fair_queue import QueuedItem
    from pistachioreach.routing.paths import Path
    from pistachioreach.routing.routes import Workspace

__all__ = ["StreamSlot", "StreamSlots", "refuse"]

#: Run time of a stream, in seconds, that is assumed until the first one has finished.
INITIAL_RUN_SECONDS = 2.0
#: Number of stages in a typical chain.
TYPICAL_STAGES = 5
#: Weight of a new observation in the moving averages of run times and sizes.
SMOOTHING = 0.1
#: Maximum expected wait, as a multiple of the target for the first event. An answer
#: that comes later is worth little more to the caller than a later retry.
MAX_WAIT_FACTOR = 3.0
#: Maximum Retry-After, as a fraction of the time left until the deadline.
MAX_RETRY_AFTER_SHARE = 1 / 3
#: Minimum Retry-After, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.25
#: Largest deviation of a Retry-After from its mean, as a fraction of the mean. Callers
#: that are refused together then return spread over half the time that they wait.
RETRY_SPREAD = 0.25
#: Retry-After, in seconds, when no chain covers all layers: the time that an engine
#: takes to load a range of layers is about as long.
UNCOVERED_RETRY_SECONDS = 1.5
#: Maximum age, in seconds, of the reports of other entries that decide who waits, and
#: maximum time for which a stream is held back for streams of other entries. A report
#: in service is at most this old, so an older one means that this entry is cut off.
MAX_REPORT_AGE_SECONDS = 1.25
#: Maximum number of searches for a chain in one pass over the queue. A search over 100
#: engines takes about a millisecond, and the pass runs inside the event loop. The next
#: pass follows within 0.1 s.
MAX_SEARCHES = 12
#: Maximum number of searches without success in one pass over the queue. Smaller and
#: smaller streams are tried; after three failures little free cache is left.
MAX_FAILED_SEARCHES = 3
#: Size from which on a stream counts as large, as a multiple of the mean size. Smaller
#: ones fit into the cache that one or two other streams free.
LARGE_FACTOR = 1.5
#: Parts of its need that a large stream tries to reserve while it finds no chain for
#: all of it, largest first.
RESERVED_PARTS = (0.75, 0.5, 0.25)
#: Maximum time, in seconds, for which a waiting stream reserves cache that it cannot
#: use yet: long enough that streams which run 2 s free half of the engines' cache.
MAX_RESERVATION_SECONDS = 1.0
#: Time in the queue, in seconds, after which a stream is no longer passed by smaller
#: ones of its entry, so that it is not overtaken until its maximum wait is over.
MAX_PASSED_SECONDS = 0.25


class Contention(NamedTuple):
    """What waits and runs in all entries, at one time.

    Attributes:
        now: Monotonic time.
        total: Demand of all entries; of this entry only if no report is recent.
        others: Demand of the other entries, empty if no report is recent.
        over: Workspaces that run more than their share.
        report_age: Age of the latest report of another entry in seconds, or None.
    """

    now: float
    total: DemandReport
    others: DemandReport
    over: frozenset[str]
    report_age: float | None


class StreamSlots:
    """The slots that the streams of one entry hold, and the queue for them.

    Args:
        tracker: Load of the engines and demand of the entries.
        clock: Clock for deadlines, waits and run times.
        entries: Function that returns the number of live entries.
        random: Source of the spread of Retry-After times.
    """

    def __init__(
        self,
        tracker: LoadTracker,
        clock: Clock,
        entries: Callable[[], int] = lambda: 1,
        random: Random | None = None,
    ) -> None:
        #: Load of the engines and demand of the entries.
        self.tracker = tracker
        #: Clock for deadlines, waits and run times.
        self.clock = clock
        #: Function that returns the number of live entries.
        self.entries = entries
        #: Source of the spread of Retry-After times.
        self.random = random or Random()
        #: Waiting streams, in the order in which they are served.
        self.queue: FairQueue[Waiter] = FairQueue()
        #: Number of streams that hold a slot.
        self.running = 0
        #: Moving average of the run time of a stream, in seconds.
        self.run_seconds = INITIAL_RUN_SECONDS
        #: Moving average of the size of a stream in tokens, or None before the first.
        self.mean_tokens: float | None = None

    @property
    def waiters(self) -> list[Waiter]:
        """Waiting streams, in the order in which they are served."""
        return [place.item for place in self.queue]

    async def acquire(
        self,
        find: Callable[[], Path | None],
        is_covered: Callable[[], bool],
        need: StreamNeed,
        priority: int,
        target: float,
        deadline: float,
        workspace: str | None = None,
        context: StreamContext = NO_CONTEXT,
    ) -> StreamSlot | Failure:
        """Take a slot, after a wait if no chain has enough free memory now.

        Args:
            find: Function that returns a chain with enough free memory, or None.
            is_covered: Function that returns whether some chain covers all layers and
                would have enough memory if no other streams ran.
            need: Prompt and answer size of the stream.
            priority: Priority of the stream; 0 is the highest.
            target: Target for the time to the first event, in seconds.
            deadline: Monotonic time after which the answer is useless.
            workspace: Name of the caller's workspace, or None.
            context: What else is known of the request.

        Returns:
            The slot, or the reason why the stream gets none.
        """
        self.observe_size(need)
        now = self.clock.monotonic()
        waiter = Waiter(find, need, workspace or "", priority, context, now)
        state = self.contention()
        uniform = self.is_uniform(state, waiter)
        tier = tier_of(waiter, state.over)
        place = None
        # The tiers share out tokens. Within a tier the workspaces take turns by
        # streams: by tokens, a large one would come after small ones that arrive later.
        if self.queue:
            self.queue.retier(lambda other: tier_of(other, state.over))
            place = waiter.place = self.queue.push(waiter, waiter.workspace, tier)
        ahead = [] if place is None else self.ahead_of(place)
        if (
            self.may_pass(waiter, ahead, uniform)
            and not self.is_held_back(waiter, tier, state)
            and (path := find()) is not None
        ):
            if place is not None:
                self.queue.serve(place)
            return self.reserve(path, waiter)
        time_left = deadline - now
        max_wait = MAX_WAIT_FACTOR * target
        failure = None
        if not is_covered():
            failure = self.refuse(
                NO_CHAIN,
                "no engines cover all layers with enough memory",
                time_left,
                UNCOVERED_RETRY_SECONDS,
            )
        elif not context.started:
            wait = self.wait_for(waiter, tier, ahead, state, uniform)
            if wait > min(max_wait, time_left):
                detail = f"the expected wait is {wait:.2f} s with {len(ahead)} ahead"
                retry = wait
                if not uniform:
                    retry += need.tokens / self.freed_tokens(waiter, state)
                failure = self.refuse(QUEUE_FULL, detail, time_left, retry)
        if failure is not None:
            if place is not None:
                self.queue.leave(place, refund=True)
            self.report_decision(REFUSED, failure.detail, waiter, tier, state, False)
            return failure
        if place is None:
            place = waiter.place = self.queue.push(waiter, waiter.workspace, tier)
        return await self.wait(place, state, time_left, max_wait)

    async def wait(
        self,
        place: QueuedItem[Waiter],
        state: Contention,
        time_left: float,
        max_wait: float,
    ) -> StreamSlot | Failure:
        """Wait in the queue for a slot.

        Args:
            place: Place of the stream in the queue.
            state: What waits and runs in all entries.
            time_left: Time until the deadline, in seconds.
            max_wait: Maximum time in the queue, in seconds.

        Returns:
            The slot, or the reason why the stream got none in time.
        """
        waiter = place.item
        self.tracker.demand.stream_waits(
            waiter.workspace, waiter.priority, waiter.need.tokens
        )
        try:
            reason = "held back" if waiter.held_since is not None else "no free cache"
            self.report_decision(WAITS, reason, waiter, place.tier, state, False)
            with trio.move_on_after(min(time_left, max_wait)):
                await waiter.decided.wait()
        except BaseException:
            if waiter.slot is not None:
                self.release(waiter.slot, completed=False)
            elif waiter.failure is None:
                self.leave(place)
            self.report_decision(
                LEFT, "the caller left", waiter, place.tier, self.contention(), True
            )
            raise
        if waiter.slot is not None:
            return waiter.slot
        state = self.contention()
        failure = waiter.failure
        if failure is None:
            reason = DEADLINE_PASSED if time_left <= max_wait else QUEUE_FULL
            remaining = time_left - min(time_left, max_wait)
            expected = self.run_seconds
            if not self.is_uniform(state, waiter):
                ahead = self.ahead_of(place)
                expected = self.wait_for(waiter, place.tier, ahead, state, False)
                expected += waiter.need.tokens / self.freed_tokens(waiter, state)
            failure = self.refuse(reason, "no place became free", remaining, expected)
            self.leave(place)
        self.report_decision(REFUSED, failure.detail, waiter, place.tier, state, True)
        return failure

    def leave(self, place: QueuedItem[Waiter]) -> None:
        """Remove a stream without a slot; admit others to what it had reserved."""
        reserved = place.item.reserved
        self.remove(place)
        if reserved is not None:
            self.admit_waiting()

    def remove(self, place: QueuedItem[Waiter]) -> None:
        """Remove a stream without a slot from the queue, and what it reserved."""
        waiter = place.item
        self.queue.leave(place, refund=True)
        self.tracker.demand.stream_stops_waiting(
            waiter.workspace, waiter.priority, waiter.need.tokens
        )
        if waiter.reserved is not None:
            self.drop_part(waiter)

    def withdraw(self, workspaces: Mapping[str, Workspace] | None) -> None:
        """Remove the waiting streams whose keys are no longer valid.

        An answer that has begun stays, as the streams that run do.

        Args:
            workspaces: Workspaces by key, or None if callers need no key.
        """
        if workspaces is None:
            return
        names = {workspace.name for workspace in workspaces.values()}
        for place in self.queue:
            waiter = place.item
            key = waiter.context.api_key
            holder = workspaces.get(key) if key is not None else None
            name = holder.name if holder is not None else None
            valid = (
                waiter.workspace in names if key is None else (name == waiter.workspace)
            )
            if not waiter.workspace or valid or waiter.decided.is_set():
                continue
            if waiter.context.started:
                continue
            detail = "the key was withdrawn while the stream waited"
            waiter.failure = Failure(Verdict.NOT_RUN, UNAUTHORIZED, detail)
            waiter.decided.set()
            self.remove(place)
        # Only now, so that none of the streams above is admitted.
        self.admit_waiting()

    def contention(self) -> Contention:
        """Return what waits and runs in all entries, and note who is over a share.

        Without a recent report, only the streams of this entry are regarded.
        """
        now = self.clock.monotonic()
        age = latest_report_age(self.tracker, now)
        if age is not None and age <= MAX_REPORT_AGE_SECONDS:
            total = self.tracker.total_demand()
            others = self.tracker.others_waiting()
        else:
            total, others = self.tracker.demand.report(now), NO_DEMAND
        over = workspaces_over(total.workspaces)
        self.tracker.demand.over_share = over
        return Contention(now, total, others, over, age)

    def is_uniform(self, state: Contention, waiter: Waiter | None = None) -> bool:
        """Return whether all streams have one workspace and one priority.

        Args:
            state: What waits and runs in all entries.
            waiter: A stream that is not yet counted, or None.
        """
        names = set(state.total.workspaces)
        waiting = {tier // 2 for tier in state.total.waiting}
        priorities = waiting | state.total.running.keys()
        if waiter is not None:
            names.add(waiter.workspace)
            priorities.add(waiter.priority)
        return len(names) <= 1 and len(priorities) <= 1

    def ahead_of(self, place: QueuedItem[Waiter]) -> list[QueuedItem[Waiter]]:
        """Return the places in the queue ahead of a place."""
        return [other for other in self.queue if other.rank < place.rank]

    def may_pass(
        self, waiter: Waiter, ahead: list[QueuedItem[Waiter]], uniform: bool
    ) -> bool:
        """Return whether a new stream may look for a chain now.

        A stream passes those ahead of it only if they need more cache than it does and
        have not waited too long, or can use other engines. What a large one has
        reserved is not free.

        Args:
            waiter: The new stream.
            ahead: Streams ahead of it.
            uniform: Whether all streams have one workspace and one priority.
        """
        # An answer that has begun may wait up to its deadline, and not as long as new
        # streams at most. It must not hold up streams that can use other engines.
        group = waiter.context.group
        ahead = [
            other
            for other in ahead
            if not other.item.context.started or other.item.context.group == group
        ]
        if not ahead:
            return True
        if uniform or waiter.context.cache is None:
            return False
        now = self.clock.monotonic()
        return all(
            (
                other.item.need.tokens > waiter.need.tokens
                and now - other.item.arrived_at < MAX_PASSED_SECONDS
            )
            or other.item.context.group != waiter.context.group
            for other in ahead
        )

    def is_held_back(self, waiter: Waiter, tier: int, state: Contention) -> bool:
        """Return whether a stream must leave free cache to streams of other entries.

        It does while streams of lower tiers wait there and less cache would remain
        than they need, but no longer than `MAX_REPORT_AGE_SECONDS`. By then their
        entries have had the time to use the cache, or cannot use it.
        """
        wanted = sum(
            usage.tokens
            for other, usage in state.others.waiting.items()
            if other < tier
        )
        if wanted <= 0:
            return False
        since = waiter.held_since
        if since is not None and state.now - since >= MAX_REPORT_AGE_SECONDS:
            return False
        tokens, cache = waiter.need.tokens, waiter.context.cache
        if cache is not None and cache.free_tokens(tokens) - tokens >= wanted:
            return False
        if since is None:
            waiter.held_since = state.now
            detail = f"{wanted:.0f} tokens of lower tiers wait in other entries"
            queued = state.now > waiter.arrived_at
            self.report_decision(HELD_BACK, detail, waiter, tier, state, queued)
        return True

    def wait_for(
        self,
        waiter: Waiter,
        tier: int,
        ahead: list[QueuedItem[Waiter]],
        state: Contention,
        uniform: bool,
    ) -> float:
        """Return the expected time until a stream gets a slot, in seconds.

        Args:
            waiter: The stream.
            tier: Its tier.
            ahead: Streams ahead of it in this entry.
            state: What waits and runs in all entries.
            uniform: Whether all streams have one workspace and one priority.
        """
        if uniform:
            return self.expected_wait(len(ahead)) if ahead else 0.0
        tokens = sum(other.item.need.tokens for other in ahead)
        tokens += sum(
            usage.tokens
            for other, usage in state.others.waiting.items()
            if other <= tier
        )
        return tokens / self.freed_tokens(waiter, state)

    def freed_tokens(self, waiter: Waiter, state: Contention) -> float:
        """Return the tokens per second that the running streams are expected to free.

        At least the cache of the stream itself is assumed to be used by others.
        """
        running = sum(usage.tokens for usage in state.total.running.values())
        return max(1, running, waiter.need.tokens) / self.run_seconds

    def expected_wait(self, ahead: int) -> float:
        """Return the expected time until a stream gets a slot, in seconds.

        Memory that a stream of any entry frees can be taken by this entry. The
        estimate therefore uses this entry's share of the streams of all entries,
        which says more than the few streams that this entry happens to run itself.

        Args:
            ahead: Number of streams that are ahead in the queue.
        """
        share = self.tracker.stage_count() / TYPICAL_STAGES / self.entries()
        running = max(1.0, self.running, share)
        return (ahead + 1) * self.run_seconds / running

    def observe_size(self, need: StreamNeed) -> None:
        """Update the moving average of stream sizes."""
        if self.mean_tokens is None:
            self.mean_tokens = float(need.tokens)
        self.mean_tokens += SMOOTHING * (need.tokens - self.mean_tokens)

    def reserve(self, path: Path, waiter: Waiter) -> StreamSlot:
        """Reserve a slot on a chain."""
        tokens = waiter.need.tokens
        reservation = path.reservation(waiter.need)
        self.tracker.add_stream(reservation)
        self.tracker.demand.stream_runs(waiter.workspace, waiter.priority, tokens)
        self.running += 1
        now = self.clock.monotonic()
        return StreamSlot(
            path, reservation, now, waiter.workspace, waiter.priority, tokens
        )

    def move(self, slot: StreamSlot, path: Path, need: StreamNeed) -> None:
        """Move the slot of a stream to another chain."""
        self.tracker.remove_stream(slot.reservation)
        slot.path, slot.reservation = path, path.reservation(need)
        self.tracker.add_stream(slot.reservation)
        self.tracker.demand.stream_grows(
            slot.workspace, slot.priority, need.tokens - slot.tokens
        )
        slot.tokens = need.tokens

    def grow(self, slot: StreamSlot, tokens: int) -> None:
        """Raise the reservation of a stream whose answer exceeds its estimate.

        Args:
            slot: Slot of a running stream.
            tokens: Tokens of the prompt and of the answer, as estimated now.
        """
        self.move(slot, slot.path, StreamNeed(tokens, 0))

    def release(self, slot: StreamSlot, completed: bool) -> None:
        """Release a slot and admit waiting streams.

        Args:
            slot: The slot.
            completed: Whether the stream ran to the end. Only then does its run time
                enter the moving average.
        """
        self.tracker.remove_stream(slot.reservation)
        self.tracker.demand.stream_ends(slot.workspace, slot.priority, slot.tokens)
        self.running -= 1
        if completed:
            seconds = self.clock.monotonic() - slot.started_at
            self.run_seconds += SMOOTHING * (seconds - self.run_seconds)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Assign slots to waiting streams in queue order while chains are found.

        The number of searches is bounded. A stream is not tried if one that needs no
        more, and can use the same engines, has just found no chain. The searches for
        answers that have begun do not count as failures: these may wait for long, and
        say nothing of the engines that they avoid.
        """
        if not self.queue:
            return
        state = self.contention()
        uniform = self.is_uniform(state)
        self.queue.retier(lambda waiter: tier_of(waiter, state.over))
        searches = failures = 0
        blocked: dict[Hashable, int] = {}
        for place in self.queue:
            waiter = place.item
            tokens, group = waiter.need.tokens, waiter.context.group
            if searches >= MAX_SEARCHES or failures >= MAX_FAILED_SEARCHES:
                return
            if tokens >= blocked.get(group, tokens + 1):
                continue
            if self.is_held_back(waiter, place.tier, state):
                continue
            part = waiter.reserved
            if part is not None:
                self.tracker.remove_stream(part)
            searches += 1
            path = waiter.find()
            if path is not None:
                waiter.reserved = None
                self.admit(place, path, state)
                continue
            if part is not None:
                self.tracker.add_stream(part)
            failures += not waiter.context.started
            if uniform or waiter.context.cache is None:
                if not waiter.context.started:
                    return
                # Only streams that can use no other engines wait behind it.
                blocked[group] = 0
                continue
            if not blocked:
                searches += self.reserve_part(waiter, state.now)
            may_be_passed = state.now - waiter.arrived_at < MAX_PASSED_SECONDS
            blocked[group] = tokens if may_be_passed else 0

    def admit(self, place: QueuedItem[Waiter], path: Path, state: Contention) -> None:
        """Assign a chain to a waiting stream."""
        waiter = place.item
        self.report_decision(ADMITTED, "free cache", waiter, place.tier, state, True)
        self.queue.serve(place)
        self.tracker.demand.stream_stops_waiting(
            waiter.workspace, waiter.priority, waiter.need.tokens
        )
        waiter.slot = self.reserve(path, waiter)
        waiter.decided.set()

    def reserve_part(self, first: Waiter, now: float) -> int:
        """Reserve a part of the cache that the first waiting stream needs.

        Only a large stream reserves cache, for a bounded time: if it had to find all
        of it free at once, the smaller streams of all entries would take what becomes
        free. At most one stream of an entry has reserved cache.

        Args:
            first: First waiting stream that found no chain.
            now: Monotonic time.

        Returns:
            The number of searches for a chain.
        """
        for waiter in self.waiters:
            if waiter is not first and waiter.reserved is not None:
                self.drop_part(waiter)
        if first.need.tokens < LARGE_FACTOR * (self.mean_tokens or 0.0):
            return 0
        if first.reserved_since is None:
            first.reserved_since = now
        if now - first.reserved_since >= MAX_RESERVATION_SECONDS:
            if first.reserved is not None:
                self.drop_part(first)
            return 0
        searches = 0
        known = first.reserved
        if known is not None:
            self.tracker.remove_stream(known)
        for share in RESERVED_PARTS:
            tokens = int(share * first.need.tokens)
            if tokens <= first.reserved_tokens:
                break
            searches += 1
            path = first.context.cache.find_part(tokens)
            if path is not None:
                part = first.need._replace(prompt_tokens=tokens, answer_tokens=0)
                first.reserved = path.reservation(part)
                first.reserved_tokens = tokens
                break
        if first.reserved is not None:
            self.tracker.add_stream(first.reserved)
        return searches

    def drop_part(self, waiter: Waiter) -> None:
        """Release the cache that a waiting stream has reserved."""
        self.tracker.remove_stream(waiter.reserved)
        waiter.reserved, waiter.reserved_tokens = None, 0

    def report_decision(
        self,
        choice: str,
        reason: str,
        waiter: Waiter,
        tier: int,
        state: Contention,
        queued: bool,
    ) -> None:
        """Report a decision on a stream, with what it rests on."""
        if waiter.context.observe is ignore_decision:
            return
        ahead: dict[int, float] = {}
        for other, usage in state.others.waiting.items():
            if other <= tier:
                ahead[other] = ahead.get(other, 0.0) + usage.tokens
        # The stream may have left the queue already; its place still has its rank.
        places = [] if waiter.place is None else self.ahead_of(waiter.place)
        for place in places:
            tokens = place.item.need.tokens
            ahead[place.tier] = ahead.get(place.tier, 0.0) + tokens
        workspaces = dict(state.total.workspaces)
        usage = workspaces.get(waiter.workspace, WorkspaceUsage(0.0, 0.0))
        if not queued:
            # The stream does not count as waiting yet.
            waiting = usage.waiting + waiter.need.tokens
            workspaces[waiter.workspace] = usage._replace(waiting=waiting)
        waiter.context.observe(
            QueueDecision(
                choice,
                reason,
                tier,
                queued,
                state.now - waiter.arrived_at,
                dict(sorted(ahead.items())),
                usage.running,
                workspace_shares(workspaces).get(waiter.workspace),
                state.report_age,
            )
        )

    def refuse(self, reason, detail: str, time_left: float, wait: float) -> Failure:
        """Return the failure of a refused stream, with a random spread of Retry-After.

        Args:
            reason: Reason that is sent to the caller.
            detail: Text that is sent to the caller.
            time_left: Time until the deadline, in seconds.
            wait: Time after which a slot is expected, in seconds.
        """
        # The bounds apply to the mean, so that the times are also spread where one of
        # the bounds is in force.
        longest = max(0.0, time_left) * MAX_RETRY_AFTER_SHARE / (1 + RETRY_SPREAD)
        mean = min(longest, max(wait, MIN_RETRY_AFTER_SECONDS / (1 - RETRY_SPREAD)))
        spread = self.random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return refuse(reason, detail, time_left, mean * spread)


def refuse(reason, detail: str, time_left: float, wait: float) -> Failure:
    """Return the failure of a stream that was refused before it ran.

    Args:
        reason: Reason that is sent to the caller.
        detail: Text that is sent to the caller.
        time_left: Time until the deadline, in seconds.
        wait: Time after which a slot is expected, in seconds.
    """
    retry_after = max(
        0.0,
        min(time_left * MAX_RETRY_AFTER_SHARE, max(wait, MIN_RETRY_AFTER_SECONDS)),
    )
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after)


def tier_of(waiter: Waiter, over: frozenset[str]) -> int:
    """Return the tier of a stream, given the workspaces over their share."""
    return 2 * waiter.priority + (waiter.workspace in over)


def latest_report_age(tracker: LoadTracker, now: float) -> float | None:
    """Return the age of the latest report of another entry, in seconds, or None."""
    latest = [
        next(reversed(sums.reports.values()))[0]
        for sums in (tracker.children, tracker.others)
        if sums.reports
    ]
    return now - max(latest) if latest else None
