"""Shares of the pipe that carries activations between failure domains.

Answers the loss of a range's holders, after which many chains have to leave
their failure domain at once: the pipe carries one transfer after another, so
that a prompt put into it by one entry delays the streams of all. Each entry
uses its part of the rate only, and a stream that finds none free takes a chain
inside one domain, waits, or is refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.routing.paths import StreamNeed
    from pistachioreach.routing.routes import EngineModel

__all__ = ["LinkShare", "transfer_mbit"]

#: Share of the pipe's rate that the entries use together; the rest is for
#: answers that are longer than estimated.
USED_SHARE = 0.8
#: Seconds for which an entry that has waited its turn may begin a transfer. A
#: turn that is not used lapses: if all entries kept theirs, the first streams
#: after a quiet time would fill the pipe for seconds.
TURN_SECONDS = 0.3


class LinkShare:
    """One entry's part of the pipe between failure domains.

    The entries take turns without a word to each other: each may begin one
    transfer in the time that the pipe needs for one transfer of every entry, at
    a moment of that period drawn at random.

    Args:
        entries: Returns the number of live entries.
        clock: Clock of the turns.
        random: Source of the moments.
    """

    def __init__(
        self, entries: Callable[[], int], clock: Clock, random: Random
    ) -> None:
        #: Returns the number of live entries.
        self.entries = entries
        #: Clock of the turns.
        self.clock = clock
        #: Source of the moments.
        self.random = random
        #: Monotonic time at which the next turn begins.
        self.turn = float("-inf")

    def may_transfer(self, model: EngineModel, need: StreamNeed) -> bool:
        """Whether a stream may leave a failure domain now."""
        if not model.link_mbps:
            return True
        now = self.clock.monotonic()
        if now > self.turn + TURN_SECONDS:
            period = self.period(model, need)
            passed = self.random.uniform(0.0, period)
            # Either in the turn of this period, or waiting for the next one.
            begun = passed <= TURN_SECONDS
            self.turn = now - passed if begun else now + period - passed
        return now >= self.turn

    def record_transfers(
        self, model: EngineModel, need: StreamNeed, crossings: int
    ) -> None:
        """Count a stream that leaves a failure domain some times."""
        if model.link_mbps and crossings:
            start = max(self.turn, self.clock.monotonic() - TURN_SECONDS)
            self.turn = start + crossings * self.period(model, need)

    def period(self, model: EngineModel, need: StreamNeed) -> float:
        """Return the seconds in which every entry may begin one transfer."""
        rate = USED_SHARE * model.link_mbps / self.entries()
        return transfer_mbit(model, need) / rate


def transfer_mbit(model: EngineModel, need: StreamNeed) -> float:
    """Return what a stream puts into the pipe at each step between domains."""
    return need.tokens * model.activation_bytes * 8 / 1e6
