"""Quarantine of failed endpoints, and the gossip about it among routers."""

from __future__ import annotations

import random

from pistachioreach.configuration.row import Member
from pistachioreach.endpoints.health import (
    INITIAL_QUARANTINE_SECONDS,
    MAX_QUARANTINE_SECONDS,
    PEER_EXTRA_SECONDS,
    HealthTracker,
)
from pistachioreach.knowledge.gossip import MIN_ROUND_SECONDS
from pistachioreach.knowledge.hierarchy import arrange
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
        self.parents, self.heads = self.arrange()

    def arrange(self):
        """Return the number of each router's parent, and the numbers of the heads."""
        members = {
            f"r{number:02}": Member(f"r{number:02}", "", f"domain-{number % 3}", "", 0)
            for number in range(ROUTERS)
        }
        places = [arrange(member, members, frozenset()) for member in members.values()]
        parents = [place.parent and int(place.parent[1:]) for place in places]
        return parents, [n for n, place in enumerate(places) if place.parent is None]

    def neighbours(self, number):
        """Return the routers that a router tells of a dead engine at once."""
        if self.parents[number] is not None:
            upwards = [self.parents[number]]
        else:
            upwards = [head for head in self.heads if head != number]
        return upwards + [n for n in range(ROUTERS) if self.parents[n] == number]

    def gossip(self, number, others):
        """Exchange notices between one router and others."""
        for other in others:
            for sender, receiver in ((number, other), (other, number)):
                notices = self.trackers[sender].quarantine_notices([self.views[sender]])
                for notice in notices.values():
                    self.trackers[receiver].apply_notice(self.views[receiver], notice)

    def gossip_round(self):
        """Exchange notices between each router and its parent, or the other heads."""
        for number in range(ROUTERS):
            parent = self.parents[number]
            self.gossip(number, self.heads if parent is None else [parent])
        self.clock.advance(ROUND_SECONDS)

    def announce(self, announcements):
        """Let the routers tell their neighbours whose announcement has been set."""
        for number, announcement in enumerate(announcements):
            if announcement.is_set():
                self.gossip(number, self.neighbours(number))
        self.clock.advance(MIN_ROUND_SECONDS)

    def announcements(self):
        """Return the event of each router that its next announcement sets."""
        return [tracker.announcement for tracker in self.trackers]

    def usable_count(self):
        """Return the number of routers that consider the engine usable."""
        now = self.clock.monotonic()
        return sum(view.usable(now) for view in self.views)


def test_the_notice_of_a_dead_engine_reaches_all_routers_within_two_rounds():
    group = RouterGroup()
    waiting = group.announcements()
    began = group.clock.monotonic()
    # The router that is farthest from the others notices the loss.
    group.trackers[-1].mark_unusable(group.views[-1], "nothing listens")
    while group.clock.monotonic() - began <= 2 * ROUND_SECONDS - MIN_ROUND_SECONDS:
        current, waiting = waiting, group.announcements()
        group.announce(current)
    assert group.usable_count() == 0


def test_few_routers_try_a_dead_engine_until_its_registration_expires():
    """Each router gets two streams per second; the registration lasts 4 s.

    Without gossip, each router would send requests to the dead engine until the
    registration expires.
    """
    group = RouterGroup()
    tries, step = 0, MIN_ROUND_SECONDS
    for _ in range(round(4.0 / step)):
        announcements = group.announcements()
        now = group.clock.monotonic()
        for router, view in enumerate(group.views):
            if group.random.random() < 2 * step and view.usable(now):
                tries += 1
                group.trackers[router].mark_unusable(view, "nothing listens")
        group.announce(announcements)
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


def test_attempts_at_a_lost_endpoint_do_not_extend_its_quarantine():
    # Guards against endpoints that are avoided for seconds after their return, because
    # answers that had begun kept trying them.
    clock = FakeClock()
    tracker, engine = HealthTracker(clock), endpoint("e")
    tracker.record_failure(engine, "a first failure")
    for _ in range(10):
        tracker.mark_unusable(engine, "not reached")
        clock.advance(MAX_QUARANTINE_SECONDS / 10)
    assert engine.usable(clock.monotonic())
    assert tracker.quarantine_notices([engine]) == {}
