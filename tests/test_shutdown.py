"""Requests that are still in progress at the end of a router's shutdown."""

import pytest
import trio

from pistachioreach.platform.standins.deployment import KEY
from tests.raw_servers import RawServer
from tests.test_router import add_uploads, connect

#: Seconds from the signal until the platform kills the process.
GRACE_SECONDS = 2.0


async def begin_shutdown(router, nursery):
    """Begin the shutdown of a router with a short grace period."""
    router.settings = router.settings._replace(grace=GRACE_SECONDS)
    nursery.start_soon(router.shut_down)
    await trio.sleep(0.1)


async def send_upload(router):
    """Send a call whose deadline is later than the end of the grace period."""
    caller = await connect(router)
    await caller.send("/uploads/x", attempt_id="u", authorization=f"Token {KEY}")
    return caller


@pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
async def test_call_in_progress_at_the_end_of_a_shutdown_gets_an_answer(
    deployment, nursery, before
):
    # Guards against the end of the connection in place of an answer.
    router = deployment.routers[0]
    silent = await RawServer([b""]).start(nursery)
    await add_uploads(deployment, silent.address)
    if before:
        caller = await send_upload(router)
        await trio.sleep(0.1)
    await begin_shutdown(router, nursery)
    if not before:
        caller = await send_upload(router)
    with trio.fail_after(GRACE_SECONDS):
        status, fields, _ = await caller.answer()
    assert status == 504
    assert fields[b"connection"] == b"close"


async def test_stream_that_waits_at_the_end_of_a_shutdown_is_refused(
    deployment, nursery
):
    # Guards against the end of the connection of a caller who may send it again.
    router = deployment.routers[0]
    await begin_shutdown(router, nursery)
    for engine in deployment.engines.values():
        engine.hung = True
    caller = await connect(router)
    await caller.send("/plans/x", attempt_id="p", authorization=f"Token {KEY}")
    with trio.fail_after(GRACE_SECONDS):
        status, _, _ = await caller.answer()
    assert status in (502, 503, 504)
