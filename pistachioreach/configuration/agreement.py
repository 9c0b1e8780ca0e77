"""What one entry knows of the agreed configuration, and what it may do by it.

An entry admits requests while it holds a permit: for some seconds after it
read the deciding row, or, without the store, after it was in touch with so
many entries of the roster that one of them would know of any newer version.
docs/design/configuration.md gives the reasoning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

import msgspec
import trio
from loguru import logger

from pistachioreach.configuration.active import index_manifest
from pistachioreach.configuration.row import (
    PERMIT_SECONDS,
    VERSION_ROW,
    Member,
    VersionRow,
    first_row,
    needed,
    roster_key,
)
from pistachioreach.errors import ConnectionFailed, ManifestError, StoreUnavailable
from pistachioreach.manifest import decode_trusted, encode_manifest
from pistachioreach.manifest.delta import ManifestDelta, apply_delta
from pistachioreach.peers.wire import (
    COMMIT,
    FETCH,
    NEWS,
    POLL,
    PREPARE,
    REPLY,
    Frame,
)
from pistachioreach.platform.objects import sha256_digest

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.entry import Entry
    from pistachioreach.peers.connection import PeerClient
    from pistachioreach.peers.wire import NewsItem
    from pistachioreach.platform.objects import ObjectClient

__all__ = ["Agreement", "Decided"]

#: Seconds between renewals of the permit.
RENEW_SECONDS = 0.75
#: Seconds that the store has to answer before the other entries are asked.
STORE_SECONDS = 0.4
#: Manifests kept by digest: in force, proposed, and one more.
KEPT_MANIFESTS = 3


class Decided(TypedDict):
    """The deciding row with its roster, as entries pass it on.

    Attributes:
        row: The row.
        roster: The roster in force.
    """

    row: VersionRow
    roster: list[Member]


class Agreement:
    """The agreed configuration, as this entry knows it.

    Args:
        entry: The entry.
        member: This entry in the roster.
        objects: Client of the object store.
        peers: Client of the other entries.
    """

    def __init__(
        self, entry: Entry, member: Member, objects: ObjectClient, peers: PeerClient
    ) -> None:
        #: The entry.
        self.entry = entry
        #: This entry in the roster.
        self.member = member
        #: Client of the object store.
        self.objects = objects
        #: Client of the other entries.
        self.peers = peers
        #: Highest committed row known.
        self.row = first_row()
        #: Roster of that row.
        self.roster: list[Member] = []
        #: Whether this run of this entry is in that roster.
        self.in_roster = False
        #: Version whose manifest and roster are in force here.
        self.active = 0
        #: Highest version that any other entry says is committed.
        self.rumoured = 0
        #: Canonical manifests by digest, the oldest first.
        self.manifests: dict[str, bytes] = {}
        #: Digest of the last proposed manifest that is held.
        self.prepared = ""
        #: Monotonic time until which requests may be admitted.
        self.permit_until = 0.0
        #: Number of the last frame sent.
        self.sequence = 0
        #: Takes news that arrive; set by the news spreader.
        self.take_news: Callable[[tuple[NewsItem, ...]], None] = lambda news: None

    def permitted(self) -> bool:
        """Whether requests may be admitted now.

        A permit outlives the adoption of a newer version: what it proves, and
        when it ends, counts from when the proof began. It does not outlive being
        dropped from the roster: the next change no longer waits for this entry.
        """
        current = self.active == self.row["version"] >= self.rumoured
        return (
            current
            and self.in_roster
            and self.entry.clock.monotonic() < self.permit_until
        )

    def frame(self, kind: str, **fields: object) -> Frame:
        """Return a frame that tells what this entry knows."""
        self.sequence += 1
        return Frame(
            self.member.name,
            self.member.incarnation,
            self.sequence,
            kind,
            self.row["version"],
            self.active,
            self.prepared,
            **fields,
        )

    def keep(self, digest: str, raw: bytes) -> None:
        """Keep a manifest under its digest, which has been checked."""
        self.manifests.pop(digest, None)
        self.manifests[digest] = raw
        while len(self.manifests) > KEPT_MANIFESTS:
            oldest = next(iter(self.manifests))
            if oldest == self.row["digest"]:
                self.manifests[oldest] = self.manifests.pop(oldest)
                continue
            del self.manifests[oldest]

    async def answer(self, frame: Frame) -> Frame:
        """Answer a frame of another entry."""
        body = b""
        if frame.kind == PREPARE:
            self.prepare(frame)
        elif frame.kind == COMMIT:
            decided = msgspec.json.decode(frame.body, type=Decided)
            await self.adopt(decided["row"], decided["roster"])
        elif frame.kind == FETCH:
            body = self.fetched(frame.digest)
        elif frame.kind == NEWS:
            self.take_news(frame.news)
        elif frame.kind != POLL:
            logger.warning("frame of unknown kind '{}'", frame.kind)
        self.note_rumour(frame.committed)
        return self.frame(REPLY, body=body)._replace(sequence=frame.sequence)

    def fetched(self, digest: str) -> bytes:
        """Return a kept manifest, or the decided row for an empty digest."""
        if digest:
            return self.manifests.get(digest, b"")
        return msgspec.json.encode(Decided(row=self.row, roster=self.roster))

    def note_rumour(self, version: int) -> None:
        """Stop admitting when another entry knows a newer version."""
        if version > self.row["version"]:
            self.rumoured = max(self.rumoured, version)

    def prepare(self, frame: Frame) -> None:
        """Take the manifest of a proposal, whole or as a delta."""
        raw = frame.body
        if frame.base:
            current = self.entry.configuration
            if current is None or current.digest != frame.base:
                return
            try:
                delta = msgspec.json.decode(frame.body, type=ManifestDelta)
                raw = encode_manifest(apply_delta(current.manifest, delta))
            except (msgspec.DecodeError, KeyError) as error:
                logger.warning("delta to '{}' not usable: {!r}", frame.digest, error)
                return
        if sha256_digest(raw) == frame.digest:
            self.keep(frame.digest, raw)
            self.prepared = frame.digest

    async def adopt(self, row: VersionRow, roster: list[Member] | None) -> None:
        """Take over a committed row, if it is newer, and put it in force.

        Args:
            row: The row.
            roster: Its roster, or None to read it from the store.
        """
        if row["version"] > self.row["version"]:
            if roster is None:
                roster = await self.read_roster(row["roster_version"])
            if roster is None or row["version"] <= self.row["version"]:
                return
            self.row = row
            self.roster = roster
            self.in_roster = self.is_member()
            self.entry.set_roster([member.name for member in roster])
        elif row["version"] == self.row["version"]:
            self.row = row
        await self.activate()

    async def activate(self) -> None:
        """Put the highest known row in force here, if its manifest can be had."""
        row = self.row
        if self.active == row["version"]:
            return
        if row["digest"]:
            raw = self.manifests.get(row["digest"]) or await self.fetch(row["digest"])
            if raw is None or row is not self.row:
                return
            self.keep(row["digest"], raw)
            current = self.entry.configuration
            if current is None or current.digest != row["digest"]:
                manifest = decode_trusted(raw)
                configuration = index_manifest(row["version"], row["digest"], manifest)
                self.entry.activate(configuration)
        self.active = row["version"]

    async def read_roster(self, version: int) -> list[Member] | None:
        """Read the roster of a version, or return None when it is not to be had."""
        if version == 0:
            return []
        if version == self.row["roster_version"]:
            return self.roster
        try:
            row = await self.entry.table.read("configuration", roster_key(version))
        except StoreUnavailable:
            return None
        return msgspec.convert(row["value"], list[Member]) if row else None

    async def fetch(self, digest: str) -> bytes | None:
        """Get a manifest from the object store, or from another entry."""
        try:
            with trio.move_on_after(STORE_SECONDS):
                return await self.objects.get(digest)
        except StoreUnavailable as error:
            logger.warning("manifest '{}': {}", digest, error)
        for member in self.others():
            try:
                reply = await self.peers.ask(member, self.frame(FETCH, digest=digest))
            except ConnectionFailed:
                continue
            if sha256_digest(reply.body) == digest:
                return reply.body
        return None

    def others(self) -> list[Member]:
        """Return the other entries of the roster."""
        return [member for member in self.roster if member.name != self.member.name]

    async def run(self) -> None:
        """Renew the permit again and again, for ever."""
        while True:
            try:
                await self.renew()
            except ManifestError as error:
                logger.error("committed manifest cannot be used: {}", error)
            jitter = self.entry.random.uniform(0.8, 1.0)
            await trio.sleep(RENEW_SECONDS * jitter)

    async def renew(self) -> None:
        """Prove that the configuration in force here is current, if possible."""
        started = self.entry.clock.monotonic()
        if await self.read_store() or await self.ask_roster():
            if self.in_roster:
                self.permit_until = started + PERMIT_SECONDS

    def is_member(self) -> bool:
        """Whether this run of this entry is in the roster."""
        return any(
            member.name == self.member.name
            and member.incarnation == self.member.incarnation
            for member in self.roster
        )

    async def read_store(self) -> bool:
        """Read the deciding row; return whether the store answered in time."""
        try:
            with trio.move_on_after(STORE_SECONDS):
                row = await self.entry.table.read(*VERSION_ROW)
                if row is not None:
                    await self.adopt(row["value"], None)
                # A row read before an adoption by another path may be older.
                known = row["value"]["version"] if row else 0
                return known == self.row["version"]
        except StoreUnavailable:
            pass
        return False

    async def ask_roster(self) -> bool:
        """Ask the roster; return whether enough of it knows of nothing newer."""
        version = self.row["version"]
        roster = self.roster
        in_touch = 1
        newer: list[Frame] = []

        async def ask(member: Member) -> None:
            nonlocal in_touch
            try:
                reply = await self.peers.ask(member, self.frame(POLL))
            except ConnectionFailed:
                return
            if reply.committed > version:
                newer.append(reply)
            elif reply.incarnation == member.incarnation:
                in_touch += 1

        async with trio.open_nursery() as nursery:
            for member in self.others():
                nursery.start_soon(ask, member)
        for reply in newer:
            await self.catch_up(reply)
        unchanged = version == self.row["version"]
        return unchanged and not newer and in_touch >= needed(roster)

    async def catch_up(self, reply: Frame) -> None:
        """Take over the row of an entry that knows a newer one."""
        self.note_rumour(reply.committed)
        for member in self.others():
            if member.name == reply.sender:
                try:
                    told = await self.peers.ask(member, self.frame(FETCH))
                except ConnectionFailed:
                    return
                decided = msgspec.json.decode(told.body, type=Decided)
                await self.adopt(decided["row"], decided["roster"])
