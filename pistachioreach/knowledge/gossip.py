"""Keeps the entries informed of each other's work and of what the store says.

The store may turn some entries away for long while it serves the others and the
operator. Those take the rows that they lack from entries that still have them.
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
    from pistachioreach.endpoints.health import HealthMarks
    from pistachioreach.knowledge.platform import PlatformView
    from pistachioreach.knowledge.table import TableCopy
    from pistachioreach.peers.connection import PeerClient
    from pistachioreach.platform.store import StoreClient
    from pistachioreach.routing.ledger import LoadLedger
    from pistachioreach.routing.suspicion import Suspicion

__all__ = ["ENTRY_TABLE", "PeerGossip"]

#: Table in which the entries register themselves.
ENTRY_TABLE = "entries"
#: Seconds between rounds of questions.
ROUND_INTERVAL_SECONDS = 0.25
#: Least seconds between rounds when an engine has been found dead: its streams
#: must not be led there by one entry after the other.
MIN_ROUND_SECONDS = 0.08
#: Entries asked in a round; of 7 all, of more some at random, and few of them in
#: other failure domains, where bytes are dear.
FANOUT = 6
REMOTE_FANOUT = 2
#: The same for the word of a lost engine.
FAILURE_FANOUT = 3
REMOTE_FAILURE_FANOUT = 1
#: Entries of a failure domain that ask the store; the others take its rows from
#: them, and ask it themselves only while those are silent.
STORE_POLLERS = 1
#: Entries of a domain above which one more of them asks the store.
LARGE_DOMAIN_ENTRIES = 8
#: Seconds for which an entry counts as live after its last word.
LIVENESS_TIMEOUT_SECONDS = 3.0
#: Seconds between reads of the entries' table; an unknown one that asks leads to
#: a read at once.
MEMBERS_READ_INTERVAL_SECONDS = 30.0
#: Seconds after the start at which the table is read early, since all entries
#: start and register together.
EARLY_READ_SECONDS = (0.3, 1.0, 3.0)
#: Seconds for which an entry that cannot be reached is asked less often.
UNREACHABLE_BACKOFF_SECONDS = 2.0


#: What an entry knows that says nothing of a table.
UNKNOWN_PROGRESS = TableProgress(-1, float("inf"), -1)


class PeerGossip:
    """The other entries, as one entry knows them.

    Args:
        own_member: This entry.
        platform_view: What is known of the platform.
        ledger: Work on the engines.
        suspicion: Requests that crash endpoints.
        health: Marks of endpoints that failed.
        store: The store.
        peers: Connections to other entries.
        clock: Clock of all decisions.
        random: Source of random choices.
        seeds: Addresses of some entries, asked while no other is known.
    """

    def __init__(
        self,
        own_member: Member,
        platform_view: PlatformView,
        ledger: LoadLedger,
        suspicion: Suspicion,
        health: HealthMarks,
        store: StoreClient,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        seeds: Sequence[str] = (),
    ) -> None:
        #: This entry.
        self.own_member = own_member
        #: Entries of which only an address is known; they may be gone.
        self.seeds = [
            Member("", address, "", "", 0.0)
            for address in seeds
            if address != own_member.address
        ]
        #: What is known of the platform.
        self.platform_view = platform_view
        #: Work on the engines.
        self.ledger = ledger
        #: Requests that crash endpoints.
        self.suspicion = suspicion
        #: Marks of endpoints that failed.
        self.health = health
        #: The store.
        self.store = store
        #: Connections to other entries.
        self.peers = peers
        #: Clock of all decisions.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: Other entries by name.
        self.members: dict[str, Member] = {}
        #: Monotonic time of the last word of each entry.
        self.last_heard: dict[str, float] = {}
        #: Monotonic time at which an entry last said that it asks the store.
        self.last_polling: dict[str, float] = {}
        #: Monotonic time until which an entry is not asked again, by address.
        self.backoff_until: dict[str, float] = {}
        #: Addresses of entries that are being asked.
        self.pending_addresses: set[str] = set()
        #: Number of the last question.
        self.sequence = 0
        #: Set when an unknown entry has asked.
        self.unknown_sender = trio.Event()

    def live_count(self) -> int:
        """Return the number of live entries, this one included."""
        oldest = self.clock.monotonic() - LIVENESS_TIMEOUT_SECONDS
        return 1 + sum(1 for at in self.last_heard.values() if at >= oldest)

    async def run(self) -> None:
        """Register this entry, and exchange news with the others for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.register)
            nursery.start_soon(self.read_members)
            while True:
                now = self.clock.monotonic()
                self.ledger.sum_up(now)
                self.start_round(nursery, self.choose_members(FANOUT, REMOTE_FANOUT))
                # Between two rounds, the word of a lost engine is passed on.
                with trio.move_on_at(trio.current_time() + ROUND_INTERVAL_SECONDS):
                    while True:
                        await trio.sleep(MIN_ROUND_SECONDS)
                        await self.health.news.wait()
                        chosen = self.choose_members(
                            FAILURE_FANOUT, REMOTE_FAILURE_FANOUT
                        )
                        self.start_round(nursery, chosen)

    def start_round(self, nursery: trio.Nursery, members: list[Member]) -> None:
        """Ask some entries."""
        for member in members:
            self.pending_addresses.add(member.address)
            nursery.start_soon(self.exchange_with, member)

    async def register(self) -> None:
        """Write this entry's row; tries until the store has taken it."""
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
        """Read the entries' table, often at first, for ever."""
        waits = list(EARLY_READ_SECONDS)
        while True:
            with trio.move_on_after(
                waits.pop(0) if waits else MEMBERS_READ_INTERVAL_SECONDS
            ):
                await self.unknown_sender.wait()
                # Entries that start together are read together.
                await trio.sleep(ROUND_INTERVAL_SECONDS)
            self.unknown_sender = trio.Event()
            try:
                snapshot = await self.store.read(ENTRY_TABLE)
            except StoreUnavailable as error:
                logger.bind(reason=str(error)).debug("entries not read")
                continue
            for row in snapshot.rows:
                self.apply_member_row(row.key, row.value or b"")

    def apply_member_row(self, name: str, raw: bytes) -> None:
        """Take over the row of an entry."""
        try:
            member = Member(**msgspec.json.decode(raw))
        except (msgspec.DecodeError, TypeError) as error:
            logger.bind(entry=name, reason=str(error)).warning("entry unreadable")
            return
        if name == self.own_member.name or self.members.get(name) == member:
            return
        self.members[name] = member
        logger.bind(entry=name, address=member.address).info("entry known")

    def polls_store(self) -> bool:
        """Whether this entry is one of those that ask the store for their domain."""
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
        """Whether this entry must ask the store about a table itself."""
        connectivity = self.platform_view.connectivity
        overdue = copy.name in connectivity.overdue_tables()
        # A configuration is large: each entry reads a new one from the store, and
        # takes it from another only where the store fails it.
        behind = copy is self.platform_view.configuration_rows and copy.is_behind
        return self.polls_store() or connectivity.lost or overdue or behind

    def tables_to_request(self) -> tuple[str, ...]:
        """Return the tables of which rows are asked for."""
        connectivity = self.platform_view.connectivity
        lacking = {*connectivity.failing_tables, *connectivity.overdue_tables()}
        if connectivity.lost:
            lacking |= set(connectivity.poll_schedules)
        if not self.polls_store():
            lacking.add(self.platform_view.endpoint_rows.name)
        return tuple(sorted(lacking))

    def choose_members(self, fanout: int, remote_fanout: int) -> list[Member]:
        """Return the entries to ask in a round.

        Args:
            fanout: Entries to ask.
            remote_fanout: How many of them may stand in other failure domains.
        """
        now = self.clock.monotonic()
        known = list(self.members.values()) or self.seeds
        able = [
            member
            for member in known
            if member.address not in self.pending_addresses
            and self.backoff_until.get(member.address, 0.0) <= now
        ]
        if len(able) <= fanout:
            return able
        near = [m for m in able if m.failure_domain == self.own_member.failure_domain]
        far = [m for m in able if m.failure_domain != self.own_member.failure_domain]
        some = self.sample(far, remote_fanout)
        some += self.sample(near, fanout - len(some))
        if not self.polls_store():
            oldest = now - LIVENESS_TIMEOUT_SECONDS
            sources = [m for m in near if self.last_polling.get(m.name, 0) >= oldest]
            sources = sources or [
                m for m in able if self.last_polling.get(m.name, 0) >= oldest
            ]
            some += [m for m in self.sample(sources, 1) if m not in some]
        return some

    def sample(self, members: list[Member], count: int) -> list[Member]:
        """Return some entries, drawn at random."""
        return self.random.sample(members, min(count, len(members)))

    async def exchange_with(self, member: Member) -> None:
        """Tell one entry what this one does, and take what it answers."""
        self.sequence += 1
        message = self.make_message(wants=self.tables_to_request())
        frame = self.make_frame(RELAY, self.sequence, message)
        try:
            reply = await self.peers.request(member, frame)
            self.apply_message(reply, message.wants)
        except (ConnectionFailed, FrameError) as error:
            logger.bind(entry=member.name, address=member.address).debug(
                "entry not reached: {}", error
            )
            rest = self.random.uniform(0.5, 1.0) * UNREACHABLE_BACKOFF_SECONDS
            self.backoff_until[member.address] = self.clock.monotonic() + rest
        finally:
            self.pending_addresses.discard(member.address)

    async def handle_frame(self, frame: Frame) -> Frame:
        """Answer the question of another entry.

        Raises:
            FrameError: The question cannot be read.
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
        """Return what this entry tells others now."""
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
            loads=dict(self.ledger.own),
            known=known,
            suspects=tuple(Suspect(*pair) for pair in self.suspicion.recent()),
            follows=self.polls_store(),
            unusable=self.health.blamed(
                self.platform_view.directory.endpoints.values()
            ),
            **fields,
        )

    def make_frame(self, kind: str, sequence: int, message: RelayMessage) -> Frame:
        """Return a frame that carries a message."""
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
        """Take over what another entry tells.

        Args:
            frame: The frame.
            requested_tables: Tables of which it holds all rows that this entry lacked.

        Raises:
            FrameError: It cannot be read.
        """
        message = decode_relay(frame.body)
        now = self.clock.monotonic()
        self.last_heard[frame.sender] = now
        self.ledger.report(frame.sender, now, message.loads)
        for suspect in message.suspects:
            self.suspicion.add(suspect.fingerprint, suspect.death)
        for id, blame in message.unusable.items():
            endpoint = self.platform_view.directory.endpoints.get(id)
            if endpoint is not None:
                self.health.told(endpoint, blame)
        if message.follows:
            self.last_polling[frame.sender] = now
        for copy in self.platform_view.tables:
            known = message.known.get(copy.name, UNKNOWN_PROGRESS)
            rows = message.rows.get(copy.name, [])
            if rows:
                logger.bind(
                    table=copy.name,
                    entry=frame.sender,
                    rows=len(rows),
                    version=known.version,
                    age=round(known.age, 3),
                ).debug("rows taken from another entry")
            if copy.name in requested_tables and known.version >= 0:
                copy.apply_changes(rows, known.version)
            copy.highest_peer_version = max(copy.highest_peer_version, known.changed)
            if copy.loaded and not copy.is_behind:
                # Nothing is missing here that the other knew at that time.
                self.platform_view.connectivity.record_relayed(copy.name, known.age)
        return message
