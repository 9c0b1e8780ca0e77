"""Router process (an entry): its clients, background tasks and shutdown."""

from __future__ import annotations

import random
import signal
from typing import TYPE_CHECKING, Any

import trio
from loguru import logger

from pistachioreach.callers.app import make_app
from pistachioreach.clock import SystemClock
from pistachioreach.configuration.agreement import ConfigurationReplica
from pistachioreach.configuration.change import ChangeCoordinator
from pistachioreach.configuration.join import leave, stay_joined
from pistachioreach.configuration.row import Member
from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.engine import HttpEngineClient
from pistachioreach.endpoints.poll import poll_loads, poll_vms
from pistachioreach.endpoints.service import HttpServiceClient
from pistachioreach.entry import Clients, Entry
from pistachioreach.isolation import isolate_errors
from pistachioreach.metrics import Metrics
from pistachioreach.operators.routes import Operations
from pistachioreach.operators.status import entry_status
from pistachioreach.peers.connection import TcpPeerClient, serve_peer
from pistachioreach.peers.news import NewsGossip
from pistachioreach.platform.breaker import CircuitBreaker
from pistachioreach.platform.objects import HttpObjectClient
from pistachioreach.platform.table import HttpTableClient
from pistachioreach.server import bind, port_of, serve_app

if TYPE_CHECKING:
    import socket

    from pistachioreach.settings import EntrySettings

__all__ = ["Node"]

#: Seconds from the time at which readiness checks begin to fail until the entry
#: accepts no more connections, so that the balancer sees a failed check first.
UNREADY_SECONDS = 1.0
#: Seconds between checks for requests in progress during a drain.
DRAIN_POLL_SECONDS = 0.05
#: Timeout in seconds for leaving the roster at the end of a shutdown.
LEAVE_TIMEOUT_SECONDS = 2.0


class Node:
    """Router process with its sockets, its clients and its background tasks.

    Args:
        settings: Settings of the entry.
    """

    def __init__(self, settings: EntrySettings) -> None:
        #: Settings of the entry.
        self.settings = settings
        random_source = random.SystemRandom()
        #: Connection pool to endpoints and the platform.
        self.connections = Connections()
        #: Client of the other entries.
        self.peers = TcpPeerClient(settings.keys)
        #: State of the entry.
        self.entry = self.make_entry(random_source)
        #: Client of the object store and of the platform's list of VMs.
        self.objects = HttpObjectClient(self.connections, str(settings.platform))
        #: Listening socket for callers and operators.
        self.listener = bind(settings.listen, settings.reuse_port)
        #: Listening socket for other entries.
        self.peer_listener = bind(settings.peer_listen)
        #: Port that callers and operators connect to.
        self.port = port_of(self.listener)
        member = Member(
            settings.name,
            f"{settings.peer_listen.host}:{port_of(self.peer_listener)}",
            settings.failure_domain,
            self.entry.new_id(),
            0.0,
        )
        #: Replica of the configuration that the entries agree on.
        self.agreement = ConfigurationReplica(
            self.entry, member, self.objects, self.peers
        )
        #: Applies changes of the configuration.
        self.changes = ChangeCoordinator(self.agreement)
        #: Exchanges news of endpoints and requests with the other entries.
        self.news = NewsGossip(self.entry, self.agreement)
        self.agreement.receive_news = self.news.receive
        self.entry.broadcast = self.news.publish
        self.entry.may_admit = self.agreement.may_admit
        #: Set when a graceful shutdown begins.
        self.stopping = trio.Event()

    def make_entry(self, random_source: random.Random) -> Entry:
        """Return the state of the entry with its clients."""
        settings = self.settings
        clock = SystemClock()
        platform = str(settings.platform)
        table = HttpTableClient(
            self.connections, platform, CircuitBreaker(random_source), clock
        )
        return Entry(
            settings.name,
            settings.failure_domain,
            settings.keys,
            Clients(
                HttpEngineClient(self.connections),
                HttpServiceClient(self.connections),
                table,
            ),
            clock,
            random_source,
            Metrics(),
        )

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is called, then drain.

        Args:
            task_status: Reports the task as started once the entry listens.
        """
        operations = Operations(
            self.settings.operator_token, self.changes.apply, self.status
        )
        app = make_app(self.entry, operations)
        async with trio.open_nursery() as nursery:
            self.entry.nursery = nursery
            nursery.start_soon(serve_peers, self, self.peer_listener)
            nursery.start_soon(self.entry.watchdog.run)
            nursery.start_soon(self.agreement.run)
            nursery.start_soon(self.news.run)
            nursery.start_soon(poll_loads, self.entry)
            nursery.start_soon(poll_vms, self.entry, self.objects)
            membership = await nursery.start(run_cancellable, self.stay_member)
            logger.info("entry '{}' listens on port {}", self.entry.name, self.port)
            task_status.started()
            limit = self.settings.drain_limit
            await serve_app(app, self.listener, self.wait_for_shutdown, limit)
            with trio.move_on_after(limit.total_seconds()):
                await self.wait_idle()
            membership.cancel()
            with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
                await leave(self.changes)
            nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await self.connections.close()
            await self.peers.close()

    async def stay_member(self) -> None:
        """Keep this entry in the roster until cancelled."""
        await stay_joined(self.changes)

    async def wait_for_shutdown(self) -> None:
        """Wait until the entry must stop accepting connections."""
        await self.stopping.wait()
        await trio.sleep(UNREADY_SECONDS)

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.entry.in_progress:
            await trio.sleep(DRAIN_POLL_SECONDS)

    def stop(self) -> None:
        """Begin a graceful shutdown: fail readiness checks, refuse new requests."""
        logger.info("entry '{}' is draining", self.entry.name)
        self.entry.draining = True
        self.stopping.set()

    async def stop_on_signal(self) -> int:
        """Begin a drain at the first signal and return the number of the second one."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await anext(signals)
            self.stop()
            return await anext(signals)

    def status(self) -> dict[str, Any]:
        """Return the state of the entry as a JSON-serialisable document."""
        return entry_status(self.entry, self.agreement)


async def run_cancellable(
    function, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> None:
    """Run a function in a cancel scope, which `nursery.start` returns to its caller."""
    with trio.CancelScope() as scope:
        task_status.started(scope)
        await function()


async def serve_peers(node: Node, listener: socket.socket) -> None:
    """Serve the connections of other entries until cancelled."""
    listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(listener))]

    async def serve(stream: trio.SocketStream) -> None:
        # An entry of another release may send frames that this one cannot decode.
        with isolate_errors("connection of another entry"):
            await serve_peer(stream, node.settings.keys, node.agreement.handle_frame)

    await trio.serve_listeners(serve, listeners)
