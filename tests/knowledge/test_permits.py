"""Permits for requests to endpoints that state a limit, in fleets of entries."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.configuration.row import Member
from pistachioreach.errors import ConnectionFailed, FrameError
from pistachioreach.knowledge.contacts import Contacts
from pistachioreach.knowledge.permits import Permits
from pistachioreach.peers.permit import (
    PermitRequest,
    decode_permit,
    decode_permit_request,
    encode_permit,
    encode_permit_request,
)
from pistachioreach.peers.relay import RelayMessage, decode_relay, encode_relay
from pistachioreach.routing.rate_limits import (
    LimitNotice,
    Permit,
    PermitIssuer,
    StatedLimits,
)
from tests.platform_builders import endpoint

#: Seconds after the first statement from which on the limit holds, and the length in
#: seconds of the window in which requests are counted.
CONTACT_SECONDS, WINDOW_SECONDS = 3.0, 4.0


class Fleet:
    """Entries on one virtual network that send requests to one endpoint."""

    def __init__(self, count, limit):
        self.clock = TrioClock()
        self.limit = limit
        self.endpoint = endpoint("limited")
        self.dead = set()
        self.times = []
        self.senders = Counter()
        names = [f"entry-{number}" for number in range(count)]
        self.members = {
            name: Member(name, f"{name}:1", "anta", "", 0.0) for name in names
        }
        self.permits = {name: self.make_permits(name) for name in names}

    def make_permits(self, name):
        contacts = Contacts(self.clock, random.Random(name))
        entries = SimpleNamespace(
            own_member=self.members[name],
            members=self.members,
            contacts=contacts,
            registered_count=lambda: len(self.members),
        )
        contacts.record_message("any", replied=True)
        contacts.heard_within = lambda name, seconds: True
        limits = StatedLimits(self.clock)
        limits.record(self.endpoint.run_id, self.limit)
        issuer = PermitIssuer(self.clock)
        return Permits(limits, issuer, entries, self, "run-1", self.clock)

    async def request(self, member, frame, timeout_seconds):
        await trio.sleep(0.001)
        if member.name in self.dead:
            raise ConnectionFailed(member.name, False, "refused")
        return await self.permits[member.name].handle_frame(frame)

    def issuer(self):
        """Return the name of the entry that issues the permits."""
        name = next(name for name in self.members if name not in self.dead)
        return self.permits[name].choose_issuer(self.endpoint.run_id)

    async def send(self, name, rate, rng):
        """Ask for requests at some rate, each a few times within a second."""
        while name not in self.dead:
            await trio.sleep(rng.expovariate(rate))
            deadline = trio.current_time() + 1.0
            permits = self.permits[name]
            while trio.current_time() < deadline and name not in self.dead:
                if await permits.obtain(self.endpoint):
                    permits.use(self.endpoint)
                    self.times.append(trio.current_time())
                    self.senders[name] += 1
                    break
                await trio.sleep(0.1)

    async def run(self, seconds, rates, changes=()):
        """Send requests from all entries and make changes at their times."""
        rng = random.Random(1)
        start = trio.current_time()
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for name, rate in zip(self.members, rates, strict=True):
                    nursery.start_soon(self.send, name, rate, rng)
                for at, change in changes:
                    await trio.sleep_until(start + at)
                    change()
        return [time - start for time in self.times]

    def most_in_window(self, times):
        """Return the most requests of a window after the contact time."""
        late = [time for time in times if time >= CONTACT_SECONDS]
        return max(
            sum(1 for other in times if time - WINDOW_SECONDS < other <= time)
            for time in late
        )

    def allowed(self):
        return 1.5 * self.limit * WINDOW_SECONDS + 5


@pytest.mark.parametrize("limit", [0.5, 2.0, 6.0, 40.0])
@pytest.mark.parametrize("count", [7, 195])
async def test_limit_holds_for_all_entries_and_is_used(autojump_clock, count, limit):
    fleet = Fleet(count, limit)
    # Three times the limit; half of it at a tenth of the entries.
    crowded = max(1, count // 10)
    total = 3 * limit
    rates = [total / 2 / crowded] * crowded
    rates += [total / 2 / (count - crowded)] * (count - crowded)
    times = await fleet.run(30.0, rates)
    assert fleet.most_in_window(times) <= fleet.allowed()
    used = sum(1 for time in times if time >= 5.0)
    assert used >= 0.9 * limit * 25.0 - 1


async def test_one_entry_with_all_requests_can_use_the_limit(autojump_clock):
    fleet = Fleet(7, 6.0)
    times = await fleet.run(30.0, [18.0] + [0.001] * 6)
    assert fleet.most_in_window(times) <= fleet.allowed()
    assert sum(1 for time in times if time >= 5.0) >= 0.9 * 6.0 * 25.0


@pytest.mark.parametrize("count", [7, 195])
async def test_limit_holds_while_the_issuer_is_lost_and_returns(autojump_clock, count):
    fleet = Fleet(count, 6.0)
    lost = fleet.issuer()

    def lose():
        fleet.dead.add(lost)

    def restart():
        fleet.dead.discard(lost)
        fleet.permits[lost] = fleet.make_permits(lost)

    changes = [(8.0, lose), (14.0, restart), (20.0, lose), (22.0, restart)]
    times = await fleet.run(40.0, [18.0 / count] * count, changes)
    assert fleet.most_in_window(times) <= fleet.allowed()
    assert sum(1 for time in times if time >= 5.0) >= 0.8 * 6.0 * 35.0


async def test_burst_after_a_calm_time_keeps_to_the_limit(autojump_clock):
    fleet = Fleet(195, 6.0)

    async def calm_then_burst(name, rng):
        permits = fleet.permits[name]
        for rate, seconds in ((0.02, 20.0), (1.0, 10.0)):
            with trio.move_on_after(seconds):
                while True:
                    await trio.sleep(rng.expovariate(rate))
                    if await permits.obtain(fleet.endpoint):
                        permits.use(fleet.endpoint)
                        fleet.times.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        for number, name in enumerate(fleet.members):
            nursery.start_soon(calm_then_burst, name, random.Random(number))
    start = fleet.times[0]
    assert fleet.most_in_window([t - start for t in fleet.times]) <= fleet.allowed()


async def test_isolated_entry_uses_only_its_part_of_the_limit(autojump_clock):
    fleet = Fleet(7, 6.0)
    permits = fleet.permits["entry-0"]
    permits.entries.contacts.heard_within = lambda name, seconds: False
    fleet.dead = set(fleet.members) - {"entry-0"}
    times = await fleet.run(30.0, [18.0] + [0.001] * 6)
    assert len(times) <= 2 * 30.0 * 6.0 / 7


async def test_refused_entry_asks_no_more_than_its_turn(autojump_clock):
    fleet = Fleet(195, 6.0)
    asked = Counter()
    issue = PermitIssuer.issue

    def counting(self, run, per_second, entry):
        asked[entry] += 1
        return issue(self, run, per_second, entry)

    for permits in fleet.permits.values():
        permits.issuer.issue = counting.__get__(permits.issuer)
    await fleet.run(20.0, [0.1] * 195)
    # All entries may wait at once: then each asks once in the longest wait.
    assert sum(asked.values()) <= 20.0 * 195


async def test_limit_of_an_earlier_run_of_an_endpoint_is_not_kept(autojump_clock):
    fleet = Fleet(1, 0.1)
    permits = fleet.permits["entry-0"]
    restarted = endpoint("limited", born=2)
    assert permits.needs_permit(fleet.endpoint)
    assert not permits.needs_permit(restarted)


async def test_permit_that_is_not_used_in_time_is_dropped(autojump_clock):
    fleet = Fleet(1, 6.0)
    permits = fleet.permits["entry-0"]
    assert await permits.obtain(fleet.endpoint)
    assert not permits.needs_permit(fleet.endpoint)
    await trio.sleep(1.1)
    assert permits.needs_permit(fleet.endpoint)


async def test_limit_is_told_to_other_entries_and_withdrawn(autojump_clock):
    clock = TrioClock()
    one, other = StatedLimits(clock), StatedLimits(clock)
    one.record("e/1", 6.0)
    await trio.sleep(1.0)
    for notice in one.notices():
        other.record(*notice)
    assert other.limit("e/1") == 6.0
    one.record("e/1", None)
    await trio.sleep(0.5)
    for sender, receiver in ((other, one), (one, other)):
        for notice in sender.notices():
            receiver.record(*notice)
    assert one.limit("e/1") is None
    assert other.limit("e/1") is None
    await trio.sleep(3.0)
    assert one.notices() == ()
    assert one.known == {}


def test_permits_are_encoded_and_decoded():
    request = PermitRequest("i-1/17", 5.5)
    assert decode_permit_request(encode_permit_request(request)) == request
    permit = Permit(False, 0.25)
    assert decode_permit(encode_permit(permit)) == permit
    for decode in (decode_permit, decode_permit_request):
        with pytest.raises(FrameError):
            decode(b"\xff\xff\xff")
    with pytest.raises(FrameError):
        decode_permit_request(encode_permit_request(PermitRequest("i", float("nan"))))


def test_limits_and_leaving_endpoints_are_relayed():
    message = RelayMessage(
        loads=None,
        known={},
        limits=(LimitNotice("a/1", 6.5, 0.5), LimitNotice("b/2", None, 1.0)),
        leaving=("c/3",),
    )
    decoded = decode_relay(encode_relay(message))
    assert decoded.limits == message.limits
    assert decoded.leaving == message.leaving


async def test_entry_that_is_slow_to_issue_permits_stays_reachable(autojump_clock):
    fleet = Fleet(7, 6.0)
    slow = fleet.issuer()
    fleet.dead.add(slow)
    name = next(name for name in fleet.members if name != slow)
    permits = fleet.permits[name]
    assert await permits.obtain(fleet.endpoint)
    assert permits.entries.contacts.unreachable == frozenset()
    assert permits.choose_issuer(fleet.endpoint.run_id) != slow
    await trio.sleep(2.1)
    assert permits.choose_issuer(fleet.endpoint.run_id) == slow
