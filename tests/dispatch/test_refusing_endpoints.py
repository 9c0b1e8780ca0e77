"""Endpoints that state for how long they refuse requests of an entry."""

import trio

from pistachioreach.routing.engine_load import EngineLoad, LoadReport
from pistachioreach.routing.paths import kv_cache_capacity
from pistachioreach.verdict import Failure, Verdict
from tests.dispatch.test_plain import PlainEntry
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import ScriptedResponse, events

#: Seconds for which an endpoint refuses requests.
REFUSED_SECONDS = 3.0


def refusal():
    """Return a refusal that states for how long it holds."""
    fields = [(b"retry-after", b"%.1f" % REFUSED_SECONDS)]
    return ScriptedResponse(status=503, not_run=True, fields=fields)


async def test_endpoint_gets_no_calls_while_it_refuses_them(autojump_clock):
    entry = PlainEntry(
        refusal(), *(ScriptedResponse(b"read") for _ in range(90)), servers=2
    )
    start = trio.current_time()
    times = []
    for _ in range(60):
        before = len(entry.connections.sent)
        outcome = await entry.run("idempotent")
        assert outcome.body == b"read"
        times += [trio.current_time() - start] * (len(entry.connections.sent) - before)
        await trio.sleep(0.1)
    first = entry.connections.sent[0][0]
    again = [
        time
        for time, (endpoint, _) in zip(
            times[1:], entry.connections.sent[1:], strict=True
        )
        if endpoint == first
    ]
    assert min(again) >= REFUSED_SECONDS


async def test_call_is_refused_at_once_while_all_endpoints_refuse(autojump_clock):
    entry = PlainEntry(refusal(), ScriptedResponse(b"read"), servers=1)
    await entry.run("idempotent", seconds=20.0)
    outcome = await entry.run("idempotent", seconds=20.0)
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.NOT_RUN
    assert 2.5 < outcome.retry_after <= REFUSED_SECONDS
    assert len(entry.connections.sent) == 1
    await trio.sleep(REFUSED_SECONDS)
    assert (await entry.run("idempotent")).body == b"read"


async def test_refusal_holds_after_another_answer_and_a_new_registration(
    autojump_clock,
):
    entry = PlainEntry(refusal(), servers=1)
    await entry.run("idempotent")
    endpoint = entry.directory.endpoints["s0"]
    entry.health.record_success(endpoint)
    entry.directory.register(endpoint.registration._replace(slots=7))
    assert isinstance(await entry.run("idempotent"), Failure)
    assert len(entry.connections.sent) == 1


async def test_engine_gets_no_streams_while_it_refuses_them(autojump_clock):
    entry = StreamEntry(refusal(), *(ScriptedResponse(events(1, 1)) for _ in range(90)))
    capacity = kv_cache_capacity(
        entry.directory.endpoints["a"], entry.routed_request().service.engine
    )
    # Engines that are short of memory are only avoided for a moment.
    loads = dict.fromkeys("ac", EngineLoad(9, capacity / 2))
    entry.load_tracker.record_child("entry-2", 0.0, LoadReport(1, loads))
    start = trio.current_time()
    for _ in range(25):
        assert await entry.run() is None
        await trio.sleep(0.1)
    assert trio.current_time() - start < REFUSED_SECONDS
    first, *others = [engine for engine, _ in entry.connections.sent]
    assert first not in others


async def test_stream_waits_for_no_engine_that_refuses(autojump_clock):
    entry = StreamEntry(refusal(), refusal(), ScriptedResponse(events(1, 1)))
    outcome = await entry.run()
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.NOT_RUN
    assert len(entry.connections.sent) == 2
    start = trio.current_time()
    outcome = await entry.run()
    assert isinstance(outcome, Failure)
    assert outcome.retry_after > 0
    assert trio.current_time() == start
