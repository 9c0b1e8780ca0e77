"""Division of the engines' places among entries."""

from __future__ import annotations

from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.routing.fleet import Fleet
from tests.builders import PORTS

ENTRIES = 7
#: Places on the engines of each layer range of the demo's manifest.
PLACES = 24


def make_fleets():
    fleets = []
    for rank in range(ENTRIES):
        fleet = Fleet()
        fleet.load_manifest(demo_manifest(ports=PORTS))
        fleet.assign_slots(rank, ENTRIES)
        fleets.append(fleet)
    return fleets


def report(fleets, running, now):
    """Let each entry read a report in which its own streams are a part."""
    total = sum(running)
    for fleet, own in zip(fleets, running, strict=True):
        for states in fleet.ranges["clearance"].values():
            for n, state in enumerate(states):
                state.in_flight = own // 3 + (n < own % 3)
                taken = total // 3 + (n < total % 3)
                load = {"running": taken, "waiting": 0, "leaving": False}
                state.observe_load(load, now)


def test_a_burst_at_all_entries_before_any_report_fits_the_places():
    assert sum(fleet.available_slots(0.0) for fleet in make_fleets()) <= PLACES


def test_a_burst_at_all_entries_after_a_quiet_report_fits_the_places():
    fleets = make_fleets()
    report(fleets, [0] * ENTRIES, 0.0)
    assert sum(fleet.available_slots(0.1) for fleet in fleets) <= PLACES


def test_an_entry_that_alone_has_traffic_gets_most_places_with_time():
    fleets = make_fleets()
    running = [0] * ENTRIES
    for second in range(10):
        report(fleets, running, float(second))
        running[0] = fleets[0].available_slots(second + 0.1)
        assert running[0] <= PLACES
    assert running[0] >= 0.7 * PLACES


def test_an_old_report_counts_for_nothing():
    fleets = make_fleets()
    report(fleets, [12] + [0] * (ENTRIES - 1), 0.0)
    assert fleets[0].available_slots(0.1) > fleets[0].available_slots(6.0) > 0
