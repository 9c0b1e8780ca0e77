"""Other entries: frames over TCP, authenticated by a shared key."""

from __future__ import annotations
