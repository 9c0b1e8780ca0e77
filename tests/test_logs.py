"""Queue of log lines: logging never blocks, and dropped lines are reported."""

import threading
import time

import msgspec
from loguru import logger

from pistachioreach import logs
from pistachioreach.logs import LineQueue


class BlockedPipe:
    """Standard output whose reader does not read until `open` is set."""

    def __init__(self):
        self.open = threading.Event()
        self.text = ""

    def write(self, text):
        self.open.wait()
        self.text += text

    def flush(self):
        pass


def test_a_blocked_reader_does_not_block_logging_and_drops_are_reported():
    pipe = BlockedPipe()
    lines = LineQueue(pipe, length=100)
    start = time.monotonic()
    for number in range(1000):
        lines.put(f"{number}\n")
    assert time.monotonic() - start < 1.0
    pipe.open.set()
    lines.close()
    written = pipe.text.splitlines()
    drops = [msgspec.json.decode(line)["count"] for line in written if "{" in line]
    assert sum(drops) >= 700
    assert len(written) - len(drops) + sum(drops) == 1000


def test_lines_are_json_objects_with_bound_fields(monkeypatch):
    pipe = BlockedPipe()
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


class FailingPipe(BlockedPipe):
    """Standard output of which some writes fail."""

    def __init__(self, *errors):
        super().__init__()
        self.open.set()
        self.errors = list(errors)

    def write(self, text):
        if self.errors:
            raise self.errors.pop(0)
        super().write(text)


def test_a_write_that_fails_does_not_end_the_log():
    # Guards against a router that never logs again after one failed write.
    pipe = FailingPipe(
        OSError(28, "No space left on device"),
        UnicodeEncodeError("ascii", "\u00e9", 0, 1, "ordinal not in range"),
    )
    lines = LineQueue(pipe)
    for text in ("a\n", "b\n", "c\n"):
        lines.put(text)
        time.sleep(0.1)
    lines.close()
    written = pipe.text.splitlines()
    assert written[0] == "c"
    drops = [msgspec.json.decode(line)["count"] for line in written if "{" in line]
    assert sum(drops) == 2
