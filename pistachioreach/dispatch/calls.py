"""Calls to plain services; those that may not be repeated run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.ledger import Claim, Outcome, RowState, Sighting
from pistachioreach.endpoints.connections import Answer
from pistachioreach.endpoints.service import ServiceCall, says_not_run
from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    KEY_IN_PROGRESS,
    KEY_REUSED,
    NO_ENDPOINT,
    OUT_OF_TOUCH,
    OUTCOME_UNKNOWN,
    STORE_DOWN,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.dispatch.ledger import CallRow, Holding
    from pistachioreach.entry import Entry
    from pistachioreach.manifest import CallDocument
    from pistachioreach.routing.fleet import EndpointState

__all__ = ["CallRequest", "run_call"]

#: Seconds that recording an outcome may take before the caller is answered.
RECORD_SECONDS = 1.0
#: Seconds between looks at the row of a call that another entry holds.
LOOK_SECONDS = 0.1
#: Seconds between questions to the service about such a call.
LOOK_UP_EVERY_SECONDS = 1.0
#: Seconds that asking a service for an outcome may take.
LOOK_UP_SECONDS = 1.0


class CallRequest(NamedTuple):
    """A call to a plain service.

    Attributes:
        request: Identifier of the request.
        workspace: Workspace that sent it.
        service: Name of the service.
        call: The call, as the manifest declares it.
        key: Its idempotency key, or the empty string.
        digest: Digest of the call's name and body.
        body: Its body.
        deadline: Monotonic time after which the answer is of no use.
    """

    request: str
    workspace: str
    service: str
    call: CallDocument
    key: str
    digest: str
    body: bytes
    deadline: float


async def run_call(entry: Entry, request: CallRequest) -> Answer | Failure:
    """Make a call and return the service's answer, or why there is none.

    Args:
        entry: The entry that makes it.
        request: The call; its key has been checked.
    """
    if request.call["repeatable"]:
        return await run_repeatable(entry, request)
    return await run_once(entry, request)


async def run_repeatable(entry: Entry, request: CallRequest) -> Answer | Failure:
    """Make a call that may run again, on one server after the other."""
    budget = entry.retry_budgets.for_workspace(request.workspace)
    budget.earn()
    tried: set[str] = set()
    verdict = Verdict.NOT_RUN
    detail = f"service '{request.service}' has no usable server"
    while True:
        server = choose_server(entry, request, tried)
        if server is None or (tried and not budget.spend()):
            reason = ENDPOINT_FAILED if tried else NO_ENDPOINT
            return Failure(verdict, reason, detail, 1.0)
        tried.add(server.endpoint.name)
        outcome = await dispatch(entry, request, server)
        if isinstance(outcome, Answer):
            return outcome
        detail = outcome.detail
        if outcome.verdict is not Verdict.NOT_RUN:
            verdict = Verdict.MAY_HAVE_RUN


async def run_once(entry: Entry, request: CallRequest) -> Answer | Failure:
    """Make a call that may not run again, if this entry can claim it."""
    claim = Claim(request.workspace, request.key, request.digest, entry.new_id())
    seconds = request.deadline - entry.clock.monotonic()
    sighting = Sighting()
    with trio.move_on_after(seconds) as scope:
        holding = await entry.ledger.claim(claim, sighting)
    if scope.cancelled_caught:
        # This claim's nonce is dropped here, so nobody dispatches under it;
        # but an earlier send of the key may have run, unless none has a row.
        entry.settle_in_background(claim, RowState.ABANDONED, None)
        verdict = Verdict.NOT_RUN if sighting.absent else Verdict.MAY_HAVE_RUN
        detail = "the call could not be recorded before the deadline"
        return Failure(verdict, STORE_DOWN, detail, 1.0)
    if not holding.mine:
        return await follow(entry, request, claim, holding)
    return await run_claimed(entry, request, claim, holding)


async def run_claimed(
    entry: Entry, request: CallRequest, claim: Claim, holding: Holding
) -> Answer | Failure:
    """Dispatch a call whose row this entry holds.

    Another server is tried only while no byte of the call has left.
    """
    tried: set[str] = set()
    detail = f"service '{request.service}' has no usable server"
    while entry.clock.monotonic() < request.deadline:
        server = choose_server(entry, request, tried)
        if server is None:
            break
        tried.add(server.endpoint.name)
        outcome = await dispatch(entry, request, server)
        if isinstance(outcome, Answer):
            kept = Outcome(
                status=outcome.status, body=outcome.body.decode("utf-8", "replace")
            )
            await record(entry, claim, holding, RowState.DONE, kept)
            return outcome
        detail = outcome.detail
        if outcome.verdict is not Verdict.NOT_RUN:
            return await settle_unknown(entry, request, claim, holding, detail)
    await record(entry, claim, holding, RowState.ABANDONED, None)
    reason = NO_ENDPOINT
    if entry.clock.monotonic() >= request.deadline:
        reason = DEADLINE_PASSED
    return Failure(Verdict.NOT_RUN, reason, detail, 1.0)


async def record(
    entry: Entry,
    claim: Claim,
    holding: Holding,
    state: RowState,
    outcome: Outcome | None,
) -> None:
    """Record a state; what the table service does not take in time follows later."""
    with trio.move_on_after(RECORD_SECONDS) as scope:
        await entry.ledger.settle_held(claim, holding, state, outcome)
    if scope.cancelled_caught:
        entry.settle_in_background(claim, state, outcome)


async def settle_unknown(
    entry: Entry, request: CallRequest, claim: Claim, holding: Holding, detail: str
) -> Answer | Failure:
    """Find out what became of a call whose answer did not come."""
    found = await look_up(entry, request)
    if found is not None:
        kept = Outcome(status=found.status, body=found.body.decode("utf-8", "replace"))
        await record(entry, claim, holding, RowState.DONE, kept)
        return found
    await record(entry, claim, holding, RowState.UNKNOWN, None)
    return Failure(Verdict.MAY_HAVE_RUN, OUTCOME_UNKNOWN, detail)


async def follow(
    entry: Entry, request: CallRequest, claim: Claim, holding: Holding
) -> Answer | Failure:
    """Answer a call whose row another claim holds; never dispatches it."""
    row: CallRow | None = holding.row
    if row["digest"] != request.digest:
        detail = f"key '{request.key}' belongs to a call with another body"
        return Failure(Verdict.NOT_RUN, KEY_REUSED, detail)
    looked_up_at = entry.clock.monotonic()
    while row is not None and row["state"] == RowState.STARTED:
        now = entry.clock.monotonic()
        if now + LOOK_SECONDS >= request.deadline:
            break
        await trio.sleep(LOOK_SECONDS)
        if now - looked_up_at >= LOOK_UP_EVERY_SECONDS:
            # The holder may have died after the call left.
            looked_up_at = now
            found = await look_up(entry, request)
            if found is not None:
                return found
        try:
            row = await entry.ledger.look(claim)
        except StoreUnavailable:
            continue
    if row is not None and row["state"] == RowState.DONE:
        return replay(row["outcome"])
    if row is not None and row["state"] == RowState.ABANDONED:
        return await run_once(entry, request)
    found = await look_up(entry, request)
    if found is not None:
        return found
    if row is not None and row["state"] == RowState.STARTED:
        detail = f"entry '{row['entry']}' holds key '{request.key}'"
        return Failure(Verdict.MAY_HAVE_RUN, KEY_IN_PROGRESS, detail, 1.0)
    detail = f"what became of key '{request.key}' is not known"
    return Failure(Verdict.MAY_HAVE_RUN, OUTCOME_UNKNOWN, detail)


def replay(outcome: Outcome) -> Answer:
    """Return the recorded answer of a call."""
    headers = {"content-type": "application/json", "idempotent-replay": "true"}
    return Answer(outcome["status"], headers, outcome["body"].encode())


def choose_server(
    entry: Entry, request: CallRequest, tried: set[str]
) -> EndpointState | None:
    """Choose the usable server with the fewest requests, nearest first."""
    now = entry.clock.monotonic()
    servers = [
        state
        for state in entry.fleet.services.get(request.service, [])
        if state.endpoint.name not in tried and state.usable(now)
    ]
    if not servers:
        entry.journal.record("server", request.request, "none", "no usable server")
        return None

    def rank(state: EndpointState) -> tuple[int, bool, float]:
        far = state.endpoint.failure_domain != entry.failure_domain
        return state.in_flight, far, entry.random.random()

    chosen = min(servers, key=rank)
    weighed = {state.endpoint.name: state.in_flight for state in servers}
    entry.journal.record(
        "server",
        request.request,
        chosen.endpoint.name,
        "fewest requests in flight",
        candidates=weighed,
    )
    return chosen


async def dispatch(
    entry: Entry, request: CallRequest, server: EndpointState
) -> Answer | Failure:
    """Send a call to one server.

    The deadline is checked against a clock that advances during suspension,
    just before the call leaves: a holder that was paused sends nothing late.
    """
    now = entry.clock.monotonic()
    if now >= request.deadline:
        detail = "the deadline passed before the call left"
        return Failure(Verdict.NOT_RUN, DEADLINE_PASSED, detail)
    if not entry.may_admit():
        detail = f"entry '{entry.name}' lost touch before the call left"
        return Failure(Verdict.NOT_RUN, OUT_OF_TOUCH, detail)
    endpoint = server.endpoint
    call = ServiceCall(
        endpoint.name,
        endpoint.address,
        request.call["path"],
        service_key(request),
        request.body,
    )
    limit = min(request.call["timeout_ms"] / 1000, request.deadline - now)
    server.in_flight += 1
    try:
        with trio.fail_after(limit):
            answer = await entry.services.call(call)
    except trio.TooSlowError:
        detail = f"'{endpoint.name}' gave no answer within {limit:.1f} s"
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)
    except ConnectionFailed as error:
        entry.eject(endpoint.name, request.request, str(error))
        verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
        return Failure(verdict, ENDPOINT_FAILED, str(error))
    finally:
        server.in_flight -= 1
    if says_not_run(answer):
        detail = f"'{endpoint.name}' refused the call before running it"
        return Failure(Verdict.NOT_RUN, ENDPOINT_FAILED, detail)
    server.succeeded()
    if answer.status >= 500:
        detail = f"'{endpoint.name}' answered with status {answer.status}"
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)
    return answer


def service_key(request: CallRequest) -> str:
    """Return the key as services see it, apart for each workspace."""
    return f"{request.workspace}.{request.key}" if request.key else ""


async def look_up(entry: Entry, request: CallRequest) -> Answer | None:
    """Ask the servers of a service for the outcome of a key."""
    path = request.call["lookup"]
    if path is None:
        return None
    with trio.move_on_after(LOOK_UP_SECONDS):
        for state in entry.fleet.services.get(request.service, []):
            endpoint = state.endpoint
            key = service_key(request)
            call = ServiceCall(endpoint.name, endpoint.address, path, key, b"")
            try:
                return await entry.services.look_up(call)
            except ConnectionFailed:
                continue
    return None
