"""`python -m soak`: runs of one seed, of many, or of a planted fault."""

from __future__ import annotations

import argparse
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import trio

from soak.mutations import MUTATIONS, mutated
from soak.plan import REGRESSIONS, draw_plan
from soak.run import OUT, SOURCE, run_plan

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Seconds of faults of a run.
FAULT_SECONDS = 12.0
#: Routers of a run.
ROUTERS = 4


def parse() -> argparse.Namespace:
    """Return the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="seed of the one run")
    parser.add_argument("--seeds", help="seeds of many runs, FIRST-LAST")
    parser.add_argument(
        "--regressions", action="store_true", help="run the seeds that have failed"
    )
    parser.add_argument("--jobs", type=int, default=2, help="runs at a time")
    parser.add_argument("--seconds", type=float, default=FAULT_SECONDS)
    parser.add_argument("--routers", type=int, default=ROUTERS)
    parser.add_argument("--mutation", choices=sorted(MUTATIONS))
    return parser.parse_args()


def run_seed(seed: int, arguments: argparse.Namespace) -> list[str]:
    """Run one seed in this process and return the broken promises."""
    plan = draw_plan(seed, arguments.seconds, arguments.routers)
    name = f"seed-{seed}"
    if not arguments.mutation:
        return trio.run(run_plan, plan, name, SOURCE)
    name += "-" + arguments.mutation.replace(" ", "-")
    with mutated(arguments.mutation) as source:
        return trio.run(run_plan, plan, name, source)


def command(seed: int, arguments: argparse.Namespace) -> list[str]:
    """Return the command that repeats a run."""
    options = ["--seconds", str(arguments.seconds), "--routers", str(arguments.routers)]
    if arguments.mutation:
        options += ["--mutation", arguments.mutation]
    return ["python", "-m", "soak", "--seed", str(seed), *options]


def run_apart(seed: int, arguments: argparse.Namespace, runs: set) -> bool:
    """Run one seed in a process of its own; return whether all was kept."""
    words = [sys.executable, *command(seed, arguments)[1:]]
    pipe = subprocess.PIPE
    with subprocess.Popen(words, stdout=pipe, stderr=pipe, text=True) as run:
        runs.add(run)
        out, errors = run.communicate()
        runs.discard(run)
    lines = out.splitlines() + errors.splitlines()[-3:]
    print("\n".join(line[:400] for line in lines), flush=True)
    return run.returncode == 0


def run_many(seeds: Sequence[int], arguments: argparse.Namespace) -> int:
    """Run many seeds; return the exit status."""
    runs: set[subprocess.Popen] = set()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        try:
            started = [pool.submit(run_apart, seed, arguments, runs) for seed in seeds]
            kept = [run.result() for run in started]
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            for run in list(runs):
                run.terminate()
            raise
    failed = [seed for seed, well in zip(seeds, kept, strict=True) if not well]
    print(f"{len(seeds)} seeds, broken: {failed or 'none'}")
    return bool(failed)


def main() -> int:
    """Run what the command line says; the exit status is 1 if a promise broke."""
    arguments = parse()
    if arguments.regressions:
        return run_many(sorted(REGRESSIONS), arguments)
    if arguments.seeds:
        first, _, last = arguments.seeds.partition("-")
        return run_many(range(int(first), int(last or first) + 1), arguments)
    violations = run_seed(arguments.seed, arguments)
    for line in violations[:10]:
        print(f"  broken: {line}")
    verdict = f"{len(violations)} broken" if violations else "all kept"
    print(f"seed {arguments.seed}: {verdict}; files in {OUT.name}/")
    if violations:
        print("  again: " + " ".join(command(arguments.seed, arguments)))
    return bool(violations)


if __name__ == "__main__":
    sys.exit(main())
