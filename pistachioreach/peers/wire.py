"""Frames between entries and their codec."""

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

#: Kinds of frames. A poll only asks what the other entry knows.
POLL = "poll"
#: Carries the manifest of a proposal, as a delta.
PREPARE = "prepare"
#: Tells that a version has been committed.
COMMIT = "commit"
#: Carries news of endpoints and requests.
NEWS = "news"
#: Asks for the whole manifest of a digest.
FETCH = "fetch"
#: Answers any of the others.
REPLY = "reply"

#: Bytes of the authentication code before each frame.
MAC_BYTES = 16
#: Bytes of the largest frame; it holds a whole manifest.
MAX_FRAME_BYTES = 16 * 1024 * 1024

_schema = capnp.load(str(Path(__file__).with_name("frames.capnp")))


class NewsItem(NamedTuple):
    """One piece of news.

    Attributes:
        id: Names it, so that it is passed on once.
        kind: What it is about, as `leaving` or `suspect`.
        subject: Endpoint or fingerprint concerned.
        detail: What was seen, or the name of a death.
    """

    id: str
    kind: str
    subject: str
    detail: str


class Frame(NamedTuple):
    """One frame.

    Attributes:
        sender: Name of the sending entry.
        incarnation: Names the run of the sender's process.
        sequence: Rises with each frame of this run; answers repeat the
            question's.
        kind: One of the kinds of this module.
        committed: Highest version that the sender knows to be committed.
        active: Version in force at the sender.
        prepared: Digest of the last proposed manifest that the sender holds.
        digest: Digest that the frame is about.
        base: Digest of the manifest that a delta starts from.
        body: A delta or a manifest.
        news: News that travels along.
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
    """Return the authentication code of an encoded frame."""
    state = hashlib.blake2b(salt, key=key, digest_size=MAC_BYTES)
    state.update(raw)
    return state.digest()


def encode_frame(frame: Frame, key: bytes, salt: bytes) -> bytes:
    """Return a frame with its authentication code.

    Args:
        frame: The frame.
        key: The key in use.
        salt: Random bytes of the connection, so that no frame counts elsewhere.
    """
    fields = frame._asdict()
    fields["news"] = [item._asdict() for item in frame.news]
    raw = _schema.Frame.new_message(**fields).to_bytes_packed()
    return compute_mac(raw, key, salt) + raw


def decode_frame(raw: bytes, keys: Sequence[bytes], salt: bytes) -> Frame:
    """Return the frame that some bytes hold.

    Args:
        raw: Authentication code and encoded frame.
        keys: Keys that are valid now.
        salt: Random bytes of the connection.

    Raises:
        FrameError: The frame is malformed, or of none of the keys.
    """
    mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not any(hmac.compare_digest(compute_mac(body, key, salt), mac) for key in keys):
        raise FrameError("a frame does not carry the code of any valid key")
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
        raise FrameError(f"a frame cannot be decoded: {error}") from error
