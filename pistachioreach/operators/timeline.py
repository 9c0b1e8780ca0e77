"""Timeline of one request, merged from the logs of several entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["TimelineRecord", "format_timeline", "read_timeline"]

#: Fields of a log line that are not part of `TimelineRecord.details`: a record shows
#: them in attributes of their own, or omits them.
NON_DETAIL_FIELDS = {
    "time",
    "level",
    "module",
    "message",
    "request",
    "choice",
    "reason",
}


class TimelineRecord(NamedTuple):
    """A log line about the request.

    Attributes:
        time: Time at which the line was logged, as text.
        source: Name of the log that contains the line.
        message: Message of the line.
        choice: What was chosen, or an empty string if the line records no decision.
        reason: Short reason for the choice, or an empty string.
        details: Other fields of the line.
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
    """Return the log lines about a request, sorted by their times as text.

    Args:
        logs: Name and lines of each log. Text before the first brace of a line is
            ignored, and so are lines that hold no JSON object.
        request: Identifier of the request.
    """
    records = []
    for source, lines in logs:
        for text in lines:
            if request not in text:
                continue
            line = decode_log_line(text)
            if line is not None and line.get("request") == request:
                records.append(make_record(source, line))
    return sorted(records, key=lambda record: record.time)


def decode_log_line(text: str) -> dict[str, Any] | None:
    """Return the JSON object that a log line holds, or None if there is none."""
    try:
        line = msgspec.json.decode(text[max(0, text.find("{")) :])
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) else None


def make_record(source: str, line: dict[str, Any]) -> TimelineRecord:
    """Convert a decoded log line to a record of the timeline."""
    return TimelineRecord(
        time=str(line.get("time", "")),
        source=source,
        message=str(line.get("message", "")),
        choice=str(line.get("choice", "")),
        reason=str(line.get("reason", "")),
        details={k: v for k, v in line.items() if k not in NON_DETAIL_FIELDS},
    )


def format_timeline(records: Iterable[TimelineRecord]) -> str:
    """Return a timeline as text, one line per record."""
    lines = []
    for record in records:
        details = msgspec.json.encode(record.details).decode()
        lines.append(
            f"{record.time} {record.source} {record.message}: {record.choice} "
            f"({record.reason}) {details}"
        )
    return "\n".join(lines)
