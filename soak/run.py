"""One run of a plan, from the start of the routers to the verdict."""

from __future__ import annotations

import shutil
import signal
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import trio

from soak.callers import Caller, probe_keys
from soak.promises import (
    APPLY_SECONDS,
    MARGIN,
    Record,
    judge_cuts,
    judge_logs,
    judge_runs,
)
from soak.routers import Folders
from soak.world import SoakWorld

if TYPE_CHECKING:
    from soak.plan import Plan

__all__ = ["OUT", "run_plan"]

#: Folder of all runs' files.
OUT = Path(__file__).parent / "out"
#: Folder that holds the package.
SOURCE = Path(__file__).parent.parent
#: Callers of a run.
CALLERS = 6
#: Seconds in which the routers start and place all layers.
START_SECONDS = 20.0
#: Seconds after the last fault in which everything is served again.
RECOVERY_SECONDS = 10.0
#: Requests of each kind that are all answered after that.
LAST_REQUESTS = 6
#: Seconds in which work at endpoints ends once nobody sends any more.
END_SECONDS = 1.0


async def run_plan(plan: Plan, name: str, source: Path = SOURCE) -> list[str]:
    """Run a plan and return the promises that were broken.

    Args:
        plan: The plan.
        name: Name of the folder for its files.
        source: Folder that holds the package to run.
    """
    out = OUT / name
    shutil.rmtree(out, ignore_errors=True)
    out.mkdir(parents=True)
    (out / "plan.json").write_bytes(msgspec.json.encode(plan))
    record = Record(out / "events.txt")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(interrupt_on_signal)
        world = SoakWorld(nursery, plan, Folders(out, source), record)
        try:
            await play(world, plan)
        finally:
            for router in world.routers:
                router.destroy()
        nursery.cancel_scope.cancel()
    judge_runs(record, world.runs())
    judge_cuts(record, out)
    judge_logs(record, out.glob("*.log"))
    record.note(f"{len(record.attempts)} requests")
    record.file.close()
    return record.violations


async def interrupt_on_signal() -> None:
    """End the run at a signal; its routers are killed on the way out.

    Raises:
        KeyboardInterrupt: A signal has come.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            raise KeyboardInterrupt(signal.Signals(number).name)


async def play(world: SoakWorld, plan: Plan) -> None:
    """Start the deployment, press and disturb it, and see whether it recovers."""
    record = world.record
    with trio.move_on_after(START_SECONDS) as limit:
        await world.start()
    if limit.cancelled_caught:
        record.violation(f"not ready {START_SECONDS} s after the start")
        return
    record.note("traffic begins")
    async with trio.open_nursery() as traffic:
        for number in range(CALLERS):
            traffic.start_soon(Caller(world, number, plan.seed).run)
        traffic.start_soon(probe_keys, world, plan.seed)
        await inject_all(world, plan)
        record.note("the last fault has ended")
        with trio.move_on_after(RECOVERY_SECONDS) as limit:
            await world.whole()
        if limit.cancelled_caught:
            record.violation(f"not whole {RECOVERY_SECONDS} s after the last fault")
        await trio.sleep(APPLY_SECONDS + MARGIN)
        await check_service(world, plan)
        traffic.cancel_scope.cancel()
    await trio.sleep(END_SECONDS)


async def inject_all(world: SoakWorld, plan: Plan) -> None:
    """Let all faults of a plan happen."""
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in plan.faults:
            await trio.sleep_until(start + fault.at)
            nursery.start_soon(world.inject, fault)


async def check_service(world: SoakWorld, plan: Plan) -> None:
    """Check that after the faults every request is answered."""
    caller = Caller(world, CALLERS, plan.seed)
    for number in range(LAST_REQUESTS):
        router = world.routers[number % len(world.routers)]
        for path in ("plans", "bookings", "schedules"):
            attempt = await caller.request(path, router)
            if attempt.status != 200 or not attempt.whole:
                world.record.violation(
                    f"{attempt.id} at {attempt.router} after the faults: "
                    f"{attempt.status}"
                )
