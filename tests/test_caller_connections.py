"""Routers over sockets: what one caller sends concerns no other caller."""

import base64
import struct

import pytest
import trio
from hypercorn.protocol.h11 import H11Protocol

from pistachioreach.platform.standins.deployment import caller_fields
from tests.test_isolation import errors_of
from tests.test_router import ask
from tests.test_silent_endpoints import begin_stream, rest_of

#: HTTP/2 setting of the initial window size with a value out of range.
WINDOW_OUT_OF_RANGE = struct.pack(">HL", 4, 2**32 - 1)
#: Fields of GET requests that ask for another protocol.
UPGRADES = {
    "h2c": [("Upgrade", "h2c"), ("HTTP2-Settings", "AAMAAABk")],
    "h2c, undecodable": [("Upgrade", "h2c"), ("HTTP2-Settings", "A")],
    "h2c, out of range": [
        ("Upgrade", "h2c"),
        ("HTTP2-Settings", base64.urlsafe_b64encode(WINDOW_OUT_OF_RANGE).decode()),
    ],
    "websocket": [
        ("Upgrade", "websocket"),
        ("Sec-WebSocket-Version", "13"),
        ("Sec-WebSocket-Key", "dGhlIHNhbXBsZSBub25jZQ=="),
    ],
    "websocket without a key": [("Upgrade", "websocket")],
    "unknown": [("Upgrade", "unknown/2")],
}
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
#: Empty frame of settings, then a request whose `:path` is not ASCII.
SETTINGS_FRAME = b"\0\0\0\x04\0\0\0\0\0"
FIELD_BLOCK = b"\x82\x86\x04\x03/\xc3\xa9\x01\x01h"
REQUEST_FRAME = b"\0\0" + bytes([len(FIELD_BLOCK)]) + b"\x01\x05\0\0\0\x01"
PREFACES = {
    "preface": PREFACE,
    "empty settings": PREFACE + SETTINGS_FRAME,
    "path that is not ASCII": PREFACE + SETTINGS_FRAME + REQUEST_FRAME + FIELD_BLOCK,
    "no frame": PREFACE + b"\xff" * 64,
}
PORTS = {"callers": "/schedules/x", "readiness": "/readiness", "metrics": "/metrics"}


def open_port(router, port):
    addresses = {
        "callers": router.settings.callers,
        "readiness": router.settings.readiness,
        "metrics": f"127.0.0.1:{router.metrics_port}",
    }
    host, _, number = addresses[port].rpartition(":")
    return trio.open_tcp_stream(host, int(number))


def request_bytes(target, fields):
    lines = [f"GET {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_to_end(stream):
    """Return all bytes up to the end of a connection that must not be reset."""
    received = b""
    with trio.fail_after(5):
        async for part in stream:
            received += part
    return received


@pytest.fixture
async def streams_in_progress(deployment):
    """Check after a test that answers that began before it have become complete."""
    for engine in deployment.engines.values():
        engine.events = 60
    bodies = {}
    async with trio.open_nursery() as nursery:
        for number in range(4):
            router = deployment.routers[number % 2]
            caller, begun = await begin_stream(router, f"r{number}")
            nursery.start_soon(rest_of, caller, bodies, f"r{number}", begun)
        yield
    assert list(bodies.values()) == 4 * [deployment.complete_response()]


@pytest.mark.parametrize("upgrade", UPGRADES)
async def test_an_upgrade_ends_no_router_and_is_served_over_http_1(
    deployment, streams_in_progress, upgrade
):
    # Guards against the end of the router, and of the requests of all its callers.
    router = deployment.routers[0]
    # A server may leave an upgrade alone if the request says that it has a body.
    fields = [field for field in caller_fields("u", b"") if "length" not in field[0]]
    fields += [*UPGRADES[upgrade], ("Connection", "upgrade, http2-settings")]
    for port, target in PORTS.items():
        stream = await open_port(router, port)
        await stream.send_all(request_bytes(target, fields))
        with trio.fail_after(5):
            answer = await stream.receive_some()
        assert answer.startswith(b"HTTP/1.1 200 ")
    assert (await ask(router, "/bookings/x", "b"))[0] == 200


@pytest.mark.parametrize("preface", PREFACES)
async def test_a_preface_of_http_2_ends_no_router_and_gets_505(
    deployment, streams_in_progress, preface
):
    # Guards against the end of the router, and of the requests of all its callers.
    router = deployment.routers[0]
    for port in PORTS:
        stream = await open_port(router, port)
        await stream.send_all(PREFACES[preface])
        assert (await read_to_end(stream)).startswith(b"HTTP/1.1 505 ")
    assert (await ask(router, "/bookings/x", "b"))[0] == 200


@pytest.mark.parametrize("port", PORTS)
async def test_an_unexpected_error_on_a_connection_ends_no_other(
    deployment, streams_in_progress, monkeypatch, log_lines, port
):
    # Guards against errors of the HTTP library in cases that are not known yet.
    handle = H11Protocol.handle

    async def fail_on_patch(protocol, event):
        if getattr(event, "data", b"").startswith(b"PATCH"):
            raise RuntimeError("not expected")
        await handle(protocol, event)

    monkeypatch.setattr(H11Protocol, "handle", fail_on_patch)
    router = deployment.routers[0]
    stream = await open_port(router, port)
    await stream.send_all(b"PATCH / HTTP/1.1\r\n\r\n")
    with trio.fail_after(5):
        assert await stream.receive_some() == b""
        while not errors_of(log_lines):
            await trio.sleep(0.01)
    assert errors_of(log_lines) == ["connection of a caller"]
    assert (await ask(router, "/bookings/x", "b"))[0] == 200
