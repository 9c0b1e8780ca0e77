"""Applying the delta between two manifests gives the second one."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioreach.manifest import encode_manifest
from pistachioreach.manifest.delta import apply_delta, make_delta
from tests.builders import PORTS, demo_manifest

WORKSPACE_NAMES = st.lists(
    st.sampled_from(["crews", "boards", "silt", "plans"]), unique=True, max_size=4
)


@st.composite
def manifests(draw):
    manifest = demo_manifest(
        ports=PORTS, replicas=draw(st.integers(1, 3)), workspaces=draw(WORKSPACE_NAMES)
    )
    manifest["build"] = draw(st.integers(1, 9))
    for workspace in manifest["workspaces"]:
        workspace["weight"] = draw(st.integers(1, 3))
    return manifest


@settings(max_examples=100, deadline=None)
@given(manifests(), manifests())
def test_applied_delta_gives_the_new_manifest(old, new):
    old_before = encode_manifest(old)
    result = apply_delta(old, make_delta(old, new))
    assert encode_manifest(result) == encode_manifest(new)
    assert encode_manifest(old) == old_before


def test_delta_contains_only_the_changed_item():
    old = demo_manifest(ports=PORTS)
    new = demo_manifest(ports=PORTS)
    new["workspaces"][0]["weight"] = 7
    delta = make_delta(old, new)
    assert delta["fields"] == {}
    assert [item["name"] for item in delta["items"]["workspaces"]] == ["crews"]
    assert delta["order"] == {}
