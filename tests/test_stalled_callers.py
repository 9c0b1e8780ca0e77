"""Callers that stop reading an answer, and the end of their server."""

from datetime import timedelta

import trio

from pistachioreach.server import bind, port_of, serve, serve_lifespan, server_config
from pistachioreach.settings import Address

#: Size of an answer that fits into no buffer of a connection.
ANSWER_BYTES = 64 * 1024 * 1024


async def answer_much(scope, receive, send):
    """Answer a request with more than a connection buffers."""
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
        return
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": bytes(ANSWER_BYTES)})


async def test_server_ends_in_time_although_a_caller_does_not_read():
    # Guards against a process that never exits: a send is shielded from cancellation,
    # and waits for as long as the caller does not read.
    listener = bind(Address("127.0.0.1", 0))
    port = port_of(listener)
    stopped = trio.Event()
    ended = trio.Event()

    async def run():
        config = server_config(listener, timedelta(seconds=0.2), 15.0)
        await serve(answer_much, config, stopped.wait)
        ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        caller = await trio.open_tcp_stream("127.0.0.1", port)
        await caller.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await trio.sleep(0.2)
        stopped.set()
        with trio.move_on_after(2.0):
            await ended.wait()
        in_time = ended.is_set()
        # Ends the send if it is still in progress.
        await trio.aclose_forcefully(caller)
        nursery.cancel_scope.cancel()
    assert in_time
