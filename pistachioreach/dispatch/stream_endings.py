"""Limits that end a stream after a failed attempt, and waits before the next one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.stream_limits import Ending, Limit
from pistachioreach.dispatch.stream_record import RESUME_CHECK_SECONDS
from pistachioreach.dispatch.work import refused
from pistachioreach.routing.routes import RetryPolicy
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    NO_CHAIN,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.stream_record import AttemptRecord
    from pistachioreach.dispatch.work import FailedAttempt, Reply, RoutedRequest
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.routing.retries import RetryLimit

__all__ = ["MAX_UNRUN_ATTEMPTS", "StreamEndings"]

#: Attempts that may end before the first event (did not run) without ending the stream,
#: or, once its answer has begun, without a pause before the next attempt.
MAX_UNRUN_ATTEMPTS = 2
#: Unsent attempts (no engine reached) that are not charged to the retry limit.
MAX_UNREACHED_ATTEMPTS = 6
#: Shortest pause, in seconds, before an answer that has begun is tried again: times are
#: rounded, and the deadline must have passed afterwards.
MIN_PAUSE_SECONDS = 0.001
#: Time, in seconds, in which an address at which nothing listens refuses a connection.
#: A silent engine must not hold up the next attempt for longer.
REFUSAL_SECONDS = 0.1


class StreamEndings:
    """Decides after each failed attempt whether and when a stream is tried again.

    Args:
        directory: Directory of the registered endpoints.
        connections: Connections to the engines.
        retries: Retry limit by service.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        directory: Directory,
        connections: Connections,
        retries: RetryLimit,
        clock: Clock,
    ) -> None:
        #: Directory of the registered endpoints.
        self.directory = directory
        #: Connections to the engines.
        self.connections = connections
        #: Retry limit by service.
        self.retries = retries
        #: Clock of all decisions.
        self.clock = clock

    async def allowed_starts(
        self, routed: RoutedRequest, record: AttemptRecord
    ) -> frozenset[str] | None:
        """Return the ids of the engines with which a chain may begin, or None for any.

        An answer that has begun and has run on as many engines as its route allows can
        only be resumed on these. Engines that have ended meanwhile do not count.
        """
        if record.engine_count < routed.route.max_attempts:
            return None
        directory = self.directory
        for engine in record.unregistered(directory):
            if await self.has_ended(engine):
                record.forget_ended(engine)
        if record.engine_count < routed.route.max_attempts:
            return None
        return record.registered(directory)

    async def has_ended(self, engine: Endpoint) -> bool:
        """Return whether an engine has ended or restarted, or refuses connections."""
        known = self.directory.endpoints.get(engine.id, engine)
        listening = True
        with trio.move_on_after(REFUSAL_SECONDS):
            address = engine.registration.address
            listening = await self.connections.is_listening(address)
        return known.run_id != engine.run_id or not listening

    async def await_ending(
        self,
        routed: RoutedRequest,
        reply: Reply,
        failed: FailedAttempt,
        record: AttemptRecord,
    ) -> Ending | None:
        """Return the end of a stream after an attempt, or None to try again.

        An answer that has begun waits until the retry limit allows another attempt, and
        for a moment after several attempts that ran nowhere.
        """
        if failed.unreached and record.unreached <= MAX_UNREACHED_ATTEMPTS:
            return None
        if reply.started and (
            failed.unreached
            or (failed.verdict is not Verdict.RAN and record.unrun > MAX_UNRUN_ATTEMPTS)
        ):
            await self.pause(routed, record.pause_seconds())
        if reply.started and failed.unreached:
            return None
        starts = None
        if reply.started:
            starts = await self.allowed_starts(routed, record)
        if starts:
            await self.pause(routed, record.pause_seconds())
        while True:
            ending = self.find_ending(routed, reply.started, starts, failed, record)
            waits = reply.started and ending is not None
            if not waits or ending.limit is not Limit.RETRIES:
                return ending
            await self.pause(routed)

    async def await_chance(self, routed: RoutedRequest, record: AttemptRecord) -> None:
        """Wait before an answer that has begun looks for a chain again.

        Meanwhile, its pending retry is left to requests that find a chain.
        """
        is_charged = record.retry_pending
        self.cancel_retry(routed, record)
        await self.pause(routed)
        while is_charged and self.clock.monotonic() < routed.deadline:
            if self.retries.reserve(routed.service.name):
                record.retry_pending = True
                return
            await self.pause(routed)

    async def pause(
        self, routed: RoutedRequest, seconds: float = RESUME_CHECK_SECONDS
    ) -> None:
        """Wait before an answer that has begun is tried again, until its deadline."""
        seconds_left = routed.deadline - self.clock.monotonic()
        await trio.sleep(min(seconds, max(seconds_left, MIN_PAUSE_SECONDS)))

    def find_ending(
        self,
        routed: RoutedRequest,
        started: bool,
        starts: frozenset[str] | None,
        failed: FailedAttempt,
        record: AttemptRecord,
    ) -> Ending | None:
        """Return the end of a stream after an attempt, or None to try again.

        Args:
            routed: The request for the stream.
            started: Whether the answer has begun. Then refusals do not end it.
            starts: Ids of the engines with which the next chain may begin, or None for
                any, once the answer has begun.
            failed: The last attempt.
            record: All attempts so far.
        """
        now = self.clock.monotonic()
        failure = Failure(failed.verdict, ENDPOINT_FAILED, failed.detail)
        if now >= routed.deadline:
            return Ending(Limit.DEADLINE, failure._replace(reason=DEADLINE_PASSED))
        if failed.verdict is not Verdict.NOT_RUN and (
            routed.route.retry_policy is not RetryPolicy.RESUME
        ):
            return Ending(Limit.RUNS_ONCE, failure)
        # An error for which no engine is at fault would be the same on the engines that
        # are left.
        is_final = failed.fallback is not None and failed.culprit is None
        no_engine = starts is not None and (not starts or is_final)
        if no_engine or (not started and record.runs >= routed.route.max_attempts):
            return Ending(Limit.ATTEMPTS, failure)
        if not record.runs and failed.verdict is Verdict.NOT_RUN:
            wait = min(1.0, (routed.deadline - now) / 3)
            failure = refused(NO_CHAIN, failed.detail, wait)
        if record.unrun > MAX_UNRUN_ATTEMPTS and not started:
            return Ending(Limit.UNRUN, failure)
        if record.retry_pending:
            return None
        if not self.retries.reserve(routed.service.name):
            return Ending(Limit.RETRIES, failure)
        record.retry_pending = True
        return None

    def confirm_retry(self, routed: RoutedRequest, record: AttemptRecord) -> bool:
        """Charge an attempt that is about to be sent to the retry limit.

        Returns:
            Whether it was charged.
        """
        charged = record.retry_pending
        if charged:
            self.retries.confirm(routed.service.name)
            record.retry_pending = False
        return charged

    def withdraw_retry(self, routed: RoutedRequest, record: AttemptRecord) -> None:
        """Charge an attempt that reached no engine when it is made again."""
        # The stall monitor may have charged the next attempt just then.
        self.cancel_retry(routed, record)
        self.retries.withdraw(routed.service.name)
        record.retry_pending = True

    def cancel_retry(self, routed: RoutedRequest, record: AttemptRecord) -> None:
        """Do not charge an attempt that will not be made."""
        if record.retry_pending:
            self.retries.cancel(routed.service.name)
            record.retry_pending = False
