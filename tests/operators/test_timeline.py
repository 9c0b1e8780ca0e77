"""Timelines of requests from the logs of several entries."""

import io
import sys

from pistachioreach.bin.control import main
from pistachioreach.operators.timeline import read_timeline


def log_line(time, request, choice, prefix=""):
    return (
        f'{prefix}{{"time":"2026-01-23 04:56:{time}+00:00","message":"decision chain",'
        f'"request":"{request}","choice":"{choice}","reason":"why","age":0.1}}\n'
    )


def test_timeline_is_sorted_over_several_logs():
    first = [log_line("22.5", "r1", "a"), "no json r1\n", log_line("21.0", "r2", "x")]
    second = [log_line("21.5", "r1", "b", prefix="12.3 entry-2 ")]
    records = read_timeline([("one", first), ("two", second)], "r1")
    assert [(record.source, record.choice) for record in records] == [
        ("two", "b"),
        ("one", "a"),
    ]
    assert records[0].details == {"age": 0.1}


def test_explain_reads_log_files_and_standard_input(tmp_path, monkeypatch, capsys):
    log = tmp_path / "entry-1.log"
    log.write_text(log_line("22.5", "r1", "a"))
    monkeypatch.setattr(sys, "stdin", io.StringIO(log_line("21.5", "r1", "b")))
    assert main(["explain", "r1", "--logs", str(log), "-"]) == 0
    output = capsys.readouterr().out.splitlines()
    assert ["b" in output[0], "a (why)" in output[1]] == [True, True]
    assert main(["explain", "r9", "--logs", str(log)]) == 1
    assert main(["explain", "r9", "--logs", str(tmp_path / "none")]) == 2
