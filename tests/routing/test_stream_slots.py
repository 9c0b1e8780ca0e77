"""Tests of stream slots under overload: order of service, waits and refusals."""

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.routing.engine_load import EngineLoad, LoadReport, LoadTracker
from pistachioreach.routing.paths import (
    MAX_FILL_SHARE,
    StreamNeed,
    find_path,
    kv_cache_capacity,
)
from pistachioreach.routing.stream_slots import StreamSlot, StreamSlots
from pistachioreach.verdict import NO_CHAIN, QUEUE_FULL, Failure, Verdict
from tests.platform_builders import endpoint, engine_model

MODEL = engine_model()
#: Two engines that hold all layers. Each has KV cache for about 4 streams of NEED.
ENGINES = [endpoint("a", 0, 40, "big"), endpoint("b", 40, 80, "big")]
CARD = MODEL.cards["a100"]._replace(memory_mb=40 * 1750 + 5500.0)
SMALL = MODEL._replace(cards=MODEL.cards | {"big": CARD})
NEED = StreamNeed(1000, 400)


class Entry:
    """The stream slots of one entry over the two engines."""

    def __init__(self, clock, tracker=None):
        self.tracker = tracker or LoadTracker()
        self.slots = StreamSlots(self.tracker, clock)
        self.clock = clock

    def find(self, need=NEED):
        return find_path(ENGINES, SMALL, need, self.tracker.load)

    async def acquire(
        self, priority=1, need=NEED, is_covered=True, target=0.5, time_left=20.0
    ):
        return await self.slots.acquire(
            lambda: self.find(need),
            lambda: is_covered,
            need,
            priority,
            target,
            self.clock.monotonic() + time_left,
        )


@pytest.fixture
def entry():
    return Entry(TrioClock())


async def fill(entry):
    slots = []
    while entry.find() is not None:
        slots.append(await entry.acquire())
    assert len(slots) >= 3
    return slots


async def test_reservations_do_not_exceed_the_memory_of_an_engine(
    autojump_clock, entry
):
    slots = await fill(entry)
    for engine in ENGINES:
        load = entry.tracker.load(engine.id)
        assert load.memory <= MAX_FILL_SHARE * kv_cache_capacity(engine, SMALL)
        assert load.streams == len(slots)


async def test_waiting_streams_are_served_by_priority_and_then_by_arrival(
    autojump_clock, entry
):
    slots = await fill(entry)
    served = []

    async def wait(name, priority, need=NEED):
        slot = await entry.acquire(priority, need)
        assert isinstance(slot, StreamSlot)
        served.append(name)
        await trio.sleep(0.11)
        entry.slots.release(slot, completed=True)

    async with trio.open_nursery() as nursery:
        for name, priority, need in (
            ("late", 2, NEED),
            ("large", 1, StreamNeed(1600, 400)),
            ("small", 1, NEED),
            ("urgent", 0, NEED),
        ):
            nursery.start_soon(wait, name, priority, need)
            await trio.sleep(0.01)
        for slot in slots:
            await trio.sleep(0.07)
            entry.slots.release(slot, completed=True)
    # A large stream is not overtaken by streams that arrived after it.
    assert served.index("urgent") == 0
    assert served.index("large") < served.index("small") < served.index("late")


async def test_stream_without_covering_engines_is_refused_at_once(
    autojump_clock, entry
):
    start = trio.current_time()
    failure = await fill(entry) and await entry.acquire(is_covered=False)
    assert isinstance(failure, Failure)
    assert failure.reason is NO_CHAIN
    assert failure.verdict is Verdict.NOT_RUN
    assert 0 < failure.retry_after <= 20 / 3
    assert trio.current_time() == start


async def test_stream_whose_wait_would_be_too_long_is_refused_at_once(
    autojump_clock, entry
):
    # A burst has ten times as many streams as there are slots. Streams that can be
    # served in time wait in the queue; the others get a Retry-After at once.
    slots = await fill(entry)
    outcomes = []

    async def request_slot():
        start = trio.current_time()
        outcome = await entry.acquire()
        outcomes.append((outcome, trio.current_time() - start))

    async with trio.open_nursery() as nursery:
        for _ in range(10 * len(slots)):
            nursery.start_soon(request_slot)
    refused = [(o, t) for o, t in outcomes if isinstance(o, Failure)]
    at_once = [o for o, t in refused if t == 0]
    assert len(at_once) >= 8 * len(slots)
    for failure in at_once:
        assert failure.reason is QUEUE_FULL
        assert 0.25 <= failure.retry_after <= 20 / 3
    assert all(seconds <= 1.5 for _, seconds in outcomes)


async def test_cancelled_waiter_leaves_no_reservation(autojump_clock, entry):
    slots = await fill(entry)
    with trio.move_on_after(0.1):
        await entry.acquire()
    assert entry.slots.waiters == []
    for slot in slots:
        entry.slots.release(slot, completed=True)
    assert entry.tracker.own == {}
    assert entry.slots.running == 0


async def test_memory_that_other_entries_use_is_not_free(autojump_clock, entry):
    report = LoadReport(1, {"a": EngineLoad(9, 1e9)})
    entry.tracker.record_head("entry-2", 0.0, report)
    assert entry.find() is None


async def test_expected_wait_includes_streams_of_other_entries(autojump_clock, entry):
    # One stream runs on this entry and 70 on six other entries, with five stages per
    # chain. With one stream ahead, the wait is shorter than two whole runs.
    entry.slots.entries = lambda: 7
    others = {f"e{number}": EngineLoad(14, 1.0) for number in range(25)}
    entry.tracker.record_head("entry-2", 0.0, LoadReport(6, others))
    entry.slots.running = 1
    assert entry.slots.expected_wait(1) == pytest.approx(2 * 2.0 / 10)
    entry.tracker.drop_expired(10.0)
    assert entry.slots.expected_wait(1) == 4.0
