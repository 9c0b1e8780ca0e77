"""Cursors: where a caller's stream stands, readable by any entry.

A cursor is the `id` of a server-sent event. A caller that reconnects sends the
last one back, and any entry that holds the same key can go on from there.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["Cursor", "CursorWriter", "body_digest", "read_cursor"]

#: Bytes of the authentication code.
MAC_BYTES = 12


class Cursor(NamedTuple):
    """Where a stream stands.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace that sent it.
        digest: Digest of its body.
        attempt: Number of the attempt.
        stream: Name of the attempt's stream at the engines.
        chain: Names of its endpoints, in the order of layers.
        position: Position of the next token.
    """

    request_id: str
    workspace: str
    digest: str
    attempt: int
    stream: str
    chain: tuple[str, ...]
    position: int = 0


def body_digest(raw: bytes) -> str:
    """Return the digest that ties a cursor to the body of its request."""
    return hashlib.blake2b(raw, digest_size=12).hexdigest()


class CursorWriter:
    """Writes the cursors of one attempt; all but the position is encoded once.

    Args:
        cursor: The attempt; its position is not used.
        key: Key that all entries share.
    """

    def __init__(self, cursor: Cursor, key: bytes) -> None:
        raw = msgspec.json.encode(cursor._replace(position=0))
        #: Encoded attempt, the part that all cursors share.
        self.prefix = base64.urlsafe_b64encode(raw).rstrip(b"=")
        #: Authentication state after the prefix.
        self.state = hashlib.blake2b(self.prefix, key=key, digest_size=MAC_BYTES)

    def write(self, position: int) -> bytes:
        """Return the cursor of a position."""
        tail = b".%d" % position
        state = self.state.copy()
        state.update(tail)
        return self.prefix + tail + b"." + state.hexdigest().encode("ascii")


def read_cursor(raw: str, keys: Sequence[bytes]) -> Cursor | None:
    """Return the cursor that a caller sent back.

    Args:
        raw: Value of `Last-Event-ID`.
        keys: Keys that are valid now.

    Returns:
        The cursor, or None when it is malformed or not authentic.
    """
    parts = raw.encode("ascii", "replace").split(b".")
    if len(parts) != 3 or not parts[1].isdigit():
        return None
    prefix, position, mac = parts
    if not any(hmac.compare_digest(mac_of(prefix, position, key), mac) for key in keys):
        return None
    padded = prefix + b"=" * (-len(prefix) % 4)
    cursor = msgspec.json.decode(base64.urlsafe_b64decode(padded), type=Cursor)
    return cursor._replace(position=int(position))


def mac_of(prefix: bytes, position: bytes, key: bytes) -> bytes:
    """Return the authentication code of a cursor."""
    state = hashlib.blake2b(prefix + b"." + position, key=key, digest_size=MAC_BYTES)
    return state.hexdigest().encode("ascii")
