"""Routers over sockets, against a fake of the users' platform."""

import pytest
import trio

from pistachioreach.dispatch.finder import FRESH_WIDTH
from pistachioreach.platform.standins.deployment import (
    KEY,
    configuration,
)
from pistachioreach.platform.standins.engine import FAILED_PATHS, response_bytes
from tests.callers.test_gateway import Caller
from tests.platform_builders import member_document, registration_document
from tests.raw_servers import EarlyServer, RawServer


async def connect(router):
    host, _, port = router.settings.callers.rpartition(":")
    return Caller(await trio.open_tcp_stream(host, int(port)))


async def ask(router, target, request, **fields):
    caller = await connect(router)
    await caller.send(
        target, attempt_id=request, authorization=f"Token {KEY}", **fields
    )
    with trio.fail_after(10):
        return await caller.answer()


async def add_uploads(deployment, address):
    """Add a service with one endpoint, which gets all requests below `/uploads/`."""
    changed = configuration(version=2)
    uploads = {"name": "uploads", "prefix": "/uploads/", "service": "uploads"}
    changed["routes"].append(changed["routes"][1] | uploads)
    changed["services"].append({"name": "uploads"})
    entry = registration_document(service="uploads", address=address, layers=None)
    deployment.store.put("servers", "i-uploads", entry)
    deployment.store.put("op", "config", changed)
    await trio.sleep(1.0)


async def test_layers_are_placed_and_streams_pass_through_them_in_order(deployment):
    for number in range(6):
        router = deployment.routers[number % 2]
        status, _, body = await ask(router, "/plans/x", f"r{number}")
        assert (status, body) == (200, deployment.complete_response())
        (chain,) = deployment.chains_of(f"r{number}")
        assert chain[0][1] == 0
        assert chain[-1][2] == 80
        assert all(a[2] == b[1] for a, b in zip(chain, chain[1:], strict=False))
    # Only one entry sends placement orders, and it sends each engine one order only.
    assert all(engine.order_count == 1 for engine in deployment.engines.values())


async def test_a_stream_survives_the_death_of_a_stage(deployment):
    router = deployment.routers[0]
    caller = await connect(router)
    await caller.send("/plans/x", attempt_id="r", authorization=f"Token {KEY}")
    assert (await caller.next_event()).status_code == 200
    received = (await caller.next_event()).data
    deployment.kill_stage("r")
    with trio.fail_after(5):
        while len(received) < len(deployment.complete_response()):
            received += (await caller.next_event()).data
    assert received == deployment.complete_response()
    assert len(deployment.chains_of("r")) == 2


async def test_a_call_runs_once_although_its_answer_is_lost(deployment):
    for service in deployment.services.values():
        service.lost_answers = 1
    status, _, _ = await ask(deployment.routers[0], "/bookings/x", "b")
    assert status == 502
    runs = sum(s.runs.get("b", 0) for s in deployment.services.values())
    assert runs == 1


@pytest.mark.parametrize(("path", "expected"), FAILED_PATHS.items())
async def test_a_failure_of_an_endpoint_reaches_the_caller(deployment, path, expected):
    status, _, body = await ask(deployment.routers[0], path, "f", body=b"x")
    assert (status, body) == (expected, response_bytes(b"x"))


async def test_the_layers_of_a_lost_engine_are_placed_again(deployment):
    fast_engines = [e for e in deployment.engines.values() if e.card == "a100"]
    lost = [engine for engine in fast_engines if engine.domain == "anta"]
    for engine in [*lost, fast_engines[0]]:
        engine.dead = True
    with trio.fail_after(10):
        for router in deployment.routers:
            while len(router.platform_view.directory.endpoints) > 10:
                await trio.sleep(0.05)
        await deployment.wait_until_placed()
    status, _, body = await ask(deployment.routers[1], "/plans/x", "r")
    assert (status, body) == (200, deployment.complete_response())


@pytest.mark.parametrize(("service", "kind"), [("model", "a100"), ("bookings", None)])
async def test_a_registration_that_cannot_be_reached_ends_no_router(
    deployment, service, kind
):
    # Guards against an address that raises in the request of each router in turn: in
    # the placer's order, which ended the process, and in calls, which got 500.
    for number, host in enumerate(("fe80::1%\u00e9", "fe80::1%" + "z" * 64)):
        entry = registration_document(
            service=service, address=f"{host}:8080", kind=kind, layers=None
        )
        deployment.store.put("servers", f"i-other-{number}", entry)
    await trio.sleep(1.5)
    for number in range(10):
        status, _, _ = await ask(deployment.routers[number % 2], "/bookings/x", "b")
        assert status == 200


@pytest.mark.parametrize(
    "fields", [{"address": "x"}, {"failure_domain": []}, {"address": None}]
)
async def test_a_row_of_another_writer_among_the_entries_ends_no_router(
    deployment, fields
):
    # Guards against a row that ended all routers at once, and again at each start.
    deployment.store.put("entries", "entry-9", member_document(**fields))
    await trio.sleep(1.5)
    for number in range(4):
        status, _, _ = await ask(deployment.routers[number % 2], "/bookings/x", "b")
        assert status == 200


#: Header section of an early answer whose body ends with its connection.
EARLY_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: u\r\nResponse-Seal: seal\r\n\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        EARLY_HEAD + b"part",
        b"HTTP/1.1 600 Status" + EARLY_HEAD[15:-2] + b"Content-Length: 0\r\n\r\n",
        EARLY_HEAD[:-2] + b"A: b\r\n Content-Length: 4\r\n\r\npart",
    ],
    ids=["reset", "status", "folded line"],
)
async def test_answer_of_a_server_in_trouble_does_not_reach_the_caller(
    deployment, nursery, answer
):
    # Guards against a part of an answer, a status or a line that means nothing, which
    # a caller got in place of a failure.
    address = await EarlyServer(answer, reset=True).start(nursery)
    await add_uploads(deployment, address)
    upload = b"x" * configuration()["limits"]["max-body-bytes"]
    for router in deployment.routers:
        status, fields, body = await ask(router, "/uploads/x", "u", body=upload)
        assert status == 502
        assert b"response-seal" not in fields
        assert b"part" not in body


async def test_answer_with_a_length_and_chunks_reaches_the_caller_whole(
    deployment, nursery
):
    # Guards against a connection that the router closes inside a whole answer.
    head = EARLY_HEAD[:-2] + b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = RawServer([head + b"4\r\nbody\r\n0\r\n\r\n"])
    await server.start(nursery)
    await add_uploads(deployment, server.address)
    caller = await connect(deployment.routers[0])
    for _ in range(2):
        await caller.send(
            "/uploads/x", attempt_id="u", authorization=f"Token {KEY}", body=b"x"
        )
        with trio.fail_after(5):
            status, _, body = await caller.answer()
        assert (status, body) == (200, b"body")
        caller.http.start_next_cycle()


async def test_a_changed_configuration_reaches_all_routers(deployment):
    changed = configuration() | {"version": 2, "tenants": []}
    changed["tenants"] = [{"name": "crews", "api-keys": ["another"]}]
    deployment.store.put("op", "config", changed)
    await trio.sleep(0.5)
    for router in deployment.routers:
        assert (await ask(router, "/bookings/x", "b"))[0] == 401


async def test_metrics_and_readiness_are_served(deployment):
    router = deployment.routers[0]
    await ask(router, "/bookings/x", "b")
    wanted = b'requests_ended_total{kind="call",outcome="200"} 1.0'
    with trio.fail_after(2):
        while wanted not in router.metrics.render():
            await trio.sleep(0.01)
    for port, path in (
        (int(router.settings.readiness.rpartition(":")[2]), "/readiness"),
        (router.metrics_port, "/metrics"),
    ):
        caller = Caller(await trio.open_tcp_stream("127.0.0.1", port))
        await caller.send(path, "GET", b"")
        assert (await caller.answer())[0] == 200


async def test_a_port_stays_open_while_an_entry_shuts_down(deployment, nursery):
    router = deployment.routers[0]
    nursery.start_soon(router.shut_down)
    # The balancer keeps sending requests while no entry of the failure domain is ready.
    started_at = trio.current_time()
    while (seconds := trio.current_time() - started_at) < 3.8:
        status, _, _ = await ask(router, "/bookings/x", f"b{seconds}")
        assert status == (200 if seconds < 2.9 else 503) or 2.9 <= seconds <= 3.1
        await trio.sleep(0.2)


async def test_a_router_that_lost_all_reports_knows_that_there_are_others(deployment):
    # The number of entries must not come from the reports: without any, a router would
    # take itself for the only one and send all streams to the fastest engines.
    router = deployment.routers[0]
    finder = router.gateway.stream_dispatcher.finder
    with trio.fail_after(10):
        while finder.entries() < 2 or router.load_tracker.entry_count() < 2:
            await trio.sleep(0.05)
    assert finder.spread().width < FRESH_WIDTH
    router.load_tracker.drop_expired(float("inf"))
    assert finder.spread().width == FRESH_WIDTH


async def test_the_placer_knows_where_prompts_arrive(deployment):
    """Without the demand, losses would be repaired in the order of names."""
    router = deployment.routers[0]
    assert router.prompt_shares() is None
    router.load_tracker.demand.record_arrival(300, router.clock.monotonic())
    assert router.placer.demand() == {router.settings.failure_domain: 1.0}
