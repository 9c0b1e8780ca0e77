"""Engines that fell silent: whether they have died is found out later."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.isolation import isolate_errors

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.deaths import DeathTracker
    from pistachioreach.dispatch.reachability import ReachabilityProbe
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.routing.progress import Progress

__all__ = ["SilentEngines"]

#: Time, in seconds, after which an engine that fell silent is taken for dead if it
#: still accepts no connection. A live engine may be silent for a second or so.
CONFIRM_SECONDS = 2.0


class SilentEngine(NamedTuple):
    """An engine that fell silent.

    Attributes:
        engine: The engine.
        since: Monotonic time, in seconds, at which its silence was noticed.
        fingerprints: Fingerprints of the requests that ran on it then.
    """

    engine: Endpoint
    since: float
    fingerprints: tuple[str, ...]


class SilentEngines:
    """Counts the death of an engine that fell silent once its death is certain.

    Args:
        deaths: Tracker of endpoint deaths.
        directory: Directory of the registered endpoints.
        progress: Progress of each engine.
        reachability: Probes of engines that may be lost.
        links: Finds out whether this entry is cut off from all endpoints.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        deaths: DeathTracker,
        directory: Directory,
        progress: Progress,
        reachability: ReachabilityProbe,
        links: LinkMonitor,
        clock: Clock,
    ) -> None:
        #: Tracker of endpoint deaths.
        self.deaths = deaths
        #: Directory of the registered endpoints.
        self.directory = directory
        #: Progress of each engine.
        self.progress = progress
        #: Probes of engines that may be lost.
        self.reachability = reachability
        #: Finds out whether this entry is cut off from all endpoints.
        self.links = links
        #: Clock of all decisions.
        self.clock = clock
        #: Engines whose death is not certain, in the order of their silence.
        self.unconfirmed: list[SilentEngine] = []
        #: Set when an engine is added; wakes `run` from its wait for one.
        self.added = trio.Event()

    def record(self, engine: Endpoint) -> None:
        """Record that an engine has fallen silent."""
        fingerprints = self.deaths.running_on(engine.id)
        now = self.clock.monotonic()
        self.unconfirmed.append(SilentEngine(engine, now, fingerprints))
        self.added.set()

    async def run(self) -> None:
        """Count the deaths that have become certain, until cancelled."""
        while True:
            if not self.unconfirmed:
                self.added = trio.Event()
                await self.added.wait()
            silent = self.unconfirmed[0]
            wait = silent.since + CONFIRM_SECONDS - self.clock.monotonic()
            await trio.sleep(max(0.0, wait))
            with isolate_errors("check of a silent engine", endpoint=silent.engine.id):
                if await self.has_died(silent):
                    for fingerprint in silent.fingerprints:
                        self.deaths.suspects.record_crash(
                            fingerprint, silent.engine, silent.since
                        )
            self.unconfirmed.remove(silent)

    async def has_died(self, silent: SilentEngine) -> bool:
        """Return whether an engine has died, some time after it fell silent."""
        engine = silent.engine
        registered = self.directory.endpoints.get(engine.id)
        if registered is not None and registered.run_id != engine.run_id:
            return True
        if self.progress.progressed_since(engine.id, silent.since):
            return False
        unreachable = await self.reachability.find_unreachable([engine])
        return bool(unreachable) and not await self.links.check()
