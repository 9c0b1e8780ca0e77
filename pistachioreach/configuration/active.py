"""The configuration in force at one entry, indexed for look-ups by name."""

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
    """A manifest with indexes of its workspaces and services.

    Attributes:
        version: Version of the configuration that contains the manifest; the
            version in force at an entry never decreases.
        digest: SHA-256 of the manifest.
        manifest: The decoded manifest.
        workspaces: Workspaces by name.
        services: Services by name.
    """

    version: int
    digest: str
    manifest: ManifestDocument
    workspaces: dict[str, WorkspaceDocument]
    services: dict[str, ServiceDocument]

    def authenticate(self, name: str, credential: str) -> WorkspaceDocument | None:
        """Return the named workspace if the credential is valid for it, else None."""
        workspace = self.workspaces.get(name)
        digest = hashlib.sha256(credential.encode()).hexdigest()
        if workspace is None or digest not in workspace["credential_digests"]:
            return None
        return workspace

    def find_call(self, service: str, name: str) -> CallDocument | None:
        """Return the declaration of a call of a service, or None if there is none."""
        document = self.services.get(service)
        if document is None:
            return None
        calls = {call["name"]: call for call in document["calls"]}
        return calls.get(name)


def index_manifest(
    version: int, digest: str, manifest: ManifestDocument
) -> Configuration:
    """Build a configuration by indexing a manifest.

    Args:
        version: Version of the configuration.
        digest: SHA-256 of the manifest.
        manifest: The decoded manifest.
    """
    return Configuration(
        version,
        digest,
        manifest,
        {workspace["name"]: workspace for workspace in manifest["workspaces"]},
        {service["name"]: service for service in manifest["services"]},
    )
