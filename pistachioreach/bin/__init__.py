"""Programs: thin mains."""

from __future__ import annotations
