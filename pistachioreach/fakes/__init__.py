"""Stand-ins of the systems that the router serves, with faults on demand."""

from __future__ import annotations
