"""Isolation of errors: what goes wrong with one peer does not end the process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

__all__ = ["isolate_errors", "restart_on_error"]

#: Seconds after which a task that failed is started again. Most errors that a task
#: does not expect come back at once, and each of them is logged with its traceback.
RESTART_SECONDS = 1.0


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


async def restart_on_error(task: Callable[[], Awaitable[None]]) -> None:
    """Run a task of the process; after an unexpected error, log it and start again.

    For tasks that keep their state in objects, so that they can start at any time, and
    without which requests in progress can go on.

    Args:
        task: The task.
    """
    while True:
        with isolate_errors(task.__qualname__):
            await task()
            return
        await trio.sleep(RESTART_SECONDS)
