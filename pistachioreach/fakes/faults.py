"""Faults that can be injected into a fake engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from pistachioreach.endpoints.wire import Event

__all__ = ["STREAM_CORRUPTIONS", "EngineFaults"]

#: Names of the ways in which a fake engine can corrupt a batch of token events:
#: `duplicate` repeats the first event, `late` adds an event of the previous attempt,
#: `crossed` adds an event of another request, `gap` skips a position, and `overlap`
#: repeats the last layer range in the trace of the first event.
STREAM_CORRUPTIONS = ("duplicate", "late", "crossed", "gap", "overlap")


class EngineFaults:
    """Faults that are currently set on one engine."""

    def __init__(self) -> None:
        #: Whether the engine reports that it is leaving, and refuses new streams.
        self.leaving = False
        #: Whether the engine refuses new streams before running them.
        self.refusing = False
        #: Whether the engine produces no tokens but still responds to requests.
        self.stalled = False
        #: Factor on the time per token; models a slow engine or a slow link.
        self.slow_factor = 1.0
        #: Corruption of the streams, one of `STREAM_CORRUPTIONS`, or None.
        self.corruption: str | None = None
        #: Set, then replaced, to silence the connections that are open at that time.
        self.connections_silenced = trio.Event()

    def silence_connections(self) -> None:
        """Send nothing more on the connections now open, without closing them.

        Connections that are opened later work.
        """
        self.connections_silenced.set()
        self.connections_silenced = trio.Event()

    def corrupt(self, batch: list[Event]) -> list[Event]:
        """Return a batch of events with the current corruption applied."""
        if self.corruption is None or "position" not in batch[0]:
            return batch
        first = batch[0]
        if self.corruption == "duplicate":
            return [first, *batch]
        if self.corruption == "late":
            return [dict(first, attempt=first["attempt"] - 1), *batch]
        if self.corruption == "crossed":
            return [dict(first, request="another", text="wrong"), *batch]
        if self.corruption == "gap":
            return [dict(first, position=first["position"] + 1)]
        return [dict(first, trace=[*first["trace"], first["trace"][-1]])]
