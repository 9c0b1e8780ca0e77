"""Structured logs, in one of two forms."""

from __future__ import annotations

import sys

from loguru import logger

__all__ = ["FORMATS", "configure_logs"]

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
        logger.add(sys.stderr, level=level, serialize=True, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
