"""Routing and admission against the bound and simpler policies.

Run `python -m bench.routing [SECONDS]`. 7 entries decide independently on what each
of them knows, over the stand-in engines of both users' examples, on a virtual clock.
Load is given in percent of the bound (maximum flow). Throughput counts the tokens of
answers that came in time: first token within 1.2 s, and 64 ms or less between tokens
on average.
"""

from __future__ import annotations

import itertools
import json
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from bench.bound import tokens_per_second_bound
from bench.examples import DEPLOYMENTS, build_example
from bench.processes import OUT
from bench.worlds import BenchWorld, run_virtual
from pistachioreach.bin.load import percentile
from pistachioreach.dispatch.generation import Finished
from pistachioreach.endpoints.poll import poll_loads
from pistachioreach.endpoints.wire import Stage
from pistachioreach.fakes.engine import EngineTimes
from pistachioreach.routing.admission import WorkspaceShare
from pistachioreach.routing.chains import Chain

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.entry import Entry
    from pistachioreach.routing.fleet import EndpointState

__all__ = ["POLICIES", "Result", "Setting", "main", "simulate"]

#: Service times by kind of accelerator, in seconds.
KIND_TIMES = {
    "a40": EngineTimes(0.0003, 0.020, 0.0015),
    "l4": EngineTimes(0.0005, 0.025, 0.0030),
    "t4": EngineTimes(0.0010, 0.040, 0.0050),
    "v100": EngineTimes(0.0004, 0.024, 0.0020),
    "w7900": EngineTimes(0.0003, 0.022, 0.0015),
}
#: Tokens of a prompt.
PROMPT_TOKENS = 60
#: Mean tokens of an answer.
ANSWER_TOKENS = 40
#: Entries.
ENTRIES = 7
#: Seconds before the figures are taken.
WARM_SECONDS = 5.0
#: Targets of letter 1: the first token, and the time between tokens, in seconds.
FIRST_TOKEN_SECONDS = 1.2
GAP_SECONDS = 0.064
#: Seconds that a request may wait for a place; the rest is for its prompt.
PLACE_SECONDS = 1.0
#: Target: throughput in time over the bound, at 100% load.
BOUND_TARGET = 0.95
#: Loads in percent of the bound.
LOADS = (50, 80, 95, 100, 150, 200)


class Setting(NamedTuple):
    """What to simulate.

    Attributes:
        deployment: Index of the example deployment.
        policy: Name of the policy.
        load: Load in percent of the bound.
        seconds: Seconds of virtual time.
        lost_domain: Whether one failure domain is down.
        seed: Seed of the arrivals and choices.
    """

    deployment: int
    policy: str
    load: int
    seconds: float
    lost_domain: bool = False
    seed: int = 1


class Result(NamedTuple):
    """What a simulation gave.

    Attributes:
        setting: What was simulated.
        bound: Most tokens a second.
        in_time: Tokens a second of answers in time.
        first_p95: 95th percentile of the first token, in seconds.
        gap_p95: 95th percentile of the mean time between tokens, in seconds.
        refused: Share of the requests that were refused or failed.
    """

    setting: Setting
    bound: float
    in_time: float
    first_p95: float
    gap_p95: float
    refused: float


class SimplePlanner:
    """A planner that chooses each stage by one rule, without link or wait costs.

    Args:
        entry: The entry that plans.
        choose: Chooses one of the usable endpoints of a layer range.
    """

    def __init__(
        self, entry: Entry, choose: Callable[[list[EndpointState]], EndpointState]
    ) -> None:
        #: The entry that plans.
        self.entry = entry
        #: Chooses one of the usable endpoints of a layer range.
        self.choose = choose

    def plan(
        self,
        model: str,
        now: float,
        prefer: frozenset[str] = frozenset(),
        avoid: frozenset[str] = frozenset(),
        isolate: bool = False,
    ) -> Chain | None:
        """Return a chain, as the router's own planner does."""
        stages = []
        for (first, last), states in sorted(self.entry.fleet.ranges[model].items()):
            usable = [
                state
                for state in states
                if state.usable(now) and state.endpoint.name not in avoid
            ]
            if not usable:
                return None
            endpoint = self.choose(usable).endpoint
            stages.append(Stage(endpoint.name, endpoint.address, first, last))
        return Chain(tuple(stages), 0.0, {})


def random_choice(entry: Entry):
    """Choose any endpoint."""
    return entry.random.choice


def round_robin(entry: Entry):
    """Choose the endpoints in turn."""
    turns = itertools.count(entry.random.randrange(1000))
    return lambda states: states[next(turns) % len(states)]


def least_outstanding(entry: Entry):
    """Choose the endpoint with the fewest requests of this entry."""

    def choose(states):
        return min(states, key=lambda s: (s.in_flight, entry.random.random()))

    return choose


def two_choices(entry: Entry):
    """Choose the less occupied of two endpoints, by its load report."""

    def choose(states):
        now = entry.clock.monotonic()
        some = entry.random.sample(states, min(2, len(states)))
        return min(some, key=lambda state: state.occupancy(now))

    return choose


#: Policies by name; None is the router's own.
POLICIES = {
    "router": None,
    "random": random_choice,
    "round robin": round_robin,
    "least outstanding": least_outstanding,
    "two choices": two_choices,
}


def capacity(endpoint: dict) -> float:
    """Return the tokens a second of a full endpoint, prefill included."""
    times = KIND_TIMES[endpoint["kind"]]
    places = endpoint["concurrency"]
    step = times.token_seconds + (places - 1) * times.contention_seconds
    seconds = PROMPT_TOKENS * times.prefill_seconds + ANSWER_TOKENS * step
    return places * ANSWER_TOKENS / seconds


class Simulation:
    """One simulation while it runs.

    Args:
        setting: What to simulate.
        world: The world.
        bound: Most tokens a second.
    """

    def __init__(self, setting: Setting, world: BenchWorld, bound: float) -> None:
        #: What to simulate.
        self.setting = setting
        #: The world.
        self.world = world
        #: Most tokens a second.
        self.bound = bound
        #: Source of the arrivals.
        self.random = random.Random(setting.seed)
        #: Tokens of answers in time.
        self.tokens = 0
        #: Seconds to the first token, of each answer.
        self.first_tokens: list[float] = []
        #: Mean seconds between tokens, of each answer.
        self.gaps: list[float] = []
        #: Requests, and those that were refused or failed.
        self.requests = 0
        self.refused = 0

    async def arrive(self) -> None:
        """Let requests arrive with exponential gaps until the time is over."""
        rate = self.bound * self.setting.load / 100 / ANSWER_TOKENS
        end = self.setting.seconds
        async with trio.open_nursery() as nursery:
            with trio.move_on_at(end):
                for number in itertools.count():
                    await trio.sleep(self.random.expovariate(rate))
                    tokens = self.random.randint(
                        ANSWER_TOKENS // 2, ANSWER_TOKENS * 3 // 2
                    )
                    nursery.start_soon(self.request, number, tokens)
            await trio.sleep(FIRST_TOKEN_SECONDS + 5)
            nursery.cancel_scope.cancel()

    async def request(self, number: int, tokens: int) -> None:
        """Run one request through admission and generation."""
        entry = self.random.choice(self.world.entries)
        counted = WARM_SECONDS <= trio.current_time() < self.setting.seconds
        times = [trio.current_time()]
        workspace = entry.configuration.manifest["workspaces"][0]["name"]
        share = WorkspaceShare(workspace, 1, 10_000, 10_000.0)
        deadline = times[0] + PLACE_SECONDS
        refused = await entry.admission.admit(share, 9, deadline)
        outcome = refused
        if refused is None:
            since = trio.current_time()
            prompt = " ".join(f"{number}-{n}" for n in range(PROMPT_TOKENS))
            try:
                outcome = await self.world.generate(
                    entry,
                    prompt,
                    tokens,
                    lambda position: times.append(trio.current_time()),
                    workspace=workspace,
                )
            finally:
                entry.admission.release(share, trio.current_time() - since)
        if counted:
            self.note(times, tokens, isinstance(outcome, Finished))

    def note(self, times: list[float], tokens: int, whole: bool) -> None:
        """Count how a request ended."""
        self.requests += 1
        if not whole:
            self.refused += 1
            return
        first = times[1] - times[0]
        gap = (times[-1] - times[1]) / max(1, tokens - 1)
        self.first_tokens.append(first)
        self.gaps.append(gap)
        if first <= FIRST_TOKEN_SECONDS and gap <= GAP_SECONDS:
            self.tokens += tokens


async def run(setting: Setting) -> Result:
    """Run one simulation."""
    manifest = build_example(DEPLOYMENTS[setting.deployment])
    model = manifest["models"][0]["name"]
    async with trio.open_nursery() as nursery:
        world = BenchWorld(nursery, manifest, setting.seed)
        lost = manifest["failure_domains"][0] if setting.lost_domain else None
        alive = [e for e in manifest["endpoints"] if e["failure_domain"] != lost]
        for endpoint in alive:
            times = KIND_TIMES[endpoint["kind"]]
            await world.fleet.start(endpoint["name"], endpoint["concurrency"], times)
        for _ in range(ENTRIES):
            entry = world.add_entry(ENTRIES)
            nursery.start_soon(poll_loads, entry)
            rule = POLICIES[setting.policy]
            if rule is not None:
                entry.planner = SimplePlanner(entry, rule(entry))
        bound = tokens_per_second_bound(
            manifest | {"endpoints": alive}, model, capacity
        )
        simulation = Simulation(setting, world, bound)
        await simulation.arrive()
        nursery.cancel_scope.cancel()
    seconds = setting.seconds - WARM_SECONDS
    return Result(
        setting,
        bound,
        simulation.tokens / seconds,
        percentile(simulation.first_tokens, 0.95),
        percentile(simulation.gaps, 0.95),
        simulation.refused / max(1, simulation.requests),
    )


def simulate(setting: Setting) -> Result:
    """Run one simulation on a virtual clock."""
    logger.remove()
    return run_virtual(run, setting)


def table(results: list[Result]) -> list[str]:
    """Return the lines of a report."""
    lines = [
        f"{'deployment':18} {'load':>5} {'policy':18} {'of bound':>8} "
        f"{'first p95':>9} {'gap p95':>8} {'refused':>8}"
    ]
    for result in results:
        setting = result.setting
        load = f"{setting.load}%" + ("-" if setting.lost_domain else "")
        lines.append(
            f"{DEPLOYMENTS[setting.deployment].name:18} {load:>5} "
            f"{setting.policy:18} {result.in_time / result.bound:8.2f} "
            f"{result.first_p95 * 1000:6.0f} ms {result.gap_p95 * 1000:5.1f} ms "
            f"{result.refused:8.1%}"
        )
    return lines


def main() -> None:
    """Simulate all settings, print a table and write it under bench/out."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    loads = [int(load) for load in sys.argv[2].split(",")] if sys.argv[2:] else LOADS
    settings = [
        Setting(deployment, policy, load, seconds, lost)
        for deployment in range(len(DEPLOYMENTS))
        for load, lost in [*((load, False) for load in loads), (80, True)]
        for policy in POLICIES
    ]
    with ProcessPoolExecutor(max_workers=6) as pool:
        results = list(pool.map(simulate, settings))
    lines = table(results)
    print("\n".join(lines))
    OUT.mkdir(parents=True, exist_ok=True)
    Path(OUT, "routing.txt").write_text("\n".join(lines) + "\n")
    Path(OUT, "routing.json").write_text(json.dumps(results))


if __name__ == "__main__":
    main()
