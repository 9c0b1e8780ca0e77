"""Signed cursors that let a caller resume a stream at any entry.

A cursor is the `id` of a server-sent event. A caller that reconnects sends the last
cursor back, and any entry that has the signing key can resume the stream there.
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

#: Bytes of the message authentication code.
MAC_BYTES = 12


class Cursor(NamedTuple):
    """A position in a stream, with the attempt that produces the stream.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace that sent the request.
        digest: Digest of the request body.
        attempt: Number of the attempt.
        stream: Name of the attempt's stream at the engines.
        chain: Names of the attempt's endpoints, in the order of their layers.
        position: Position of the next token in the answer, from 0.
    """

    request_id: str
    workspace: str
    digest: str
    attempt: int
    stream: str
    chain: tuple[str, ...]
    position: int = 0


def body_digest(raw: bytes) -> str:
    """Return the digest that binds a cursor or an idempotency key to a request body."""
    return hashlib.blake2b(raw, digest_size=12).hexdigest()


class CursorWriter:
    """Writes the cursors of one attempt.

    All fields except the position are encoded once, for all cursors.

    Args:
        cursor: Cursor of the attempt; the position is ignored.
        key: Signing key that all entries share.
    """

    def __init__(self, cursor: Cursor, key: bytes) -> None:
        raw = msgspec.json.encode(cursor._replace(position=0))
        #: Encoded fields except the position, the same in all cursors of the attempt.
        self.prefix = base64.urlsafe_b64encode(raw).rstrip(b"=")
        #: Hash state of the authentication code after the prefix.
        self.mac_state = hashlib.blake2b(self.prefix, key=key, digest_size=MAC_BYTES)

    def write(self, position: int) -> bytes:
        """Return the encoded and signed cursor of a position."""
        tail = b".%d" % position
        state = self.mac_state.copy()
        state.update(tail)
        return self.prefix + tail + b"." + state.hexdigest().encode("ascii")


def read_cursor(raw: str, keys: Sequence[bytes]) -> Cursor | None:
    """Verify and decode a cursor that a caller sent back.

    Args:
        raw: Value of `Last-Event-ID`.
        keys: Signing keys that are valid now.

    Returns:
        The cursor, or None if it is malformed or not authentic.
    """
    parts = raw.encode("ascii", "replace").split(b".")
    if len(parts) != 3 or not parts[1].isdigit():
        return None
    prefix, position, mac = parts
    if not any(
        hmac.compare_digest(compute_mac(prefix, position, key), mac) for key in keys
    ):
        return None
    padded = prefix + b"=" * (-len(prefix) % 4)
    cursor = msgspec.json.decode(base64.urlsafe_b64decode(padded), type=Cursor)
    return cursor._replace(position=int(position))


def compute_mac(prefix: bytes, position: bytes, key: bytes) -> bytes:
    """Return the message authentication code of a cursor."""
    state = hashlib.blake2b(prefix + b"." + position, key=key, digest_size=MAC_BYTES)
    return state.hexdigest().encode("ascii")
