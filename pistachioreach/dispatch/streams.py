"""Takes streams through chains of engines, and goes on elsewhere when one stops."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.events import EventError, EventSplitter
from pistachioreach.dispatch.work import Answered, Lost, refused
from pistachioreach.errors import AnswerBroken, ConnectionFailed
from pistachioreach.platform.engines import OrderAnswer, move_stream, read_report
from pistachioreach.platform.requests import (
    decode_answer,
    endpoint_headers,
    path_header,
)
from pistachioreach.routing.ledger import NOTHING
from pistachioreach.routing.paths import StreamNeed, find_path
from pistachioreach.routing.routes import Repeat
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    NO_CHAIN,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.deaths import Deaths
    from pistachioreach.dispatch.work import Reply, Work
    from pistachioreach.endpoints.connections import Connections, Exchange
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.endpoints.health import HealthMarks
    from pistachioreach.journal import Journal
    from pistachioreach.routing.ledger import LoadLedger
    from pistachioreach.routing.paths import Path, PathStage
    from pistachioreach.routing.places import Place, StreamPlaces
    from pistachioreach.routing.progress import Progress
    from pistachioreach.routing.retries import RetryLimit

__all__ = ["StreamDispatcher"]

#: Sends of one stream that end before its first event, so that it did not run.
UNRUN_SENDS = 2
#: Engines of one stream that may not be reached; nothing was sent to them.
UNREACHED_SENDS = 6
#: Deaths of endpoints after which a request is not sent anywhere again.
MOST_DEATHS = 3
#: Seconds of silence after which a stream may be left, as a share of the pause
#: that is still in time; a new run needs the rest.
SILENCE_SHARE = 0.6
#: Shortest silence, in seconds, after which a stream may be left.
SHORTEST_SILENCE = 0.1
#: Share of the target of the first event after which another chain may be tried.
FIRST_EVENT_SHARE = 0.5
#: Seconds by which a wait may last longer than asked before this process, and
#: not a stream, is taken to have stood still.
STALL_SECONDS = 0.05
#: Seconds within which the first engine must say which stage a stream waits for.
REPORT_SECONDS = 0.06
#: Factor on the silence after each look that found no reason to leave.
PATIENCE_FACTOR = 1.5
#: Factor on the caller's estimate of the output tokens.
ESTIMATE_FACTOR = 1.2
#: Lowest status that tells of an endpoint's own failure.
SERVER_ERROR = 500


class Finished(NamedTuple):
    """A run that passed its answer on to the end."""


class Run:
    """One run of a stream on a chain.

    Args:
        place: The chain that it holds.
        scope: Ends the run when it is cancelled.
        started: Monotonic time of its start.
    """

    def __init__(self, place: Place, scope: trio.CancelScope, started: float) -> None:
        #: The chain that it holds.
        self.place = place
        #: Ends the run when it is cancelled.
        self.scope = scope
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


class StreamDispatcher:
    """Takes streams to engines.

    Args:
        directory: The endpoints.
        connections: Connections to them.
        places: Places on the engines.
        ledger: Work on the engines.
        progress: What events tell of the engines.
        health: Marks of endpoints that failed.
        deaths: Requests that were running when endpoints died.
        retries: Limit on repeated sends.
        journal: Where decisions are written.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        directory: Directory,
        connections: Connections,
        places: StreamPlaces,
        ledger: LoadLedger,
        progress: Progress,
        health: HealthMarks,
        deaths: Deaths,
        retries: RetryLimit,
        journal: Journal,
        clock: Clock,
    ) -> None:
        #: The endpoints.
        self.directory = directory
        #: Connections to them.
        self.connections = connections
        #: Places on the engines.
        self.places = places
        #: Work on the engines.
        self.ledger = ledger
        #: What events tell of the engines.
        self.progress = progress
        #: Marks of endpoints that failed.
        self.health = health
        #: Requests that were running when endpoints died.
        self.deaths = deaths
        #: Limit on repeated sends.
        self.retries = retries
        #: Where decisions are written.
        self.journal = journal
        #: Clock of all decisions.
        self.clock = clock

    async def run(self, work: Work, reply: Reply) -> Failure | Answered | None:
        """Take a stream to its outcome.

        Returns:
            None if the answer has been passed on, else what to answer.

        Raises:
            AnswerBroken: The answer has begun and cannot be completed.
        """
        self.retries.count_first(work.service.name)
        events = EventSplitter(work.request.last_event)
        avoid: frozenset[str] = frozenset()
        runs = unrun = unreached = 0
        while True:
            blocked = self.blocked(work)
            if blocked is not None:
                return self.end(reply, blocked)
            place = await self.find_place(work, avoid)
            if isinstance(place, Failure):
                return self.end(reply, place)
            first_event = events.last
            may_leave = (
                work.route.repeat is Repeat.RESUME
                and runs + 1 < work.route.max_attempts
                and unrun < UNRUN_SENDS
            )
            result = await self.run_once(work, reply, events, place, may_leave, avoid)
            if isinstance(result, Finished):
                # The place and the connection are given back before the caller
                # sees the end and may close its own connection.
                self.deaths.suspicion.clear(work.fingerprint)
                await reply.end()
                return None
            ran = events.last != first_event or result.verdict is Verdict.RAN
            if result.unreached:
                unreached += 1
            else:
                runs, unrun = runs + ran, unrun + (not ran)
            self.note(work, result, place.path)
            avoid |= result.avoid
            failure = None
            if not result.unreached or unreached > UNREACHED_SENDS:
                failure = self.final(work, result, runs, unrun)
            if failure is not None:
                if result.fallback is not None and not reply.started:
                    return result.fallback
                return self.end(reply, failure)

    def end(self, reply: Reply, failure: Failure) -> Failure:
        """Return a failure, or break off an answer that has begun.

        Raises:
            AnswerBroken: The answer has begun.
        """
        if reply.started:
            raise AnswerBroken(failure.detail)
        return failure

    def blocked(self, work: Work) -> Failure | None:
        """Return why a request must not be sent anywhere, or None."""
        if self.deaths.suspicion.count(work.fingerprint) >= MOST_DEATHS:
            detail = f"{MOST_DEATHS} endpoints died while they ran this request"
            return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)
        if self.clock.monotonic() >= work.deadline:
            return refused(DEADLINE_PASSED, "the deadline has passed")
        return None

    def final(self, work: Work, lost: Lost, runs: int, unrun: int) -> Failure | None:
        """Return the final failure after a try, or None to try again."""
        now = self.clock.monotonic()
        if now >= work.deadline:
            return Failure(lost.verdict, DEADLINE_PASSED, lost.detail)
        if lost.verdict is not Verdict.NOT_RUN and (
            work.route.repeat is not Repeat.RESUME
        ):
            return Failure(lost.verdict, ENDPOINT_FAILED, lost.detail)
        if runs >= work.route.max_attempts:
            return Failure(Verdict.RAN, ENDPOINT_FAILED, lost.detail)
        spent = lost.left or self.retries.spend(work.service.name)
        if unrun > UNRUN_SENDS or not spent:
            wait = min(1.0, (work.deadline - now) / 3)
            if runs or lost.verdict is not Verdict.NOT_RUN:
                return Failure(lost.verdict, ENDPOINT_FAILED, lost.detail)
            return refused(NO_CHAIN, lost.detail, wait)
        return None

    async def find_place(self, work: Work, avoid: frozenset[str]) -> Place | Failure:
        """Return a chain with room for a stream, or why there is none."""
        return await self.places.acquire(
            lambda: self.find(work, avoid),
            lambda: self.covered(work, avoid),
            self.need(work),
            work.priority,
            work.route.target,
            work.deadline,
        )

    def find(self, work: Work, avoid: frozenset[str]) -> Path | None:
        """Return the best chain with room for a stream, or None."""
        model, need = work.service.engine, self.need(work)
        loads, factors = self.ledger.load, self.progress.factor
        path = find_path(self.usable(work), model, need, loads, factors, avoid)
        if path is None and not self.covers(work, self.usable(work), avoid):
            # An engine that failed a moment ago is better than none.
            listed = self.listed(work)
            path = find_path(listed, model, need, loads, factors, avoid)
        return path

    def covered(self, work: Work, avoid: frozenset[str]) -> bool:
        """Whether engines cover all layers, with or without room."""
        return self.covers(work, self.listed(work), avoid)

    def covers(
        self, work: Work, endpoints: list[Endpoint], avoid: frozenset[str]
    ) -> bool:
        """Whether some engines cover all layers, with or without room."""
        model, need = work.service.engine, StreamNeed(1, 0)
        empty = find_path(endpoints, model, need, lambda _: NOTHING, avoid=avoid)
        return empty is not None

    def may_move(self, work: Work, avoid: frozenset[str]) -> bool:
        """Whether a stream may be sent again, and has where to go."""
        if find_path(
            self.usable(work),
            work.service.engine,
            self.need(work),
            self.ledger.load,
            self.progress.factor,
            avoid,
        ):
            return self.retries.spend(work.service.name)
        return False

    def listed(self, work: Work) -> list[Endpoint]:
        """Return the engines that are not leaving."""
        return [
            endpoint
            for endpoint in self.directory.of_service(work.service.name)
            if not endpoint.registration.leaving
        ]

    def usable(self, work: Work) -> list[Endpoint]:
        """Return the engines that may get new work now."""
        now = self.clock.monotonic()
        return [endpoint for endpoint in self.listed(work) if endpoint.usable(now)]

    def need(self, work: Work) -> StreamNeed:
        """Return the memory that a stream needs of each layer."""
        size = work.request.size
        model = work.service.engine
        if size is None:
            return StreamNeed(math.ceil(model.prompt), math.ceil(model.answer))
        estimate = math.ceil(size.answer_estimate * ESTIMATE_FACTOR)
        return StreamNeed(size.prompt, min(size.answer_limit, estimate))

    async def run_once(
        self,
        work: Work,
        reply: Reply,
        events: EventSplitter,
        place: Place,
        may_leave: bool,
        avoid: frozenset[str],
    ) -> Finished | Lost:
        """Run a stream on one chain."""
        ids = [stage.endpoint.id for stage in place.path.stages]
        self.record_chain(work, place.path, events)
        self.deaths.started(work.fingerprint, ids)
        events.restart()
        done = False
        try:
            result = await self.attempt(work, reply, events, place, may_leave, avoid)
            done = isinstance(result, Finished)
            return result
        finally:
            self.deaths.stopped(work.fingerprint, ids)
            self.places.release(place, ran=done)

    async def attempt(
        self,
        work: Work,
        reply: Reply,
        events: EventSplitter,
        place: Place,
        may_leave: bool,
        avoid: frozenset[str],
    ) -> Finished | Lost:
        """Send a stream to a chain and pass its events on."""
        scope = trio.CancelScope(deadline=self.trio_time(work.deadline))
        run = Run(place, scope, self.clock.monotonic())
        result = None
        async with trio.open_nursery() as nursery:
            if may_leave:
                nursery.start_soon(self.watch_silence, work, run, avoid)
            with scope:
                result = await self.exchange_or_lose(work, reply, events, run)
            nursery.cancel_scope.cancel()
        if result is not None:
            return result
        if run.left:
            return self.left_run(run)
        verdict = Verdict.RAN if run.began.is_set() else Verdict.MAY_HAVE_RUN
        return Lost(verdict, "the deadline has passed")

    async def exchange_or_lose(
        self, work: Work, reply: Reply, events: EventSplitter, run: Run
    ) -> Finished | Lost:
        """Run a stream; a connection that breaks loses the run."""
        first = run.path.stages[0].endpoint
        avoid = frozenset((first.id,))
        try:
            return await self.exchange(work, reply, events, run)
        except ConnectionFailed as error:
            verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
            if error.reused:
                return Lost(verdict, str(error))
            return Lost(
                verdict,
                str(error),
                first,
                unreached=not error.sent,
                died=error.sent,
                avoid=avoid,
            )
        except EventError as error:
            return Lost(Verdict.RAN, str(error), first, avoid=avoid)

    def left_run(self, run: Run) -> Lost:
        """Return what comes of a run that was left for its silence."""
        ids = frozenset(stage.endpoint.id for stage in run.suspects)
        verdict = Verdict.RAN if run.began.is_set() else Verdict.MAY_HAVE_RUN
        culprit = run.suspects[0].endpoint if len(run.suspects) == 1 else None
        silence = self.clock.monotonic() - run.last
        detail = f"silent for {silence:.3f} s; no progress of {sorted(ids)}"
        return Lost(verdict, detail, culprit, left=True, avoid=ids)

    async def watch_silence(self, work: Work, run: Run, avoid: frozenset[str]) -> None:
        """Leave a run that is silent where an engine of its chain seems dead.

        A stream whose engines all go on with others is only slow: another run
        would read its prompt again and make the others slower.
        """
        limit = FIRST_EVENT_SHARE * work.route.target
        with trio.move_on_after(limit):
            await run.began.wait()
            limit = self.silence_limit(work)
        looked, woke = run.waiting, float("-inf")
        while True:
            since = run.waiting
            if since != looked:
                looked, limit = since, self.silence_limit(work)
            now = self.clock.monotonic()
            if since is not None and now - max(since, woke) >= limit:
                if await self.escape(work, run, avoid):
                    return
                limit *= PATIENCE_FACTOR
            start = now if since is None else max(since, woke)
            due = start + limit
            await trio.sleep_until(self.trio_time(due))
            if self.clock.monotonic() - due > STALL_SECONDS:
                # This process stood still; events wait to be read.
                woke = self.clock.monotonic()

    async def escape(self, work: Work, run: Run, avoid: frozenset[str]) -> bool:
        """Lead a silent stream around the engine that seems dead, or leave the run.

        Returns:
            Whether the run was left.
        """
        silent_since = run.waiting
        suspects = self.progress.silent_stages(run.path, run.last)
        if len(suspects) > 1:
            suspects = await self.narrow_down(work, run, suspects)
            if run.waiting != silent_since:
                # An event has come meanwhile.
                return False
        if not suspects:
            return False
        ids = frozenset(stage.endpoint.id for stage in suspects)
        if len(suspects) == 1 and await self.lead_around(work, run, avoid | ids):
            self.progress.doubt(ids)
            return False
        if run.waiting == silent_since and self.may_move(work, avoid | ids):
            run.suspects, run.left = suspects, True
            run.scope.cancel()
        return run.left

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
        need = self.need(work)
        path = find_path(
            self.usable(work),
            work.service.engine,
            need,
            self.ledger.load,
            self.progress.factor,
            avoid,
            head,
        )
        if path is None:
            return False
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
        self.places.move(run.place, path, need)
        return True

    async def exchange(
        self, work: Work, reply: Reply, events: EventSplitter, run: Run
    ) -> Finished | Lost:
        """Send a stream to the first engine of a chain and pass its events on.

        Raises:
            ConnectionFailed: The connection could not be opened or broke.
            EventError: The endpoint sent other events than the next ones.
        """
        first = run.path.stages[0].endpoint
        left = work.deadline - self.clock.monotonic()
        async with self.connections.send(
            first.id,
            first.registration.address,
            work.request.method,
            work.request.target,
            self.fields(work, events, run.path, left),
            work.body,
        ) as exchange:
            lost = self.check_answer(work, exchange, run.path)
            if lost is None:
                await self.pass_on(work, reply, events, exchange, run)
                return Finished()
            if lost.fallback is not None:
                body = await exchange.response.aread()
                lost = lost._replace(fallback=lost.fallback._replace(body=body))
            return lost

    def trio_time(self, deadline: float) -> float:
        """Return a monotonic time as the event loop counts it."""
        return trio.current_time() + deadline - self.clock.monotonic()

    def fields(
        self, work: Work, events: EventSplitter, path: Path, left: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a request to a chain."""
        return endpoint_headers(
            work.request,
            endpoint=path.stages[0].endpoint.id,
            workspace=work.workspace,
            seconds=left,
            priority=work.priority,
            body=work.body,
            path=path_header(addressed(path)),
            last_event=events.last,
        )

    def check_answer(self, work: Work, exchange: Exchange, path: Path) -> Lost | None:
        """Return why an answer is not the stream, or None if it is."""
        first = path.stages[0].endpoint
        response = exchange.response
        answer = decode_answer(response.status, response.headers)
        self.health.answered(first, answer)
        if answer.reusable_seconds is not None:
            exchange.idle_seconds = answer.reusable_seconds
        culprit = first
        for stage in path.stages:
            if stage.endpoint.registration.address == answer.culprit:
                culprit = stage.endpoint
        if answer.misdirected:
            self.health.unusable(culprit, "it says that the request is not for it")
        if answer.not_run:
            detail = f"refused with {answer.status} by '{culprit.id}'"
            return Lost(
                Verdict.NOT_RUN, detail, culprit, avoid=frozenset((culprit.id,))
            )
        if answer.request_id != work.request.id:
            exchange.idle_seconds = 0.0
            detail = f"answer to request '{answer.request_id}'"
            return Lost(Verdict.MAY_HAVE_RUN, detail, first)
        if not answer.genuine:
            detail = f"status {answer.status} without a signature"
            return Lost(Verdict.MAY_HAVE_RUN, detail, first)
        if answer.status >= 300:
            whole = Answered(answer.status, answer.fields, b"")
            detail = f"status {answer.status}"
            return Lost(Verdict.RAN, detail, None, fallback=whole)
        return None

    async def pass_on(
        self,
        work: Work,
        reply: Reply,
        events: EventSplitter,
        exchange: Exchange,
        run: Run,
    ) -> None:
        """Pass events on as they arrive.

        Raises:
            ConnectionFailed: The connection broke.
            EventError: The endpoint sent other events than the next ones.
        """
        response = exchange.response
        answer = decode_answer(response.status, response.headers)
        async for data in response.aiter_stream():
            whole = events.feed(data)
            if not whole:
                continue
            now = self.clock.monotonic()
            gap = now - run.last if run.began.is_set() else None
            self.progress.note(run.path, now, gap)
            run.last, run.waiting = now, None
            run.began.set()
            # The silence limit must not cut a delivery: an event that has been
            # counted would be missing from the answer.
            with trio.CancelScope(shield=True):
                if not reply.started:
                    await reply.start(answer.status, answer.fields)
                await reply.send(whole)
            run.waiting = self.clock.monotonic()
        if events.rest:
            raise EventError("the stream ends in the middle of an event")
        if not reply.started:
            await reply.start(answer.status, answer.fields)

    def silence_limit(self, work: Work) -> float:
        """Return the seconds of silence after which a stream is left."""
        if work.route.pause_target is None:
            return math.inf
        return max(SHORTEST_SILENCE, SILENCE_SHARE * work.route.pause_target)

    def note(self, work: Work, lost: Lost, path: Path) -> None:
        """Draw the consequences of a try that failed."""
        if lost.left:
            self.progress.doubt(lost.avoid)
        if lost.unreached:
            self.health.unusable(lost.culprit, lost.detail)
        elif lost.culprit is not None and lost.fallback is None:
            tell = lost.verdict is Verdict.NOT_RUN
            self.health.failed(lost.culprit, lost.detail, tell)
        if lost.culprit is not None and (lost.died or lost.left):
            self.deaths.died(lost.culprit.id)
        self.journal.record(
            "stream try",
            work.request.id,
            "lost",
            lost.detail,
            verdict=lost.verdict.value,
            chain=chain_text(path),
            age=round(self.clock.monotonic() - work.arrived, 4),
        )

    def record_chain(self, work: Work, path: Path, events: EventSplitter) -> None:
        """Write which chain was chosen."""
        self.journal.record(
            "chain",
            work.request.id,
            chain_text(path),
            "shortest event with room",
            event_ms=round(path.event_ms, 2),
            after=events.last,
            age=round(self.clock.monotonic() - work.arrived, 4),
        )


def addressed(path: Path) -> list[tuple[str, int, int]]:
    """Return address, first layer and the layer after the last of each stage."""
    return [
        (stage.endpoint.registration.address, stage.first, stage.last)
        for stage in path.stages
    ]


def chain_text(path: Path) -> str:
    """Return a chain as it stands in logs: `a[0:16] b[16:32]`."""
    return " ".join(f"{s.endpoint.id}[{s.first}:{s.last}]" for s in path.stages)
