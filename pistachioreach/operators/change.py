"""Changes of the configuration: decided by one row of the table service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypedDict

import trio
from loguru import logger

from pistachioreach.configuration import index_manifest
from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.manifest import decode_manifest
from pistachioreach.platform.wire import Check, Write

if TYPE_CHECKING:
    from pistachioreach.entry import Entry
    from pistachioreach.manifest import ManifestDocument
    from pistachioreach.platform.objects import ObjectClient

__all__ = ["ChangeReport", "Changes", "VersionRow"]

#: Table and key of the row that decides.
VERSION_ROW = ("configuration", "current")
#: Seconds between reads of the row.
POLL_SECONDS = 1.0
#: Seconds within which a change must be decided.
CHANGE_SECONDS = 4.0


class VersionRow(TypedDict):
    """Value of the row that decides which manifest is in force.

    Attributes:
        version: Rises by one with each change.
        build: Build number of the manifest.
        digest: SHA-256 of the manifest, its name in the object store.
        entry: Entry that made the change.
        nonce: Names the change, to settle a lost answer.
    """

    version: int
    build: int
    digest: str
    entry: str
    nonce: str


class ChangeReport(NamedTuple):
    """What an operator is told about a change.

    Attributes:
        result: `in force`, `not in force`, `conflict` or `unknown`.
        version: Version of the change, or the one that stands in its way.
        build: Build number of that version.
        detail: Who won, who was missing, or what to do.
    """

    result: str
    version: int
    build: int
    detail: str


class Changes:
    """Makes changes and follows those of other entries.

    Args:
        entry: The entry.
        objects: Client of the object store.
    """

    def __init__(self, entry: Entry, objects: ObjectClient) -> None:
        #: The entry.
        self.entry = entry
        #: Client of the object store.
        self.objects = objects

    async def apply(self, manifest: ManifestDocument, raw: bytes) -> ChangeReport:
        """Put a manifest in force.

        Args:
            manifest: The manifest, checked.
            raw: Its canonical JSON.
        """
        nonce = self.entry.nonce()
        build = manifest["build"]
        with trio.move_on_after(CHANGE_SECONDS):
            while True:
                try:
                    return await self.propose(manifest, raw, nonce)
                except StoreConflict:
                    continue
                except StoreUnavailable as error:
                    logger.warning("change {}: {}", nonce, error)
                    await trio.sleep(self.entry.random.uniform(0.05, 0.3))
        detail = "the table service gave no answer; `pistachioreach status` settles it"
        return ChangeReport("unknown", 0, build, detail)

    async def propose(
        self, manifest: ManifestDocument, raw: bytes, nonce: str
    ) -> ChangeReport:
        """Write the row, unless a newer build stands in it.

        Raises:
            StoreConflict: Another change was written meanwhile.
            StoreUnavailable: No answer; the row may have been written.
        """
        row = await self.entry.table.read(*VERSION_ROW)
        current: VersionRow | None = row["value"] if row else None
        if current is not None and current["nonce"] == nonce:
            return await self.adopt(current)
        if current is not None and manifest["build"] <= current["build"]:
            detail = f"build {current['build']} was applied at '{current['entry']}'"
            version = current["version"]
            return ChangeReport("conflict", version, current["build"], detail)
        digest = await self.objects.put(raw)
        new = VersionRow(
            version=current["version"] + 1 if current else 1,
            build=manifest["build"],
            digest=digest,
            entry=self.entry.name,
            nonce=nonce,
        )
        check = Check(*VERSION_ROW, row["version"] if row else 0)
        await self.entry.table.transact([check], [Write(*VERSION_ROW, new)])
        return await self.adopt(new)

    async def adopt(self, row: VersionRow) -> ChangeReport:
        """Put the manifest of a row in force at this entry."""
        current = self.entry.configuration
        if current is None or row["version"] > current.version:
            manifest = decode_manifest(await self.objects.get(row["digest"]))
            configuration = index_manifest(row["version"], row["digest"], manifest)
            self.entry.activate(configuration)
        detail = f"applied at '{row['entry']}'"
        return ChangeReport("in force", row["version"], row["build"], detail)

    async def follow(self) -> None:
        """Adopt the changes of other entries, for ever."""
        while True:
            try:
                row = await self.entry.table.read(*VERSION_ROW)
                if row is not None:
                    await self.adopt(row["value"])
            except StoreUnavailable as error:
                logger.warning("configuration not read: {}", error)
            await trio.sleep(POLL_SECONDS)
