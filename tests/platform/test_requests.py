"""Translation of header sections between callers, router and endpoints."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachioreach.decoding import LARGEST_INTEGER
from pistachioreach.platform.requests import (
    chain_header,
    decode_request,
    decode_response,
    endpoint_headers,
)
from tests.platform_builders import caller_fields


def request(method="POST", **fields):
    return decode_request(method, b"/plans/x?y=1", caller_fields(**fields))


def test_a_generation_request_is_decoded():
    decoded = request(
        token_usage="1460,80",
        length_hint="33",
        prefix_hash="5c1e07a2:800,91bd3f06:410",
        last_event_id="12",
    )
    assert decoded.api_key == "key-1"
    assert decoded.wait_seconds == 20.0
    assert decoded.last_event == 12
    assert decoded.size[:3] == (1460, 80, 33)
    assert decoded.size.prompt_parts[1] == ("91bd3f06", 410)
    assert decoded.path == "/plans/x"


def test_an_endpoint_gets_the_workspace_and_not_the_api_key():
    decoded = request(
        connection="x-hop",
        x_hop="1",
        x_kept="2",
        tenant="someone-else",
        hop_count="10.0.0.1:1=0-80",
        deadline_ms="20000",
    )
    sent = dict(
        endpoint_headers(
            decoded,
            endpoint="i-1",
            workspace="crews",
            seconds=1.5,
            priority=12,
            body=b"abc",
            chain=chain_header([("10.1.0.1:80", 0, 20), ("10.1.0.2:80", 20, 80)]),
            last_event=4,
        )
    )
    assert sent[b"tenant"] == b"crews"
    assert b"authorization" not in sent
    assert b"x-hop" not in sent
    assert sent[b"x-kept"] == b"2"
    assert sent[b"deadline-ms"] == b"1500"
    assert sent[b"request-priority"] == b"9"
    assert sent[b"hop-count"] == b"10.1.0.1:80=0-20,10.1.0.2:80=20-80"
    assert sent[b"last-event-id"] == b"4"
    assert sent[b"content-length"] == b"3"


def test_endpoint_responses_are_decoded():
    full = decode_response(503, [(b"Not-Executed", b"1"), (b"Server-Load", b"6,2,8")])
    assert full.not_run
    assert full.load == 1.0
    assert decode_response(421, [(b"At-Server", b"10.1.0.2:80")]).not_run
    assert (
        decode_response(421, [(b"At-Server", b"10.1.0.2:80")]).failed_address
        == "10.1.0.2:80"
    )
    unknown = decode_response(503, [])
    assert not unknown.not_run
    assert not unknown.signed
    kept = decode_response(200, [(b"Keep-Alive", b"timeout=5, max=3"), (b"X-A", b"1")])
    assert kept.keep_alive_seconds == 5
    assert kept.fields == [(b"x-a", b"1")]


def test_response_with_two_identifiers_belongs_to_neither_request():
    one, other = (b"Attempt-Id", b"r-1"), (b"Attempt-Id", b"r-2")
    both = decode_response(200, [one, other])
    assert both.belongs_to_another("r-1")
    assert both.belongs_to_another("r-2")
    assert not decode_response(200, [one, one]).belongs_to_another("r-1")


field_names = st.sampled_from(
    [
        b"token-usage",
        b"prefix-hash",
        b"deadline-ms",
        b"length-hint",
        b"connection",
        b"last-event-id",
        b"authorization",
        b"host",
        b"keep-alive",
        b"server-load",
    ]
)


@given(st.lists(st.tuples(field_names, st.binary(max_size=20))))
def test_arbitrary_header_fields_do_not_crash_the_decoders(fields):
    decode_request("POST", b"/a", fields)
    decode_response(200, fields)


@pytest.mark.parametrize("digits", [400, 5000])
def test_integers_of_many_digits_are_limited(digits):
    value = b"9" * digits
    fields = [(b"deadline-ms", value), (b"last-event-id", value)]
    fields.append((b"token-usage", value + b"," + value))
    request = decode_request("POST", b"/a", fields)
    assert request.wait_seconds == LARGEST_INTEGER / 1000
    assert request.last_event == request.size.prompt_tokens == LARGEST_INTEGER
    response = decode_response(200, [(b"server-load", b"1,0," + value)])
    assert response.load == 1 / LARGEST_INTEGER
