"""Decoding of what engines answer at the product's own interface."""

import msgspec
import pytest

from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.endpoints.engine import decode_body
from pistachioreach.endpoints.wire import LoadReport, StreamState, parse_events
from pistachioreach.errors import ConnectionFailed
from tests.builders import token_event

REPORTS = {
    LoadReport: {"running": 1, "waiting": 0, "leaving": False},
    StreamState: {"received": 1, "produced": 1, "ended": False, "waiting": False},
}


@pytest.mark.parametrize("value", [10**400, -1])
@pytest.mark.parametrize("kind", REPORTS)
def test_wrong_number_in_an_engines_report_is_a_failed_connection(kind, value):
    # Guards against numbers that raise only when a chain is planned with them.
    for name in REPORTS[kind]:
        document = REPORTS[kind] | {name: value}
        response = HttpResponse(200, {}, msgspec.json.encode(document))
        with pytest.raises(ConnectionFailed):
            decode_body("engine-1", response, kind)


def test_wrong_number_in_an_event_is_a_decode_error():
    event = msgspec.json.encode(token_event(position=10**400))
    with pytest.raises(msgspec.DecodeError):
        parse_events(b"event: token\ndata: " + event)
