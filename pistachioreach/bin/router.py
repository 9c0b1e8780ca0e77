"""`pistachioreach-router`: router process (an entry) on the users' platform."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

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
    # `Router.run` unblocks the signals when it can handle them. Until then, their
    # default action would end the process.
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    )
    # The imports take half a second, so they follow with the signals blocked.
    from pistachioreach.bin.router_process import run

    return run(arguments)


if __name__ == "__main__":
    sys.exit(main())
