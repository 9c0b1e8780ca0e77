"""Start and end of the router process, after its signals have been blocked."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import SettingsError
from pistachioreach.logs import configure_queued_logs
from pistachioreach.platform.node_file import read_node_file
from pistachioreach.router import Router
from pistachioreach.settings import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    make_parser,
    parse_keys,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pistachioreach.router import TaskFailure

__all__ = ["run"]

#: Last line of the log of a process that ends because of an unexpected error.
ENDED_MESSAGE = "entry ends because of an unexpected error"


def run(arguments: Sequence[str] | None) -> int:
    """Run one entry until it has drained after a signal.

    Args:
        arguments: Command-line arguments, or None for those of the process.

    Returns:
        The exit status of the process.
    """
    parsed = router_parser().parse_args(arguments)
    lines = configure_queued_logs(parsed.log_level)
    try:
        settings = read_node_file()
    except SettingsError as error:
        logger.bind(setting=error.name).error("{}", error)
        lines.close()
        return EXIT_USAGE
    router = None
    status = EXIT_OK
    try:
        router = Router(settings, parsed.keys)
        trio.run(router.run)
    except Exception as error:
        log_failure(error, router and router.failure)
        status = EXIT_FAILED
    lines.close()
    return status


def log_failure(error: Exception, failure: TaskFailure | None) -> None:
    """Log that an unexpected error ends the process.

    Args:
        error: The error.
        failure: The failure of the task that raised it, or None.
    """
    if failure is not None:
        fields = {"task": failure.task, "in_progress": failure.in_progress}
        logger.bind(**fields).opt(exception=failure.error).critical(ENDED_MESSAGE)
    else:
        logger.opt(exception=error).critical(ENDED_MESSAGE)


def router_parser():
    """Return the command-line parser of `pistachioreach-router`."""
    parser = make_parser(
        "pistachioreach-router",
        "Router process on the users' platform; the node file says where it runs.",
    )
    parser.add_argument(
        "--keys",
        type=parse_keys,
        required=True,
        help="keys shared by all entries, separated by a comma; the first is in "
        "use, the second is still accepted",
    )
    parser.add_argument(
        "--log-level", default="INFO", help="lowest level that is logged"
    )
    return parser
