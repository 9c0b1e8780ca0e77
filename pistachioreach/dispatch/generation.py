"""Generation: one request through its attempts, to a whole answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.attempt import Attempt, Ended, Lost, run_attempt
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

#: Seconds between tries to find a chain for a request that must run alone.
ALONE_RETRY_SECONDS = 0.05


class GenerationRequest(NamedTuple):
    """A request for an answer of the model.

    Attributes:
        request: Identifier of the request, unique over all entries.
        workspace: Workspace that sent it.
        model: Name of the model.
        prompt: The prompt.
        max_tokens: Length of the answer.
        priority: Priority, 0 the highest.
        deadline: Monotonic time after which the answer is of no use.
        digest: Digest of the body.
        received: Tokens that the caller already has.
        cursor: Where an earlier connection's stream stood, or None.
    """

    request: str
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
    """A request whose answer was delivered whole.

    Attributes:
        count: Tokens of the whole answer.
        attempts: Attempts that it took on this entry.
    """

    count: int
    attempts: int


class Generation:
    """One request while it runs.

    Args:
        entry: The entry that runs it.
        request: The request.
        deliver: Passes verified tokens on to the caller.
    """

    def __init__(self, entry: Entry, request: GenerationRequest, deliver: Deliver) -> None:
        #: The entry that runs it.
        self.entry = entry
        #: The request.
        self.request = request
        #: Passes verified tokens on to the caller.
        self.deliver = deliver
        #: Fingerprint by which deaths count against it.
        self.fingerprint = fingerprint_of(request.workspace, request.model, request.prompt)
        #: Tokens verified so far, those that the caller already had included.
        self.tokens = list(request.received)
        layers = entry.fleet.layers.get(request.model, 0)
        position = request.cursor.position if request.cursor else 0
        #: Checks what the engines send.
        self.verifier = TokenVerifier(request.request, layers, position)
        #: Endpoints that failed this request.
        self.avoid: set[str] = set()
        #: Chain of the last attempt.
        self.last_chain: tuple[str, ...] = ()
        #: Names of the streams of earlier attempts.
        self.streams: list[str] = []
        #: Whether any part may have run.
        self.verdict = Verdict.NOT_RUN

    async def run(self) -> Finished | Failure:
        """Run attempts until the answer is whole or no attempt is left."""
        clock = self.entry.clock
        with trio.move_on_after(self.request.deadline - clock.monotonic()):
            return await self.run_attempts()
        return self.fail(DEADLINE_PASSED, "the answer was not whole in time")

    async def run_attempts(self) -> Finished | Failure:
        """Run one attempt after the other."""
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
        lost: Lost | None = resumed
        for count in range(1, retries["max_attempts"] + 1):
            if count > 1 and not budget.spend():
                return self.fail(RETRIES_EXHAUSTED, "the retry budget is spent")
            chain = await self.plan()
            if isinstance(chain, Failure):
                return chain
            number += 1
            outcome = await self.attempt(number, chain, lost)
            if isinstance(outcome, Ended):
                self.entry.suspicion.clear(self.fingerprint)
                return Finished(self.verifier.position, count)
            lost = outcome
        return self.fail(RETRIES_EXHAUSTED, lost.detail if lost else "")

    async def resume(self) -> Finished | Lost | None:
        """Read on the stream of an earlier connection, if it is still there."""
        cursor = self.request.cursor
        if cursor is None:
            return None
        stages = self.entry.cursor_stages(cursor)
        self.last_chain = cursor.chain
        self.streams.append(cursor.stream)
        self.verdict = Verdict.RAN
        if not stages:
            return Lost(None, False, True, False, "its endpoints are gone")
        attempt = Attempt(cursor.attempt, cursor.stream, stages)
        self.record("resume", format_chain(stages), f"cursor at {cursor.position}")
        outcome = await self.hold(attempt, attached=True)
        if isinstance(outcome, Ended):
            return Finished(self.verifier.position, 0)
        return outcome

    async def plan(self) -> Chain | Failure:
        """Choose a chain; a suspect waits for endpoints without other suspects."""
        limit = self.entry.configuration.manifest["retries"]["endpoint_deaths"]
        while True:
            deaths = self.entry.suspicion.death_count(self.fingerprint)
            if deaths >= limit:
                detail = f"{deaths} endpoints died while they ran it"
                return self.fail(QUARANTINED, detail)
            chain = self.entry.planner.plan(
                self.request.model,
                self.entry.clock.monotonic(),
                prefer=self.worth_keeping(deaths),
                avoid=frozenset(self.avoid),
                isolate=deaths > 0,
            )
            if chain is not None:
                return chain
            if not deaths:
                return self.no_chain()
            await trio.sleep(ALONE_RETRY_SECONDS)

    def worth_keeping(self, deaths: int) -> frozenset[str]:
        """Return the endpoints whose cache of this request is worth using.

        A suspect goes back only to endpoints on which nothing else runs.
        """
        kept = frozenset(self.last_chain) - self.avoid
        if not deaths:
            return kept
        states = self.entry.fleet.states
        return frozenset(name for name in kept if name in states and not states[name].in_flight)

    def no_chain(self) -> Chain | Failure:
        """Fall back on endpoints that failed this request, or give up."""
        if self.avoid:
            self.avoid.clear()
            now = self.entry.clock.monotonic()
            chain = self.entry.planner.plan(self.request.model, now)
            if chain is not None:
                return chain
        detail = f"layers of '{self.request.model}' are on no usable endpoint"
        return self.fail(NO_CHAIN, detail, 1.0)

    async def attempt(self, number: int, chain: Chain, lost: Lost | None) -> Ended | Lost:
        """Run one attempt on a chain."""
        name = f"{self.request.request}.{number}.{self.entry.new_id()}"
        attempt = Attempt(number, name, chain.stages)
        reason = lost.detail if lost else "first attempt"
        self.record(
            "chain",
            format_chain(chain.stages),
            reason,
            attempt=number,
            cost=round(chain.cost, 4),
            candidates=chain.candidates,
        )
        outcome = await self.hold(attempt, attached=False)
        self.streams.append(name)
        return outcome

    async def hold(self, attempt: Attempt, attached: bool) -> Ended | Lost:
        """Run an attempt while its endpoints count it as in flight."""
        names = [stage.endpoint for stage in attempt.stages]
        states = [self.entry.fleet.states[name] for name in names]
        suspect = self.entry.suspicion.death_count(self.fingerprint) > 0
        for state in states:
            state.in_flight += 1
            state.suspect_requests += suspect
        self.entry.deaths.started(self.fingerprint, names)
        ended = False
        try:
            outcome = await run_attempt(self, attempt, attached)
            ended = isinstance(outcome, Ended)
            if isinstance(outcome, Lost):
                self.note_loss(outcome, names)
            else:
                for state in states:
                    state.succeeded()
            return outcome
        finally:
            self.entry.deaths.stopped(self.fingerprint, names)
            for state in states:
                state.in_flight -= 1
                state.suspect_requests -= suspect
            self.last_chain = tuple(names)
            if not ended:
                self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at each stage of its chain, in the background.

        A stage that cannot be reached must hold up neither the next attempt nor
        the caller.
        """
        for stage in attempt.stages:
            self.entry.start_in_background(self.entry.cancel_stream, stage, attempt.stream)

    def note_loss(self, lost: Lost, names: list[str]) -> None:
        """Remember what a lost attempt says about its chain's endpoints."""
        if lost.ran and self.verdict is Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN
        if lost.blame is None:
            self.avoid.update(names)
            return
        self.avoid.add(lost.blame)
        self.entry.handle_lost_attempt(lost.blame, self.request.request, lost)

    def record(self, kind: str, choice: str, reason: str, **details: object) -> None:
        """Write a decision on this request."""
        self.entry.journal.record(kind, self.request.request, choice, reason, **details)

    def fail(self, reason: Reason, detail: str, retry_after: float | None = None) -> Failure:
        """Return the failure of this request, with a true verdict."""
        return Failure(self.verdict, reason, detail, retry_after)
