"""Structured logs, in one of two forms."""

from __future__ import annotations

import contextlib
import logging
import queue
import sys
import threading
import traceback
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from typing import TextIO

    from loguru import Message, RecordException

__all__ = [
    "FORMATS",
    "LineQueue",
    "configure_logs",
    "configure_queued_logs",
    "library_logger",
]

#: Values of the flag `--log-format`.
FORMATS = ("json", "text")

#: Lines that may wait for standard output; at 300 bytes each about 1 MB.
QUEUED_LINES = 4096
#: Most lines joined in one write.
LINES_A_WRITE = 64
#: Seconds that the last lines may take at the end.
CLOSE_SECONDS = 0.5
#: Layout of a readable line; the fields of a decision follow the message.
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS}Z {level:<7} {name} {message} {extra}"


class LineQueue:
    """Writes lines to standard output from a thread, so that nothing waits.

    Args:
        stream: Where the lines go.
        length: Lines that may wait; further ones are dropped and counted.
    """

    def __init__(self, stream: TextIO, length: int = QUEUED_LINES) -> None:
        #: Where the lines go.
        self.stream = stream
        #: Lines that wait.
        self.lines: queue.Queue[str] = queue.Queue(length)
        #: Lines dropped since the last one that was written.
        self.dropped = 0
        #: Whether no more lines will come.
        self.closed = False
        #: Writes the lines.
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def put(self, line: str) -> None:
        """Queue a line, or count it as dropped."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Write what waits, within a bounded time."""
        self.closed = True
        with contextlib.suppress(queue.Full):
            # Wakes the thread where no line waits.
            self.lines.put_nowait("")
        self.thread.join(CLOSE_SECONDS)

    def run(self) -> None:
        """Write lines until the queue is closed and empty."""
        while not (self.closed and self.lines.empty()):
            parts = [self.lines.get()]
            while not self.lines.empty() and len(parts) < LINES_A_WRITE:
                parts.append(self.lines.get_nowait())
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                parts.append(
                    f'{{"message": "log lines dropped", "count": {dropped}}}\n'
                )
            self.stream.write("".join(parts))
            self.stream.flush()


def configure_queued_logs(level: str) -> LineQueue:
    """Send logs as JSON lines to standard output, without ever waiting for it.

    Args:
        level: Lowest level that is written, as `INFO`.
    """
    lines = LineQueue(sys.stdout)
    logger.remove()
    logger.add(
        lambda message: lines.put(json_line(message)), level=level, format="{message}"
    )
    return lines


def configure_logs(form: str, level: str) -> None:
    """Send logs to standard error in one form.

    Args:
        form: `json` for one JSON object a line, `text` for readable lines.
        level: Lowest level that is written, as `INFO`.
    """
    logger.remove()
    if form == "json":
        logger.add(write_json, level=level, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)


def write_json(message: Message) -> None:
    """Write one record as a line of JSON to standard error."""
    sys.stderr.write(json_line(message))


def json_line(message: Message) -> str:
    """Return one record as a line of JSON, its bound fields at the top level."""
    record = message.record
    line = {
        "time": record["time"],
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
        line["traceback"] = traceback_of(record["exception"])
    raw = msgspec.json.encode(line, enc_hook=str)
    return raw.decode() + "\n"


def traceback_of(exception: RecordException) -> str:
    """Return the traceback of a logged exception."""
    return "".join(traceback.format_exception(*exception))


class LibraryHandler(logging.Handler):
    """Passes the records of a library's logger on to the project's log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass on one record."""
        level = logger.level(record.levelname).name
        logger.opt(exception=record.exc_info).log(level, "{}", record.getMessage())


def library_logger(name: str) -> logging.Logger:
    """Return a standard logger whose warnings and errors reach the project's log.

    Args:
        name: Name of the logger.
    """
    library = logging.getLogger(name)
    library.propagate = False
    library.setLevel(logging.WARNING)
    if not library.handlers:
        library.addHandler(LibraryHandler())
    return library
