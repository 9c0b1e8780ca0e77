"""Requests for permits between entries, and their answers."""

from __future__ import annotations

import math
from pathlib import Path
from typing import NamedTuple

import capnp

from pistachioreach.errors import FrameError
from pistachioreach.routing.rate_limits import Permit

__all__ = [
    "PERMIT",
    "PermitRequest",
    "decode_permit",
    "decode_permit_request",
    "encode_permit",
    "encode_permit_request",
]

#: Kind of the frames that request a permit.
PERMIT = "permit"

_schema = capnp.load(str(Path(__file__).with_name("permit.capnp")))


class PermitRequest(NamedTuple):
    """Request for a permit to send one request to an endpoint.

    Attributes:
        run: Identifier of the run of the endpoint.
        per_second: Requests a second that the endpoint takes from all entries.
    """

    run: str
    per_second: float


def encode_permit_request(request: PermitRequest) -> bytes:
    """Encode a request for a permit."""
    message = _schema.PermitRequest.new_message(
        run=request.run, perSecond=request.per_second
    )
    return message.to_bytes_packed()


def decode_permit_request(raw: bytes) -> PermitRequest:
    """Decode a request for a permit.

    Raises:
        FrameError: The request is malformed.
    """
    try:
        message = _schema.PermitRequest.from_bytes_packed(raw)
        request = PermitRequest(str(message.run), message.perSecond)
    except (capnp.KjException, ValueError) as error:
        raise FrameError(f"malformed request for a permit: {error}") from error
    if not math.isfinite(request.per_second):
        raise FrameError("the limit in a request for a permit is not finite")
    return request


def encode_permit(permit: Permit) -> bytes:
    """Encode the answer to a request for a permit."""
    message = _schema.PermitAnswer.new_message(
        granted=permit.granted, waitSeconds=permit.wait_seconds
    )
    return message.to_bytes_packed()


def decode_permit(raw: bytes) -> Permit:
    """Decode the answer to a request for a permit.

    Raises:
        FrameError: The answer is malformed.
    """
    try:
        message = _schema.PermitAnswer.from_bytes_packed(raw)
        return Permit(message.granted, message.waitSeconds)
    except (capnp.KjException, ValueError) as error:
        raise FrameError(f"malformed permit: {error}") from error
