"""`pistachioreach-load`: load generator that sends requests and reports latencies."""

from __future__ import annotations

import random
import sys
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import trio

from pistachioreach.callers.client import Caller, Prompt
from pistachioreach.clock import SystemClock
from pistachioreach.dispatch.keys import new_key
from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from pistachioreach.settings import (
    EXIT_FAILED,
    EXIT_OK,
    integer_between,
    make_parser,
    number_between,
    parse_addresses,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

    import configargparse

    from pistachioreach.callers.client import StreamAnswer

__all__ = ["LoadRun", "main", "percentile"]


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile: the value at index `int(fraction * n)` of n sorted values.

    Args:
        values: Values in any order; without values the result is 0.
        fraction: Percentile as a fraction from 0 to 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def load_parser() -> configargparse.ArgParser:
    """Return the command-line parser of `pistachioreach-load`."""
    parser = make_parser(
        "pistachioreach-load",
        "Sends requests at a given rate; reports their outcomes and latencies.",
    )
    add = parser.add_argument
    add(
        "--entries",
        type=parse_addresses,
        required=True,
        help="addresses of the entries, separated by commas",
    )
    add("--workspace", required=True, help="workspace that sends the requests")
    add("--credential", required=True, help="credential of the workspace")
    add("--model", default="", help="model that generates answers; empty for none")
    add(
        "--service",
        default="",
        help="plain service and call, such as bookings/confirm; empty to make no calls",
    )
    add(
        "--rate",
        type=number_between(0.1, 10_000),
        default="10",
        help="mean rate per second, for generation requests and for calls each",
    )
    add(
        "--seconds",
        type=number_between(0.1, 3600),
        default="10",
        help="duration of the run in seconds",
    )
    add(
        "--tokens",
        type=integer_between(1, 100_000),
        default="64",
        help="length of each answer in tokens",
    )
    add(
        "--deadline-ms",
        type=integer_between(1, 600_000),
        default="30000",
        help="deadline of each request in milliseconds",
    )
    add(
        "--repeat",
        type=number_between(0, 1),
        default="0.2",
        help="fraction of the calls that are sent twice",
    )
    add(
        "--seed",
        type=integer_between(0, 2**32),
        default="1",
        help="seed of the random arrival times and repetitions; part of each prompt",
    )
    return parser


class LoadRun:
    """One run of the load generator, and its measurements.

    Args:
        parsed: Parsed command-line flags.
        caller: Client that sends the requests.
    """

    def __init__(self, parsed: argparse.Namespace, caller: Caller) -> None:
        #: Parsed command-line flags.
        self.parsed = parsed
        #: Client that sends the requests.
        self.caller = caller
        #: Random number generator of the arrival times and repetitions.
        self.random = random.Random(parsed.seed)
        #: Number of requests by outcome.
        self.outcomes: Counter[str] = Counter()
        #: Time to the first token of each answer, in seconds.
        self.first_token_seconds: list[float] = []
        #: Times between consecutive tokens of all answers, in seconds.
        self.gap_seconds: list[float] = []
        #: Duration of each call that got a response, in seconds.
        self.call_seconds: list[float] = []
        #: Number of incomplete answers, and of calls whose repetition returned
        #: another body.
        self.broken_count = 0

    async def run(self) -> None:
        """Send requests as a Poisson process until the duration of the run is over."""
        end = trio.current_time() + self.parsed.seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                if self.parsed.model:
                    nursery.start_soon(self.send_generation, number)
                if self.parsed.service:
                    nursery.start_soon(self.send_call, number)
                number += 1
                await trio.sleep(self.random.expovariate(self.parsed.rate))

    async def send_generation(self, number: int) -> None:
        """Request one answer, measure its token times and check that it is complete.

        Args:
            number: Number of the request in this run.
        """
        times = [trio.current_time()]
        prompt = Prompt(
            self.parsed.model,
            f"request {number} of seed {self.parsed.seed}",
            self.parsed.tokens,
            self.parsed.deadline_ms,
        )
        answer = await self.caller.generate(
            prompt, lambda position: times.append(trio.current_time())
        )
        self.count_outcome(answer)
        if len(times) > 1:
            self.first_token_seconds.append(times[1] - times[0])
            self.gap_seconds += [
                later - earlier
                for earlier, later in zip(times[1:], times[2:], strict=False)
            ]

    def count_outcome(self, answer: StreamAnswer) -> None:
        """Count the outcome of an answer."""
        if answer.problem is not None:
            self.outcomes[answer.problem["type"]] += 1
        elif answer.is_complete():
            self.outcomes["whole"] += 1
        else:
            self.outcomes["broken"] += 1
            self.broken_count += 1

    async def send_call(self, number: int) -> None:
        """Make one call and, at random, repeat it through the next entry.

        The repetition has the same idempotency key, so both must return the same body.

        Args:
            number: Number of the request in this run.
        """
        service, _, name = self.parsed.service.partition("/")
        key = new_key(SystemClock().now())
        body = msgspec.json.encode({"number": number})
        send_count = 2 if self.random.random() < self.parsed.repeat else 1
        bodies = set()
        for entry_index in range(number, number + send_count):
            started_at = trio.current_time()
            try:
                answer = await self.caller.call(
                    service, name, body, key, self.parsed.deadline_ms, entry_index
                )
            except ConnectionFailed:
                self.outcomes["call without an answer"] += 1
                continue
            self.call_seconds.append(trio.current_time() - started_at)
            self.outcomes[f"call {answer.status}"] += 1
            if answer.status == 200:
                bodies.add(answer.body)
        if len(bodies) > 1:
            self.outcomes["call with two outcomes"] += 1
            self.broken_count += 1

    def report(self) -> str:
        """Return request counts by outcome, and latency percentiles, as text."""
        lines = [
            f"{count:8} {outcome}" for outcome, count in sorted(self.outcomes.items())
        ]
        rows = (
            ("first token", self.first_token_seconds),
            ("token gap", self.gap_seconds),
            ("call", self.call_seconds),
        )
        for label, values in rows:
            if values:
                percentiles = " ".join(
                    f"p{fraction * 100:g} {percentile(values, fraction) * 1000:.1f} ms"
                    for fraction in (0.5, 0.95, 0.99)
                )
                lines.append(f"{label}: {percentiles} of {len(values)}")
        return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the load generator.

    Args:
        arguments: Command-line arguments, or None for those of the process.

    Returns:
        The exit status of the process; `EXIT_FAILED` if an answer was broken.
    """
    parser = load_parser()
    parsed = parser.parse_args(arguments)
    if not parsed.model and not parsed.service:
        parser.error("one of --model and --service is needed")
    return trio.run(run_load, parsed)


async def run_load(parsed: argparse.Namespace) -> int:
    """Send the requests and print the report; return the exit status."""
    connections = Connections()
    addresses = [str(address) for address in parsed.entries]
    caller = Caller(connections, addresses, parsed.workspace, parsed.credential)
    run = LoadRun(parsed, caller)
    try:
        await run.run()
    finally:
        await connections.close()
    print(run.report())
    if run.broken_count:
        print(f"{run.broken_count} answers were broken", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    raise SystemExit(main())
