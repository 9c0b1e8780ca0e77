"""Deltas between manifests: a change travels between entries as what it changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from pistachioreach.manifest.document import ManifestDocument

__all__ = ["ManifestDelta", "apply_delta", "make_delta"]

#: Fields of the manifest that are lists of named items.
SECTIONS = ("models", "endpoints", "services", "workspaces")


class ManifestDelta(TypedDict):
    """What changes from one manifest to another.

    Attributes:
        fields: New values of the fields that are not lists of named items.
        items: Changed and added items of each list, with their places.
        order: Names of each list in their new order, where it changed.
    """

    fields: dict[str, Any]
    items: dict[str, list[Any]]
    order: dict[str, list[str]]


def make_delta(old: ManifestDocument, new: ManifestDocument) -> ManifestDelta:
    """Return what turns one manifest into another."""
    delta = ManifestDelta(fields={}, items={}, order={})
    for field, value in new.items():
        if field not in SECTIONS:
            if old[field] != value:
                delta["fields"][field] = value
            continue
        before = {item["name"]: item for item in old[field]}
        changed = [item for item in value if before.get(item["name"]) != item]
        names = [item["name"] for item in value]
        if changed:
            delta["items"][field] = changed
        if names != list(before):
            delta["order"][field] = names
    return delta


def apply_delta(old: ManifestDocument, delta: ManifestDelta) -> ManifestDocument:
    """Return the manifest that a delta leads to.

    Args:
        old: The manifest that the delta was made from; left as it is.
        delta: The delta.

    Raises:
        KeyError: The delta was made from another manifest.
    """
    new: Any = dict(old) | delta["fields"]
    for section in SECTIONS:
        items = {item["name"]: item for item in old[section]}
        items |= {item["name"]: item for item in delta["items"].get(section, [])}
        names = delta["order"].get(section)
        if names is None:
            names = [item["name"] for item in old[section]]
        new[section] = [items[name] for name in names]
    return new
