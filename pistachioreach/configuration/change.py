"""Two-phase commit of changes to the manifest and the roster."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from pistachioreach.configuration.agreement import CommittedState
from pistachioreach.configuration.row import (
    PERMIT_SECONDS,
    VERSION_ROW,
    CommittedChange,
    Proposal,
    VersionRow,
    initial_row,
    is_below_quorum,
    roster_key,
)
from pistachioreach.errors import ConnectionFailed, StoreConflict, StoreUnavailable
from pistachioreach.manifest.delta import make_delta
from pistachioreach.peers.wire import COMMIT, PREPARE
from pistachioreach.platform.wire import Check, Write

if TYPE_CHECKING:
    from pistachioreach.configuration.agreement import ConfigurationReplica
    from pistachioreach.configuration.row import Member
    from pistachioreach.manifest import ManifestDocument
    from pistachioreach.peers.wire import Frame

__all__ = ["ChangeCoordinator", "ChangeReport"]

#: Seconds within which an operator receives the result of a change.
CHANGE_TIMEOUT_SECONDS = 4.0
#: Seconds that the entries have to acknowledge a proposal or a committed version.
ACKNOWLEDGE_TIMEOUT_SECONDS = 0.7
#: Seconds after which every permit under an older version has expired; the extra
#: tenth allows for clocks that run at different rates.
FENCE_SECONDS = PERMIT_SECONDS * 1.1
#: Seconds after which the proposal of an entry that has failed is withdrawn, counted
#: from when this entry first saw the proposal.
PROPOSAL_TIMEOUT_SECONDS = 5.0
#: Seconds between rounds of requests to entries that have not acknowledged.
RETRY_INTERVAL_SECONDS = 0.1
#: Maximum delay in seconds of the platform's list of VMs.
VM_LIST_LAG_SECONDS = 60.0

#: Number of recent changes recorded in the version row; an entry looks up the outcome
#: of its own change there within the 4 s of CHANGE_TIMEOUT_SECONDS.
MAX_RECORDED_CHANGES = 16

#: Results of a change, as reported to the operator.
IN_FORCE = "in force"
NOT_IN_FORCE = "not in force"
CONFLICT = "conflict"
UNKNOWN = "unknown"


class ChangeReport(NamedTuple):
    """Result of a change, as reported to the operator.

    Attributes:
        result: `in force`, `not in force`, `conflict` or `unknown`.
        version: Version that the change created if it is in force, else the
            committed version; 0 if the result is unknown.
        build: Build number in force, proposed or requested, depending on the result.
        detail: Which entry applied or is applying a build, which entries did not
            answer, or how the operator can learn the outcome.
    """

    result: str
    version: int
    build: int
    detail: str


class ChangeCoordinator:
    """Coordinates changes of the manifest and of the roster.

    A change of the manifest is proposed in the version row, sent to the entries of
    the roster (prepare), committed to the version row, and sent again until no entry
    can admit requests under an older version (settle).

    Args:
        replica: This entry's replica of the committed configuration.
    """

    def __init__(self, replica: ConfigurationReplica) -> None:
        #: This entry's replica of the committed configuration.
        self.replica = replica
        #: Nonce of the last proposal of another entry that was seen, and the monotonic
        #: time in seconds at which it was first seen.
        self.seen_proposal: tuple[str, float] = ("", 0.0)

    async def apply(self, manifest: ManifestDocument, raw: bytes) -> ChangeReport:
        """Put a manifest in force at all entries or at none.

        Args:
            manifest: Validated manifest.
            raw: The manifest as canonical JSON.
        """
        entry = self.replica.entry
        nonce = entry.new_id()
        with trio.move_on_after(CHANGE_TIMEOUT_SECONDS):
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
        """Attempt a change, resuming from the state recorded in the version row.

        Args:
            manifest: Validated manifest.
            raw: The manifest as canonical JSON.
            nonce: Identifier of the change, the same for every attempt.

        Raises:
            StoreConflict: Another entry wrote the version row meanwhile; the change
                can be attempted again.
            StoreUnavailable: The store did not answer; the write may have taken
                effect.
        """
        if not self.replica.is_member():
            raise StoreUnavailable("this entry is not in the roster yet")
        store_version, row = await self.read_row()
        if committed_version(row, nonce):
            return await self.settle_and_report(store_version, row, nonce)
        build = manifest["build"]
        proposal = row["proposal"]
        if proposal is not None and proposal["nonce"] != nonce:
            await self.withdraw_abandoned(store_version, row)
            proposer, proposed_build = proposal["entry"], proposal["build"]
            detail = f"build {proposed_build} is being applied at '{proposer}'"
            return ChangeReport(CONFLICT, row["version"], proposed_build, detail)
        if build <= row["build"]:
            detail = f"build {row['build']} was applied at '{row['entry']}'"
            return ChangeReport(CONFLICT, row["version"], row["build"], detail)
        if not row["settled"]:
            store_version, row = await self.settle(store_version, row)
        if proposal is None:
            store_version, row = await self.propose(
                store_version, row, build, raw, nonce
            )
        missing = await self.prepare(row, manifest, raw)
        if not is_below_quorum(len(missing), self.replica.roster):
            return await self.withdraw(store_version, row, missing)
        store_version, row = await self.commit(store_version, row, missing)
        return await self.settle_and_report(store_version, row, nonce)

    async def read_row(self) -> tuple[int, VersionRow]:
        """Read the version row and adopt it.

        Returns:
            The store's version number of the row, and the value of the row.

        Raises:
            StoreUnavailable: The store did not answer.
        """
        stored = await self.replica.entry.table.read(*VERSION_ROW)
        if stored is None:
            return 0, initial_row()
        await self.replica.adopt(stored["value"], None)
        if self.replica.row["version"] != stored["value"]["version"]:
            raise StoreUnavailable("the roster of the row cannot be read")
        return stored["version"], stored["value"]

    async def write_row(
        self, store_version: int, row: VersionRow, writes: tuple[Write, ...] = ()
    ) -> tuple[int, VersionRow]:
        """Write the version row if it is unchanged since it was read.

        Args:
            store_version: The store's version number of the row that was read.
            row: New value of the row.
            writes: Further rows to write in the same transaction.

        Returns:
            The store's new version number of the row, and the value of the row.
        """
        check = Check(*VERSION_ROW, store_version)
        write = Write(*VERSION_ROW, row)
        await self.replica.entry.table.transact([check], [write, *writes])
        return store_version + 1, row

    async def propose(
        self, store_version: int, row: VersionRow, build: int, raw: bytes, nonce: str
    ) -> tuple[int, VersionRow]:
        """Upload a manifest and record its proposal in the version row."""
        digest = await self.replica.objects.put(raw)
        self.replica.cache_manifest(digest, raw)
        name = self.replica.member.name
        proposal = Proposal(build=build, digest=digest, entry=name, nonce=nonce)
        return await self.write_row(store_version, row | {"proposal": proposal})

    async def withdraw_abandoned(self, store_version: int, row: VersionRow) -> None:
        """Withdraw the proposal of another entry if it was not completed in time.

        Raises:
            StoreConflict: The proposal was withdrawn, so the caller must read the
                version row again.
        """
        now = self.replica.entry.clock.monotonic()
        nonce = row["proposal"]["nonce"]
        if self.seen_proposal[0] != nonce:
            self.seen_proposal = (nonce, now)
        elif now - self.seen_proposal[1] > PROPOSAL_TIMEOUT_SECONDS:
            await self.write_row(store_version, row | {"proposal": None})
            raise StoreConflict(*VERSION_ROW)

    async def withdraw(
        self, store_version: int, row: VersionRow, missing: list[Member]
    ) -> ChangeReport:
        """Withdraw this entry's proposal because too few entries acknowledged it.

        Args:
            store_version: The store's version number of the version row.
            row: Version row with the proposal.
            missing: Entries that have not acknowledged the proposal.
        """
        build = row["proposal"]["build"]
        await self.write_row(store_version, row | {"proposal": None})
        names = ", ".join(member.name for member in missing)
        detail = f"no answer from {names}"
        return ChangeReport(NOT_IN_FORCE, row["version"], build, detail)

    async def prepare(
        self, row: VersionRow, manifest: ManifestDocument, raw: bytes
    ) -> list[Member]:
        """Send a proposed manifest to the entries of the roster.

        Each entry first gets a delta, if this entry has the base of the delta in
        force, and then the full manifest if it could not apply the delta.

        Returns:
            Entries that have not stored the manifest and may still be running.
        """
        digest = row["proposal"]["digest"]
        replica = self.replica
        full_fields = {"digest": digest, "base": "", "body": raw}
        first_fields = full_fields
        current = replica.entry.configuration
        if current is not None and current.digest == row["digest"]:
            body = msgspec.json.encode(make_delta(current.manifest, manifest))
            first_fields = {"digest": digest, "base": row["digest"], "body": body}
        replica.prepared_digest = digest

        async def send_prepare(member: Member) -> bool:
            reply = await self.request(
                member, replica.make_frame(PREPARE, **first_fields)
            )
            if reply.prepared != digest:
                reply = await self.request(
                    member, replica.make_frame(PREPARE, **full_fields)
                )
            return reply.prepared == digest

        return await self.collect_acknowledgements(
            replica.roster, send_prepare, ACKNOWLEDGE_TIMEOUT_SECONDS
        )

    async def request(self, member: Member, frame: Frame) -> Frame:
        """Send a frame to one entry of the roster and return the reply.

        Raises:
            ConnectionFailed: The entry did not answer.
        """
        return await self.replica.peers.request(member, frame)

    async def collect_acknowledgements(
        self, roster: list[Member], request, seconds: float
    ):
        """Send a request to all entries of a roster, repeatedly until all acknowledge.

        Args:
            roster: Entries to send to; this entry is skipped.
            request: Sends the request to one entry and returns whether the entry
                acknowledged.
            seconds: Seconds after which the requests stop.

        Returns:
            Entries that have not acknowledged and may still be running.
        """
        own = self.replica.member.name
        missing = {member.name: member for member in roster if member.name != own}

        async def request_one(member: Member) -> None:
            try:
                if await request(member):
                    missing.pop(member.name, None)
            except ConnectionFailed:
                pass

        with trio.move_on_after(seconds):
            while missing:
                async with trio.open_nursery() as nursery:
                    for member in list(missing.values()):
                        nursery.start_soon(request_one, member)
                if missing:
                    await trio.sleep(RETRY_INTERVAL_SECONDS)
        return [
            member
            for member in missing.values()
            if not await self.is_vm_removed(member)
        ]

    async def is_vm_removed(self, member: Member) -> bool:
        """Whether the platform no longer lists the VM of an entry.

        The platform's list lags. Its contents are therefore ignored for an entry that
        joined within the lag, and for all entries while this entry itself is missing
        from the list.
        """
        age = self.replica.entry.clock.now().timestamp() - member.joined
        if age < VM_LIST_LAG_SECONDS:
            return False
        try:
            vms = await self.replica.objects.list_vms()
        except StoreUnavailable:
            return False
        names = {vm["name"] for vm in vms}
        return self.replica.member.name in names and member.name not in names

    async def commit(
        self, store_version: int, row: VersionRow, missing: list[Member]
    ) -> tuple[int, VersionRow]:
        """Commit a proposal and drop the entries that did not acknowledge it.

        Args:
            store_version: The store's version number of the version row.
            row: Version row with the proposal.
            missing: Entries to drop from the roster.
        """
        proposal = row["proposal"]
        names = {member.name for member in missing}
        roster = [m for m in self.replica.roster if m.name not in names]
        new_row = row | {
            "build": proposal["build"],
            "digest": proposal["digest"],
            "entry": proposal["entry"],
            "changes": [
                CommittedChange(proposal["nonce"], row["version"] + 1),
                *row["changes"],
            ][:MAX_RECORDED_CHANGES],
            "proposal": None,
        }
        return await self.write_version(store_version, new_row, roster)

    async def write_version(
        self, store_version: int, row: VersionRow, roster: list[Member]
    ) -> tuple[int, VersionRow]:
        """Write the next version, and its roster if the roster has changed."""
        version = row["version"] + 1
        old_roster_version = row["roster_version"]
        row = row | {
            "version": version,
            "old_roster_version": old_roster_version,
            "settled": False,
        }
        writes: tuple[Write, ...] = ()
        if roster != self.replica.roster:
            row["roster_version"] = version
            writes = (Write("configuration", roster_key(version), roster),)
        store_version, row = await self.write_row(store_version, row, writes)
        return store_version, row

    async def settle_and_report(
        self, store_version: int, row: VersionRow, nonce: str
    ) -> ChangeReport:
        """Settle a committed change and return its report.

        A change that a later one has replaced needs no settling: it was in force
        before the later change began.
        """
        version = committed_version(row, nonce)
        if row["changes"][0][0] != nonce:
            detail = f"was in force until build {row['build']} replaced it"
            return ChangeReport(IN_FORCE, version, row["build"], detail)
        if not row["settled"]:
            store_version, row = await self.settle(store_version, row)
        detail = f"applied at '{row['entry']}'"
        return ChangeReport(IN_FORCE, row["version"], row["build"], detail)

    async def settle(
        self, store_version: int, row: VersionRow
    ) -> tuple[int, VersionRow]:
        """Send a committed version to the entries of the previous roster.

        The version is settled, that is in force, once two conditions hold: the entries
        that do not know the version are too few to confirm an older one among
        themselves, and no entry holds a permit under an older version any more.

        Args:
            store_version: The store's version number of the version row.
            row: Version row of the committed version.

        Returns:
            The store's new version number of the row, and the settled row.

        Raises:
            StoreConflict: Another entry has written the version row meanwhile.
            StoreUnavailable: The store did not answer.
        """
        old_roster = await self.replica.read_roster(row["old_roster_version"])
        roster = await self.replica.read_roster(row["roster_version"])
        if old_roster is None or roster is None:
            raise StoreUnavailable("the roster cannot be read")
        await self.replica.adopt(row, roster)
        body = msgspec.json.encode(CommittedState(row=row, roster=roster))

        async def send_commit(member: Member) -> bool:
            reply = await self.request(
                member, self.replica.make_frame(COMMIT, body=body)
            )
            # A different incarnation proves that the previous process has ended.
            restarted = reply.incarnation != member.incarnation
            return restarted or reply.committed >= row["version"]

        missing = await self.collect_acknowledgements(
            old_roster, send_commit, ACKNOWLEDGE_TIMEOUT_SECONDS
        )
        while not is_below_quorum(len(missing), old_roster) and missing:
            await trio.sleep(RETRY_INTERVAL_SECONDS)
            missing = await self.collect_acknowledgements(
                old_roster, send_commit, ACKNOWLEDGE_TIMEOUT_SECONDS
            )
        if missing:
            await trio.sleep(FENCE_SECONDS)
        return await self.write_row(store_version, row | {"settled": True})


def committed_version(row: VersionRow, nonce: str) -> int:
    """Return the version that a change created, or 0 if it is not recorded."""
    for committed_nonce, version in row["changes"]:
        if committed_nonce == nonce:
            return version
    return 0
