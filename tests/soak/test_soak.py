"""The soak: plans, links, what it judges, and a short run."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress

import pytest
import trio

from soak.mutations import MUTATIONS, mutated
from soak.plan import KINDS, Fault, Plan, draw_plan
from soak.promises import Attempt, Record, judge_cuts, judge_logs, judge_runs
from soak.proxy import DOWN, UP, Link
from soak.run import run_plan

#: Seeds of the short runs; each ends in about 20 s.
SHORT_SEEDS = (1,)


def attempt(**fields):
    common = {
        "id": "0.1.2",
        "path": "bookings",
        "router": "entry-0",
        "sent": 10.0,
        "ended": 10.2,
        "status": 200,
        "whole": True,
        "answer": b"done",
        "wanted": b"done",
        "deadline": 3.0,
    }
    return Attempt(**common | fields)


@pytest.fixture
async def record(tmp_path):
    return Record(tmp_path / "events.txt")


def test_a_seed_gives_the_same_plan():
    assert draw_plan(7) == draw_plan(7)
    assert draw_plan(7) != draw_plan(8)


def test_plans_hold_faults_of_all_kinds_together_and_twice():
    plans = [draw_plan(seed) for seed in range(60)]
    faults = [fault for plan in plans for fault in plan.faults]
    assert {fault.kind for fault in faults} == set(KINDS)
    assert all(0 <= fault.at <= plan.seconds for plan in plans for fault in plan.faults)
    assert any(
        a.at == b.at
        for plan in plans
        for a, b in zip(plan.faults, plan.faults[1:], strict=False)
    )


async def echo(stream):
    with suppress(trio.BrokenResourceError):
        async for data in stream:
            await stream.send_all(data)


@pytest.fixture
async def link(nursery):
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, echo, [listener])
    port = listener.socket.getsockname()[1]
    link = Link(f"127.0.0.1:{port}")
    nursery.start_soon(link.run)
    return link


async def connect(link):
    host, _, port = link.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def ask(stream, data):
    await stream.send_all(data)
    return await stream.receive_some(100)


async def test_a_link_passes_bytes(link):
    stream = await connect(link)
    with trio.fail_after(5):
        assert await ask(stream, b"one") == b"one"


@pytest.mark.parametrize("directions", [(UP,), (DOWN,), (UP, DOWN)])
async def test_bytes_that_wait_arrive_once_the_link_is_well(link, directions):
    stream = await connect(link)
    with trio.fail_after(5):
        assert await ask(stream, b"one") == b"one"
        link.hold(directions)
        with trio.move_on_after(0.2) as silence:
            await ask(stream, b"two")
        assert silence.cancelled_caught
        link.release()
        assert await stream.receive_some(100) == b"two"


async def test_a_reset_breaks_open_connections_only(link):
    stream = await connect(link)
    with trio.fail_after(5):
        await ask(stream, b"one")
        link.reset()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(100)
        assert await ask(await connect(link), b"two") == b"two"


@pytest.mark.parametrize(
    "fields",
    [
        {"answer": b"another's"},
        {"answer": b"dome", "whole": False},
        {"status": 401, "answer": b""},
        {"ended": 14.0, "status": 504},
    ],
)
async def test_what_a_caller_must_not_get(record, fields):
    record.ended(attempt(**fields))
    assert record.violations


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"status": 503, "answer": b""},
        {"status": None, "whole": False, "answer": b"", "router": "entry-1"},
    ],
)
async def test_what_a_caller_may_get(record, fields):
    record.disturbed["entry-1"] = [10.1]
    record.ended(attempt(**fields))
    assert not record.violations


@pytest.mark.parametrize(
    ("closes", "read", "left", "kept"),
    [
        (None, False, 0, False),
        (10.5, False, 0, True),
        (10.5, True, 0, False),
        (10.5, False, 1, False),
        (10.5, False, None, False),
    ],
)
async def test_a_request_that_is_cut_off(record, tmp_path, closes, read, left, kept):
    """Only one that crosses the close of a process, unread, has no promise."""
    record.ended(attempt(status=None, whole=False, answer=b""))
    record.disturbed["entry-0"] = [closes] if closes else []
    log = tmp_path / "entry-0.log"
    lines = ['{"request":"0.1.2"}'] if read else []
    if left is not None:
        lines.append(f'{{"message":"drain ends","in_progress":{left}}}')
    log.write_text("\n".join(lines))
    judge_cuts(record, tmp_path)
    assert bool(record.violations) != kept


@pytest.mark.parametrize(
    ("path", "status", "runs", "kept"),
    [
        ("bookings", 200, 1, True),
        ("bookings", 502, 2, False),
        ("bookings", 503, 1, False),
        ("schedules", 200, 2, True),
        ("schedules", 200, 3, False),
        ("plans", 429, 1, False),
    ],
)
async def test_how_often_a_request_may_run(record, path, status, runs, kept):
    record.attempts.append(attempt(path=path, status=status))
    judge_runs(record, Counter({"0.1.2": runs}))
    assert bool(record.violations) != kept


async def test_an_error_that_nobody_handled(record, tmp_path):
    log = tmp_path / "entry-0.log"
    log.write_text('{"level":"ERROR"}\nTraceback (most recent call last):\n')
    judge_logs(record, [log])
    assert len(record.violations) == 1


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_planted_fault_fits_the_code(name):
    with mutated(name) as source:
        changed = source / "pistachioreach" / MUTATIONS[name].file
        assert MUTATIONS[name].new in changed.read_text()


@pytest.mark.parametrize(
    ("name", "faults"),
    [
        (
            "shutdown that waits for nothing",
            [Fault(1.0 + n, "router terminated", 0.2, n) for n in range(3)],
        ),
        ("leaving endpoints kept", [Fault(3.0, "service leaves", 5.0, 0)]),
    ],
)
async def test_a_planted_fault_is_found(name, faults):
    plan = Plan(seed=1, routers=2, seconds=4.0, faults=tuple(faults))
    with mutated(name) as source:
        assert await run_plan(plan, f"test-{name.split()[0]}", source)


@pytest.mark.parametrize("seed", SHORT_SEEDS)
async def test_a_short_run_keeps_all_promises(seed):
    plan = draw_plan(seed, seconds=6.0, routers=3)
    assert await run_plan(plan, f"test-{seed}") == []
