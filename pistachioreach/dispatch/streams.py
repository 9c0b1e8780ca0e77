"""Takes streams through chains of engines, and goes on elsewhere when one stops."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.events import EventError, EventSplitter
from pistachioreach.dispatch.finder import addressed, chain_text, need_of
from pistachioreach.dispatch.silence import Run, trio_time
from pistachioreach.dispatch.work import Answered, Lost, refused
from pistachioreach.errors import AnswerBroken, ConnectionFailed
from pistachioreach.platform.requests import (
    decode_answer,
    endpoint_headers,
    path_header,
)
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
    from pistachioreach.dispatch.finder import ChainFinder
    from pistachioreach.dispatch.silence import SilenceWatch
    from pistachioreach.dispatch.work import Reply, Work
    from pistachioreach.endpoints.connections import Connections, Exchange
    from pistachioreach.endpoints.health import HealthMarks
    from pistachioreach.journal import Journal
    from pistachioreach.platform.requests import EndpointAnswer
    from pistachioreach.routing.paths import Path
    from pistachioreach.routing.progress import Progress
    from pistachioreach.routing.retries import RetryLimit
    from pistachioreach.routing.stream_slots import StreamSlot, StreamSlots

__all__ = ["StreamDispatcher"]

#: Sends of one stream that end before its first event, so that it did not run.
UNRUN_SENDS = 2
#: Engines of one stream that may not be reached; nothing was sent to them.
UNREACHED_SENDS = 6
#: Deaths of endpoints after which a request is not sent anywhere again.
MOST_DEATHS = 3
#: Share of an engine's memory, as far as it is known, below which it does not
#: refuse for want of memory: it is dead, or gives up its layers.
EMPTY_FILL = 0.3
#: Lowest status of an answer that is not the stream.
NOT_A_STREAM = 300


class Finished(NamedTuple):
    """A run that passed its answer on to the end."""


class StreamDispatcher:
    """Takes streams to engines.

    Args:
        finder: Finds chains.
        watch: Watches over silent streams.
        connections: Connections to the engines.
        places: Places on the engines.
        progress: What events tell of the engines.
        health: Marks of endpoints that failed.
        deaths: Requests that were running when endpoints died.
        retries: Limit on repeated sends.
        journal: Where decisions are written.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        finder: ChainFinder,
        watch: SilenceWatch,
        connections: Connections,
        places: StreamSlots,
        progress: Progress,
        health: HealthMarks,
        deaths: Deaths,
        retries: RetryLimit,
        journal: Journal,
        clock: Clock,
    ) -> None:
        #: Finds chains.
        self.finder = finder
        #: Watches over silent streams.
        self.watch = watch
        #: Connections to the engines.
        self.connections = connections
        #: Places on the engines.
        self.places = places
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
        self.retries.count_first_attempt(work.service.name)
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
        if self.deaths.suspicion.death_count(work.fingerprint) >= MOST_DEATHS:
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

    async def find_place(
        self, work: Work, avoid: frozenset[str]
    ) -> StreamSlot | Failure:
        """Return a chain with room for a stream, or why there is none."""
        return await self.places.acquire(
            lambda: self.finder.find(work, avoid),
            lambda: self.finder.covered(work, avoid),
            need_of(work),
            work.priority,
            work.route.target,
            work.deadline,
        )

    async def run_once(
        self,
        work: Work,
        reply: Reply,
        events: EventSplitter,
        place: StreamSlot,
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
            self.places.release(place, completed=done)

    async def attempt(
        self,
        work: Work,
        reply: Reply,
        events: EventSplitter,
        place: StreamSlot,
        may_leave: bool,
        avoid: frozenset[str],
    ) -> Finished | Lost:
        """Send a stream to a chain and pass its events on."""
        scope = trio.CancelScope(deadline=trio_time(self.clock, work.deadline))
        run = Run(place, scope, self.clock.monotonic(), may_leave, avoid)
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch.run, work, run)
            with scope:
                result = await self.exchange_or_lose(work, reply, events, run)
            nursery.cancel_scope.cancel()
        if result is not None:
            return result
        if run.left:
            return self.left_run(run)
        return Lost(run.verdict, "the deadline has passed")

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
        culprit = run.suspects[0].endpoint if len(run.suspects) == 1 else None
        silence = self.clock.monotonic() - run.last
        detail = f"silent for {silence:.3f} s; no progress of {sorted(ids)}"
        return Lost(run.verdict, detail, culprit, left=True, avoid=ids)

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
            response = exchange.response
            answer = decode_answer(response.status, response.headers)
            lost = self.check_answer(work, exchange, answer, run.path)
            if lost is None:
                await self.pass_on(reply, events, exchange, answer, run)
                return Finished()
            if lost.fallback is not None:
                body = await response.aread()
                lost = lost._replace(fallback=lost.fallback._replace(body=body))
            return lost

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

    def check_answer(
        self, work: Work, exchange: Exchange, answer: EndpointAnswer, path: Path
    ) -> Lost | None:
        """Return why an answer is not the stream, or None if it is."""
        first = path.stages[0].endpoint
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
        if answer.status >= NOT_A_STREAM:
            whole = Answered(answer.status, answer.fields, b"")
            detail = f"status {answer.status}"
            return Lost(Verdict.RAN, detail, None, fallback=whole)
        return None

    async def pass_on(
        self,
        reply: Reply,
        events: EventSplitter,
        exchange: Exchange,
        answer: EndpointAnswer,
        run: Run,
    ) -> None:
        """Pass events on as they arrive.

        Raises:
            ConnectionFailed: The connection broke.
            EventError: The endpoint sent other events than the next ones.
        """
        async for data in exchange.response.aiter_stream():
            whole = events.feed(data)
            if not whole:
                continue
            now = self.clock.monotonic()
            gap = now - run.last if run.began.is_set() else None
            self.progress.record_event(run.path, now, gap)
            run.last, run.waiting = now, None
            if not run.began.is_set():
                run.began.set()
                for stage in run.path.stages:
                    self.health.passed(stage.endpoint)
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

    def note(self, work: Work, lost: Lost, path: Path) -> None:
        """Draw the consequences of a try that failed."""
        if lost.left:
            self.progress.penalize(lost.avoid)
        if lost.unreached:
            self.health.unusable(lost.culprit, lost.detail)
        elif lost.culprit is not None and lost.fallback is None:
            refused = lost.verdict is Verdict.NOT_RUN
            if refused and self.finder.fill(work, lost.culprit) < EMPTY_FILL:
                self.health.unusable(lost.culprit, lost.detail)
            else:
                self.health.failed(lost.culprit, lost.detail, tell=refused)
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
