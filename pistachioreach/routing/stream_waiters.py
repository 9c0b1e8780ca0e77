"""Streams that ask for a slot, the slots they get, and the decisions on them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from pistachioreach.routing.engine_load import Reservation
    from pistachioreach.routing.fair_queue import QueuedItem
    from pistachioreach.routing.paths import Path, StreamNeed
    from pistachioreach.verdict import Failure

__all__ = [
    "ADMITTED",
    "HELD_BACK",
    "LEFT",
    "NO_CONTEXT",
    "REFUSED",
    "WAITS",
    "CacheView",
    "QueueDecision",
    "StreamContext",
    "StreamSlot",
    "Waiter",
    "ignore_decision",
]

#: Choices of the queue for a stream.
WAITS = "wait"
HELD_BACK = "hold back"
ADMITTED = "admit"
REFUSED = "refuse"
LEFT = "leave"


class CacheView(NamedTuple):
    """Functions that look up the free KV cache of the engines that a stream may use.

    Attributes:
        find_part: Returns a chain with free cache for a number of tokens, or None.
            Nothing is charged for the chain.
        free_tokens: Returns the free cache of all chains in tokens, as far as it is
            free in parts for streams of a number of tokens.
    """

    find_part: Callable[[int], Path | None]
    free_tokens: Callable[[int], float]


class QueueDecision(NamedTuple):
    """A decision on a stream that did not get a slot at once, and what it rests on.

    Attributes:
        choice: `WAITS`, `HELD_BACK`, `ADMITTED`, `REFUSED` or `LEFT`.
        reason: Short reason.
        tier: Tier of the stream.
        queued: Whether the stream had been waiting before.
        waited: Time in the queue, in seconds.
        ahead: Tokens that wait ahead of the stream in all entries, by tier.
        running_tokens: Tokens of the workspace that run in all entries.
        share: Share of the workspace in tokens, or None if its share is not known.
        report_age: Age of the latest report of another entry in seconds, or None.
    """

    choice: str
    reason: str
    tier: int
    queued: bool
    waited: float
    ahead: dict[int, float]
    running_tokens: float
    share: float | None
    report_age: float | None


def ignore_decision(decision: QueueDecision) -> None:
    """Ignore a decision."""


class StreamContext(NamedTuple):
    """What is known of a stream's request besides its size and priority.

    Attributes:
        api_key: Key that the caller sent, or None.
        group: Equal for streams that can use the same engines. If one of them finds
            no chain, none of those that need as much does.
        cache: Looks up free cache, or None if the stream is neither passed by
            smaller ones nor reserves cache while it waits.
        observe: Called with each decision on the stream.
        started: Whether the answer has begun. Like a running stream, it does not end
            if its key is withdrawn.
    """

    api_key: str | None = None
    group: Hashable = None
    cache: CacheView | None = None
    observe: Callable[[QueueDecision], None] = ignore_decision
    started: bool = False


#: Context of a stream of which nothing else is known.
NO_CONTEXT = StreamContext()


class StreamSlot:
    """The chain that a stream holds until the stream ends.

    Args:
        path: The chain.
        reservation: KV cache that the stream reserves on the engines of the chain.
        started_at: Monotonic time at which the slot was taken.
        workspace: Name of the workspace.
        priority: Priority of the stream.
        tokens: KV cache of the stream, in tokens.
    """

    def __init__(
        self,
        path: Path,
        reservation: Reservation,
        started_at: float,
        workspace: str = "",
        priority: int = 0,
        tokens: int = 0,
    ) -> None:
        #: The chain.
        self.path = path
        #: KV cache that the stream reserves on the engines of the chain.
        self.reservation = reservation
        #: Monotonic time at which the slot was taken.
        self.started_at = started_at
        #: Name of the workspace.
        self.workspace = workspace
        #: Priority of the stream.
        self.priority = priority
        #: KV cache of the stream, in tokens.
        self.tokens = tokens


class Waiter:
    """A stream that asks for a slot.

    Args:
        find: Function that returns a chain with enough free memory, or None.
        need: Prompt and answer size of the stream.
        workspace: Name of the workspace.
        priority: Priority of the stream; 0 is the highest.
        context: What else is known of the request.
        arrived_at: Monotonic time at which the stream arrived.
    """

    def __init__(
        self,
        find: Callable[[], Path | None],
        need: StreamNeed,
        workspace: str,
        priority: int,
        context: StreamContext,
        arrived_at: float,
    ) -> None:
        #: Function that returns a chain with enough free memory, or None.
        self.find = find
        #: Prompt and answer size of the stream.
        self.need = need
        #: Name of the workspace.
        self.workspace = workspace
        #: Priority of the stream; 0 is the highest.
        self.priority = priority
        #: What else is known of the request.
        self.context = context
        #: Monotonic time at which the stream arrived.
        self.arrived_at = arrived_at
        #: Place in the queue, or None if the stream was never in it.
        self.place: QueuedItem[Waiter] | None = None
        #: The slot, or None until one is assigned.
        self.slot: StreamSlot | None = None
        #: Reason why the stream must leave the queue, or None.
        self.failure: Failure | None = None
        #: Event that is set once a slot is assigned or the stream must leave.
        self.decided = trio.Event()
        #: Monotonic time at which the stream was first held back, or None.
        self.held_since: float | None = None
        #: Monotonic time at which the stream first reserved cache, or None.
        self.reserved_since: float | None = None
        #: Cache reserved for the waiting stream, or None.
        self.reserved: Reservation | None = None
        #: Tokens for which cache is reserved.
        self.reserved_tokens = 0
