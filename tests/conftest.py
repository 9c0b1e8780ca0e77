"""Fixtures of all tests, and the handling of tests that are known to fail."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
from loguru import logger

from pistachioreach.platform.standins.deployment import StandInDeployment

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

logger.remove()

# Trio runs tasks that are ready at the same time in random order. With deterministic
# scheduling and a seed, the order is the same in each run.
trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True


@pytest.fixture(autouse=True)
def seeded_scheduler():
    """Seed the random order of trio's scheduler at the start of each test."""
    trio._core._run._r.seed(1)


@pytest.fixture
def log_lines():
    """Records of the log lines that are written during a test."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record), level="DEBUG")
    yield lines
    logger.remove(sink)


@pytest.fixture
async def deployment(nursery):
    """Two routers with a store, engines and a plain service, with layers in place."""
    world = StandInDeployment(nursery)
    with trio.fail_after(20):
        await world.start()
        await world.wait_until_placed()
    return world


def read_known_failures():
    """Return the entries of KNOWN-RED.txt: test identifier and rest of the line."""
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            test, _, rest = line.partition("|")
            entries[test.strip()] = rest.strip()
    return entries


def pytest_collection_modifyitems(items):
    """Mark the tests in KNOWN-RED.txt as expected failures."""
    entries = read_known_failures()
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=entries[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    """Print the outcome of the tests in KNOWN-RED.txt."""
    entries = read_known_failures()
    if not entries:
        return
    terminalreporter.section("KNOWN-RED.txt")
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.line(f"{outcome}: {report.nodeid}")
