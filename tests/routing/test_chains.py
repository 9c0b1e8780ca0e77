"""Tests of chain planning and of the assignment of slots to entries."""

from __future__ import annotations

import random

import pytest

from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.routing.chains import Planner, format_chain
from pistachioreach.routing.fleet import Fleet
from tests.builders import PORTS


def make_planner(**options):
    fleet = Fleet()
    fleet.load_manifest(demo_manifest(ports=PORTS, **options))
    return Planner(fleet, "urubamba", random.Random(1))


def test_chain_covers_each_layer_once():
    planner = make_planner()
    for _ in range(50):
        chain = planner.plan("clearance", 0.0)
        edges = [(stage.first, stage.last) for stage in chain.stages]
        assert edges == [(0, 8), (8, 16), (16, 24)]


def test_stages_are_cut_where_layer_ranges_overlap():
    manifest = demo_manifest(ports=PORTS, replicas=1)
    first, second, third = manifest["endpoints"]
    first.update(first_layer=0, last_layer=10)
    second.update(first_layer=6, last_layer=20)
    third.update(first_layer=20, last_layer=24)
    fleet = Fleet()
    fleet.load_manifest(manifest)
    chain = Planner(fleet, "anta", random.Random(1)).plan("clearance", 0.0)
    assert format_chain(chain.stages) == (
        "stage-0-0[0:10] stage-1-0[10:20] stage-2-0[20:24]"
    )


@pytest.mark.parametrize("reason", ["leaving", "ejected", "unreachable", "avoided"])
def test_unusable_endpoints_are_excluded(reason):
    planner = make_planner(replicas=2)
    state = planner.fleet.states["stage-1-0"]
    avoid = frozenset()
    if reason == "leaving":
        state.leaving_sources.add("test")
    elif reason == "ejected":
        state.eject(0.0)
    elif reason == "unreachable":
        state.unreachable = True
    else:
        avoid = frozenset({"stage-1-0"})
    for _ in range(50):
        chain = planner.plan("clearance", 0.5, avoid=avoid)
        assert chain.stages[1].endpoint == "stage-1-1"


def test_endpoints_with_free_slots_are_preferred_to_full_ones():
    planner = make_planner(replicas=2, concurrency=4)
    planner.fleet.states["stage-1-0"].in_flight = 4
    for _ in range(50):
        assert planner.plan("clearance", 0.0).stages[1].endpoint == "stage-1-1"


def test_suspect_request_avoids_endpoints_with_other_suspects():
    planner = make_planner(replicas=2)
    planner.fleet.states["stage-1-0"].suspect_requests = 1
    for _ in range(50):
        chain = planner.plan("clearance", 0.0, isolate=True)
        assert chain.stages[1].endpoint == "stage-1-1"
    planner.fleet.states["stage-1-1"].suspect_requests = 1
    assert planner.plan("clearance", 0.0, isolate=True) is None


def test_each_slot_is_assigned_to_exactly_one_entry():
    entries = 7
    assigned = {}
    for rank in range(entries):
        fleet = Fleet()
        fleet.load_manifest(demo_manifest(ports=PORTS))
        fleet.assign_slots(rank, entries)
        for name, state in fleet.states.items():
            assigned[name] = assigned.get(name, 0) + state.own_slots
    assert all(assigned[f"stage-{s}-{r}"] == 8 for s in range(3) for r in range(3))


def test_endpoint_without_observations_is_neither_preferred_nor_avoided():
    planner = make_planner(replicas=4, concurrency=50)
    planner.fleet.assign_slots(0, 1)
    for name, state in planner.fleet.states.items():
        if name != "stage-1-0":
            state.observe_gap(0.02, 0.0)
    for _ in range(80):
        for stage in planner.plan("clearance", 0.0).stages:
            planner.fleet.states[stage.endpoint].in_flight += 1
    assert 10 <= planner.fleet.states["stage-1-0"].in_flight <= 30
