"""Processes of a measurement: started, watched through /proc, and ended."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import httpcore

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ["OUT", "cpu_seconds", "machine", "resident_bytes", "running", "wait_answer"]

#: Clock ticks a second, the unit of /proc/PID/stat.
TICKS = os.sysconf("SC_CLK_TCK")
#: Where logs and reports land.
OUT = Path("bench/out")
#: Seconds that a process has to start listening.
START_SECONDS = 20.0


def machine() -> str:
    """Return what a measurement ran on."""
    model = "unknown processor"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.split(":")[1].strip()
            break
    return f"{os.cpu_count()} x {model}, Python {sys.version.split()[0]}"


@contextmanager
def running(
    arguments: Sequence[str], env: dict[str, str] | None = None
) -> Iterator[int]:
    """Run a Python module as a process of its own; give its identifier.

    What it logs lands under bench/out.
    """
    OUT.mkdir(parents=True, exist_ok=True)
    with open(OUT / f"{arguments[0]}.{time.time_ns()}.log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env=os.environ | (env or {}),
            stderr=log,
        )
        try:
            yield process.pid
        finally:
            process.kill()
            process.wait()


def wait_answer(address: str, path: str = "/") -> None:
    """Wait until an HTTP server answers at an address."""
    end = time.monotonic() + START_SECONDS
    while True:
        try:
            httpcore.request("GET", f"http://{address}{path}")
        except httpcore.NetworkError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)
        else:
            return


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0
