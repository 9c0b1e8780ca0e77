"""Structured logs, as JSON lines or as readable text."""

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
    "LOG_FORMATS",
    "LineQueue",
    "configure_logs",
    "configure_queued_logs",
    "library_logger",
]

#: Values of the flag `--log-format`.
LOG_FORMATS = ("json", "text")

#: Capacity of the queue in lines; at 300 bytes a line about 1 MB.
MAX_QUEUED_LINES = 4096
#: Largest number of lines joined into one write.
MAX_LINES_PER_WRITE = 64
#: Seconds that `LineQueue.close` waits for the last lines to be written.
CLOSE_TIMEOUT_SECONDS = 0.5
#: Layout of a readable line; the bound fields follow the message.
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS}Z {level:<7} {name} {message} {extra}"


class LineQueue:
    """Writes lines to a stream from a thread, so that logging never blocks.

    Args:
        stream: Stream that the lines are written to.
        length: Capacity in lines; lines that do not fit are dropped and counted.
    """

    def __init__(self, stream: TextIO, length: int = MAX_QUEUED_LINES) -> None:
        #: Stream that the lines are written to.
        self.stream = stream
        #: Lines that are still to be written.
        self.lines: queue.Queue[str] = queue.Queue(length)
        #: Number of lines dropped since the last write.
        self.dropped = 0
        #: Whether `close` has been called.
        self.closed = False
        #: Thread that writes the lines.
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def put(self, line: str) -> None:
        """Queue a line; drop and count the line if the queue is full."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Write the queued lines, for at most `CLOSE_TIMEOUT_SECONDS`."""
        self.closed = True
        with contextlib.suppress(queue.Full):
            # Wakes the thread if it is blocked on an empty queue.
            self.lines.put_nowait("")
        self.thread.join(CLOSE_TIMEOUT_SECONDS)

    def run(self) -> None:
        """Write lines until the queue is closed and empty."""
        while not (self.closed and self.lines.empty()):
            parts = [self.lines.get()]
            while not self.lines.empty() and len(parts) < MAX_LINES_PER_WRITE:
                parts.append(self.lines.get_nowait())
            count = len(parts)
            dropped, self.dropped = self.dropped, 0
            if dropped:
                parts.append(
                    f'{{"message": "log lines dropped", "count": {dropped}}}\n'
                )
            try:
                self.stream.write("".join(parts))
                self.stream.flush()
            except (OSError, ValueError):
                # The reader may have ended, the disk may be full, or the encoding of
                # the stream may lack a character. Later lines may be written again.
                self.dropped += dropped + count


def configure_queued_logs(level: str) -> LineQueue:
    """Send logs as JSON lines to standard output without blocking on it.

    Args:
        level: Lowest level that is written, such as `INFO`.
    """
    lines = LineQueue(sys.stdout)
    logger.remove()
    logger.add(
        lambda message: lines.put(json_line(message)), level=level, format="{message}"
    )
    return lines


def configure_logs(log_format: str, level: str) -> None:
    """Send logs to standard error.

    Args:
        log_format: `json` for one JSON object per line, `text` for readable lines.
        level: Lowest level that is written, such as `INFO`.
    """
    logger.remove()
    if log_format == "json":
        logger.add(write_json, level=level, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)


def write_json(message: Message) -> None:
    """Write a log record as one line of JSON to standard error."""
    sys.stderr.write(json_line(message))


def json_line(message: Message) -> str:
    """Return a log record as one line of JSON, with bound fields at the top level."""
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
        line["traceback"] = format_traceback(record["exception"])
    raw = msgspec.json.encode(line, enc_hook=str)
    return raw.decode() + "\n"


def format_traceback(exception: RecordException) -> str:
    """Return the traceback of a logged exception as text."""
    return "".join(traceback.format_exception(*exception))


class LibraryHandler(logging.Handler):
    """Forwards the records of a library's standard logger to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record."""
        level = logger.level(record.levelname).name
        logger.opt(exception=record.exc_info).log(level, "{}", record.getMessage())


def library_logger(name: str) -> logging.Logger:
    """Return a standard logger whose warnings and errors are forwarded to loguru.

    Args:
        name: Name of the standard logger.
    """
    library = logging.getLogger(name)
    library.propagate = False
    library.setLevel(logging.WARNING)
    if not library.handlers:
        library.addHandler(LibraryHandler())
    return library
