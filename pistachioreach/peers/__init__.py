"""Communication between entries: authenticated frames over TCP."""

from __future__ import annotations
