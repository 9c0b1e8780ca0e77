"""Routers as processes of their own, and the signals that they get."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from pistachioreach.platform.node_file import NODE_FILE_VARIABLE
from pistachioreach.platform.standins.deployment import KEY
from pistachioreach.platform.standins.node import node_document
from pistachioreach.server import free_ports
from soak.proxy import Link

if TYPE_CHECKING:
    from pathlib import Path

    from soak.promises import Record

__all__ = ["GRACE", "RouterProcess"]

#: Seconds from SIGTERM to SIGKILL.
GRACE = 8.0
#: Seconds that the exit of a process may take beyond the grace time.
EXIT_MARGIN = 0.5


class Folders(NamedTuple):
    """Where a run's files are.

    Attributes:
        out: Settings and logs.
        source: Folder that holds the package to run.
    """

    out: Path
    source: Path


class RouterProcess:
    """One router, its process and the link by which callers reach it.

    Args:
        number: Number of the router.
        store: `ip:port` at which it reaches the store.
        folders: Where the run's files are.
        record: What happens in the run.
    """

    def __init__(
        self, number: int, store: str, folders: Folders, record: Record
    ) -> None:
        #: Name of its VM.
        self.name = f"entry-{number}"
        # The metrics have the same port on each address, also of other runs.
        run = os.getpid()
        host = f"127.{1 + run % 250}.{run // 250 % 250}.{number + 1}"
        front, self.ready_port, peers = free_ports(3)
        #: Address of this router.
        self.host = host
        #: Link by which callers reach it.
        self.link = Link(f"{host}:{front}", tells=True)
        #: Where the run's files are.
        self.folders = folders
        #: What happens in the run.
        self.record = record
        #: The process, or None while there is none.
        self.process: trio.Process | None = None
        #: Whether its next exit is meant.
        self.ending = False
        #: Whether a signal is being dealt with already.
        self.busy = False
        #: Whether it is not known to be ready since its last start.
        self.down = False
        self.settings = folders.out / f"{self.name}.json"
        document = node_document(
            self.name,
            ("urubamba", "anta")[number % 2],
            f"{host}:{front}",
            f"{host}:{self.ready_port}",
            f"{host}:{peers}",
            store,
            GRACE,
        )
        self.settings.write_bytes(msgspec.json.encode(document))

    async def start(self) -> None:
        """Start the process."""
        log = (self.folders.out / f"{self.name}.log").open("ab")
        environment = os.environ | {
            NODE_FILE_VARIABLE: str(self.settings),
            "PISTACHIOREACH_KEYS": KEY,
            "PYTHONPATH": str(self.folders.source),
        }
        with log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "pistachioreach.bin.router"],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
                cwd=self.folders.source,
            )
        self.ending = False
        self.note_down("started")

    def note_down(self, how: str) -> None:
        """Note that it cannot be reached until it is ready again."""
        self.record.disturb(self.name, how)
        if not self.down:
            self.down = True
            self.record.begin(self.name, "down")

    def note_ready(self) -> None:
        """Note that it has answered that it is ready."""
        if self.down and not self.ending:
            self.down = False
            self.record.end(self.name, "down")

    async def watch(self) -> None:
        """Notice exits that nobody asked for, for ever."""
        while True:
            process = self.process
            if process is not None:
                await process.wait()
                if process is self.process and not self.ending:
                    self.record.violation(
                        f"{self.name} ended by itself with {process.returncode}"
                    )
                    self.note_down("ended by itself")
                    await self.start()
            await trio.sleep(0.05)

    async def kill(self, seconds: float) -> None:
        """Kill the process and start it again after some seconds."""
        if self.busy:
            return
        self.busy, self.ending = True, True
        self.note_down("killed")
        self.process.kill()
        await self.process.wait()
        await trio.sleep(seconds)
        await self.start()
        self.busy = False

    async def stop(self, seconds: float) -> None:
        """Stop the process for some seconds."""
        if self.busy:
            return
        self.busy = True
        self.record.begin(self.name, "stopped")
        self.process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)
        self.record.end(self.name, "stopped")
        self.busy = False

    async def terminate(self, seconds: float) -> None:
        """Let the process shut down and start it again after some seconds."""
        if self.busy:
            return
        self.busy, self.ending = True, True
        self.record.note(f"{self.name} gets SIGTERM")
        self.process.terminate()
        with trio.move_on_after(GRACE + EXIT_MARGIN) as scope:
            await self.process.wait()
        if scope.cancelled_caught:
            self.record.violation(f"{self.name} still runs {GRACE} s after SIGTERM")
            self.process.kill()
            await self.process.wait()
        self.note_down("ended")
        await trio.sleep(seconds)
        await self.start()
        self.busy = False

    def destroy(self) -> None:
        """Kill the process for good."""
        self.ending = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
