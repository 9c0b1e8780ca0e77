"""The platform: table service, object store and VM list."""

from __future__ import annotations
