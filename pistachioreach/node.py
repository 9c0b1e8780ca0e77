"""One entry as a running whole: its clients, its tasks and its shutdown."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING, Any

import trio
from loguru import logger

from pistachioreach.callers.app import make_app
from pistachioreach.clock import SystemClock
from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.engine import HttpEngineClient
from pistachioreach.endpoints.service import HttpServiceClient
from pistachioreach.entry import Entry, Peers
from pistachioreach.metrics import make_metrics
from pistachioreach.operators.change import Changes
from pistachioreach.operators.routes import Operations
from pistachioreach.platform.breaker import Breaker
from pistachioreach.platform.objects import HttpObjectClient
from pistachioreach.platform.table import HttpTableClient
from pistachioreach.server import bind, port_of, serve_app

if TYPE_CHECKING:
    from pistachioreach.settings import EntrySettings

__all__ = ["Node"]

#: Seconds between readiness failing and the end of new connections, so that
#: the balancer has seen it.
UNREADY_SECONDS = 1.0
#: Seconds between looks at what is still in progress.
DRAIN_LOOK_SECONDS = 0.05


class Node:
    """A running entry.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        #: Its settings.
        self.settings = settings
        clock = SystemClock()
        source = random.SystemRandom()
        #: Connections to endpoints and the platform.
        self.connections = Connections()
        platform = str(settings.platform)
        table = HttpTableClient(self.connections, platform, Breaker(source), clock)
        #: The entry's state.
        self.entry = Entry(
            settings.name,
            settings.failure_domain,
            settings.keys,
            Peers(
                HttpEngineClient(self.connections),
                HttpServiceClient(self.connections),
                table,
            ),
            clock,
            source,
            make_metrics(settings.statsd),
        )
        #: Makes and follows changes of the configuration.
        self.changes = Changes(self.entry, HttpObjectClient(self.connections, platform))
        #: Set when a graceful shutdown begins.
        self.stopping = trio.Event()
        #: Port of callers and operators; 0 before `run` has bound it.
        self.port = 0

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop`, then drain.

        Args:
            task_status: Started once the entry listens.
        """
        listener = bind(self.settings.listen, self.settings.reuse_port)
        self.port = port_of(listener)
        operations = Operations(
            self.settings.operator_token, self.changes.apply, self.status
        )
        app = make_app(self.entry, operations)
        async with trio.open_nursery() as nursery:
            self.entry.nursery = nursery
            nursery.start_soon(self.entry.watch.run)
            nursery.start_soon(self.changes.follow)
            logger.info("entry '{}' listens on port {}", self.entry.name, self.port)
            task_status.started()
            limit = self.settings.drain_limit
            await serve_app(app, listener, self.drained, limit)
            with trio.move_on_after(limit.total_seconds()):
                await self.wait_idle()
            nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await self.connections.close()

    async def drained(self) -> None:
        """Return when the entry shall take no more connections."""
        await self.stopping.wait()
        await trio.sleep(UNREADY_SECONDS)

    async def wait_idle(self) -> None:
        """Wait until nothing is in progress."""
        while self.entry.in_progress:
            await trio.sleep(DRAIN_LOOK_SECONDS)

    def stop(self) -> None:
        """Begin a graceful shutdown: readiness fails, new work is refused."""
        logger.info("entry '{}' is draining", self.entry.name)
        self.entry.draining = True
        self.stopping.set()

    async def stop_on_signal(self) -> None:
        """Drain at the first signal, and end at once at the second."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            count = 0
            async for number in signals:
                count += 1
                if count > 1:
                    raise SystemExit(128 + number)
                self.stop()

    def status(self) -> dict[str, Any]:
        """Return the state of the entry, ready for JSON."""
        entry = self.entry
        now = entry.clock.monotonic()
        current = entry.configuration
        endpoints = {
            name: {
                "in_flight": state.in_flight,
                "leaving": sorted(state.leaving_sources),
                "ejected_seconds": round(max(0.0, state.ejected_until - now), 2),
                "occupancy": round(state.occupancy(now), 3),
                "gap_ms": round(entry.fleet.expected_gap(state, now) * 1000, 2),
            }
            for name, state in entry.fleet.states.items()
        }
        return {
            "entry": entry.name,
            "failure_domain": entry.failure_domain,
            "version": current.version if current else 0,
            "build": current.manifest["build"] if current else 0,
            "draining": entry.draining,
            "in_progress": entry.in_progress,
            "running": entry.admission.total,
            "waiting": entry.admission.waiting,
            "places": entry.admission.places,
            "endpoints": endpoints,
        }
