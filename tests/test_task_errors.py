"""Unexpected errors in the tasks of a router while requests are in progress."""

from operator import attrgetter

import trio

from pistachioreach.platform.standins.deployment import KEY
from pistachioreach.router import Router
from tests.test_isolation import errors_of
from tests.test_router import ask, connect

#: A function that each task of a router calls again and again.
FUNCTIONS_OF_TASKS = {
    "follow_tables": "platform_view.connectivity.record_answer",
    "gossip.run": "load_tracker.drop_expired",
    "placer.run": "placer.lease.held",
    "tick": "platform_view.drop_expired",
    "follow_settings": "reload",
}


async def start_streams(router, count):
    """Begin streams and return their callers, each after its first event."""
    callers = []
    for number in range(count):
        caller = await connect(router)
        await caller.send(
            "/plans/x", attempt_id=f"r{number}", authorization=f"Token {KEY}"
        )
        assert (await caller.next_event()).status_code == 200
        caller.received = (await caller.next_event()).data
        callers.append(caller)
    return callers


async def finish_streams(deployment, callers):
    """Read the rest of the streams; each must be complete."""
    wanted = deployment.complete_response()
    with trio.fail_after(10):
        for caller in callers:
            while len(caller.received) < len(wanted):
                caller.received += (await caller.next_event()).data
            assert caller.received == wanted


def fail_once(monkeypatch, router, path):
    """Make a function raise an error that nothing expects, at its next call."""
    owner, _, name = path.rpartition(".")
    owner = attrgetter(owner)(router) if owner else router
    function = getattr(owner, name)
    calls = {"failed": 0, "passed": 0}

    def replacement(*args):
        if not calls["failed"]:
            calls["failed"] += 1
            raise RuntimeError("not expected")
        calls["passed"] += 1
        return function(*args)

    monkeypatch.setattr(owner, name, replacement)
    return calls


async def test_errors_in_background_tasks_cut_no_request(
    deployment, monkeypatch, log_lines
):
    # Guards against one error of a periodic task that ends all requests in progress.
    router = deployment.routers[0]
    callers = await start_streams(router, 3)
    all_calls = [
        fail_once(monkeypatch, router, path) for path in FUNCTIONS_OF_TASKS.values()
    ]
    await finish_streams(deployment, callers)
    with trio.fail_after(8):
        while any(calls["passed"] < 2 for calls in all_calls):
            await trio.sleep(0.05)
    failed = {task.rpartition(".")[2] for task in errors_of(log_lines)}
    assert failed == {"follow_tables", "run", "tick", "follow_settings"}
    assert not router.drain.begun
    assert (await ask(router, "/bookings/x", "b"))[0] == 200


class RouterNursery:
    """Nursery of a router that may end with an error."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.ended = trio.Event()
        self.error = None

    def start_soon(self, run):
        self.nursery.start_soon(self.run_to_end, run)

    async def run_to_end(self, run):
        try:
            await run()
        except Exception as error:
            self.error = error
        self.ended.set()


async def test_an_error_that_ends_a_server_drains_the_router(
    deployment, monkeypatch, log_lines
):
    # Guards against a listening socket whose loss ends all requests in progress.
    fault = trio.Event()

    async def serve_readiness(router):
        await fault.wait()
        raise OSError("the listening socket is lost")

    monkeypatch.setattr(Router, "serve_readiness", serve_readiness)
    deployment.nursery = RouterNursery(deployment.nursery)
    router = deployment.add_router("entry-2", "anta")
    with trio.fail_after(10):
        while not router.ready():
            await trio.sleep(0.05)
    callers = await start_streams(router, 3)
    fault.set()
    await finish_streams(deployment, callers)
    assert not router.ready()
    with trio.fail_after(8):
        await deployment.nursery.ended.wait()
    assert str(deployment.nursery.error) == "the listening socket is lost"
    assert router.failure.task == "serve_readiness"
    assert router.failure.in_progress == 3
    assert "drain ends" in [line["message"] for line in log_lines]


async def test_an_error_in_the_release_of_the_lease_cuts_no_request(
    deployment, nursery, monkeypatch, log_lines
):
    # Guards against a drain that ends all requests in progress.
    router = deployment.routers[0]

    async def fail():
        raise RuntimeError("not expected")

    monkeypatch.setattr(router.placer, "stop", fail)
    callers = await start_streams(router, 3)
    nursery.start_soon(router.shut_down)
    await finish_streams(deployment, callers)
    assert errors_of(log_lines) == ["release of the lease"]
