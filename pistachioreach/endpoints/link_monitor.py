"""Check of this entry's own links: whether it reaches any endpoint at all.

Answers the load of an entry that is partitioned from all endpoints while callers, the
store and the other entries still reach it. Such an entry must not take the loss of its
links for the death of the endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.isolation import isolate_errors

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Directory, Endpoint

__all__ = ["LinkMonitor"]

#: Time, in seconds, in which a live endpoint accepts a connection, also if this process
#: or the endpoint is busy. It is shorter than the timeout of opening a connection.
ACCEPT_SECONDS = 0.2
#: Time, in seconds, by which the end of that time may be noticed late. If it is later,
#: this process has stalled, and a connection may have been accepted meanwhile.
MAX_OVERRUN_SECONDS = 0.1
#: Time, in seconds, for which the result of a check is used again, so that requests
#: that fail together share one check.
RESULT_TTL_SECONDS = 0.05
#: Seconds between two checks while no endpoint can be reached.
RECHECK_SECONDS = 0.25
#: Endpoints of each service that are tried in a check.
ENDPOINTS_PER_SERVICE = 3
#: Maximum number of endpoints that are tried in a check.
MAX_SAMPLE = 12
#: Minimum number of endpoints in a check. If fewer are known, it is more likely that
#: all of them failed than that the links of this entry did.
MIN_SAMPLE = 3


class LinkMonitor:
    """Finds out whether this entry is cut off from all endpoints.

    Args:
        directory: Directory of the registered endpoints.
        is_listening: Returns whether anything accepts connections at an address.
        clock: Clock by which results expire.
        random: Source of the endpoints that are tried.
    """

    def __init__(
        self,
        directory: Directory,
        is_listening: Callable[[str], Awaitable[bool]],
        clock: Clock,
        random: Random,
    ) -> None:
        #: Directory of the registered endpoints.
        self.directory = directory
        #: Returns whether anything accepts connections at an address.
        self.is_listening = is_listening
        #: Clock by which results expire.
        self.clock = clock
        #: Source of the endpoints that are tried.
        self.random = random
        #: Whether no endpoint could be reached in the last check.
        self.cut_off = False
        #: Monotonic time, in seconds, since which no endpoint could be reached, or
        #: infinity.
        self.cut_off_since = float("inf")
        #: Monotonic time of the last check in seconds.
        self.checked_at = float("-inf")
        #: Set at the end of a check in progress, or None.
        self.pending: trio.Event | None = None
        #: Set when this entry finds that it is cut off.
        self.lost = trio.Event()

    async def check(self) -> bool:
        """Return whether this entry is cut off from all endpoints.

        To be called when an endpoint could not be reached. While the entry is cut off,
        the answer comes at once, and `run` repeats the check.
        """
        oldest = self.clock.monotonic() - RESULT_TTL_SECONDS
        while not self.cut_off and self.checked_at <= oldest:
            if self.pending is None:
                await self.try_endpoints()
            else:
                # The check has no result if the request that makes it is cancelled.
                await self.pending.wait()
        return self.cut_off

    def cut_off_for(self, seconds: float) -> bool:
        """Return whether no endpoint could be reached for some time."""
        return self.clock.monotonic() - self.cut_off_since >= seconds

    async def run(self) -> None:
        """Repeat the check while this entry is cut off, until cancelled."""
        while True:
            await self.lost.wait()
            while self.cut_off:
                await trio.sleep(RECHECK_SECONDS)
                await self.try_endpoints()
            self.lost = trio.Event()

    async def try_endpoints(self) -> None:
        """Open a connection to some endpoints until one accepts it."""
        done = self.pending = trio.Event()
        started_at = self.clock.monotonic()
        sample = self.sample()
        accepted = False
        try:
            with trio.move_on_after(ACCEPT_SECONDS) as scope:
                async with trio.open_nursery() as nursery:

                    async def try_endpoint(endpoint: Endpoint) -> None:
                        nonlocal accepted
                        with isolate_errors("check of the links", endpoint=endpoint.id):
                            if await self.is_listening(endpoint.registration.address):
                                accepted = True
                                scope.cancel()

                    for endpoint in sample:
                        nursery.start_soon(try_endpoint, endpoint)
        finally:
            self.pending = None
            done.set()
        now = self.checked_at = self.clock.monotonic()
        stalled = now - started_at > ACCEPT_SECONDS + MAX_OVERRUN_SECONDS
        if accepted or len(sample) < MIN_SAMPLE:
            self.set_cut_off(False, sample)
        elif not stalled:
            self.set_cut_off(True, sample)

    def sample(self) -> list[Endpoint]:
        """Return some endpoints of each service, those that seem to work first."""
        now = self.clock.monotonic()
        endpoints = list(self.directory.endpoints.values())
        self.random.shuffle(endpoints)
        endpoints.sort(key=lambda endpoint: not endpoint.usable(now))
        counts: dict[str, int] = {}
        sample = []
        for endpoint in endpoints:
            service = endpoint.registration.service
            counts[service] = counts.get(service, 0) + 1
            if counts[service] <= ENDPOINTS_PER_SERVICE:
                sample.append(endpoint)
        return sample[:MAX_SAMPLE]

    def set_cut_off(self, cut_off: bool, sample: list[Endpoint]) -> None:
        """Record the result of a check; log it if it has changed."""
        if cut_off == self.cut_off:
            return
        self.cut_off = cut_off
        self.cut_off_since = self.clock.monotonic() if cut_off else float("inf")
        log = logger.bind(endpoints=[endpoint.id for endpoint in sample])
        if cut_off:
            self.lost.set()
            log.warning("cut off from all endpoints")
        else:
            log.info("endpoints can be reached again")
