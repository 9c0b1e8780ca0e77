"""Splits a stream into server-sent events and checks their sequence numbers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from pistachioreach.platform.requests import EVENT_FIELDS, EVENT_NUMBER_FIELD

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["EventError", "EventSplitter", "ends_inside_event"]

#: Bytes of the largest event. More data without a separator is no event stream.
MAX_EVENT_BYTES = 1 << 20
#: Maximum number of parts, such as chunks, in which one event arrives. Each part takes
#: processor time, however small it is.
MAX_EVENT_PARTS = 4096
#: Number of the first event of a stream.
FIRST_NUMBER = 1
#: Blank line that ends an event.
SEPARATOR = b"\n\n"
#: Value of the field that holds an event's number.
NUMBER_PATTERN = re.compile(rb" ?([0-9]{1,18})")
#: Bytes of a malformed line that an error quotes.
QUOTED_BYTES = 40


class EventError(ValueError):
    """Raised when the next event is malformed, missing, repeated or too large."""


class EventSplitter:
    """Buffers the data of a stream and splits it into complete events.

    The event numbers must begin with the first one, unless the caller has some events,
    and be consecutive over all attempts of the stream.

    Args:
        last_number: Number of the last event that the caller has, or None.
    """

    def __init__(self, last_number: int | None) -> None:
        #: Number of the last complete event, or None.
        self.last_number = last_number
        #: Data of an event that is not complete yet.
        self.buffer = b""
        #: Number of parts in which that data arrived.
        self.part_count = 0

    def split(self, data: bytes) -> Iterator[bytes]:
        """Add received data and yield the bytes of all events that it completes.

        The sound events before a malformed one are yielded before the error is raised:
        `last_number` counts them, so that no other attempt sends them again.

        Raises:
            EventError: An event is malformed, missing, repeated or too large.
        """
        searched = max(0, len(self.buffer) - len(SEPARATOR) + 1)
        self.buffer += data
        self.part_count += 1
        end = self.buffer.rfind(SEPARATOR, searched)
        if end < 0:
            if len(self.buffer) > MAX_EVENT_BYTES:
                raise EventError(f"an event is over {MAX_EVENT_BYTES} bytes")
            if self.part_count > MAX_EVENT_PARTS:
                raise EventError(f"an event arrives in over {MAX_EVENT_PARTS} parts")
            return
        self.part_count = 0
        complete = self.buffer[: end + len(SEPARATOR)]
        self.buffer = self.buffer[end + len(SEPARATOR) :]
        sound_bytes = 0
        try:
            for event in complete[: -len(SEPARATOR)].split(SEPARATOR):
                self.last_number = self.check_event(event)
                sound_bytes += len(event) + len(SEPARATOR)
        except EventError:
            if sound_bytes:
                yield complete[:sound_bytes]
            raise
        yield complete

    def check_event(self, event: bytes) -> int | None:
        """Check that an event consists of known fields and has the next number.

        Bytes that are not an event, such as an error page, must not reach the caller.

        Args:
            event: One event, or a comment, without the blank line that ends it.

        Returns:
            The number of the last event: that of this one, or of the one before a
            comment.

        Raises:
            EventError: The event is malformed, or its number is not the next one.
        """
        number = None
        is_comment = True
        for line in event.split(b"\n"):
            if line.startswith(b":"):
                continue
            is_comment = False
            name, _, value = line.partition(b":")
            if name not in EVENT_FIELDS:
                raise EventError(f"not a line of an event: {line[:QUOTED_BYTES]!r}")
            if name == EVENT_NUMBER_FIELD:
                if number is not None:
                    raise EventError("an event has two numbers")
                number = parse_number(value)
        if is_comment:
            return self.last_number
        if number is None:
            raise EventError("an event has no number")
        last_number = self.last_number
        expected = FIRST_NUMBER if last_number is None else last_number + 1
        if number != expected:
            raise EventError(f"event {number} in place of event {expected}")
        return number

    def discard_partial(self) -> None:
        """Discard the incomplete event at the end of a failed attempt."""
        self.buffer = b""
        self.part_count = 0


def ends_inside_event(body: bytes) -> bool:
    """Return whether the body of a stream has been broken off inside an event."""
    return bool(body) and not body.endswith(SEPARATOR)


def parse_number(value: bytes) -> int:
    """Parse the number of an event.

    Raises:
        EventError: The value is not a decimal integer.
    """
    match = NUMBER_PATTERN.fullmatch(value)
    if match is None:
        raise EventError(f"event number {value[:QUOTED_BYTES]!r}")
    return int(match[1])
