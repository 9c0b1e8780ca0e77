"""Bandwidth share of each entry on the link between failure domains.

The link carries activations between stages in different failure domains, one
transfer after another. When all engines that hold a range of layers are lost in a
domain, many chains have to leave the domain at once, and a prompt that one entry
sends over the link then delays the streams of all entries. Each entry therefore
uses only its own share of the bandwidth, which follows what it wants to send. A stream
that finds no bandwidth free takes a chain inside one domain, waits, or is refused.

The shares of all entries that know of each other add up to at most 1, also while
reports are old: let u be the time `LINK_REPORT_SECONDS` ago. What an entry counts as
its own is at most what it wanted at u, as it is the lowest value since. What it counts
for each entry in the total is at least what that one wanted at u, as entries report the
highest value of the same time, unless a report is older than that. Entries in k groups
that do not reach each other use at most k times the bandwidth, once the reports from
before the split have expired, as each group counts only its own members.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.routing.demand import LinkDemand

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.routing.paths import StreamNeed
    from pistachioreach.routing.routes import EngineModel

__all__ = ["LinkShare", "link_share", "transfer_mbit"]

#: Share of the link's bandwidth that all entries use together. The rest is left for
#: answers that are longer than estimated.
USED_SHARE = 0.8
#: Time, in seconds, that an entry has to begin a transfer once its turn has begun.
#: After that, the turn lapses: if every entry kept an unused turn, the first streams
#: after an idle period would saturate the link for seconds.
TURN_SECONDS = 0.3
#: Part of the bandwidth that is divided equally, so that an entry whose streams begin
#: to need the link gets at least this part of an equal share at once.
EQUAL_PART = 0.25


class LinkShare:
    """One entry's share of the bandwidth between failure domains.

    The entries take turns without coordination. In each period, which is the time
    that this entry's share of the link needs for one transfer, it may begin one. When
    its turn has lapsed, the offset of the next one in the period is drawn at random.

    Args:
        entries: Function that returns the number of live entries.
        clock: Clock by which turns are timed.
        random: Random number generator for the offset of a turn.
        demand: Function that returns what the entries want to send, given the monotonic
            time. Without it, all have equal shares.
    """

    def __init__(
        self,
        entries: Callable[[], int],
        clock: Clock,
        random: Random,
        demand: Callable[[float], LinkDemand] = lambda _: LinkDemand(0.0, 0.0),
    ) -> None:
        #: Function that returns the number of live entries.
        self.entries = entries
        #: Clock by which turns are timed.
        self.clock = clock
        #: Random number generator for the offset of a turn.
        self.random = random
        #: Function that returns what the entries want to send.
        self.demand = demand
        #: Monotonic time at which this entry's current or next turn begins.
        self.turn_at = float("-inf")

    def may_transfer(self, model: EngineModel, need: StreamNeed) -> bool:
        """Return whether a stream may take a chain over several domains now.

        Draws a new turn if the last one has lapsed.
        """
        return not self.expected_wait(model, need)

    def expected_wait(
        self, model: EngineModel, need: StreamNeed, ahead: float = 0.0
    ) -> float:
        """Return the seconds until this entry may transfer for a stream.

        Draws a new turn if the last one has lapsed.

        Args:
            model: Model that the stream runs on.
            need: Prompt and answer size of the stream.
            ahead: Data that this entry will send for other streams before, in Mbit.
        """
        if not model.link_mbps:
            return 0.0
        now = self.clock.monotonic()
        if now > self.turn_at + TURN_SECONDS:
            period = self.period(model, need)
            elapsed = self.random.uniform(0.0, period)
            # Either the turn of this period has just begun, or the entry waits for
            # the turn of the next period.
            begun = elapsed <= TURN_SECONDS
            self.turn_at = now - elapsed if begun else now + period - elapsed
        wait = max(0.0, self.turn_at - now)
        return wait + ahead / self.rate(model) if ahead else wait

    def record_transfers(
        self, model: EngineModel, need: StreamNeed, crossings: int
    ) -> None:
        """Count the transfers of a stream and postpone the next turn.

        Args:
            model: Model that the stream runs on.
            need: Prompt and answer size of the stream.
            crossings: Number of steps between failure domains in the chain.
        """
        if model.link_mbps and crossings:
            start = max(self.turn_at, self.clock.monotonic() - TURN_SECONDS)
            self.turn_at = start + crossings * self.period(model, need)

    def period(self, model: EngineModel, need: StreamNeed) -> float:
        """Return the time that this entry's share needs for a transfer, in seconds."""
        return transfer_mbit(model, need) / self.rate(model)

    def rate(self, model: EngineModel) -> float:
        """Return this entry's share of the bandwidth, in Mbit/s."""
        bandwidth = USED_SHARE * model.link_mbps
        demand = self.demand(self.clock.monotonic())
        return bandwidth * link_share(self.entries(), demand, bandwidth)


def link_share(entries: int, demand: LinkDemand, bandwidth: float) -> float:
    """Return an entry's share of the bandwidth that all entries use.

    Args:
        entries: Number of live entries.
        demand: What this entry and all entries want to send.
        bandwidth: Bandwidth that all entries use together, in Mbit/s.
    """
    if entries == 1:
        # Also an entry that knows of no other yet.
        return 1.0
    part = demand.own / max(demand.total, bandwidth)
    unwanted = max(0.0, 1 - demand.total / bandwidth)
    equal = EQUAL_PART + (1 - EQUAL_PART) * unwanted
    return equal / entries + (1 - EQUAL_PART) * part


def transfer_mbit(model: EngineModel, need: StreamNeed) -> float:
    """Return the data that a stream sends in each step between domains, in Mbit."""
    return need.tokens * model.activation_bytes * 8 / 1e6
