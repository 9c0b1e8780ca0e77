"""Callers: HTTP with JSON and server-sent events."""

from __future__ import annotations
