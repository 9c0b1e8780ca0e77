"""`python -m soak`: soak test of one seed, of many seeds, or of a mutation."""

from __future__ import annotations

import argparse
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import trio

from soak.mutations import MUTATIONS, mutated
from soak.plan import ADDED_FAULT_SECONDS, REGRESSION_SEEDS, draw_plan
from soak.run import OUTPUT_FOLDER, SOURCE_FOLDER, run_plan

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Length in seconds of the period of a run in which faults start.
FAULT_SECONDS = 12.0
#: Number of routers of a run.
ROUTER_COUNT = 4


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="seed of a single run")
    parser.add_argument("--seeds", help="seeds of several runs, FIRST-LAST")
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that have failed before",
    )
    parser.add_argument("--jobs", type=int, default=2, help="number of concurrent runs")
    parser.add_argument("--seconds", type=float, default=FAULT_SECONDS)
    parser.add_argument("--routers", type=int, default=ROUTER_COUNT)
    parser.add_argument(
        "--without",
        choices=sorted(ADDED_FAULT_SECONDS),
        help="leave out a group of faults",
    )
    parser.add_argument("--mutation", choices=sorted(MUTATIONS))
    return parser.parse_args()


def run_seed(seed: int, arguments: argparse.Namespace) -> list[str]:
    """Run one seed in this process; return descriptions of violated guarantees."""
    plan = draw_plan(seed, arguments.seconds, arguments.routers, arguments.without)
    name = f"seed-{seed}"
    if not arguments.mutation:
        return trio.run(run_plan, plan, name, SOURCE_FOLDER)
    name += "-" + arguments.mutation.replace(" ", "-")
    with mutated(arguments.mutation) as source:
        return trio.run(run_plan, plan, name, source)


def command_line(seed: int, arguments: argparse.Namespace) -> list[str]:
    """Return the command line that runs one seed with the given arguments."""
    options = ["--seconds", str(arguments.seconds), "--routers", str(arguments.routers)]
    for name in ("mutation", "without"):
        if value := getattr(arguments, name):
            options += [f"--{name}", value]
    return ["python", "-m", "soak", "--seed", str(seed), *options]


def run_in_subprocess(seed: int, arguments: argparse.Namespace, processes: set) -> bool:
    """Run one seed in a process of its own, and print its output.

    Only the last 3 lines of standard error and the first 400 characters of each
    line are printed.

    Args:
        seed: Seed of the run.
        arguments: Parsed command line.
        processes: Set of the running processes; contains this one while it runs.

    Returns:
        Whether the run found no violation.
    """
    command = [sys.executable, *command_line(seed, arguments)[1:]]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdout=pipe, stderr=pipe, text=True) as process:
        processes.add(process)
        out, errors = process.communicate()
        processes.discard(process)
    lines = out.splitlines() + errors.splitlines()[-3:]
    print("\n".join(line[:400] for line in lines), flush=True)
    return process.returncode == 0


def run_seeds(seeds: Sequence[int], arguments: argparse.Namespace) -> int:
    """Run several seeds, each in a process of its own; return the exit status."""
    processes: set[subprocess.Popen] = set()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with ThreadPoolExecutor(arguments.jobs) as pool:
        try:
            futures = [
                pool.submit(run_in_subprocess, seed, arguments, processes)
                for seed in seeds
            ]
            results = [future.result() for future in futures]
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            for process in list(processes):
                process.terminate()
            raise
    failed = [seed for seed, passed in zip(seeds, results, strict=True) if not passed]
    print(f"{len(seeds)} seeds, broken: {failed or 'none'}")
    return bool(failed)


def main() -> int:
    """Run the soak test as the command line says; return 1 at a violation, or 0."""
    arguments = parse_arguments()
    if arguments.regressions:
        return run_seeds(sorted(REGRESSION_SEEDS), arguments)
    if arguments.seeds:
        first, _, last = arguments.seeds.partition("-")
        return run_seeds(range(int(first), int(last or first) + 1), arguments)
    violations = run_seed(arguments.seed, arguments)
    for line in violations[:10]:
        print(f"  broken: {line}")
    verdict = f"{len(violations)} broken" if violations else "all kept"
    print(f"seed {arguments.seed}: {verdict}; files in {OUTPUT_FOLDER.name}/")
    if violations:
        print("  repeat with: " + " ".join(command_line(arguments.seed, arguments)))
    return bool(violations)


if __name__ == "__main__":
    sys.exit(main())
