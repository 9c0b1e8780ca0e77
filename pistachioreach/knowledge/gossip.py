"""Gossip between the entries about load, failures and the store's tables.

An entry is one router process of the deployment.
The store may refuse some entries for a long time while it serves other entries and
the operator. The refused entries get the rows that they lack from other entries.
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
from pistachioreach.peers.relay import (
    RELAY,
    RelayMessage,
    Suspect,
    TableProgress,
    decode_relay,
    encode_relay,
)
from pistachioreach.peers.wire import REPLY, Frame
from pistachioreach.platform.store import StoreWrite

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.knowledge.platform import PlatformView
    from pistachioreach.knowledge.table import TableCopy
    from pistachioreach.peers.connection import PeerClient
    from pistachioreach.platform.store import StoreClient
    from pistachioreach.routing.engine_load import LoadTracker
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["ENTRY_TABLE", "PeerGossip"]

#: Table in which the entries register themselves.
ENTRY_TABLE = "entries"
#: Seconds between the regular rounds of requests to other entries.
ROUND_INTERVAL_SECONDS = 0.25
#: Minimum time in seconds between rounds after an engine was found dead. The other
#: entries must learn of it quickly, so that they do not route the engine's streams to
#: it one entry after another.
MIN_ROUND_SECONDS = 0.08
#: Number of entries contacted in a round: all of the others in a deployment of 7, a
#: random sample in a larger one. Only REMOTE_FANOUT of the sample are in other failure
#: domains, because traffic between failure domains is expensive.
FANOUT = 6
REMOTE_FANOUT = 2
#: Number of entries contacted in a round that reports a dead engine, and how many of
#: them may be in other failure domains.
FAILURE_FANOUT = 3
REMOTE_FAILURE_FANOUT = 1
#: Number of entries per failure domain that poll the store. The others get the rows
#: from them, and poll the store themselves only while these entries are silent.
STORE_POLLERS = 1
#: Number of entries in a failure domain above which one more of them polls the store.
LARGE_DOMAIN_ENTRIES = 8
#: Seconds for which an entry counts as live after its last message.
LIVENESS_TIMEOUT_SECONDS = 3.0
#: Seconds between reads of the table of entries; a request from an unknown entry
#: triggers an early read.
MEMBERS_READ_INTERVAL_SECONDS = 30.0
#: Waits in seconds before each of the first reads of that table; they are short because
#: all entries start and register at about the same time.
EARLY_READ_SECONDS = (0.3, 1.0, 3.0)
#: Maximum backoff in seconds before an unreachable entry is contacted again; half of
#: it is the minimum.
UNREACHABLE_BACKOFF_SECONDS = 2.0

#: Progress of an entry that did not report on a table.
UNKNOWN_PROGRESS = TableProgress(-1, float("inf"), -1)


class PeerGossip:
    """Discovers the other entries and exchanges relay messages with them.

    Args:
        own_member: Description of this entry, sent to the others.
        platform_view: This entry's view of the platform.
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
        #: Entries of which only the address is known; they may have ended.
        self.seeds = [
            Member("", address, "", "", 0.0)
            for address in seeds
            if address != own_member.address
        ]
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
        #: Other known entries by name, including entries that have ended.
        self.members: dict[str, Member] = {}
        #: Monotonic time in seconds of the last message of each entry, by name.
        self.last_heard: dict[str, float] = {}
        #: Monotonic time in seconds at which each entry last reported that it polls the
        #: store, by name.
        self.last_polling: dict[str, float] = {}
        #: Monotonic time in seconds until which each unreachable entry is not contacted
        #: again, by address.
        self.backoff_until: dict[str, float] = {}
        #: Addresses of the entries to which a request is in progress.
        self.pending_addresses: set[str] = set()
        #: Sequence number of the last request.
        self.sequence = 0
        #: Set when a request from an unknown entry arrives.
        self.unknown_sender = trio.Event()

    def live_count(self) -> int:
        """Return the number of live entries, this one included."""
        oldest = self.clock.monotonic() - LIVENESS_TIMEOUT_SECONDS
        return 1 + sum(1 for at in self.last_heard.values() if at >= oldest)

    async def run(self) -> None:
        """Register this entry and exchange messages with the others until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.register)
            nursery.start_soon(self.read_members)
            while True:
                now = self.clock.monotonic()
                self.load_tracker.sum_reports(now)
                self.start_round(nursery, self.choose_members(FANOUT, REMOTE_FANOUT))
                # Until the next regular round, report dead engines without delay.
                with trio.move_on_at(trio.current_time() + ROUND_INTERVAL_SECONDS):
                    while True:
                        await trio.sleep(MIN_ROUND_SECONDS)
                        await self.health_tracker.announcement.wait()
                        members = self.choose_members(
                            FAILURE_FANOUT, REMOTE_FAILURE_FANOUT
                        )
                        self.start_round(nursery, members)

    def start_round(self, nursery: trio.Nursery, members: list[Member]) -> None:
        """Start an exchange of messages with each of some entries."""
        for member in members:
            self.pending_addresses.add(member.address)
            nursery.start_soon(self.exchange_with, member)

    async def register(self) -> None:
        """Register this entry in the table of entries, retrying until that succeeds."""
        raw = msgspec.json.encode(self.own_member._asdict())
        write = StoreWrite(ENTRY_TABLE, self.own_member.name, None, raw)
        while True:
            try:
                await self.store.write([write])
                return
            except (StoreUnavailable, StoreConflict) as error:
                logger.bind(reason=str(error)).warning("entry not registered yet")
                await trio.sleep(self.random.uniform(0.2, 0.6))

    async def read_members(self) -> None:
        """Read the table of entries until cancelled, more often at first."""
        waits = list(EARLY_READ_SECONDS)
        while True:
            with trio.move_on_after(
                waits.pop(0) if waits else MEMBERS_READ_INTERVAL_SECONDS
            ):
                await self.unknown_sender.wait()
                # Wait for other entries that start at the same time, so that one read
                # covers them all.
                await trio.sleep(ROUND_INTERVAL_SECONDS)
            self.unknown_sender = trio.Event()
            try:
                snapshot = await self.store.read(ENTRY_TABLE)
            except StoreUnavailable as error:
                logger.bind(reason=str(error)).debug("cannot read the table of entries")
                continue
            for row in snapshot.rows:
                self.apply_member_row(row.key, row.value or b"")

    def apply_member_row(self, name: str, raw: bytes) -> None:
        """Record an entry from its row in the table of entries.

        Args:
            name: Name of the entry, the key of the row.
            raw: Description of the entry as JSON.
        """
        try:
            member = Member(**msgspec.json.decode(raw))
        except (msgspec.DecodeError, TypeError) as error:
            logger.bind(entry=name, reason=str(error)).warning(
                "cannot decode the row of an entry"
            )
            return
        if name == self.own_member.name or self.members.get(name) == member:
            return
        self.members[name] = member
        logger.bind(entry=name, address=member.address).info("entry discovered")

    def polls_store(self) -> bool:
        """Whether this entry polls the store on behalf of its failure domain.

        The live entries of the domain that come first by name do so.
        """
        oldest = self.clock.monotonic() - LIVENESS_TIMEOUT_SECONDS
        names = [
            name
            for name, member in self.members.items()
            if member.failure_domain == self.own_member.failure_domain
            and self.last_heard.get(name, float("-inf")) >= oldest
        ]
        names = sorted([*names, self.own_member.name])
        count = STORE_POLLERS + (len(names) > LARGE_DOMAIN_ENTRIES)
        return self.own_member.name in names[:count]

    def must_poll_store(self, copy: TableCopy) -> bool:
        """Whether this entry must poll the store for a table itself."""
        connectivity = self.platform_view.connectivity
        overdue = copy.name in connectivity.overdue_tables()
        # A configuration is large. Each entry therefore reads a new one from the store,
        # and gets it from another entry only if the store fails.
        behind = copy is self.platform_view.configuration_rows and copy.is_behind
        return self.polls_store() or connectivity.lost or overdue or behind

    def tables_to_request(self) -> tuple[str, ...]:
        """Return the names of the tables whose rows other entries are asked for."""
        connectivity = self.platform_view.connectivity
        tables = {*connectivity.failing_tables, *connectivity.overdue_tables()}
        if connectivity.lost:
            tables |= set(connectivity.poll_schedules)
        if not self.polls_store():
            tables.add(self.platform_view.endpoint_rows.name)
        return tuple(sorted(tables))

    def choose_members(self, fanout: int, remote_fanout: int) -> list[Member]:
        """Choose the entries to contact in a round.

        If this entry does not poll the store itself, one entry that does is added,
        preferably of the same failure domain.

        Args:
            fanout: Number of entries to contact.
            remote_fanout: Number of these that may be in other failure domains.
        """
        now = self.clock.monotonic()
        candidates = list(self.members.values()) or self.seeds
        available = [
            member
            for member in candidates
            if member.address not in self.pending_addresses
            and self.backoff_until.get(member.address, 0.0) <= now
        ]
        if len(available) <= fanout:
            return available
        local = [
            m for m in available if m.failure_domain == self.own_member.failure_domain
        ]
        remote = [
            m for m in available if m.failure_domain != self.own_member.failure_domain
        ]
        selected = self.sample(remote, remote_fanout)
        selected += self.sample(local, fanout - len(selected))
        if not self.polls_store():
            oldest = now - LIVENESS_TIMEOUT_SECONDS
            sources = [m for m in local if self.last_polling.get(m.name, 0) >= oldest]
            sources = sources or [
                m for m in available if self.last_polling.get(m.name, 0) >= oldest
            ]
            selected += [m for m in self.sample(sources, 1) if m not in selected]
        return selected

    def sample(self, members: list[Member], count: int) -> list[Member]:
        """Return up to `count` of the given entries, chosen at random."""
        return self.random.sample(members, min(count, len(members)))

    async def exchange_with(self, member: Member) -> None:
        """Send this entry's state to another entry and apply its reply."""
        self.sequence += 1
        message = self.make_message(wants=self.tables_to_request())
        frame = self.make_frame(RELAY, self.sequence, message)
        try:
            reply = await self.peers.request(member, frame)
            self.apply_message(reply, message.wants)
        except (ConnectionFailed, FrameError) as error:
            logger.bind(entry=member.name, address=member.address).debug(
                "cannot reach an entry: {}", error
            )
            backoff_seconds = (
                self.random.uniform(0.5, 1.0) * UNREACHABLE_BACKOFF_SECONDS
            )
            self.backoff_until[member.address] = (
                self.clock.monotonic() + backoff_seconds
            )
        finally:
            self.pending_addresses.discard(member.address)

    async def handle_frame(self, frame: Frame) -> Frame:
        """Apply the request of another entry and return the reply.

        Raises:
            FrameError: The request is malformed.
        """
        message = self.apply_message(frame, ())
        if frame.sender not in self.members:
            self.unknown_sender.set()
        rows = {}
        for copy in self.platform_view.tables:
            if copy.name in message.wants:
                version = message.known.get(copy.name, UNKNOWN_PROGRESS).version
                if copy.version > version:
                    rows[copy.name] = copy.changes_since(version)
        return self.make_frame(REPLY, frame.sequence, self.make_message(rows=rows))

    def make_message(self, **fields) -> RelayMessage:
        """Return a message with the current state of this entry.

        Args:
            **fields: Further fields of the message.
        """
        connectivity = self.platform_view.connectivity
        known = {
            copy.name: TableProgress(
                copy.version,
                connectivity.seconds_since_answer(copy.name),
                copy.latest_significant_version,
            )
            for copy in self.platform_view.tables
        }
        return RelayMessage(
            loads=dict(self.load_tracker.own),
            known=known,
            suspects=tuple(
                Suspect(*pair) for pair in self.suspect_tracker.recent_deaths()
            ),
            follows=self.polls_store(),
            unusable=self.health_tracker.quarantine_notices(
                self.platform_view.directory.endpoints.values()
            ),
            **fields,
        )

    def make_frame(self, kind: str, sequence: int, message: RelayMessage) -> Frame:
        """Return a frame that carries a message.

        Args:
            kind: Kind of the frame.
            sequence: Sequence number of the request.
            message: Message to send.
        """
        return Frame(
            sender=self.own_member.name,
            incarnation=self.own_member.incarnation,
            sequence=sequence,
            kind=kind,
            body=encode_relay(message),
        )

    def apply_message(
        self, frame: Frame, requested_tables: tuple[str, ...]
    ) -> RelayMessage:
        """Apply the message of another entry.

        Args:
            frame: Frame with the message.
            requested_tables: Names of the tables of which this entry requested rows;
                for these the message has all rows that this entry lacked.

        Raises:
            FrameError: The message is malformed.
        """
        message = decode_relay(frame.body)
        now = self.clock.monotonic()
        self.last_heard[frame.sender] = now
        self.load_tracker.record_report(frame.sender, now, message.loads)
        for suspect in message.suspects:
            self.suspect_tracker.record_death(suspect.fingerprint, suspect.death)
        for id, notice in message.unusable.items():
            endpoint = self.platform_view.directory.endpoints.get(id)
            if endpoint is not None:
                self.health_tracker.apply_notice(endpoint, notice)
        if message.follows:
            self.last_polling[frame.sender] = now
        for copy in self.platform_view.tables:
            progress = message.known.get(copy.name, UNKNOWN_PROGRESS)
            rows = message.rows.get(copy.name, [])
            if rows:
                logger.bind(
                    table=copy.name,
                    entry=frame.sender,
                    rows=len(rows),
                    version=progress.version,
                    age=round(progress.age, 3),
                ).debug("received rows from another entry")
            if copy.name in requested_tables and progress.version >= 0:
                copy.apply_changes(rows, progress.version)
            copy.highest_peer_version = max(copy.highest_peer_version, progress.changed)
            if copy.loaded and not copy.is_behind:
                # This copy has all changes that the other entry knew at that time.
                self.platform_view.connectivity.record_relayed(copy.name, progress.age)
        return message
