"""Recovery benchmark: time from a fault until the caller receives the next token.

Run `python -m bench.recovery [TRIALS]`. The clock is virtual, so two runs with as
many trials give equal figures. The recovery time of each fault is compared with a
lower bound and with a baseline. The lower bound is the earliest moment at which the
fault can be detected, plus the time for a prefill of the lost tokens. The baseline
waits for a fixed timeout of 5 s and restarts the answer from its first token.
"""

from __future__ import annotations

import random
import sys
from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from bench.simulated import run_deployment, run_virtual
from pistachioreach.bin.load import percentile
from pistachioreach.endpoints.wire import BrokenStream, StreamOrder
from pistachioreach.fakes.engine import EngineTimes
from pistachioreach.routing.chains import Planner

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.simulated import SimulatedDeployment
    from pistachioreach.fakes.engine import FakeEngine

__all__ = ["FAULTS", "Row", "main", "measure"]

#: Service times: 40 ms for each new token on the slowest stage, 1 ms for each token
#: of prefill.
TIMES = EngineTimes(prefill_seconds=0.001, token_seconds=0.04)
#: One-way delay of a message between the stand-ins, in seconds.
LINK_SECONDS = 0.0005
#: Number of tokens in the prompt.
PROMPT_TOKENS = 200
#: Number of tokens in the answer.
ANSWER_TOKENS = 60
#: Seconds without an event after which the baseline gives up a chain.
BASELINE_TIMEOUT_SECONDS = 5.0
#: Target for the 95th percentile of the recovery time over that of the lower bound.
LOWER_BOUND_TARGET = 2.0
#: Target for the 95th percentile of the recovery time over that of the baseline.
BASELINE_TARGET = 0.25


class Fault(NamedTuple):
    """A fault whose recovery time is measured.

    Attributes:
        name: Name of the fault in the report.
        inject: Function that injects the fault into an engine.
        detection_seconds: Seconds after the last token at which the fault can be
            detected at the earliest; 0 if the connection breaks immediately.
        prefill: Whether the recovery needs a prefill of the prompt and the tokens
            generated so far.
    """

    name: str
    inject: Callable[[SimulatedDeployment, FakeEngine], None]
    detection_seconds: float
    prefill: bool


def die(deployment: SimulatedDeployment, engine: FakeEngine) -> None:
    """Kill an engine."""
    engine.die()


def stall(deployment: SimulatedDeployment, engine: FakeEngine) -> None:
    """Stop an engine from producing tokens, while it still answers requests."""
    engine.faults.stalled = True


def vanish(deployment: SimulatedDeployment, engine: FakeEngine) -> None:
    """Make an engine unreachable without closing its connections."""
    engine.faults.silence_connections()
    deployment.fleet.unreachable.add(engine.name)


def silence(deployment: SimulatedDeployment, engine: FakeEngine) -> None:
    """Stop all bytes on the open connections of an engine; new connections work."""
    engine.faults.silence_connections()


#: Faults, each with the index in the chain of the engine that the fault affects: the
#: first stage or the middle one.
FAULTS = (
    (Fault("stage dies", die, 0.0, True), 1),
    (Fault("stage stalls", stall, TIMES.token_seconds, True), 1),
    (Fault("VM vanishes", vanish, TIMES.token_seconds, True), 1),
    (Fault("connection to the entry silent", silence, TIMES.token_seconds, False), 0),
    (Fault("link between stages silent", silence, TIMES.token_seconds, True), 1),
)


class Trial(NamedTuple):
    """Result of one trial.

    Attributes:
        recovery_seconds: Seconds from the fault to the next token.
        lower_bound: Lower bound of these seconds.
    """

    recovery_seconds: float
    lower_bound: float


class Row(NamedTuple):
    """Results for one fault.

    Attributes:
        name: Name of the fault.
        recovery_seconds: Recovery time of the router in seconds, for each trial.
        lower_bounds: Lower bound of the recovery time in seconds, for each trial.
        baseline: Recovery time of the baseline in seconds, for each trial.
    """

    name: str
    recovery_seconds: list[float]
    lower_bounds: list[float]
    baseline: list[float]

    def ratio_to_lower_bound(self) -> float:
        """Return the p95 of the recovery time over the p95 of the lower bound."""
        return percentile(self.recovery_seconds, 0.95) / percentile(
            self.lower_bounds, 0.95
        )

    def ratio_to_baseline(self) -> float:
        """Return the p95 of the recovery time over the p95 of the baseline."""
        return percentile(self.recovery_seconds, 0.95) / percentile(self.baseline, 0.95)


class FaultInjector:
    """Records when tokens arrive, and injects a fault after one of them.

    Args:
        deployment: The simulated deployment.
        fault: Fault to inject.
        stage_index: Index in the chain of the engine that fails.
        seed: Seed of the time of the fault.
    """

    def __init__(
        self, deployment: SimulatedDeployment, fault: Fault, stage_index: int, seed: int
    ) -> None:
        random_source = random.Random(seed)
        #: The simulated deployment.
        self.deployment = deployment
        #: Fault to inject.
        self.fault = fault
        #: Index in the chain of the engine that fails.
        self.stage_index = stage_index
        #: Position of the token after which the fault is injected.
        self.position = random_source.randrange(20, ANSWER_TOKENS - 10)
        #: Seconds between the arrival of that token and the fault.
        self.delay = random_source.uniform(0, TIMES.token_seconds)
        #: Time of the fault, in seconds on trio's clock.
        self.fault_at = 0.0
        #: Arrival times of new tokens, from the one at `position` on.
        self.times: list[float] = []
        #: Highest position of the tokens that have arrived.
        self.highest_position = -1

    def on_token(self, position: int) -> None:
        """Record the arrival of a token, and start the injection at `position`.

        A token that has arrived before is ignored.
        """
        if position <= self.highest_position:
            return
        self.highest_position = position
        if position == self.position:
            self.deployment.nursery.start_soon(self.inject)
        if position >= self.position:
            self.times.append(trio.current_time())

    async def inject(self) -> None:
        """Inject the fault into one of the engines that run the stream."""
        await trio.sleep(self.delay)
        self.fault_at = trio.current_time()
        running = [e for e in self.deployment.fleet.engines.values() if e.running()]
        running.sort(key=lambda engine: engine.name)
        self.fault.inject(self.deployment, running[self.stage_index])

    def trial(self) -> Trial:
        """Return the recovery time and its lower bound.

        The recovery time ends with the token after the longest gap.
        """
        pairs = zip(self.times, self.times[1:], strict=False)
        # Tokens that were in transit still arrive after the fault.
        before, after = max(pairs, key=lambda pair: pair[1] - pair[0])
        detected_after = max(0.0, before + self.fault.detection_seconds - self.fault_at)
        lost_tokens = PROMPT_TOKENS + self.position if self.fault.prefill else 0
        lower_bound = (
            detected_after
            + lost_tokens * TIMES.prefill_seconds
            + TIMES.token_seconds * self.fault.prefill
        )
        lower_bound += 2 * LINK_SECONDS
        return Trial(after - self.fault_at, lower_bound)


def make_prompt(seed: int) -> str:
    """Return a prompt of `PROMPT_TOKENS` tokens."""
    return " ".join(f"w{seed}-{n}" for n in range(PROMPT_TOKENS))


async def router_trial(fault: Fault, stage_index: int, seed: int) -> Trial:
    """Run one trial of the router.

    Two answers before the trial let the router learn the normal gap between tokens.
    """
    async with run_deployment(TIMES, seed=seed) as deployment:
        for number in range(2):
            await deployment.generate(
                deployment.entries[0], f"warm {number}", 20, lambda position: None
            )
        injector = FaultInjector(deployment, fault, stage_index, seed)
        await deployment.generate(
            deployment.entries[0], make_prompt(seed), ANSWER_TOKENS, injector.on_token
        )
        return injector.trial()


async def baseline_trial(fault: Fault, stage_index: int, seed: int) -> Trial:
    """Run one trial of the baseline, which tries up to three disjoint chains."""
    async with run_deployment(TIMES, seed=seed) as deployment:
        injector = FaultInjector(deployment, fault, stage_index, seed)
        planner = Planner(deployment.entries[0].fleet, "anta", random.Random(seed))
        avoid: frozenset[str] = frozenset()
        for number in range(3):
            chain = planner.plan("clearance", 0.0, avoid=avoid)
            if await baseline_attempt(deployment, chain.stages, number, seed, injector):
                break
            avoid |= {item.endpoint for item in chain.stages}
        return injector.trial()


async def baseline_attempt(deployment, stages, number, seed, injector) -> bool:
    """Generate the answer from its first token; return whether it was completed."""
    order = StreamOrder(
        stream=f"s{number}",
        request=f"r{number}",
        attempt=1,
        model="clearance",
        prompt=make_prompt(seed),
        received=[],
        max_tokens=ANSWER_TOKENS,
        priority=9,
        stages=list(stages),
        stage=0,
        previous=[],
    )
    async with deployment.fleet.open(order) as batches:
        while True:
            with trio.move_on_after(BASELINE_TIMEOUT_SECONDS):
                batch = await anext(batches)
                for event in batch:
                    if isinstance(event, BrokenStream) or "endpoint" in event:
                        return False
                    if "position" in event:
                        injector.on_token(event["position"])
                    else:
                        return True
                continue
            return False


def run_trial(function, *args) -> Trial:
    """Run a trial on a virtual clock.

    Args:
        function: `router_trial` or `baseline_trial`.
        args: Arguments of the function.
    """
    return run_virtual(function, *args)


def measure(trials: int) -> list[Row]:
    """Run `trials` trials of the router and of the baseline for each fault."""
    rows = []
    for fault, stage_index in FAULTS:
        router_trials = [
            run_trial(router_trial, fault, stage_index, seed) for seed in range(trials)
        ]
        baseline_trials = [
            run_trial(baseline_trial, fault, stage_index, seed)
            for seed in range(trials)
        ]
        rows.append(
            Row(
                fault.name,
                [trial.recovery_seconds for trial in router_trials],
                [trial.lower_bound for trial in router_trials],
                [trial.recovery_seconds for trial in baseline_trials],
            )
        )
    return rows


def main() -> int:
    """Measure each fault and print the results.

    Returns:
        The exit status, which is 1 if a target is missed.
    """
    logger.remove()
    trials = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    print(f"{trials} trials per fault; milliseconds from the fault to the next token")
    print(
        "fault                            p50   p95   p99  bound p95  x bound  x base"
    )
    met = True
    for row in measure(trials):
        p50, p95, p99 = (
            percentile(row.recovery_seconds, share) * 1000 for share in PERCENTILES
        )
        lower_bound = percentile(row.lower_bounds, 0.95) * 1000
        row_met = (
            row.ratio_to_lower_bound() < LOWER_BOUND_TARGET
            and row.ratio_to_baseline() <= BASELINE_TARGET
        )
        met = met and row_met
        print(
            f"{row.name:30} {p50:5.0f} {p95:5.0f} {p99:5.0f} {lower_bound:10.0f} "
            f"{row.ratio_to_lower_bound():8.2f} {row.ratio_to_baseline():7.2f} "
            f"{'met' if row_met else 'NOT MET'}"
        )
    return 0 if met else 1


#: Percentiles in the report, as fractions.
PERCENTILES = (0.5, 0.95, 0.99)

if __name__ == "__main__":
    raise SystemExit(main())
