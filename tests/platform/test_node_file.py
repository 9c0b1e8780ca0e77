"""Decoding of the node file."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachioreach.errors import SettingsError
from pistachioreach.platform.node_file import decode_node_file, read_node_file


def document():
    return {
        "node-name": "edge-anta-1",
        "zone": "anta",
        "listen": {
            "front": "10.1.0.1:1",
            "ready": "10.1.0.1:2",
            "control": "10.1.0.1:3",
        },
        "seeds": ["10.2.0.1:3", 7],
        "limits": {"memory-mb": 300, "max-fds": 4200},
        "platform": {"address": "10.200.1.7:8223"},
        "bounds": {
            "drain-ms": 2000,
            "grace-s": 8,
            "config-apply-ms": 2000,
            "retry-ratio": 0.2,
            "retry-window-s": 10,
            "retry-slack": 198,
            "stall_ms": 2500,
        },
        "a-field-of-next-year": {"x": 1},
    }


def test_fields_are_decoded_and_unknown_fields_ignored():
    settings = decode_node_file(msgspec.json.encode(document()))
    assert settings.name == "edge-anta-1"
    assert settings.drain == 2.0
    assert settings.max_descriptors == 4000
    assert settings.seeds == ("10.2.0.1:3",)


@pytest.mark.parametrize(
    "path", ["node-name", "listen.ready", "bounds.stall_ms", "platform.address"]
)
def test_the_error_names_a_missing_field(path):
    broken = document()
    *parents, name = path.split(".")
    enclosing = broken
    for parent in parents:
        enclosing = enclosing[parent]
    del enclosing[name]
    with pytest.raises(SettingsError, match=path):
        decode_node_file(msgspec.json.encode(broken))


def test_the_error_names_a_field_of_the_wrong_type():
    broken = document() | {"zone": 7}
    with pytest.raises(SettingsError, match="zone.*expected str"):
        decode_node_file(msgspec.json.encode(broken))


@pytest.mark.parametrize("value", [10**400, -1, "8", True])
def test_the_error_names_a_number_out_of_range(value):
    broken = document()
    broken["bounds"] |= {"grace-s": value}
    with pytest.raises(SettingsError, match="bounds.grace-s"):
        decode_node_file(msgspec.json.encode(broken))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_a_settings_error(raw):
    with pytest.raises(SettingsError):
        decode_node_file(raw)


def test_a_missing_environment_variable_is_a_settings_error(monkeypatch):
    monkeypatch.delenv("PISTACHIOREACH_NODE_FILE", raising=False)
    with pytest.raises(SettingsError, match="PISTACHIOREACH_NODE_FILE"):
        read_node_file()
