"""Communication between the entries, that is the router processes, over TCP."""

from __future__ import annotations
