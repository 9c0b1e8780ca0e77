"""Checks of endpoints that may have crashed, or to which only the links were lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.isolation import isolate_errors
from pistachioreach.routing.crash_evidence import CrashState, judge_crash

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Directory
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.routing.crash_evidence import Crash
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["CrashChecks"]

#: Seconds between two rounds of checks. Answers wait for the evidence, and each check
#: opens a connection.
ROUND_SECONDS = 0.25
#: Time since a crash was suspected, in seconds, after which its endpoint is checked
#: once in SLOW_ROUNDS rounds.
SLOW_AFTER_SECONDS = 3.0
#: Rounds between two checks of an endpoint that has been out of reach for longer.
SLOW_ROUNDS = 4
#: Time, in seconds, in which a live endpoint accepts a connection.
ACCEPT_SECONDS = 0.2


class CrashChecks:
    """Finds out which suspected crashes are certain, and withdraws the others.

    Args:
        suspects: Crashes that count against requests.
        directory: Directory of the registered endpoints.
        links: Finds out whether an address accepts a connection.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        suspects: SuspectTracker,
        directory: Directory,
        links: LinkMonitor,
        clock: Clock,
    ) -> None:
        #: Crashes that count against requests.
        self.suspects = suspects
        #: Directory of the registered endpoints.
        self.directory = directory
        #: Finds out whether an address accepts a connection.
        self.links = links
        #: Clock of all decisions.
        self.clock = clock

    async def run(self) -> None:
        """Check the endpoints of open crashes, until cancelled."""
        number = 0
        while True:
            await trio.sleep(ROUND_SECONDS)
            number += 1
            slow_since = self.clock.monotonic() - SLOW_AFTER_SECONDS
            async with trio.open_nursery() as nursery:
                for crash in self.suspects.crash_log.open_crashes():
                    if crash.since > slow_since or number % SLOW_ROUNDS == 0:
                        nursery.start_soon(self.check, crash)

    async def check(self, crash: Crash) -> None:
        """Check the endpoint of a suspected crash once."""
        accepted = None
        with isolate_errors("check of a crash", endpoint=crash.endpoint):
            # A run that is not registered shows nothing by what listens at its address.
            registered = crash.endpoint in self.directory.endpoints
            with trio.move_on_after(ACCEPT_SECONDS if registered else 0.0):
                accepted = await self.links.is_listening(crash.address)
            # A connection of the request may have broken again meanwhile.
            latest = self.suspects.crash_log.crashes.get(crash.run)
            if latest is None or latest.state is not CrashState.OPEN:
                return
            now = self.clock.monotonic()
            if not accepted and self.links.cut_off:
                # What cannot be reached now says nothing; only registrations do.
                latest = latest._replace(since=now)
            judged = judge_crash(latest, self.directory, accepted, now)
            self.suspects.update_crash(judged)
            if judged.state is not CrashState.OPEN:
                logger.bind(endpoint=crash.endpoint, run=crash.run).info(
                    "suspected crash is {}", judged.state.value
                )
