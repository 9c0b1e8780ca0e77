"""Dispatch of admitted requests to endpoints, with retries and failover."""

from __future__ import annotations
