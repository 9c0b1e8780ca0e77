"""Probes that tell a lost engine from a slow one.

Answers the load of streams that fall silent because an engine of their chain has
crashed. With one or two streams an entry, no entry has enough streams through an
engine to recognize the loss by silence alone before the callers' longest pause has
passed. One new connection to the engine shows the loss within milliseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.endpoints.link_monitor import LinkMonitor

__all__ = ["ReachabilityProbe"]

#: Time, in seconds, for which the result of a probe is used again, so that an engine
#: gets at most one probe a second from each entry.
RESULT_TTL_SECONDS = 1.0
#: Time, in seconds, in which a live engine accepts a connection. Machines of one region
#: reach each other within a few milliseconds.
ACCEPT_SECONDS = 0.04
#: Time, in seconds, by which the end of that time may be noticed late. If it is later,
#: this process has stalled, and the connection may have been accepted meanwhile.
MAX_OVERRUN_SECONDS = 0.01


class ReachabilityProbe:
    """Opens connections to engines that may be lost.

    Args:
        is_listening: Returns whether anything accepts connections at an address.
        links: Finds out whether this entry is cut off from all endpoints.
        health: Health state of the endpoints; refused connections are recorded there.
        clock: Clock by which results expire.
    """

    def __init__(
        self,
        is_listening: Callable[[str], Awaitable[bool]],
        links: LinkMonitor,
        health: HealthTracker,
        clock: Clock,
    ) -> None:
        #: Returns whether anything accepts connections at an address.
        self.is_listening = is_listening
        #: Finds out whether this entry is cut off from all endpoints.
        self.links = links
        #: Health state of the endpoints; refused connections are recorded there.
        self.health = health
        #: Clock by which results expire.
        self.clock = clock
        #: Monotonic time of the last probe of each engine run, and whether the engine
        #: could not be reached, by the identifier of the run.
        self.results: dict[str, tuple[float, bool]] = {}
        #: Set at the end of a probe in progress, by the identifier of the run.
        self.pending: dict[str, trio.Event] = {}

    async def find_unreachable(self, engines: Sequence[Endpoint]) -> set[str]:
        """Probe engines, all at the same time.

        Args:
            engines: The engines.

        Returns:
            Ids of the engines that refused the connection or did not accept it in
            time. Only the former are recorded as lost, since a packet may be lost too.
        """
        self.drop_expired()
        async with trio.open_nursery() as nursery:
            for engine in engines:
                if engine.run_id in self.pending:
                    nursery.start_soon(self.pending[engine.run_id].wait)
                elif engine.run_id not in self.results:
                    self.pending[engine.run_id] = trio.Event()
                    nursery.start_soon(self.probe, engine)
        return {
            engine.id
            for engine in engines
            if self.results.get(engine.run_id, (0.0, False))[1]
        }

    async def probe(self, engine: Endpoint) -> None:
        """Open a connection to an engine and record the result."""
        started_at = self.clock.monotonic()
        accepted = None
        try:
            with trio.move_on_after(ACCEPT_SECONDS):
                accepted = await self.is_listening(engine.registration.address)
        finally:
            self.pending.pop(engine.run_id).set()
        now = self.clock.monotonic()
        # After a longer time, the probe shows nothing, and the next check of a stream
        # may repeat it.
        if accepted is not None or (
            now - started_at <= ACCEPT_SECONDS + MAX_OVERRUN_SECONDS
        ):
            self.results[engine.run_id] = (now, not accepted)
        if accepted is False and not await self.links.check():
            self.health.mark_unusable(engine, "nothing listens at its address")

    def drop_expired(self) -> None:
        """Drop the results that are too old to be used."""
        oldest = self.clock.monotonic() - RESULT_TTL_SECONDS
        while self.results:
            run_id, (probed_at, _) = next(iter(self.results.items()))
            if probed_at >= oldest:
                return
            del self.results[run_id]
