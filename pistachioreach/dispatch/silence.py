"""Stall monitor: reroutes or abandons streams that have received no events."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.finder import format_chain, stage_addresses
from pistachioreach.dispatch.sends import check_send
from pistachioreach.errors import EndpointLeft
from pistachioreach.platform.engines import OrderResult, read_report, reroute_stream
from pistachioreach.platform.requests import chain_header
from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.finder import ChainFinder
    from pistachioreach.dispatch.reachability import ReachabilityProbe
    from pistachioreach.dispatch.relay import EntryRelay
    from pistachioreach.dispatch.stream_record import AttemptRecord
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.journal import Journal
    from pistachioreach.routing.paths import Path, PathStage
    from pistachioreach.routing.progress import Progress
    from pistachioreach.routing.retries import RetryLimit
    from pistachioreach.routing.stream_slots import StreamSlot, StreamSlots

__all__ = ["StreamRun", "StallMonitor", "trio_time"]

#: Silence after which a stream may be abandoned, as a share of the longest pause that
#: the route allows between events. A new attempt needs the rest of the pause.
SILENCE_SHARE = 0.6
#: Silence, as a share of that pause, after which a stream may be rerouted or abandoned
#: if an entry has found an engine of the chain lost. Streams that are rerouted at once
#: continue within the pause.
LOST_ENGINE_SHARE = 0.4
#: Shortest silence, in seconds, after which a stream may be abandoned.
MIN_SILENCE_SECONDS = 0.1
#: Share of the time within which the first event is due, after which another chain
#: may be tried.
FIRST_EVENT_SHARE = 0.5
#: Silence after which the engines of a stream are probed, as a multiple of their usual
#: time between events. Without it, each pause of a slow chain opens a connection
#: to all of its engines.
PROBED_SILENCE_GAPS = 2.0
#: Seconds after its first event during which an answer counts as just beginning.
START_SECONDS = 0.3
#: Seconds by which a sleep may overrun before this process, and not a stream, is
#: assumed to have stalled.
PROCESS_STALL_SECONDS = 0.05
#: Seconds by which a sleep may end early because times are rounded.
ROUNDING_SECONDS = 1e-6
#: Timeout in seconds for the first engine's report on which stage a stream waits for.
REPORT_TIMEOUT_SECONDS = 0.06
#: Chains whose first engine is probed before a silent run is kept, since each probe
#: of a silent engine takes a part of the pause that the route allows.
MAX_PROBED_CHAINS = 3
#: Factor by which the silence limit grows after each check that changed nothing.
SILENCE_BACKOFF_FACTOR = 1.5


class StreamRun:
    """One run of a stream on a chain.

    Args:
        slot: Chain that the stream has reserved.
        scope: Cancel scope of the run.
        started_at: Monotonic time in seconds at which the run started.
        may_retry: Whether the stream may be sent again to another chain.
        avoid: Ids of engines that the chain must not use.
        record: Attempts of the stream so far.
    """

    def __init__(
        self,
        slot: StreamSlot,
        scope: trio.CancelScope,
        started_at: float,
        may_retry: bool,
        avoid: frozenset[str],
        record: AttemptRecord,
    ) -> None:
        #: Chain that the stream has reserved.
        self.slot = slot
        #: Cancel scope of the run.
        self.scope = scope
        #: Whether the stream may be sent again to another chain.
        self.may_retry = may_retry
        #: Ids of engines that the chain must not use.
        self.avoid = avoid
        #: Attempts of the stream so far.
        self.record = record
        #: Monotonic time in seconds of the last event, or of the start.
        self.last_event_at = started_at
        #: Monotonic time in seconds since which the router waits for the next
        #: event, or None while an event is being sent to the caller.
        self.waiting_since: float | None = started_at
        #: Set when the first event is received.
        self.first_event_seen = trio.Event()
        #: Monotonic time in seconds of the first event.
        self.first_event_at = math.inf
        #: Number of output tokens that the caller has, those of earlier runs included.
        self.sent_tokens = 0
        #: Number of the event from which on the reservation may be raised again.
        self.grows_at = 0
        #: Whether the answer has gone on for START_SECONDS.
        self.is_established = False
        #: Stages whose silence made the stall monitor abandon the run.
        self.suspects: list[PathStage] = []
        #: Whether the stall monitor abandoned the run.
        self.abandoned = False

    @property
    def path(self) -> Path:
        """The chain on which the stream runs now."""
        return self.slot.path

    def is_starting(self, now: float) -> bool:
        """Return whether the answer has not begun, or has only just begun.

        Args:
            now: Current monotonic time in seconds.
        """
        return now - self.first_event_at < START_SECONDS

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run, as far as the received events show."""
        return Verdict.RAN if self.first_event_seen.is_set() else Verdict.MAY_HAVE_RUN


class StallMonitor:
    """Monitors the runs of streams for silence.

    Args:
        finder: Finder of chains.
        slots: Reserved chains and the queue of streams that wait for one.
        progress: Progress and speed of each engine, learned from stream events.
        connections: Connections to the engines.
        reachability: Probes of engines that may be lost.
        relay: Sends requests through other entries while this entry is cut off.
        retries: Retry limit by service.
        journal: Journal of the decisions.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        finder: ChainFinder,
        slots: StreamSlots,
        progress: Progress,
        connections: Connections,
        reachability: ReachabilityProbe,
        relay: EntryRelay,
        retries: RetryLimit,
        journal: Journal,
        clock: Clock,
    ) -> None:
        #: Finder of chains.
        self.finder = finder
        #: Reserved chains and the queue of streams that wait for one.
        self.slots = slots
        #: Progress and speed of each engine, learned from stream events.
        self.progress = progress
        #: Connections to the engines.
        self.connections = connections
        #: Probes of engines that may be lost.
        self.reachability = reachability
        #: Sends requests through other entries while this entry is cut off.
        self.relay = relay
        #: Retry limit by service.
        self.retries = retries
        #: Journal of the decisions.
        self.journal = journal
        #: Clock of all decisions.
        self.clock = clock

    async def run(self, routed: RoutedRequest, run: StreamRun) -> None:
        """Reroute or abandon a silent run if an engine of its chain seems dead.

        If all engines of the chain make progress with other streams, the stream is
        only slow and is left alone: another run would process the prompt again
        and slow the other streams down.
        """
        limit = FIRST_EVENT_SHARE * routed.route.target
        with trio.move_on_after(limit):
            await run.first_event_seen.wait()
        checked, resumed_at = run.waiting_since, float("-inf")
        if run.first_event_seen.is_set():
            limit = silence_limit(routed, LOST_ENGINE_SHARE)
        while True:
            waiting_since = run.waiting_since
            if waiting_since != checked:
                checked, limit = waiting_since, silence_limit(routed, LOST_ENGINE_SHARE)
            now = self.clock.monotonic()
            if (
                waiting_since is not None
                and now >= max(waiting_since, resumed_at) + limit - ROUNDING_SECONDS
            ):
                usual_limit = silence_limit(routed)
                if await self.handle_silence(
                    routed, run, lost_only=limit < usual_limit
                ):
                    return
                limit = (
                    usual_limit
                    if limit < usual_limit
                    else limit * SILENCE_BACKOFF_FACTOR
                )
            start = now if waiting_since is None else max(waiting_since, resumed_at)
            due = start + limit
            await trio.sleep_until(trio_time(self.clock, due))
            if self.clock.monotonic() - due > PROCESS_STALL_SECONDS:
                # This process stalled; received events may still be unread.
                resumed_at = self.clock.monotonic()

    async def handle_silence(
        self, routed: RoutedRequest, run: StreamRun, lost_only: bool
    ) -> bool:
        """Reroute a silent stream around the engine that seems dead, or abandon it.

        Args:
            routed: The request for the stream.
            run: The silent run.
            lost_only: Whether to act only on engines that are known to be lost, since
                the silence is still too short to be a reason by itself.

        Returns:
            Whether the run was abandoned.
        """
        silent_since = run.waiting_since
        lost = self.lost_stages(run) or await self.unreachable_stages(run)
        if run.waiting_since != silent_since or (lost_only and not lost):
            return False
        suspects = lost or self.progress.silent_stages(run.path, run.last_event_at)
        if len(suspects) > 1 and not lost:
            suspects = await self.narrow_suspects(routed, run, suspects)
            if run.waiting_since != silent_since:
                # An event arrived in the meantime.
                return False
        if not suspects:
            return False
        ids = frozenset(stage.endpoint.id for stage in suspects)
        avoid = run.avoid | ids
        known = len(suspects) == 1 or lost
        if known and await self.reroute(routed, run, avoid):
            self.progress.penalize(ids)
            # The new stages have to process the prompt first.
            run.waiting_since = self.clock.monotonic()
            return False
        if (
            await self.has_other_chain(routed, run, avoid)
            and run.waiting_since == silent_since
            and self.retries.reserve(routed.service.name)
        ):
            run.record.retry_pending = True
            run.suspects, run.abandoned = suspects, True
            run.scope.cancel()
        return run.abandoned

    def lost_stages(self, run: StreamRun) -> list[PathStage]:
        """Return the stages of a silent run whose engines are lost.

        An engine is lost if it was removed from the directory or replaced, or if any
        entry reported it lost. An engine through which a stream has made progress
        since the run's last event is not counted as lost.
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
            and not self.progress.progressed_since(stage.endpoint.id, run.last_event_at)
        ]

    async def unreachable_stages(self, run: StreamRun) -> list[PathStage]:
        """Return the stages of a silent run whose engines accept no connection.

        Only engines that are silent for longer than usual are probed.
        """
        silent = self.progress.silent_stages(
            run.path, run.last_event_at, PROBED_SILENCE_GAPS
        )
        unreachable = await self.reachability.find_unreachable(
            [stage.endpoint for stage in silent]
        )
        return [stage for stage in silent if stage.endpoint.id in unreachable]

    async def has_other_chain(
        self, routed: RoutedRequest, run: StreamRun, avoid: frozenset[str]
    ) -> bool:
        """Return whether a stream may be sent to another chain, which can be reached.

        If no other engine accepts a connection, this entry may have lost its links for
        a moment. The silent run then may go on, and another one can only begin through
        another entry.

        Args:
            routed: The request for the stream.
            run: The silent run.
            avoid: Ids of engines that the chain must not use.
        """
        if not run.may_retry:
            return False
        for _ in range(MAX_PROBED_CHAINS):
            path = self.finder.find_usable(routed, avoid)
            if path is None:
                break
            first = path.stages[0].endpoint
            if not await self.reachability.find_unreachable([first]):
                return True
            avoid |= {first.id}
        return routed.request.relayed_by is None and await self.relay.is_available()

    async def narrow_suspects(
        self, routed: RoutedRequest, run: StreamRun, suspects: list[PathStage]
    ) -> list[PathStage]:
        """Ask the first engine of a chain which stage the stream waits for.

        Returns:
            The stage that the engine names, the first stage if the engine gives no
            report, or else all suspects.
        """
        first = run.path.stages[0]
        report = None
        with trio.move_on_after(REPORT_TIMEOUT_SECONDS):
            report = await read_report(
                self.connections,
                first.endpoint.id,
                first.endpoint.registration.address,
            )
        if report is None:
            return [first]
        culprit = report.stalled.get(routed.request.id)
        named = [
            stage
            for stage in run.path.stages
            if stage.endpoint.registration.address == culprit
        ]
        return named or suspects

    async def reroute(
        self, routed: RoutedRequest, run: StreamRun, avoid: frozenset[str]
    ) -> bool:
        """Order the first engine to continue the stream on another chain.

        Returns:
            Whether the engine accepted the order.
        """
        head = run.path.stages[0]
        if not run.first_event_seen.is_set() or head.endpoint.id in avoid:
            return False
        routed = routed._replace(sent_tokens=run.sent_tokens)
        answer = None
        while answer is None:
            path = self.finder.find_usable(routed, avoid, head)
            if path is None:
                return False
            self.finder.charge_bandwidth(routed, path)
            answer = await self.send_reroute(routed, path)
        self.journal.record(
            "path change",
            routed.request.id,
            format_chain(path),
            answer.value,
            before=format_chain(run.path),
            silence=round(self.clock.monotonic() - run.last_event_at, 3),
        )
        if answer is not OrderResult.ACCEPTED:
            return False
        self.slots.move(run.slot, path, self.finder.need(routed))
        return True

    async def send_reroute(
        self, routed: RoutedRequest, path: Path
    ) -> OrderResult | None:
        """Order the first engine of a chain to continue a stream on the chain.

        Returns:
            The answer, or None if one of the other engines left before the order was
            sent.
        """
        first, *others = (stage.endpoint for stage in path.stages)
        check = check_send(routed.request.id, others, self.finder.directory, self.clock)
        try:
            return await reroute_stream(
                self.connections,
                first.id,
                first.registration.address,
                routed.request.id,
                chain_header(stage_addresses(path)),
                check,
            )
        except EndpointLeft:
            return None


def trio_time(clock: Clock, deadline: float) -> float:
    """Convert a monotonic time of a clock to the time of Trio's event loop."""
    return trio.current_time() + deadline - clock.monotonic()


def silence_limit(routed: RoutedRequest, share: float = SILENCE_SHARE) -> float:
    """Return the seconds of silence after which a stream may be abandoned.

    Args:
        routed: The request for the stream.
        share: Share of the longest pause that the route allows between events.
    """
    if routed.route.event_gap_target is None:
        return math.inf
    return max(MIN_SILENCE_SECONDS, share * routed.route.event_gap_target)
