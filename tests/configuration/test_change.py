"""A change is in force everywhere or not at all, and never reverts."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager

import pytest
import trio

from pistachioreach.configuration.row import PERMIT_SECONDS
from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.fakes.entries import FakeEntries
from pistachioreach.manifest import encode_manifest
from tests.builders import PORTS, make_world


def manifest_of(build):
    manifest = demo_manifest(ports=PORTS)
    manifest["build"] = build
    manifest["workspaces"][0]["weight"] = build
    return manifest


async def apply(node, build):
    manifest = manifest_of(build)
    return await node.changes.apply(manifest, encode_manifest(manifest))


@asynccontextmanager
async def make_entries(count=7, seed=1):
    async with make_world(seed=seed) as world:
        entries = FakeEntries(
            world.nursery, world.platform, world.fleet, world.service, seed
        )
        for number in range(count):
            entries.start(f"entry-{number}")
        with trio.fail_after(30):
            await entries.wait_joined(count)
        yield entries


def assert_in_force(entries, version):
    """No entry admits requests under an older version."""
    under = {name: node.admits_under() for name, node in entries.nodes.items()}
    old = {n: v for n, v in under.items() if v is not None and v < version}
    assert not old, f"version {version} was told in force, but {old}"


async def watch_in_force(entries, version, seconds):
    for _ in range(int(seconds / 0.02)):
        assert_in_force(entries, version)
        await trio.sleep(0.02)


async def test_a_change_reaches_all_at_once(autojump_clock):
    async with make_entries() as entries:
        since = trio.current_time()
        report = await apply(entries.nodes["entry-3"], 1)
        assert report.result == "in force"
        assert trio.current_time() - since < 0.5
        for node in entries.nodes.values():
            assert node.agreement.active_version == report.version
            assert node.entry.configuration.manifest["build"] == 1
            assert node.agreement.may_admit()


async def test_service_goes_on_through_changes(autojump_clock):
    async with make_entries() as entries:
        for build in range(1, 6):
            await apply(entries.nodes["entry-0"], build)
            for node in entries.nodes.values():
                assert node.agreement.may_admit()


async def test_lower_and_equal_builds_are_refused(autojump_clock):
    async with make_entries(3) as entries:
        await apply(entries.nodes["entry-0"], 5)
        for build in (4, 5):
            report = await apply(entries.nodes["entry-1"], build)
            assert report.result == "conflict"
            assert "build 5 was applied at 'entry-0'" in report.detail
        row = entries.nodes["entry-2"].agreement.row
        assert row["build"] == 5


async def test_the_loser_of_a_race_learns_who_won(autojump_clock):
    async with make_entries() as entries:
        reports = {}

        async def race(name, build):
            reports[build] = await apply(entries.nodes[name], build)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(race, "entry-0", 11)
            nursery.start_soon(race, "entry-5", 12)
        results = sorted(report.result for report in reports.values())
        assert results in (["conflict", "in force"], ["in force", "in force"])
        for report in reports.values():
            if report.result == "conflict":
                assert "entry-" in report.detail


@pytest.mark.parametrize("store", [True, False])
async def test_a_silent_minority_is_passed_and_admits_nothing(autojump_clock, store):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        silent = {"entry-5", "entry-6"}
        entries.isolate(silent, store)
        since = trio.current_time()
        report = await apply(entries.nodes["entry-0"], 2)
        assert report.result == "in force"
        assert trio.current_time() - since <= 4
        await watch_in_force(entries, report.version, 5)
        entries.heal()
        with trio.fail_after(30):
            await entries.wait_joined(7)
        await watch_in_force(entries, report.version, 1)


async def test_an_entry_that_learns_it_was_passed_admits_nothing(autojump_clock):
    """Found by a storm: the permit outlived the entry's place in the roster."""
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.isolate({"entry-6"}, store=False)
        node = entries.nodes["entry-6"]
        before = node.agreement.row["version"]
        passed = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply, entries.nodes["entry-0"], 2)
            for _ in range(300):
                await trio.sleep(0.01)
                if (
                    node.agreement.row["version"] > before
                    and not node.agreement.is_member()
                ):
                    assert not node.agreement.may_admit()
                    passed += 1
        assert passed


async def test_a_silent_half_withdraws_the_change(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        silent = {"entry-3", "entry-4", "entry-5", "entry-6"}
        entries.isolate(silent)
        report = await apply(entries.nodes["entry-0"], 2)
        assert report.result == "not in force"
        assert all(name in report.detail for name in silent)
        await trio.sleep(5)
        for node in entries.nodes.values():
            assert node.entry.configuration.manifest["build"] == 1


async def test_an_outage_of_the_store_stops_no_traffic(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.platform.down = True
        for _ in range(1000):
            await trio.sleep(0.02)
            for node in entries.nodes.values():
                assert node.agreement.may_admit()


async def test_a_cut_between_halves_stops_no_traffic_with_the_store(autojump_clock):
    async with make_entries(6) as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.isolate({"entry-3", "entry-4", "entry-5"}, store=False)
        for _ in range(300):
            await trio.sleep(0.02)
            for node in entries.nodes.values():
                assert node.agreement.may_admit()


async def test_an_isolated_entry_stops_admitting(autojump_clock):
    async with make_entries() as entries:
        entries.isolate({"entry-2"})
        await trio.sleep(PERMIT_SECONDS + 0.1)
        assert entries.nodes["entry-2"].admits_under() is None


async def test_an_entry_without_the_store_learns_from_the_others(autojump_clock):
    async with make_entries() as entries:
        entries.nodes["entry-4"].store.cut = True
        report = await apply(entries.nodes["entry-0"], 1)
        assert report.result == "in force"
        assert entries.nodes["entry-4"].agreement.active_version == report.version
        assert entries.nodes["entry-4"].agreement.may_admit()


async def test_a_store_that_goes_down_in_mid_change(autojump_clock):
    async with make_entries() as entries:
        entries.platform.delay_seconds = 0.05
        result = []

        async def change():
            result.append(await apply(entries.nodes["entry-0"], 1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            await trio.sleep(0.18)
            entries.platform.down = True
        assert result[0].result in ("unknown", "in force")
        assert "status" in result[0].detail or result[0].result == "in force"
        entries.platform.down = False
        await trio.sleep(6)
        report = await apply(entries.nodes["entry-1"], 2)
        while report.result == "conflict" and "being applied" in report.detail:
            await trio.sleep(1)
            report = await apply(entries.nodes["entry-1"], 2)
        assert report.result == "in force"


async def test_a_coordinator_that_dies_blocks_nobody_for_long(autojump_clock):
    async with make_entries() as entries:
        node = entries.nodes["entry-0"]
        with trio.CancelScope() as dying:

            async def die(*args):
                dying.cancel()
                await trio.sleep_forever()

            node.changes.commit = die
            await apply(node, 1)
        entries.stop("entry-0")
        with trio.fail_after(20):
            while True:
                report = await apply(entries.nodes["entry-1"], 2)
                if report.result == "in force":
                    break
                await trio.sleep(1)


async def test_restarted_entries_join_again(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        for number in range(7):
            entries.start(f"entry-{number}")
            with trio.fail_after(30):
                await entries.wait_joined(7)
        report = await apply(entries.nodes["entry-6"], 2)
        assert report.result == "in force"


async def test_all_entries_restart_at_once(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        for number in range(7):
            entries.start(f"entry-{number}")
        with trio.fail_after(60):
            await entries.wait_joined(7)
        report = await apply(entries.nodes["entry-6"], 2)
        assert report.result == "in force"


async def test_news_reaches_all(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.nodes["entry-0"].entry.mark_leaving("stage-1-1", "test")
        await trio.sleep(2)
        for node in entries.nodes.values():
            assert node.entry.fleet.states["stage-1-1"].leaving


class Storm:
    """Random faults and racing operators, with the promises watched."""

    def __init__(self, entries, seed):
        self.entries = entries
        self.random = random.Random(seed)
        self.in_force = 0
        self.refused = set()
        self.build = 0
        self.results = []

    async def run(self, seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch)
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as operators:
                    operators.start_soon(self.operate)
                    operators.start_soon(self.operate)
                    operators.start_soon(self.disturb)
            nursery.cancel_scope.cancel()

    async def operate(self):
        while True:
            self.build += 1
            build = self.build
            names = sorted(self.entries.nodes)
            if not names:
                await trio.sleep(0.1)
                continue
            report = await apply(self.entries.nodes[self.random.choice(names)], build)
            self.results.append(report.result)
            if report.result == "in force":
                self.in_force = max(self.in_force, report.version)
            elif report.result in ("not in force", "conflict"):
                self.refused.add(build)
            await trio.sleep(self.random.uniform(0, 1))

    async def disturb(self):
        while True:
            await trio.sleep(self.random.uniform(0.1, 2))
            names = [f"entry-{number}" for number in range(5)]
            kind = self.random.randrange(6)
            some = set(self.random.sample(names, self.random.randint(1, 3)))
            if kind == 0:
                self.entries.isolate(some, store=self.random.random() < 0.5)
            elif kind == 1:
                self.entries.platform.down = True
            elif kind == 2:
                self.entries.platform.lost_answers = self.random.choice((0, 0.3))
            elif kind == 3:
                self.entries.start(names[0])
            elif kind == 4:
                self.entries.platform.delay_seconds = self.random.choice((0, 0.1))
            else:
                self.entries.heal()

    async def watch(self):
        seen = {}
        while True:
            await trio.sleep(0.01)
            assert_in_force(self.entries, self.in_force)
            for node in self.entries.nodes.values():
                active = node.agreement.active_version
                assert active >= seen.get(node, 0), "a version reverted"
                seen[node] = active
                current = node.entry.configuration
                if current is not None:
                    build = current.manifest["build"]
                    assert build not in self.refused, f"build {build} was refused"


@pytest.mark.parametrize("seed", range(6))
async def test_storms_break_no_promise(autojump_clock, seed):
    async with make_entries(5, seed) as entries:
        storm = Storm(entries, seed)
        await storm.run(60)
        assert "in force" in storm.results


async def test_the_storm_catches_a_change_that_is_told_too_early(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr("pistachioreach.configuration.change.FENCE_SECONDS", 0.0)
    for seed in range(40):
        async with make_entries(5, seed) as entries:
            try:
                await Storm(entries, seed).run(60)
            except BaseException as error:
                if "was told in force" in str(flat(error)):
                    return
    raise AssertionError("no storm caught it")


def flat(error):
    if isinstance(error, BaseExceptionGroup):
        return [inner for e in error.exceptions for inner in flat(e)]
    return [error]
