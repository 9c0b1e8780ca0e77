"""Stand-in of the platform: table service, object store and VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.platform.objects import sha256_digest
from pistachioreach.platform.wire import Check, Row, VmEntry, Write

if TYPE_CHECKING:
    from random import Random

__all__ = ["FakePlatform"]


class FakePlatform:
    """A platform in memory; also a table and object client by itself.

    Args:
        random: Source of the lost answers.
    """

    def __init__(self, random: Random) -> None:
        #: Source of the lost answers.
        self.random = random
        #: Rows by table and key.
        self.rows: dict[tuple[str, str], Row] = {}
        #: Highest version that a row had, kept after a delete.
        self.versions: dict[tuple[str, str], int] = {}
        #: Objects by digest.
        self.objects: dict[str, bytes] = {}
        #: The VM list.
        self.vm_list: list[VmEntry] = []
        #: Whether no call is answered and none takes effect.
        self.down = False
        #: Seconds that each call takes.
        self.call_delay_seconds = 0.0
        #: Share of writes, 0 to 1, whose answer is lost after they take effect.
        self.lost_response_ratio = 0.0
        #: Seconds by which a write whose answer is lost takes effect late.
        self.late_write_seconds = 0.0
        #: Transactions that took effect.
        self.transactions = 0
        #: Reads answered.
        self.reads = 0

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply all writes if all checks hold."""
        await self.answer_delay()
        lost = (
            self.lost_response_ratio and self.random.random() < self.lost_response_ratio
        )
        if lost and self.late_write_seconds:
            await trio.sleep(self.late_write_seconds)
        self.apply(checks, writes)
        if lost:
            raise StoreUnavailable("the answer was lost after the write")

    def apply(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply a transaction at once.

        Raises:
            StoreConflict: A check did not hold.
        """
        for table, key, version in checks:
            row = self.rows.get((table, key))
            if (row["version"] if row else 0) != version:
                raise StoreConflict(table, key)
        for table, key, value in writes:
            self.write(table, key, value)
        self.transactions += 1

    def write(self, table: str, key: str, value: Any) -> None:
        """Write or delete one row."""
        if value is None:
            self.rows.pop((table, key), None)
            return
        version = self.versions.get((table, key), 0) + 1
        self.versions[table, key] = version
        self.rows[table, key] = Row(version=version, value=value)

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None when it is absent."""
        await self.answer_delay()
        self.reads += 1
        return self.rows.get((table, key))

    async def put(self, raw: bytes) -> str:
        """Store bytes and return their digest."""
        await self.answer_delay()
        digest = sha256_digest(raw)
        self.objects[digest] = raw
        return digest

    async def get(self, digest: str) -> bytes:
        """Return the bytes of a digest."""
        await self.answer_delay()
        if digest not in self.objects:
            raise StoreUnavailable(f"object '{digest}' is absent")
        return self.objects[digest]

    async def list_vms(self) -> list[VmEntry]:
        """Return the VM list."""
        await self.answer_delay()
        return list(self.vm_list)

    async def answer_delay(self) -> None:
        """Take the time of one call, or fail during an outage."""
        if self.call_delay_seconds:
            await trio.sleep(self.call_delay_seconds)
        else:
            await trio.lowlevel.checkpoint()
        if self.down:
            raise StoreUnavailable("the platform is down")
