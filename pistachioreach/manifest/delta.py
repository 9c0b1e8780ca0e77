"""Deltas between manifests, which entries send each other instead of full manifests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from pistachioreach.manifest.document import ManifestDocument

__all__ = ["ManifestDelta", "apply_delta", "make_delta"]

#: Fields of the manifest that are lists of items with a `name`.
SECTIONS = ("models", "endpoints", "services", "workspaces")


class ManifestDelta(TypedDict):
    """Differences between an old and a new manifest.

    Attributes:
        fields: New values of the changed fields that are not in `SECTIONS`.
        items: Changed and added items of each field in `SECTIONS` that has any.
        order: Names of all items in the new order, for each field in `SECTIONS`
            whose names or order changed.
    """

    fields: dict[str, Any]
    items: dict[str, list[Any]]
    order: dict[str, list[str]]


def make_delta(old: ManifestDocument, new: ManifestDocument) -> ManifestDelta:
    """Return the delta that turns one manifest into another.

    Args:
        old: Manifest to which the delta will be applied.
        new: Manifest that results from applying the delta.
    """
    delta = ManifestDelta(fields={}, items={}, order={})
    for field, value in new.items():
        if field not in SECTIONS:
            if old[field] != value:
                delta["fields"][field] = value
            continue
        old_items = {item["name"]: item for item in old[field]}
        changed = [item for item in value if old_items.get(item["name"]) != item]
        names = [item["name"] for item in value]
        if changed:
            delta["items"][field] = changed
        if names != list(old_items):
            delta["order"][field] = names
    return delta


def apply_delta(old: ManifestDocument, delta: ManifestDelta) -> ManifestDocument:
    """Return the manifest that results from applying a delta.

    Args:
        old: Manifest from which the delta was made; not modified.
        delta: Delta from `make_delta`.

    Raises:
        KeyError: The delta refers to an item that `old` does not contain, because
            it was made from another manifest.
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
