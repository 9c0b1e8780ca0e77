"""The story of one request, put together from the logs of several entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["TimelineRecord", "format_timeline", "read_timeline"]

#: Fields of a log line that the story shows in front or not at all.
COMMON_FIELDS = {"time", "level", "module", "message", "request", "choice", "reason"}


class TimelineRecord(NamedTuple):
    """A log line that names the request.

    Attributes:
        time: When it was written.
        source: File that it stands in.
        message: What was decided or seen.
        choice: What was chosen, or an empty string.
        reason: Why, or an empty string.
        details: The other fields.
    """

    time: str
    source: str
    message: str
    choice: str
    reason: str
    details: dict[str, Any]


def read_timeline(
    logs: Iterable[tuple[str, Iterable[str]]], request: str
) -> list[TimelineRecord]:
    """Return the lines that name a request, in the order of their times.

    Args:
        logs: Name and lines of each log; what comes before a line's first brace
            is passed over, as are lines that are no JSON objects.
        request: Identifier of the request.
    """
    story = []
    for source, lines in logs:
        for text in lines:
            if request not in text:
                continue
            line = decode_log_line(text)
            if line is not None and line.get("request") == request:
                story.append(timeline_record(source, line))
    return sorted(story, key=lambda line: line.time)


def decode_log_line(text: str) -> dict[str, Any] | None:
    """Decode the JSON object of a log line, or return None."""
    try:
        line = msgspec.json.decode(text[max(0, text.find("{")) :])
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) else None


def timeline_record(source: str, line: dict[str, Any]) -> TimelineRecord:
    """Return a decoded log line as a line of the story."""
    return TimelineRecord(
        time=str(line.get("time", "")),
        source=source,
        message=str(line.get("message", "")),
        choice=str(line.get("choice", "")),
        reason=str(line.get("reason", "")),
        details={k: v for k, v in line.items() if k not in COMMON_FIELDS},
    )


def format_timeline(story: Iterable[TimelineRecord]) -> str:
    """Return a story as text, a line each."""
    texts = []
    for line in story:
        details = msgspec.json.encode(line.details).decode()
        texts.append(
            f"{line.time} {line.source} {line.message}: {line.choice} "
            f"({line.reason}) {details}"
        )
    return "\n".join(texts)
