"""State of one entry (a router process), shared by all of its tasks."""

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

__all__ = ["Clients", "Entry", "RetryBudgets"]

#: Number of requests that an entry may run at once without a configuration, and the
#: minimum with one.
INITIAL_SLOTS = 1
#: Timeout in seconds for cancelling a stream.
CANCEL_TIMEOUT_SECONDS = 1.0


class Clients(NamedTuple):
    """Clients of the systems that an entry depends on.

    Attributes:
        engines: Client of the model engines.
        services: Client of the plain services.
        table: Client of the table service.
    """

    engines: EngineClient
    services: ServiceClient
    table: TableClient


class RetryBudgets:
    """Retry budgets, one for each workspace."""

    def __init__(self) -> None:
        #: Number of retries that 100 first attempts earn.
        self.percent = 0
        #: Retry budgets by name of the workspace, created on first use.
        self.budgets: dict[str, RetryBudget] = {}

    def for_workspace(self, workspace: str) -> RetryBudget:
        """Return the retry budget of a workspace, creating it on first use."""
        budget = self.budgets.get(workspace)
        if budget is None:
            budget = RetryBudget(self.percent)
            self.budgets[workspace] = budget
        return budget

    def set_percent(self, percent: int) -> None:
        """Set the retries that 100 first attempts earn, for all workspaces."""
        self.percent = percent
        for budget in self.budgets.values():
            budget.percent = percent


class Entry:
    """One router process: its configuration, endpoints, limits and clients.

    Args:
        name: Name of the VM.
        failure_domain: Failure domain of the VM.
        keys: Keys shared by all entries; the first is the key in use.
        clients: Clients of the systems that the entry depends on.
        clock: Clock that all times are read from.
        random: Source of random choices.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        keys: tuple[bytes, ...],
        clients: Clients,
        clock: Clock,
        random: Random,
        metrics: Metrics,
    ) -> None:
        #: Name of the VM.
        self.name = name
        #: Failure domain of the VM.
        self.failure_domain = failure_domain
        #: Keys of cursors; the first is the key in use.
        self.cursor_keys = keys
        #: Client of the model engines.
        self.engines = clients.engines
        #: Client of the plain services.
        self.services = clients.services
        #: Client of the table service.
        self.table = clients.table
        #: Clock that all times are read from.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: Metrics of the process.
        self.metrics = metrics
        #: Configuration in force, or None before the first one.
        self.configuration: Configuration | None = None
        #: Sorted names of the live entries; each has an equal share of the limits.
        self.live_entries = [name]
        #: Whether the entry refuses new requests.
        self.draining = False
        #: Number of requests in progress.
        self.in_progress = 0
        #: Nursery of tasks that outlive the request that started them.
        self.nursery: trio.Nursery | None = None
        #: Returns whether requests may be admitted; replaced at start-up.
        self.may_admit: Callable[[], bool] = lambda: True
        #: Sends news (kind, subject, detail) to other entries; replaced at start-up.
        self.broadcast: Callable[[str, str, str], None] = lambda kind, subject, _: None
        #: Endpoints with their observed state.
        self.fleet = Fleet()
        #: Chooses the chain of endpoints that runs a request.
        self.planner = Planner(self.fleet, failure_domain, random)
        #: Journal of the latest decisions.
        self.journal = Journal(clock)
        #: Deaths of endpoints, and the requests in flight at each death.
        self.death_tracker = DeathTracker(name, clock)
        #: Ledger of unrepeatable calls, kept in the table service.
        self.ledger = CallLedger(clients.table, name, random)
        #: Retry budgets by workspace.
        self.retry_budgets = RetryBudgets()
        #: Admission control: running requests and the queue of waiting ones.
        self.admission = Admission(INITIAL_SLOTS, clock)
        #: Watchdog of the running streams.
        self.watchdog = Watchdog()
        #: Estimators of the normal gap between two tokens, by model.
        self.gap_estimators: dict[str, GapEstimator] = {}

    @property
    def suspects(self) -> SuspectTracker:
        """Tracker of the endpoint deaths that count against each request."""
        return self.death_tracker.suspects

    def activate(self, configuration: Configuration) -> bool:
        """Put a configuration in force, unless a newer version already is.

        Returns:
            Whether this version of the configuration is now in force.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return configuration.version == current.version
        self.configuration = configuration
        self.fleet.load_manifest(configuration.manifest)
        self.retry_budgets.set_percent(
            configuration.manifest["retries"]["budget_percent"]
        )
        self.update_entry_share()
        logger.bind(
            version=configuration.version, build=configuration.manifest["build"]
        ).info("configuration in force")
        return True

    def set_roster(self, names: list[str]) -> None:
        """Set the names of the live entries and recompute this entry's share."""
        self.live_entries = sorted({*names, self.name})
        self.update_entry_share()

    def update_entry_share(self) -> None:
        """Recompute this entry's share of the engines' slots and its request limit."""
        self.fleet.assign_slots(
            self.live_entries.index(self.name), len(self.live_entries)
        )
        self.update_slots()

    def update_slots(self) -> None:
        """Set the admission limit from load reports, and admit waiting requests."""
        slots = self.fleet.available_slots(self.clock.monotonic())
        self.admission.slots = max(INITIAL_SLOTS, slots)
        self.admission.admit_waiting()

    def workspace_share(self, workspace: WorkspaceDocument) -> WorkspaceShare:
        """Return a workspace's limits divided by the number of live entries."""
        concurrency = workspace["concurrent_requests"] / len(self.live_entries)
        rate = workspace["requests_per_second"] / len(self.live_entries)
        return WorkspaceShare(
            workspace["name"], workspace["weight"], max(1, round(concurrency)), rate
        )

    def gap_estimator(self, model: str) -> GapEstimator:
        """Return the estimator of the normal gap between two tokens of a model."""
        if model not in self.gap_estimators:
            self.gap_estimators[model] = GapEstimator()
        return self.gap_estimators[model]

    def new_id(self) -> str:
        """Return a random 64-bit identifier that no other entry or call uses."""
        return f"{self.random.getrandbits(64):016x}"

    def cursor_stages(self, cursor: Cursor) -> tuple[Stage, ...]:
        """Return the chain of a cursor, or an empty tuple if an endpoint is gone.

        Each stage has the whole layer range that its endpoint holds; only names and
        addresses matter for resuming a stream that is already running.
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

    def handle_aborted_attempt(self, name: str, request: str, aborted: Aborted) -> None:
        """Update the state of an endpoint on which an attempt failed.

        If the endpoint died and may have run the request, its death counts against
        all requests that were running on it. An endpoint that refused the stream
        because it is leaving is marked as leaving; one that did not refuse the stream
        is ejected.

        Args:
            name: Name of the endpoint.
            request: Identifier of the request, for the journal.
            aborted: How the attempt failed.
        """
        if aborted.endpoint_died and aborted.may_have_run:
            self.record_death(name)
        if aborted.refused and aborted.detail == "leaving":
            self.mark_leaving(name, REFUSAL)
        elif not aborted.refused:
            self.eject(name, request, aborted.detail)

    def record_death(self, name: str) -> None:
        """Count the death of an endpoint against the requests that ran on it.

        Args:
            name: Name of the endpoint.
        """
        for fingerprint in self.death_tracker.record_death(name):
            death = self.death_tracker.last_death[name][1]
            self.broadcast("suspect", fingerprint, death)

    def eject(self, name: str, request: str, detail: str) -> None:
        """Eject an endpoint for some time, unless too many of its peers are ejected.

        Args:
            name: Name of the endpoint.
            request: Identifier of the request, for the journal.
            detail: Why the endpoint is ejected.
        """
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

    def mark_leaving(self, name: str, source: str, spread: bool = True) -> None:
        """Mark an endpoint as leaving, so that it gets no new requests.

        Args:
            name: Name of the endpoint.
            source: Source that reports the endpoint as leaving.
            spread: Whether to send the news to the other entries.
        """
        state = self.fleet.states.get(name)
        if state is None:
            return
        already_leaving = state.leaving
        state.leaving_sources.add(source)
        if already_leaving:
            return
        self.journal.record("leaving", name, name, source)
        if spread:
            self.broadcast("leaving", name, source)

    async def cancel_stream(self, stage: Stage, stream: str) -> None:
        """Cancel a stream at one stage.

        A failure is only logged, since a stage that cannot be reached cancels the
        stream by itself.
        """
        try:
            with trio.fail_after(CANCEL_TIMEOUT_SECONDS):
                await self.engines.cancel(stage, stream)
        except (ConnectionFailed, trio.TooSlowError) as error:
            logger.debug("cancelling stream {} failed: {!r}", stream, error)

    def record_state_in_background(
        self, claim: Claim, state: CallState, answer: Outcome | None
    ) -> None:
        """Record the state of a call in the background, retrying until it is stored."""
        self.start_in_background(self.ledger.record_state, claim, state, answer)

    def start_in_background(
        self, function: Callable[..., Awaitable], *args: object
    ) -> None:
        """Run a function in the background; log its failure without ending others."""

        async def run() -> None:
            try:
                await function(*args)
            except Exception:
                logger.exception("background task failed")

        self.nursery.start_soon(run)

    async def run_detached(self, function: Callable[[], Awaitable]) -> object:
        """Run a function to completion even if the awaiting task is cancelled.

        Returns:
            The result of the function.
        """
        finished = trio.Event()
        results = []

        async def run() -> None:
            self.in_progress += 1
            try:
                results.append(await outcome.acapture(function))
            finally:
                self.in_progress -= 1
                finished.set()

        self.nursery.start_soon(run)
        await finished.wait()
        return results[0].unwrap()
