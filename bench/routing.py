"""Routing benchmark: goodput and latency of the router and of simpler policies.

Run `python -m bench.routing [SECONDS [LOADS]]`, where LOADS is a list such as `80,100`.
7 entries (router processes) route independently, each on its own state, to the stand-in
engines of both example deployments, on a virtual clock. The load is given in percent
of the upper bound on throughput, which is a maximum flow. The goodput counts only the
tokens of answers in time: the first token arrives within 1.2 s, and the mean time
between tokens is at most 64 ms.
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
from bench.processes import OUTPUT_DIRECTORY
from bench.simulated import SimulatedDeployment, run_virtual
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

#: Service times of the engines, by kind of accelerator.
KIND_TIMES = {
    "a40": EngineTimes(0.0003, 0.020, 0.0015),
    "l4": EngineTimes(0.0005, 0.025, 0.0030),
    "t4": EngineTimes(0.0010, 0.040, 0.0050),
    "v100": EngineTimes(0.0004, 0.024, 0.0020),
    "w7900": EngineTimes(0.0003, 0.022, 0.0015),
}
#: Number of tokens in a prompt.
PROMPT_TOKENS = 60
#: Mean number of tokens in an answer.
MEAN_ANSWER_TOKENS = 40
#: Number of entries.
ENTRY_COUNT = 7
#: Seconds of virtual time before the first request that is counted.
WARM_UP_SECONDS = 5.0
#: Target for the time to the first token, in seconds.
FIRST_TOKEN_TARGET_SECONDS = 1.2
#: Target for the mean time between the tokens of an answer, in seconds.
TOKEN_GAP_TARGET_SECONDS = 0.064
#: Seconds that a request may wait for a slot; the rest of the target for the first
#: token is for the prefill of the prompt.
SLOT_TIMEOUT_SECONDS = 1.0
#: Target for the goodput over the upper bound on throughput, at 100% load.
BOUND_TARGET = 0.95
#: Loads in percent of the upper bound on throughput.
LOAD_PERCENTAGES = (50, 80, 95, 100, 150, 200)


class Setting(NamedTuple):
    """Parameters of a simulation.

    Attributes:
        deployment_index: Index of the example deployment in `DEPLOYMENTS`.
        policy: Name of the routing policy in `POLICIES`.
        load: Load in percent of the upper bound on throughput.
        seconds: Virtual time in seconds during which requests arrive.
        domain_down: Whether the first failure domain is down.
        seed: Seed of the arrivals and of all random choices.
    """

    deployment_index: int
    policy: str
    load: int
    seconds: float
    domain_down: bool = False
    seed: int = 1


class Result(NamedTuple):
    """Results of a simulation.

    Attributes:
        setting: Parameters of the simulation.
        bound: Upper bound on throughput, in tokens per second.
        goodput: Tokens per second of answers in time.
        first_token_p95: 95th percentile of the time to the first token, in seconds.
        gap_p95: 95th percentile of the mean time between tokens, in seconds.
        refused: Fraction of the requests that were refused or failed.
    """

    setting: Setting
    bound: float
    goodput: float
    first_token_p95: float
    gap_p95: float
    refused: float


class SimplePlanner:
    """Planner that selects each stage by one rule, without costs of links or waiting.

    Args:
        entry: Entry whose requests are planned.
        select: Function that selects one of the usable endpoints of a layer range.
    """

    def __init__(
        self, entry: Entry, select: Callable[[list[EndpointState]], EndpointState]
    ) -> None:
        #: Entry whose requests are planned.
        self.entry = entry
        #: Function that selects one of the usable endpoints of a layer range.
        self.select = select

    def plan(
        self,
        model: str,
        now: float,
        prefer: frozenset[str] = frozenset(),
        avoid: frozenset[str] = frozenset(),
        isolate: bool = False,
    ) -> Chain | None:
        """Return a chain, or None if a layer range has no usable endpoint.

        Has the signature of `Planner.plan`.

        Args:
            model: Name of the model.
            now: Monotonic time in seconds.
            prefer: Ignored.
            avoid: Names of the endpoints that must not be used.
            isolate: Ignored.
        """
        stages = []
        for (first, last), states in sorted(self.entry.fleet.ranges[model].items()):
            usable = [
                state
                for state in states
                if state.usable(now) and state.endpoint.name not in avoid
            ]
            if not usable:
                return None
            endpoint = self.select(usable).endpoint
            stages.append(Stage(endpoint.name, endpoint.address, first, last))
        return Chain(tuple(stages), 0.0, {})


def select_at_random(entry: Entry):
    """Return a function that selects an endpoint at random."""
    return entry.random.choice


def select_round_robin(entry: Entry):
    """Return a function that selects the endpoints in turn."""
    turns = itertools.count(entry.random.randrange(1000))
    return lambda states: states[next(turns) % len(states)]


def select_least_outstanding(entry: Entry):
    """Return a function that selects the endpoint with the fewest requests.

    Only the requests that this entry has in flight are counted.
    """

    def select(states):
        return min(states, key=lambda s: (s.in_flight, entry.random.random()))

    return select


def select_of_two(entry: Entry):
    """Return a function that selects the less occupied of two random endpoints.

    The occupancy comes from the load reports of the endpoints.
    """

    def select(states):
        now = entry.clock.monotonic()
        candidates = entry.random.sample(states, min(2, len(states)))
        return min(candidates, key=lambda state: state.occupancy(now))

    return select


#: Routing policies by name; None stands for the router's own planner.
POLICIES = {
    "router": None,
    "random": select_at_random,
    "round robin": select_round_robin,
    "least outstanding": select_least_outstanding,
    "two choices": select_of_two,
}


def endpoint_throughput(endpoint: dict) -> float:
    """Return the tokens per second of an endpoint whose slots are all in use.

    The time for the prefill of the prompts is included.
    """
    times = KIND_TIMES[endpoint["kind"]]
    slots = endpoint["concurrency"]
    token_seconds = times.token_seconds + (slots - 1) * times.contention_seconds
    seconds = PROMPT_TOKENS * times.prefill_seconds + MEAN_ANSWER_TOKENS * token_seconds
    return slots * MEAN_ANSWER_TOKENS / seconds


class Simulation:
    """One running simulation, and the results collected so far.

    Args:
        setting: Parameters of the simulation.
        deployment: The simulated deployment.
        bound: Upper bound on throughput, in tokens per second.
    """

    def __init__(
        self, setting: Setting, deployment: SimulatedDeployment, bound: float
    ) -> None:
        #: Parameters of the simulation.
        self.setting = setting
        #: The simulated deployment.
        self.deployment = deployment
        #: Upper bound on throughput, in tokens per second.
        self.bound = bound
        #: Random number generator for the times, lengths and entries of requests.
        self.random = random.Random(setting.seed)
        #: Number of tokens of answers in time.
        self.tokens = 0
        #: Time to the first token in seconds, for each complete answer.
        self.first_token_times: list[float] = []
        #: Mean time between tokens in seconds, for each complete answer.
        self.mean_gaps: list[float] = []
        #: Number of requests that are counted.
        self.requests = 0
        #: Number of counted requests that were refused or failed.
        self.refused = 0

    async def generate_load(self) -> None:
        """Start requests at exponentially distributed intervals until the time is over.

        Requests that still run some seconds after that are cancelled.
        """
        rate = self.bound * self.setting.load / 100 / MEAN_ANSWER_TOKENS
        end = self.setting.seconds
        async with trio.open_nursery() as nursery:
            with trio.move_on_at(end):
                for number in itertools.count():
                    await trio.sleep(self.random.expovariate(rate))
                    tokens = self.random.randint(
                        MEAN_ANSWER_TOKENS // 2, MEAN_ANSWER_TOKENS * 3 // 2
                    )
                    nursery.start_soon(self.run_request, number, tokens)
            await trio.sleep(FIRST_TOKEN_TARGET_SECONDS + 5)
            nursery.cancel_scope.cancel()

    async def run_request(self, number: int, tokens: int) -> None:
        """Run one request through admission and generation.

        Args:
            number: Number of the request, for the prompt.
            tokens: Number of tokens to generate.
        """
        entry = self.random.choice(self.deployment.entries)
        counted = WARM_UP_SECONDS <= trio.current_time() < self.setting.seconds
        times = [trio.current_time()]
        workspace = entry.configuration.manifest["workspaces"][0]["name"]
        share = WorkspaceShare(workspace, 1, 10_000, 10_000.0)
        deadline = times[0] + SLOT_TIMEOUT_SECONDS
        refused = await entry.admission.admit(share, 9, deadline)
        outcome = refused
        if refused is None:
            since = trio.current_time()
            prompt = " ".join(f"{number}-{n}" for n in range(PROMPT_TOKENS))
            try:
                outcome = await self.deployment.generate(
                    entry,
                    prompt,
                    tokens,
                    lambda position: times.append(trio.current_time()),
                    workspace=workspace,
                )
            finally:
                entry.admission.release(share, trio.current_time() - since)
        if counted:
            self.record(times, tokens, isinstance(outcome, Finished))

    def record(self, times: list[float], tokens: int, completed: bool) -> None:
        """Add one request to the results.

        Args:
            times: Time of the arrival of the request, and of each token delivered.
            tokens: Number of tokens requested.
            completed: Whether the answer is complete.
        """
        self.requests += 1
        if not completed:
            self.refused += 1
            return
        first = times[1] - times[0]
        gap = (times[-1] - times[1]) / max(1, tokens - 1)
        self.first_token_times.append(first)
        self.mean_gaps.append(gap)
        if first <= FIRST_TOKEN_TARGET_SECONDS and gap <= TOKEN_GAP_TARGET_SECONDS:
            self.tokens += tokens


async def run(setting: Setting) -> Result:
    """Run one simulation and return its results."""
    manifest = build_example(DEPLOYMENTS[setting.deployment_index])
    model = manifest["models"][0]["name"]
    async with trio.open_nursery() as nursery:
        deployment = SimulatedDeployment(nursery, manifest, setting.seed)
        down_domain = manifest["failure_domains"][0] if setting.domain_down else None
        live_endpoints = [
            e for e in manifest["endpoints"] if e["failure_domain"] != down_domain
        ]
        for endpoint in live_endpoints:
            times = KIND_TIMES[endpoint["kind"]]
            await deployment.fleet.start(
                endpoint["name"], endpoint["concurrency"], times
            )
        for _ in range(ENTRY_COUNT):
            entry = deployment.add_entry(ENTRY_COUNT)
            nursery.start_soon(poll_loads, entry)
            policy = POLICIES[setting.policy]
            if policy is not None:
                entry.planner = SimplePlanner(entry, policy(entry))
        bound = tokens_per_second_bound(
            manifest | {"endpoints": live_endpoints}, model, endpoint_throughput
        )
        simulation = Simulation(setting, deployment, bound)
        await simulation.generate_load()
        nursery.cancel_scope.cancel()
    seconds = setting.seconds - WARM_UP_SECONDS
    return Result(
        setting,
        bound,
        simulation.tokens / seconds,
        percentile(simulation.first_token_times, 0.95),
        percentile(simulation.mean_gaps, 0.95),
        simulation.refused / max(1, simulation.requests),
    )


def simulate(setting: Setting) -> Result:
    """Run one simulation on a virtual clock and return its results."""
    logger.remove()
    return run_virtual(run, setting)


def format_report(results: list[Result]) -> list[str]:
    """Return the lines of a table of results.

    A load with a trailing `-` marks a simulation with a failure domain down.
    """
    lines = [
        f"{'deployment':18} {'load':>5} {'policy':18} {'of bound':>8} "
        f"{'first p95':>9} {'gap p95':>8} {'refused':>8}"
    ]
    for result in results:
        setting = result.setting
        load = f"{setting.load}%" + ("-" if setting.domain_down else "")
        lines.append(
            f"{DEPLOYMENTS[setting.deployment_index].name:18} {load:>5} "
            f"{setting.policy:18} {result.goodput / result.bound:8.2f} "
            f"{result.first_token_p95 * 1000:6.0f} ms {result.gap_p95 * 1000:5.1f} ms "
            f"{result.refused:8.1%}"
        )
    return lines


def main() -> None:
    """Simulate all policies and loads, print a table and write it under bench/out."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    loads = (
        [int(load) for load in sys.argv[2].split(",")]
        if sys.argv[2:]
        else LOAD_PERCENTAGES
    )
    settings = [
        Setting(deployment_index, policy, load, seconds, down_domain)
        for deployment_index in range(len(DEPLOYMENTS))
        for load, down_domain in [*((load, False) for load in loads), (80, True)]
        for policy in POLICIES
    ]
    with ProcessPoolExecutor(max_workers=6) as pool:
        results = list(pool.map(simulate, settings))
    lines = format_report(results)
    print("\n".join(lines))
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    Path(OUTPUT_DIRECTORY, "routing.txt").write_text("\n".join(lines) + "\n")
    Path(OUTPUT_DIRECTORY, "routing.json").write_text(json.dumps(results))


if __name__ == "__main__":
    main()
