"""The lease that makes one entry the placer, as a row of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, NotRequired, TypedDict

import msgspec
from loguru import logger

from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.platform.store import StoreWrite

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.platform.store import StoreClient, StoredRow

__all__ = ["LEASE_KEY", "LEASE_TABLE", "Lease", "Loading"]

#: Table and key of the lease's row.
LEASE_TABLE = "leases"
LEASE_KEY = "placer"
#: Seconds that the lease lasts after it was written.
LEASE_SECONDS = 3.0
#: Seconds before the end at which the holder gives no more orders; an order is
#: answered within as many.
LEASE_MARGIN = 0.8
#: Seconds between renewals, so that one may fail.
RENEW_SECONDS = 0.9
#: Shortest wait in seconds before the lease is asked for again.
SHORTEST_WAIT = 0.3


class Loading(NamedTuple):
    """An order that an engine has begun.

    Attributes:
        first: First layer that it is to hold.
        last: The layer after the last one.
        until: Time after which the engine's own word counts again: monotonic in
            the lease, of the store's clock in the row.
        born: Start of the engine that was given the order.
        orders: Orders that this run of the engine has begun, this one included.
    """

    first: int
    last: int
    until: float
    born: int
    orders: int

    @property
    def layers(self) -> tuple[int, int]:
        """Range that the engine is to hold."""
        return self.first, self.last


class LeaseRow(TypedDict):
    """Value of the lease's row.

    Attributes:
        holder: Name and incarnation of the entry that holds it.
        fence: Fencing token; rises with each new holder.
        until: Time of the store's clock at which it ends.
        loading: Orders under way by engine, for the next holder. Rows of earlier
            releases lack it.
    """

    holder: str
    fence: int
    until: float
    loading: NotRequired[dict[str, Loading]]


class Lease:
    """The lease, as one entry sees it.

    Args:
        holder: Name and incarnation of this entry.
        store: The store.
        clock: Clock that also counts while the VM is suspended.
    """

    def __init__(self, holder: str, store: StoreClient, clock: Clock) -> None:
        #: Name and incarnation of this entry.
        self.holder = holder
        #: The store.
        self.store = store
        #: Clock that also counts while the VM is suspended.
        self.clock = clock
        #: Fencing token, while this entry holds the lease.
        self.fence = 0
        #: Monotonic time until which it holds the lease.
        self.until = float("-inf")
        #: Version of the row that this entry last wrote or read.
        self.version = 0
        #: Time of the store's clock, and monotonic time at which it was asked for.
        self.store_now = 0.0
        self.store_read = 0.0
        #: Monotonic time at which another entry's lease ends, as last read.
        self.other_until = float("-inf")
        #: Orders under way by engine; a new holder takes over those of the last.
        self.loading: dict[str, Loading] = {}

    def held(self) -> bool:
        """Whether orders may be given now."""
        return self.clock.monotonic() < self.until - LEASE_MARGIN

    async def renew(self) -> bool:
        """Take or renew the lease, if no other entry holds it.

        Returns:
            Whether this entry holds it.
        """
        try:
            if self.held() and await self.extend():
                return True
            await self.take()
        except StoreUnavailable as error:
            logger.bind(reason=str(error)).warning("lease not renewed")
        return self.held()

    async def extend(self) -> bool:
        """Write the row again; return whether nobody else has written it.

        Raises:
            StoreUnavailable: No answer; the row may have been written.
        """
        asked = self.clock.monotonic()
        now = self.store_now + asked - self.store_read
        try:
            await self.write(now, asked, self.fence)
        except StoreConflict:
            # Perhaps its own write whose answer was lost.
            self.drop("the row has changed")
            return False
        return True

    async def take(self) -> None:
        """Take the lease if it is free.

        Raises:
            StoreUnavailable: No answer; the row may have been written.
        """
        asked = self.clock.monotonic()
        row, now = await self.read()
        if not self.free(row, now):
            return
        self.store_now, self.store_read = now, asked
        value = decode_lease(row)
        self.loading = shifted(value.get("loading", {}) if value else {}, asked - now)
        try:
            await self.write(now, asked, self.fence + 1)
        except StoreConflict:
            return
        logger.bind(
            fence=self.fence, holder=self.holder, loading=sorted(self.loading)
        ).info("lease taken")

    async def read(self) -> tuple[StoredRow | None, float]:
        """Return the row and the time of the store's clock."""
        snapshot = await self.store.read(LEASE_TABLE)
        rows = {row.key: row for row in snapshot.rows}
        return rows.get(LEASE_KEY), snapshot.store_time

    def free(self, row: StoredRow | None, now: float) -> bool:
        """Whether the lease may be taken."""
        self.version = row.version if row is not None else 0
        value = decode_lease(row)
        self.fence = value["fence"] if value else 0
        if value is None or value["holder"] == self.holder:
            return True
        self.other_until = self.clock.monotonic() + value["until"] - now
        return now >= value["until"]

    def wait(self) -> float:
        """Return the seconds until the lease is to be renewed or asked for."""
        if self.held():
            return RENEW_SECONDS
        left = self.other_until - self.clock.monotonic()
        return min(LEASE_SECONDS, max(SHORTEST_WAIT, left))

    async def release(self) -> None:
        """Let the lease end now, so that another entry need not wait for it.

        Raises:
            StoreConflict: Another entry has taken it.
            StoreUnavailable: No answer.
        """
        if self.held():
            # The end lies at the beginning of the store's clock, whose present
            # time is known only to a few milliseconds.
            asked = self.clock.monotonic() - LEASE_SECONDS
            await self.write(-LEASE_SECONDS, asked, self.fence)

    async def write(self, now: float, asked: float, fence: int) -> None:
        """Write the row under the condition that nobody else has.

        Args:
            now: Time of the store's clock.
            asked: Monotonic time from which the lease counts, so that it ends
                here before it ends at the store.
            fence: Fencing token.

        Raises:
            StoreConflict: Another entry has written it.
            StoreUnavailable: No answer; the row may have been written.
        """
        value = LeaseRow(
            holder=self.holder,
            fence=fence,
            until=now + LEASE_SECONDS,
            loading=shifted(self.loading, self.store_now - self.store_read),
        )
        raw = msgspec.json.encode(value)
        write = StoreWrite(LEASE_TABLE, LEASE_KEY, self.version, raw)
        snapshot = await self.store.write([write])
        self.version = snapshot.version
        self.fence = fence
        self.until = asked + LEASE_SECONDS

    def drop(self, reason: str) -> None:
        """Hold the lease no longer."""
        if self.until > float("-inf"):
            logger.bind(fence=self.fence, reason=reason).warning("lease lost")
        self.until = float("-inf")


def shifted(loading: dict[str, Loading], seconds: float) -> dict[str, Loading]:
    """Return orders under way with their times in another clock."""
    return {
        engine: order._replace(until=order.until + seconds)
        for engine, order in loading.items()
    }


def decode_lease(row: StoredRow | None) -> LeaseRow | None:
    """Decode the lease's row; one that cannot be read counts as absent."""
    if row is None or not row.value:
        return None
    try:
        return msgspec.json.decode(row.value, type=LeaseRow)
    except msgspec.DecodeError as error:
        logger.bind(reason=str(error)).warning("lease unreadable")
        return None
