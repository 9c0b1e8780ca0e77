"""Signed cursors and idempotency keys."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachioreach.dispatch.cursor import Cursor, CursorWriter, read_cursor
from pistachioreach.dispatch.keys import check_key, day_partition, key_time, new_key
from pistachioreach.verdict import BAD_REQUEST, KEY_EXPIRED, KEY_REQUIRED

KEY, NEW_KEY = b"k" * 16, b"n" * 16
CURSOR = Cursor("r", "crews", "d", 2, "r.2.x", ("a", "b"))
NOW = datetime(2026, 12, 4, 3, 38, tzinfo=UTC)


def test_cursor_is_valid_under_old_and_new_key():
    raw = CursorWriter(CURSOR, KEY).write(17).decode()
    assert read_cursor(raw, [KEY]) == CURSOR._replace(position=17)
    assert read_cursor(raw, [NEW_KEY, KEY]) == CURSOR._replace(position=17)
    assert read_cursor(raw, [NEW_KEY]) is None


@given(st.integers(0, 200), st.integers(0, 255))
def test_modified_cursor_is_rejected(index, byte):
    raw = bytearray(CursorWriter(CURSOR, KEY).write(17))
    index %= len(raw)
    if raw[index] != byte:
        raw[index] = byte
        assert read_cursor(raw.decode("latin-1"), [KEY]) is None


@given(st.text(max_size=60))
def test_arbitrary_text_is_rejected(text):
    assert read_cursor(text, [KEY]) is None


def test_keys_contain_their_timestamp():
    key = new_key(NOW)
    assert abs(key_time(key) - NOW) < timedelta(milliseconds=1)
    assert day_partition(key) == "2026-12-04"
    assert len({new_key(NOW) for _ in range(100)}) == 100


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        ("", KEY_REQUIRED),
        ("x", BAD_REQUEST),
        ("8c0a4f0e-5b5e-4b0e-9d5e-3b6c7f8a9b0c", BAD_REQUEST),
        (new_key(NOW + timedelta(hours=1)), BAD_REQUEST),
        (new_key(NOW - timedelta(hours=25)), KEY_EXPIRED),
        (new_key(NOW - timedelta(hours=23)), None),
    ],
)
def test_keys_are_valid_within_repeat_window(key, reason):
    failure = check_key(key, NOW, timedelta(hours=24))
    assert (failure.reason if failure else None) is reason
