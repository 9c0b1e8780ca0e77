"""Rows of the table of entries that other programs wrote."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachioreach.clock import SystemClock
from pistachioreach.configuration.row import Member
from pistachioreach.errors import ConnectionFailed
from pistachioreach.knowledge.hierarchy import arrange
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from pistachioreach.peers.connection import TcpPeerClient
from pistachioreach.peers.wire import Frame
from pistachioreach.platform.store import StoredRow
from tests.json_documents import json_values
from tests.platform_builders import member_document

OWN = Member("entry-1", "127.0.0.1:1", "anta", "", 0.0)
#: Fields that no entry writes.
WRONG_FIELDS = [
    {"failure_domain": []},
    {"failure_domain": {"a": 1}},
    {"failure_domain": None},
    {"address": None},
    {"address": 7},
    {"address": "x"},
    {"address": "10.0.0.1"},
    {"address": "10.0.0.1:99999"},
    {"address": "fe80::1%\u00e9:80"},
    {"name": "entry-8"},
    {"name": None},
    {"incarnation": []},
    {"joined": "today"},
]


def view_of(raw):
    """Return a view with a sound entry and a row with the given bytes."""
    view = PlatformView(SystemClock(), poll_schedules(2.0, 2.0))
    sound = msgspec.json.encode(member_document(name="entry-2"))
    view.entry_rows.apply_row(StoredRow("entry-2", 1, sound))
    view.entry_rows.apply_row(StoredRow("entry-9", 2, raw))
    return view


@pytest.mark.parametrize("fields", WRONG_FIELDS)
def test_row_of_an_entry_with_a_wrong_field_is_skipped(fields):
    # Guards against a row that raises in each entry's messages to the others.
    view = view_of(msgspec.json.encode(member_document(**fields)))
    assert list(view.members) == ["entry-2"]


def test_row_of_an_entry_with_a_field_of_a_later_release_is_read():
    view = view_of(msgspec.json.encode(member_document(speaks=[1, 2])))
    assert view.members["entry-9"] == Member(**member_document())


@given(
    st.dictionaries(st.sampled_from(sorted(member_document())), json_values)
    | json_values
)
def test_arbitrary_row_of_an_entry_leaves_the_others_in_use(value):
    if isinstance(value, dict):
        value = member_document() | value
    view = view_of(msgspec.json.encode(value))
    assert arrange(OWN, view.members, frozenset()).heads[0] == "entry-2"


@pytest.mark.parametrize("address", ["x", "", "10.0.0.1:99999", "fe80::1%\u00e9:80"])
async def test_entry_whose_address_cannot_be_used_is_unreachable(address):
    client = TcpPeerClient((b"k" * 16,))
    member = Member("entry-9", address, "anta", "", 0.0)
    with pytest.raises(ConnectionFailed):
        await client.request(member, Frame("entry-1", "run", 1, "relay"))
