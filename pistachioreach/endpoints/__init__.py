"""Endpoints: model engines that hold layer ranges, and plain services."""

from __future__ import annotations
