"""Watches over silent streams: leads them around a dead stage, or leaves the run."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.finder import addressed, chain_text, need_of
from pistachioreach.platform.engines import OrderAnswer, move_stream, read_report
from pistachioreach.platform.requests import path_header
from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.finder import ChainFinder
    from pistachioreach.dispatch.work import Work
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.journal import Journal
    from pistachioreach.routing.paths import Path, PathStage
    from pistachioreach.routing.progress import Progress
    from pistachioreach.routing.retries import RetryLimit
    from pistachioreach.routing.stream_slots import StreamSlot, StreamSlots

__all__ = ["Run", "SilenceWatch", "trio_time"]

#: Seconds of silence after which a stream may be left, as a share of the pause
#: that is still in time; a new run needs the rest.
SILENCE_SHARE = 0.6
#: The same where an entry has found an engine of its chain dead: streams that are
#: led around it at once go on within the pause that is in time.
LOST_SHARE = 0.4
#: Shortest silence, in seconds, after which a stream may be left.
SHORTEST_SILENCE = 0.1
#: Share of the target of the first event after which another chain may be tried.
FIRST_EVENT_SHARE = 0.5
#: Seconds by which a wait may last longer than asked before this process, and
#: not a stream, is taken to have stood still.
STALL_SECONDS = 0.05
#: Seconds by which a sleep may end early, since times are rounded.
ROUNDING = 1e-6
#: Seconds within which the first engine must say which stage a stream waits for.
REPORT_SECONDS = 0.06
#: Factor on the silence after each look that found no reason to leave.
PATIENCE_FACTOR = 1.5


class Run:
    """One run of a stream on a chain.

    Args:
        place: The chain that it holds.
        scope: Ends the run when it is cancelled.
        started: Monotonic time of its start.
        may_leave: Whether the stream may be sent again elsewhere.
        avoid: Ids of engines that its chain must not use.
    """

    def __init__(
        self,
        place: StreamSlot,
        scope: trio.CancelScope,
        started: float,
        may_leave: bool,
        avoid: frozenset[str],
    ) -> None:
        #: The chain that it holds.
        self.place = place
        #: Ends the run when it is cancelled.
        self.scope = scope
        #: Whether the stream may be sent again elsewhere.
        self.may_leave = may_leave
        #: Ids of engines that its chain must not use.
        self.avoid = avoid
        #: Monotonic time of the last event, or of the start.
        self.last = started
        #: Monotonic time since which the next event is waited for, or None while
        #: the caller takes the last one.
        self.waiting: float | None = started
        #: Set once an event has come.
        self.began = trio.Event()
        #: Stages for whose silence the run was left.
        self.suspects: list[PathStage] = []
        #: Whether the run was left for its silence.
        self.left = False

    @property
    def path(self) -> Path:
        """The chain that it runs on now."""
        return self.place.path

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run, as far as its events show."""
        return Verdict.RAN if self.began.is_set() else Verdict.MAY_HAVE_RUN


class SilenceWatch:
    """Watches over the runs of streams.

    Args:
        finder: Finds chains.
        places: Places on the engines.
        progress: What events tell of the engines.
        connections: Connections to the engines.
        retries: Limit on repeated sends.
        journal: Where decisions are written.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        finder: ChainFinder,
        places: StreamSlots,
        progress: Progress,
        connections: Connections,
        retries: RetryLimit,
        journal: Journal,
        clock: Clock,
    ) -> None:
        #: Finds chains.
        self.finder = finder
        #: Places on the engines.
        self.places = places
        #: What events tell of the engines.
        self.progress = progress
        #: Connections to the engines.
        self.connections = connections
        #: Limit on repeated sends.
        self.retries = retries
        #: Where decisions are written.
        self.journal = journal
        #: Clock of all decisions.
        self.clock = clock

    async def run(self, work: Work, run: Run) -> None:
        """Leave a run that is silent where an engine of its chain seems dead.

        A stream whose engines all go on with others is only slow: another run
        would read its prompt again and make the others slower.
        """
        limit = FIRST_EVENT_SHARE * work.route.target
        with trio.move_on_after(limit):
            await run.began.wait()
        looked, woke = run.waiting, float("-inf")
        if run.began.is_set():
            limit = silence_limit(work, LOST_SHARE)
        while True:
            since = run.waiting
            if since != looked:
                looked, limit = since, silence_limit(work, LOST_SHARE)
            now = self.clock.monotonic()
            if since is not None and now >= max(since, woke) + limit - ROUNDING:
                usual = silence_limit(work)
                if await self.escape(work, run, only_lost=limit < usual):
                    return
                limit = usual if limit < usual else limit * PATIENCE_FACTOR
            start = now if since is None else max(since, woke)
            due = start + limit
            await trio.sleep_until(trio_time(self.clock, due))
            if self.clock.monotonic() - due > STALL_SECONDS:
                # This process stood still; events wait to be read.
                woke = self.clock.monotonic()

    async def escape(self, work: Work, run: Run, only_lost: bool) -> bool:
        """Lead a silent stream around the engine that seems dead, or leave the run.

        Args:
            work: The stream.
            run: Its run.
            only_lost: Whether silence alone is no reason yet.

        Returns:
            Whether the run was left.
        """
        silent_since = run.waiting
        lost = self.lost_stages(run)
        if only_lost and not lost:
            return False
        suspects = lost or self.progress.silent_stages(run.path, run.last)
        if len(suspects) > 1 and not lost:
            suspects = await self.narrow_down(work, run, suspects)
            if run.waiting != silent_since:
                # An event has come meanwhile.
                return False
        if not suspects:
            return False
        ids = frozenset(stage.endpoint.id for stage in suspects)
        avoid = run.avoid | ids
        known = len(suspects) == 1 or lost
        if known and await self.lead_around(work, run, avoid):
            self.progress.penalize(ids)
            # The new stages read the prompt first.
            run.waiting = self.clock.monotonic()
            return False
        if run.waiting == silent_since and self.may_leave(work, run, avoid):
            run.suspects, run.left = suspects, True
            run.scope.cancel()
        return run.left

    def lost_stages(self, run: Run) -> list[PathStage]:
        """Return the stages of a silent run whose engines are lost.

        Any entry's word counts, but not against a stream that has gone on through
        the engine since.
        """
        now = self.clock.monotonic()
        registered = self.finder.directory.endpoints
        return [
            stage
            for stage in run.path.stages
            if (
                registered.get(stage.endpoint.id) is not stage.endpoint
                or stage.endpoint.lost_until > now
            )
            and not self.progress.progressed_since(stage.endpoint.id, run.last)
        ]

    def may_leave(self, work: Work, run: Run, avoid: frozenset[str]) -> bool:
        """Whether a stream may be sent again, and has where to go."""
        if not run.may_leave or self.finder.find_usable(work, avoid) is None:
            return False
        return self.retries.spend(work.service.name)

    async def narrow_down(
        self, work: Work, run: Run, suspects: list[PathStage]
    ) -> list[PathStage]:
        """Ask the first engine of a chain which stage the stream waits for."""
        first = run.path.stages[0]
        report = None
        with trio.move_on_after(REPORT_SECONDS):
            report = await read_report(
                self.connections,
                first.endpoint.id,
                first.endpoint.registration.address,
            )
        if report is None:
            return [first]
        culprit = report.stalled.get(work.request.id)
        named = [
            stage
            for stage in run.path.stages
            if stage.endpoint.registration.address == culprit
        ]
        return named or suspects

    async def lead_around(self, work: Work, run: Run, avoid: frozenset[str]) -> bool:
        """Order the first engine to go on along another chain; return if it does."""
        head = run.path.stages[0]
        if not run.began.is_set() or head.endpoint.id in avoid:
            return False
        path = self.finder.find_usable(work, avoid, head)
        if path is None:
            return False
        self.finder.claim(work, path)
        answer = await move_stream(
            self.connections,
            head.endpoint.id,
            head.endpoint.registration.address,
            work.request.id,
            path_header(addressed(path)),
        )
        self.journal.record(
            "path change",
            work.request.id,
            chain_text(path),
            answer.value,
            before=chain_text(run.path),
            silence=round(self.clock.monotonic() - run.last, 3),
        )
        if answer is not OrderAnswer.ACCEPTED:
            return False
        self.places.move(run.place, path, need_of(work))
        return True


def trio_time(clock: Clock, deadline: float) -> float:
    """Return a clock's monotonic time as the event loop counts it."""
    return trio.current_time() + deadline - clock.monotonic()


def silence_limit(work: Work, share: float = SILENCE_SHARE) -> float:
    """Return the seconds of silence after which a stream may be left.

    Args:
        work: The stream.
        share: Share of the pause that is still in time.
    """
    if work.route.pause_target is None:
        return math.inf
    return max(SHORTEST_SILENCE, share * work.route.pause_target)
