"""`pistachioreach-entry`: router process (an entry) configured by flags."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.logs import configure_logs
from pistachioreach.node import Node
from pistachioreach.settings import (
    EXIT_OK,
    EXIT_SIGNAL,
    entry_parser,
    entry_settings,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["main"]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one entry until it has drained after a signal.

    Args:
        arguments: Command-line arguments, or None for those of the process.

    Returns:
        The exit status of the process.
    """
    parsed = entry_parser().parse_args(arguments)
    configure_logs(parsed.log_format, parsed.log_level)
    return trio.run(serve, Node(entry_settings(parsed)))


async def serve(node: Node) -> int:
    """Run a node until a signal has drained it, or a second signal ends the drain.

    Args:
        node: The entry to run.

    Returns:
        The exit status: `EXIT_OK` after a completed drain, `EXIT_SIGNAL` plus the
        number of the second signal otherwise.
    """
    status = EXIT_OK
    async with trio.open_nursery() as nursery:

        async def handle_signals() -> None:
            nonlocal status
            status = EXIT_SIGNAL + await node.stop_on_signal()
            nursery.cancel_scope.cancel()

        nursery.start_soon(handle_signals)
        await node.run()
        nursery.cancel_scope.cancel()
    return status


if __name__ == "__main__":
    raise SystemExit(main())
