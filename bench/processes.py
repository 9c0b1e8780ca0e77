"""Processes of a benchmark: start, stop, and resource usage read from /proc."""

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

__all__ = [
    "OUTPUT_DIRECTORY",
    "cpu_seconds",
    "describe_machine",
    "resident_bytes",
    "running_module",
    "wait_until_answering",
]

#: Clock ticks per second; /proc/PID/stat gives CPU times in clock ticks.
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
#: Directory of the logs and reports, relative to the working directory.
OUTPUT_DIRECTORY = Path("bench/out")
#: Timeout in seconds for a process to start listening.
START_TIMEOUT_SECONDS = 20.0


def describe_machine() -> str:
    """Return the number of CPUs, the CPU model and the Python version."""
    model = "unknown processor"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.split(":")[1].strip()
            break
    return f"{os.cpu_count()} x {model}, Python {sys.version.split()[0]}"


@contextmanager
def running_module(
    arguments: Sequence[str], env: dict[str, str] | None = None
) -> Iterator[int]:
    """Run a Python module as a child process for the duration of the context.

    The standard error of the process is written to a file under bench/out. The process
    is killed at the end of the context.

    Args:
        arguments: Name of the module and the arguments for it.
        env: Environment variables added to those of this process.

    Yields:
        The process identifier.
    """
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    with open(OUTPUT_DIRECTORY / f"{arguments[0]}.{time.time_ns()}.log", "wb") as log:
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


def wait_until_answering(address: str, path: str = "/") -> None:
    """Wait until an HTTP server answers at an address.

    Args:
        address: Address of the server, `ip:port`.
        path: Path to request; any status counts as an answer.

    Raises:
        httpcore.NetworkError: The server did not answer in time.
    """
    timeout_at = time.monotonic() + START_TIMEOUT_SECONDS
    while True:
        try:
            httpcore.request("GET", f"http://{address}{path}")
        except httpcore.NetworkError:
            if time.monotonic() > timeout_at:
                raise
            time.sleep(0.05)
        else:
            return


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0
