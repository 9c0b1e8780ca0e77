"""Places under the load of heavy days: who waits, who is refused, in which order."""

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.routing.engine_load import EngineLoad, LoadTracker
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
#: Two engines that hold all layers; each has room for about 4 streams of NEED.
ENGINES = [endpoint("a", 0, 40, "big"), endpoint("b", 40, 80, "big")]
CARD = MODEL.cards["a100"]._replace(memory_mb=40 * 1750 + 5500.0)
SMALL = MODEL._replace(cards=MODEL.cards | {"big": CARD})
NEED = StreamNeed(1000, 400)


class Entry:
    """Places of one entry over the two engines."""

    def __init__(self, clock, ledger=None):
        self.ledger = ledger or LoadTracker()
        self.places = StreamSlots(self.ledger, clock)
        self.clock = clock

    def find(self, need=NEED):
        return find_path(ENGINES, SMALL, need, self.ledger.load)

    async def acquire(
        self, priority=1, need=NEED, covered=True, target=0.5, patience=20.0
    ):
        return await self.places.acquire(
            lambda: self.find(need),
            lambda: covered,
            need,
            priority,
            target,
            self.clock.monotonic() + patience,
        )


@pytest.fixture
def entry():
    return Entry(TrioClock())


async def fill(entry):
    places = []
    while entry.find() is not None:
        places.append(await entry.acquire())
    assert len(places) >= 3
    return places


async def test_no_engine_is_promised_more_than_it_has(autojump_clock, entry):
    places = await fill(entry)
    for engine in ENGINES:
        load = entry.ledger.load(engine.id)
        assert load.memory <= MAX_FILL_SHARE * kv_cache_capacity(engine, SMALL)
        assert load.streams == len(places)


async def test_those_that_wait_are_served_by_rank_and_then_by_arrival(
    autojump_clock, entry
):
    places = await fill(entry)
    served = []

    async def wait(name, priority, need=NEED):
        place = await entry.acquire(priority, need)
        assert isinstance(place, StreamSlot)
        served.append(name)
        await trio.sleep(0.11)
        entry.places.release(place, completed=True)

    async with trio.open_nursery() as nursery:
        for name, priority, need in (
            ("late", 2, NEED),
            ("large", 1, StreamNeed(1600, 400)),
            ("small", 1, NEED),
            ("urgent", 0, NEED),
        ):
            nursery.start_soon(wait, name, priority, need)
            await trio.sleep(0.01)
        for place in places:
            await trio.sleep(0.07)
            entry.places.release(place, completed=True)
    # A large one is not passed by those that came after it.
    assert served.index("urgent") == 0
    assert served.index("large") < served.index("small") < served.index("late")


async def test_what_cannot_be_served_is_refused_at_once(autojump_clock, entry):
    start = trio.current_time()
    refusal = await fill(entry) and await entry.acquire(covered=False)
    assert isinstance(refusal, Failure)
    assert refusal.reason is NO_CHAIN
    assert refusal.verdict is Verdict.NOT_RUN
    assert 0 < refusal.retry_after <= 20 / 3
    assert trio.current_time() == start


async def test_a_wait_without_hope_is_refused_at_once(autojump_clock, entry):
    # A burst of ten times what fits: the queue holds what can be on time, and the
    # others learn at once when to come back.
    places = await fill(entry)
    outcomes = []

    async def ask():
        start = trio.current_time()
        outcome = await entry.acquire()
        outcomes.append((outcome, trio.current_time() - start))

    async with trio.open_nursery() as nursery:
        for _ in range(10 * len(places)):
            nursery.start_soon(ask)
    refused = [(o, t) for o, t in outcomes if isinstance(o, Failure)]
    at_once = [o for o, t in refused if t == 0]
    assert len(at_once) >= 8 * len(places)
    for refusal in at_once:
        assert refusal.reason is QUEUE_FULL
        assert 0.25 <= refusal.retry_after <= 20 / 3
    assert all(seconds <= 1.5 for _, seconds in outcomes)


async def test_a_caller_that_leaves_the_queue_takes_nothing_with_it(
    autojump_clock, entry
):
    places = await fill(entry)
    with trio.move_on_after(0.1):
        await entry.acquire()
    assert entry.places.waiters == []
    for place in places:
        entry.places.release(place, completed=True)
    assert entry.ledger.own == {}
    assert entry.places.running == 0


async def test_room_that_other_entries_take_counts(autojump_clock, entry):
    entry.ledger.record_report("entry-2", 0.0, {"a": EngineLoad(9, 1e9)})
    assert entry.find() is None


async def test_an_entry_with_few_streams_waits_for_the_room_of_others(
    autojump_clock, entry
):
    # One stream runs here, 70 at six other entries, over chains of five stages; with
    # one ahead the wait is not two whole runs.
    entry.places.entries = lambda: 7
    others = {f"e{number}": EngineLoad(14, 1.0) for number in range(25)}
    entry.ledger.record_report("entry-2", 0.0, others)
    entry.places.running = 1
    assert entry.places.expected_wait(1) == pytest.approx(2 * 2.0 / 10)
    entry.ledger.reports.clear()
    entry.ledger.sum_reports(0.0)
    assert entry.places.expected_wait(1) == 4.0
