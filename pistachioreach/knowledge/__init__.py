"""What an entry knows of the platform: the configuration and the endpoints."""

from __future__ import annotations
