"""Router process: how it ends after an unexpected error, and signals at its start."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from loguru import logger

from pistachioreach.bin import router as program
from pistachioreach.platform.node_file import NODE_FILE_VARIABLE
from pistachioreach.platform.standins.node import node_document
from pistachioreach.ports import free_ports
from pistachioreach.router import Router
from tests.bin.test_programs import read_until

ROOT = Path(__file__).parents[2]
FLAGS = ("--keys=a-key-of-the-tests",)


@pytest.fixture
def node_file(tmp_path, monkeypatch):
    """Path of the settings of a router whose store does not answer."""
    host = f"127.0.0.{2 + os.getpid() % 250}"
    addresses = [f"{host}:{port}" for port in free_ports(4)]
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node_document("entry-1", "anta", *addresses, grace=2)))
    monkeypatch.setenv(NODE_FILE_VARIABLE, str(path))
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    yield path
    signal.pthread_sigmask(signal.SIG_SETMASK, mask)


def run_main(capsys):
    """Run the program in this process; return its status and its log lines."""
    try:
        status = program.main(FLAGS)
    finally:
        logger.remove()
    return status, [json.loads(line) for line in capsys.readouterr().out.splitlines()]


async def serve_readiness(router):
    """Raise an error that nothing expects, while two requests are in progress."""
    router.drain.in_progress = 2
    raise RuntimeError("not expected")


def test_the_last_line_of_the_log_states_the_error_that_ends_a_router(
    node_file, monkeypatch, capsys
):
    # Guards against a router that ends without a word in its log.
    monkeypatch.setattr(Router, "serve_readiness", serve_readiness)
    status, lines = run_main(capsys)
    assert status == 1
    last = lines[-1]
    assert last["message"] == "entry ends because of an unexpected error"
    assert last["task"] == "serve_readiness"
    assert last["in_progress"] == 2
    assert "RuntimeError: not expected" in last["traceback"]


def test_an_error_before_the_tasks_of_a_router_is_logged(
    node_file, monkeypatch, capsys
):
    # Guards against a port in use that ends a router without a word in its log.
    def fail_to_bind(*args):
        raise OSError("address in use")

    monkeypatch.setattr("pistachioreach.router.bind", fail_to_bind)
    status, lines = run_main(capsys)
    assert status == 1
    assert lines[-1]["message"] == "entry ends because of an unexpected error"
    assert "address in use" in lines[-1]["traceback"]


def has_default_action(process, number):
    """Return whether a signal would end a process."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    fields = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
    handled = (int(fields[name], 16) for name in ("SigBlk", "SigIgn", "SigCgt"))
    return not any(mask >> (number - 1) & 1 for mask in handled)


def is_listening(address):
    host, _, port = address.rpartition(":")
    with socket.socket() as connection:
        return connection.connect_ex((host, int(port))) == 0


@pytest.mark.parametrize(
    ("number", "message"),
    [(signal.SIGHUP, b"reload requested"), (signal.SIGTERM, b"drain ends")],
)
def test_a_signal_does_not_end_a_router_that_starts(node_file, number, message):
    # Guards against a reload that ends a router which listens already.
    callers = json.loads(node_file.read_text())["listen"]["front"]
    router = subprocess.Popen(
        [sys.executable, "-m", "pistachioreach.bin.router", *FLAGS],
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )
    try:
        for _ in range(1000):
            listened = is_listening(callers)
            if not has_default_action(router, number):
                break
            assert not listened
            time.sleep(0.005)
        router.send_signal(number)
        read_until(router, message)
        if number == signal.SIGHUP:
            router.send_signal(signal.SIGTERM)
        router.communicate(timeout=30)
        assert router.returncode == 0
    finally:
        router.kill()
        router.wait()
