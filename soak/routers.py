"""Router processes, and the signals that a run sends to them."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from pistachioreach.platform.node_file import NODE_FILE_VARIABLE
from pistachioreach.platform.standins.deployment import KEY
from pistachioreach.platform.standins.node import node_document
from pistachioreach.ports import free_ports
from soak.launch import REFUSALS_VARIABLE, SOURCE_VARIABLE
from soak.proxy import LinkProxy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak.checks import RunRecord

__all__ = ["GRACE_SECONDS", "RouterProcess"]

#: Folder that contains this package.
SOURCE_FOLDER = Path(__file__).parent.parent
#: Seconds from SIGTERM to SIGKILL.
GRACE_SECONDS = 8.0
#: Seconds beyond the grace period within which a process must have exited.
EXIT_MARGIN_SECONDS = 0.5
#: Seconds after SIGTERM at which a router that was ready gets it again.
REPEATED_SIGNAL_SECONDS = 0.6


class RunFolders(NamedTuple):
    """Folders that a run uses.

    Attributes:
        output: Folder for the node files and logs of the run.
        source: Folder that contains the package to run.
    """

    output: Path
    source: Path


class RouterProcess:
    """One router: its process, and the link through which callers reach it.

    Args:
        number: Number of the router.
        store: `ip:port` at which the router reaches the store.
        folders: Folders that the run uses.
        record: Record of the run.
    """

    def __init__(
        self, number: int, store: str, folders: RunFolders, record: RunRecord
    ) -> None:
        #: Name of the router's VM.
        self.name = f"entry-{number}"
        # Each router serves metrics on the same port number, also in other runs, so
        # that each router of each run needs a loopback address of its own.
        pid = os.getpid()
        host = f"127.{1 + pid % 250}.{pid // 250 % 250}.{number + 1}"
        #: Port on which the router responds to readiness checks.
        callers_port, self.ready_port, peers_port = free_ports(3)
        #: Loopback address of the router.
        self.host = host
        #: Link through which callers reach the router.
        self.link = LinkProxy(f"{host}:{callers_port}", reports_refusal=True)
        #: Folders that the run uses.
        self.folders = folders
        #: File with the addresses at which the router's connections are refused.
        self.refusals_file = folders.output / f"{self.name}.refused"
        #: Number of faults that refuse connections of the router, by address.
        self.refusals: Counter[str] = Counter()
        #: Record of the run.
        self.record = record
        #: Process of the router, or None before the first start.
        self.process: trio.Process | None = None
        #: Whether an exit of the process is expected.
        self.exit_expected = False
        #: Number of starts of the process, and of begins and ends of its pauses.
        self.interruptions = 0
        #: Whether a signal is being handled; further signals are then skipped.
        self.busy = False
        #: Whether the router has not been seen ready since its last start or exit.
        self.down = False
        #: Node file of the router's VM, which holds the settings.
        self.node_file = folders.output / f"{self.name}.json"
        document = node_document(
            self.name,
            ("urubamba", "anta")[number % 2],
            f"{host}:{callers_port}",
            f"{host}:{self.ready_port}",
            f"{host}:{peers_port}",
            store,
            GRACE_SECONDS,
        )
        self.node_file.write_bytes(msgspec.json.encode(document))

    async def start(self) -> None:
        """Start the process, with its output appended to the router's log file."""
        log = (self.folders.output / f"{self.name}.log").open("ab")
        environment = os.environ | {
            NODE_FILE_VARIABLE: str(self.node_file),
            "PISTACHIOREACH_KEYS": KEY,
            "PYTHONPATH": f"{self.folders.source}{os.pathsep}{SOURCE_FOLDER}",
            SOURCE_VARIABLE: self.host,
            REFUSALS_VARIABLE: str(self.refusals_file),
        }
        with log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "soak.launch"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
                cwd=self.folders.source,
            )
        self.exit_expected = False
        self.interruptions += 1
        self.mark_down("started")

    def refuse_connections(self, addresses: Iterable[str]) -> None:
        """Refuse new connections of the router to some addresses."""
        self.refusals.update(addresses)
        self.write_refusals()

    def accept_connections(self, addresses: Iterable[str]) -> None:
        """End one `refuse_connections` with the same addresses."""
        self.refusals.subtract(addresses)
        self.write_refusals()

    def write_refusals(self) -> None:
        """Write the refused addresses for the router to read."""
        lines = [address for address, count in self.refusals.items() if count > 0]
        # The router must never read a part of the file.
        draft = self.refusals_file.with_suffix(".draft")
        draft.write_text("\n".join(lines))
        draft.replace(self.refusals_file)

    def mark_down(self, event: str) -> None:
        """Record an event after which the router is down until it is ready again."""
        self.record.add_disturbance(self.name, event)
        if not self.down:
            self.down = True
            self.record.begin_disturbance(self.name, "down")

    def mark_ready(self) -> None:
        """Record that a health check has found the router ready."""
        if self.down and not self.exit_expected:
            self.down = False
            self.record.end_disturbance(self.name, "down")

    async def watch_exits(self) -> None:
        """Report unexpected exits and restart the process after them, forever."""
        while True:
            process = self.process
            if process is not None:
                await process.wait()
                if process is self.process and not self.exit_expected:
                    self.record.add_violation(
                        f"{self.name} exited unexpectedly with {process.returncode}"
                    )
                    self.mark_down("exited unexpectedly")
                    await self.start()
            await trio.sleep(0.05)

    async def kill(self, restart_seconds: float) -> None:
        """Kill the process, and restart it.

        Args:
            restart_seconds: Seconds from the exit to the restart.
        """
        if self.busy:
            return
        self.busy, self.exit_expected = True, True
        self.mark_down("killed")
        self.process.kill()
        await self.process.wait()
        await trio.sleep(restart_seconds)
        await self.start()
        self.busy = False

    async def pause(self, pause_seconds: float) -> None:
        """Pause the process with SIGSTOP for some seconds."""
        if self.busy:
            return
        self.busy = True
        self.record.begin_disturbance(self.name, "stopped")
        self.interruptions += 1
        self.process.send_signal(signal.SIGSTOP)
        await trio.sleep(pause_seconds)
        self.process.send_signal(signal.SIGCONT)
        self.interruptions += 1
        self.record.end_disturbance(self.name, "stopped")
        self.busy = False

    async def terminate(self, restart_seconds: float) -> None:
        """Shut the process down with SIGTERM, check that it exits, and restart it.

        A process that was ready gets the signal twice, as when a second rolling restart
        begins before the first one has ended.

        Args:
            restart_seconds: Seconds from the exit to the restart.
        """
        if self.busy:
            return
        self.busy, self.exit_expected = True, True
        self.record.log_event(f"{self.name} gets SIGTERM")
        was_ready = not self.down
        self.process.terminate()
        if was_ready:
            await trio.sleep(REPEATED_SIGNAL_SECONDS)
            self.process.terminate()
        with trio.move_on_after(GRACE_SECONDS + EXIT_MARGIN_SECONDS) as scope:
            await self.process.wait()
        if scope.cancelled_caught:
            self.record.add_violation(
                f"{self.name} still runs {GRACE_SECONDS} s after SIGTERM"
            )
            self.process.kill()
            await self.process.wait()
        elif self.process.returncode and (
            was_ready or self.process.returncode != -signal.SIGTERM
        ):
            # Before the program has begun, the signal has its default action.
            self.record.add_violation(
                f"{self.name} ended its shutdown with {self.process.returncode}"
            )
        self.mark_down("ended")
        await trio.sleep(restart_seconds)
        await self.start()
        self.busy = False

    def destroy(self) -> None:
        """Kill the process without a restart."""
        self.exit_expected = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
