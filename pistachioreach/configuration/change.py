"""Changes: a manifest is put in force everywhere, or not at all."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from pistachioreach.configuration.agreement import Decided
from pistachioreach.configuration.row import (
    PERMIT_SECONDS,
    VERSION_ROW,
    Committed,
    Proposal,
    VersionRow,
    few,
    first_row,
    roster_key,
)
from pistachioreach.errors import ConnectionFailed, StoreConflict, StoreUnavailable
from pistachioreach.manifest.delta import make_delta
from pistachioreach.peers.wire import COMMIT, PREPARE
from pistachioreach.platform.wire import Check, Write

if TYPE_CHECKING:
    from pistachioreach.configuration.agreement import Agreement
    from pistachioreach.configuration.row import Member
    from pistachioreach.manifest import ManifestDocument
    from pistachioreach.peers.wire import Frame

__all__ = ["ChangeReport", "Changes"]

#: Seconds within which an operator is told how a change ended.
CHANGE_SECONDS = 4.0
#: Seconds that the entries have to take over a proposed manifest.
PREPARE_SECONDS = 0.7
#: Seconds to wait until no permit under an older version is left, with a tenth
#: for clocks that run at different rates.
FENCE_SECONDS = PERMIT_SECONDS * 1.1
#: Seconds after which the proposal of an entry that has gone is withdrawn.
ABANDONED_SECONDS = 5.0
#: Seconds between rounds of telling entries that have not answered.
ROUND_SECONDS = 0.1
#: Seconds by which the platform's list of VMs may lag.
VM_LIST_LAG_SECONDS = 60.0

#: Changes that are remembered in the row; an answer is settled within 4 s.
KEPT_CHANGES = 16

#: Results of a change.
IN_FORCE = "in force"
NOT_IN_FORCE = "not in force"
CONFLICT = "conflict"
UNKNOWN = "unknown"


class ChangeReport(NamedTuple):
    """What an operator is told about a change.

    Attributes:
        result: `in force`, `not in force`, `conflict` or `unknown`.
        version: Version of the change, or the one that stands in its way.
        build: Build number concerned.
        detail: Who won, who was missing, or what to do.
    """

    result: str
    version: int
    build: int
    detail: str


class Changes:
    """Makes changes of the manifest and of the roster.

    Args:
        agreement: What this entry knows of the agreed configuration.
    """

    def __init__(self, agreement: Agreement) -> None:
        #: What this entry knows of the agreed configuration.
        self.agreement = agreement
        #: Proposal of another entry seen last, and when it was seen first.
        self.seen_proposal: tuple[str, float] = ("", 0.0)

    async def apply(self, manifest: ManifestDocument, raw: bytes) -> ChangeReport:
        """Put a manifest in force everywhere, or not at all.

        Args:
            manifest: The manifest, checked.
            raw: Its canonical JSON.
        """
        entry = self.agreement.entry
        nonce = entry.nonce()
        with trio.move_on_after(CHANGE_SECONDS):
            while True:
                try:
                    return await self.try_apply(manifest, raw, nonce)
                except StoreConflict:
                    continue
                except StoreUnavailable as error:
                    entry.journal.record("change", nonce, "try again", str(error))
                    await trio.sleep(entry.random.uniform(0.05, 0.2))
        detail = "no answer of the table service; `pistachioreach status` settles it"
        return ChangeReport(UNKNOWN, 0, manifest["build"], detail)

    async def try_apply(
        self, manifest: ManifestDocument, raw: bytes, nonce: str
    ) -> ChangeReport:
        """Go on with a change from whatever state its row shows.

        Raises:
            StoreConflict: Another write came between; try again.
            StoreUnavailable: No answer; the write may have taken effect.
        """
        if not self.agreement.is_member():
            raise StoreUnavailable("this entry is not in the roster yet")
        at, row = await self.read_row()
        if version_of(row, nonce):
            return await self.finish(at, row, nonce)
        build = manifest["build"]
        proposal = row["proposal"]
        if proposal is not None and proposal["nonce"] != nonce:
            await self.withdraw_abandoned(at, row)
            who, other = proposal["entry"], proposal["build"]
            detail = f"build {other} is being applied at '{who}'"
            return ChangeReport(CONFLICT, row["version"], other, detail)
        if build <= row["build"]:
            detail = f"build {row['build']} was applied at '{row['entry']}'"
            return ChangeReport(CONFLICT, row["version"], row["build"], detail)
        if not row["settled"]:
            at, row = await self.settle(at, row)
        if proposal is None:
            at, row = await self.propose(at, row, build, raw, nonce)
        missing = await self.prepare(row, manifest, raw)
        if not few(len(missing), self.agreement.roster):
            return await self.withdraw(at, row, missing)
        at, row = await self.commit(at, row, missing)
        return await self.finish(at, row, nonce)

    async def read_row(self) -> tuple[int, VersionRow]:
        """Return the deciding row and the table's version of it."""
        found = await self.agreement.entry.table.read(*VERSION_ROW)
        if found is None:
            return 0, first_row()
        await self.agreement.adopt(found["value"], None)
        if self.agreement.row["version"] != found["value"]["version"]:
            raise StoreUnavailable("the roster of the row cannot be read")
        return found["version"], found["value"]

    async def write_row(
        self, at: int, row: VersionRow, writes: tuple[Write, ...] = ()
    ) -> tuple[int, VersionRow]:
        """Write the deciding row over the version that was read."""
        check = Check(*VERSION_ROW, at)
        write = Write(*VERSION_ROW, row)
        await self.agreement.entry.table.transact([check], [write, *writes])
        return at + 1, row

    async def propose(
        self, at: int, row: VersionRow, build: int, raw: bytes, nonce: str
    ) -> tuple[int, VersionRow]:
        """Store the manifest and write the proposal into the row."""
        digest = await self.agreement.objects.put(raw)
        self.agreement.keep(digest, raw)
        name = self.agreement.member.name
        proposal = Proposal(build=build, digest=digest, entry=name, nonce=nonce)
        return await self.write_row(at, row | {"proposal": proposal})

    async def withdraw_abandoned(self, at: int, row: VersionRow) -> None:
        """Withdraw the proposal of an entry that did not finish it in time."""
        now = self.agreement.entry.clock.monotonic()
        nonce = row["proposal"]["nonce"]
        if self.seen_proposal[0] != nonce:
            self.seen_proposal = (nonce, now)
        elif now - self.seen_proposal[1] > ABANDONED_SECONDS:
            await self.write_row(at, row | {"proposal": None})
            raise StoreConflict(*VERSION_ROW)

    async def withdraw(
        self, at: int, row: VersionRow, missing: list[Member]
    ) -> ChangeReport:
        """Withdraw a proposal that too few entries have taken over."""
        build = row["proposal"]["build"]
        await self.write_row(at, row | {"proposal": None})
        names = ", ".join(member.name for member in missing)
        detail = f"no answer from {names}"
        return ChangeReport(NOT_IN_FORCE, row["version"], build, detail)

    async def prepare(
        self, row: VersionRow, manifest: ManifestDocument, raw: bytes
    ) -> list[Member]:
        """Let the roster take over a proposed manifest.

        Returns:
            The entries that have not, and that may still be running.
        """
        digest = row["proposal"]["digest"]
        agreement = self.agreement
        whole = {"digest": digest, "base": "", "body": raw}
        first = whole
        current = agreement.entry.configuration
        if current is not None and current.digest == row["digest"]:
            body = msgspec.json.encode(make_delta(current.manifest, manifest))
            first = {"digest": digest, "base": row["digest"], "body": body}
        agreement.prepared = digest

        async def ask(member: Member) -> bool:
            reply = await self.ask(member, agreement.frame(PREPARE, **first))
            if reply.prepared != digest:
                reply = await self.ask(member, agreement.frame(PREPARE, **whole))
            return reply.prepared == digest

        return await self.ask_until(agreement.roster, ask, PREPARE_SECONDS)

    async def ask(self, member: Member, frame: Frame) -> Frame:
        """Ask one entry of the roster.

        Raises:
            ConnectionFailed: No answer.
        """
        return await self.agreement.peers.ask(member, frame)

    async def ask_until(self, roster: list[Member], ask, seconds: float):
        """Ask all entries of a roster until each has agreed or time is over.

        Returns:
            The entries that have not agreed and that may still be running.
        """
        own = self.agreement.member.name
        missing = {member.name: member for member in roster if member.name != own}

        async def ask_one(member: Member) -> None:
            try:
                if await ask(member):
                    missing.pop(member.name, None)
            except ConnectionFailed:
                pass

        with trio.move_on_after(seconds):
            while missing:
                async with trio.open_nursery() as nursery:
                    for member in list(missing.values()):
                        nursery.start_soon(ask_one, member)
                if missing:
                    await trio.sleep(ROUND_SECONDS)
        return [member for member in missing.values() if not await self.gone(member)]

    async def gone(self, member: Member) -> bool:
        """Whether the platform no longer lists the VM of an entry.

        The list lags, so it says nothing of an entry that has joined of late,
        and nothing at all while this entry itself is not on it.
        """
        age = self.agreement.entry.clock.now().timestamp() - member.joined
        if age < VM_LIST_LAG_SECONDS:
            return False
        try:
            vms = await self.agreement.objects.list_vms()
        except StoreUnavailable:
            return False
        names = {vm["name"] for vm in vms}
        return self.agreement.member.name in names and member.name not in names

    async def commit(
        self, at: int, row: VersionRow, missing: list[Member]
    ) -> tuple[int, VersionRow]:
        """Commit a proposal; entries that it passes leave the roster."""
        proposal = row["proposal"]
        names = {member.name for member in missing}
        roster = [m for m in self.agreement.roster if m.name not in names]
        new = row | {
            "build": proposal["build"],
            "digest": proposal["digest"],
            "entry": proposal["entry"],
            "changes": [
                Committed(proposal["nonce"], row["version"] + 1),
                *row["changes"],
            ][:KEPT_CHANGES],
            "proposal": None,
        }
        return await self.write_version(at, new, roster)

    async def write_version(
        self, at: int, row: VersionRow, roster: list[Member]
    ) -> tuple[int, VersionRow]:
        """Write the next version, with its roster if that has changed."""
        version = row["version"] + 1
        old = row["roster_version"]
        row = row | {
            "version": version,
            "old_roster_version": old,
            "settled": False,
        }
        writes: tuple[Write, ...] = ()
        if roster != self.agreement.roster:
            row["roster_version"] = version
            writes = (Write("configuration", roster_key(version), roster),)
        at, row = await self.write_row(at, row, writes)
        return at, row

    async def finish(self, at: int, row: VersionRow, nonce: str) -> ChangeReport:
        """Settle a committed change and report it.

        One that a later change has replaced was in force before that began.
        """
        version = version_of(row, nonce)
        if row["changes"][0][0] != nonce:
            detail = f"was in force until build {row['build']} replaced it"
            return ChangeReport(IN_FORCE, version, row["build"], detail)
        if not row["settled"]:
            at, row = await self.settle(at, row)
        detail = f"applied at '{row['entry']}'"
        return ChangeReport(IN_FORCE, row["version"], row["build"], detail)

    async def settle(self, at: int, row: VersionRow) -> tuple[int, VersionRow]:
        """Tell a version to the roster before it until it is in force.

        In force means that no group of entries that do not know it is large
        enough to admit requests, and that none still holds an older permit.

        Raises:
            StoreConflict: Another entry has settled it meanwhile.
            StoreUnavailable: No answer.
        """
        old = await self.agreement.read_roster(row["old_roster_version"])
        roster = await self.agreement.read_roster(row["roster_version"])
        if old is None or roster is None:
            raise StoreUnavailable("the roster cannot be read")
        await self.agreement.adopt(row, roster)
        body = msgspec.json.encode(Decided(row=row, roster=roster))

        async def tell(member: Member) -> bool:
            reply = await self.ask(member, self.agreement.frame(COMMIT, body=body))
            # Another run of the entry proves that the one before has ended.
            another = reply.incarnation != member.incarnation
            return another or reply.committed >= row["version"]

        missing = await self.ask_until(old, tell, PREPARE_SECONDS)
        while not few(len(missing), old) and missing:
            await trio.sleep(ROUND_SECONDS)
            missing = await self.ask_until(old, tell, PREPARE_SECONDS)
        if missing:
            await trio.sleep(FENCE_SECONDS)
        return await self.write_row(at, row | {"settled": True})


def version_of(row: VersionRow, nonce: str) -> int:
    """Return the version of a committed change; 0 when it is not among the last."""
    for committed_nonce, version in row["changes"]:
        if committed_nonce == nonce:
            return version
    return 0
