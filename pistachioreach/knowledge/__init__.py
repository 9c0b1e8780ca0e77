"""One router process's view of the platform: the configuration and the endpoints."""

from __future__ import annotations
