"""The state of one entry, shared by the tasks that serve its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import outcome
import trio
from loguru import logger

from pistachioreach.dispatch.deaths import DeathTracker
from pistachioreach.dispatch.ledger import CallLedger
from pistachioreach.dispatch.watch import Watchdog
from pistachioreach.endpoints.wire import Stage
from pistachioreach.errors import ConnectionFailed
from pistachioreach.journal import Journal
from pistachioreach.routing.admission import Admission, WorkspaceShare
from pistachioreach.routing.budget import RetryBudget
from pistachioreach.routing.chains import Planner
from pistachioreach.routing.fleet import REFUSAL, Fleet
from pistachioreach.routing.silence import GapEstimator

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.configuration import Configuration
    from pistachioreach.dispatch.attempt import Aborted
    from pistachioreach.dispatch.cursor import Cursor
    from pistachioreach.dispatch.ledger import CallState, Claim, Outcome
    from pistachioreach.endpoints.engine import EngineClient
    from pistachioreach.endpoints.service import ServiceClient
    from pistachioreach.manifest import WorkspaceDocument
    from pistachioreach.metrics import Metrics
    from pistachioreach.platform.table import TableClient
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["Budgets", "Entry", "Peers"]

#: Places of an entry without a configuration.
INITIAL_PLACES = 1
#: Seconds that the cancelling of a stream may take.
CANCEL_SECONDS = 1.0


class Peers(NamedTuple):
    """Clients of the systems that an entry talks to.

    Attributes:
        engines: Client of the model engines.
        services: Client of the plain services.
        table: Client of the table service.
    """

    engines: EngineClient
    services: ServiceClient
    table: TableClient


class Budgets:
    """Retry budgets by workspace."""

    def __init__(self) -> None:
        #: Retries earned by 100 first attempts.
        self.percent = 0
        #: Budget of each workspace seen.
        self.budgets: dict[str, RetryBudget] = {}

    def of(self, workspace: str) -> RetryBudget:
        """Return the budget of a workspace."""
        budget = self.budgets.get(workspace)
        if budget is None:
            budget = RetryBudget(self.percent)
            self.budgets[workspace] = budget
        return budget

    def set_percent(self, percent: int) -> None:
        """Change the share of retries, of all workspaces."""
        self.percent = percent
        for budget in self.budgets.values():
            budget.percent = percent


class Entry:
    """One entry.

    Args:
        name: Name of the VM.
        failure_domain: Failure domain that it stands in.
        keys: Keys shared by all entries, the one in use first.
        peers: Clients of the systems that it talks to.
        clock: Clock of all its decisions.
        random: Source of all its random choices.
        metrics: Where metrics go.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        keys: tuple[bytes, ...],
        peers: Peers,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        #: Name of the VM.
        self.name = name
        #: Failure domain that it stands in.
        self.failure_domain = failure_domain
        #: Keys of cursors, the one in use first.
        self.cursor_keys = keys
        #: Client of the model engines.
        self.engines = peers.engines
        #: Client of the plain services.
        self.services = peers.services
        #: Client of the table service.
        self.table = peers.table
        #: Clock of all decisions.
        self.clock = clock
        #: Source of all random choices.
        self.random = random
        #: Where metrics go.
        self.metrics = metrics
        #: The configuration in force, or None before the first.
        self.configuration: Configuration | None = None
        #: Names of the live entries; shares of limits depend on them.
        self.live = [name]
        #: Whether the entry takes no new requests.
        self.draining = False
        #: Requests in progress.
        self.in_progress = 0
        #: Runs tasks that outlive the request that started them.
        self.nursery: trio.Nursery | None = None
        #: Whether requests may be admitted now; set by the agreement.
        self.permitted: Callable[[], bool] = lambda: True
        #: Tells the other entries of news; set by the news spreader.
        self.tell: Callable[[str, str, str], None] = lambda kind, subject, detail: None
        #: The endpoints, as this entry knows them.
        self.fleet = Fleet()
        #: Plans chains.
        self.planner = Planner(self.fleet, failure_domain, random)
        #: The latest decisions.
        self.journal = Journal(clock)
        #: Deaths of endpoints, and the requests that are suspects.
        self.deaths = DeathTracker(name, clock)
        #: Rows of unrepeatable calls.
        self.ledger = CallLedger(peers.table, name, random)
        #: Retry budgets by workspace.
        self.budgets = Budgets()
        #: Places and the requests that wait for them.
        self.admission = Admission(INITIAL_PLACES, clock)
        #: Watches over the streams.
        self.watch = Watchdog()
        #: Normal gaps between tokens, by model.
        self.gaps: dict[str, GapEstimator] = {}

    @property
    def suspicion(self) -> SuspectTracker:
        """Deaths that count against requests."""
        return self.deaths.suspicion

    def activate(self, configuration: Configuration) -> bool:
        """Put a configuration in force; an older one is ignored.

        Returns:
            Whether it is now in force.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return configuration.version == current.version
        self.configuration = configuration
        self.fleet.load_manifest(configuration.manifest)
        self.budgets.set_percent(configuration.manifest["retries"]["budget_percent"])
        self.share_places()
        logger.bind(version=configuration.version, build=configuration.manifest["build"]).info("configuration in force")
        return True

    def set_roster(self, names: list[str]) -> None:
        """Take over the names of the live entries."""
        self.live = sorted({*names, self.name})
        self.share_places()

    def share_places(self) -> None:
        """Take this entry's share of the engines' places."""
        self.fleet.assign_slots(self.live.index(self.name), len(self.live))
        self.update_places()

    def update_places(self) -> None:
        """Follow what the load reports say of free places."""
        places = self.fleet.available_slots(self.clock.monotonic())
        self.admission.slots = max(INITIAL_PLACES, places)
        self.admission.admit_waiting()

    def share_of(self, workspace: WorkspaceDocument) -> WorkspaceShare:
        """Return a workspace's part of this entry: an equal share of its limits."""
        concurrency = workspace["concurrent_requests"] / len(self.live)
        rate = workspace["requests_per_second"] / len(self.live)
        return WorkspaceShare(workspace["name"], workspace["weight"], max(1, round(concurrency)), rate)

    def gaps_of(self, model: str) -> GapEstimator:
        """Return what is known of the normal gaps of a model."""
        if model not in self.gaps:
            self.gaps[model] = GapEstimator()
        return self.gaps[model]

    def nonce(self) -> str:
        """Return a name that no other entry or call uses."""
        return f"{self.random.getrandbits(64):016x}"

    def stages_of_cursor(self, cursor: Cursor) -> tuple[Stage, ...]:
        """Return the chain of a cursor, or nothing if an endpoint is gone.

        The layer ranges are those held; only the names and addresses count for
        reading on a stream that runs already.
        """
        stages = []
        for name in cursor.chain:
            state = self.fleet.states.get(name)
            if state is None:
                return ()
            endpoint = state.endpoint
            stage = Stage(name, endpoint.address, endpoint.first, endpoint.last)
            stages.append(stage)
        return tuple(stages)

    def blame(self, name: str, request: str, lost: Aborted) -> None:
        """Draw the consequences of an attempt that an endpoint failed."""
        if lost.endpoint_died and lost.may_have_run:
            for fingerprint in self.deaths.record_death(name):
                self.tell("suspect", fingerprint, self.deaths.last_death[name][1])
        if lost.refused and lost.detail == "leaving":
            self.note_leaving(name, REFUSAL)
        elif not lost.refused:
            self.eject(name, request, lost.detail)

    def eject(self, name: str, request: str, detail: str) -> None:
        """Give an endpoint no work for a while, within the allowed share."""
        state = self.fleet.states.get(name)
        now = self.clock.monotonic()
        if state is None or now < state.ejected_until:
            return
        if not self.fleet.may_eject(state, now):
            reason = f"too many of its peers are ejected; {detail}"
            self.journal.record("ejection", request, f"keep {name}", reason)
            return
        seconds = state.eject(now)
        self.journal.record("ejection", request, name, detail, seconds=seconds)
        self.metrics.incr("endpoints_ejected")

    def note_leaving(self, name: str, source: str, spread: bool = True) -> None:
        """Give an endpoint no new work from now on, and tell the other entries."""
        state = self.fleet.states.get(name)
        if state is None:
            return
        known = state.leaving
        state.leaving_sources.add(source)
        if known:
            return
        self.journal.record("leaving", name, name, source)
        if spread:
            self.tell("leaving", name, source)

    async def cancel_stream(self, stage: Stage, stream: str) -> None:
        """Cancel a stream at one stage; an unreachable one cancels it by itself."""
        try:
            with trio.fail_after(CANCEL_SECONDS):
                await self.engines.cancel(stage, stream)
        except (ConnectionFailed, trio.TooSlowError) as error:
            logger.debug("cancel of {} failed: {!r}", stream, error)

    def settle_later(self, claim: Claim, state: CallState, answer: Outcome | None) -> None:
        """Go on recording the state of a call in the background."""
        self.start(self.ledger.record_state, claim, state, answer)

    def start(self, function: Callable[..., Awaitable], *args: object) -> None:
        """Run a function in the background; its failure ends nothing else."""

        async def run() -> None:
            try:
                await function(*args)
            except Exception:
                logger.exception("background task failed")

        self.nursery.start_soon(run)

    async def run_detached(self, function: Callable[[], Awaitable]) -> object:
        """Run a function to its end even if the caller goes away meanwhile."""
        done = trio.Event()
        results = []

        async def run() -> None:
            self.in_progress += 1
            try:
                results.append(await outcome.acapture(function))
            finally:
                self.in_progress -= 1
                done.set()

        self.nursery.start_soon(run)
        await done.wait()
        return results[0].unwrap()
