"""Hierarchy of the entries, and the load that each of them knows through it."""

import random

import pytest
from loguru import logger

from pistachioreach.configuration.row import Member
from pistachioreach.knowledge.contacts import Contacts
from pistachioreach.knowledge.entries import KnownEntries
from pistachioreach.knowledge.hierarchy import GROUP_ENTRIES, POLLERS, arrange
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from pistachioreach.routing.engine_load import EngineLoad, LoadTracker, Reservation
from tests.platform_builders import FakeClock

#: Seconds between two reports of an entry.
ROUND_SECONDS = 0.25
#: Rounds within which a report has passed from any entry to any other: up to the
#: collector, to the head, to the other head, and down to the collector and the entry.
ROUNDS_TO_ALL = 5


def fleet(entries, domains=5):
    """Return the members of a fleet by name, spread evenly over failure domains."""
    return {
        f"edge-{number % domains}-{number:04}": Member(
            f"edge-{number % domains}-{number:04}",
            "",
            f"domain-{number % domains}",
            "",
            0,
        )
        for number in range(entries)
    }


def places(members, unreachable=frozenset()):
    """Return the place of each reachable entry by name."""
    return {
        name: arrange(member, members, unreachable)
        for name, member in members.items()
        if name not in unreachable
    }


class ReportingFleet:
    """Entries that report their load along the hierarchy, without a network.

    As on the real links, the entries report in random order.
    """

    def __init__(self, entries, seed=1):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.members = fleet(entries)
        self.trackers = {name: LoadTracker() for name in self.members}

    def report_round(self, lost=frozenset()):
        now = self.clock.monotonic()
        place_of = places(self.members, lost)
        names = [name for name in self.members if name not in lost]
        self.random.shuffle(names)
        for name in names:
            place, tracker = place_of[name], self.trackers[name]
            tracker.drop_expired(now)
            sent = tracker.group_report()
            if place.parent is not None:
                parent = self.trackers[place.parent]
                parent.record_child(name, now, sent)
                tracker.record_total(now, parent.total_report(), sent)
            for head in place.heads if place.parent is None else ():
                self.trackers[head].record_head(name, now, sent)
        self.clock.advance(ROUND_SECONDS)

    def add_streams(self, names):
        for name in names:
            engines = self.random.sample(range(190), 8)
            reservation = Reservation(tuple((f"i-{e}", 9000.0) for e in engines))
            self.trackers[name].add_stream(reservation)

    def true_loads(self, names):
        loads = {}
        for name in names:
            for engine, load in self.trackers[name].own.items():
                known = loads.get(engine, EngineLoad(0, 0.0))
                loads[engine] = EngineLoad(
                    known.streams + load.streams, known.memory + load.memory
                )
        return loads


@pytest.mark.parametrize("entries", [1, 7, 8, 9, 60, 195, 1000])
def test_reports_reach_a_head_and_no_entry_collects_from_many(entries):
    members = fleet(entries)
    place_of = places(members)
    children = dict.fromkeys(members, 0)
    for name, place in place_of.items():
        if place.parent is not None:
            assert place.parent < name
            assert members[place.parent].failure_domain == members[name].failure_domain
            children[place.parent] += 1
        assert place.pollers == next(iter(place_of.values())).pollers
        assert len(place.pollers) == min(POLLERS, entries)
        assert not place.missed
    heads = {name for name, place in place_of.items() if place.parent is None}
    for head in heads:
        assert set(place_of[head].heads) == heads - {head}
        assert len(place_of[head].heads) <= 7
    collectors = -(-entries // 5 // GROUP_ENTRIES) + 1
    assert max(children.values()) <= 2 * GROUP_ENTRIES + collectors


@pytest.mark.parametrize("entries", [7, 60, 195, 1000])
def test_each_entry_knows_the_load_of_all_after_five_rounds(entries):
    """The same bound on the age of what an entry knows holds at every size."""
    group = ReportingFleet(entries)
    names = sorted(group.members)
    group.add_streams(names)
    for _ in range(ROUNDS_TO_ALL + 1):
        group.report_round()
    # The streams of this moment must be known everywhere five rounds later.
    group.add_streams(names)
    expected = group.true_loads(names)
    for _ in range(ROUNDS_TO_ALL):
        group.report_round()
    for tracker in group.trackers.values():
        assert tracker.entry_count() == entries
        assert {f"i-{e}": tracker.load(f"i-{e}") for e in range(190)} == {
            f"i-{e}": expected.get(f"i-{e}", (0, 0.0)) for e in range(190)
        }


def test_the_load_is_known_again_after_the_loss_of_heads_and_collectors():
    group = ReportingFleet(195)
    names = sorted(group.members)
    group.add_streams(names)
    for _ in range(ROUNDS_TO_ALL):
        group.report_round()
    lost = frozenset(names[:3] + names[39:42])
    left = [name for name in names if name not in lost]
    # The last reports of the lost entries count until they expire.
    for _ in range(round(3.0 / ROUND_SECONDS) + 2 * ROUNDS_TO_ALL):
        group.report_round(lost)
    expected = group.true_loads(left)
    for name in left:
        tracker = group.trackers[name]
        assert tracker.entry_count() == len(left)
        assert all(tracker.load(engine) == load for engine, load in expected.items())


def test_another_entry_takes_the_place_of_each_lost_one():
    members = fleet(60)
    names = sorted(members)
    lost = frozenset((names[0], names[12]))
    for name, place in places(members, lost).items():
        assert not lost & {place.parent, *place.heads, *place.pollers}
        assert place.missed == tuple(sorted(lost))
        assert place.collectors[0] <= name
    # The loss of an entry that nobody reports to changes nothing.
    last = frozenset(names[-1:])
    place = arrange(members[names[0]], members, last)
    assert place.missed == ()


def test_an_isolated_entry_finds_the_others_soon_after_the_partition():
    clock = FakeClock()
    contacts = Contacts(clock, random.Random(1))
    contacts.record_message("head", replied=True)
    for _ in range(200):
        for name in ("head", "other"):
            if contacts.may_try(name):
                contacts.record_failure(name)
        clock.advance(0.1)
    waits = [contacts.retry_at[name] - clock.monotonic() for name in ("head", "other")]
    assert max(waits) <= 1.0


def test_an_unreachable_entry_is_tried_at_growing_intervals():
    clock = FakeClock()
    contacts = Contacts(clock, random.Random(1))
    tries = 0
    for _ in range(600):
        if contacts.may_try("a"):
            tries += 1
            contacts.record_failure("a")
        contacts.record_message("head", replied=True)
        clock.advance(0.1)
    assert 8 <= tries <= 16
    assert contacts.unreachable == {"a"}
    contacts.record_reachable(["a", "b"])
    assert contacts.may_try("a")
    contacts.record_message("a", replied=False)
    assert not contacts.unreachable


def test_a_change_of_the_place_is_logged_once():
    members = fleet(60)
    own = members[max(members)]
    clock = FakeClock()
    view = PlatformView(clock, poll_schedules(2.0, 2.0))
    view.members = members
    entries = KnownEntries(own, view, clock, random.Random(1))
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    try:
        for _ in range(3):
            entries.log_place()
        first = entries.hierarchy().parent
        entries.contacts.record_failure(first)
        entries.log_place()
    finally:
        logger.remove(sink)
    assert [line["parent"] for line in lines] == [first, entries.hierarchy().parent]
    assert lines[1]["unreachable"] == [first]
