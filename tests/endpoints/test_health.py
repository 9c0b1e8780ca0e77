"""Quarantine of failed endpoints, and the gossip about it among routers."""

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

ROUTERS = 66
#: Seconds between gossip rounds.
ROUND_SECONDS = 0.25


class RouterGroup:
    """Routers that gossip their quarantine notices about one engine."""

    def __init__(self, seed=1):
        self.clock = FakeClock()
        self.random = random.Random(seed)
        # Each router has its own health tracker and its own view of the engine.
        self.trackers = [HealthTracker(self.clock) for _ in range(ROUTERS)]
        self.views = [endpoint("dead") for _ in range(ROUTERS)]

    def gossip(self, number, fanout=FANOUT):
        """Exchange notices between one router and some random other routers."""
        for other in self.random.sample(range(ROUTERS), fanout):
            for sender, receiver in ((number, other), (other, number)):
                notices = self.trackers[sender].quarantine_notices([self.views[sender]])
                for notice in notices.values():
                    self.trackers[receiver].apply_notice(self.views[receiver], notice)

    def gossip_round(self):
        for number in range(ROUTERS):
            self.gossip(number)
        self.clock.advance(ROUND_SECONDS)

    def usable_count(self):
        """Return the number of routers that consider the engine usable."""
        now = self.clock.monotonic()
        return sum(view.usable(now) for view in self.views)


def test_the_notice_of_a_dead_engine_reaches_all_routers_in_two_rounds():
    group = RouterGroup()
    group.trackers[0].mark_unusable(group.views[0], "nothing listens")
    group.gossip_round()
    group.gossip_round()
    assert group.usable_count() == 0


def test_few_routers_try_a_dead_engine_until_its_registration_expires():
    """Each router gets two streams per second; the registration lasts 4 s.

    Without gossip, each router would send requests to the dead engine until the
    registration expires.
    """
    group = RouterGroup()
    tries, step = 0, 0.08
    for number in range(round(4.0 / step)):
        announcements = [tracker.announcement for tracker in group.trackers]
        now = group.clock.monotonic()
        for router, view in enumerate(group.views):
            if group.random.random() < 2 * step and view.usable(now):
                tries += 1
                group.trackers[router].mark_unusable(view, "nothing listens")
        for router, announcement in enumerate(announcements):
            if number % 3 == router % 3:
                group.gossip(router)
            elif announcement.is_set():
                group.gossip(router, FAILURE_FANOUT)
        group.clock.advance(step)
    assert tries <= ROUTERS / 2


def test_a_quarantine_ends_everywhere_although_all_routers_forward_the_notice():
    group = RouterGroup()
    group.trackers[0].mark_unusable(group.views[0], "nothing listens")
    for _ in range(
        round((MAX_QUARANTINE_SECONDS + PEER_EXTRA_SECONDS) / ROUND_SECONDS) + 1
    ):
        group.gossip_round()
    assert group.usable_count() == ROUTERS


def test_a_successful_response_ends_the_quarantine():
    clock = FakeClock()
    tracker, engine = HealthTracker(clock), endpoint("e")
    tracker.record_failure(engine, "503", notify_peers=True)
    tracker.record_success(engine)
    assert engine.usable(clock.monotonic())
    assert not tracker.quarantine_notices([engine])


def test_an_engine_short_of_memory_is_usable_for_other_routers_soon():
    """An engine that is full for a moment must not lose all routers at once."""
    group = RouterGroup()
    group.trackers[0].record_failure(group.views[0], "503", notify_peers=True)
    notice = group.trackers[0].quarantine_notices(group.views[:1])["dead"]
    assert not notice.lost
    group.trackers[1].apply_notice(group.views[1], notice)
    assert not group.trackers[1].quarantine_notices(group.views[1:2])
    group.clock.advance(INITIAL_QUARANTINE_SECONDS)
    assert group.usable_count() == ROUTERS


def test_an_engine_that_often_rejects_requests_causes_no_announcements():
    clock = FakeClock()
    tracker, engine = HealthTracker(clock), endpoint("e")
    announcement = tracker.announcement
    for _ in range(40):
        tracker.record_success(engine)
        tracker.record_failure(engine, "503", notify_peers=True)
        clock.advance(0.5)
    assert not announcement.is_set()


def test_a_notice_about_an_earlier_registration_is_ignored():
    """The engine registers again, and the other router has not read that yet."""
    clock = FakeClock()
    sender, receiver = HealthTracker(clock), HealthTracker(clock)
    old = endpoint("e", first=0, last=24)
    sender.mark_unusable(old, "nothing listens")
    notice = sender.quarantine_notices([old])["e"]
    new = endpoint("e", first=0, last=40)
    receiver.apply_notice(new, notice)
    assert new.usable(clock.monotonic())
    receiver.apply_notice(endpoint("e", first=0, last=24), notice)
    same = endpoint("e", first=0, last=24)
    receiver.apply_notice(same, notice)
    assert not same.usable(clock.monotonic())
