"""One run of a plan, from the start of the routers to the list of violations."""

from __future__ import annotations

import shutil
import signal
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import trio

from soak.answers import check_answers, find_recipients
from soak.callers import Caller, probe_dropped_keys
from soak.checks import (
    APPLY_SECONDS,
    MARGIN_SECONDS,
    RunRecord,
    check_interrupted,
    check_logs,
    check_run_counts,
)
from soak.environment import SoakEnvironment
from soak.routers import RunFolders

if TYPE_CHECKING:
    from soak.plan import Plan

__all__ = ["OUTPUT_FOLDER", "run_plan"]

#: Folder for the files of all runs.
OUTPUT_FOLDER = Path(__file__).parent / "out"
#: Folder that contains the package.
SOURCE_FOLDER = Path(__file__).parent.parent
#: Number of callers that send requests while faults happen.
CALLER_COUNT = 6
#: Maximum seconds until the routers are ready and engines hold all layers.
START_SECONDS = 20.0
#: Maximum seconds from the end of the last fault until the routers are ready and
#: engines hold all layers again.
RECOVERY_SECONDS = 10.0
#: Number of requests on each route that endpoints must all answer after the recovery.
FINAL_REQUESTS = 6
#: Seconds from the end of the traffic until no request runs at an endpoint.
IDLE_SECONDS = 1.0


async def run_plan(plan: Plan, name: str, source: Path = SOURCE_FOLDER) -> list[str]:
    """Run a plan and return descriptions of the violated guarantees.

    Args:
        plan: Parameters and faults of the run.
        name: Name of the folder for the run's files.
        source: Folder that contains the package to run.
    """
    output = OUTPUT_FOLDER / name
    shutil.rmtree(output, ignore_errors=True)
    output.mkdir(parents=True)
    (output / "plan.json").write_bytes(msgspec.json.encode(plan))
    record = RunRecord(output / "events.txt")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(interrupt_on_signal)
        environment = SoakEnvironment(nursery, plan, RunFolders(output, source), record)
        try:
            await run_traffic(environment, plan)
        finally:
            for router in environment.routers:
                router.destroy()
        nursery.cancel_scope.cancel()
    check_run_counts(record, environment.count_runs())
    check_interrupted(record, output)
    check_answers(record, find_recipients(environment.deployment), output)
    check_logs(record, output.glob("*.log"))
    record.log_event(f"{len(record.attempts)} requests")
    record.file.close()
    return record.violations


async def interrupt_on_signal() -> None:
    """End the run at SIGTERM or SIGINT, so that its routers are killed.

    Raises:
        KeyboardInterrupt: One of the signals has arrived.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            raise KeyboardInterrupt(signal.Signals(number).name)


async def run_traffic(environment: SoakEnvironment, plan: Plan) -> None:
    """Start the environment, inject the faults under traffic, and check recovery."""
    record = environment.record
    with trio.move_on_after(START_SECONDS) as limit:
        await environment.start()
    if limit.cancelled_caught:
        record.add_violation(f"not ready {START_SECONDS} s after the start")
        return
    record.log_event("traffic begins")
    async with trio.open_nursery() as traffic:
        for number in range(CALLER_COUNT):
            traffic.start_soon(Caller(environment, number, plan.seed).run)
        traffic.start_soon(probe_dropped_keys, environment, plan.seed)
        await inject_faults(environment, plan)
        record.log_event("the last fault has ended")
        with trio.move_on_after(RECOVERY_SECONDS) as limit:
            await environment.wait_until_ready()
        if limit.cancelled_caught:
            record.add_violation(
                f"not ready {RECOVERY_SECONDS} s after the end of the last fault"
            )
        await trio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
        await check_recovery(environment, plan)
        traffic.cancel_scope.cancel()
    await trio.sleep(IDLE_SECONDS)


async def inject_faults(environment: SoakEnvironment, plan: Plan) -> None:
    """Inject all faults of a plan at their times, and wait until they have ended."""
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in plan.faults:
            await trio.sleep_until(start + fault.start_seconds)
            nursery.start_soon(environment.inject, fault)


async def check_recovery(environment: SoakEnvironment, plan: Plan) -> None:
    """Check that endpoints answer requests on all routes after the faults."""
    caller = Caller(environment, CALLER_COUNT, plan.seed)
    for number in range(FINAL_REQUESTS):
        router = environment.routers[number % len(environment.routers)]
        for route in ("plans", "bookings", "schedules"):
            attempt = await caller.send_request(route, router)
            if attempt.status != attempt.expected_status or not attempt.complete:
                environment.record.add_violation(
                    f"{attempt.id} at {attempt.router} after the faults: "
                    f"{attempt.status}"
                )
