"""Marks of endpoints that failed, and how they spread among the entries."""

from __future__ import annotations

import random

from pistachioreach.endpoints.health import (
    INITIAL_QUARANTINE_SECONDS,
    MAX_QUARANTINE_SECONDS,
    PEER_EXTRA_SECONDS,
    HealthTracker,
)
from pistachioreach.knowledge.gossip import FAILURE_FANOUT, FANOUT
from tests.platform_builders import FakeClock, endpoint

ENTRIES = 66
#: Seconds between rounds.
ROUND = 0.25


class Fleet:
    """Entries that exchange what they avoid."""

    def __init__(self, seed=1):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        self.marks = [HealthTracker(self.clock) for _ in range(ENTRIES)]
        self.endpoints = [endpoint("dead") for _ in range(ENTRIES)]

    def ask(self, number, fanout=FANOUT):
        """Let one entry do its round."""
        for other in self.random.sample(range(ENTRIES), fanout):
            for one, two in ((number, other), (other, number)):
                told = self.marks[one].quarantine_notices([self.endpoints[one]])
                for blame in told.values():
                    self.marks[two].apply_notice(self.endpoints[two], blame)

    def round(self):
        for number in range(ENTRIES):
            self.ask(number)
        self.clock.advance(ROUND)

    def usable(self):
        now = self.clock.monotonic()
        return sum(endpoint.usable(now) for endpoint in self.endpoints)


def test_the_word_of_a_dead_engine_reaches_all_entries_in_two_rounds():
    fleet = Fleet()
    fleet.marks[0].mark_unusable(fleet.endpoints[0], "nothing listens")
    fleet.round()
    fleet.round()
    assert fleet.usable() == 0


def test_few_entries_try_a_dead_engine_until_its_registration_lapses():
    """A stream comes to each entry twice a second; the registration lasts 4 s."""
    fleet = Fleet()
    tries, step = 0, 0.08
    for number in range(round(4.0 / step)):
        news = [marks.announcement for marks in fleet.marks]
        now = fleet.clock.monotonic()
        for entry, engine in enumerate(fleet.endpoints):
            if fleet.random.random() < 2 * step and engine.usable(now):
                tries += 1
                fleet.marks[entry].mark_unusable(engine, "nothing listens")
        for entry, event in enumerate(news):
            if number % 3 == entry % 3:
                fleet.ask(entry)
            elif event.is_set():
                fleet.ask(entry, FAILURE_FANOUT)
        fleet.clock.advance(step)
    assert tries <= ENTRIES / 2


def test_the_word_ends_everywhere_though_all_go_on_telling_it():
    fleet = Fleet()
    fleet.marks[0].mark_unusable(fleet.endpoints[0], "nothing listens")
    for _ in range(round((MAX_QUARANTINE_SECONDS + PEER_EXTRA_SECONDS) / ROUND) + 1):
        fleet.round()
    assert fleet.usable() == ENTRIES


def test_an_engine_through_which_a_stream_runs_is_avoided_no_longer():
    clock = FakeClock()
    marks, engine = HealthTracker(clock), endpoint("e")
    marks.record_failure(engine, "503", notify_peers=True)
    marks.record_success(engine)
    assert engine.usable(clock.monotonic())
    assert not marks.quarantine_notices([engine])


def test_an_engine_short_of_memory_is_of_use_to_others_soon():
    """One that is full at this moment must not be left by all entries at once."""
    fleet = Fleet()
    fleet.marks[0].record_failure(fleet.endpoints[0], "503", notify_peers=True)
    blame = fleet.marks[0].quarantine_notices(fleet.endpoints[:1])["dead"]
    assert not blame.lost
    fleet.marks[1].apply_notice(fleet.endpoints[1], blame)
    assert not fleet.marks[1].quarantine_notices(fleet.endpoints[1:2])
    fleet.clock.advance(INITIAL_QUARANTINE_SECONDS)
    assert fleet.usable() == ENTRIES


def test_an_engine_that_often_refuses_causes_no_early_messages():
    clock = FakeClock()
    marks, engine = HealthTracker(clock), endpoint("e")
    news = marks.announcement
    for _ in range(40):
        marks.record_success(engine)
        marks.record_failure(engine, "503", notify_peers=True)
        clock.advance(0.5)
    assert not news.is_set()
