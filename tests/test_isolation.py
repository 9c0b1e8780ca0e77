"""Errors that nothing expects, in tasks that depend on what one peer sent."""

import pytest
import trio

from pistachioreach.isolation import isolate_errors
from pistachioreach.knowledge.table import TableCopy
from pistachioreach.platform.standins.deployment import StandInDeployment
from pistachioreach.platform.store import StoredRow
from tests.placement.test_placer import FakeEngines, World
from tests.test_router import ask


class FaultyEngines(FakeEngines):
    """Engines of which one makes each request for it raise an error."""

    faulty = "anta-a100-0"
    attempts = 0

    async def call(self, id, *args, **kwargs):
        if id == self.faulty:
            self.attempts += 1
            raise RuntimeError("not expected")
        return await super().call(id, *args, **kwargs)


def errors_of(lines):
    """Return the tasks of the logged unexpected errors."""
    return [
        line["extra"]["task"]
        for line in lines
        if line["message"] == "unexpected error" and line["exception"] is not None
    ]


async def test_an_error_in_the_order_of_one_engine_ends_no_other(
    autojump_clock, log_lines
):
    # Guards against one engine that ends the process of the placer with all requests.
    world = World()
    world.engines = world.placer.connections = FaultyEngines(world.directory)
    assert FaultyEngines.faulty in world.directory.endpoints
    await world.run(8.0)
    assert len(world.engines.orders) == 32
    assert set(errors_of(log_lines)) == {"order of layers"}
    # The placer waits before it tries the same again.
    assert 2 <= world.engines.attempts <= 8


async def test_an_error_in_a_plan_does_not_end_the_placer(autojump_clock, log_lines):
    world = World()
    plan = world.placer.layout
    world.placer.layout = None
    await world.run(4.0)
    assert not world.engines.orders
    world.placer.layout = plan
    await world.run(4.0)
    assert len(world.engines.orders) == 33
    assert set(errors_of(log_lines)) == {"plan of layers"}


def test_an_error_in_one_row_keeps_no_other_from_the_copy(log_lines):
    # Guards against a row that ends the process again at each start.
    applied = []

    def apply(row):
        if row.value == b"bad":
            raise RuntimeError("not expected")
        applied.append(row.key)
        return True

    copy = TableCopy("servers", apply)
    rows = [StoredRow("a", 1, b"a"), StoredRow("b", 2, b"bad"), StoredRow("c", 3, b"c")]
    copy.apply_changes(rows, 3)
    assert applied == ["a", "c"]
    assert copy.version == 3
    assert errors_of(log_lines) == ["change of a row"]


@pytest.mark.parametrize("method", ["handle_frame", "apply_message"])
async def test_an_error_in_a_message_of_an_entry_ends_no_router(
    nursery, monkeypatch, log_lines, method
):
    # Guards against an entry of another release that ends all the others.
    deployment = StandInDeployment(nursery)
    with trio.fail_after(20):
        await deployment.start()
    gossip = deployment.routers[0].gossip

    def fail(*args):
        raise RuntimeError("not expected")

    monkeypatch.setattr(gossip, method, fail)
    await trio.sleep(1.0)
    assert errors_of(log_lines)
    monkeypatch.undo()
    for router in deployment.routers:
        assert (await ask(router, "/bookings/x", "b"))[0] == 200


async def test_an_error_beside_a_cancellation_is_logged_and_ends_nothing(log_lines):
    # Guards against a shutdown that an error in a task that it cancels breaks off.
    async def fail_when_cancelled():
        try:
            await trio.sleep_forever()
        finally:
            raise RuntimeError("not expected")

    with trio.move_on_after(0.01) as scope:
        with isolate_errors("task"):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fail_when_cancelled)
                await trio.sleep_forever()
    assert scope.cancelled_caught
    assert errors_of(log_lines) == ["task"]
