"""Tests of endpoints that leave in the soak, and of the check of late requests."""

from __future__ import annotations

import shutil
from types import SimpleNamespace

import pytest
import trio

from pistachioreach.platform.standins.endpoint import sender
from pistachioreach.platform.standins.engine import StandInEngine, StandInService
from soak import leaving
from soak.leaving import LeavingEndpoints
from soak.mutations import mutated
from soak.plan import Fault, Plan
from soak.run import OUTPUT_FOLDER, run_plan

#: Faults in which an endpoint of the plain service leaves by a statement, another one
#: by removal, and three engines by a report.
STATEMENT = Fault(0.2, "leaving of a service's endpoint", 4.5, 1)
REMOVAL = Fault(0.2, "leaving of a service's endpoint", 4.5, 2)
REPORTS = Fault(0.2, "leaving of several engines", 5.5, 192)


@pytest.mark.parametrize(
    ("name", "fault", "way"),
    [
        ("statements of leaving ignored", STATEMENT, "statement"),
        ("removals ignored", REMOVAL, "removal"),
        ("leaving engines kept in later stages", REPORTS, "report"),
    ],
)
async def test_a_run_detects_requests_at_endpoints_that_left(name, fault, way):
    plan = Plan(seed=1, router_count=2, fault_seconds=4.0, faults=(fault,))
    folder = f"test-{way}"
    events = OUTPUT_FOLDER / folder / "events.txt"
    shutil.rmtree(events.parent, ignore_errors=True)
    # The run is cut short at the violation, to keep the tests short.
    with mutated(name) as source, trio.fail_after(40):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_plan, plan, folder, source)
            while not events.exists() or f"which left by {way}" not in (
                text := events.read_text()
            ):
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
    assert "traffic begins" in text


class LeavingStage:
    """Two engines and an endpoint of the service, of which one leaves, and a router."""

    def __init__(self, record):
        self.engines = {}
        for address in ("a", "b"):
            self.engines[address] = StandInEngine(address, "l4", "anta", self.engines)
            self.engines[address].layers = (0, 80)
        self.services = {"c": StandInService("c")}
        self.links = {
            address: SimpleNamespace(late_at={}, reset_connections=lambda: None)
            for address in "abc"
        }
        self.write_registrations = lambda: None
        self.routers = [
            SimpleNamespace(name=f"entry-{n}", host=f"127.0.0.{n}", interruptions=1)
            for n in range(2)
        ]
        self.record = record
        self.checks = LeavingEndpoints(self, self.routers, record)
        self.checks.observe_requests()

    def request_chain(self, *addresses, source="127.0.0.0", request="0.1.2"):
        """Let a request arrive at the first engine of a chain."""
        sender.set(source)
        chain = [(a, 40 * n, 40 * n + 40) for n, a in enumerate(addresses)]
        self.engines[addresses[0]].start_chain(request, chain)


@pytest.fixture
async def stage(record):
    return LeavingStage(record)


@pytest.mark.parametrize("way", ["report", "removal"])
@pytest.mark.parametrize("chain", [("a", "b"), ("b", "a")])
async def test_a_late_request_counts_at_each_stage_of_a_chain(
    stage, nursery, autojump_clock, way, chain
):
    nursery.start_soon(stage.checks.leave, stage.engines["b"], way, 5.0)
    await trio.sleep(2.4)
    stage.request_chain(*chain)
    assert not stage.record.violations
    await trio.sleep(0.2)
    stage.request_chain("a")
    assert not stage.record.violations
    stage.request_chain(*chain)
    assert len(stage.record.violations) == 1
    await trio.sleep(5.0)
    stage.request_chain(*chain)
    assert len(stage.record.violations) == 1


async def test_a_changed_chain_counts_only_at_its_new_stages(
    stage, nursery, autojump_clock
):
    stage.request_chain("a", "b", request="0.1.1")
    stage.request_chain("a", request="0.1.2")
    nursery.start_soon(stage.checks.leave, stage.engines["b"], "report", 5.0)
    await trio.sleep(3.0)
    for request, violations in (("0.1.1", 0), ("0.1.2", 1)):
        body = {"id": request, "path": "a=0-40,b=40-80"}
        assert stage.engines["a"].reroute(body) == 200
        assert len(stage.record.violations) == violations


async def test_a_late_request_of_a_router_out_of_touch_or_held_up_is_excused(
    stage, nursery, autojump_clock
):
    nursery.start_soon(stage.checks.leave, stage.engines["a"], "removal", 6.0)
    await trio.sleep(3.0)
    stage.links["a"].late_at["127.0.0.0"] = trio.current_time()
    stage.request_chain("a")
    stage.record.add_disturbance("entry-0", "stopped")
    await trio.sleep(1.0)
    stage.request_chain("a", source="127.0.0.1")
    assert not stage.record.violations
    stage.request_chain("a", source="127.0.0.1", request="1.1.2")
    assert len(stage.record.violations) == 1


async def test_a_statement_binds_the_router_that_passed_it_on(
    stage, nursery, autojump_clock
):
    nursery.start_soon(stage.checks.leave, stage.engines["a"], "statement", 6.0)
    await trio.sleep(0.5)
    stage.request_chain("a")
    stage.checks.record_answer("0.1.2", stage.routers[0])
    stage.record.add_disturbance("entry-0", "callers' link reset")
    await trio.sleep(3.0)
    stage.request_chain("b", "a", source="127.0.0.1", request="1.1.2")
    assert not stage.record.violations
    stage.request_chain("b", "a")
    assert len(stage.record.violations) == 1
    stage.routers[0].interruptions += 1
    stage.request_chain("a")
    assert len(stage.record.violations) == 1


async def test_an_answer_to_a_request_that_ran_twice_binds_no_router(
    stage, nursery, autojump_clock
):
    nursery.start_soon(stage.checks.leave, stage.engines["a"], "statement", 6.0)
    await trio.sleep(0.5)
    stage.request_chain("a")
    stage.request_chain("b")
    stage.checks.record_answer("0.1.2", stage.routers[0])
    await trio.sleep(3.0)
    stage.request_chain("a")
    assert not stage.record.violations


async def test_enough_endpoints_stay(stage, nursery, autojump_clock, monkeypatch):
    monkeypatch.setattr(leaving, "MAX_LEAVING_ENGINES", 1)
    for endpoint in (*stage.engines.values(), *stage.services.values()):
        nursery.start_soon(stage.checks.leave, endpoint, "report", 3.0)
    await trio.sleep(1.0)
    engines = stage.engines.values()
    assert sorted(engine.leaving for engine in engines) == ["", "report"]
    assert stage.services["c"].leaving
    await trio.sleep(5.0)
    assert sorted(engine.start_count for engine in engines) == [1, 2]
    assert not any(engine.leaving or engine.dead for engine in engines)
