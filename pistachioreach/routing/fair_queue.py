"""Queue of waiting requests, ordered by tier, virtual finish time and arrival.

The load that this addresses: more requests wait than can run, and some flows send
far more than others. Within a tier, flows are served by weighted fair queueing
(self-clocked: the virtual time is the highest finish time that was served).
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["FairQueue", "QueuedItem"]

Item = TypeVar("Item")

#: Number of flows whose finish times are kept beyond the flows that wait, before
#: those that no longer influence the order are dropped.
MAX_IDLE_FLOWS = 256


class QueuedItem(Generic[Item]):
    """A request's place in the queue.

    Args:
        item: The request.
        flow: Name of the flow, such as the workspace.
        tier: Tier of the request; lower tiers are served first.
        cost: Virtual time that the request takes: its size over its flow's weight.
        finish: Virtual finish time of the request.
        arrival: Number of the request in the order of arrival.
    """

    def __init__(
        self,
        item: Item,
        flow: str,
        tier: int,
        cost: float,
        finish: float,
        arrival: int,
    ) -> None:
        #: The request.
        self.item = item
        #: Name of the flow.
        self.flow = flow
        #: Tier of the request; lower tiers are served first.
        self.tier = tier
        #: Virtual time that the request takes.
        self.cost = cost
        #: Virtual finish time of the request.
        self.finish = finish
        #: Number of the request in the order of arrival.
        self.arrival = arrival

    @property
    def rank(self) -> tuple[int, float, int]:
        """Key by which the queue is ordered."""
        return self.tier, self.finish, self.arrival


class FairQueue(Generic[Item]):
    """Waiting requests of several flows in the order in which they are served."""

    def __init__(self) -> None:
        #: Waiting requests, in the order in which they are served.
        self.queued: list[QueuedItem[Item]] = []
        #: Highest virtual finish time served so far.
        self.virtual_time = 0.0
        #: Virtual finish time of the last queued request of each flow.
        self.finish_times: dict[str, float] = {}
        #: Number of requests queued so far.
        self.arrivals = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queued)

    def __iter__(self) -> Iterator[QueuedItem[Item]]:
        """Iterate over a copy of the waiting requests, in order of service."""
        return iter(list(self.queued))

    def push(
        self, item: Item, flow: str, tier: int, size: float = 1.0, weight: float = 1.0
    ) -> QueuedItem[Item]:
        """Add a request and return its place.

        Args:
            item: The request.
            flow: Name of the flow.
            tier: Tier of the request; lower tiers are served first.
            size: Size of the request, in the same unit for all requests.
            weight: Weight of the flow, relative to the other flows.
        """
        cost = size / weight
        finish = max(self.virtual_time, self.finish_times.get(flow, 0.0)) + cost
        self.finish_times[flow] = finish
        self.arrivals += 1
        place = QueuedItem(item, flow, tier, cost, finish, self.arrivals)
        bisect.insort(self.queued, place, key=lambda other: other.rank)
        if len(self.finish_times) > 2 * len(self.queued) + MAX_IDLE_FLOWS:
            self.drop_idle_flows()
        return place

    def serve(self, place: QueuedItem[Item]) -> None:
        """Remove a request that is served now."""
        self.queued.remove(place)
        self.virtual_time = max(self.virtual_time, place.finish)

    def leave(self, place: QueuedItem[Item], refund: bool = False) -> None:
        """Remove a request that is not served.

        Args:
            place: Place of the request.
            refund: Whether the later requests of the flow move up, so that the flow
                is not charged for a request that got nothing.
        """
        self.queued.remove(place)
        if not refund:
            return
        for other in self.queued:
            if other.flow == place.flow and other.arrival > place.arrival:
                other.finish -= place.cost
        if place.flow in self.finish_times:
            self.finish_times[place.flow] -= place.cost
        self.sort()

    def retier(self, tier_of: Callable[[Item], int]) -> None:
        """Set the tier of each request anew and restore the order."""
        changed = False
        for place in self.queued:
            tier = tier_of(place.item)
            changed |= tier != place.tier
            place.tier = tier
        if changed:
            self.sort()

    def sort(self) -> None:
        """Restore the order after ranks have changed."""
        self.queued.sort(key=lambda place: place.rank)

    def drop_idle_flows(self) -> None:
        """Drop the finish times that are not above the virtual time."""
        self.finish_times = {
            flow: finish
            for flow, finish in self.finish_times.items()
            if finish > self.virtual_time
        }
