"""Dispatcher of streams to chains of engines, with failover to other chains."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.events import EventError, EventSplitter
from pistachioreach.dispatch.finder import events_tokens, format_chain, prompt_tokens
from pistachioreach.dispatch.forwarding import forward_events
from pistachioreach.dispatch.prompts import (
    clear_prompt,
    count_prompt_crash,
    crash_failure,
)
from pistachioreach.dispatch.relayed_answers import relayed_fields
from pistachioreach.dispatch.sends import check_send
from pistachioreach.dispatch.silence import StreamRun, trio_time
from pistachioreach.dispatch.stream_attempts import (
    abandoned_attempt,
    blame_engines,
    broken_attempt,
    stream_fields,
)
from pistachioreach.dispatch.stream_endings import MAX_UNRUN_ATTEMPTS, StreamEndings
from pistachioreach.dispatch.stream_limits import (
    Ending,
    is_temporary,
    limit_of,
)
from pistachioreach.dispatch.stream_queue import QueueRecord
from pistachioreach.dispatch.stream_record import AttemptRecord
from pistachioreach.dispatch.stream_responses import check_response
from pistachioreach.dispatch.work import (
    CompleteResponse,
    FailedAttempt,
    Finished,
    refused,
    unsent_attempt,
)
from pistachioreach.endpoints.connections import read_body
from pistachioreach.errors import ConnectionFailed, EndpointLeft, ResponseAborted
from pistachioreach.platform.requests import decode_response
from pistachioreach.routing.routes import RetryPolicy
from pistachioreach.routing.stream_slots import (
    MAX_WAIT_FACTOR,
    StreamSlot,
    refuse,
)
from pistachioreach.routing.stream_waiters import StreamContext
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    QUEUE_FULL,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.deaths import DeathTracker
    from pistachioreach.dispatch.finder import ChainFinder
    from pistachioreach.dispatch.relay import EntryRelay
    from pistachioreach.dispatch.silence import StallMonitor
    from pistachioreach.dispatch.silent_engines import SilentEngines
    from pistachioreach.dispatch.work import Reply, RoutedRequest
    from pistachioreach.endpoints.connections import Connections, Exchange
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.journal import Journal
    from pistachioreach.metrics import Metrics
    from pistachioreach.platform.requests import EndpointResponse
    from pistachioreach.routing.paths import Path
    from pistachioreach.routing.progress import Progress
    from pistachioreach.routing.retries import RetryLimit
    from pistachioreach.routing.stream_slots import StreamSlots

__all__ = ["StreamDispatcher"]

#: Time, in seconds, for which an answer that can only be resumed on engines that have
#: run it waits for them, until it checks whether they have ended.
START_CHECK_SECONDS = 1.0
#: Minimum number of events between two increases of a stream's reservation. Each one
#: changes the load of all engines of the chain; 4 events are 20 tokens, 2% of a stream.
GROWTH_EVENTS = 4
#: Minimum time, in seconds, between two tries of the queue by streams that wait for the
#: link. They may also wait for memory, and each try searches all engines.
TURN_CHECK_SECONDS = 0.1


class StreamDispatcher:
    """Sends streams to chains of engines and resumes them after failures.

    Args:
        finder: Finder of chains.
        stall_monitor: Reroutes or abandons silent streams.
        connections: Connections to the engines.
        links: Finds out whether this entry is cut off from all endpoints.
        relay: Sends requests through other entries meanwhile.
        slots: Reserved chains and the queue of streams that wait for one.
        progress: Progress and speed of each engine, learned from stream events.
        health: Health state of the endpoints, by their responses.
        deaths: Tracker of endpoint deaths and of the requests in flight.
        silent_engines: Engines that fell silent, until their death is certain.
        retries: Retry limit by service.
        journal: Journal of the decisions.
        metrics: Counters and gauges.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        finder: ChainFinder,
        stall_monitor: StallMonitor,
        connections: Connections,
        links: LinkMonitor,
        relay: EntryRelay,
        slots: StreamSlots,
        progress: Progress,
        health: HealthTracker,
        deaths: DeathTracker,
        silent_engines: SilentEngines,
        retries: RetryLimit,
        journal: Journal,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        #: Finder of chains.
        self.finder = finder
        #: Reroutes or abandons silent streams.
        self.stall_monitor = stall_monitor
        #: Connections to the engines.
        self.connections = connections
        #: Finds out whether this entry is cut off from all endpoints.
        self.links = links
        #: Sends requests through other entries meanwhile.
        self.relay = relay
        #: Reserved chains and the queue of streams that wait for one.
        self.slots = slots
        #: Progress and speed of each engine, learned from stream events.
        self.progress = progress
        #: Health state of the endpoints, by their responses.
        self.health = health
        #: Tracker of endpoint deaths and of the requests in flight.
        self.deaths = deaths
        #: Engines that fell silent, until their death is certain.
        self.silent_engines = silent_engines
        #: Retry limit by service.
        self.retries = retries
        #: Limits that end a stream, and the waits of answers that have begun.
        self.endings = StreamEndings(finder.directory, connections, retries, clock)
        #: Journal of the decisions.
        self.journal = journal
        #: Record of the queue's decisions.
        self.queue_record = QueueRecord(journal, metrics)
        #: Clock of all decisions.
        self.clock = clock
        #: Monotonic time at which the queue was last tried for the turn of the link.
        self.admitted_at = float("-inf")

    async def run(
        self, routed: RoutedRequest, reply: Reply
    ) -> Failure | CompleteResponse | None:
        """Send a stream to chains until it is complete or no attempt is left.

        Returns:
            None if the response has been forwarded, else the response to send.

        Raises:
            ResponseAborted: The response has started and cannot be completed.
        """
        if routed.request.relayed_by is None:
            self.finder.record_arrival(routed)
            self.retries.count_first_attempt(routed.service.name)
        record = AttemptRecord(self.clock)
        try:
            return await self.run_attempts(routed, reply, record)
        finally:
            self.endings.cancel_retry(routed, record)
            self.finder.forget(routed)

    async def run_attempts(
        self, routed: RoutedRequest, reply: Reply, record: AttemptRecord
    ) -> Failure | CompleteResponse | None:
        """Make the attempts of a stream, see `run`."""
        events = EventSplitter(routed.request.last_event)
        while True:
            sent_tokens = events_tokens(routed, events.last_number)
            starts = None
            if reply.started:
                starts = await self.endings.allowed_starts(routed, record)
            routed = routed._replace(sent_tokens=sent_tokens, starts=starts)
            number_before = events.last_number
            result = await self.make_attempt(routed, reply, events, record)
            if isinstance(result, CompleteResponse):
                return result
            if isinstance(result, Failure):
                waits = reply.started and is_temporary(result)
                if result.suspected or waits:
                    record.forget_failures()
                    await self.endings.await_chance(routed, record)
                    continue
                ending = Ending(limit_of(result), result)
                return self.fail(reply, ending, record.verdict)
            if isinstance(result, Finished):
                await self.finish(routed, reply, events)
                return None
            if result.endpoint_left:
                continue
            record.add(result, events.last_number != number_before)
            ending = await self.endings.await_ending(routed, reply, result, record)
            if ending is not None:
                if result.fallback is not None and not reply.started:
                    return result.fallback
                return self.fail(reply, ending, record.verdict)

    async def finish(
        self, routed: RoutedRequest, reply: Reply, events: EventSplitter
    ) -> None:
        """Record a stream whose events were all forwarded, and end the response.

        The memory and the connection have been released before the caller sees the end
        of the response and may close its own connection.
        """
        self.finder.record_answer(routed, events.last_number)
        self.deaths.suspects.clear(routed.fingerprint)
        clear_prompt(routed, self.deaths.suspects)
        await reply.end()

    async def make_attempt(
        self,
        routed: RoutedRequest,
        reply: Reply,
        events: EventSplitter,
        record: AttemptRecord,
    ) -> Finished | FailedAttempt | CompleteResponse | Failure:
        """Make one attempt, on a chain or through another entry.

        Returns:
            How the attempt ended, or why none was made.
        """
        blocked = self.check_blocked(routed, record.was_sent)
        # While this entry is cut off, only others can tell crashes from lost links.
        if blocked is not None and not (blocked.suspected and self.links.cut_off):
            return blocked
        if self.links.cut_off and routed.starts is not None:
            # Another entry would choose one more engine.
            return self.relay.refuse()
        if self.links.cut_off:
            charged = self.endings.confirm_retry(routed, record)
            result = await self.attempt_through_entry(routed, reply, events)
            if charged and isinstance(result, Failure):
                self.endings.withdraw_retry(routed, record)
            return result
        return await self.attempt_on_chain(routed, reply, events, record)

    async def attempt_on_chain(
        self,
        routed: RoutedRequest,
        reply: Reply,
        events: EventSplitter,
        record: AttemptRecord,
    ) -> Finished | FailedAttempt | Failure:
        """Reserve a chain and make one attempt on it.

        Args:
            routed: The request for the stream.
            reply: Reply to the caller.
            events: Events that the caller has received.
            record: Attempts so far.

        Returns:
            How the attempt ended, or why none was made.
        """
        avoid = record.avoided(routed.starts)
        await self.obtain_permit(routed, avoid)
        begun = record if reply.started else None
        slot = await self.reserve_chain(routed, avoid, begun)
        if isinstance(slot, Failure):
            return slot
        blocked = self.check_blocked(routed, record.was_sent)
        if blocked is not None:
            # Engines crashed while the request waited for a chain.
            self.slots.release(slot, completed=False)
            return blocked
        first = slot.path.stages[0].endpoint
        if reply.started:
            is_left = record.count_with(first) < routed.route.max_attempts
        else:
            is_left = (
                record.runs + 1 < routed.route.max_attempts
                and record.unrun < MAX_UNRUN_ATTEMPTS
            )
        may_retry = is_left and routed.route.retry_policy is RetryPolicy.RESUME
        charged = self.endings.confirm_retry(routed, record)
        result = await self.run_once(
            routed, reply, events, slot, may_retry, avoid, record
        )
        if isinstance(result, FailedAttempt):
            if charged and result.unreached:
                self.endings.withdraw_retry(routed, record)
            return result._replace(first=first)
        return result

    async def attempt_through_entry(
        self, routed: RoutedRequest, reply: Reply, events: EventSplitter
    ) -> Finished | FailedAttempt | CompleteResponse | Failure:
        """Make one attempt through another entry, while this one is cut off.

        Returns:
            How the attempt ended, or why none was made.
        """
        refusal = self.relay.refuse_relayed(routed)
        if refusal is not None:
            return refusal
        outcome = await self.relay.stream(routed, reply, events)
        if outcome is None:
            return self.relay.refuse()
        if isinstance(outcome, CompleteResponse) and reply.started:
            return FailedAttempt(Verdict.RAN, f"status {outcome.status}")
        if isinstance(outcome, Failure) and outcome.verdict is not Verdict.NOT_RUN:
            return FailedAttempt(outcome.verdict, outcome.detail)
        return outcome

    def fail(self, reply: Reply, ending: Ending, verdict: Verdict) -> Failure:
        """Return the failure; raise `ResponseAborted` if the response has started.

        A refusal of a later attempt does not tell the caller that the request did not
        run if an earlier attempt may have run it.

        Args:
            reply: Reply to the caller.
            ending: Why the request cannot be sent, or sent again.
            verdict: Whether the attempts so far may have run the request.
        """
        failure = ending.failure
        if reply.started:
            raise ResponseAborted(failure.detail, ending.limit.value)
        if failure.verdict is not Verdict.NOT_RUN or verdict is Verdict.NOT_RUN:
            return failure
        late = failure.reason is DEADLINE_PASSED
        reason = DEADLINE_PASSED if late else ENDPOINT_FAILED
        return Failure(verdict, reason, failure.detail)

    def check_blocked(self, routed: RoutedRequest, sent: bool) -> Failure | None:
        """Return the failure of a request that must not be sent, or None.

        Args:
            routed: The request.
            sent: Whether an earlier attempt of the request was sent.
        """
        suspects = self.deaths.suspects
        blocked = crash_failure(routed, suspects, sent)
        if blocked is not None:
            certain = crash_failure(routed, suspects, sent, certain=True)
            has_time = self.clock.monotonic() < routed.deadline
            return blocked._replace(suspected=certain is None and has_time)
        if self.clock.monotonic() >= routed.deadline:
            return refused(DEADLINE_PASSED, "the deadline has passed")
        return None

    async def obtain_permit(self, routed: RoutedRequest, avoid: frozenset[str]) -> None:
        """Obtain a permit for the first engine of the best chain, if it needs one.

        If it is refused, the engine of the next best chain follows. If all are, the
        stream waits for one in the queue.
        """
        start = self.finder.start_without_permit(routed, avoid)
        while start is not None and not await self.finder.permits.obtain(start):
            start = self.finder.start_without_permit(routed, avoid)

    async def reserve_chain(
        self,
        routed: RoutedRequest,
        avoid: frozenset[str],
        begun: AttemptRecord | None = None,
    ) -> StreamSlot | Failure:
        """Reserve a chain for a stream, after a wait if needed, or return a failure.

        A stream that no failure domain can run alone is refused at once if the link
        between the domains cannot carry it in time, unless its answer has begun.

        Args:
            routed: The request for the stream.
            avoid: Ids of engines that the chain must not use.
            begun: Attempts so far if the answer has begun, else None. The answer then
                waits until its deadline: to end it sooner would lose what the caller
                has received.
        """
        target = routed.route.target if begun is None else math.inf
        if routed.starts is not None:
            target = START_CHECK_SECONDS / MAX_WAIT_FACTOR
        wait = self.finder.transfer_wait(routed, avoid)
        if wait is None:
            return await self.acquire_slot(routed, avoid, target, begun)
        time_left = routed.deadline - self.clock.monotonic()
        if begun is None and wait > min(MAX_WAIT_FACTOR * target, time_left):
            detail = f"the link between failure domains is in use for {wait:.2f} s"
            return refuse(QUEUE_FULL, detail, time_left, wait)
        slot: StreamSlot | Failure | None = None
        try:
            with self.finder.waiting_for_link(routed, avoid):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.admit_at_turn, routed, wait)
                    slot = await self.acquire_slot(routed, avoid, target, begun)
                    nursery.cancel_scope.cancel()
        except BaseException:
            if isinstance(slot, StreamSlot):
                self.slots.release(slot, completed=False)
            raise
        return slot

    async def admit_at_turn(self, routed: RoutedRequest, wait: float) -> None:
        """Admit waiting streams whenever the link is free, until cancelled.

        The queue itself tries again only when another stream of this entry ends.

        Args:
            routed: A request that waits for the link.
            wait: Time until the link is free, in seconds.
        """
        model, need = routed.service.engine, self.finder.need(routed)
        while True:
            await trio.sleep(max(wait, TURN_CHECK_SECONDS))
            now = self.clock.monotonic()
            if now >= self.admitted_at + TURN_CHECK_SECONDS:
                self.admitted_at = now
                self.slots.admit_waiting()
            wait = self.finder.link_share.expected_wait(model, need)

    async def acquire_slot(
        self,
        routed: RoutedRequest,
        avoid: frozenset[str],
        target: float,
        begun: AttemptRecord | None,
    ) -> StreamSlot | Failure:
        """Take a slot, after a wait in the queue if no chain is free now.

        An answer that has begun may wait for longer than it avoids engines.

        Args:
            routed: The request for the stream.
            avoid: Ids of engines that the chain must not use.
            target: Target for the time to the next event, in seconds.
            begun: Attempts so far if the answer has begun, else None.
        """

        def avoided() -> frozenset[str]:
            return avoid if begun is None else begun.avoided(routed.starts)

        return await self.slots.acquire(
            lambda: self.finder.find(routed, avoided()),
            lambda: self.finder.layers_covered(routed, avoided()),
            self.finder.need(routed),
            routed.priority,
            target,
            routed.deadline,
            routed.workspace,
            StreamContext(
                api_key=None if routed.workspace is None else routed.request.api_key,
                group=(routed.service.name, avoid, routed.starts),
                cache=self.finder.cache_view(routed, avoid),
                observe=functools.partial(self.queue_record.record, routed),
                started=begun is not None,
            ),
        )

    async def run_once(
        self,
        routed: RoutedRequest,
        reply: Reply,
        events: EventSplitter,
        slot: StreamSlot,
        may_retry: bool,
        avoid: frozenset[str],
        record: AttemptRecord,
    ) -> Finished | FailedAttempt:
        """Run one attempt of a stream and release the chain afterwards.

        A failure is recorded while the request still counts as in flight, so that the
        death of an endpoint also counts against the request that ran on it.
        """
        ids = [stage.endpoint.id for stage in slot.path.stages]
        self.log_chain(routed, slot.path, events)
        if routed.service.engine.keeps_prompts:
            self.record_prompt(routed, slot.path, sent=True)
        self.deaths.request_started(routed.fingerprint, ids)
        events.discard_partial()
        done = False
        try:
            try:
                result = await self.attempt(
                    routed, reply, events, slot, may_retry, avoid, record
                )
                done = isinstance(result, Finished)
            finally:
                self.slots.release(slot, completed=done)
            if isinstance(result, FailedAttempt) and not result.endpoint_left:
                await self.blame(routed, result, slot.path)
            return result
        finally:
            self.deaths.request_stopped(routed.fingerprint, ids)

    async def attempt(
        self,
        routed: RoutedRequest,
        reply: Reply,
        events: EventSplitter,
        slot: StreamSlot,
        may_retry: bool,
        avoid: frozenset[str],
        record: AttemptRecord,
    ) -> Finished | FailedAttempt:
        """Run one attempt with the stall monitor and the request's deadline."""
        scope = trio.CancelScope(deadline=trio_time(self.clock, routed.deadline))
        now = self.clock.monotonic()
        run = StreamRun(slot, scope, now, may_retry, avoid, record)
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.stall_monitor.run, routed, run)
            with scope:
                result = await self.exchange_or_fail(routed, reply, events, run)
            nursery.cancel_scope.cancel()
        if result is not None:
            return result
        if run.abandoned:
            return abandoned_attempt(run, self.clock.monotonic())
        return FailedAttempt(run.verdict, "the deadline has passed")

    async def exchange_or_fail(
        self, routed: RoutedRequest, reply: Reply, events: EventSplitter, run: StreamRun
    ) -> Finished | FailedAttempt:
        """Run the exchange; return a failed attempt if the connection breaks."""
        first = run.path.stages[0].endpoint
        try:
            return await self.exchange(routed, reply, events, run)
        except EndpointLeft as error:
            return unsent_attempt(error)
        except ConnectionFailed as error:
            ended = (error.sent or error.reused) and await self.endings.has_ended(first)
            died = error.sent and await self.count_crash(routed, run, ended)
            # An engine may close an idle connection just as the request arrives.
            expired = error.reused and not ended
            failed = broken_attempt(error, None if expired else first, died)
            return failed._replace(ended=ended)
        except EventError as error:
            ended = await self.endings.has_ended(first)
            died = await self.count_crash(routed, run, ended)
            return FailedAttempt(
                Verdict.RAN,
                str(error),
                first,
                died=died,
                avoid=frozenset((first.id,)),
                ended=ended,
            )

    async def count_crash(
        self, routed: RoutedRequest, run: StreamRun, ended: bool
    ) -> bool:
        """Count a crash against the prompt if its answer was just beginning.

        Args:
            routed: The request for the stream.
            run: The run that broke.
            ended: Whether the first engine has ended or cannot be reached.

        Returns:
            Whether the first engine appears to have died.
        """
        if not run.is_starting(self.clock.monotonic()):
            return ended and not await self.links.check()
        return await count_prompt_crash(
            routed,
            run.path.stages[0].endpoint,
            self.deaths.suspects,
            self.connections,
            self.links,
            self.journal,
        )

    async def exchange(
        self, routed: RoutedRequest, reply: Reply, events: EventSplitter, run: StreamRun
    ) -> Finished | FailedAttempt:
        """Send a stream to the first engine of a chain and forward its events.

        Raises:
            ConnectionFailed: The connection could not be opened or broke.
            EndpointLeft: An engine of the chain left before the request was sent.
            EventError: The endpoint sent an event that is not the next one.
        """
        first = run.path.stages[0].endpoint
        seconds_left = routed.deadline - self.clock.monotonic()
        async with self.connections.send(
            first.id,
            first.registration.address,
            routed.request.method,
            routed.request.target,
            stream_fields(routed, events, run.path, seconds_left),
            routed.body,
            # As for a call that may not be repeated: an idle connection may be closed
            # just as the request arrives.
            fresh=routed.route.retry_policy is RetryPolicy.ONCE,
            unlimited=True,
            on_send=check_send(
                routed.request.id,
                [stage.endpoint for stage in run.path.stages],
                self.finder.directory,
                self.clock,
            ),
        ) as exchange:
            response = exchange.response
            answer = decode_response(response.status, response.headers)
            failed = check_response(routed, exchange, answer, run.path, self.health)
            if failed is None:
                await self.forward_events(routed, reply, events, exchange, answer, run)
                return Finished()
            if failed.fallback is not None:
                body = await read_body(response)
                failed = failed._replace(fallback=failed.fallback._replace(body=body))
            return failed

    async def forward_events(
        self,
        routed: RoutedRequest,
        reply: Reply,
        events: EventSplitter,
        exchange: Exchange,
        answer: EndpointResponse,
        run: StreamRun,
    ) -> None:
        """Forward complete events to the caller as they arrive.

        Raises:
            ConnectionFailed: The connection broke.
            EventError: The endpoint sent an event that is not the next one.
        """

        def on_event() -> None:
            self.record_progress(routed, run)
            self.grow_reservation(routed, run, events.last_number)

        def on_sent() -> None:
            if run.waiting_since is None:
                run.waiting_since = self.clock.monotonic()

        run_id = run.path.stages[0].endpoint.run_id
        fields = relayed_fields(routed.request, answer, run_id)
        answer = answer._replace(fields=fields)
        await forward_events(exchange, answer, reply, events, on_event, on_sent)

    def record_progress(self, routed: RoutedRequest, run: StreamRun) -> None:
        """Record the next event of a run, which is about to be forwarded."""
        now = self.clock.monotonic()
        gap = now - run.last_event_at if run.first_event_seen.is_set() else None
        self.progress.record_event(run.path, now, gap)
        run.last_event_at, run.waiting_since = now, None
        if not run.first_event_seen.is_set():
            run.first_event_seen.set()
            run.first_event_at = now
            if routed.service.engine.keeps_prompts:
                self.record_prompt(routed, run.path, sent=False)
            for stage in run.path.stages:
                self.health.record_success(stage.endpoint)
        elif not run.is_established and not run.is_starting(now):
            run.is_established = True
            clear_prompt(routed, self.deaths.suspects)

    def grow_reservation(
        self, routed: RoutedRequest, run: StreamRun, number: int
    ) -> None:
        """Raise the reservation of a run whose answer has reached its estimate.

        The new estimate covers the events up to the next possible increase.

        Args:
            routed: The request for the stream.
            run: The run.
            number: Number of the last event that was received.
        """
        run.sent_tokens = events_tokens(routed, number)
        reserved = run.slot.path.reserved_tokens(run.slot.reservation)
        if number < run.grows_at or prompt_tokens(routed) + run.sent_tokens < reserved:
            return
        run.grows_at = number + GROWTH_EVENTS
        ahead = events_tokens(routed, run.grows_at)
        tokens = self.finder.need(routed._replace(sent_tokens=ahead)).tokens
        if tokens > reserved:
            self.slots.grow(run.slot, tokens)

    def record_prompt(self, routed: RoutedRequest, path: Path, sent: bool) -> None:
        """Record the prompt of a stream for the choice of later chains.

        Args:
            routed: The request for the stream.
            path: Chain of the stream.
            sent: Whether the stream is about to be sent; otherwise, its first event has
                arrived, which shows that the engines have prefilled the prompt.
        """
        size = routed.request.size
        if size is None:
            return
        prompts, parts = self.finder.prompts, size.prompt_parts
        if sent:
            model = routed.service.engine
            prompts.record_sent(path, model, size.prompt_tokens, parts)
        else:
            prompts.record_held(path.stages, parts)

    async def blame(
        self, routed: RoutedRequest, failed: FailedAttempt, path: Path
    ) -> None:
        """Update health, progress and deaths of the engines after a failed attempt.

        An engine that could not be reached is not to blame if this entry is cut off.
        """
        if not (failed.unreached and await self.links.check()):
            blame_engines(
                failed,
                lambda engine: self.finder.memory_use(routed, engine),
                self.health,
                self.progress,
                self.deaths,
                self.silent_engines,
            )
        self.journal.record(
            "stream try",
            routed.request.id,
            "lost",
            failed.detail,
            verdict=failed.verdict.value,
            chain=format_chain(path),
            age=round(self.clock.monotonic() - routed.arrived, 4),
        )

    def log_chain(
        self, routed: RoutedRequest, path: Path, events: EventSplitter
    ) -> None:
        """Write the chosen chain to the journal."""
        self.journal.record(
            "chain",
            routed.request.id,
            format_chain(path),
            "shortest event with room",
            event_ms=round(path.event_ms, 2),
            after=events.last_number,
            parts=routed.shared_parts,
            age=round(self.clock.monotonic() - routed.arrived, 4),
        )
