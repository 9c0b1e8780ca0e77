"""Splits a stream into server-sent events and checks their sequence numbers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["EventError", "EventSplitter"]

#: Bytes of the largest event. More data without a separator is no event stream.
MAX_EVENT_BYTES = 1 << 20
#: Maximum number of parts, such as chunks, in which one event arrives. Each part takes
#: processor time, however small it is.
MAX_EVENT_PARTS = 4096
#: Number of the first event of a stream.
FIRST_NUMBER = 1
#: Blank line that ends an event.
SEPARATOR = b"\n\n"


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
        #: Number of complete events, comments not counted.
        self.count = 0
        #: Data of an event that is not complete yet.
        self.buffer = b""
        #: Number of parts in which that data arrived.
        self.part_count = 0

    @property
    def position(self) -> int:
        """Number of the last event, or the number of events if they have none."""
        return self.count if self.last_number is None else self.last_number

    @property
    def is_empty(self) -> bool:
        """Whether there is no event, neither here nor at the caller."""
        return not self.count and self.last_number is None

    def split(self, data: bytes) -> Iterator[bytes]:
        """Add received data and yield the bytes of all events that it completes.

        The sound events before a malformed one are yielded before the error is raised:
        `last_number` counts them, so that no other attempt sends them again.

        Raises:
            EventError: An event is missing, repeated or too large, or its number is
                not an integer.
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
                self.last_number = self.check_number(event)
                self.count += any(
                    not line.startswith(b":") for line in event.split(b"\n")
                )
                sound_bytes += len(event) + len(SEPARATOR)
        except EventError:
            if sound_bytes:
                yield complete[:sound_bytes]
            raise
        yield complete

    def check_number(self, event: bytes) -> int | None:
        """Check that the number of an event, if it has one, is the next number.

        Returns:
            The number of the last event, this one included.

        Raises:
            EventError: The number is not an integer or not the next one.
        """
        last_number = self.last_number
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            if name.strip().lower() != b"id":
                continue
            try:
                number = int(value)
            except ValueError as error:
                raise EventError(f"event number {value!r}") from error
            expected = FIRST_NUMBER if last_number is None else last_number + 1
            if number != expected:
                raise EventError(f"event {number} in place of event {expected}")
            last_number = number
        return last_number

    def discard_partial(self) -> None:
        """Discard the incomplete event at the end of a failed attempt."""
        self.buffer = b""
        self.part_count = 0
