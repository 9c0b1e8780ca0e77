"""Faults of the stand-in engine, each one a knob."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from pistachioreach.endpoints.wire import Event

__all__ = ["STREAM_CORRUPTIONS", "EngineFaults"]

#: Ways in which the events of a stream can be distorted.
STREAM_CORRUPTIONS = ("duplicate", "late", "crossed", "gap", "overlap")


class EngineFaults:
    """The faults that are set on one engine."""

    def __init__(self) -> None:
        #: Whether it takes no new streams, as an engine that is leaving.
        self.leaving = False
        #: Whether it refuses new streams before running them.
        self.refusing = False
        #: Whether it produces nothing while it still answers.
        self.stalled = False
        #: Factor on the time of each token, for a slow link or a slow engine.
        self.slow_factor = 1.0
        #: One of `STREAM_CORRUPTIONS`, or None.
        self.corruption: str | None = None
        #: Set to silence the connections that are open now.
        self.connections_silenced = trio.Event()

    def silence_connections(self) -> None:
        """Stop the bytes on all open connections; new ones work."""
        self.connections_silenced.set()
        self.connections_silenced = trio.Event()

    def corrupt(self, batch: list[Event]) -> list[Event]:
        """Return a batch of events with the corruption applied."""
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
