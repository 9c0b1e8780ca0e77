"""HTTP interface over sockets: answers, refusals, cancellation and drain."""

from __future__ import annotations

import json

import pytest
import trio

from pistachioreach.callers.client import Prompt
from pistachioreach.clock import SystemClock
from pistachioreach.dispatch.keys import new_key
from pistachioreach.errors import ConnectionFailed
from pistachioreach.fakes.engine import EngineTimes, expected_answer
from tests.builders import make_loopback

BODY = json.dumps({"model": "clearance", "prompt": "a plan", "max_tokens": 5}).encode()
SLOW_TIMES = EngineTimes(token_seconds=0.02)


def count_opened_streams(loopback):
    return sum(engine.opened_streams for engine in loopback.servers.engines.values())


async def test_an_answer_is_streamed_or_sent_in_one_piece():
    async with make_loopback() as loopback:
        answer = await loopback.caller().generate(Prompt("clearance", "a plan", 9))
        assert answer.is_complete()
        assert answer.tokens == expected_answer("a plan", 9)
        body = json.loads(BODY) | {"stream": False}
        response = await loopback.post("/v1/generate", json.dumps(body).encode())
        assert json.loads(response.body)["text"] == "".join(
            expected_answer("a plan", 5)
        )


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{", (), 400, "bad-request"),
        (b"[]", (), 400, "bad-request"),
        (b'{"more": ' + b"[" * 100_000, (), 400, "bad-request"),
        (b'{"model": "clearance"}', (), 400, "bad-request"),
        (BODY.replace(b"5", b"0"), (), 400, "bad-request"),
        (BODY.replace(b"clearance", b"other"), (), 404, "not-found"),
        (b" " * 1_048_577, (), 413, "too-large"),
        (BODY, (("Workspace", "nobody"),), 401, "unauthorized"),
        (BODY, (("Authorization", "Bearer wrong"),), 401, "unauthorized"),
        (BODY, (("Authorization", "Basic x"),), 401, "unauthorized"),
        (BODY, (("Deadline-Ms", "-5"),), 400, "deadline-invalid"),
        (BODY, (("Deadline-Ms", "0"),), 400, "deadline-invalid"),
        (BODY, (("Deadline-Ms", "soon"),), 400, "deadline-invalid"),
        (BODY, (("Deadline-Ms", "999999999"),), 400, "deadline-invalid"),
        (BODY, (("Deadline-Ms", "9" * 5000),), 400, "deadline-invalid"),
        (BODY, (("Priority", "10"),), 400, "bad-request"),
        (BODY, (("Request-Id", "x" * 65),), 400, "bad-request"),
        (BODY, (("Last-Event-ID", "a.1.b"),), 409, "stream-lost"),
    ],
)
async def test_invalid_requests_are_refused_before_dispatch(
    body, headers, status, code
):
    async with make_loopback() as loopback:
        answer = await loopback.post("/v1/generate", body, headers)
        problem = json.loads(answer.body)
        assert answer.status == status == problem["status"]
        assert problem["type"] == f"urn:pistachioreach:reason:{code}"
        assert answer.headers["content-type"] == "application/problem+json"
        assert answer.headers["verdict"] == problem["verdict"]
        expected = "may-have-run" if code == "stream-lost" else "not-run"
        assert problem["verdict"] == expected
        assert count_opened_streams(loopback) == 0


async def test_a_cursor_of_another_request_is_refused():
    async with make_loopback() as loopback:
        answer = await loopback.caller().generate(Prompt("clearance", "a plan", 5))
        other = BODY.replace(b"a plan", b"another")
        headers = (("Last-Event-ID", answer.cursor),)
        refused = await loopback.post("/v1/generate", other, headers)
        assert refused.status == 400


async def test_a_request_before_the_first_manifest_is_refused():
    async with make_loopback(apply=False) as loopback:
        answer = await loopback.post("/v1/generate", BODY)
        assert answer.status == 503
        assert json.loads(answer.body)["type"].endswith("no-manifest")
        assert (await loopback.get("/readyz")).status == 503
        assert (await loopback.get("/healthz")).status == 200


async def test_an_entry_that_may_not_admit_is_not_ready():
    async with make_loopback() as loopback:
        assert (await loopback.get("/readyz")).status == 200
        loopback.nodes[0].entry.may_admit = lambda: False
        answer = await loopback.post("/v1/generate", BODY)
        assert json.loads(answer.body)["type"].endswith("out-of-touch")
        assert (await loopback.get("/readyz")).status == 503


async def test_a_call_repeated_with_one_key_runs_once():
    async with make_loopback(entries=2) as loopback:
        caller = loopback.caller()
        key = new_key(SystemClock().now())
        bodies = {
            (await caller.call("bookings", "confirm", b"{}", key, 5000, at)).body
            for at in range(4)
        }
        assert len(bodies) == 1
        assert loopback.servers.services["bookings"].count_runs(f"crews.{key}") == 1
        other = await caller.call("bookings", "confirm", b"[]", key, 5000, 0)
        assert other.status == 422


@pytest.mark.parametrize(
    ("key", "status"),
    [
        ("", 400),
        ("k", 400),
        ("0190163d-8694-739b-aea5-966c26f8ad91", 422),
        ("ffffffff-ffff-7fff-bfff-ffffffffffff", 400),
    ],
)
async def test_a_missing_invalid_or_expired_key_is_refused(key, status):
    async with make_loopback() as loopback:
        headers = (("Idempotency-Key", key),) if key else ()
        path = "/v1/services/bookings/confirm"
        answer = await loopback.post(path, b"{}", headers)
        assert answer.status == status
        assert loopback.servers.services["bookings"].executions == []


async def test_an_unknown_call_is_refused():
    async with make_loopback() as loopback:
        answer = await loopback.post("/v1/services/bookings/cancel", b"{}")
        assert answer.status == 404


async def test_a_lost_answer_of_a_service_is_looked_up():
    async with make_loopback() as loopback:
        loopback.servers.services["bookings"].lost_response_ratio = 1.0
        key = new_key(SystemClock().now())
        answer = await loopback.caller().call(
            "bookings", "confirm", b"{}", key, 5000, 0
        )
        assert answer.status == 200
        assert loopback.servers.services["bookings"].count_runs(f"crews.{key}") == 1


async def test_a_disconnected_caller_leaves_no_running_stream():
    async with make_loopback(times=SLOW_TIMES) as loopback:
        cancelled = trio.Event()
        with trio.CancelScope() as scope:

            def on_token(position):
                if position == 3:
                    cancelled.set()
                    scope.cancel()

            prompt = Prompt("clearance", "a plan", 5000)
            await loopback.caller().generate(prompt, on_token)
        assert cancelled.is_set()
        engines = loopback.servers.engines.values()
        with trio.fail_after(10):
            while any(engine.running() for engine in engines):
                await trio.sleep(0.02)
        assert loopback.nodes[0].entry.in_progress == 0


async def test_a_stream_continues_after_its_connections_fall_silent():
    async with make_loopback(times=SLOW_TIMES) as loopback:
        engines = loopback.servers.engines

        def silence(position):
            if position == 12:
                for engine in engines.values():
                    if engine.name.startswith("stage-0"):
                        engine.faults.silence_connections()

        prompt = Prompt("clearance", "a plan", 30)
        answer = await loopback.caller().generate(prompt, silence)
        assert answer.tokens == expected_answer("a plan", 30)
        assert count_opened_streams(loopback) == 3


async def test_a_drain_lets_answers_end_and_refuses_new_requests():
    async with make_loopback(times=SLOW_TIMES) as loopback:
        node = loopback.nodes[0]
        caller = loopback.caller()
        answers = []

        async def read():
            prompt = Prompt("clearance", "a plan", 80)
            answers.append(await caller.generate(prompt, stop))

        def stop(position):
            if position == 5:
                node.stop()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await node.stopping.wait()
            refused = await loopback.post("/v1/generate", BODY)
            assert json.loads(refused.body)["type"].endswith("draining")
            assert json.loads(refused.body)["verdict"] == "not-run"
            assert (await loopback.get("/readyz")).status == 503
        assert answers[0].tokens == expected_answer("a plan", 80)
        with trio.fail_after(10):
            while True:
                try:
                    await loopback.get("/healthz")
                except ConnectionFailed:
                    break
                await trio.sleep(0.05)


async def test_the_crash_of_an_entry_costs_one_reconnect():
    async with make_loopback(entries=2, times=SLOW_TIMES) as loopback:
        node = loopback.nodes[0]

        def crash(position):
            if position == 10:
                node.entry.nursery.cancel_scope.cancel()

        prompt = Prompt("clearance", "a plan", 40)
        answer = await loopback.caller().generate(prompt, crash)
        assert answer.tokens == expected_answer("a plan", 40)
        assert answer.is_complete()
        assert answer.connections == 2
