"""Verdicts on requests: whether a request may have run, and why it failed.

The router returns a failure as a value and does not raise it as an exception. A
failure pairs a `Verdict` with a `Reason`. Reasons are module-level sentinels that
are compared by identity.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = [
    "BAD_REQUEST",
    "CALLER_GONE",
    "CUT_OFF",
    "DEADLINE_INVALID",
    "DEADLINE_PASSED",
    "DRAINING",
    "ENDPOINT_FAILED",
    "KEY_EXPIRED",
    "KEY_IN_PROGRESS",
    "KEY_REUSED",
    "KEY_REQUIRED",
    "NOT_FOUND",
    "NO_CHAIN",
    "NO_ENDPOINT",
    "NO_MANIFEST",
    "OUTCOME_UNKNOWN",
    "OUT_OF_TOUCH",
    "QUARANTINED",
    "QUEUE_FULL",
    "RELAY_REFUSED",
    "REQUEST_BLOCKED",
    "RETRIES_EXHAUSTED",
    "STORE_DOWN",
    "STREAM_LOST",
    "TOO_LARGE",
    "UNAUTHORIZED",
    "WORKSPACE_LIMIT",
    "Failure",
    "Reason",
    "Verdict",
]


class Verdict(enum.Enum):
    """Whether a request may have run."""

    #: No endpoint ran any part of the request, and none will.
    NOT_RUN = "not-run"
    #: An endpoint may have run the request, or may still run it.
    MAY_HAVE_RUN = "may-have-run"
    #: An endpoint ran the request or a part of it.
    RAN = "ran"


class Reason(NamedTuple):
    """Why a request was refused or failed.

    Attributes:
        code: Stable name; the last part of the problem document's `type` URI.
        status: Status code of the HTTP response.
        title: Description for the caller, one sentence.
        may_retry: Whether the caller may send the same request again.
    """

    code: str
    status: int
    title: str
    may_retry: bool


BAD_REQUEST = Reason("bad-request", 400, "The request is malformed.", False)
DEADLINE_INVALID = Reason(
    "deadline-invalid", 400, "The deadline is not a positive duration.", False
)
KEY_REQUIRED = Reason("key-required", 400, "This call needs an Idempotency-Key.", False)
UNAUTHORIZED = Reason(
    "unauthorized", 401, "The workspace or its credential is not known.", False
)
NOT_FOUND = Reason("not-found", 404, "Nothing of this name is configured.", False)
TOO_LARGE = Reason("too-large", 413, "The body is larger than allowed.", False)
KEY_REUSED = Reason(
    "key-reused", 422, "The key was used before with another body.", False
)
KEY_EXPIRED = Reason(
    "key-expired", 422, "The key is older than the repeat window.", False
)
KEY_IN_PROGRESS = Reason(
    "key-in-progress", 409, "A call with this key is in progress.", True
)
WORKSPACE_LIMIT = Reason("workspace-limit", 429, "The workspace is at its limit.", True)
QUEUE_FULL = Reason("queue-full", 503, "Too many requests are waiting.", True)
DRAINING = Reason("draining", 503, "This entry is shutting down.", True)
NO_MANIFEST = Reason("no-manifest", 503, "This entry has no configuration yet.", True)
OUT_OF_TOUCH = Reason(
    "out-of-touch",
    503,
    "This entry cannot prove that its configuration is current.",
    True,
)
NO_CHAIN = Reason(
    "no-chain", 503, "No usable endpoints cover all layers of the model.", True
)
NO_ENDPOINT = Reason("no-endpoint", 503, "No endpoint of the service is usable.", True)
CUT_OFF = Reason("cut-off", 503, "This entry reaches no endpoint.", True)
RELAY_REFUSED = Reason(
    "relay-refused", 421, "This entry, too, reaches no endpoint.", True
)
STORE_DOWN = Reason(
    "store-down", 503, "The table service cannot record the call.", True
)
QUARANTINED = Reason(
    "quarantined", 422, "Endpoints failed while they ran this request.", False
)
REQUEST_BLOCKED = Reason(
    "request-blocked", 503, "The request crashes the endpoints.", True
)
PROMPT_BLOCKED = Reason(
    "prompt-blocked", 503, "A part of the prompt crashes the endpoints.", True
)
ENDPOINT_FAILED = Reason(
    "endpoint-failed", 502, "The endpoint failed during the request.", True
)
RETRIES_EXHAUSTED = Reason(
    "retries-exhausted", 502, "Each allowed attempt failed.", True
)
STREAM_LOST = Reason(
    "stream-lost", 409, "The stream cannot be resumed from this position.", False
)
OUTCOME_UNKNOWN = Reason(
    "outcome-unknown", 504, "It is not known whether the call ran.", False
)
DEADLINE_PASSED = Reason("deadline-passed", 504, "The deadline has passed.", True)
CALLER_GONE = Reason("caller-gone", 499, "The caller closed the connection.", True)


class Failure(NamedTuple):
    """Outcome of a request that was refused or failed.

    Attributes:
        verdict: Whether the request may have run.
        reason: One of the `Reason` sentinels of this module.
        detail: What was observed, with the name of the object concerned.
        retry_after: Seconds after which the caller should retry, or None.
        suspected: Whether the failure rests on crashes that are not certain, so that
            the request may soon be sent.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after: float | None = None
    suspected: bool = False
