"""Generation of one answer: runs attempts until the answer is complete."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.attempt import Aborted, Attempt, Completed, run_attempt
from pistachioreach.routing.chains import Chain, format_chain
from pistachioreach.routing.suspects import fingerprint_of
from pistachioreach.routing.verify import TokenVerifier
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    NO_CHAIN,
    QUARANTINED,
    RETRIES_EXHAUSTED,
    STREAM_LOST,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pistachioreach.dispatch.cursor import Cursor, CursorWriter
    from pistachioreach.endpoints.wire import TokenEvent
    from pistachioreach.entry import Entry
    from pistachioreach.verdict import Reason

    Deliver = Callable[[list[TokenEvent], CursorWriter], Awaitable[None]]

__all__ = ["Finished", "Generation", "GenerationRequest"]

#: Seconds between searches for a chain for a request that must run alone.
ALONE_POLL_SECONDS = 0.05


class GenerationRequest(NamedTuple):
    """A request for an answer of a model.

    Attributes:
        request_id: Identifier of the request, unique over all entries.
        workspace: Workspace that sent the request.
        model: Name of the model.
        prompt: The prompt.
        max_tokens: Length of the answer, in tokens.
        priority: Priority, 0 the highest.
        deadline: Monotonic time in seconds after which the answer is of no use.
        digest: Digest of the request body.
        received: Texts of the tokens that the caller already has.
        cursor: Cursor of the stream of an earlier connection, or None.
    """

    request_id: str
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    deadline: float
    digest: str
    received: tuple[str, ...] = ()
    cursor: Cursor | None = None


class Finished(NamedTuple):
    """Result of a request whose answer was delivered completely.

    Attributes:
        count: Number of tokens in the complete answer.
        attempts: Number of attempts that this entry made.
    """

    count: int
    attempts: int


class Generation:
    """State of one request while it runs.

    Args:
        entry: Entry that runs the request.
        request: The request.
        deliver: Sends verified tokens to the caller.
    """

    def __init__(
        self, entry: Entry, request: GenerationRequest, deliver: Deliver
    ) -> None:
        #: Entry that runs the request.
        self.entry = entry
        #: The request.
        self.request = request
        #: Sends verified tokens to the caller.
        self.deliver = deliver
        #: Fingerprint by which endpoint deaths are counted against the request.
        self.fingerprint = fingerprint_of(
            request.workspace, request.model, request.prompt
        )
        #: Texts of the tokens verified so far, including those that the caller had.
        self.tokens = list(request.received)
        layers = entry.fleet.layers.get(request.model, 0)
        position = request.cursor.position if request.cursor else 0
        #: Verifies the events of the engines.
        self.verifier = TokenVerifier(request.request_id, layers, position)
        #: Names of endpoints that failed this request.
        self.avoid: set[str] = set()
        #: Names of the endpoints of the last attempt's chain.
        self.last_chain: tuple[str, ...] = ()
        #: Names of the streams of earlier attempts, whose cache engines may reuse.
        self.previous_streams: list[str] = []
        #: Whether any part of the request may have run.
        self.verdict = Verdict.NOT_RUN

    async def run(self) -> Finished | Failure:
        """Run attempts until the answer is complete, with the request's deadline."""
        clock = self.entry.clock
        with trio.move_on_after(self.request.deadline - clock.monotonic()):
            return await self.run_attempts()
        return self.fail(DEADLINE_PASSED, "the answer was not whole in time")

    async def run_attempts(self) -> Finished | Failure:
        """Run attempts until one completes the answer or no attempt is left."""
        retries = self.entry.configuration.manifest["retries"]
        budget = self.entry.retry_budgets.for_workspace(self.request.workspace)
        budget.earn()
        resumed = await self.resume()
        if isinstance(resumed, Finished):
            return resumed
        if len(self.tokens) < self.verifier.position:
            detail = "the tokens before the cursor were not sent along as 'received'"
            return self.fail(STREAM_LOST, detail)
        number = self.request.cursor.attempt if self.request.cursor else 0
        aborted: Aborted | None = resumed
        for count in range(1, retries["max_attempts"] + 1):
            if count > 1 and not budget.spend():
                return self.fail(RETRIES_EXHAUSTED, "the retry budget is spent")
            chain = await self.choose_chain()
            if isinstance(chain, Failure):
                return chain
            number += 1
            outcome = await self.attempt(number, chain, aborted)
            if isinstance(outcome, Completed):
                self.entry.suspects.clear(self.fingerprint)
                return Finished(self.verifier.position, count)
            aborted = outcome
        return self.fail(RETRIES_EXHAUSTED, aborted.detail if aborted else "")

    async def resume(self) -> Finished | Aborted | None:
        """Reattach the stream of an earlier connection, if its endpoints still exist.

        Returns:
            The result of the reattached attempt, or None if the request has no cursor.
        """
        cursor = self.request.cursor
        if cursor is None:
            return None
        stages = self.entry.cursor_stages(cursor)
        self.last_chain = cursor.chain
        self.previous_streams.append(cursor.stream)
        self.verdict = Verdict.RAN
        if not stages:
            return Aborted(None, False, True, False, "its endpoints are gone")
        attempt = Attempt(cursor.attempt, cursor.stream, stages)
        self.record("resume", format_chain(stages), f"cursor at {cursor.position}")
        outcome = await self.run_counted(attempt, attached=True)
        if isinstance(outcome, Completed):
            return Finished(self.verifier.position, 0)
        return outcome

    async def choose_chain(self) -> Chain | Failure:
        """Choose a chain for the next attempt.

        A request against which endpoint deaths are counted is a suspect. A suspect
        waits for endpoints that run no other suspect.
        """
        limit = self.entry.configuration.manifest["retries"]["endpoint_deaths"]
        while True:
            deaths = self.entry.suspects.death_count(self.fingerprint)
            if deaths >= limit:
                detail = f"{deaths} endpoints died while they ran it"
                return self.fail(QUARANTINED, detail)
            chain = self.entry.planner.plan(
                self.request.model,
                self.entry.clock.monotonic(),
                prefer=self.reusable_endpoints(deaths),
                avoid=frozenset(self.avoid),
                isolate=deaths > 0,
            )
            if chain is not None:
                return chain
            if not deaths:
                return self.plan_with_avoided()
            await trio.sleep(ALONE_POLL_SECONDS)

    def reusable_endpoints(self, deaths: int) -> frozenset[str]:
        """Return the endpoints of the last chain whose cache of this request is reused.

        If endpoint deaths are counted against the request, it reuses only endpoints on
        which this entry runs nothing else.
        """
        reusable = frozenset(self.last_chain) - self.avoid
        if not deaths:
            return reusable
        states = self.entry.fleet.states
        return frozenset(
            name for name in reusable if name in states and not states[name].in_flight
        )

    def plan_with_avoided(self) -> Chain | Failure:
        """Plan a chain that may use endpoints that failed this request, or fail."""
        if self.avoid:
            self.avoid.clear()
            now = self.entry.clock.monotonic()
            chain = self.entry.planner.plan(self.request.model, now)
            if chain is not None:
                return chain
        detail = f"layers of '{self.request.model}' are on no usable endpoint"
        return self.fail(NO_CHAIN, detail, 1.0)

    async def attempt(
        self, number: int, chain: Chain, aborted: Aborted | None
    ) -> Completed | Aborted:
        """Run one attempt on a chain."""
        name = f"{self.request.request_id}.{number}.{self.entry.new_id()}"
        attempt = Attempt(number, name, chain.stages)
        reason = aborted.detail if aborted else "first attempt"
        self.record(
            "chain",
            format_chain(chain.stages),
            reason,
            attempt=number,
            cost=round(chain.cost, 4),
            candidates=chain.candidates,
        )
        outcome = await self.run_counted(attempt, attached=False)
        self.previous_streams.append(name)
        return outcome

    async def run_counted(
        self, attempt: Attempt, attached: bool
    ) -> Completed | Aborted:
        """Run an attempt and count it as in flight on its endpoints meanwhile."""
        names = [stage.endpoint for stage in attempt.stages]
        states = [self.entry.fleet.states[name] for name in names]
        suspect = self.entry.suspects.death_count(self.fingerprint) > 0
        for state in states:
            state.in_flight += 1
            state.suspect_requests += suspect
        self.entry.death_tracker.request_started(self.fingerprint, names)
        ended = False
        try:
            outcome = await run_attempt(self, attempt, attached)
            ended = isinstance(outcome, Completed)
            if isinstance(outcome, Aborted):
                self.note_aborted(outcome, names)
            else:
                for state in states:
                    state.succeeded()
            return outcome
        finally:
            self.entry.death_tracker.request_stopped(self.fingerprint, names)
            for state in states:
                state.in_flight -= 1
                state.suspect_requests -= suspect
            self.last_chain = tuple(names)
            if not ended:
                self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at each stage of its chain, in the background.

        An unreachable stage must delay neither the next attempt nor the caller.
        """
        for stage in attempt.stages:
            self.entry.start_in_background(
                self.entry.cancel_stream, stage, attempt.stream
            )

    def note_aborted(self, aborted: Aborted, names: list[str]) -> None:
        """Update the verdict and the endpoints to avoid after an aborted attempt."""
        if aborted.may_have_run and self.verdict is Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN
        if aborted.culprit is None:
            self.avoid.update(names)
            return
        self.avoid.add(aborted.culprit)
        self.entry.handle_aborted_attempt(
            aborted.culprit, self.request.request_id, aborted
        )

    def record(self, kind: str, choice: str, reason: str, **details: object) -> None:
        """Write a decision on this request to the journal."""
        self.entry.journal.record(
            kind, self.request.request_id, choice, reason, **details
        )

    def fail(
        self, reason: Reason, detail: str, retry_after: float | None = None
    ) -> Failure:
        """Return the failure of this request, with the current verdict."""
        return Failure(self.verdict, reason, detail, retry_after)
