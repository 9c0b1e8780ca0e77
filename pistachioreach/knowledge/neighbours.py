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
    Known,
    RelayMessage,
    Suspect,
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
    from pistachioreach.knowledge.platform import Knowledge
    from pistachioreach.knowledge.table import TableCopy
    from pistachioreach.peers.connection import PeerClient
    from pistachioreach.platform.store import StoreClient
    from pistachioreach.routing.engine_load import LoadTracker
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["ENTRY_TABLE", "Neighbours"]

#: Table in which the entries register themselves.
ENTRY_TABLE = "entries"
#: Seconds between rounds of questions.
ROUND_SECONDS = 0.25
#: Least seconds between rounds when an engine has been found dead: its streams
#: must not be led there by one entry after the other.
SHORTEST_ROUND = 0.08
#: Entries asked in a round; of 7 all, of more some at random, and few of them in
#: other failure domains, where bytes are dear.
FANOUT = 6
FAR_FANOUT = 2
#: The same for the word of a lost engine.
NEWS_FANOUT = 3
NEWS_FAR_FANOUT = 1
#: Entries of a failure domain that ask the store; the others take its rows from
#: them, and ask it themselves only while those are silent.
FOLLOWERS = 1
#: Entries of a domain above which one more of them asks the store.
MANY_ENTRIES = 8
#: Seconds for which an entry counts as live after its last word.
LIVE_SECONDS = 3.0
#: Seconds between reads of the entries' table; an unknown one that asks leads to
#: a read at once.
READ_SECONDS = 30.0
#: Seconds after the start at which the table is read early, since all entries
#: start and register together.
EARLY_READS = (0.3, 1.0, 3.0)
#: Seconds for which an entry that cannot be reached is asked less often.
UNREACHED_SECONDS = 2.0


#: What an entry knows that says nothing of a table.
NOTHING_KNOWN = Known(-1, float("inf"), -1)


class Neighbours:
    """The other entries, as one entry knows them.

    Args:
        own: This entry.
        knowledge: What is known of the platform.
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
        own: Member,
        knowledge: Knowledge,
        ledger: LoadTracker,
        suspicion: SuspectTracker,
        health: HealthTracker,
        store: StoreClient,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        seeds: Sequence[str] = (),
    ) -> None:
        #: This entry.
        self.own = own
        #: Entries of which only an address is known; they may be gone.
        self.seeds = [
            Member("", address, "", "", 0.0)
            for address in seeds
            if address != own.address
        ]
        #: What is known of the platform.
        self.knowledge = knowledge
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
        self.heard: dict[str, float] = {}
        #: Monotonic time at which an entry last said that it asks the store.
        self.following: dict[str, float] = {}
        #: Monotonic time until which an entry is not asked again, by address.
        self.resting: dict[str, float] = {}
        #: Addresses of entries that are being asked.
        self.asking: set[str] = set()
        #: Number of the last question.
        self.sequence = 0
        #: Set when an unknown entry has asked.
        self.stranger = trio.Event()

    def live_count(self) -> int:
        """Return the number of live entries, this one included."""
        oldest = self.clock.monotonic() - LIVE_SECONDS
        return 1 + sum(1 for at in self.heard.values() if at >= oldest)

    async def run(self) -> None:
        """Register this entry, and exchange news with the others for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.register)
            nursery.start_soon(self.read_members)
            while True:
                now = self.clock.monotonic()
                self.ledger.sum_reports(now)
                self.start_round(nursery, self.chosen(FANOUT, FAR_FANOUT))
                # Between two rounds, the word of a lost engine is passed on.
                with trio.move_on_at(trio.current_time() + ROUND_SECONDS):
                    while True:
                        await trio.sleep(SHORTEST_ROUND)
                        await self.health.announcement.wait()
                        chosen = self.chosen(NEWS_FANOUT, NEWS_FAR_FANOUT)
                        self.start_round(nursery, chosen)

    def start_round(self, nursery: trio.Nursery, members: list[Member]) -> None:
        """Ask some entries."""
        for member in members:
            self.asking.add(member.address)
            nursery.start_soon(self.ask, member)

    async def register(self) -> None:
        """Write this entry's row; tries until the store has taken it."""
        raw = msgspec.json.encode(self.own._asdict())
        write = StoreWrite(ENTRY_TABLE, self.own.name, None, raw)
        while True:
            try:
                await self.store.write([write])
                return
            except (StoreUnavailable, StoreConflict) as error:
                logger.bind(reason=str(error)).warning("entry not registered yet")
                await trio.sleep(self.random.uniform(0.2, 0.6))

    async def read_members(self) -> None:
        """Read the entries' table, often at first, for ever."""
        waits = list(EARLY_READS)
        while True:
            with trio.move_on_after(waits.pop(0) if waits else READ_SECONDS):
                await self.stranger.wait()
                # Entries that start together are read together.
                await trio.sleep(ROUND_SECONDS)
            self.stranger = trio.Event()
            try:
                snapshot = await self.store.read(ENTRY_TABLE)
            except StoreUnavailable as error:
                logger.bind(reason=str(error)).debug("entries not read")
                continue
            for row in snapshot.rows:
                self.note_member(row.key, row.value or b"")

    def note_member(self, name: str, raw: bytes) -> None:
        """Take over the row of an entry."""
        try:
            member = Member(**msgspec.json.decode(raw))
        except (msgspec.DecodeError, TypeError) as error:
            logger.bind(entry=name, reason=str(error)).warning("entry unreadable")
            return
        if name == self.own.name or self.members.get(name) == member:
            return
        self.members[name] = member
        logger.bind(entry=name, address=member.address).info("entry known")

    def follows(self) -> bool:
        """Whether this entry is one of those that ask the store for their domain."""
        oldest = self.clock.monotonic() - LIVE_SECONDS
        names = [
            name
            for name, member in self.members.items()
            if member.failure_domain == self.own.failure_domain
            and self.heard.get(name, float("-inf")) >= oldest
        ]
        names = sorted([*names, self.own.name])
        count = FOLLOWERS + (len(names) > MANY_ENTRIES)
        return self.own.name in names[:count]

    def asks_store(self, copy: TableCopy) -> bool:
        """Whether this entry must ask the store about a table itself."""
        contact = self.knowledge.contact
        overdue = copy.name in contact.overdue()
        # A configuration is large: each entry reads a new one from the store, and
        # takes it from another only where the store fails it.
        behind = copy is self.knowledge.configuration_rows and copy.behind
        return self.follows() or contact.lost or overdue or behind

    def wanted(self) -> tuple[str, ...]:
        """Return the tables of which rows are asked for."""
        contact = self.knowledge.contact
        lacking = {*contact.failing, *contact.overdue()}
        if contact.lost:
            lacking |= set(contact.rhythms)
        if not self.follows():
            lacking.add(self.knowledge.endpoint_rows.name)
        return tuple(sorted(lacking))

    def chosen(self, fanout: int, far_fanout: int) -> list[Member]:
        """Return the entries to ask in a round.

        Args:
            fanout: Entries to ask.
            far_fanout: How many of them may stand in other failure domains.
        """
        now = self.clock.monotonic()
        known = list(self.members.values()) or self.seeds
        able = [
            member
            for member in known
            if member.address not in self.asking
            and self.resting.get(member.address, 0.0) <= now
        ]
        if len(able) <= fanout:
            return able
        near = [m for m in able if m.failure_domain == self.own.failure_domain]
        far = [m for m in able if m.failure_domain != self.own.failure_domain]
        some = self.some(far, far_fanout)
        some += self.some(near, fanout - len(some))
        if not self.follows():
            oldest = now - LIVE_SECONDS
            sources = [m for m in near if self.following.get(m.name, 0) >= oldest]
            sources = sources or [
                m for m in able if self.following.get(m.name, 0) >= oldest
            ]
            some += [m for m in self.some(sources, 1) if m not in some]
        return some

    def some(self, members: list[Member], count: int) -> list[Member]:
        """Return some entries, drawn at random."""
        return self.random.sample(members, min(count, len(members)))

    async def ask(self, member: Member) -> None:
        """Tell one entry what this one does, and take what it answers."""
        self.sequence += 1
        message = self.message(wants=self.wanted())
        frame = self.frame(RELAY, self.sequence, message)
        try:
            reply = await self.peers.ask(member, frame)
            self.take(reply, message.wants)
        except (ConnectionFailed, FrameError) as error:
            logger.bind(entry=member.name, address=member.address).debug(
                "entry not reached: {}", error
            )
            rest = self.random.uniform(0.5, 1.0) * UNREACHED_SECONDS
            self.resting[member.address] = self.clock.monotonic() + rest
        finally:
            self.asking.discard(member.address)

    async def answer(self, frame: Frame) -> Frame:
        """Answer the question of another entry.

        Raises:
            FrameError: The question cannot be read.
        """
        message = self.take(frame, ())
        if frame.sender not in self.members:
            self.stranger.set()
        rows = {}
        for copy in self.knowledge.tables:
            if copy.name in message.wants:
                version = message.known.get(copy.name, NOTHING_KNOWN).version
                if copy.version > version:
                    rows[copy.name] = copy.since(version)
        return self.frame(REPLY, frame.sequence, self.message(rows=rows))

    def message(self, **fields) -> RelayMessage:
        """Return what this entry tells others now."""
        contact = self.knowledge.contact
        known = {
            copy.name: Known(copy.version, contact.silence(copy.name), copy.latest_news)
            for copy in self.knowledge.tables
        }
        return RelayMessage(
            loads=dict(self.ledger.own),
            known=known,
            suspects=tuple(Suspect(*pair) for pair in self.suspicion.recent_deaths()),
            follows=self.follows(),
            unusable=self.health.quarantine_notices(
                self.knowledge.directory.endpoints.values()
            ),
            **fields,
        )

    def frame(self, kind: str, sequence: int, message: RelayMessage) -> Frame:
        """Return a frame that carries a message."""
        return Frame(
            sender=self.own.name,
            incarnation=self.own.incarnation,
            sequence=sequence,
            kind=kind,
            body=encode_relay(message),
        )

    def take(self, frame: Frame, wanted: tuple[str, ...]) -> RelayMessage:
        """Take over what another entry tells.

        Args:
            frame: The frame.
            wanted: Tables of which it holds all rows that this entry lacked.

        Raises:
            FrameError: It cannot be read.
        """
        message = decode_relay(frame.body)
        now = self.clock.monotonic()
        self.heard[frame.sender] = now
        self.ledger.record_report(frame.sender, now, message.loads)
        for suspect in message.suspects:
            self.suspicion.record_death(suspect.fingerprint, suspect.death)
        for id, blame in message.unusable.items():
            endpoint = self.knowledge.directory.endpoints.get(id)
            if endpoint is not None:
                self.health.apply_notice(endpoint, blame)
        if message.follows:
            self.following[frame.sender] = now
        for copy in self.knowledge.tables:
            known = message.known.get(copy.name, NOTHING_KNOWN)
            rows = message.rows.get(copy.name, [])
            if rows:
                logger.bind(
                    table=copy.name,
                    entry=frame.sender,
                    rows=len(rows),
                    version=known.version,
                    age=round(known.age, 3),
                ).debug("rows taken from another entry")
            if copy.name in wanted and known.version >= 0:
                copy.update(rows, known.version)
            copy.awaited = max(copy.awaited, known.changed)
            if copy.complete and not copy.behind:
                # Nothing is missing here that the other knew at that time.
                self.knowledge.contact.relayed(copy.name, known.age)
        return message
