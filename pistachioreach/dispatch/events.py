"""Splits a stream into events and checks that none is missing or comes twice."""

from __future__ import annotations

__all__ = ["EventError", "EventSplitter"]

#: Bytes of the largest event; an endpoint that sends more sends no events.
LARGEST_EVENT = 1 << 20
#: What ends an event.
SEPARATOR = b"\n\n"


class EventError(ValueError):
    """A stream goes on with another event than the next one."""


class EventSplitter:
    """Whole events of one run of a stream.

    Args:
        last: Number of the last event that the caller has, or None.
    """

    def __init__(self, last: int | None) -> None:
        #: Number of the last event that was passed on, or None.
        self.last = last
        #: Bytes of an event that is not complete yet.
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all events that are complete now.

        Raises:
            EventError: An event is missing or comes twice.
        """
        self.rest += data
        end = self.rest.rfind(SEPARATOR)
        if end < 0:
            if len(self.rest) > LARGEST_EVENT:
                raise EventError(f"an event is over {LARGEST_EVENT} bytes")
            return b""
        whole = self.rest[: end + len(SEPARATOR)]
        for event in whole[: -len(SEPARATOR)].split(SEPARATOR):
            self.check(event)
        self.rest = self.rest[end + len(SEPARATOR) :]
        return whole

    def check(self, event: bytes) -> None:
        """Check the number of one event."""
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            if name.strip().lower() != b"id":
                continue
            try:
                number = int(value)
            except ValueError as error:
                raise EventError(f"event number {value!r}") from error
            if self.last is not None and number != self.last + 1:
                raise EventError(f"event {number} follows event {self.last}")
            self.last = number

    def restart(self) -> None:
        """Drop the part of an event that a run left behind."""
        self.rest = b""
