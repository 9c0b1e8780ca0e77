"""Tests of the soak test: plans, link proxies, checks, mutations and a short run."""

from __future__ import annotations

import random
from collections import Counter
from contextlib import suppress
from itertools import chain
from os.path import commonprefix

import pytest
import trio

from soak import launch
from soak import proxy as proxies
from soak.answers import check_answers
from soak.checks import (
    Attempt,
    check_interrupted,
    check_logs,
    check_run_counts,
)
from soak.keys import WorkspaceKeys
from soak.mutations import MUTATIONS, mutated
from soak.plan import (
    ADDED_FAULT_SECONDS,
    FAULT_DURATION_SECONDS,
    Fault,
    Plan,
    draw_plan,
)
from soak.proxy import FROM_TARGET, TO_TARGET, LinkProxy, RepeatingSource
from soak.run import run_plan

#: Seeds of the short runs, each of which takes about 20 s.
SHORT_SEEDS = (1,)
#: Target of a fault of many links that stands for the links of all endpoints.
ALL_LINKS = 2


def make_attempt(**fields):
    """Return an attempt that succeeded, except for the given fields."""
    defaults = {
        "id": "0.1.2",
        "route": "bookings",
        "router": "entry-0",
        "sent_at": 10.0,
        "ended_at": 10.2,
        "status": 200,
        "complete": True,
        "body": b"done",
        "expected_body": b"done",
        "expected_status": 200,
        "deadline_seconds": 3.0,
    }
    return Attempt(**defaults | fields)


def test_the_same_seed_gives_the_same_plan():
    assert draw_plan(7) == draw_plan(7)
    assert draw_plan(7) != draw_plan(8)


def test_plans_contain_all_kinds_of_faults_and_simultaneous_ones():
    plans = [draw_plan(seed) for seed in range(60)]
    faults = [fault for plan in plans for fault in plan.faults]
    kinds = {*FAULT_DURATION_SECONDS, *chain(*ADDED_FAULT_SECONDS.values())}
    assert {fault.kind for fault in faults} == kinds
    assert all(
        0 <= fault.start_seconds <= plan.fault_seconds
        for plan in plans
        for fault in plan.faults
    )
    assert any(
        first.start_seconds == second.start_seconds
        for plan in plans
        for first, second in zip(plan.faults, plan.faults[1:], strict=False)
    )


def test_a_group_of_faults_can_be_left_out():
    whole, partial = draw_plan(4), draw_plan(4, without="cuts of routers")
    left_out = set(whole.faults) - set(partial.faults)
    assert set(partial.faults) <= set(whole.faults)
    assert {fault.kind for fault in left_out} <= set(
        ADDED_FAULT_SECONDS["cuts of routers"]
    )
    assert left_out


async def echo(stream):
    """Send all received bytes back."""
    with suppress(trio.BrokenResourceError):
        async for data in stream:
            await stream.send_all(data)


@pytest.fixture
async def proxy(nursery):
    """Return a running proxy whose target echoes all bytes."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, echo, [listener])
    port = listener.socket.getsockname()[1]
    proxy = LinkProxy(f"127.0.0.1:{port}")
    nursery.start_soon(proxy.run)
    return proxy


async def connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def exchange(stream, data):
    """Send bytes and return the next bytes that arrive."""
    await stream.send_all(data)
    return await stream.receive_some(100)


async def test_a_proxy_forwards_bytes_both_ways(proxy):
    stream = await connect(proxy)
    with trio.fail_after(5):
        assert await exchange(stream, b"one") == b"one"


@pytest.mark.parametrize(
    "directions", [(TO_TARGET,), (FROM_TARGET,), (TO_TARGET, FROM_TARGET)]
)
async def test_bytes_of_paused_directions_arrive_after_resume(proxy, directions):
    stream = await connect(proxy)
    with trio.fail_after(5):
        assert await exchange(stream, b"one") == b"one"
        proxy.pause(directions)
        with trio.move_on_after(0.2) as timeout:
            await exchange(stream, b"two")
        assert timeout.cancelled_caught
        proxy.resume()
        assert await stream.receive_some(100) == b"two"


async def test_a_reset_breaks_only_open_connections(proxy):
    stream = await connect(proxy)
    with trio.fail_after(5):
        await exchange(stream, b"one")
        proxy.reset_connections()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(100)
        assert await exchange(await connect(proxy), b"two") == b"two"


async def test_a_link_holds_and_resets_connections_of_one_source_or_silences_its_target(
    proxy,
):
    host, _, port = proxy.address.rpartition(":")
    cut = await trio.open_tcp_stream(host, int(port), local_address="127.0.0.2")
    other = await connect(proxy)
    with trio.fail_after(5):
        assert await exchange(cut, b"one") == b"one"
        proxy.hold("127.0.0.2")
        assert await exchange(other, b"one") == b"one"
        with trio.move_on_after(0.2) as timeout:
            await exchange(cut, b"two")
        assert timeout.cancelled_caught
        proxy.release("127.0.0.2")
        assert await cut.receive_some(100) == b"two"
        proxy.silence()
        with trio.move_on_after(0.2) as timeout:
            await exchange(other, b"two")
        assert timeout.cancelled_caught
        proxy.end_silence()
        assert await other.receive_some(100) == b"two"
        proxy.reset_connections("127.0.0.2")
        assert await exchange(other, b"two") == b"two"
        with pytest.raises(trio.BrokenResourceError):
            await cut.receive_some(100)


async def test_a_router_gets_refusals_at_the_listed_addresses(
    proxy, tmp_path, monkeypatch
):
    monkeypatch.setattr(trio, "open_tcp_stream", trio.open_tcp_stream)
    file = tmp_path / "refused"
    launch.limit_connections("127.0.0.3", file)
    with trio.fail_after(5):
        stream = await connect(proxy)
        assert stream.socket.getsockname()[0] == "127.0.0.3"
        file.write_text(f"127.0.0.1:1\n{proxy.address}")
        with pytest.raises(OSError, match="all attempts to connect"):
            await connect(proxy)
        assert await exchange(stream, b"one") == b"one"
        file.write_text("")
        assert await exchange(await connect(proxy), b"two") == b"two"


def http_response(number):
    return b"HTTP/1.1 200 \r\nnumber: %d\r\n\r\nbody %d" % (number, number)


async def respond(stream):
    """Send a response after each received byte, with a pause before its body."""
    number = 0
    with suppress(trio.BrokenResourceError):
        async for data in stream:
            for _ in data:
                head, end, body = http_response(number).partition(b"\r\n\r\n")
                await stream.send_all(head + end)
                await trio.sleep(0.01)
                await stream.send_all(body)
                number += 1


def copies_in(data, count):
    """Return the copies that bytes contain beside a number of responses, in order.

    Each copy must be the beginning of the response before it, and each response must
    be in one piece.
    """
    copies, number = [], -1
    while data:
        response = http_response(number + 1)
        if number + 1 < count and data.startswith(response):
            number += 1
        else:
            response = commonprefix([data, http_response(number)])
            assert response
            copies.append(response)
        data = data.removeprefix(response)
    assert number == count - 1
    return copies


async def test_a_link_repeats_responses_until_the_fault_ends(nursery, monkeypatch):
    monkeypatch.setattr(proxies, "COPY_DELAY_SECONDS", (0.003, 0.015))
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, respond, [listener])
    proxy = LinkProxy(f"127.0.0.1:{listener.socket.getsockname()[1]}")
    nursery.start_soon(proxy.run)
    proxy.repeats = random.Random(1)
    stream = await connect(proxy)
    received = b""
    with trio.fail_after(20):
        for number in range(60):
            if number == 50:
                proxy.repeats, disturbed_length = None, len(received)
            await stream.send_all(b".")
            while http_response(number) not in received:
                received += await stream.receive_some(1000)
    responses = [http_response(number) for number in range(60)]
    assert received[disturbed_length:] == b"".join(responses[50:])
    copies = copies_in(received, 60)
    assert 0 < sum(copy in responses for copy in copies) < len(copies)


async def test_the_same_seed_repeats_the_same_responses(proxy):
    runs = []
    for seed in (1, 1, 2):
        source, generator = RepeatingSource(None, proxy), random.Random(seed)
        runs.append(
            [await source.repeat(http_response(n), generator) for n in range(50)]
        )
    assert runs[0] == runs[1] != runs[2]


@pytest.mark.parametrize(
    "fields",
    [
        {"body": b"another's"},
        {"body": b"dome", "complete": False},
        {"status": 401, "body": b""},
        {"status": 404},
        {"status": 500},
        {"expected_status": 404},
        {"status": 404, "expected_status": 500},
        {"status": 404, "expected_status": 404, "body": b"another's"},
        {"ended_at": 14.0, "status": 504},
    ],
)
async def test_a_wrong_or_late_response_is_a_violation(record, fields):
    record.add_attempt(make_attempt(**fields))
    assert record.violations


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"status": 404, "expected_status": 404},
        {"status": 502, "expected_status": 404, "body": b""},
        {"status": 503, "body": b""},
        {"status": None, "complete": False, "body": b"", "router": "entry-1"},
    ],
)
async def test_a_permitted_result_is_no_violation(record, fields):
    record.disturbances["entry-1"] = [10.1]
    record.add_attempt(make_attempt(**fields))
    assert not record.violations


@pytest.mark.parametrize(
    ("exit_time", "logged", "in_progress", "permitted"),
    [
        (None, False, 0, False),
        (10.5, False, 0, True),
        (10.5, True, 0, False),
        (10.5, False, 1, False),
        (10.5, False, None, False),
    ],
)
async def test_an_interrupted_response_is_permitted_if_the_request_was_not_read(
    record, tmp_path, exit_time, logged, in_progress, permitted
):
    """Three conditions show that a router closed the connection before it read.

    The router exits shortly after the attempt, its log does not contain the request,
    and its drain ended with no request in progress. In each other case the interrupted
    response is a violation.
    """
    record.add_attempt(make_attempt(status=None, complete=False, body=b""))
    record.disturbances["entry-0"] = [exit_time] if exit_time else []
    log = tmp_path / "entry-0.log"
    lines = ['{"request":"0.1.2"}'] if logged else []
    if in_progress is not None:
        lines.append(f'{{"message":"drain ends","in_progress":{in_progress}}}')
    log.write_text("\n".join(lines))
    check_interrupted(record, tmp_path)
    assert bool(record.violations) != permitted


@pytest.mark.parametrize(
    ("route", "status", "runs", "permitted"),
    [
        ("bookings", 200, 1, True),
        ("bookings", 502, 2, False),
        ("bookings", 503, 1, False),
        ("schedules", 200, 2, True),
        ("schedules", 200, 3, False),
        ("plans", 429, 1, False),
    ],
)
async def test_number_of_executions_is_checked(record, route, status, runs, permitted):
    record.attempts.append(make_attempt(route=route, status=status))
    check_run_counts(record, Counter({"0.1.2": runs}))
    assert bool(record.violations) != permitted


@pytest.mark.parametrize(
    ("fields", "disturbed", "endpoints", "violation"),
    [
        ({}, {}, ["i-0"], "no answer byte"),
        ({"status": 200, "body": b"do"}, {}, ["i-0"], "begun answer broken off"),
        ({}, {"entry-1": (9.0, 12.0)}, ["i-0"], "no answer byte"),
        ({}, {"i-0": (3.0, 9.4)}, ["i-0"], "no answer byte"),
        ({"complete": True}, {}, ["i-0"], "no answer byte"),
        ({"status": 502, "complete": True}, {}, ["i-0"], None),
        ({}, {}, [], None),
        ({"kept": False}, {}, ["i-0"], None),
        ({"ended_at": 13.0}, {}, ["i-0"], None),
        ({}, {"entry-0": (9.0, 12.0)}, ["i-0"], None),
        ({}, {"i-1": (9.0, 9.7)}, ["i-0", "i-1"], None),
    ],
)
async def test_a_request_that_a_sound_endpoint_got_must_be_answered(
    record, tmp_path, fields, disturbed, endpoints, violation
):
    defaults = {"status": None, "complete": False, "body": b"", "kept": True}
    record.attempts.append(make_attempt(**defaults | fields))
    record.periods = {subject: [period] for subject, period in disturbed.items()}
    check_answers(record, {"0.1.2": [endpoints]} if endpoints else {}, tmp_path)
    kinds = [text.partition(":")[0] for text in record.violations]
    assert kinds == ([violation] if violation else [])


async def test_a_disturbance_excuses_until_its_end(record):
    record.begin_disturbance("i-0", "hangs")
    now = trio.current_time()
    assert not record.sound_between("i-0", now + 1, now + 2)
    record.end_disturbance("i-0", "hangs")
    assert record.sound_between("i-0", now + 1, now + 2)
    assert not record.sound_between("i-0", now - 1, now + 2)


async def test_an_unhandled_exception_in_a_log_is_a_violation(record, tmp_path):
    log = tmp_path / "entry-0.log"
    log.write_text('{"level":"ERROR"}\nTraceback (most recent call last):\n')
    check_logs(record, [log])
    assert len(record.violations) == 1


@pytest.mark.parametrize("name", MUTATIONS)
def test_a_mutation_applies_to_the_current_code(name):
    with mutated(name) as source:
        file = source / "pistachioreach" / MUTATIONS[name].file
        assert MUTATIONS[name].new in file.read_text()


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
async def test_a_run_detects_a_mutation(name, faults):
    plan = Plan(seed=1, router_count=2, fault_seconds=4.0, faults=tuple(faults))
    with mutated(name) as source:
        assert await run_plan(plan, f"test-{name.split()[0]}", source)


@pytest.mark.parametrize(
    ("name", "faults"),
    [
        (
            "shutdown that waits for nothing",
            [
                Fault(1.0, "links silent together", 1.5, ALL_LINKS),
                Fault(1.4, "router terminated", 0.2, 0),
            ],
        ),
        (
            "begun answers that do not wait",
            [Fault(1.0 + n, "router cut off by resets", 0.5, 0) for n in range(4)],
        ),
    ],
)
async def test_a_run_detects_answers_that_do_not_come(name, faults):
    plan = Plan(seed=1, router_count=1, fault_seconds=5.0, faults=tuple(faults))
    with mutated(name) as source:
        violations = await run_plan(plan, f"test-{name.split()[0]}", source)
    kinds = ("no answer byte", "begun answer broken off")
    assert any(text.startswith(kinds) for text in violations)


@pytest.mark.parametrize("seed", SHORT_SEEDS)
async def test_a_short_run_has_no_violations(seed):
    plan = draw_plan(seed, fault_seconds=6.0, router_count=3)
    assert await run_plan(plan, f"test-{seed}") == []


async def test_repeated_responses_are_not_mixed_with_others():
    kind = "service link repeats responses"
    faults = tuple(Fault(0.1, kind, 8.0, target) for target in range(2))
    plan = Plan(seed=1, router_count=2, fault_seconds=4.0, faults=faults)
    assert await run_plan(plan, "test-repeated") == []


async def test_key_of_a_request_in_progress_may_be_dropped():
    # Seeds 9131, 9148 and 9150: a router that was stopped read the request later.
    keys = WorkspaceKeys()
    first = keys.usable()
    sent_at = trio.current_time()
    keys.rotate()
    assert not keys.dropped_since(first, sent_at)
    keys.rotate()
    assert keys.dropped_since(first, sent_at)
    assert not keys.dropped_since(first, trio.current_time() + 1)
    assert not keys.dropped_since(keys.usable(), sent_at)
