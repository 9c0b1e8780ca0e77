"""Calls to plain services; an unrepeatable call runs at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.ledger import CallState, Claim, ClaimProgress, Outcome
from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.endpoints.service import ServiceCall, confirms_not_run
from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.routing.suspects import call_fingerprint
from pistachioreach.verdict import (
    DEADLINE_PASSED,
    ENDPOINT_FAILED,
    KEY_IN_PROGRESS,
    KEY_REUSED,
    NO_ENDPOINT,
    OUT_OF_TOUCH,
    OUTCOME_UNKNOWN,
    QUARANTINED,
    STORE_DOWN,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.dispatch.ledger import CallRow, ClaimResult
    from pistachioreach.entry import Entry
    from pistachioreach.manifest import CallDocument
    from pistachioreach.routing.fleet import EndpointState

__all__ = ["CallRequest", "run_call"]

#: Timeout in seconds for recording a state before the caller gets its answer.
RECORD_TIMEOUT_SECONDS = 1.0
#: Seconds between reads of the row of a call that another claim holds.
POLL_INTERVAL_SECONDS = 0.1
#: Seconds between requests to the service for the outcome of such a call.
LOOK_UP_INTERVAL_SECONDS = 1.0
#: Timeout in seconds for a request to a service for an outcome.
LOOK_UP_TIMEOUT_SECONDS = 1.0


#: Detail of the failure of a call that is not sent.
BLOCKED_DETAIL = "servers died while they ran the same call"


class CallRequest(NamedTuple):
    """A call to a plain service.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace that sent the call.
        service: Name of the service.
        call: Declaration of the call in the manifest.
        key: Idempotency key of the call, or the empty string.
        digest: Digest of the call's name and body.
        body: Body of the call.
        deadline: Monotonic time in seconds after which the answer is of no use.
    """

    request_id: str
    workspace: str
    service: str
    call: CallDocument
    key: str
    digest: str
    body: bytes
    deadline: float


async def run_call(entry: Entry, request: CallRequest) -> HttpResponse | Failure:
    """Make a call and return the service's answer, or the failure.

    Args:
        entry: Entry that makes the call.
        request: The call. Its idempotency key has been checked.
    """
    if request.call["repeatable"]:
        return await run_repeatable(entry, request)
    return await run_unrepeatable(entry, request)


async def run_repeatable(entry: Entry, request: CallRequest) -> HttpResponse | Failure:
    """Make a repeatable call, on one server after the other within the retry budget."""
    budget = entry.retry_budgets.for_workspace(request.workspace)
    budget.earn()
    tried: set[str] = set()
    verdict = Verdict.NOT_RUN
    detail = f"service '{request.service}' has no usable server"
    while True:
        if is_blocked(entry, request):
            return Failure(verdict, QUARANTINED, BLOCKED_DETAIL)
        server = choose_server(entry, request, tried)
        if server is None or (tried and not budget.spend()):
            reason = ENDPOINT_FAILED if tried else NO_ENDPOINT
            return Failure(verdict, reason, detail, 1.0)
        tried.add(server.endpoint.name)
        outcome = await send_call(entry, request, server)
        if isinstance(outcome, HttpResponse):
            return outcome
        detail = outcome.detail
        if outcome.verdict is not Verdict.NOT_RUN:
            verdict = Verdict.MAY_HAVE_RUN


async def run_unrepeatable(
    entry: Entry, request: CallRequest
) -> HttpResponse | Failure:
    """Make an unrepeatable call if this entry can claim its key."""
    claim = Claim(request.workspace, request.key, request.digest, entry.new_id())
    seconds = request.deadline - entry.clock.monotonic()
    progress = ClaimProgress()
    with trio.move_on_after(seconds) as scope:
        claim_result = await entry.ledger.claim(claim, progress)
    if scope.cancelled_caught:
        # The nonce of this claim is never used, so no call is dispatched for it.
        # But an earlier request with the same key may have run, unless the claim
        # found that the key has no row.
        entry.record_state_in_background(claim, CallState.ABANDONED, None)
        verdict = Verdict.NOT_RUN if progress.row_absent else Verdict.MAY_HAVE_RUN
        detail = "the call could not be recorded before the deadline"
        return Failure(verdict, STORE_DOWN, detail, 1.0)
    if not claim_result.acquired:
        return await await_outcome(entry, request, claim, claim_result)
    return await run_claimed(entry, request, claim, claim_result)


async def run_claimed(
    entry: Entry, request: CallRequest, claim: Claim, claim_result: ClaimResult
) -> HttpResponse | Failure:
    """Dispatch a call whose row this entry holds.

    Another server is tried only if the call did not run: no byte of it was sent, or
    the server refused the call before running it.
    """
    tried: set[str] = set()
    detail = f"service '{request.service}' has no usable server"
    blocked = False
    while entry.clock.monotonic() < request.deadline:
        blocked = is_blocked(entry, request)
        if blocked:
            break
        server = choose_server(entry, request, tried)
        if server is None:
            break
        tried.add(server.endpoint.name)
        outcome = await send_call(entry, request, server)
        if isinstance(outcome, HttpResponse):
            recorded = Outcome(
                status=outcome.status, body=outcome.body.decode("utf-8", "replace")
            )
            await record_state(entry, claim, claim_result, CallState.DONE, recorded)
            return outcome
        detail = outcome.detail
        if outcome.verdict is not Verdict.NOT_RUN:
            return await resolve_unknown(entry, request, claim, claim_result, detail)
    await record_state(entry, claim, claim_result, CallState.ABANDONED, None)
    if blocked:
        return Failure(Verdict.NOT_RUN, QUARANTINED, BLOCKED_DETAIL)
    reason = NO_ENDPOINT
    if entry.clock.monotonic() >= request.deadline:
        reason = DEADLINE_PASSED
    return Failure(Verdict.NOT_RUN, reason, detail, 1.0)


async def record_state(
    entry: Entry,
    claim: Claim,
    claim_result: ClaimResult,
    state: CallState,
    outcome: Outcome | None,
) -> None:
    """Record the state of a call; after a timeout, go on in the background."""
    with trio.move_on_after(RECORD_TIMEOUT_SECONDS) as scope:
        await entry.ledger.record_state_without_read(
            claim, claim_result, state, outcome
        )
    if scope.cancelled_caught:
        entry.record_state_in_background(claim, state, outcome)


async def resolve_unknown(
    entry: Entry,
    request: CallRequest,
    claim: Claim,
    claim_result: ClaimResult,
    detail: str,
) -> HttpResponse | Failure:
    """Look up the outcome of a call that got no answer, and record its state."""
    found = await look_up(entry, request)
    if found is not None:
        recorded = Outcome(
            status=found.status, body=found.body.decode("utf-8", "replace")
        )
        await record_state(entry, claim, claim_result, CallState.DONE, recorded)
        return found
    await record_state(entry, claim, claim_result, CallState.UNKNOWN, None)
    return Failure(Verdict.MAY_HAVE_RUN, OUTCOME_UNKNOWN, detail)


async def await_outcome(
    entry: Entry, request: CallRequest, claim: Claim, claim_result: ClaimResult
) -> HttpResponse | Failure:
    """Answer a call whose row another claim holds, once its outcome is known.

    This request dispatches the call itself only if the other claim was abandoned.
    """
    row: CallRow | None = claim_result.row
    if row["digest"] != request.digest:
        detail = f"key '{request.key}' belongs to a call with another body"
        return Failure(Verdict.NOT_RUN, KEY_REUSED, detail)
    looked_up_at = entry.clock.monotonic()
    while row is not None and row["state"] == CallState.STARTED:
        now = entry.clock.monotonic()
        if now + POLL_INTERVAL_SECONDS >= request.deadline:
            break
        await trio.sleep(POLL_INTERVAL_SECONDS)
        if now - looked_up_at >= LOOK_UP_INTERVAL_SECONDS:
            # The claim holder may have died after it sent the call.
            looked_up_at = now
            found = await look_up(entry, request)
            if found is not None:
                return found
        try:
            row = await entry.ledger.read_row(claim)
        except StoreUnavailable:
            continue
    if row is not None and row["state"] == CallState.DONE:
        return replayed_answer(row["outcome"])
    if row is not None and row["state"] == CallState.ABANDONED:
        return await run_unrepeatable(entry, request)
    found = await look_up(entry, request)
    if found is not None:
        return found
    if row is not None and row["state"] == CallState.STARTED:
        detail = f"entry '{row['entry']}' holds key '{request.key}'"
        return Failure(Verdict.MAY_HAVE_RUN, KEY_IN_PROGRESS, detail, 1.0)
    detail = f"what became of key '{request.key}' is not known"
    return Failure(Verdict.MAY_HAVE_RUN, OUTCOME_UNKNOWN, detail)


def replayed_answer(outcome: Outcome) -> HttpResponse:
    """Return the recorded answer of a call, marked as a replay."""
    headers = {"content-type": "application/json", "idempotent-replay": "true"}
    return HttpResponse(outcome["status"], headers, outcome["body"].encode())


def choose_server(
    entry: Entry, request: CallRequest, tried: set[str]
) -> EndpointState | None:
    """Choose a usable server with the fewest requests of this entry in flight.

    Among equals, servers in the entry's failure domain come first, in random order.
    """
    now = entry.clock.monotonic()
    servers = [
        state
        for state in entry.fleet.services.get(request.service, [])
        if state.endpoint.name not in tried and state.usable(now)
    ]
    if not servers:
        entry.journal.record("server", request.request_id, "none", "no usable server")
        return None

    def sort_key(state: EndpointState) -> tuple[int, bool, float]:
        in_other_domain = state.endpoint.failure_domain != entry.failure_domain
        return state.in_flight, in_other_domain, entry.random.random()

    chosen = min(servers, key=sort_key)
    in_flight = {state.endpoint.name: state.in_flight for state in servers}
    entry.journal.record(
        "server",
        request.request_id,
        chosen.endpoint.name,
        "fewest requests in flight",
        candidates=in_flight,
    )
    return chosen


async def send_call(
    entry: Entry, request: CallRequest, server: EndpointState
) -> HttpResponse | Failure:
    """Send a call to one server.

    The deadline is checked just before the call is sent, on a clock that advances
    while the VM is suspended, so that an entry that was paused sends no call late.
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
    timeout = min(request.call["timeout_ms"] / 1000, request.deadline - now)
    server.in_flight += 1
    fingerprint = deadly_fingerprint(request)
    entry.death_tracker.request_started(fingerprint, [endpoint.name])
    try:
        with trio.fail_after(timeout):
            answer = await entry.services.call(call)
    except trio.TooSlowError:
        detail = f"'{endpoint.name}' gave no answer within {timeout:.1f} s"
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)
    except ConnectionFailed as error:
        if error.sent and not await entry.services.is_listening(call):
            entry.record_death(endpoint.name)
        entry.eject(endpoint.name, request.request_id, str(error))
        verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
        return Failure(verdict, ENDPOINT_FAILED, str(error))
    finally:
        server.in_flight -= 1
        entry.death_tracker.request_stopped(fingerprint, [endpoint.name])
    if confirms_not_run(answer):
        detail = f"'{endpoint.name}' refused the call before running it"
        return Failure(Verdict.NOT_RUN, ENDPOINT_FAILED, detail)
    server.succeeded()
    entry.suspects.clear(fingerprint)
    if answer.status >= 500:
        detail = f"'{endpoint.name}' answered with status {answer.status}"
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)
    return answer


def deadly_fingerprint(request: CallRequest) -> str:
    """Return the fingerprint under which servers' deaths count against a call."""
    return call_fingerprint(f"{request.workspace}/{request.digest}")


def is_blocked(entry: Entry, request: CallRequest) -> bool:
    """Return whether a call is not sent, since servers died while they ran it."""
    limit = entry.configuration.manifest["retries"]["endpoint_deaths"]
    return entry.suspects.death_count(deadly_fingerprint(request)) >= limit


def service_key(request: CallRequest) -> str:
    """Return the key that is sent to services, qualified by the workspace."""
    return f"{request.workspace}.{request.key}" if request.key else ""


async def look_up(entry: Entry, request: CallRequest) -> HttpResponse | None:
    """Ask the servers of a service, one after the other, for the outcome of a key.

    Returns:
        The answer, or None if the service has no look-up, no server responded in
        time, or the first server that responded has no outcome.
    """
    path = request.call["lookup"]
    if path is None:
        return None
    with trio.move_on_after(LOOK_UP_TIMEOUT_SECONDS):
        for state in entry.fleet.services.get(request.service, []):
            endpoint = state.endpoint
            key = service_key(request)
            call = ServiceCall(endpoint.name, endpoint.address, path, key, b"")
            try:
                return await entry.services.look_up(call)
            except ConnectionFailed:
                continue
    return None
