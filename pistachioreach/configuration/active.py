"""The configuration in force at one entry, with its look-ups."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from pistachioreach.manifest import (
        CallDocument,
        ManifestDocument,
        ServiceDocument,
        WorkspaceDocument,
    )

__all__ = ["Configuration", "index_manifest"]


class Configuration(NamedTuple):
    """A manifest, indexed.

    Attributes:
        version: Number of the change that put it in force; only ever rises.
        digest: SHA-256 of the manifest.
        manifest: The manifest.
        workspaces: Workspaces by name.
        services: Services by name.
    """

    version: int
    digest: str
    manifest: ManifestDocument
    workspaces: dict[str, WorkspaceDocument]
    services: dict[str, ServiceDocument]

    def authenticate(self, name: str, credential: str) -> WorkspaceDocument | None:
        """Return a workspace if the credential is one of its own."""
        workspace = self.workspaces.get(name)
        digest = hashlib.sha256(credential.encode()).hexdigest()
        if workspace is None or digest not in workspace["credential_digests"]:
            return None
        return workspace

    def find_call(self, service: str, name: str) -> CallDocument | None:
        """Return a call of a service."""
        found = self.services.get(service)
        if found is None:
            return None
        calls = {call["name"]: call for call in found["calls"]}
        return calls.get(name)


def index_manifest(
    version: int, digest: str, manifest: ManifestDocument
) -> Configuration:
    """Return a manifest with its look-ups."""
    return Configuration(
        version,
        digest,
        manifest,
        {workspace["name"]: workspace for workspace in manifest["workspaces"]},
        {service["name"]: service for service in manifest["services"]},
    )
