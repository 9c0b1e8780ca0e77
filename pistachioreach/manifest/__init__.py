"""Manifest: the configuration that operators apply; its types, decoding and checks."""

from __future__ import annotations

from pistachioreach.manifest.decode import (
    decode_manifest,
    decode_verified_manifest,
    encode_manifest,
)
from pistachioreach.manifest.document import (
    CallDocument,
    DeadlinesDocument,
    EndpointDocument,
    ManifestDocument,
    ModelDocument,
    RetriesDocument,
    ServiceDocument,
    ServiceEndpointDocument,
    WorkspaceDocument,
)
from pistachioreach.manifest.schema import manifest_schema

__all__ = [
    "CallDocument",
    "DeadlinesDocument",
    "EndpointDocument",
    "ManifestDocument",
    "ModelDocument",
    "RetriesDocument",
    "ServiceDocument",
    "ServiceEndpointDocument",
    "WorkspaceDocument",
    "decode_manifest",
    "decode_verified_manifest",
    "encode_manifest",
    "manifest_schema",
]
