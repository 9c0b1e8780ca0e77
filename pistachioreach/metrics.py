"""Counters and latency histograms, served in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from pistachioreach.server import serve_lifespan

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Metrics", "metrics_app"]

#: Prefix of all metric names.
NAMESPACE = "pistachioreach"
#: Upper bounds of the histogram buckets: from the answer of a plain service to a
#: long stream.
BUCKET_BOUNDS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
)


class Metrics:
    """Metrics of one process; docs/operators/metrics.md lists them."""

    def __init__(self) -> None:
        #: Registry that holds all metrics of the process.
        self.registry = CollectorRegistry()
        #: Counters by name.
        self.counters: dict[str, Counter] = {}
        #: Histograms by name.
        self.histograms: dict[str, Histogram] = {}
        #: Gauges by name.
        self.gauges: dict[str, Gauge] = {}

    def incr(self, name: str, count: int = 1, **labels: str) -> None:
        """Add to a counter, and register the counter at its first use.

        Args:
            name: Name of the counter, its parts joined by underscores.
            count: Amount to add.
            **labels: Label values; each call must pass the same labels.
        """
        counter = self.counters.get(name)
        if counter is None:
            counter = Counter(
                name, name, tuple(labels), namespace=NAMESPACE, registry=self.registry
            )
            self.counters[name] = counter
        (counter.labels(**labels) if labels else counter).inc(count)

    def change(self, name: str, amount: float, **labels: str) -> None:
        """Change a gauge by an amount, and register the gauge at its first use.

        Args:
            name: Name of the gauge, its parts joined by underscores.
            amount: Amount to add, negative to subtract.
            **labels: Label values; each call must pass the same labels.
        """
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                name, name, tuple(labels), namespace=NAMESPACE, registry=self.registry
            )
            self.gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).inc(amount)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram, and register the histogram at its first use.

        Args:
            name: Name of the histogram, its parts joined by underscores.
            seconds: Duration in seconds.
            **labels: Label values; each call must pass the same labels.
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                name,
                name,
                tuple(labels),
                namespace=NAMESPACE,
                registry=self.registry,
                buckets=BUCKET_BOUNDS_SECONDS,
            )
            self.histograms[name] = histogram
        (histogram.labels(**labels) if labels else histogram).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def metrics_app(metrics: Metrics) -> Callable:
    """Return an ASGI application that serves the metrics at every path."""

    async def serve(scope: dict, receive: Callable, send: Callable) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = metrics.render()
        headers = [
            (b"content-type", CONTENT_TYPE_LATEST.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": False})

    return serve
