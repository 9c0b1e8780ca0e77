"""The queue of log lines: never waits, drops are counted and told."""

import threading
import time

import msgspec
from loguru import logger

from pistachioreach import logs
from pistachioreach.logs import LineQueue


class Pipe:
    """Standard output whose reader may stop reading."""

    def __init__(self):
        self.open = threading.Event()
        self.text = ""

    def write(self, text):
        self.open.wait()
        self.text += text

    def flush(self):
        pass


def test_a_reader_that_stops_stops_nothing_and_drops_are_told():
    pipe = Pipe()
    lines = LineQueue(pipe, length=100)
    start = time.monotonic()
    for number in range(1000):
        lines.put(f"{number}\n")
    assert time.monotonic() - start < 1.0
    pipe.open.set()
    lines.close()
    shown = pipe.text.splitlines()
    drops = [msgspec.json.decode(line)["count"] for line in shown if "{" in line]
    assert sum(drops) >= 700
    assert len(shown) - len(drops) + sum(drops) == 1000


def test_lines_are_json_with_their_fields(monkeypatch):
    pipe = Pipe()
    pipe.open.set()
    monkeypatch.setattr(logs.sys, "stdout", pipe)
    lines = logs.configure_queued_logs("INFO")
    try:
        logger.bind(request="r1", age=0.5).info("decision {}", "chain")
        logger.debug("not written")
    finally:
        logger.remove()
        lines.close()
    (line,) = pipe.text.splitlines()
    decoded = msgspec.json.decode(line)
    assert decoded["message"] == "decision chain"
    assert (decoded["request"], decoded["age"]) == ("r1", 0.5)
