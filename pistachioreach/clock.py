"""Clocks, passed in wherever time is read."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio

__all__ = ["Clock", "SystemClock", "TrioClock"]


class Clock(Protocol):
    """The two readings of time that the router needs."""

    def now(self) -> datetime:
        """Return the wall time in UTC, for deadlines that other VMs read."""

    def monotonic(self) -> float:
        """Return seconds since a fixed start; advances during suspension."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since boot, time in suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock:
    """The clock of the running trio loop, virtual under trio's mock clock.

    Args:
        start: The wall time at which trio's own clock reads zero.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        #: The wall time at which trio's own clock reads zero.
        self.start = start

    def now(self) -> datetime:
        """Return the start plus the loop's time."""
        return self.start + timedelta(seconds=trio.current_time())

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return trio.current_time()
