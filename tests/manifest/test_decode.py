"""Strict decoding of manifests, the published examples and the JSON Schema."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.examples import DEPLOYMENTS, build_example
from pistachioreach.errors import ManifestError
from pistachioreach.manifest import (
    decode_manifest,
    encode_manifest,
    manifest_schema,
)
from tests.builders import PORTS, demo_manifest

ROOT = Path(__file__).parents[2]


def manifest_json(change=lambda manifest: None):
    manifest = json.loads(encode_manifest(demo_manifest(ports=PORTS)))
    change(manifest)
    return json.dumps(manifest).encode()


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda d: d.name)
def test_examples_are_valid_and_up_to_date(deployment):
    raw = (ROOT / "examples" / f"{deployment.name}.json").read_bytes()
    manifest = decode_manifest(raw)
    assert manifest == build_example(deployment)
    assert len(manifest["endpoints"]) == 30
    assert len(manifest["workspaces"]) == 10
    assert len(manifest["services"][0]["endpoints"]) == 3


def test_published_schema_is_up_to_date():
    published = json.loads((ROOT / "docs" / "manifest.schema.json").read_text())
    assert published == json.loads(json.dumps(manifest_schema()))


@pytest.mark.parametrize(
    ("change", "path", "problem"),
    [
        (lambda m: m.update(colour=1), "$.colour", "unknown field"),
        (
            lambda m: m["endpoints"][2].update(size=1),
            "$.endpoints[2].size",
            "unknown field",
        ),
        (lambda m: m.pop("build"), "$", "missing required field `build`"),
        (lambda m: m.update(build=0), "$.build", "Expected `int` >= 1"),
        (
            lambda m: m["models"][0].update(layers=10**12),
            "$.models[0].layers",
            "Expected `int` <= 100000",
        ),
        (
            lambda m: m["endpoints"][1].update(model="other"),
            "$.endpoints[1].model",
            "model 'other' is not declared",
        ),
        (
            lambda m: m["endpoints"][1].update(failure_domain="moon"),
            "$.endpoints[1].failure_domain",
            "failure domain 'moon' is not declared",
        ),
        (
            lambda m: m["endpoints"][1].update(last_layer=25),
            "$.endpoints[1].last_layer",
            "not a range within 0 to 24",
        ),
        (
            lambda m: m.update(endpoints=m["endpoints"][3:]),
            "$.models[0]",
            "layer 0 of 'clearance' is on no endpoint",
        ),
        (
            lambda m: m["workspaces"].append(m["workspaces"][0]),
            "$.workspaces[2]",
            "name 'crews' is not unique",
        ),
        (
            lambda m: m["workspaces"][0].update(services=["mail"]),
            "$.workspaces[0].services[0]",
            "service 'mail' is not declared",
        ),
        (
            lambda m: m["services"][0]["endpoints"][0].update(name="stage-0-0"),
            "$.services[0].endpoints",
            "name 'stage-0-0' is not unique",
        ),
        (
            lambda m: m["deadlines"].update(default_ms=700_000),
            "$.deadlines.default_ms",
            "is over max_ms",
        ),
    ],
)
def test_error_states_path_and_problem(change, path, problem):
    with pytest.raises(ManifestError) as caught:
        decode_manifest(manifest_json(change))
    assert caught.value.path.startswith(path)
    assert problem in str(caught.value)


def test_encoding_is_canonical():
    manifest = decode_manifest(manifest_json())
    reordered = dict(reversed(manifest.items()))
    assert encode_manifest(manifest) == encode_manifest(reordered)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_random_input_is_refused_with_a_manifest_error(raw):
    with pytest.raises(ManifestError):
        decode_manifest(raw)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=6,
)


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_manifest_with_one_random_value_is_decoded_unchanged_or_refused(data):
    manifest = json.loads(manifest_json())
    container = manifest
    while True:
        keys = list(container) if isinstance(container, dict) else range(len(container))
        key = data.draw(st.sampled_from(keys))
        if not isinstance(container[key], dict | list) or data.draw(st.booleans()):
            break
        if not container[key]:
            break
        container = container[key]
    container[key] = data.draw(JSON_VALUES)
    try:
        decoded = decode_manifest(json.dumps(manifest).encode())
    except ManifestError as error:
        assert error.path.startswith("$")
    else:
        assert decoded == manifest
