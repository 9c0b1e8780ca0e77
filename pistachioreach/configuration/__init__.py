"""The configuration: what is in force, how it changes, and who may admit under it."""

from __future__ import annotations

from pistachioreach.configuration.active import Configuration, index_manifest

__all__ = ["Configuration", "index_manifest"]
