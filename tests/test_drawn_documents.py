"""Drawn rows of the store and load reports of entries, with calls in progress."""

import contextlib
import copy
import random

import msgspec
import trio

from pistachioreach.configuration.row import Member
from pistachioreach.errors import ConnectionFailed
from pistachioreach.peers import relay
from pistachioreach.peers.connection import TcpPeerClient
from pistachioreach.peers.wire import Frame
from pistachioreach.platform.standins.deployment import KEY, configuration
from tests.json_documents import field_paths
from tests.platform_builders import member_document, registration_document
from tests.test_isolation import errors_of
from tests.test_router import ask

#: Values that replace a field of a document.
ODD_VALUES = (None, True, -1, 2**64, 10**30, 1e308, -0.5, "", "\u00e9", [], {}, [[]])
#: Numbers in a load report.
ODD_AMOUNTS = (float("nan"), float("inf"), float("-inf"), -1.0, 0.0, 1e308, 800.0)
ODD_COUNTS = (0, 1, 2**31, 2**32 - 1)
#: Seconds for which rows and reports are drawn.
DRAW_SECONDS = 4.0


def alter(document, source):
    """Return a document of which one field has another value or is missing."""
    document = copy.deepcopy(document)
    *path, last = source.choice(field_paths(document))
    parent = document
    for name in path:
        parent = parent[name]
    if source.random() < 0.2:
        del parent[last]
    else:
        parent[last] = copy.deepcopy(source.choice(ODD_VALUES))
    return msgspec.json.encode(document)


def drawn_report(engines, source):
    """Return an encoded message with a drawn load report."""
    loads = {
        "entries": source.choice(ODD_COUNTS),
        "engines": "\n".join(engines),
        "streams": [source.choice(ODD_COUNTS) for _ in engines],
        "memory": [source.choice(ODD_AMOUNTS) for _ in engines],
    }
    fields = {"loads": loads, "child": source.random() < 0.5}
    return relay.PLAIN + relay._schema.Relay.new_message(**fields).to_bytes_packed()


def put_drawn_row(deployment, source, version):
    """Write a drawn row into one of the tables of the store."""
    table = source.choice(["op", "servers", "servers", "entries", "leases"])
    lease = {"holder": "a", "fence": 3, "until": 5.0, "loading": {}}
    key, document = {
        "op": ("config", configuration(version)),
        "servers": (f"i-other-{version % 4}", registration_document()),
        "entries": ("entry-9", member_document()),
        "leases": ("placer", lease),
    }[table]
    raw = alter(document, source) if table != "op" or version % 2 else document
    deployment.store.put(table, key, raw)


async def send_drawn_reports(deployment, source):
    """Send drawn load reports to the routers."""
    peers = TcpPeerClient((KEY.encode(),))
    engines = [engine.id for engine in deployment.engines.values()][:2]
    sequence = 0
    while True:
        for router in deployment.routers:
            sequence += 1
            body = drawn_report(engines, source)
            frame = Frame("entry-9", "run", sequence, relay.RELAY, body=body)
            member = Member("", router.settings.peers, "", "", 0.0)
            with contextlib.suppress(ConnectionFailed):
                await peers.request(member, frame)
        await trio.sleep(0.05)


async def test_drawn_documents_raise_nothing_that_is_not_expected(
    deployment, nursery, log_lines
):
    # Guards against a document that ends a router, or a call without an answer.
    source = random.Random(1)
    statuses = []

    async def call():
        number = 0
        while True:
            router = deployment.routers[number % 2]
            target = ("/plans/x", "/bookings/x")[number // 2 % 2]
            number += 1
            status, _, _ = await ask(router, target, f"r{number}", deadline_ms="3000")
            statuses.append(status)
            await trio.sleep(0.01)

    with trio.move_on_after(DRAW_SECONDS):
        async with trio.open_nursery() as calls:
            calls.start_soon(call)
            calls.start_soon(call)
            calls.start_soon(send_drawn_reports, deployment, source)
            for version in range(2, 1000):
                put_drawn_row(deployment, source, version)
                await trio.sleep(0.04)
    assert not errors_of(log_lines)
    assert 200 in statuses
    assert 500 not in statuses
    assert len(statuses) > 5
