"""Proof that a request comes from another entry, which sends it for its caller."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["relay_field", "relay_probe_headers", "relaying_entry"]

#: Length in bytes of the proof that another entry has sent a request.
RELAY_PROOF_BYTES = 16
#: Purpose of the proof, so that it is no authentication code of anything else that
#: the entries' keys are used for.
RELAY_PROOF_PURPOSE = b"relayed-by"


def relaying_entry(
    value: bytes | None, request_id: str, keys: Sequence[bytes]
) -> str | None:
    """Return the name of the entry that sent a request, or None without its proof.

    Args:
        value: Value of the field in which the entry states its name, or None.
        request_id: Identifier of the request.
        keys: Currently valid keys of the entries.
    """
    entry, _, proof = (value or b"").strip().rpartition(b" ")
    for key in keys:
        if hmac.compare_digest(proof, relay_proof(entry, request_id, key)):
            return entry.decode()
    return None


def relay_proof(entry: bytes, request_id: str, key: bytes) -> bytes:
    """Return the proof that an entry has sent a request for its caller, as text.

    Args:
        entry: Name of the entry.
        request_id: Identifier of the request.
        key: Key shared by the entries.
    """
    digest = hashlib.blake2b(
        key=key, digest_size=RELAY_PROOF_BYTES, person=RELAY_PROOF_PURPOSE
    )
    digest.update(entry + b"\0" + request_id.encode("latin-1"))
    return digest.hexdigest().encode()


def relay_field(entry: str, request_id: str, key: bytes) -> bytes:
    """Return the name and the proof of the entry that sends a request for its caller.

    Both are in one field: entries of earlier releases need only the presence of the
    field, and do not forward it to endpoints.

    Args:
        entry: Name of the entry.
        request_id: Identifier of the request.
        key: Key of the entries that is in use.
    """
    name = entry.encode()
    return name + b" " + relay_proof(name, request_id, key)


def relay_probe_headers(entry: str, key: bytes) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header fields that ask another entry whether it accepts requests.

    Args:
        entry: Name of this entry.
        key: Key of the entries that is in use.
    """
    return ((b"relayed-by", relay_field(entry, "", key)),)
