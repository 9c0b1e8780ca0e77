"""Isolation of errors: what goes wrong with one peer does not end the process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["isolate_errors"]


@contextmanager
def isolate_errors(task: str, **fields) -> Iterator[None]:
    """Log an unexpected error with its traceback instead of raising it.

    For tasks that depend on what one peer sent. The errors that such a task expects are
    handled where they occur; any other would end the process with the requests of all
    callers. A cancellation is raised, also if errors occurred beside it.

    Args:
        task: Description of the task, for the log.
        **fields: Further fields of the log line, such as the peer.
    """
    try:
        yield
    except* Exception as group:
        error = group.exceptions[0] if len(group.exceptions) == 1 else group
        logger.bind(task=task, **fields).opt(exception=error).error("unexpected error")
