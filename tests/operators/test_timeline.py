import io
import sys

from pistachioreach.bin.control import main
from pistachioreach.operators.timeline import read_timeline


def line(time, request, choice, prefix=""):
    return (
        f'{prefix}{{"time":"2026-01-23 04:56:{time}+00:00","message":"decision chain",'
        f'"request":"{request}","choice":"{choice}","reason":"why","age":0.1}}\n'
    )


def test_a_story_is_in_order_over_several_logs():
    first = [line("22.5", "r1", "a"), "no json r1\n", line("21.0", "r2", "x")]
    second = [line("21.5", "r1", "b", prefix="12.3 entry-2 ")]
    story = read_timeline([("one", first), ("two", second)], "r1")
    assert [(s.source, s.choice) for s in story] == [("two", "b"), ("one", "a")]
    assert story[0].details == {"age": 0.1}


def test_the_command_reads_files_and_standard_input(tmp_path, monkeypatch, capsys):
    log = tmp_path / "entry-1.log"
    log.write_text(line("22.5", "r1", "a"))
    monkeypatch.setattr(sys, "stdin", io.StringIO(line("21.5", "r1", "b")))
    assert main(["explain", "r1", "--logs", str(log), "-"]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert ["b" in shown[0], "a (why)" in shown[1]] == [True, True]
    assert main(["explain", "r9", "--logs", str(log)]) == 1
    assert main(["explain", "r9", "--logs", str(tmp_path / "none")]) == 2
