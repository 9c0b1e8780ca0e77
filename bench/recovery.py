"""Recovery time: from a fault to the next token at the caller.

Run `python -m bench.recovery [TRIALS]`. The clock is virtual, so a run with the
same number of trials gives the same figures. Each fault is compared with its
floor (the earliest moment at which the fault can be noticed at all, and one
prefill of what was lost) and with a baseline that waits a fixed 5 s and starts
the answer anew.
"""

from __future__ import annotations

import random
import sys
from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from bench.worlds import make_world, run_virtual
from pistachioreach.bin.load import percentile
from pistachioreach.endpoints.wire import BrokenStream, StreamOrder
from pistachioreach.fakes.engine import EngineTimes
from pistachioreach.routing.chains import Planner

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.worlds import BenchWorld
    from pistachioreach.fakes.engine import FakeEngine

__all__ = ["FAULTS", "Row", "main", "measure"]

#: Service times: 40 ms a token on the slowest stage, 1 ms a token of prefill.
TIMES = EngineTimes(prefill_seconds=0.001, token_seconds=0.04)
#: Seconds of a one-way message in the stand-in network.
LINK_SECONDS = 0.0005
#: Tokens of the prompt and of the answer.
PROMPT_TOKENS = 200
ANSWER_TOKENS = 60
#: Seconds of silence that the baseline waits.
BASELINE_SECONDS = 5.0
#: Targets: 95 in 100 recoveries over the floor, and over the baseline.
FLOOR_TARGET = 2.0
BASELINE_TARGET = 0.25


class Fault(NamedTuple):
    """A fault to measure.

    Attributes:
        name: What it is called in the report.
        set: Sets it on an engine.
        noticed: Seconds after the last token at which it can be noticed; 0 when
            the connection breaks at once.
        prefill: Whether what was lost has to be prefilled again.
    """

    name: str
    set: Callable[[BenchWorld, FakeEngine], None]
    noticed: float
    prefill: bool


def die(world: BenchWorld, engine: FakeEngine) -> None:
    """Kill an engine."""
    engine.die()


def stall(world: BenchWorld, engine: FakeEngine) -> None:
    """Let an engine produce nothing, while it answers."""
    engine.faults.stalled = True


def vanish(world: BenchWorld, engine: FakeEngine) -> None:
    """Cut all links of an engine, without breaking connections."""
    engine.faults.silence_connections()
    world.fleet.unreachable.add(engine.name)


def silence(world: BenchWorld, engine: FakeEngine) -> None:
    """Silence the open connections of an engine."""
    engine.faults.silence_connections()


#: The faults of the first stage and of the middle one.
FAULTS = (
    (Fault("stage dies", die, 0.0, True), 1),
    (Fault("stage stalls", stall, TIMES.token_seconds, True), 1),
    (Fault("VM vanishes", vanish, TIMES.token_seconds, True), 1),
    (Fault("connection to the entry silent", silence, TIMES.token_seconds, False), 0),
    (Fault("link between stages silent", silence, TIMES.token_seconds, True), 1),
)


class Trial(NamedTuple):
    """One trial, in seconds from the fault to the next token.

    Attributes:
        taken: What it took.
        floor: What it takes at least.
    """

    taken: float
    floor: float


class Row(NamedTuple):
    """One fault's figures, in seconds.

    Attributes:
        name: The fault.
        taken: Trials of the router.
        floors: Their floors.
        baseline: Trials of the baseline.
    """

    name: str
    taken: list[float]
    floors: list[float]
    baseline: list[float]

    def over_floor(self) -> float:
        """Return the 95th percentile of the times over that of the floors."""
        return percentile(self.taken, 0.95) / percentile(self.floors, 0.95)

    def over_baseline(self) -> float:
        """Return the 95th percentile over that of the baseline."""
        return percentile(self.taken, 0.95) / percentile(self.baseline, 0.95)


class Clocked:
    """Notes when tokens arrive, and sets a fault in the middle.

    Args:
        world: The world.
        fault: The fault.
        stage: Index in the chain of the engine that fails.
        seed: Seed of where the fault strikes.
    """

    def __init__(self, world: BenchWorld, fault: Fault, stage: int, seed: int) -> None:
        source = random.Random(seed)
        #: The world.
        self.world = world
        #: The fault.
        self.fault = fault
        #: Index in the chain of the engine that fails.
        self.stage = stage
        #: Position of the token before the fault.
        self.position = source.randrange(20, ANSWER_TOKENS - 10)
        #: Seconds between that token and the fault.
        self.delay = source.uniform(0, TIMES.token_seconds)
        #: Time of the fault.
        self.fault_at = 0.0
        #: Times at which new tokens arrived, from the one before the fault.
        self.times: list[float] = []
        #: Highest position that has arrived.
        self.highest = -1

    def on_token(self, position: int) -> None:
        """Note one token."""
        if position <= self.highest:
            return
        self.highest = position
        if position == self.position:
            self.world.nursery.start_soon(self.strike)
        if position >= self.position:
            self.times.append(trio.current_time())

    async def strike(self) -> None:
        """Set the fault."""
        await trio.sleep(self.delay)
        self.fault_at = trio.current_time()
        running = [e for e in self.world.fleet.engines.values() if e.running()]
        running.sort(key=lambda engine: engine.name)
        self.fault.set(self.world, running[self.stage])

    def trial(self) -> Trial:
        """Return the trial's figures."""
        pairs = zip(self.times, self.times[1:], strict=False)
        # Tokens that were on their way still come after the fault.
        before, after = max(pairs, key=lambda pair: pair[1] - pair[0])
        noticed = max(0.0, before + self.fault.noticed - self.fault_at)
        lost = PROMPT_TOKENS + self.position if self.fault.prefill else 0
        floor = (
            noticed
            + lost * TIMES.prefill_seconds
            + TIMES.token_seconds * self.fault.prefill
        )
        floor += 2 * LINK_SECONDS
        return Trial(after - self.fault_at, floor)


def prompt_of(seed: int) -> str:
    """Return a prompt of the right length."""
    return " ".join(f"w{seed}-{n}" for n in range(PROMPT_TOKENS))


async def router_trial(fault: Fault, stage: int, seed: int) -> Trial:
    """Run one trial of the router, after answers from which it learns the gaps."""
    async with make_world(TIMES, seed=seed) as world:
        for number in range(2):
            await world.generate(
                world.entries[0], f"warm {number}", 20, lambda position: None
            )
        clocked = Clocked(world, fault, stage, seed)
        await world.generate(
            world.entries[0], prompt_of(seed), ANSWER_TOKENS, clocked.on_token
        )
        return clocked.trial()


async def baseline_trial(fault: Fault, stage: int, seed: int) -> Trial:
    """Run one trial of the baseline."""
    async with make_world(TIMES, seed=seed) as world:
        clocked = Clocked(world, fault, stage, seed)
        planner = Planner(world.entries[0].fleet, "anta", random.Random(seed))
        avoid: frozenset[str] = frozenset()
        for number in range(3):
            chain = planner.plan("clearance", 0.0, avoid=avoid)
            if await baseline_attempt(world, chain.stages, number, seed, clocked):
                break
            avoid |= {item.endpoint for item in chain.stages}
        return clocked.trial()


async def baseline_attempt(world, stages, number, seed, clocked) -> bool:
    """Run an answer from its first token; return whether it came to its end."""
    order = StreamOrder(
        stream=f"s{number}",
        request=f"r{number}",
        attempt=1,
        model="clearance",
        prompt=prompt_of(seed),
        received=[],
        max_tokens=ANSWER_TOKENS,
        priority=9,
        stages=list(stages),
        stage=0,
        previous=[],
    )
    async with world.fleet.open(order) as batches:
        while True:
            with trio.move_on_after(BASELINE_SECONDS):
                batch = await anext(batches)
                for event in batch:
                    if isinstance(event, BrokenStream) or "endpoint" in event:
                        return False
                    if "position" in event:
                        clocked.on_token(event["position"])
                    else:
                        return True
                continue
            return False


def run(function, *args) -> Trial:
    """Run a trial on a virtual clock."""
    return run_virtual(function, *args)


def measure(trials: int) -> list[Row]:
    """Measure each fault in some trials."""
    rows = []
    for fault, stage in FAULTS:
        routed = [run(router_trial, fault, stage, seed) for seed in range(trials)]
        based = [run(baseline_trial, fault, stage, seed) for seed in range(trials)]
        rows.append(
            Row(
                fault.name,
                [trial.taken for trial in routed],
                [trial.floor for trial in routed],
                [trial.taken for trial in based],
            )
        )
    return rows


def main() -> int:
    """Measure and print; the exit status tells whether the targets are met."""
    logger.remove()
    trials = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    print(f"{trials} trials a fault; milliseconds from the fault to the next token")
    print(
        "fault                            p50   p95   p99  floor p95  x floor  x base"
    )
    met = True
    for row in measure(trials):
        p50, p95, p99 = (percentile(row.taken, share) * 1000 for share in SHARES)
        floor = percentile(row.floors, 0.95) * 1000
        good = (
            row.over_floor() < FLOOR_TARGET and row.over_baseline() <= BASELINE_TARGET
        )
        met = met and good
        print(
            f"{row.name:30} {p50:5.0f} {p95:5.0f} {p99:5.0f} {floor:10.0f} "
            f"{row.over_floor():8.2f} {row.over_baseline():7.2f} "
            f"{'met' if good else 'NOT MET'}"
        )
    return 0 if met else 1


#: Percentiles in the report.
SHARES = (0.5, 0.95, 0.99)

if __name__ == "__main__":
    raise SystemExit(main())
