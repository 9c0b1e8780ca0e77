"""JSON Schema of the manifest."""

from __future__ import annotations

from typing import Any

import msgspec

from pistachioreach.manifest.document import ManifestDocument

__all__ = ["manifest_schema"]


def manifest_schema() -> dict[str, Any]:
    """Return the JSON Schema that is published as `docs/manifest.schema.json`."""
    schema = msgspec.json.schema(ManifestDocument)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    for definition in schema["$defs"].values():
        definition["additionalProperties"] = False
    return schema
