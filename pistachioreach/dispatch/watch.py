"""The watch over streams: ends the wait for one that has been silent too long."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["TICK_SECONDS", "Watchdog", "WatchedStream"]

#: Seconds between looks; setting a deadline anew for each token instead took
#: 7% of the entry's processor time.
TICK_SECONDS = 0.01


class WatchedStream:
    """One stream under watch."""

    def __init__(self) -> None:
        #: Cancelled when the stream has been silent too long.
        self.scope = trio.CancelScope()
        #: Trio's time at which the silence is too long; infinity while the
        #: entry itself is busy with the stream.
        self.due = float("inf")


class Watchdog:
    """All streams under watch at one entry."""

    def __init__(self) -> None:
        #: The streams.
        self.streams: set[WatchedStream] = set()
        #: Set when there are streams to watch.
        self.some = trio.Event()

    @contextmanager
    def over(self, watched: WatchedStream) -> Iterator[None]:
        """Watch a stream for as long as the context lasts."""
        self.streams.add(watched)
        self.some.set()
        try:
            yield
        finally:
            self.streams.discard(watched)

    async def run(self) -> None:
        """Look at all streams again and again, for ever."""
        while True:
            if not self.streams:
                self.some = trio.Event()
                await self.some.wait()
            await trio.sleep(TICK_SECONDS)
            now = trio.current_time()
            for watched in self.streams:
                if watched.due <= now:
                    watched.scope.cancel()
