"""Limits that end a stream, as the journal names them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from pistachioreach.verdict import (
    CUT_OFF,
    DEADLINE_PASSED,
    NO_CHAIN,
    NO_ENDPOINT,
    QUEUE_FULL,
    RELAY_REFUSED,
)

if TYPE_CHECKING:
    from pistachioreach.verdict import Failure

__all__ = ["Ending", "Limit", "is_temporary", "limit_of"]

#: Reasons for which no attempt can be made now, but perhaps soon.
TEMPORARY_REASONS = (NO_CHAIN, NO_ENDPOINT, CUT_OFF, QUEUE_FULL)


class Limit(enum.Enum):
    """Limit that ended the attempts of a stream."""

    #: The stream has run on as many engines as its route allows.
    ATTEMPTS = "attempts of the route"
    #: The retry limit of the service allows no further attempt.
    RETRIES = "retry limit"
    #: Too many attempts ran nowhere.
    UNRUN = "attempts that ran nowhere"
    #: The queue, or the search for a chain, has no place.
    QUEUE = "queue"
    #: Neither endpoints nor entries that reach them can be reached.
    CUT_OFF = "cut off"
    #: The request, or a part of its prompt, crashes engines.
    BLOCKED = "blocked"
    #: The deadline of the request has passed.
    DEADLINE = "deadline"
    #: The stream may run once, and may have run.
    RUNS_ONCE = "runs once"


class Ending(NamedTuple):
    """End of a stream that gets no further attempt.

    Attributes:
        limit: Limit that allows no further attempt.
        failure: Why the last attempt failed, or why none was made.
    """

    limit: Limit
    failure: Failure


#: Limits by the reason of a request that was not sent; for other reasons, the request
#: is blocked.
LIMITS = {
    DEADLINE_PASSED: Limit.DEADLINE,
    QUEUE_FULL: Limit.QUEUE,
    NO_CHAIN: Limit.QUEUE,
    NO_ENDPOINT: Limit.QUEUE,
    CUT_OFF: Limit.CUT_OFF,
    RELAY_REFUSED: Limit.CUT_OFF,
}


def limit_of(failure: Failure) -> Limit:
    """Return the limit by which a request was not sent."""
    return LIMITS.get(failure.reason, Limit.BLOCKED)


def is_temporary(failure: Failure) -> bool:
    """Return whether an answer that has begun waits after a request was not sent.

    An answer that is blocked because of crashes ends, and so does one that another
    entry sent: that entry finds another way.
    """
    return failure.reason in TEMPORARY_REASONS
