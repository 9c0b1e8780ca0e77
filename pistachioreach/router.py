"""Router process (an entry) on the users' platform: its tasks and its shutdown."""

from __future__ import annotations

import random
import signal
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from pistachioreach.callers.drain import (
    FINAL_ANSWER_SECONDS,
    Drain,
    log_ignored_signals,
)
from pistachioreach.callers.gateway import Gateway
from pistachioreach.clock import SystemClock
from pistachioreach.configuration.row import Member
from pistachioreach.dispatch.crash_checks import CrashChecks
from pistachioreach.dispatch.deaths import DeathTracker
from pistachioreach.dispatch.finder import ChainFinder
from pistachioreach.dispatch.plain import PlainDispatcher
from pistachioreach.dispatch.reachability import ReachabilityProbe
from pistachioreach.dispatch.relay import EntryRelay
from pistachioreach.dispatch.silence import StallMonitor
from pistachioreach.dispatch.silent_engines import SilentEngines
from pistachioreach.dispatch.streams import StreamDispatcher
from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.health import HealthTracker
from pistachioreach.endpoints.link_monitor import LinkMonitor
from pistachioreach.errors import SettingsError
from pistachioreach.isolation import isolate_errors, restart_on_error
from pistachioreach.journal import Journal
from pistachioreach.knowledge.follow import RESPONSE_MARGIN_SECONDS, follow_table
from pistachioreach.knowledge.gossip import PeerGossip
from pistachioreach.knowledge.permits import Permits
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from pistachioreach.metrics import Metrics, metrics_app
from pistachioreach.peers.connection import TcpPeerClient, serve_peer
from pistachioreach.peers.permit import PERMIT
from pistachioreach.placement.lease import Lease
from pistachioreach.placement.placer import Placer
from pistachioreach.platform.node_file import read_node_file
from pistachioreach.platform.store import UNKNOWN_ERA, StoreClient
from pistachioreach.routing.engine_load import LoadTracker
from pistachioreach.routing.link import LinkShare
from pistachioreach.routing.progress import Progress
from pistachioreach.routing.rate_limits import PermitIssuer
from pistachioreach.routing.retries import RetryLimit
from pistachioreach.routing.stream_slots import StreamSlots
from pistachioreach.server import bind, serve, serve_lifespan, server_config
from pistachioreach.settings import Address, parse_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from hypercorn.config import Config

    from pistachioreach.peers.wire import Frame
    from pistachioreach.platform.node_file import VmSettings
    from pistachioreach.routing.routes import RouteTable

__all__ = ["Router"]

#: Port on which metrics are served; the deploy file contains the same number.
METRICS_PORT = 9464
#: Seconds between reads of the settings file.
SETTINGS_POLL_SECONDS = 1.0
#: Settings whose changes take effect only at the next start.
RESTART_ONLY_SETTINGS = {"name", "failure_domain", "callers", "readiness", "peers"}
#: Idle timeout in seconds of connections; for callers' connections until the first
#: configuration sets another one.
INITIAL_IDLE_SECONDS = 15.0
#: Seconds between checks for lapsed registrations of endpoints and waiting streams.
TICK_SECONDS = 0.1
#: Minimum delay of the event loop, in seconds, that is logged: with such a delay an
#: answer of the store may count as overdue.
MIN_LOGGED_DELAY_SECONDS = RESPONSE_MARGIN_SECONDS


class TaskFailure(NamedTuple):
    """Unexpected error of a server that the router process cannot go on without.

    Attributes:
        task: Name of the server's task.
        error: The error.
        in_progress: Number of requests that were in progress.
    """

    task: str
    error: Exception
    in_progress: int


class Router:
    """Router process with its state, its servers and its background tasks.

    Args:
        settings: Settings that the platform provides for the VM.
        keys: Keys shared by all entries; the first is the key in use.
        read_settings: Reads the current settings again.
        metrics_port: Port on which metrics are served.
    """

    def __init__(
        self,
        settings: VmSettings,
        keys: tuple[bytes, ...],
        read_settings: Callable[[], VmSettings] = read_node_file,
        metrics_port: int = METRICS_PORT,
    ) -> None:
        #: Settings that the platform provides for the VM.
        self.settings = settings
        #: Reads the current settings again.
        self.read_settings = read_settings
        #: Port on which metrics are served.
        self.metrics_port = metrics_port
        #: Keys shared by all entries; the first is the key in use.
        self.keys = keys
        #: Source of random choices.
        self.random = random.SystemRandom()
        #: Clock that all times are read from.
        self.clock = SystemClock()
        #: Connection pool to endpoints and the store.
        self.connections = Connections()
        #: Counters and histograms.
        self.metrics = Metrics()
        #: Client of the platform's store.
        self.store = StoreClient(self.connections, settings.store, self.record_era)
        #: Configuration in force and known endpoints, from the tables of the store.
        self.platform_view = self.make_platform_view()
        #: Load that the entries put on the engines.
        self.load_tracker = LoadTracker(settings.failure_domain)
        #: Deaths of endpoints, and the requests in flight at each death.
        self.death_tracker = DeathTracker(settings.name, self.clock)
        #: Journal of decisions.
        self.journal = Journal(self.clock)
        #: Slots on the engines, and the streams that wait for them.
        self.slots = StreamSlots(
            self.load_tracker, self.clock, self.live_entries, self.random
        )
        #: Health of the endpoints, as observed from their answers.
        self.health_tracker = HealthTracker(self.clock)
        #: Finds out whether this entry is cut off from all endpoints.
        self.links = self.make_links()
        #: Finds out whether endpoints that may have crashed go on.
        self.crash_checks = CrashChecks(
            self.death_tracker.suspects,
            self.platform_view.directory,
            self.links,
            self.clock,
        )
        #: Random identifier that tells this process from other runs on the same VM.
        self.incarnation = f"{self.random.getrandbits(64):016x}"
        #: Exchange of state with the other entries.
        self.gossip = self.make_gossip()
        #: Permits for requests to endpoints that state a limit.
        self.permits = self.make_permits()
        #: Sends requests through other entries while this one is cut off.
        self.relay = self.make_relay()
        #: Limit on retries.
        self.retry_limit = self.make_retry_limit()
        #: State of the graceful shutdown.
        self.drain = Drain(self.clock)
        #: ASGI application that answers callers.
        self.gateway = self.make_gateway()
        #: Decides which layers each engine holds while this entry has the lease.
        self.placer = self.make_placer()
        #: Settings of the callers' server; its limits follow the configuration.
        self.caller_server_config = self.make_server_config(settings.callers)
        #: Settings of the server that answers the balancer's readiness checks.
        self.readiness_server_config = self.make_server_config(settings.readiness)
        #: Set when the drain is over and the servers must stop.
        self.drained = trio.Event()
        #: Set when the connections of all callers have ended after a drain.
        self.callers_served = trio.Event()
        #: SIGHUPs, as they arrive, while the router runs.
        self.reload_signals: AsyncIterator[int] | None = None
        #: Set when the entry must shut down.
        self.stop_requested = trio.Event()
        #: First failure of a server, or None.
        self.failure: TaskFailure | None = None

    def make_platform_view(self) -> PlatformView:
        """Return this entry's view of the platform."""
        settings = self.settings
        schedules = poll_schedules(settings.configuration_apply, settings.drain)
        return PlatformView(self.clock, schedules, self.apply_limits)

    def record_era(self, era: int, before: int) -> None:
        """Record the store's era, which rises when it comes back from an older copy."""
        self.metrics.change("store_era", era - max(before, 0))
        if before != UNKNOWN_ERA:
            self.metrics.incr("store_restores")
            self.placer.request_renewal()

    def live_entries(self) -> int:
        """Return the number of live entries."""
        return self.gossip.live_count()

    def make_server_config(self, listen: str) -> Config:
        """Bind an address of this VM and return the settings of a server on it."""
        limit = timedelta(seconds=self.settings.grace)
        return server_config(bind(parse_address(listen)), limit, INITIAL_IDLE_SECONDS)

    def make_gossip(self) -> PeerGossip:
        """Return the exchange of state with the other entries."""
        settings = self.settings
        return PeerGossip(
            own_member=Member(
                settings.name,
                settings.peers,
                settings.failure_domain,
                incarnation="",
                joined=0.0,
                callers=settings.callers,
            ),
            incarnation=self.incarnation,
            platform_view=self.platform_view,
            load_tracker=self.load_tracker,
            suspect_tracker=self.death_tracker.suspects,
            health_tracker=self.health_tracker,
            store=self.store,
            peers=TcpPeerClient(self.keys),
            clock=self.clock,
            random=self.random,
            seeds=settings.seeds,
        )

    def make_links(self) -> LinkMonitor:
        """Return the check of this entry's links to the endpoints."""
        return LinkMonitor(
            self.platform_view.directory,
            self.connections.is_listening,
            self.clock,
            self.random,
        )

    def make_relay(self) -> EntryRelay:
        """Return the relay of requests through other entries."""
        return EntryRelay(
            self.gossip.entries,
            self.connections,
            self.links,
            self.platform_view.directory,
            self.journal,
            self.metrics,
            self.clock,
            self.random,
            self.keys[0],
        )

    def make_permits(self) -> Permits:
        """Return the permits for requests to endpoints that state a limit."""
        return Permits(
            limits=self.health_tracker.limits,
            issuer=PermitIssuer(self.clock),
            entries=self.gossip.entries,
            # A request for a permit must not wait for one that carries whole tables.
            peers=TcpPeerClient(self.keys),
            incarnation=self.incarnation,
            clock=self.clock,
        )

    def make_retry_limit(self) -> RetryLimit:
        """Return the limit on retries."""
        return RetryLimit(
            self.settings.retry_ratio,
            self.settings.retry_slack,
            self.settings.retry_window,
            self.gossip.entries.registered_count,
            self.clock,
        )

    def make_placer(self) -> Placer:
        """Return the placer, which places layers while this entry has the lease."""
        holder = f"{self.settings.name}/{self.incarnation}"
        return Placer(
            knowledge=self.platform_view,
            lease=Lease(holder, self.store, self.clock, self.settings.first_start),
            connections=self.connections,
            journal=self.journal,
            clock=self.clock,
            random=self.random,
            candidate=self.gossip.entries.polls_store,
            demand=self.prompt_shares,
            is_cut_off=self.links.cut_off_for,
        )

    def prompt_shares(self) -> dict[str, float] | None:
        """Return each failure domain's share of the prompt tokens, or None."""
        arrivals = self.load_tracker.total_demand().arrivals
        total = sum(arrivals.values())
        if not total:
            return None
        return {domain: rate / total for domain, rate in arrivals.items()}

    def make_gateway(self) -> Gateway:
        """Return the ASGI application that answers callers."""
        plain = PlainDispatcher(
            directory=self.platform_view.directory,
            connections=self.connections,
            links=self.links,
            relay=self.relay,
            health=self.health_tracker,
            suspects=self.death_tracker.suspects,
            permits=self.permits,
            retries=self.retry_limit,
            journal=self.journal,
            clock=self.clock,
            random=self.random,
            failure_domain=self.settings.failure_domain,
        )
        return Gateway(
            self.platform_view,
            plain,
            self.make_stream_dispatcher(Progress(self.clock)),
            self.journal,
            self.metrics,
            self.clock,
            self.random,
            self.drain,
            self.links,
            self.keys,
        )

    def make_finder(self, progress: Progress) -> ChainFinder:
        """Return the finder of chains of engines."""
        link_share = LinkShare(
            self.load_tracker.recent_entry_count,
            self.clock,
            self.random,
            self.load_tracker.link_demand,
        )
        return ChainFinder(
            self.platform_view.directory,
            self.load_tracker,
            progress,
            link_share,
            self.permits,
            self.clock,
            self.gossip.entries.registered_count,
            self.random,
        )

    def make_stream_dispatcher(self, progress: Progress) -> StreamDispatcher:
        """Return the dispatcher of streams."""
        finder = self.make_finder(progress)
        reachability = ReachabilityProbe(
            self.connections.is_listening, self.links, self.health_tracker, self.clock
        )
        stall_monitor = StallMonitor(
            finder=finder,
            slots=self.slots,
            progress=progress,
            connections=self.connections,
            reachability=reachability,
            relay=self.relay,
            retries=self.retry_limit,
            journal=self.journal,
            clock=self.clock,
        )
        silent_engines = SilentEngines(
            self.death_tracker,
            self.platform_view.directory,
            progress,
            reachability,
            self.links,
            self.clock,
        )
        return StreamDispatcher(
            finder=finder,
            stall_monitor=stall_monitor,
            connections=self.connections,
            links=self.links,
            relay=self.relay,
            slots=self.slots,
            progress=progress,
            health=self.health_tracker,
            deaths=self.death_tracker,
            silent_engines=silent_engines,
            retries=self.retry_limit,
            journal=self.journal,
            metrics=self.metrics,
            clock=self.clock,
        )

    def apply_limits(self, routes: RouteTable) -> None:
        """Apply a new configuration to callers' connections and waiting streams."""
        self.caller_server_config.keep_alive_timeout = routes.limits.idle_seconds
        self.caller_server_config.h11_max_incomplete_size = routes.limits.header_bytes
        self.slots.withdraw(routes.workspaces)

    def ready(self) -> bool:
        """Return whether the balancer may send requests to this entry."""
        return self.platform_view.complete and not self.drain.begun

    async def run(self) -> None:
        """Serve until a signal or a failure arrives and the drain that follows is over.

        Raises:
            Exception: The error of the server that failed.
        """
        logger.bind(
            name=self.settings.name,
            failure_domain=self.settings.failure_domain,
            callers=self.settings.callers,
        ).info("entry starts")
        # The receivers stay open to the end: without them, one more signal would end
        # the process with the requests in progress.
        stop_signals = trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)
        reload_signals = trio.open_signal_receiver(signal.SIGHUP)
        with stop_signals as signals, reload_signals as self.reload_signals:
            # The program blocks them while it starts.
            signal.pthread_sigmask(
                signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
            )
            async with trio.open_nursery() as nursery:
                for server in (self.serve_callers, self.serve_readiness):
                    nursery.start_soon(self.run_server, server)
                for task in (
                    self.serve_metrics,
                    self.serve_peers,
                    self.follow_tables,
                    self.gossip.run,
                    self.permits.run,
                    self.placer.run,
                    self.links.run,
                    self.gateway.stream_dispatcher.silent_engines.run,
                    self.crash_checks.run,
                    self.tick,
                    self.follow_settings,
                ):
                    nursery.start_soon(restart_on_error, task)
                nursery.start_soon(self.receive_stop_signals, signals)
                await self.stop_requested.wait()
                await self.shut_down()
                # A request that crossed the end of the drain still gets its refusal.
                with trio.move_on_after(FINAL_ANSWER_SECONDS):
                    await self.callers_served.wait()
                nursery.cancel_scope.cancel()
        if self.failure is not None:
            raise self.failure.error
        logger.bind(name=self.settings.name).info("entry stops")

    async def run_server(self, server: Callable[[], Awaitable[None]]) -> None:
        """Run a server that cannot be started again; its failure begins the drain."""
        try:
            await server()
        except Exception as error:
            in_progress = self.drain.in_progress
            logger.bind(task=server.__name__, in_progress=in_progress).opt(
                exception=error
            ).error("unexpected error, drain begins")
            if self.failure is None:
                self.failure = TaskFailure(server.__name__, error, in_progress)
            self.stop_requested.set()

    async def serve_callers(self) -> None:
        """Serve callers until the end of a drain.

        The port stays open during the drain, because the balancer keeps sending
        requests while no entry of the failure domain is ready.
        """
        await serve(
            self.gateway,
            self.caller_server_config,
            shutdown_trigger=self.drained.wait,
        )
        self.callers_served.set()

    async def serve_readiness(self) -> None:
        """Serve the balancer's readiness checks until the end of a drain."""
        await serve(
            self.answer_readiness,
            self.readiness_server_config,
            shutdown_trigger=self.drained.wait,
        )

    async def serve_metrics(self) -> None:
        """Serve metrics until the end of a drain."""
        host = parse_address(self.settings.callers).host
        listener = bind(Address(host, self.metrics_port))
        config = server_config(listener, timedelta(0), INITIAL_IDLE_SECONDS)
        app = metrics_app(self.metrics)
        await serve(app, config, shutdown_trigger=self.drained.wait)

    async def answer_readiness(self, scope: dict, receive, send) -> None:
        """Answer a readiness check as an ASGI application: 200 when ready, else 503."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        status = 200 if self.ready() else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def serve_peers(self) -> None:
        """Serve the connections of other entries until cancelled."""
        listener = bind(parse_address(self.settings.peers))
        await trio.serve_listeners(
            self.serve_peer,
            [trio.SocketListener(trio.socket.from_stdlib_socket(listener))],
        )

    async def serve_peer(self, stream: trio.SocketStream) -> None:
        """Serve one connection of another entry until the connection ends."""
        with isolate_errors("connection of another entry"):
            await serve_peer(stream, self.keys, self.handle_frame)

    async def handle_frame(self, frame: Frame) -> Frame:
        """Return the reply to a request of another entry.

        Raises:
            FrameError: The request is malformed.
        """
        if frame.kind == PERMIT:
            return await self.permits.handle_frame(frame)
        return await self.gossip.handle_frame(frame)

    async def follow_tables(self) -> None:
        """Keep the copies of the store's tables up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            for copy in self.platform_view.tables:
                nursery.start_soon(
                    follow_table,
                    self.store,
                    copy,
                    self.platform_view.connectivity,
                    self.random,
                    self.gossip.must_poll_store,
                )

    async def tick(self) -> None:
        """Drop lapsed registrations and admit waiting streams, until cancelled."""
        while True:
            self.platform_view.drop_expired()
            self.slots.admit_waiting()
            due = trio.current_time() + TICK_SECONDS
            await trio.sleep_until(due)
            self.record_loop_delay(trio.current_time() - due)

    def record_loop_delay(self, seconds: float) -> None:
        """Record by how much the event loop resumed a task later than it was due."""
        self.metrics.observe("event_loop_delay_seconds", seconds)
        if seconds >= MIN_LOGGED_DELAY_SECONDS:
            logger.bind(seconds=round(seconds, 3)).warning("event loop delayed")

    async def follow_settings(self) -> None:
        """Reload the settings periodically and on SIGHUP, until cancelled.

        The periodic reload is needed because the file may change without a signal.
        """
        while True:
            with trio.move_on_after(SETTINGS_POLL_SECONDS):
                await anext(self.reload_signals)
                logger.info("reload requested")
            self.reload()

    def reload(self) -> None:
        """Apply changed settings; keep the current ones if the file is invalid."""
        try:
            settings = self.read_settings()
        except SettingsError as error:
            logger.bind(setting=error.name).error("settings not reloaded: {}", error)
            return
        old = self.settings
        changed = [
            name
            for name in old._fields
            if getattr(old, name) != getattr(settings, name)
        ]
        if not changed:
            return
        at_next_start = sorted(set(changed) & RESTART_ONLY_SETTINGS)
        logger.bind(changed=changed, at_next_start=at_next_start).info(
            "settings reloaded"
        )
        self.settings = settings
        self.store.address = settings.store
        self.retry_limit.ratio = settings.retry_ratio
        self.retry_limit.slack = settings.retry_slack
        self.retry_limit.window = settings.retry_window

    async def receive_stop_signals(self, signals: AsyncIterator[int]) -> None:
        """Begin the shutdown at the first signal; further signals change nothing."""
        number = await anext(signals)
        logger.bind(signal=number).info("drain begins")
        self.stop_requested.set()
        await log_ignored_signals(signals)

    async def stop_placer(self) -> None:
        """Release the placement lease, whatever the store answers."""
        with isolate_errors("release of the lease"):
            await self.placer.stop()

    async def shut_down(self) -> None:
        """Drain the entry, release the placement lease, then stop the servers."""
        self.drain.begin(self.settings.grace)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.stop_placer)
            await self.drain.finish()
            nursery.cancel_scope.cancel()
        self.drained.set()
        logger.bind(
            seconds=round(trio.current_time() - started_at, 2),
            in_progress=self.drain.in_progress,
        ).info("drain ends")
