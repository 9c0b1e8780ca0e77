"""Strict decoding and canonical encoding of manifests."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, get_args, get_origin, get_type_hints

import msgspec

from pistachioreach.decoding import MALFORMED_JSON_ERRORS
from pistachioreach.errors import ManifestError
from pistachioreach.manifest.document import ManifestDocument
from pistachioreach.manifest.references import check_references

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["decode_manifest", "decode_verified_manifest", "encode_manifest"]

#: Largest size of a manifest; 2,700 workspaces and 2,500 endpoints take 1 MB.
MAX_MANIFEST_BYTES = 16 * 1024 * 1024


def decode_manifest(raw: bytes) -> ManifestDocument:
    """Decode and check a manifest.

    Args:
        raw: The manifest as JSON.

    Returns:
        The manifest; every field and every reference is valid.

    Raises:
        ManifestError: The manifest is too large, malformed or inconsistent, has an
            unknown field, or refers to something that it does not declare.
    """
    if len(raw) > MAX_MANIFEST_BYTES:
        raise ManifestError("$", f"{len(raw)} bytes, over {MAX_MANIFEST_BYTES}")
    try:
        manifest = msgspec.json.decode(raw, type=ManifestDocument)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at ")
        raise ManifestError(path.strip("`") or "$", problem) from error
    except MALFORMED_JSON_ERRORS as error:
        raise ManifestError("$", f"not JSON: {error}") from error
    for path in unknown_fields(msgspec.json.decode(raw), ManifestDocument, "$"):
        raise ManifestError(path, "unknown field")
    check_references(manifest)
    return manifest


def decode_verified_manifest(raw: bytes) -> ManifestDocument:
    """Decode a manifest whose digest is verified, without checking references again.

    The entry that proposed the manifest has checked the references and refused unknown
    fields.

    Args:
        raw: The manifest as canonical JSON.

    Raises:
        ManifestError: The fields are invalid, because another release with other
            fields wrote the manifest.
    """
    try:
        return msgspec.json.decode(raw, type=ManifestDocument)
    except MALFORMED_JSON_ERRORS as error:
        raise ManifestError("$", str(error)) from error


def encode_manifest(manifest: ManifestDocument) -> bytes:
    """Return the canonical JSON of a manifest; equal manifests give equal bytes."""
    return msgspec.json.encode(manifest, order="deterministic")


@functools.cache
def field_types(document_type: type) -> dict[str, Any]:
    """Return the type of each field of a `TypedDict` class."""
    return get_type_hints(document_type)


def unknown_fields(value: Any, expected: Any, path: str) -> Iterator[str]:
    """Yield the path of each field that is not declared in the expected type.

    Args:
        value: Decoded JSON that msgspec has validated against `expected`.
        expected: A `TypedDict` class, a list type, or the type of a scalar.
        path: Path of `value` in the manifest.
    """
    if get_origin(expected) is list:
        (item_type,) = get_args(expected)
        for index, item in enumerate(value):
            yield from unknown_fields(item, item_type, f"{path}[{index}]")
        return
    if not (isinstance(expected, type) and hasattr(expected, "__total__")):
        return
    fields = field_types(expected)
    for name, item in value.items():
        if name not in fields:
            yield f"{path}.{name}"
        else:
            yield from unknown_fields(item, fields[name], f"{path}.{name}")
