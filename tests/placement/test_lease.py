"""The placer's lease beside rows of other writers, on a clock that the test moves."""

import msgspec
import pytest

from pistachioreach.decoding import LARGEST_INTEGER
from pistachioreach.errors import StoreConflict
from pistachioreach.placement.lease import LEASE_KEY, LEASE_SECONDS, Lease
from pistachioreach.platform.store import UNKNOWN_ERA, Snapshot, StoredRow
from tests.platform_builders import FakeClock

#: Seconds by which the store's clock is ahead of that of the entries.
STORE_AHEAD = 5000.0


class LeaseStore:
    """Store with one row, whose clock runs with that of the test."""

    def __init__(self, clock):
        self.clock = clock
        self.value = None
        self.version = 0
        self.era = UNKNOWN_ERA
        self.restore_count = 0

    def put(self, value):
        """Write the row as another program does."""
        self.version += 1
        self.value = value

    async def read(self, table):
        rows = ()
        if self.value is not None:
            rows = (StoredRow(LEASE_KEY, self.version, self.value),)
        time = self.clock.monotonic() + STORE_AHEAD
        return Snapshot(rows, self.version, time, self.era)

    async def write(self, writes):
        [write] = writes
        if write.expected != (self.version if self.value is not None else 0):
            raise StoreConflict(write.table, write.key)
        self.put(write.value)
        time = self.clock.monotonic() + STORE_AHEAD
        return Snapshot((), self.version, time, self.era)


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def store(clock):
    return LeaseStore(clock)


def row(**fields):
    """Return a row of the lease with some fields replaced."""
    document = {"holder": "other/1", "fence": 7, "until": 0.0, "loading": {}}
    return msgspec.json.encode(document | fields)


#: Rows that no entry writes.
MALFORMED_ROWS = [
    b"",
    b"\xff",
    b"[1]",
    b'{"holder": "e1"}',
    row(fence="7"),
    row(fence=-1),
    row(fence=10 * LARGEST_INTEGER),
    row(fence=10**30),
    row(until=None),
    row(loading={"i-1": [0]}),
    row(loading={"i-1": [-8, 8, 1.0, 1, 1]}),
    row(loading={"i-1": [0, 10**30, 1.0, 1, 1]}),
]


@pytest.mark.parametrize("raw", MALFORMED_ROWS)
async def test_malformed_row_makes_no_second_holder(clock, store, raw):
    # Guards against two placers: the holder learns of the row at its next renewal.
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    assert await first.renew()
    store.put(raw)
    while first.held():
        assert not await second.renew()
        clock.advance(0.1)
    clock.advance(LEASE_SECONDS)
    assert await second.renew()


@pytest.mark.parametrize("raw", MALFORMED_ROWS)
async def test_malformed_row_does_not_lower_the_fencing_token(clock, store, raw):
    # Guards against a token that all engines reject, as they have seen a higher one.
    lease = Lease("e1", store, clock)
    store.put(row(fence=41))
    assert await lease.renew()
    store.put(raw)
    assert not await lease.extend()
    assert not await lease.renew()
    clock.advance(LEASE_SECONDS)
    assert await lease.renew()
    assert lease.fence == 43


@pytest.mark.parametrize("until", [1e308, 1e15, STORE_AHEAD + 10_000])
async def test_row_that_ends_too_late_is_no_lease_for_ever(clock, store, until):
    # Guards against a row of another program that leaves the engines without layers.
    lease = Lease("e1", store, clock)
    store.put(row(until=until))
    assert not await lease.renew()
    assert lease.renewal_delay() <= LEASE_SECONDS
    clock.advance(LEASE_SECONDS - 0.1)
    assert not await lease.renew()
    clock.advance(0.2)
    assert await lease.renew()
    assert lease.fence == 8


async def test_lease_that_its_holder_renews_is_not_taken(clock, store):
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    for _ in range(20):
        assert await first.renew()
        assert not await second.renew()
        clock.advance(0.9)
    clock.advance(LEASE_SECONDS)
    assert await second.renew()
    assert not await first.renew()
    assert second.fence == first.fence == 2


@pytest.fixture
def restored(clock, store):
    """Return a function that restores the store to a row, or to none."""

    def restore(value):
        store.era = 2 if store.era == UNKNOWN_ERA else store.era + 1
        store.restore_count += 1
        store.value, store.version = value, 3

    return restore


async def test_lease_is_not_taken_while_its_holder_may_not_know_of_a_restore(
    clock, store, restored
):
    # Guards against two placers: the row that named the holder is lost.
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    assert await first.renew()
    restored(None)
    while first.held():
        assert not await second.renew()
        clock.advance(0.1)
    clock.advance(LEASE_SECONDS)
    assert await second.renew()


async def test_holder_goes_on_after_a_restore_with_a_higher_token(
    clock, store, restored
):
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    assert await first.renew()
    clock.advance(1.0)
    restored(row(holder="e2", until=STORE_AHEAD))
    assert await first.renew()
    assert first.fence == (2 << 32) + 1
    assert not await second.renew()


async def test_former_holder_named_by_an_older_copy_does_not_go_on(
    clock, store, restored
):
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    assert await first.renew()
    older = store.value
    await first.release()
    assert await second.renew()
    restored(older)
    assert not await first.renew()
    assert second.held()


@pytest.mark.parametrize("copied", [None, "first", "other"])
async def test_next_holder_waits_once_after_a_restore(clock, store, restored, copied):
    # Guards against a wait for the row that begins only after that for the restore.
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    assert await first.renew()
    rows = {None: None, "first": store.value, "other": row(holder="e0", era=1)}
    clock.advance(0.9)
    assert not await second.renew()
    assert await first.renew()
    restored(rows[copied])
    returned_at = clock.monotonic()
    clock.advance(0.2)
    while not await second.renew():
        clock.advance(0.1)
    assert not first.holds()
    assert LEASE_SECONDS < clock.monotonic() - returned_at < LEASE_SECONDS + 0.4
    assert second.fence > first.fence


async def test_late_write_of_an_earlier_era_makes_no_second_holder(
    clock, store, restored
):
    # Guards against two placers: the write replaces the row of a holder of this era.
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    for lease in (first, second):
        await lease.renew()
    restored(None)
    for lease in (second, first):
        await lease.renew()
        clock.advance(2 * LEASE_SECONDS)
    assert await first.renew()
    store.put(row(holder="e0", era=1))
    while first.held():
        assert not await second.renew()
        clock.advance(0.1)
    clock.advance(LEASE_SECONDS)
    assert await second.renew()


async def test_token_of_a_lost_row_is_not_given_out_again(clock, store, restored):
    first, second = Lease("e1", store, clock), Lease("e2", store, clock)
    assert await first.renew()
    restored(None)
    clock.advance(2 * LEASE_SECONDS)
    await second.renew()
    clock.advance(2 * LEASE_SECONDS)
    assert await second.renew()
    assert second.fence > first.fence


async def test_missing_row_is_waited_for_after_a_restart(clock, store):
    # Guards against two placers: a process that starts does not know of a restore.
    store.era = 2
    restarted = Lease("e1", store, clock, first_start=False)
    assert not await restarted.renew()
    clock.advance(LEASE_SECONDS + 0.1)
    assert await restarted.renew()


async def test_row_of_an_earlier_era_counts_for_the_length_of_a_lease(clock, store):
    store.era = 2
    restarted = Lease("e1", store, clock, first_start=False)
    store.put(row(until=0.0, era=1))
    assert not await restarted.renew()
    clock.advance(LEASE_SECONDS + 0.1)
    assert await restarted.renew()


async def test_write_that_reaches_a_later_era_proves_nothing(clock, store):
    lease = Lease("e1", store, clock)
    store.era = 1
    write = store.write

    async def write_after_restore(writes):
        store.era = 2
        store.restore_count += 1
        return (await write(writes))._replace(era=2)

    store.write = write_after_restore
    assert not await lease.renew()
    assert not lease.held()
