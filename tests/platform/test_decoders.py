"""Decoders of the configuration, registrations and store responses."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachioreach.errors import ConfigurationError, StoreUnavailable
from pistachioreach.platform.configuration import decode_configuration
from pistachioreach.platform.directory import decode_registration
from pistachioreach.platform.engines import read_report
from pistachioreach.platform.standins.deployment import configuration
from pistachioreach.platform.store import StoredRow, decode_snapshot
from pistachioreach.routing.routes import RetryPolicy, find_route, pick_service
from tests.json_documents import json_values
from tests.platform_builders import (
    ScriptedConnections,
    configuration_document,
    engine_document,
    registration_document,
    replace_field,
    route_document,
    route_table,
)


def test_the_longest_prefix_wins():
    routes = route_table(
        routes=[route_document("/a/"), route_document("/a/b/"), route_document("/")]
    )
    assert find_route(routes, "crews.example", "/a/b/c").prefix == "/a/b/"
    assert find_route(routes, "crews.example", "/a/bc").prefix == "/a/"
    assert find_route(routes, "crews.example", "/x").prefix == "/"
    assert find_route(routes, "other.example", "/a/") is None


@pytest.mark.parametrize(
    ("fields", "keeps"),
    [
        ({}, False),
        ({"keeps-prompts": True}, True),
        ({"keeps-prompts": False}, False),
        ({"keeps-prompts": "false"}, False),
    ],
)
def test_engines_keep_prompts_only_where_the_configuration_says_so(fields, keeps):
    services = [{"name": "engines", "engine": engine_document() | fields}]
    assert route_table(services=services).services["engines"].engine.keeps_prompts is (
        keeps
    )


def test_the_kind_of_a_route_decides_how_its_requests_are_retried():
    routes = route_table(
        routes=[
            route_document("/s/"),
            route_document("/t/", resumable=False),
            route_document("/u/", "idempotent"),
            route_document("/v/", "non_idempotent"),
        ]
    )
    kinds = {
        route.prefix: route.retry_policy for route in routes.routes["crews.example"]
    }
    assert kinds == {
        "/s/": RetryPolicy.RESUME,
        "/t/": RetryPolicy.ONCE,
        "/u/": RetryPolicy.ANY,
        "/v/": RetryPolicy.ONCE,
    }


def test_a_split_route_draws_its_service_by_weight():
    import random

    split = [
        {"service": "engines", "weight": 90},
        {"service": "bookings", "weight": 10},
    ]
    routes = route_table(routes=[route_document(split=split, service=None)])
    route = routes.routes["crews.example"][0]
    generator = random.Random(1)
    drawn = [pick_service(route, generator) for _ in range(1000)]
    assert 850 < drawn.count("engines") < 950


def test_unknown_fields_are_ignored_and_missing_fields_are_errors():
    document = configuration_document(new_field=[1, 2])
    assert decode_configuration(msgspec.json.encode(document)).version == 7
    del document["limits"]
    with pytest.raises(ConfigurationError):
        decode_configuration(msgspec.json.encode(document))


@given(json_values)
def test_arbitrary_json_is_not_a_configuration(value):
    raw = msgspec.json.encode(value)
    with pytest.raises(ConfigurationError):
        decode_configuration(raw)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("routes",), [7]),
        (("routes",), [route_document() | {"split": [1]}]),
        (("services",), {"name": "engines"}),
        (("limits",), [1]),
        (("tenants",), [["crews"]]),
        (("version",), 1e300),
        (("limits", "max-body-bytes"), "many"),
        (("services", 0, "engine", "read_per_s"), 0),
        (("services", 0, "engine", "layer-mb"), 0),
        (("services", 0, "engine", "kv-token-bytes"), 0),
        (("services", 0, "engine", "usual"), None),
        (("services", 0, "engine", "models"), [None]),
        (("services", 0, "engine", "layers"), 1.5),
        (("services", 0, "engine", "kinds"), [[]]),
    ],
)
def test_a_field_of_another_type_is_a_configuration_error(path, value):
    document = replace_field(configuration_document(), path, value)
    with pytest.raises(ConfigurationError):
        decode_configuration(msgspec.json.encode(document))


def test_deeply_nested_bytes_are_neither_configuration_nor_registration():
    raw = b'{"version":' + b"[" * 100_000
    with pytest.raises(ConfigurationError):
        decode_configuration(raw)
    assert decode_registration("i-1", raw) is None


@pytest.mark.parametrize("document", [[], 7, None, {"stalled": 1}, {"stalled": [1]}])
async def test_a_report_of_another_type_is_no_report(document):
    connections = ScriptedConnections()
    connections.call_responses["/report"] = (200, document)
    assert await read_report(connections, "i-1", "10.0.0.1:80") is None


#: Values of a number's field that are no valid number.
INVALID_NUMBERS = [
    10**400,
    -(10**400),
    1e300,
    "9" * 400,
    "nan",
    -1,
    True,
    [1],
    {"a": 1},
]


@pytest.mark.parametrize("name", ["seq-no", "kv-used", "kv-total", "pace"])
@pytest.mark.parametrize("value", INVALID_NUMBERS)
async def test_wrong_number_in_a_report_does_not_end_the_process(name, value):
    # Guards against a garbled report that ends each entry that holds the lease.
    report = {"seq-no": 1, "busy": False, "kv-used": 0, "kv-total": 1, "pace": 1.5}
    connections = ScriptedConnections()
    connections.call_responses["/report"] = (200, report)
    assert (await read_report(connections, "i-1", "10.0.0.1:80")).slowdown == 1.5
    connections.call_responses["/report"] = (200, report | {name: value})
    assert await read_report(connections, "i-1", "10.0.0.1:80") is None


@pytest.mark.parametrize("value", INVALID_NUMBERS)
@pytest.mark.parametrize(
    "path", [("slots",), ("born",), *(("layers", n) for n in ("from", "target"))]
)
def test_wrong_number_in_a_registration_is_skipped(path, value):
    document = replace_field(registration_document(), path, value)
    assert decode_registration("i-1", msgspec.json.encode(document)) is None


@pytest.mark.parametrize("value", INVALID_NUMBERS)
@pytest.mark.parametrize(
    "path",
    [
        ("version",),
        ("limits", "max-body-bytes"),
        ("limits", "idle-timeout-ms"),
        ("routes", 0, "timeout-ms"),
        ("routes", 0, "max-attempts"),
        ("tenants", 0, "priority"),
        ("services", 0, "max-conns"),
        ("services", 0, "engine", "layers"),
        ("services", 0, "engine", "kv-token-bytes"),
        ("services", 0, "engine", "read_per_s"),
        ("services", 0, "engine", "kinds", 0, "pace"),
    ],
)
def test_wrong_number_in_a_configuration_is_a_configuration_error(path, value):
    document = replace_field(configuration_document(), path, value)
    with pytest.raises(ConfigurationError):
        decode_configuration(msgspec.json.encode(document))


def test_integer_may_be_written_as_a_float():
    document = configuration_document(version=7.0)
    assert decode_configuration(msgspec.json.encode(document)).version == 7


@pytest.mark.parametrize("value", INVALID_NUMBERS)
@pytest.mark.parametrize("name", ["ver", "now-ms"])
def test_wrong_number_in_a_store_response_is_an_outage(name, value):
    document = {"rows": [], "ver": 9, "now-ms": 1}
    with pytest.raises(StoreUnavailable):
        decode_snapshot(document | {name: value})
    row = {"key": "a", "ver": value, "value": ""}
    with pytest.raises(StoreUnavailable):
        decode_snapshot(document | {"rows": [row]})


@pytest.mark.parametrize(
    "address",
    [
        "h:99999",
        "10.1.0.1:99999",
        "10.1.0.1:0",
        "10.1.0.1:-1",
        ":80",
        "10.1.0.1:\u0662",
        "10.1.0.1:" + "0" * 5000 + "80",
        "10.1.0.1",
    ],
)
def test_a_registration_without_a_valid_port_is_skipped(address):
    raw = msgspec.json.encode(registration_document(address=address))
    assert decode_registration("i-1", raw) is None


@pytest.mark.parametrize(
    "host",
    [
        "h\u00f6st",
        "host",
        "10.1.0.1 ",
        "10.1.0.1\r\nx",
        "10.1.0.1\x00",
        "\ud7ff",
        "fe80::1%\u00e9",
        "fe80::1%eth0",
        "fe80::1%" + "z" * 64,
        "0.0.0.0",
        "::",
        "224.0.0.1",
    ],
)
def test_a_registration_without_an_ip_address_is_skipped(host):
    # Guards against a host that raises in the placer's request and ends the process.
    raw = msgspec.json.encode(registration_document(address=f"{host}:80"))
    assert decode_registration("i-1", raw) is None


@pytest.mark.parametrize("id", ["i-\u00f6", "i-1\r\nx: y", "i 1", "", "i\x7f"])
def test_a_registration_whose_identifier_is_no_header_value_is_skipped(id):
    # Guards against an identifier that raises in a request to its endpoint.
    raw = msgspec.json.encode(registration_document())
    assert decode_registration("i-1", raw) is not None
    assert decode_registration(id, raw) is None


@pytest.mark.parametrize(
    "row",
    [
        {"key": 7, "ver": 3, "value": ""},
        {"key": "a", "ver": "3", "value": ""},
        {"key": "a", "ver": True, "removed": True},
        {"key": "a", "ver": None, "removed": True},
    ],
)
def test_a_row_of_the_store_with_wrong_types_is_an_outage(row):
    with pytest.raises(StoreUnavailable):
        decode_snapshot({"rows": [row], "ver": 9, "now-ms": 1})


@given(
    st.sampled_from(sorted(registration_document())),
    json_values,
)
def test_a_registration_with_an_arbitrary_field_is_decoded_or_skipped(name, value):
    raw = msgspec.json.encode(registration_document(**{name: value}))
    registration = decode_registration("i-1", raw)
    if registration is not None:
        assert registration.slots >= 1
        assert ":" in registration.address


def test_states_layers_and_invalid_registrations():
    def decode(**fields):
        return decode_registration(
            "i-1", msgspec.json.encode(registration_document(**fields))
        )

    assert decode().layers[:2] == (0, 24)
    assert decode(layers={"from": 0, "target": 0, "version": 1}).layers is None
    assert decode(state="draining").leaving
    assert decode(state="asleep") is None
    assert decode(born=1.5) is None
    assert decode_registration("i-1", b"\xff\x00") is None


@given(st.dictionaries(st.sampled_from(["rows", "ver", "now-ms"]), json_values))
def test_an_arbitrary_store_response_is_a_snapshot_or_an_outage(document):
    try:
        decode_snapshot(document)
    except StoreUnavailable:
        pass


def test_row_of_another_part_of_a_table_is_ignored():
    # Guards against a row of another program that removes an endpoint of the same key.
    sound = {"table": "servers", "part": "", "key": "a", "ver": 3, "value": "YQ=="}
    others = [
        {"table": "servers", "part": "x", "key": "a", "ver": 4, "removed": True},
        {"table": "servers", "part": "x", "key": "a", "ver": 5, "value": "Yg=="},
    ]
    snapshot = decode_snapshot({"rows": [sound, *others], "ver": 9, "now-ms": 1})
    assert snapshot.rows == (StoredRow("a", 3, b"a"),)
    assert snapshot.version == 9


@pytest.mark.parametrize("name", [1e308, 5, True, [], None])
def test_workspace_whose_name_is_no_text_is_refused(name):
    # Guards against a configuration by which all requests of a workspace got 500.
    document = configuration()
    document["tenants"][0]["name"] = name
    with pytest.raises(ConfigurationError):
        decode_configuration(msgspec.json.encode(document))
