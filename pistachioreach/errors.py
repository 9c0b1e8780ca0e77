"""Exceptions of the package.

Outcomes of requests are values (see `pistachioreach.verdict`); exceptions are
for input that cannot be used and for peers that cannot be reached.
"""

from __future__ import annotations

__all__ = [
    "ConfigurationError",
    "ConnectionFailed",
    "FrameError",
    "HistoryTruncated",
    "ManifestError",
    "PistachioreachError",
    "ResponseAborted",
    "SettingsError",
    "StoreConflict",
    "StoreUnavailable",
]


class PistachioreachError(Exception):
    """Base of all exceptions of the package."""


class ManifestError(PistachioreachError):
    """A manifest cannot be accepted.

    Args:
        path: Where in the document, as `$.endpoints[3].model`.
        problem: What is wrong there.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        #: Where in the document the problem is.
        self.path = path
        #: What is wrong there.
        self.problem = problem


class ResponseAborted(PistachioreachError):
    """An answer that has begun cannot be completed; its connection must end."""


class ConfigurationError(PistachioreachError):
    """A configuration cannot be decoded; the one before stays in force."""


class SettingsError(PistachioreachError):
    """A setting is missing or cannot be used.

    Args:
        name: Name of the field, variable or file.
        problem: What is wrong with it.
    """

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"setting '{name}': {problem}")
        #: Name of the field, variable or file.
        self.name = name


class HistoryTruncated(PistachioreachError):
    """The store no longer holds the changes that were asked for."""


class StoreUnavailable(PistachioreachError):
    """The table service gave no answer; a write may have taken effect."""


class StoreConflict(PistachioreachError):
    """A transaction was refused because a row was not at the expected version.

    Args:
        table: Table of the first row that did not match.
        key: Key of that row.
    """

    def __init__(self, table: str, key: str) -> None:
        super().__init__(
            f"row '{key}' of table '{table}' is not at the expected version"
        )
        #: Table of the first row that did not match.
        self.table = table
        #: Key of that row.
        self.key = key


class ConnectionFailed(PistachioreachError):
    """A peer could not be reached, or its connection broke.

    Args:
        peer: Name of the peer.
        sent: Whether any byte of a request may have left for the peer.
        detail: What the library reported.
        reused: Whether the connection had been idle and gave no answer.
    """

    def __init__(
        self, peer: str, sent: bool, detail: str, reused: bool = False
    ) -> None:
        super().__init__(f"connection to '{peer}' failed: {detail}")
        #: Name of the peer.
        self.peer = peer
        #: Whether any byte of a request may have left for the peer.
        self.sent = sent
        #: Whether the connection had been idle and gave no answer; the peer may
        #: have closed it before the request came.
        self.reused = reused


class FrameError(PistachioreachError):
    """A frame of another entry cannot be decoded or is not authentic."""
