"""Fake of the platform: table service, object store and VM list."""

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
    """Platform in memory, which is also a client of its tables and objects.

    Args:
        random: Random source that decides which responses are lost.
    """

    def __init__(self, random: Random) -> None:
        #: Random source that decides which responses are lost.
        self.random = random
        #: Rows by table and key.
        self.rows: dict[tuple[str, str], Row] = {}
        #: Highest version that each row had, by table and key; kept after a delete.
        self.versions: dict[tuple[str, str], int] = {}
        #: Objects by digest.
        self.objects: dict[str, bytes] = {}
        #: Entries of the VM list.
        self.vm_list: list[VmEntry] = []
        #: Whether an outage is simulated: every call fails without taking effect.
        self.down = False
        #: Duration of each call in seconds.
        self.call_delay_seconds = 0.0
        #: Share of transactions, from 0 to 1, whose response is lost although they take
        #: effect.
        self.lost_response_ratio = 0.0
        #: Delay in seconds before a transaction whose response is lost takes effect.
        self.late_write_seconds = 0.0
        #: Number of transactions that took effect.
        self.transactions = 0
        #: Number of reads that got a response.
        self.reads = 0

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply all writes if all checks hold.

        Raises:
            StoreConflict: A check did not hold.
            StoreUnavailable: The platform is down, or the response was lost after the
                writes took effect.
        """
        await self.simulate_call()
        lost = (
            self.lost_response_ratio and self.random.random() < self.lost_response_ratio
        )
        if lost and self.late_write_seconds:
            await trio.sleep(self.late_write_seconds)
        self.apply(checks, writes)
        if lost:
            raise StoreUnavailable("the answer was lost after the write")

    def apply(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply a transaction without delay or fault.

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
        """Write one row, or delete the row if the value is None."""
        if value is None:
            self.rows.pop((table, key), None)
            return
        version = self.versions.get((table, key), 0) + 1
        self.versions[table, key] = version
        self.rows[table, key] = Row(version=version, value=value)

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if the row does not exist."""
        await self.simulate_call()
        self.reads += 1
        return self.rows.get((table, key))

    async def put(self, raw: bytes) -> str:
        """Store an object and return its digest."""
        await self.simulate_call()
        digest = sha256_digest(raw)
        self.objects[digest] = raw
        return digest

    async def get(self, digest: str) -> bytes:
        """Return the object with a digest.

        Raises:
            StoreUnavailable: The object does not exist, or the platform is down.
        """
        await self.simulate_call()
        if digest not in self.objects:
            raise StoreUnavailable(f"object '{digest}' is absent")
        return self.objects[digest]

    async def list_vms(self) -> list[VmEntry]:
        """Return the VM list."""
        await self.simulate_call()
        return list(self.vm_list)

    async def simulate_call(self) -> None:
        """Wait for the duration of one call, then fail if the platform is down.

        Raises:
            StoreUnavailable: The platform is down.
        """
        if self.call_delay_seconds:
            await trio.sleep(self.call_delay_seconds)
        else:
            await trio.lowlevel.checkpoint()
        if self.down:
            raise StoreUnavailable("the platform is down")
