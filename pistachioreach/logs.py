"""Structured logs, in one of two forms."""

from __future__ import annotations

import logging
import sys
import traceback
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, RecordException

__all__ = ["FORMATS", "configure_logs", "library_logger"]

#: Values of the flag `--log-format`.
FORMATS = ("json", "text")

#: Layout of a readable line; the fields of a decision follow the message.
TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS}Z {level:<7} {name} {message} {extra}"


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
    """Write one record as a line of JSON, its bound fields at the top level."""
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
    sys.stderr.write(raw.decode() + "\n")


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
