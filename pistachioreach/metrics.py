"""Metrics through statsd; docs/operators/metrics.md lists names and units."""

from __future__ import annotations

from typing import Protocol

import statsd

__all__ = ["Metrics", "NullMetrics", "make_metrics"]


class Metrics(Protocol):
    """The part of statsd's client that the router uses."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""


class NullMetrics:
    """Metrics that go nowhere, when no statsd address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Do nothing."""


def make_metrics(address: tuple[str, int] | None) -> Metrics:
    """Return a client for a statsd address.

    Args:
        address: Host and UDP port, or None for no metrics.
    """
    if address is None:
        return NullMetrics()
    return statsd.StatsClient(address[0], address[1], prefix="pistachioreach")
