"""Stand-ins of the users' platform, for tests and the demo: store and endpoints."""

from __future__ import annotations
