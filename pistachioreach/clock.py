"""Clocks, injected wherever the current time is read."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio

__all__ = ["Clock", "SystemClock", "TrioClock"]


class Clock(Protocol):
    """Source of the wall time and the monotonic time."""

    def now(self) -> datetime:
        """Return the wall time in UTC, used for deadlines that other VMs read."""

    def monotonic(self) -> float:
        """Return seconds since a fixed start, including time in suspension."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrioClock:
    """Clock of the running trio loop; virtual under trio's mock clock.

    Args:
        start: Wall time at which the trio clock reads zero.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        #: Wall time at which the trio clock reads zero.
        self.start = start

    def now(self) -> datetime:
        """Return the start plus the time of the trio clock."""
        return self.start + timedelta(seconds=trio.current_time())

    def monotonic(self) -> float:
        """Return the time of the trio clock in seconds."""
        return trio.current_time()
