"""`pistachioreach-entry`: one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.logs import configure_logs
from pistachioreach.node import Node
from pistachioreach.settings import EXIT_OK, entry_parser, entry_settings

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["main"]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one entry until a signal.

    Args:
        arguments: Command line, or None for the process's own.

    Returns:
        The exit status.
    """
    parsed = entry_parser().parse_args(arguments)
    configure_logs(parsed.log_format, parsed.log_level)
    trio.run(serve, Node(entry_settings(parsed)))
    return EXIT_OK


async def serve(node: Node) -> None:
    """Run a node until a signal has drained it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.stop_on_signal)
        await node.run()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    raise SystemExit(main())
