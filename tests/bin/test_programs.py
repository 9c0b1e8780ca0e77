"""The programs: flags, exit statuses, and requests through separate processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from pistachioreach.bin.control import main as control
from pistachioreach.bin.load import percentile
from pistachioreach.manifest import encode_manifest
from pistachioreach.platform.node_file import NODE_FILE_VARIABLE
from pistachioreach.platform.standins.node import node_document
from pistachioreach.ports import free_ports
from pistachioreach.settings import entry_parser
from tests.builders import DEMO_CREDENTIAL, demo_manifest

#: Module in `pistachioreach.bin` of each program.
PROGRAMS = {
    "pistachioreach": "control",
    "pistachioreach-entry": "entry",
    "pistachioreach-fakes": "fakes",
    "pistachioreach-load": "load",
    "pistachioreach-router": "router",
}
ROOT = Path(__file__).parents[2]


def command_line(name, *flags):
    return [sys.executable, "-m", f"pistachioreach.bin.{PROGRAMS[name]}", *flags]


def run(name, *flags, **env):
    return subprocess.run(
        command_line(name, *flags),
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env=os.environ | env,
        check=False,
    )


@pytest.mark.parametrize("name", PROGRAMS)
def test_help_and_version(name):
    completed = run(name, "--help")
    assert completed.returncode == 0
    assert "Exit status" in completed.stdout
    assert run(name, "--version").stdout.startswith(f"{name} ")


@pytest.mark.parametrize(
    ("flag", "value", "allowed"),
    [
        ("--listen", "localhost:80", "an IP address and port"),
        ("--listen", "127.0.0.1:99999", "an IP address and port"),
        ("--drain-limit", "-1", "a duration from 0 to 86400 seconds"),
        ("--name", "Entry One", "a name of 1 to 63 characters"),
        ("--keys", "short", "keys of at least 16 characters"),
    ],
)
def test_error_of_an_invalid_setting_states_flag_value_and_allowed_values(
    monkeypatch, capsys, flag, value, allowed
):
    variable = "PISTACHIOREACH_" + flag[2:].replace("-", "_").upper()
    for by_flag in (True, False):
        if not by_flag:
            monkeypatch.setenv(variable, value)
        with pytest.raises(SystemExit) as caught:
            entry_parser().parse_args([f"{flag}={value}"] if by_flag else [])
        assert caught.value.code == 2
        problem = capsys.readouterr().err.splitlines()[-1]
        assert flag in problem
        assert allowed in problem
        # Keys are secret, so the error must not contain them.
        assert (value in problem) == (flag != "--keys")


def test_check_exits_0_if_valid_1_if_invalid_2_if_unreadable(tmp_path, capsys):
    valid = tmp_path / "good.json"
    valid.write_bytes(encode_manifest(demo_manifest(ports=range(40000, 40020))))
    assert control(["check", str(valid)]) == 0
    invalid = tmp_path / "bad.json"
    invalid.write_text("{}")
    assert control(["check", str(invalid)]) == 1
    assert "missing required field" in capsys.readouterr().err
    assert control(["check", str(tmp_path / "none.json")]) == 2


def test_exit_status_if_no_entry_can_be_reached():
    (port,) = free_ports(1)
    flags = (f"--entries=127.0.0.1:{port}", "--operator-token=t")
    assert run("pistachioreach", "explain", "x", *flags).returncode == 1
    assert run("pistachioreach", "status", *flags).returncode == 3


def test_percentile_of_four_values_and_of_none():
    assert percentile([3, 1, 2, 4], 0.5) == 3
    assert percentile([], 0.5) == 0


def test_second_signal_ends_a_drain_at_once():
    platform, listen, peer = free_ports(3)
    entry = subprocess.Popen(
        command_line(
            "pistachioreach-entry",
            "--name=entry-0",
            "--failure-domain=anta",
            f"--listen=127.0.0.1:{listen}",
            f"--peer-listen=127.0.0.1:{peer}",
            f"--platform=127.0.0.1:{platform}",
            "--keys=a-key-of-the-tests",
            "--operator-token=t",
        ),
        stderr=subprocess.PIPE,
    )
    for line in entry.stderr:
        if b"listens on port" in line:
            break
    entry.send_signal(signal.SIGTERM)
    for line in entry.stderr:
        if b"is draining" in line:
            break
    entry.send_signal(signal.SIGTERM)
    entry.communicate(timeout=30)
    assert entry.returncode == 128 + signal.SIGTERM


def read_until(process, text):
    """Return the lines of a process's output up to the one that contains a text."""
    lines = []
    for line in process.stdout:
        lines.append(line)
        if text in line:
            return lines
    raise AssertionError(f"the output ended without {text!r}")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_second_signal_does_not_end_the_drain_of_a_router(tmp_path, number):
    # Guards against requests that a draining router had passed on and cut off.
    callers, readiness, peers, store = free_ports(4)
    host = f"127.0.0.{2 + os.getpid() % 250}"
    document = node_document(
        "entry-1",
        "anta",
        f"{host}:{callers}",
        f"{host}:{readiness}",
        f"{host}:{peers}",
        f"{host}:{store}",
    )
    node_file = tmp_path / "node.json"
    node_file.write_text(json.dumps(document))
    router = subprocess.Popen(
        command_line("pistachioreach-router", "--keys=a-key-of-the-tests"),
        env=os.environ | {NODE_FILE_VARIABLE: str(node_file)},
        stdout=subprocess.PIPE,
    )
    try:
        read_until(router, b"entry starts")
        router.send_signal(signal.SIGTERM)
        read_until(router, b"drain begins")
        for _ in range(3):
            router.send_signal(number)
            read_until(router, b"signal ignored")
        read_until(router, b"drain ends")
        router.communicate(timeout=30)
        assert router.returncode == 0
    finally:
        router.kill()
        router.wait()


def wait_until(condition):
    for _ in range(200):
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError("the condition was not met in 200 checks")


def test_apply_load_status_and_drain_with_separate_processes(tmp_path):
    manifest = tmp_path / "manifest.json"
    manifest.write_bytes(encode_manifest(demo_manifest()))
    platform, faults, listen, peer = free_ports(4)
    entry_address = f"127.0.0.1:{listen}"
    env = os.environ | {
        "PISTACHIOREACH_KEYS": "a-key-of-the-tests",
        "PISTACHIOREACH_OPERATOR_TOKEN": "operators",
        "PISTACHIOREACH_ENTRIES": entry_address,
    }
    fakes = subprocess.Popen(
        command_line(
            "pistachioreach-fakes",
            "run",
            str(manifest),
            f"--platform=127.0.0.1:{platform}",
            f"--faults=127.0.0.1:{faults}",
            "--log-level=ERROR",
        )
    )
    entry = subprocess.Popen(
        command_line(
            "pistachioreach-entry",
            "--name=entry-0",
            "--failure-domain=anta",
            f"--listen={entry_address}",
            f"--peer-listen=127.0.0.1:{peer}",
            f"--platform=127.0.0.1:{platform}",
        ),
        env=env,
        stderr=subprocess.PIPE,
    )
    try:
        control_env = {key: env[key] for key in env if key.startswith("PISTACHIO")}
        wait_until(
            lambda: (
                run("pistachioreach", "apply", str(manifest), **control_env).returncode
                == 0
            )
        )
        second_apply = run("pistachioreach", "apply", str(manifest), **control_env)
        assert second_apply.returncode == 1
        assert json.loads(second_apply.stdout)["result"] == "conflict"
        load = run(
            "pistachioreach-load",
            "--workspace=crews",
            f"--credential={DEMO_CREDENTIAL}",
            "--model=clearance",
            "--service=bookings/confirm",
            "--seconds=1",
            "--tokens=8",
            **control_env,
        )
        assert load.returncode == 0, load.stderr
        assert "whole" in load.stdout
        status = run("pistachioreach", "status", **control_env)
        assert json.loads(status.stdout)[entry_address]["build"] == 1
        entry.send_signal(signal.SIGTERM)
        _, log = entry.communicate(timeout=30)
        assert entry.returncode == 0
        lines = [json.loads(line) for line in log.splitlines()]
        messages = {line["message"] for line in lines}
        assert "decision chain" in messages
        assert "entry 'entry-0' is draining" in messages
    finally:
        for process in (entry, fakes):
            process.kill()
            process.wait()
