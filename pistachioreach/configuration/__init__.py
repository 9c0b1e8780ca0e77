"""The replicated configuration: its current version, its changes and its roster."""

from __future__ import annotations

from pistachioreach.configuration.active import Configuration, index_manifest

__all__ = ["Configuration", "index_manifest"]
