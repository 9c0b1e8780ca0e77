"""`pistachioreach-load`: sends requests at a rate and reports what came back."""

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


def percentile(values: list[float], share: float) -> float:
    """Return the nearest-rank percentile of some values; 0 for none.

    Args:
        values: The values.
        share: From 0 to 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def load_parser() -> configargparse.ArgParser:
    """Return the parser of `pistachioreach-load`."""
    parser = make_parser(
        "pistachioreach-load", "Sends requests at a rate and reports the answers."
    )
    add = parser.add_argument
    add(
        "--entries",
        type=parse_addresses,
        required=True,
        help="entries, comma-separated",
    )
    add("--workspace", required=True, help="workspace that sends")
    add("--credential", required=True, help="its credential")
    add("--model", default="", help="model to ask; empty for none")
    add("--service", default="", help="service and call, as bookings/confirm")
    add(
        "--rate",
        type=number_between(0.1, 10_000),
        default="10",
        help="requests a second",
    )
    add(
        "--seconds",
        type=number_between(0.1, 3600),
        default="10",
        help="length of the run",
    )
    add(
        "--tokens",
        type=integer_between(1, 100_000),
        default="64",
        help="tokens of an answer",
    )
    add(
        "--deadline-ms",
        type=integer_between(1, 600_000),
        default="30000",
        help="deadline",
    )
    add(
        "--repeat",
        type=number_between(0, 1),
        default="0.2",
        help="share of calls sent twice",
    )
    add(
        "--seed",
        type=integer_between(0, 2**32),
        default="1",
        help="seed of the arrivals",
    )
    return parser


class LoadRun:
    """One run of load.

    Args:
        parsed: The flags.
        caller: The caller to send as.
    """

    def __init__(self, parsed: argparse.Namespace, caller: Caller) -> None:
        #: The flags.
        self.parsed = parsed
        #: The caller to send as.
        self.caller = caller
        #: Source of the arrivals.
        self.random = random.Random(parsed.seed)
        #: Requests by how they ended.
        self.ends: Counter[str] = Counter()
        #: Seconds to the first token, of each answer.
        self.first_tokens: list[float] = []
        #: Seconds between tokens, of all answers.
        self.gaps: list[float] = []
        #: Seconds of each call.
        self.calls: list[float] = []
        #: Answers whose count or order was wrong.
        self.broken = 0

    async def run(self) -> None:
        """Send requests with exponential gaps until the time is over."""
        end = trio.current_time() + self.parsed.seconds
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                if self.parsed.model:
                    nursery.start_soon(self.generate, number)
                if self.parsed.service:
                    nursery.start_soon(self.call, number)
                number += 1
                await trio.sleep(self.random.expovariate(self.parsed.rate))

    async def generate(self, number: int) -> None:
        """Ask for one answer and check that it is whole."""
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
        self.note(answer)
        if len(times) > 1:
            self.first_tokens.append(times[1] - times[0])
            self.gaps += [b - a for a, b in zip(times[1:], times[2:], strict=False)]

    def note(self, answer: StreamAnswer) -> None:
        """Count how an answer ended."""
        if answer.problem is not None:
            self.ends[answer.problem["type"]] += 1
        elif answer.is_complete():
            self.ends["whole"] += 1
        else:
            self.ends["broken"] += 1
            self.broken += 1

    async def call(self, number: int) -> None:
        """Make one call, and some of them again through another entry."""
        service, _, name = self.parsed.service.partition("/")
        key = new_key(SystemClock().now())
        body = msgspec.json.encode({"number": number})
        sends = 2 if self.random.random() < self.parsed.repeat else 1
        bodies = set()
        for at in range(number, number + sends):
            since = trio.current_time()
            try:
                answer = await self.caller.call(
                    service, name, body, key, self.parsed.deadline_ms, at
                )
            except ConnectionFailed:
                self.ends["call without an answer"] += 1
                continue
            self.calls.append(trio.current_time() - since)
            self.ends[f"call {answer.status}"] += 1
            if answer.status == 200:
                bodies.add(answer.body)
        if len(bodies) > 1:
            self.ends["call with two outcomes"] += 1
            self.broken += 1

    def report(self) -> str:
        """Return a readable report."""
        lines = [f"{count:8} {end}" for end, count in sorted(self.ends.items())]
        rows = (
            ("first token", self.first_tokens),
            ("token gap", self.gaps),
            ("call", self.calls),
        )
        for label, values in rows:
            if values:
                shares = " ".join(
                    f"p{share * 100:g} {percentile(values, share) * 1000:.1f} ms"
                    for share in (0.5, 0.95, 0.99)
                )
                lines.append(f"{label}: {shares} of {len(values)}")
        return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the load.

    Args:
        arguments: Command line, or None for the process's own.

    Returns:
        The exit status; `EXIT_FAILED` when an answer was broken.
    """
    parser = load_parser()
    parsed = parser.parse_args(arguments)
    if not parsed.model and not parsed.service:
        parser.error("one of --model and --service is needed")
    return trio.run(run_load, parsed)


async def run_load(parsed: argparse.Namespace) -> int:
    """Run the load and print its report."""
    connections = Connections()
    entries = [str(address) for address in parsed.entries]
    caller = Caller(connections, entries, parsed.workspace, parsed.credential)
    run = LoadRun(parsed, caller)
    try:
        await run.run()
    finally:
        await connections.close()
    print(run.report())
    if run.broken:
        print(f"{run.broken} answers were broken", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    raise SystemExit(main())
