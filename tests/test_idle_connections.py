"""Kept connections whose idle time ends at the moment at which a request arrives."""

from datetime import timedelta

import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from pistachioreach.server import bind, port_of, serve, serve_lifespan, server_config
from pistachioreach.settings import Address

IDLE_SECONDS = 15.0
#: Number of connections; trio runs their tasks in either order.
CONNECTIONS = 40
REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def clock():
    return MockClock()


class PassingApp:
    """Application that notes the requests which it has passed on to an endpoint."""

    def __init__(self):
        self.passed_on = []

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        while (await receive()).get("more_body"):
            pass
        self.passed_on.append(scope["path"])
        # The endpoint's answer arrives in a later pass of the event loop.
        for _ in range(10):
            await trio.lowlevel.checkpoint()
        fields = [(b"content-length", b"0")]
        start = {"type": "http.response.start", "status": 200, "headers": fields}
        await send(start)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def start(nursery):
    app = PassingApp()
    listener = bind(Address("127.0.0.1", 0))
    port = port_of(listener)
    config = server_config(listener, timedelta(seconds=5), IDLE_SECONDS)
    shutdown = trio.Event()
    nursery.start_soon(serve, app, config, shutdown.wait)
    streams = [
        await trio.open_tcp_stream("127.0.0.1", port) for _ in range(CONNECTIONS)
    ]
    for stream in streams:
        await stream.send_all(REQUEST % 0)
        assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")
    await wait_all_tasks_blocked(0.05)
    app.passed_on.clear()
    return app, streams, shutdown


async def is_answered(stream):
    """Return whether an answer comes before the connection ends."""
    try:
        answer = await stream.receive_some()
    except trio.BrokenResourceError:
        return False
    assert answer == b"" or answer.startswith(b"HTTP/1.1 200 ")
    return bool(answer)


@pytest.mark.parametrize("event", ["idle", "shutdown"])
async def test_a_request_is_passed_on_only_if_its_connection_stays_open(
    nursery, clock, event
):
    # Guards against requests that are read as the connection is closed, and passed on.
    app, streams, shutdown = await start(nursery)
    for number, stream in enumerate(streams):
        # The bytes arrive, and the time ends, while the process stands still.
        stream.socket._sock.send(REQUEST % number)
    if event == "idle":
        clock.jump(IDLE_SECONDS)
    else:
        shutdown.set()
    answered = [
        f"/{number}"
        for number, stream in enumerate(streams)
        if await is_answered(stream)
    ]
    assert sorted(app.passed_on) == sorted(answered)
    if event == "idle":
        assert len(answered) == CONNECTIONS


async def test_an_idle_connection_is_closed(nursery, clock):
    app, streams, _ = await start(nursery)
    clock.jump(IDLE_SECONDS)
    assert not any([await is_answered(stream) for stream in streams])
    assert app.passed_on == []


async def test_an_idle_connection_is_closed_at_a_shutdown(nursery, clock):
    app, streams, shutdown = await start(nursery)
    shutdown.set()
    assert not any([await is_answered(stream) for stream in streams])
    assert app.passed_on == []
