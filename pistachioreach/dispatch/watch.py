"""Watchdog that cancels the read of a stream when its timeout expires."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["CHECK_INTERVAL_SECONDS", "Watchdog", "WatchedStream"]

#: Seconds between checks of all timeouts. A cancel scope deadline that is reset for
#: each token took 7% of the entry's processor time.
CHECK_INTERVAL_SECONDS = 0.01


class WatchedStream:
    """Timeout of one stream that is being read."""

    def __init__(self) -> None:
        #: Cancelled when the timeout expires.
        self.scope = trio.CancelScope()
        #: Time of Trio's clock in seconds at which the timeout expires; infinity
        #: while the entry processes or delivers received events.
        self.timeout_at = float("inf")


class Watchdog:
    """Timeouts of all streams that one entry reads."""

    def __init__(self) -> None:
        #: Streams whose timeouts are checked.
        self.streams: set[WatchedStream] = set()
        #: Set when a stream is added; wakes `run` from its wait for streams.
        self.stream_added = trio.Event()

    @contextmanager
    def watching(self, watched: WatchedStream) -> Iterator[None]:
        """Check a stream's timeout until the context is left."""
        self.streams.add(watched)
        self.stream_added.set()
        try:
            yield
        finally:
            self.streams.discard(watched)

    async def run(self) -> None:
        """Check the timeouts of all streams periodically, until cancelled."""
        while True:
            if not self.streams:
                self.stream_added = trio.Event()
                await self.stream_added.wait()
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            for watched in self.streams:
                if watched.timeout_at <= now:
                    watched.scope.cancel()
