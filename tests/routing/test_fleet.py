"""Tests of the division of model servers' slots among entries."""

from __future__ import annotations

from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.routing.fleet import Fleet
from tests.builders import PORTS

ENTRIES = 7
#: Number of slots on the model servers of each layer range in the demo manifest.
SLOTS = 24


def make_fleets():
    fleets = []
    for rank in range(ENTRIES):
        fleet = Fleet()
        fleet.load_manifest(demo_manifest(ports=PORTS))
        fleet.assign_slots(rank, ENTRIES)
        fleets.append(fleet)
    return fleets


def report_load(fleets, running, now):
    """Give every entry load reports that include its own streams.

    Args:
        fleets: Fleets of all entries.
        running: Number of running streams of each entry, spread over three servers of
            each layer range.
        now: Monotonic time of the reports.
    """
    total = sum(running)
    for fleet, own in zip(fleets, running, strict=True):
        for states in fleet.ranges["clearance"].values():
            for n, state in enumerate(states):
                state.in_flight = own // 3 + (n < own % 3)
                taken = total // 3 + (n < total % 3)
                load = {"running": taken, "waiting": 0, "leaving": False}
                state.observe_load(load, now)


def test_burst_at_all_entries_before_any_load_report_fits_the_slots():
    assert sum(fleet.available_slots(0.0) for fleet in make_fleets()) <= SLOTS


def test_burst_at_all_entries_after_an_idle_load_report_fits_the_slots():
    fleets = make_fleets()
    report_load(fleets, [0] * ENTRIES, 0.0)
    assert sum(fleet.available_slots(0.1) for fleet in fleets) <= SLOTS


def test_only_entry_with_traffic_gets_most_slots_over_time():
    fleets = make_fleets()
    running = [0] * ENTRIES
    for second in range(10):
        report_load(fleets, running, float(second))
        running[0] = fleets[0].available_slots(second + 0.1)
        assert running[0] <= SLOTS
    assert running[0] >= 0.7 * SLOTS


def test_expired_load_report_is_ignored():
    fleets = make_fleets()
    report_load(fleets, [12] + [0] * (ENTRIES - 1), 0.0)
    assert fleets[0].available_slots(0.1) > fleets[0].available_slots(6.0) > 0
