"""Frames that entries exchange, and their encoding."""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import capnp

from pistachioreach.errors import FrameError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "COMMIT",
    "FETCH",
    "MAX_FRAME_BYTES",
    "NEWS",
    "POLL",
    "PREPARE",
    "REPLY",
    "Frame",
    "NewsItem",
    "decode_frame",
    "encode_frame",
]

#: Kinds of frames. A poll only asks which versions the other entry knows.
POLL = "poll"
#: Carries the manifest of a proposal, as a delta or in full.
PREPARE = "prepare"
#: Carries a committed version row and its roster.
COMMIT = "commit"
#: Carries news about endpoints and requests.
NEWS = "news"
#: Requests the full manifest with a digest, or the committed state if there is none.
FETCH = "fetch"
#: Reply to a frame of any other kind.
REPLY = "reply"

#: Length in bytes of the authentication code that precedes each encoded frame.
MAC_BYTES = 16
#: Maximum size of a frame in bytes; a frame must be able to hold a full manifest.
MAX_FRAME_BYTES = 16 * 1024 * 1024

_schema = capnp.load(str(Path(__file__).with_name("frames.capnp")))


class NewsItem(NamedTuple):
    """One item of news about an endpoint or a request.

    Attributes:
        id: Unique identifier, by which each entry forwards the item only once.
        kind: Kind of the news, `leaving` or `suspect`.
        subject: Name of the endpoint, or fingerprint of the request.
        detail: What was observed, or the identifier of an endpoint's death.
    """

    id: str
    kind: str
    subject: str
    detail: str


class Frame(NamedTuple):
    """One frame: a request or a reply.

    Attributes:
        sender: Name of the sending entry.
        incarnation: Identifier of the run of the sender's process.
        sequence: Number that increases with each frame of this run; a reply has
            the number of its request.
        kind: One of the kinds defined in this module, or that of a relay message.
        committed: Highest committed version that the sender knows.
        active: Version in force at the sender.
        prepared: Digest of the last proposed manifest that the sender has stored.
        digest: Digest of the manifest that the frame carries or requests.
        base: Digest of the manifest to which a delta applies; empty if the frame
            carries a full manifest.
        body: Delta, manifest, committed state or relay message, encoded.
        news: Items of news.
    """

    sender: str
    incarnation: str
    sequence: int
    kind: str
    committed: int = 0
    active: int = 0
    prepared: str = ""
    digest: str = ""
    base: str = ""
    body: bytes = b""
    news: tuple[NewsItem, ...] = ()


def compute_mac(raw: bytes, key: bytes, salt: bytes) -> bytes:
    """Compute the authentication code of an encoded frame.

    Args:
        raw: Encoded frame.
        key: Key shared by the entries.
        salt: Salt of the connection.
    """
    state = hashlib.blake2b(salt, key=key, digest_size=MAC_BYTES)
    state.update(raw)
    return state.digest()


def encode_frame(frame: Frame, key: bytes, salt: bytes) -> bytes:
    """Encode a frame and prepend its authentication code.

    Args:
        frame: Frame to encode.
        key: Key in use for sending.
        salt: Salt of the connection; it makes the frame invalid on any other
            connection.
    """
    fields = frame._asdict()
    fields["news"] = [item._asdict() for item in frame.news]
    raw = _schema.Frame.new_message(**fields).to_bytes_packed()
    return compute_mac(raw, key, salt) + raw


def decode_frame(raw: bytes, keys: Sequence[bytes], salt: bytes) -> Frame:
    """Verify the authentication code of a frame and decode the frame.

    Args:
        raw: Authentication code, followed by the encoded frame.
        keys: Currently valid keys.
        salt: Salt of the connection.

    Raises:
        FrameError: The frame is malformed, or no valid key authenticates it.
    """
    mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not any(hmac.compare_digest(compute_mac(body, key, salt), mac) for key in keys):
        raise FrameError("the authentication code of a frame matches no valid key")
    try:
        message = _schema.Frame.from_bytes_packed(body)
        news = tuple(
            NewsItem(item.id, item.kind, item.subject, item.detail)
            for item in message.news
        )
        return Frame(
            message.sender,
            message.incarnation,
            message.sequence,
            message.kind,
            message.committed,
            message.active,
            message.prepared,
            message.digest,
            message.base,
            message.body,
            news,
        )
    except capnp.KjException as error:
        raise FrameError(f"cannot decode a frame: {error}") from error
