"""Stand-ins for the platform and its endpoints, for tests, the demo and the soak."""

from __future__ import annotations
