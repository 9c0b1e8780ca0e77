"""An entry on the users' platform as a running whole: its tasks and its shutdown."""

from __future__ import annotations

import random
import signal
from datetime import timedelta
from typing import TYPE_CHECKING

import trio
from hypercorn.trio import serve
from loguru import logger

from pistachioreach.callers.drain import Drain
from pistachioreach.callers.gateway import Gateway
from pistachioreach.clock import SystemClock
from pistachioreach.configuration.row import Member
from pistachioreach.dispatch.deaths import DeathTracker
from pistachioreach.dispatch.finder import ChainFinder
from pistachioreach.dispatch.plain import PlainDispatcher
from pistachioreach.dispatch.silence import StallMonitor
from pistachioreach.dispatch.streams import StreamDispatcher
from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.health import HealthTracker
from pistachioreach.errors import SettingsError
from pistachioreach.journal import Journal
from pistachioreach.knowledge.follow import follow_table
from pistachioreach.knowledge.neighbours import Neighbours
from pistachioreach.knowledge.platform import Knowledge, rhythms
from pistachioreach.metrics import Metrics, metrics_app
from pistachioreach.peers.connection import TcpPeerClient, serve_peer
from pistachioreach.placement.lease import Lease
from pistachioreach.placement.placer import Placer
from pistachioreach.platform.node_file import read_node_file
from pistachioreach.platform.store import StoreClient
from pistachioreach.routing.engine_load import LoadTracker
from pistachioreach.routing.link import LinkShare
from pistachioreach.routing.progress import Progress
from pistachioreach.routing.retries import RetryLimit
from pistachioreach.routing.stream_slots import StreamSlots
from pistachioreach.server import bind, serve_lifespan, server_config
from pistachioreach.settings import Address, address

if TYPE_CHECKING:
    from collections.abc import Callable

    from hypercorn.config import Config

    from pistachioreach.platform.node_file import VmSettings
    from pistachioreach.routing.routes import RouteTable

__all__ = ["Router"]

#: Seconds between looks at what is still in progress.
LOOK_SECONDS = 0.05
#: Port of the metrics; the deploy file names it too.
METRICS_PORT = 9464
#: Seconds between looks at the settings file.
SETTINGS_SECONDS = 1.0
#: Settings that hold until the next start.
FIXED_SETTINGS = {"name", "failure_domain", "callers", "readiness", "peers"}
#: Seconds that a caller's connection may be idle before the first configuration.
FIRST_IDLE_SECONDS = 15.0
#: Seconds between the periodic looks at entries that lapsed and at waiting streams.
TICK_SECONDS = 0.1


class Router:
    """A running entry.

    Args:
        settings: What the platform tells of the VM.
        keys: Keys shared by all entries, the one in use first.
        read_settings: Reads the settings anew.
        metrics_port: Port of the metrics.
    """

    def __init__(
        self,
        settings: VmSettings,
        keys: tuple[bytes, ...],
        read_settings: Callable[[], VmSettings] = read_node_file,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        #: What the platform tells of the VM.
        self.settings = settings
        #: Reads the settings anew.
        self.read_settings = read_settings
        #: Port of the metrics.
        self.metrics_port = metrics_port
        #: Keys shared by all entries.
        self.keys = keys
        #: Source of random choices.
        self.random = random.SystemRandom()
        #: Clock of all decisions.
        self.clock = SystemClock()
        #: Connections to endpoints and the store.
        self.connections = Connections()
        #: The store.
        self.store = StoreClient(self.connections, settings.store)
        #: What is known of the platform.
        self.knowledge = Knowledge(
            self.clock,
            rhythms(settings.configuration_apply, settings.drain),
            self.configured,
        )
        #: Work on the engines.
        self.ledger = LoadTracker()
        #: Requests that were running when endpoints died.
        self.deaths = DeathTracker(settings.name, self.clock)
        #: Where decisions are written.
        self.journal = Journal(self.clock)
        #: Counters and histograms.
        self.metrics = Metrics()
        #: Places on the engines.
        self.places = StreamSlots(self.ledger, self.clock, self.live_entries)
        #: Marks of endpoints that failed.
        self.health = HealthTracker(self.clock)
        #: Name of this process among all runs of the VM's process.
        self.incarnation = f"{self.random.getrandbits(64):016x}"
        #: The other entries.
        self.neighbours = self.make_neighbours()
        #: Limit on repeated sends.
        self.retries = self.make_retries()
        #: The shutdown.
        self.drain = Drain(self.clock)
        #: Takes callers' requests.
        self.gateway = self.make_gateway()
        #: Decides what each engine holds while this entry has the lease.
        self.placer = self.make_placer()
        #: Settings of the callers' server; the idle time follows the configuration.
        self.caller_server = self.make_server(settings.callers)
        #: Settings of the server that the balancer asks for readiness.
        self.ready_server = self.make_server(settings.readiness)
        #: Set when no new connections shall be taken.
        self.ended = trio.Event()

    def live_entries(self) -> int:
        """Return the number of live entries."""
        return self.neighbours.live_count()

    def make_server(self, listen: str) -> Config:
        """Return the settings of a server at an address of this VM."""
        limit = timedelta(seconds=self.settings.grace)
        return server_config(bind(address(listen)), limit, FIRST_IDLE_SECONDS)

    def make_neighbours(self) -> Neighbours:
        """Return what keeps this entry and the others informed."""
        settings = self.settings
        return Neighbours(
            own=Member(
                settings.name,
                settings.peers,
                settings.failure_domain,
                self.incarnation,
                0.0,
            ),
            knowledge=self.knowledge,
            ledger=self.ledger,
            suspicion=self.deaths.suspicion,
            health=self.health,
            store=self.store,
            peers=TcpPeerClient(self.keys),
            clock=self.clock,
            random=self.random,
            seeds=settings.seeds,
        )

    def make_retries(self) -> RetryLimit:
        """Return the limit on repeated sends."""
        return RetryLimit(
            self.settings.retry_ratio,
            self.settings.retry_slack,
            self.settings.retry_window,
            self.neighbours.live_count,
            self.clock,
        )

    def make_placer(self) -> Placer:
        """Return what decides on layers while this entry has the lease."""
        holder = f"{self.settings.name}/{self.incarnation}"
        return Placer(
            knowledge=self.knowledge,
            lease=Lease(holder, self.store, self.clock),
            connections=self.connections,
            journal=self.journal,
            clock=self.clock,
            random=self.random,
            candidate=self.neighbours.follows,
        )

    def make_gateway(self) -> Gateway:
        """Return what takes callers' requests."""
        settings = self.settings
        plain = PlainDispatcher(
            directory=self.knowledge.directory,
            connections=self.connections,
            health=self.health,
            retries=self.retries,
            journal=self.journal,
            clock=self.clock,
            random=self.random,
            failure_domain=settings.failure_domain,
        )
        progress = Progress(self.clock)
        pipe = LinkShare(self.neighbours.live_count, self.clock, self.random)
        finder = ChainFinder(self.knowledge.directory, self.ledger, progress, pipe, self.clock)
        watch = StallMonitor(
            finder=finder,
            places=self.places,
            progress=progress,
            connections=self.connections,
            retries=self.retries,
            journal=self.journal,
            clock=self.clock,
        )
        streams = StreamDispatcher(
            finder=finder,
            stall_monitor=watch,
            connections=self.connections,
            places=self.places,
            progress=progress,
            health=self.health,
            deaths=self.deaths,
            retries=self.retries,
            journal=self.journal,
            clock=self.clock,
        )
        return Gateway(
            self.knowledge,
            plain,
            streams,
            self.journal,
            self.metrics,
            self.clock,
            self.random,
            self.drain,
        )

    def configured(self, routes: RouteTable) -> None:
        """Let the limits of a new configuration hold for callers' connections."""
        self.caller_server.keep_alive_timeout = routes.limits.idle_seconds
        self.caller_server.h11_max_incomplete_size = routes.limits.header_bytes

    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        known = self.knowledge.routes is not None
        return known and self.knowledge.endpoint_rows.complete and not self.drain.begun

    async def run(self) -> None:
        """Serve until a signal has drained the entry."""
        logger.bind(
            name=self.settings.name,
            failure_domain=self.settings.failure_domain,
            callers=self.settings.callers,
        ).info("entry starts")
        async with trio.open_nursery() as nursery:
            for task in (
                self.serve_callers,
                self.serve_readiness,
                self.serve_metrics,
                self.serve_peers,
                self.follow,
                self.neighbours.run,
                self.placer.run,
                self.tick,
                self.follow_settings,
            ):
                nursery.start_soon(task)
            await self.drain_on_signal()
            nursery.cancel_scope.cancel()
        logger.bind(name=self.settings.name).info("entry stops")

    async def serve_callers(self) -> None:
        """Serve callers until the end of a shutdown.

        The port stays open until then: the balancer goes on sending while no
        entry of the failure domain is ready.
        """
        await serve(self.gateway, self.caller_server, shutdown_trigger=self.ended.wait)

    async def serve_readiness(self) -> None:
        """Answer the balancer until the end of a shutdown."""
        await serve(self.answer_ready, self.ready_server, shutdown_trigger=self.ended.wait)

    async def serve_metrics(self) -> None:
        """Serve metrics until the end of a shutdown."""
        host = address(self.settings.callers).host
        listener = bind(Address(host, self.metrics_port))
        config = server_config(listener, timedelta(0), FIRST_IDLE_SECONDS)
        app = metrics_app(self.metrics)
        await serve(app, config, shutdown_trigger=self.ended.wait)

    async def answer_ready(self, scope: dict, receive, send) -> None:
        """Answer whether the balancer may send requests here."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        status = 200 if self.ready() else 503
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def serve_peers(self) -> None:
        """Answer other entries for ever."""
        listener = bind(address(self.settings.peers))
        await trio.serve_listeners(
            self.serve_peer,
            [trio.SocketListener(trio.socket.from_stdlib_socket(listener))],
        )

    async def serve_peer(self, stream: trio.SocketStream) -> None:
        """Answer one other entry until its connection ends."""
        await serve_peer(stream, self.keys, self.neighbours.answer)

    async def follow(self) -> None:
        """Follow the tables of the store for ever."""
        async with trio.open_nursery() as nursery:
            for copy in self.knowledge.tables:
                nursery.start_soon(
                    follow_table,
                    self.store,
                    copy,
                    self.knowledge.contact,
                    self.random,
                    self.neighbours.asks_store,
                )

    async def tick(self) -> None:
        """Look at what only time changes, for ever."""
        while True:
            self.knowledge.drop_lapsed()
            self.places.admit_waiting()
            await trio.sleep(TICK_SECONDS)

    async def follow_settings(self) -> None:
        """Read the settings again when they change or SIGHUP comes, for ever.

        The file may change without a signal.
        """
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(SETTINGS_SECONDS):
                    await signals.__anext__()
                    logger.info("reload asked for")
                self.reload()

    def reload(self) -> None:
        """Take over what has changed in the settings; a wrong file changes nothing."""
        try:
            settings = self.read_settings()
        except SettingsError as error:
            logger.bind(setting=error.name).error("settings not taken over: {}", error)
            return
        old = self.settings
        changed = [name for name in old._fields if getattr(old, name) != getattr(settings, name)]
        if not changed:
            return
        later = sorted(set(changed) & FIXED_SETTINGS)
        logger.bind(changed=changed, at_next_start=later).info("settings reloaded")
        self.settings = settings
        self.store.address = settings.store
        self.retries.ratio = settings.retry_ratio
        self.retries.slack = settings.retry_slack
        self.retries.window = settings.retry_window

    async def drain_on_signal(self) -> None:
        """Wait for a signal, then shut down."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                logger.bind(signal=number).info("drain begins")
                break
        await self.shut_down()

    async def shut_down(self) -> None:
        """Take what can still be finished, and end what runs."""
        self.drain.begin(self.settings.grace)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.placer.stop)
            while not self.drain.done():
                await trio.sleep(LOOK_SECONDS)
            nursery.cancel_scope.cancel()
        self.ended.set()
        logger.bind(
            seconds=round(trio.current_time() - start, 2),
            in_progress=self.drain.in_progress,
        ).info("drain ends")
