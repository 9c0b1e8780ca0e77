"""One entry as a running whole: its clients, its tasks and its shutdown."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING, Any

import trio
from loguru import logger

from pistachioreach.callers.app import make_app
from pistachioreach.clock import SystemClock
from pistachioreach.configuration.agreement import Agreement
from pistachioreach.configuration.change import Changes
from pistachioreach.configuration.join import leave, stay_joined
from pistachioreach.configuration.row import Member
from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.engine import HttpEngineClient
from pistachioreach.endpoints.poll import poll_loads, poll_vms
from pistachioreach.endpoints.service import HttpServiceClient
from pistachioreach.entry import Entry, Peers
from pistachioreach.metrics import Metrics
from pistachioreach.operators.routes import Operations
from pistachioreach.operators.status import entry_status
from pistachioreach.peers.connection import TcpPeerClient, serve_peer
from pistachioreach.peers.news import NewsSpreader
from pistachioreach.platform.breaker import CircuitBreaker
from pistachioreach.platform.objects import HttpObjectClient
from pistachioreach.platform.table import HttpTableClient
from pistachioreach.server import bind, port_of, serve_app

if TYPE_CHECKING:
    import socket

    from pistachioreach.settings import EntrySettings

__all__ = ["Node"]

#: Seconds between readiness failing and the end of new connections, so that
#: the balancer has seen it.
UNREADY_SECONDS = 1.0
#: Seconds between looks at what is still in progress.
DRAIN_LOOK_SECONDS = 0.05
#: Seconds that leaving the roster may take at the end.
LEAVE_SECONDS = 2.0


class Node:
    """A running entry.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        #: Its settings.
        self.settings = settings
        source = random.SystemRandom()
        #: Connections to endpoints and the platform.
        self.connections = Connections()
        #: Connections to other entries.
        self.peers = TcpPeerClient(settings.keys)
        #: The entry's state.
        self.entry = self.make_entry(source)
        #: Client of the object store and of the list of VMs.
        self.objects = HttpObjectClient(self.connections, str(settings.platform))
        #: Socket of callers and operators.
        self.listener = bind(settings.listen, settings.reuse_port)
        #: Socket of other entries.
        self.peer_listener = bind(settings.peer_listen)
        #: Port of callers and operators.
        self.port = port_of(self.listener)
        member = Member(
            settings.name,
            f"{settings.peer_listen.host}:{port_of(self.peer_listener)}",
            settings.failure_domain,
            self.entry.nonce(),
            0.0,
        )
        #: What is known of the agreed configuration.
        self.agreement = Agreement(self.entry, member, self.objects, self.peers)
        #: Makes changes of the configuration.
        self.changes = Changes(self.agreement)
        #: Spreads news between the entries.
        self.news = NewsSpreader(self.entry, self.agreement)
        self.agreement.take_news = self.news.take
        self.entry.tell = self.news.tell
        self.entry.permitted = self.agreement.permitted
        #: Set when a graceful shutdown begins.
        self.stopping = trio.Event()

    def make_entry(self, source: random.Random) -> Entry:
        """Return the entry's state with its clients."""
        settings = self.settings
        clock = SystemClock()
        platform = str(settings.platform)
        table = HttpTableClient(
            self.connections, platform, CircuitBreaker(source), clock
        )
        return Entry(
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
            Metrics(),
        )

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop`, then drain.

        Args:
            task_status: Started once the entry listens.
        """
        operations = Operations(
            self.settings.operator_token, self.changes.apply, self.status
        )
        app = make_app(self.entry, operations)
        async with trio.open_nursery() as nursery:
            self.entry.nursery = nursery
            nursery.start_soon(serve_peers, self, self.peer_listener)
            nursery.start_soon(self.entry.watch.run)
            nursery.start_soon(self.agreement.run)
            nursery.start_soon(self.news.run)
            nursery.start_soon(poll_loads, self.entry)
            nursery.start_soon(poll_vms, self.entry, self.objects)
            membership = await nursery.start(run_cancellable, self.stay_member)
            logger.info("entry '{}' listens on port {}", self.entry.name, self.port)
            task_status.started()
            limit = self.settings.drain_limit
            await serve_app(app, self.listener, self.drained, limit)
            with trio.move_on_after(limit.total_seconds()):
                await self.wait_idle()
            membership.cancel()
            with trio.move_on_after(LEAVE_SECONDS):
                await leave(self.changes)
            nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await self.connections.close()
            await self.peers.close()

    async def stay_member(self) -> None:
        """Stay in the roster, for ever."""
        await stay_joined(self.changes)

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

    async def stop_on_signal(self) -> int:
        """Drain at the first signal, and return the second one."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await anext(signals)
            self.stop()
            return await anext(signals)

    def status(self) -> dict[str, Any]:
        """Return the state of the entry, ready for JSON."""
        return entry_status(self.entry, self.agreement)


async def run_cancellable(
    function, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> None:
    """Run a function within a scope that is handed to the starter."""
    with trio.CancelScope() as scope:
        task_status.started(scope)
        await function()


async def serve_peers(node: Node, listener: socket.socket) -> None:
    """Serve the connections of other entries until cancelled."""
    listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(listener))]

    async def serve(stream: trio.SocketStream) -> None:
        try:
            await serve_peer(stream, node.settings.keys, node.agreement.answer)
        except Exception:
            # Another release may send what this one cannot read.
            logger.exception("connection of another entry failed")

    await trio.serve_listeners(serve, listeners)
