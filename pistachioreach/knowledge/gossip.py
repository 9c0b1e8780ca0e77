"""Gossip between the entries about load, failures and the store's tables.

An entry is one router process of the deployment. The entries exchange messages along
the hierarchy of `knowledge/hierarchy.py`. Few of them poll the store; the others get
its rows from these. The store may also refuse some entries for a long time while it
serves other entries and the operator.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio
from loguru import logger

from pistachioreach.configuration.row import Member
from pistachioreach.errors import (
    ConnectionFailed,
    FrameError,
    StoreConflict,
    StoreUnavailable,
)
from pistachioreach.isolation import isolate_errors
from pistachioreach.knowledge.endpoint_news import apply_news, collect_news
from pistachioreach.knowledge.entries import KnownEntries
from pistachioreach.knowledge.follow import CHECK_INTERVAL_SECONDS
from pistachioreach.knowledge.platform import ENTRY_TABLE
from pistachioreach.knowledge.table import RowSource
from pistachioreach.peers.connection import RESPONSE_TIMEOUT_SECONDS
from pistachioreach.peers.relay import (
    NO_CONFIGURATION,
    NO_OUTAGE,
    RELAY,
    UNKNOWN_PROGRESS,
    RelayMessage,
    TableProgress,
    decode_relay,
    encode_relay,
)
from pistachioreach.peers.wire import REPLY, Frame
from pistachioreach.platform.store import (
    CONFIGURATION_TABLE,
    UNKNOWN_ERA,
    StoreWrite,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.knowledge.platform import PlatformView
    from pistachioreach.knowledge.table import TableCopy
    from pistachioreach.peers.connection import PeerClient
    from pistachioreach.platform.store import StoreClient
    from pistachioreach.routing.engine_load import LoadReport, LoadTracker
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["PeerGossip"]

#: Seconds between the regular rounds of requests to other entries.
ROUND_INTERVAL_SECONDS = 0.25
#: Seconds within which the entries register again after the store was restored.
REGISTRATION_SPREAD_SECONDS = 1.0
#: Minimum time in seconds between rounds after an engine was found dead. The other
#: entries must learn of it quickly, so that they do not route the engine's streams to
#: it one entry after another.
MIN_ROUND_SECONDS = 0.08
#: Two heads exchange messages once a round, whichever asks first: a head that was
#: heard within this share of a round is not asked.
HEARD_SHARE = 0.8
#: Timeout in seconds of a request for whole tables, which take time on slow links.
FIRST_RESPONSE_TIMEOUT_SECONDS = 1.5
#: Limits in seconds of the time for which an entry that has just started leaves the
#: store to the entries whose addresses its settings contain, and asks only those.
SEED_WAIT_LIMITS_SECONDS = (0.3, 0.5)
#: Seconds between requests to the seeds, which may be starting too.
SEED_ROUND_SECONDS = 0.06
#: Seconds for which another entry has a newer configuration in force before it is asked
#: for it.
CONFIGURATION_WAIT_SECONDS = 0.5
#: Seconds without a reply of its parent after which an entry looks after itself.
PARENT_TIMEOUT_SECONDS = 1.0
#: Maximum number of store calls a second of all entries together that try the store
#: because the answers of their parents are overdue.
OVERDUE_CALLS_PER_SECOND = 10.0


class PeerGossip:
    """Exchanges relay messages with the other entries.

    Args:
        own_member: Description of this entry, sent to the others.
        incarnation: Identifier of this run of the entry's process.
        platform_view: This entry's view of the platform, with the other entries.
        load_tracker: Load on the engines.
        suspect_tracker: Requests suspected of crashing endpoints.
        health_tracker: Health of the endpoints, as this entry observes it.
        store: Client of the store.
        peers: Client for requests to the other entries.
        clock: Clock of all decisions.
        random: Source of random choices.
        seeds: Addresses of some entries, contacted while no other entry is known.
    """

    def __init__(
        self,
        own_member: Member,
        incarnation: str,
        platform_view: PlatformView,
        load_tracker: LoadTracker,
        suspect_tracker: SuspectTracker,
        health_tracker: HealthTracker,
        store: StoreClient,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        seeds: Sequence[str] = (),
    ) -> None:
        #: Description of this entry, sent to the others.
        self.own_member = own_member
        #: Identifier of this run of the entry's process.
        self.incarnation = incarnation
        #: Entries of which only the address is known; they may have ended.
        self.seeds = other_seeds(own_member, seeds)
        #: This entry's view of the platform.
        self.platform_view = platform_view
        #: Load on the engines.
        self.load_tracker = load_tracker
        #: Requests suspected of crashing endpoints.
        self.suspect_tracker = suspect_tracker
        #: Health of the endpoints, as this entry observes it.
        self.health_tracker = health_tracker
        #: Client of the store.
        self.store = store
        #: Client for requests to the other entries.
        self.peers = peers
        #: Clock of all decisions.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: The other entries, and this entry's place among them.
        self.entries = KnownEntries(own_member, platform_view, clock, random)
        #: Newer version of the configuration that another entry has in force, and the
        #: monotonic time since which this entry knows of it, by the other one's name.
        self.newer_configurations: dict[str, tuple[int, float]] = {}
        #: Name of the entry that last told of rows that this entry lacks, by table.
        self.ahead: dict[str, str] = {}
        #: Addresses of the entries to which a request is in progress.
        self.pending_addresses: set[str] = set()
        #: Sequence number of the last request.
        self.sequence = 0
        #: Monotonic time until which this entry leaves the store to its seeds.
        self.seed_wait_until = clock.monotonic()
        if self.seeds and len(self.seeds) == len(seeds):
            self.seed_wait_until += random.uniform(*SEED_WAIT_LIMITS_SECONDS)

    def live_count(self) -> int:
        """Return the number of live entries, this one included."""
        return self.load_tracker.entry_count()

    async def run(self) -> None:
        """Register this entry and exchange messages with the others until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.register)
            while True:
                self.load_tracker.drop_expired(self.clock.monotonic())
                with isolate_errors("round of messages"):
                    self.start_round(nursery, self.round_members())
                # Until the next regular round, report dead engines without delay.
                loaded = self.platform_view.entry_rows.loaded
                interval = ROUND_INTERVAL_SECONDS if loaded else SEED_ROUND_SECONDS
                with trio.move_on_at(trio.current_time() + interval):
                    while True:
                        announcement = self.health_tracker.announcement
                        await trio.sleep(MIN_ROUND_SECONDS)
                        await announcement.wait()
                        children = list(self.load_tracker.children.reports)
                        self.start_round(nursery, self.entries.neighbours(children))

    def start_round(self, nursery: trio.Nursery, members: list[Member]) -> None:
        """Start an exchange of messages with each of some entries."""
        for member in members:
            if member.address not in self.pending_addresses:
                self.pending_addresses.add(member.address)
                nursery.start_soon(self.exchange_isolated, member)

    async def exchange_isolated(self, member: Member) -> None:
        """Exchange messages with another entry, whatever it sends."""
        fields = {"entry": member.name, "address": member.address}
        try:
            with isolate_errors("exchange with another entry", **fields):
                await self.exchange_with(member)
        finally:
            self.pending_addresses.discard(member.address)

    async def register(self) -> None:
        """Register this entry in the table of entries, unless it already is.

        Retries until that succeeds. An entry that restarts has the same row as before.
        Registers again whenever the store comes back from an older copy, which may lack
        the row.
        """
        member = self.own_member
        while not self.platform_view.entry_rows.loaded:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
        era = self.store.era
        if self.platform_view.members.get(member.name) != member:
            era = await self.write_registration()
        while True:
            while self.store.era == era:
                await trio.sleep(CHECK_INTERVAL_SECONDS)
            if era == UNKNOWN_ERA:
                era = self.store.era
                continue
            await trio.sleep(self.random.uniform(0.0, REGISTRATION_SPREAD_SECONDS))
            era = await self.write_registration()

    async def write_registration(self) -> int:
        """Write this entry's row, and return the era of the store that has it."""
        raw = msgspec.json.encode(self.own_member._asdict())
        write = StoreWrite(ENTRY_TABLE, self.own_member.name, None, raw)
        while True:
            try:
                return (await self.store.write([write])).era
            except (StoreUnavailable, StoreConflict) as error:
                logger.bind(reason=str(error)).warning("entry not registered yet")
                await trio.sleep(self.random.uniform(0.2, 0.6))

    def round_members(self) -> list[Member]:
        """Return the entries that this entry asks in a regular round."""
        if not self.platform_view.entry_rows.loaded:
            return self.seeds
        self.entries.log_place()
        names = self.entries.partners(HEARD_SHARE * ROUND_INTERVAL_SECONDS)
        if self.tables_to_request():
            names.append(self.row_source())
        names.append(self.configuration_source())
        return self.entries.others(names)

    def row_source(self) -> str:
        """Return the name of the entry that is asked for rows, or "" if there is none.

        This is the entry that last told of rows that this one lacks, or else its
        parent, or for a head an entry that polls the store.
        """
        for copy in self.platform_view.tables:
            ahead = self.ahead.get(copy.name, "")
            contacts = self.entries.contacts
            if (
                copy.is_behind
                and ahead not in contacts.unreachable
                and contacts.heard_within(ahead, PARENT_TIMEOUT_SECONDS)
            ):
                return ahead
        place = self.entries.hierarchy()
        if place.parent is not None:
            return place.parent
        candidates = [*self.entries.store_pollers(), *place.heads]
        others = (name for name in candidates if name != self.entries.own_member.name)
        return next(others, "")

    def must_poll_store(self, copy: TableCopy) -> bool:
        """Whether this entry must poll the store for a table itself."""
        if not copy.loaded:
            return self.clock.monotonic() >= self.seed_wait_until
        if self.entries.polls_store():
            return True
        connectivity = self.platform_view.connectivity
        if not connectivity.lost and copy.name not in connectivity.overdue_tables():
            return False
        parent = self.entries.hierarchy().parent
        if parent is None or not self.entries.contacts.replied_within(
            parent, PARENT_TIMEOUT_SECONDS
        ):
            return True
        if copy.name not in connectivity.failing_tables:
            # Only the parent, or the entry that it relies on, may be cut off.
            return True
        connectivity.record_overdue()
        # The store does not answer this entry either. All entries together try it a few
        # times a second, in case that it refuses some of them only.
        calls = OVERDUE_CALLS_PER_SECOND * CHECK_INTERVAL_SECONDS / self.live_count()
        return self.random.random() < calls

    def tables_to_request(self) -> tuple[str, ...]:
        """Return the names of the tables whose rows other entries are asked for.

        An entry that polls the store asks for those that the store does not answer
        about, and at once for those that another entry knows to have changed meanwhile:
        the entries that rely on this one wait for their rows.
        """
        connectivity = self.platform_view.connectivity
        if connectivity.lost or not self.entries.polls_store():
            return tuple(copy.name for copy in self.platform_view.tables)
        tables = {*connectivity.failing_tables, *connectivity.overdue_tables()}
        for copy in self.platform_view.tables:
            if copy.is_behind and connectivity.misses_changes(copy.name):
                tables.add(copy.name)
        return tuple(sorted(tables))

    async def exchange_with(self, member: Member) -> None:
        """Send this entry's state to another entry and apply its reply."""
        self.sequence += 1
        sequence = self.sequence
        place = self.entries.hierarchy()
        child = member.name == place.parent
        loads = None
        if child or (place.parent is None and member.name in place.heads):
            loads = self.load_tracker.group_report()
        source = member.name or member.address
        wants = ()
        if not member.name or member.name == self.row_source():
            wants = self.tables_to_request()
        asks_configuration = bool(source) and source == self.configuration_source()
        if asks_configuration:
            wants = tuple({*wants, CONFIGURATION_TABLE})
        message = self.make_message(loads, wants=wants, child=child)
        since = {
            copy.name: copy.version_for(source)
            for copy in self.platform_view.tables
            if copy.name in wants
        }
        if asks_configuration:
            since[CONFIGURATION_TABLE] = -1
        for name, version in since.items():
            message.known[name] = message.known[name]._replace(version=version)
        complete = all(copy.loaded for copy in self.platform_view.tables)
        timeout = (
            RESPONSE_TIMEOUT_SECONDS if complete else FIRST_RESPONSE_TIMEOUT_SECONDS
        )
        try:
            frame = self.make_frame(RELAY, sequence, message)
            asked_at = self.clock.monotonic()
            frame = await self.peers.request(member, frame, timeout)
            self.entries.contacts.record_message(source, replied=True)
            self.apply_message(frame, since, loads if child else None, asked_at)
        except (ConnectionFailed, FrameError) as error:
            logger.bind(entry=member.name, address=member.address).debug(
                "cannot reach an entry: {}", error
            )
            self.entries.contacts.record_failure(source)

    async def handle_frame(self, frame: Frame) -> Frame:
        """Apply the request of another entry and return the reply.

        Raises:
            FrameError: The request is malformed.
        """
        message = self.apply_message(frame, {})
        self.entries.contacts.record_message(frame.sender, replied=False)
        rows = {}
        for copy in self.platform_view.tables:
            if copy.name in message.wants:
                version = message.known.get(copy.name, UNKNOWN_PROGRESS).version
                if copy.version > version:
                    rows[copy.name] = copy.changes_since(version)
        loads = None
        if message.child:
            loads = self.load_tracker.total_report()
        elif message.loads is not None and self.entries.hierarchy().parent is None:
            loads = self.load_tracker.group_report()
        reply = self.make_message(loads, rows=rows)
        return self.make_frame(REPLY, frame.sequence, reply)

    def make_message(self, loads: LoadReport | None, **fields) -> RelayMessage:
        """Return a message with the current state of this entry.

        Args:
            loads: Load report to send, or None.
            **fields: Further fields of the message.
        """
        connectivity = self.platform_view.connectivity
        known = {
            copy.name: TableProgress(
                copy.version,
                connectivity.seconds_since_answer(copy.name),
                copy.latest_significant_version,
                copy.era,
                connectivity.is_sound(copy.name),
                self.outage_version(copy),
            )
            for copy in self.platform_view.tables
        }
        routes = self.platform_view.routes
        return RelayMessage(
            loads=loads,
            known=known,
            refused=bool(connectivity.failing_tables),
            collectors=self.entries.hierarchy().collectors,
            configuration=NO_CONFIGURATION if routes is None else routes.version,
            **collect_news(
                self.suspect_tracker,
                self.health_tracker,
                self.platform_view.directory,
            ),
            **fields,
        )

    def outage_version(self, copy: TableCopy) -> int:
        """Return the version up to which a table's rows may lack some by an outage.

        Returns NO_OUTAGE if this entry knows of no outage of the store that has not
        ended, or only lately.
        """
        connectivity = self.platform_view.connectivity
        if not connectivity.in_grace_period(copy.name):
            return NO_OUTAGE
        if copy.name in connectivity.lost_tables:
            return copy.version
        # After a restore of the store, every entry begins a grace period by itself.
        return copy.outage_end.version if copy.outage_end.era == copy.era else NO_OUTAGE

    def make_frame(self, kind: str, sequence: int, message: RelayMessage) -> Frame:
        """Return a frame that carries a message.

        Args:
            kind: Kind of the frame.
            sequence: Sequence number of the request.
            message: Message to send.
        """
        return Frame(
            sender=self.own_member.name,
            incarnation=self.incarnation,
            sequence=sequence,
            kind=kind,
            body=encode_relay(message),
        )

    def apply_message(
        self,
        frame: Frame,
        requested: Mapping[str, int],
        sent: LoadReport | None = None,
        asked_at: float | None = None,
    ) -> RelayMessage:
        """Apply the message of another entry.

        Args:
            frame: Frame with the message.
            requested: Version since which this entry requested rows, or -1 for all
                rows, by the names of the tables of which it requested rows.
            sent: Report to this entry's parent to which the message replies, or None.
            asked_at: Monotonic time of the request to which the message replies, or
                None if it is no reply.

        Raises:
            FrameError: The message is malformed.
        """
        message = decode_relay(frame.body)
        self.apply_loads(frame.sender, message, sent)
        self.record_configuration(frame.sender, message.configuration)
        directory = self.platform_view.directory
        apply_news(message, self.suspect_tracker, self.health_tracker, directory)
        if message.refused:
            self.entries.refused.add(frame.sender)
        else:
            self.entries.refused.discard(frame.sender)
        self.entries.contacts.record_reachable(message.collectors)
        for copy in self.platform_view.tables:
            source = RowSource(frame.sender, frame.incarnation)
            self.apply_rows(copy, source, message, requested.get(copy.name), asked_at)
        return message

    def apply_loads(
        self, sender: str, message: RelayMessage, sent: LoadReport | None
    ) -> None:
        """Record the load report of a message by the sender's place."""
        now = self.clock.monotonic()
        if message.loads is None:
            return
        if sent is not None:
            self.load_tracker.record_total(now, message.loads, sent)
        elif message.child:
            self.load_tracker.record_child(sender, now, message.loads)
        elif self.entries.hierarchy().parent is None:
            self.load_tracker.record_head(sender, now, message.loads)

    def record_configuration(self, sender: str, version: int) -> None:
        """Record which entry has a newer configuration in force than this one.

        After the store came back from an older copy, an entry that starts reads an
        older configuration than the one that is in force at the others.

        Args:
            sender: Name of the entry that sent the message.
            version: Operator's version of the configuration in force there.
        """
        routes = self.platform_view.routes
        if routes is None or version <= routes.version:
            self.newer_configurations.pop(sender, None)
            return
        _, since = self.newer_configurations.get(sender, (0, self.clock.monotonic()))
        self.newer_configurations[sender] = version, since

    def configuration_source(self) -> str:
        """Return the name of the entry that is asked for its configuration, or "".

        A new configuration reaches all entries by the store's changes; another entry is
        asked for it only if it does not.
        """
        routes = self.platform_view.routes
        oldest = self.clock.monotonic() - CONFIGURATION_WAIT_SECONDS
        for name, (version, since) in self.newer_configurations.items():
            newer = routes is not None and version > routes.version
            if newer and since <= oldest:
                if name not in self.entries.contacts.unreachable:
                    return name
        return ""

    def apply_rows(
        self,
        copy: TableCopy,
        source: RowSource,
        message: RelayMessage,
        since: int | None,
        asked_at: float | None,
    ) -> None:
        """Apply the rows of one table that a message carries, and their progress.

        Args:
            copy: Copy of the table.
            source: Run of the entry that sent the message.
            message: The message.
            since: Version since which this entry requested rows of the table, -1 for
                all rows, or None if it requested none.
            asked_at: Monotonic time of the request to which the message replies, or
                None if it is no reply.
        """
        progress = message.known.get(copy.name, UNKNOWN_PROGRESS)
        rows = message.rows.get(copy.name, [])
        if rows:
            logger.bind(
                table=copy.name,
                entry=source.entry,
                rows=len(rows),
                version=progress.version,
                age=round(progress.age, 3),
            ).debug("received rows from another entry")
        if progress.era > self.store.era:
            self.store.begin_era(progress.era)
        connectivity = self.platform_view.connectivity
        if progress.sound and progress.era >= copy.era:
            connectivity.record_sound_elsewhere(copy.name, progress.age)
        if since is not None and progress.version >= 0:
            if progress.outage >= 0 and progress.outage_end > copy.position:
                connectivity.record_outage_elsewhere(copy.name)
                copy.outage_end = progress.outage_end
            copy.apply_relayed(source, since, rows, progress.version, progress.era)
        if copy.name == CONFIGURATION_TABLE:
            for row in rows:
                self.platform_view.adopt_configuration(row)
        position = progress.significant_position
        if progress.era == UNKNOWN_ERA and not copy.restored:
            position = position._replace(era=copy.era)
        if position > max(copy.latest_peer_position, copy.position):
            copy.latest_peer_position = position
            self.ahead[copy.name] = source.entry
        if asked_at is not None and copy.loaded and not copy.is_behind:
            # This copy has all changes that the other entry knew at that time. Only a
            # reply shows how long its message may have taken. If messages counted as
            # taking no time, entries that pass on each other's ages would all consider
            # rows to be younger than they are.
            taken = self.clock.monotonic() - asked_at
            if connectivity.record_relayed(copy.name, progress.age + taken):
                copy.outage_end = copy.position


def other_seeds(own_member: Member, seeds: Sequence[str]) -> list[Member]:
    """Return the seeds at some addresses, without this entry."""
    return [
        Member("", address, "", "", 0.0)
        for address in seeds
        if address != own_member.address
    ]
