"""One entry's replica of the committed configuration, and its permit to admit requests.

An entry is one router process of the deployment. The roster lists the entries that
must learn of each new configuration. An entry admits requests only while it holds a
permit: for PERMIT_SECONDS after it read the version row from the store, or, when the
store does not answer, after so many entries of the roster responded that one of them
would know of any newer version.
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
    initial_row,
    quorum_size,
    roster_key,
)
from pistachioreach.errors import ConnectionFailed, ManifestError, StoreUnavailable
from pistachioreach.manifest import decode_verified_manifest, encode_manifest
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

__all__ = ["CommittedState", "ConfigurationReplica"]

#: Seconds between renewals of the permit.
RENEW_INTERVAL_SECONDS = 0.75
#: Timeout of a store read in seconds; after it the other entries are asked.
STORE_TIMEOUT_SECONDS = 0.4
#: Number of manifests cached: the one in force, the proposed one, and one more.
MAX_CACHED_MANIFESTS = 3


class CommittedState(TypedDict):
    """The version row and its roster, as entries send them to each other.

    Attributes:
        row: Value of the version row.
        roster: Roster of that version.
    """

    row: VersionRow
    roster: list[Member]


class ConfigurationReplica:
    """One entry's copy of the committed configuration and of the roster.

    Args:
        entry: State of this entry.
        member: Description of this entry for the roster.
        objects: Client of the object store, which holds the manifests.
        peers: Client for requests to the other entries.
    """

    def __init__(
        self, entry: Entry, member: Member, objects: ObjectClient, peers: PeerClient
    ) -> None:
        #: State of this entry.
        self.entry = entry
        #: Description of this entry for the roster.
        self.member = member
        #: Client of the object store, which holds the manifests.
        self.objects = objects
        #: Client for requests to the other entries.
        self.peers = peers
        #: Version row of the highest committed version that this entry knows.
        self.row = initial_row()
        #: Roster of the version in `row`.
        self.roster: list[Member] = []
        #: Whether the current run of this entry's process is in `roster`.
        self.in_roster = False
        #: Version whose manifest and roster this entry has put in force.
        self.active_version = 0
        #: Highest committed version that another entry has reported and that was
        #: newer than `row` at that time; 0 if there was none.
        self.reported_version = 0
        #: Cached manifests as canonical JSON, by digest, least recently stored first.
        self.manifests: dict[str, bytes] = {}
        #: Digest of the last proposed manifest that this entry has stored.
        self.prepared_digest = ""
        #: Monotonic time in seconds at which the permit expires.
        self.permit_until = 0.0
        #: Sequence number of the last frame created.
        self.sequence = 0
        #: Callback for news from other entries; set by the owner of this replica.
        self.receive_news: Callable[[tuple[NewsItem, ...]], None] = lambda news: None

    def may_admit(self) -> bool:
        """Whether this entry may admit requests now.

        A permit stays valid when this entry adopts a newer version, because what
        the permit proves and when it expires both refer to the start of the
        confirmation. It becomes void when this entry is dropped from the roster,
        because later changes no longer wait for this entry.
        """
        current = self.active_version == self.row["version"] >= self.reported_version
        return (
            current
            and self.in_roster
            and self.entry.clock.monotonic() < self.permit_until
        )

    def make_frame(self, kind: str, **fields: object) -> Frame:
        """Return a frame that carries the versions known to this entry.

        Args:
            kind: Kind of the frame.
            **fields: Further fields of the frame.
        """
        self.sequence += 1
        return Frame(
            self.member.name,
            self.member.incarnation,
            self.sequence,
            kind,
            self.row["version"],
            self.active_version,
            self.prepared_digest,
            **fields,
        )

    def cache_manifest(self, digest: str, raw: bytes) -> None:
        """Cache a manifest, and evict the oldest ones beyond the limit.

        The manifest of the version in `row` is never evicted.

        Args:
            digest: SHA-256 of the manifest, already verified by the caller.
            raw: Manifest as canonical JSON.
        """
        self.manifests.pop(digest, None)
        self.manifests[digest] = raw
        while len(self.manifests) > MAX_CACHED_MANIFESTS:
            oldest = next(iter(self.manifests))
            if oldest == self.row["digest"]:
                self.manifests[oldest] = self.manifests.pop(oldest)
                continue
            del self.manifests[oldest]

    async def handle_frame(self, frame: Frame) -> Frame:
        """Process a request of another entry and return the reply."""
        body = b""
        if frame.kind == PREPARE:
            self.prepare(frame)
        elif frame.kind == COMMIT:
            state = msgspec.json.decode(frame.body, type=CommittedState)
            await self.adopt(state["row"], state["roster"])
        elif frame.kind == FETCH:
            body = self.fetch_reply_body(frame.digest)
        elif frame.kind == NEWS:
            self.receive_news(frame.news)
        elif frame.kind != POLL:
            logger.warning("received a frame of unknown kind '{}'", frame.kind)
        self.record_reported_version(frame.committed)
        return self.make_frame(REPLY, body=body)._replace(sequence=frame.sequence)

    def fetch_reply_body(self, digest: str) -> bytes:
        """Return a cached manifest, or the committed state for an empty digest.

        A manifest that is not cached gives empty bytes.
        """
        if digest:
            return self.manifests.get(digest, b"")
        return msgspec.json.encode(CommittedState(row=self.row, roster=self.roster))

    def record_reported_version(self, version: int) -> None:
        """Stop admitting requests if another entry knows a newer version."""
        if version > self.row["version"]:
            self.reported_version = max(self.reported_version, version)

    def prepare(self, frame: Frame) -> None:
        """Store the manifest of a proposal, sent in full or as a delta.

        A delta is ignored if its base is not the manifest in force here; the
        coordinator then sends the manifest in full.
        """
        raw = frame.body
        if frame.base:
            current = self.entry.configuration
            if current is None or current.digest != frame.base:
                return
            try:
                delta = msgspec.json.decode(frame.body, type=ManifestDelta)
                raw = encode_manifest(apply_delta(current.manifest, delta))
            except (msgspec.DecodeError, KeyError) as error:
                logger.warning(
                    "cannot apply the delta to manifest '{}': {!r}", frame.digest, error
                )
                return
        if sha256_digest(raw) == frame.digest:
            self.cache_manifest(frame.digest, raw)
            self.prepared_digest = frame.digest

    async def adopt(self, row: VersionRow, roster: list[Member] | None) -> None:
        """Adopt a committed version if it is newer, and put it in force.

        A row of the version already known replaces the known row, since its
        proposal or its `settled` flag may have changed.

        Args:
            row: Version row.
            roster: Roster of that version, or None to read it from the store.
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
        """Put the version in `row` in force here, if its manifest can be obtained."""
        row = self.row
        if self.active_version == row["version"]:
            return
        if row["digest"]:
            raw = self.manifests.get(row["digest"]) or await self.fetch_manifest(
                row["digest"]
            )
            if raw is None or row is not self.row:
                return
            self.cache_manifest(row["digest"], raw)
            current = self.entry.configuration
            if current is None or current.digest != row["digest"]:
                manifest = decode_verified_manifest(raw)
                configuration = index_manifest(row["version"], row["digest"], manifest)
                self.entry.activate(configuration)
        self.active_version = row["version"]

    async def read_roster(self, version: int) -> list[Member] | None:
        """Return the roster introduced by a version, or None if it is unavailable."""
        if version == 0:
            return []
        if version == self.row["roster_version"]:
            return self.roster
        try:
            row = await self.entry.table.read("configuration", roster_key(version))
        except StoreUnavailable:
            return None
        return msgspec.convert(row["value"], list[Member]) if row else None

    async def fetch_manifest(self, digest: str) -> bytes | None:
        """Return a manifest from the object store, or else from another entry.

        Returns:
            The manifest as canonical JSON, or None if no source has it.
        """
        try:
            with trio.move_on_after(STORE_TIMEOUT_SECONDS):
                return await self.objects.get(digest)
        except StoreUnavailable as error:
            logger.warning(
                "cannot read manifest '{}' from the object store: {}", digest, error
            )
        for member in self.other_members():
            try:
                reply = await self.peers.request(
                    member, self.make_frame(FETCH, digest=digest)
                )
            except ConnectionFailed:
                continue
            if sha256_digest(reply.body) == digest:
                return reply.body
        return None

    def other_members(self) -> list[Member]:
        """Return the entries of the roster other than this one."""
        return [member for member in self.roster if member.name != self.member.name]

    async def run(self) -> None:
        """Renew the permit periodically until cancelled."""
        while True:
            try:
                await self.renew_permit()
            except ManifestError as error:
                logger.error("committed manifest cannot be used: {}", error)
            jitter = self.entry.random.uniform(0.8, 1.0)
            await trio.sleep(RENEW_INTERVAL_SECONDS * jitter)

    async def renew_permit(self) -> None:
        """Renew the permit if the store or the roster confirms the known version.

        The lifetime of the permit counts from before the confirmation.
        """
        started = self.entry.clock.monotonic()
        if await self.confirm_with_store() or await self.confirm_with_roster():
            if self.in_roster:
                self.permit_until = started + PERMIT_SECONDS

    def is_member(self) -> bool:
        """Whether the current run of this entry's process is in the roster."""
        return any(
            member.name == self.member.name
            and member.incarnation == self.member.incarnation
            for member in self.roster
        )

    async def confirm_with_store(self) -> bool:
        """Adopt the version row of the store, if it is newer than the known one.

        Returns:
            Whether the store answered in time and its version is the known one.
        """
        try:
            with trio.move_on_after(STORE_TIMEOUT_SECONDS):
                row = await self.entry.table.read(*VERSION_ROW)
                if row is not None:
                    await self.adopt(row["value"], None)
                # Another task may have adopted a newer version during the read.
                stored_version = row["value"]["version"] if row else 0
                return stored_version == self.row["version"]
        except StoreUnavailable:
            pass
        return False

    async def confirm_with_roster(self) -> bool:
        """Poll the other entries of the roster for newer versions, and adopt them.

        Returns:
            Whether a quorum responded, this entry included, no entry knows a newer
            version, and the known version has not changed meanwhile.
        """
        version = self.row["version"]
        roster = self.roster
        confirmations = 1
        newer: list[Frame] = []

        async def poll(member: Member) -> None:
            nonlocal confirmations
            try:
                reply = await self.peers.request(member, self.make_frame(POLL))
            except ConnectionFailed:
                return
            if reply.committed > version:
                newer.append(reply)
            elif reply.incarnation == member.incarnation:
                confirmations += 1

        async with trio.open_nursery() as nursery:
            for member in self.other_members():
                nursery.start_soon(poll, member)
        for reply in newer:
            await self.catch_up(reply)
        unchanged = version == self.row["version"]
        return unchanged and not newer and confirmations >= quorum_size(roster)

    async def catch_up(self, reply: Frame) -> None:
        """Fetch the newer version row of another entry and adopt it.

        Args:
            reply: Reply by which the other entry reported the newer version.
        """
        self.record_reported_version(reply.committed)
        for member in self.other_members():
            if member.name == reply.sender:
                try:
                    response = await self.peers.request(member, self.make_frame(FETCH))
                except ConnectionFailed:
                    return
                state = msgspec.json.decode(response.body, type=CommittedState)
                await self.adopt(state["row"], state["roster"])
