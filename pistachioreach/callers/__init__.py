"""HTTP interface for callers: JSON bodies and server-sent events."""

from __future__ import annotations
