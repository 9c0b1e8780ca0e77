"""Decoding of what engines answer at the product's own interface."""

import msgspec
import pytest

from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.endpoints.engine import decode_body, read_batches
from pistachioreach.endpoints.wire import (
    TOKEN_PREFIX,
    BrokenStream,
    LoadReport,
    StreamState,
    parse_events,
)
from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.platform.wire import Row
from pistachioreach.platform.wire import decode_body as decode_table_body
from tests.builders import token_event
from tests.platform_builders import ScriptedResponse

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


@pytest.mark.parametrize("kind", REPORTS)
def test_deeply_nested_json_of_an_engine_is_a_failed_connection(kind):
    # Guards against bytes of an engine that end the process that reads them.
    response = HttpResponse(200, {}, b'{"more": ' + b"[" * 100_000)
    with pytest.raises(ConnectionFailed):
        decode_body("engine-1", response, kind)


async def test_deeply_nested_json_in_a_stream_breaks_it():
    response = ScriptedResponse(TOKEN_PREFIX + b'{"more": ' + b"[" * 100_000 + b"\n\n")
    batches = [batch async for batch in read_batches("engine-1", response)]
    assert [type(event) for batch in batches for event in batch] == [BrokenStream]


def test_deeply_nested_json_of_the_platform_is_an_outage():
    with pytest.raises(StoreUnavailable):
        decode_table_body(b'{"more": ' + b"[" * 100_000, Row)


def test_wrong_number_in_an_event_is_a_decode_error():
    event = msgspec.json.encode(token_event(position=10**400))
    with pytest.raises(msgspec.DecodeError):
        parse_events(b"event: token\ndata: " + event)
