"""Exceptions of the package.

The outcome of a request is a value (see `pistachioreach.verdict`). Exceptions
report invalid input and unreachable peers.
"""

from __future__ import annotations

__all__ = [
    "ConfigurationError",
    "ConnectionFailed",
    "EndpointLeft",
    "FrameError",
    "HistoryTruncated",
    "ManifestError",
    "MisplacedResponse",
    "PistachioreachError",
    "ResponseAborted",
    "SettingsError",
    "StoreConflict",
    "StoreUnavailable",
]


class PistachioreachError(Exception):
    """Base class of all exceptions of the package."""


class ManifestError(PistachioreachError):
    """Raised for a manifest that is invalid.

    Args:
        path: Location of the problem in the document, as `$.endpoints[3].model`.
        problem: Description of the problem.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        #: Location of the problem in the document.
        self.path = path
        #: Description of the problem.
        self.problem = problem


class ResponseAborted(PistachioreachError):
    """Raised when a response that has started cannot be completed.

    The connection must be closed, so that the caller sees the response as cut off.

    Args:
        detail: What was observed last.
        limit: Limit that allows no further attempt, or an empty string.
    """

    def __init__(self, detail: str, limit: str = "") -> None:
        super().__init__(detail)
        #: Limit that allows no further attempt, or an empty string.
        self.limit = limit


class ConfigurationError(PistachioreachError):
    """Raised for a configuration that cannot be decoded.

    The previous configuration stays in force.
    """


class SettingsError(PistachioreachError):
    """Raised for a setting that is missing or invalid.

    Args:
        name: Name of the settings field, environment variable or file.
        problem: Description of the problem.
    """

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"setting '{name}': {problem}")
        #: Name of the settings field, environment variable or file.
        self.name = name


class HistoryTruncated(PistachioreachError):
    """Raised when the store no longer holds all the changes that were requested."""


class StoreUnavailable(PistachioreachError):
    """Raised when the table service did not respond.

    A write that was sent may have taken effect.
    """


class StoreConflict(PistachioreachError):
    """Raised when a transaction is rejected because of a row's version.

    Args:
        table: Table of the first row that is not at the expected version.
        key: Key of that row.
    """

    def __init__(self, table: str, key: str) -> None:
        super().__init__(
            f"row '{key}' of table '{table}' is not at the expected version"
        )
        #: Table of the first row that is not at the expected version.
        self.table = table
        #: Key of that row.
        self.key = key


class ConnectionFailed(PistachioreachError):
    """Raised when a peer cannot be reached or the connection to it breaks.

    Args:
        peer: Name of the peer.
        sent: Whether any byte of the request may have been sent to the peer.
        detail: Description of the error, in most cases from the network library.
        reused: Whether the connection was a reused idle one that broke without a
            response.
    """

    def __init__(
        self, peer: str, sent: bool, detail: str, reused: bool = False
    ) -> None:
        super().__init__(f"connection to '{peer}' failed: {detail}")
        #: Name of the peer.
        self.peer = peer
        #: Whether any byte of the request may have been sent to the peer.
        self.sent = sent
        #: Whether the connection was a reused idle one that broke without a
        #: response; the peer may have closed it before the request arrived.
        self.reused = reused


class EndpointLeft(PistachioreachError):
    """Raised in place of a send to an endpoint that has left since it was chosen.

    No byte of the request has been sent.

    Args:
        endpoint: Identifier of the endpoint.
    """

    def __init__(self, endpoint: str) -> None:
        super().__init__(f"endpoint '{endpoint}' left before the request was sent")


class MisplacedResponse(PistachioreachError):
    """Raised for bytes that are not the response to the request they follow."""


class FrameError(PistachioreachError):
    """Raised for a frame from another entry that is malformed or not authentic."""
