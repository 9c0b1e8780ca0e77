"""Lease that elects one entry as the placer, stored as a row of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple, NotRequired, TypedDict

import msgspec
from loguru import logger
from msgspec import Meta

from pistachioreach.decoding import (
    LARGEST_ERA,
    LARGEST_INTEGER,
    MALFORMED_JSON_ERRORS,
)
from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.platform.store import UNKNOWN_ERA, Position, StoreWrite

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.platform.store import StoreClient, StoredRow

__all__ = ["LEASE_KEY", "LEASE_TABLE", "Lease", "PendingLoad"]

#: Table and key of the lease row.
LEASE_TABLE = "leases"
LEASE_KEY = "placer"
#: Duration of the lease from each write of the row, in seconds.
LEASE_SECONDS = 3.0
#: Time before the end of the lease in which the holder sends no more orders, in
#: seconds. An order is answered within this time.
LEASE_MARGIN_SECONDS = 0.8
#: Time between renewals, in seconds, so that one renewal may fail.
RENEW_SECONDS = 0.9
#: Minimum time between attempts to acquire the lease, in seconds.
MIN_RETRY_SECONDS = 0.3
#: Number of bits of a fencing token below the era of the store.
FENCE_COUNT_BITS = 32


#: Number of layers or orders, time in milliseconds, or fencing token.
Count = Annotated[int, Meta(ge=0, le=LARGEST_INTEGER)]


class PendingLoad(NamedTuple):
    """A load of layers that an engine has begun after an order.

    Attributes:
        first: First layer that the engine is to hold.
        last: Layer after the last one that the engine is to hold.
        until: Time from which on the layers in the engine's registration are used
            again: monotonic in `Lease`, by the store's clock in the row.
        started_ms: Start time of the engine process that got the order, in Unix
            milliseconds, or 0 if the engine registered none.
        orders: Number of orders that this engine process has begun, including this
            one.
    """

    first: Count
    last: Count
    until: float
    started_ms: Count
    orders: Count

    @property
    def layers(self) -> tuple[int, int]:
        """Range of layers that the engine is to hold."""
        return self.first, self.last


class LeaseRow(TypedDict):
    """Value of the lease row.

    Attributes:
        holder: Name and incarnation of the entry that holds the lease.
        fence: Fencing token, which increases with each new holder.
        until: Time at which the lease ends, by the store's clock.
        loading: Pending loads by engine, for the next holder. Rows of earlier
            releases lack this field.
        era: Era of the store in which the row was written. Rows of earlier releases
            lack this field.
    """

    holder: str
    fence: Count
    until: float
    loading: NotRequired[dict[str, PendingLoad]]
    era: NotRequired[Annotated[int, Meta(ge=UNKNOWN_ERA, le=LARGEST_ERA)]]


class Lease:
    """The lease, as one entry sees it.

    If the store comes back from an older copy, the row may name an earlier holder, and
    that of the present one may be lost. Only an entry that holds the lease acquires it
    again at once; the others wait until the lease of any holder has ended.

    Args:
        holder: Name and incarnation of this entry.
        store: Client of the store.
        clock: Clock that also advances while the VM is suspended.
        first_start: Whether the whole deployment starts for the first time. Otherwise a
            lease row that does not exist may have been lost in a restore.
    """

    def __init__(
        self, holder: str, store: StoreClient, clock: Clock, first_start: bool = True
    ) -> None:
        #: Name and incarnation of this entry.
        self.holder = holder
        #: Client of the store.
        self.store = store
        #: Clock that also advances while the VM is suspended.
        self.clock = clock
        #: Highest fencing token that this entry has written or read.
        self.fence = 0
        #: Monotonic time until which this entry holds the lease.
        self.held_until = float("-inf")
        #: Position of the lease row that this entry last wrote or read.
        self.position = Position(UNKNOWN_ERA, 0)
        #: Position of the row as last read, and the monotonic time at which this entry
        #: first read it there.
        self.seen_position = Position(UNKNOWN_ERA, 0)
        self.seen_at = float("-inf")
        #: Number of restores of the store that this entry has taken note of, and the
        #: monotonic time at which it did so last.
        self.restore_count = 0
        self.restored_at = float("-inf")
        #: Whether a row that does not exist may have been lost in a restore.
        self.missing_row_may_be_lost = not first_start
        #: Time of the store's clock, and the monotonic time at which that time was
        #: requested.
        self.store_time = 0.0
        self.store_time_at = 0.0
        #: Monotonic time at which the lease of another entry ends, as last read.
        self.other_held_until = float("-inf")
        #: Holder, and era of the row, for which a wait was last logged.
        self.logged_wait: tuple[str | None, int] | None = None
        #: Pending loads by engine. A new holder takes over those of the last holder.
        self.pending_loads: dict[str, PendingLoad] = {}

    def held(self) -> bool:
        """Return whether this entry may send orders now."""
        return self.clock.monotonic() < self.held_until - LEASE_MARGIN_SECONDS

    async def renew(self) -> bool:
        """Acquire or renew the lease, unless another entry holds it.

        Returns:
            Whether this entry holds the lease.
        """
        try:
            # A condition on a version of an earlier era may hold for another row.
            extendable = self.held() and self.position.era == self.store.era
            if extendable and await self.extend():
                return True
            await self.acquire()
        except StoreUnavailable as error:
            logger.bind(reason=str(error)).warning("lease not renewed")
        return self.held()

    async def extend(self) -> bool:
        """Write the row again to extend the lease.

        Returns:
            Whether no other write has changed the row. If one has, this entry no
            longer holds the lease.

        Raises:
            StoreUnavailable: The store did not answer; the row may have been written.
        """
        requested_at = self.clock.monotonic()
        now = self.store_time + requested_at - self.store_time_at
        try:
            await self.write(now, requested_at, self.fence)
        except StoreConflict:
            # The conflicting write may be this entry's own, if its answer was lost.
            # Where the store has been restored, the lease still ends as last written.
            if self.position.era == self.store.era:
                self.drop("the row has changed")
            return False
        return True

    async def acquire(self) -> None:
        """Acquire the lease if no other entry holds it.

        Raises:
            StoreUnavailable: The store did not answer; the row may have been written.
        """
        requested_at = self.clock.monotonic()
        row, era, now = await self.read()
        if not self.available(row, era, now):
            self.log_wait(row)
            return
        self.store_time, self.store_time_at = now, requested_at
        if not self.holds():
            value = decode_lease(row)
            self.pending_loads = shift_times(
                value.get("loading", {}) if value else {}, requested_at - now
            )
        try:
            await self.write(now, requested_at, next_fence(self.fence, era))
        except StoreConflict as error:
            logger.bind(reason=str(error), era=self.store.era).info("lease not taken")
            return
        logger.bind(
            fence=self.fence,
            era=era,
            holder=self.holder,
            loading=sorted(self.pending_loads),
        ).info("lease taken")

    def log_wait(self, row: StoredRow | None) -> None:
        """Log that the lease is not available, once for each holder and era."""
        value = decode_lease(row)
        holder = value["holder"] if value is not None else None
        if (holder, self.position.era) != self.logged_wait:
            self.logged_wait = holder, self.position.era
            logger.bind(
                holder=holder,
                position=self.position,
                seconds=round(self.other_held_until - self.clock.monotonic(), 3),
            ).info("lease not available")

    async def read(self) -> tuple[StoredRow | None, int, float]:
        """Return the lease row, or None, and the store's era and clock."""
        snapshot = await self.store.read(LEASE_TABLE)
        rows = {row.key: row for row in snapshot.rows}
        return rows.get(LEASE_KEY), snapshot.era, snapshot.store_time

    def holds(self) -> bool:
        """Return whether no other entry can have acquired the lease from this one."""
        return self.clock.monotonic() < self.held_until

    def note_restores(self) -> None:
        """Take note of the restores of the store that this entry has learned of."""
        if self.store.restore_count > self.restore_count:
            self.restore_count = self.store.restore_count
            self.restored_at = self.clock.monotonic()

    def available(self, row: StoredRow | None, era: int, now: float) -> bool:
        """Return whether this entry may acquire the lease.

        Also stores the row's position, its fencing token, and the end of another
        entry's lease. A holder wrote its row before this entry read it, so its lease
        ends within `LEASE_SECONDS` of that; a row that states a later end, or that
        cannot be read, counts for that long. Another program may have written it over
        the row of a holder who does not know of that yet. A row of an earlier era may
        be followed by one that is lost. Both waits count from the first read after
        the restore.

        Args:
            row: The lease row, or None if the row does not exist.
            era: Era of the store.
            now: Time of the store's clock.
        """
        self.note_restores()
        self.position = Position(era, row.version if row is not None else 0)
        value = decode_lease(row)
        if value is not None:
            self.fence = max(self.fence, value["fence"])
        read_at = self.clock.monotonic()
        if row is None and self.missing_row_may_be_lost:
            self.restored_at = read_at
        self.missing_row_may_be_lost = False
        if self.position != self.seen_position:
            self.seen_position, self.seen_at = self.position, read_at
        # The holder of a row of this era has waited for the restore already.
        is_current = value is not None and value.get("era") == era
        restore_end = self.restored_at + LEASE_SECONDS
        if read_at < restore_end and not is_current:
            self.other_held_until = restore_end
            return self.holds()
        if row is None or (value is not None and value["holder"] == self.holder):
            return True
        self.other_held_until = self.seen_at + LEASE_SECONDS
        if value is not None and value.get("era", era) == era:
            stated_end = read_at + value["until"] - now
            self.other_held_until = min(self.other_held_until, stated_end)
        return read_at >= self.other_held_until

    def renewal_delay(self) -> float:
        """Return the time until the next attempt to renew or acquire, in seconds."""
        if self.held():
            return RENEW_SECONDS
        remaining = self.other_held_until - self.clock.monotonic()
        return min(LEASE_SECONDS, max(MIN_RETRY_SECONDS, remaining))

    async def release(self) -> None:
        """End the lease now, so that another entry can acquire it without a wait.

        This entry no longer holds the lease from the start of the call, since the write
        may take effect at any time, also if the store does not answer.

        Raises:
            StoreConflict: Another entry has acquired the lease.
            StoreUnavailable: The store did not answer.
        """
        if self.held():
            # Writes the start of the store's clock as the end of the lease, since the
            # present time of that clock is known only to a few milliseconds.
            self.held_until = float("-inf")
            requested_at = self.clock.monotonic() - LEASE_SECONDS
            await self.write(-LEASE_SECONDS, requested_at, self.fence)

    async def write(self, now: float, requested_at: float, fence: int) -> None:
        """Write the lease row, provided that no other write has changed it.

        Args:
            now: Time of the store's clock.
            requested_at: Monotonic time from which the lease counts in this entry. It
                is no later than the write, so that the lease ends here before it ends
                in the store.
            fence: Fencing token.

        Raises:
            StoreConflict: Another write has changed the row, or the store has been
                restored since the row was read; the row may have been written.
            StoreUnavailable: The store did not answer; the row may have been written.
        """
        era, version = self.position
        if self.store.era != era:
            raise StoreConflict(LEASE_TABLE, LEASE_KEY)
        value = LeaseRow(
            holder=self.holder,
            fence=fence,
            until=now + LEASE_SECONDS,
            loading=shift_times(
                self.pending_loads, self.store_time - self.store_time_at
            ),
            era=era,
        )
        raw = msgspec.json.encode(value)
        write = StoreWrite(LEASE_TABLE, LEASE_KEY, version, raw)
        snapshot = await self.store.write([write])
        if snapshot.era != era:
            # The condition may have held for another row than the one that was read.
            raise StoreConflict(LEASE_TABLE, LEASE_KEY)
        self.position = snapshot.position
        self.fence = fence
        self.held_until = requested_at + LEASE_SECONDS

    def drop(self, reason: str) -> None:
        """Stop holding the lease in this entry, without a write to the store.

        Args:
            reason: Reason for the log.
        """
        if self.held_until > float("-inf"):
            logger.bind(fence=self.fence, reason=reason).warning("lease lost")
        self.held_until = float("-inf")


def next_fence(fence: int, era: int) -> int:
    """Return the fencing token that follows a token in an era of the store.

    Tokens begin with the era, so that one that was given out in an earlier era is not
    given out again, although the row that stated it may be lost.

    Args:
        fence: Highest fencing token that is known.
        era: Era of the store.
    """
    return max(fence, max(era, 0) << FENCE_COUNT_BITS) + 1


def shift_times(
    loads: dict[str, PendingLoad], seconds: float
) -> dict[str, PendingLoad]:
    """Return pending loads with their times converted to another clock.

    Args:
        loads: Pending loads by engine.
        seconds: Difference between the clocks, in seconds.
    """
    return {
        engine: load._replace(until=load.until + seconds)
        for engine, load in loads.items()
    }


def decode_lease(row: StoredRow | None) -> LeaseRow | None:
    """Decode the lease row; return None if it is missing or malformed."""
    if row is None or row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=LeaseRow)
    except MALFORMED_JSON_ERRORS as error:
        logger.bind(reason=str(error)).warning("malformed lease row")
        return None
