"""Atomicity of changes: in force at all entries or at none, and never reverted."""

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
            await entries.wait_until_joined(count)
        yield entries


def assert_in_force(entries, version):
    """Assert that no entry admits requests under an older version."""
    under = {name: node.admission_version() for name, node in entries.nodes.items()}
    old = {n: v for n, v in under.items() if v is not None and v < version}
    assert not old, f"version {version} was reported in force, but {old}"


async def watch_in_force(entries, version, seconds):
    for _ in range(int(seconds / 0.02)):
        assert_in_force(entries, version)
        await trio.sleep(0.02)


async def test_change_reaches_all_entries_promptly(autojump_clock):
    async with make_entries() as entries:
        started = trio.current_time()
        report = await apply(entries.nodes["entry-3"], 1)
        assert report.result == "in force"
        assert trio.current_time() - started < 0.5
        for node in entries.nodes.values():
            assert node.agreement.active_version == report.version
            assert node.entry.configuration.manifest["build"] == 1
            assert node.agreement.may_admit()


async def test_entries_keep_admitting_during_changes(autojump_clock):
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


async def test_rejected_concurrent_change_names_the_winner(autojump_clock):
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
async def test_unreachable_minority_is_dropped_and_admits_nothing(
    autojump_clock, store
):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        unreachable = {"entry-5", "entry-6"}
        entries.isolate(unreachable, store)
        started = trio.current_time()
        report = await apply(entries.nodes["entry-0"], 2)
        assert report.result == "in force"
        assert trio.current_time() - started <= 4
        await watch_in_force(entries, report.version, 5)
        entries.heal()
        with trio.fail_after(30):
            await entries.wait_until_joined(7)
        await watch_in_force(entries, report.version, 1)


async def test_entry_that_learns_it_was_dropped_admits_nothing(autojump_clock):
    """Guards against a permit that stays valid after the entry left the roster.

    A run of the random-fault test found this fault.
    """
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.isolate({"entry-6"}, store=False)
        node = entries.nodes["entry-6"]
        before = node.agreement.row["version"]
        checks_while_dropped = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply, entries.nodes["entry-0"], 2)
            for _ in range(300):
                await trio.sleep(0.01)
                if (
                    node.agreement.row["version"] > before
                    and not node.agreement.is_member()
                ):
                    assert not node.agreement.may_admit()
                    checks_while_dropped += 1
        assert checks_while_dropped


async def test_change_is_withdrawn_if_half_is_unreachable(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        unreachable = {"entry-3", "entry-4", "entry-5", "entry-6"}
        entries.isolate(unreachable)
        report = await apply(entries.nodes["entry-0"], 2)
        assert report.result == "not in force"
        assert all(name in report.detail for name in unreachable)
        await trio.sleep(5)
        for node in entries.nodes.values():
            assert node.entry.configuration.manifest["build"] == 1


async def test_entries_keep_admitting_during_store_outage(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.platform.down = True
        for _ in range(1000):
            await trio.sleep(0.02)
            for node in entries.nodes.values():
                assert node.agreement.may_admit()


async def test_entries_keep_admitting_when_partitioned_with_the_store(autojump_clock):
    async with make_entries(6) as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.isolate({"entry-3", "entry-4", "entry-5"}, store=False)
        for _ in range(300):
            await trio.sleep(0.02)
            for node in entries.nodes.values():
                assert node.agreement.may_admit()


async def test_isolated_entry_stops_admitting(autojump_clock):
    async with make_entries() as entries:
        entries.isolate({"entry-2"})
        await trio.sleep(PERMIT_SECONDS + 0.1)
        assert entries.nodes["entry-2"].admission_version() is None


async def test_entry_without_the_store_learns_from_the_others(autojump_clock):
    async with make_entries() as entries:
        entries.nodes["entry-4"].store.disconnected = True
        report = await apply(entries.nodes["entry-0"], 1)
        assert report.result == "in force"
        assert entries.nodes["entry-4"].agreement.active_version == report.version
        assert entries.nodes["entry-4"].agreement.may_admit()


async def test_store_outage_during_a_change(autojump_clock):
    async with make_entries() as entries:
        entries.platform.call_delay_seconds = 0.05
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


async def test_crashed_coordinator_blocks_changes_only_briefly(autojump_clock):
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
                await entries.wait_until_joined(7)
        report = await apply(entries.nodes["entry-6"], 2)
        assert report.result == "in force"


async def test_all_entries_restart_at_once(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        for number in range(7):
            entries.start(f"entry-{number}")
        with trio.fail_after(60):
            await entries.wait_until_joined(7)
        report = await apply(entries.nodes["entry-6"], 2)
        assert report.result == "in force"


async def test_news_reaches_all_entries(autojump_clock):
    async with make_entries() as entries:
        await apply(entries.nodes["entry-0"], 1)
        entries.nodes["entry-0"].entry.mark_leaving("stage-1-1", "test")
        await trio.sleep(2)
        for node in entries.nodes.values():
            assert node.entry.fleet.states["stage-1-1"].leaving


class RandomFaults:
    """Injects random faults during concurrent changes, and checks the invariants."""

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
                async with trio.open_nursery() as workers:
                    workers.start_soon(self.apply_changes)
                    workers.start_soon(self.apply_changes)
                    workers.start_soon(self.inject_faults)
            nursery.cancel_scope.cancel()

    async def apply_changes(self):
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

    async def inject_faults(self):
        while True:
            await trio.sleep(self.random.uniform(0.1, 2))
            names = [f"entry-{number}" for number in range(5)]
            kind = self.random.randrange(6)
            chosen = set(self.random.sample(names, self.random.randint(1, 3)))
            if kind == 0:
                self.entries.isolate(chosen, store=self.random.random() < 0.5)
            elif kind == 1:
                self.entries.platform.down = True
            elif kind == 2:
                self.entries.platform.lost_response_ratio = self.random.choice((0, 0.3))
            elif kind == 3:
                self.entries.start(names[0])
            elif kind == 4:
                self.entries.platform.call_delay_seconds = self.random.choice((0, 0.1))
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
async def test_invariants_hold_under_random_faults(autojump_clock, seed):
    async with make_entries(5, seed) as entries:
        faults = RandomFaults(entries, seed)
        await faults.run(60)
        assert "in force" in faults.results


async def test_random_faults_detect_a_change_reported_too_early(
    autojump_clock, monkeypatch
):
    """Checks that the random-fault test detects a change settled without the fence."""
    monkeypatch.setattr("pistachioreach.configuration.change.FENCE_SECONDS", 0.0)
    for seed in range(40):
        async with make_entries(5, seed) as entries:
            try:
                await RandomFaults(entries, seed).run(60)
            except BaseException as error:
                if "was reported in force" in str(flatten(error)):
                    return
    raise AssertionError("no run with random faults detected the early report")


def flatten(error):
    if isinstance(error, BaseExceptionGroup):
        return [inner for e in error.exceptions for inner in flatten(e)]
    return [error]
