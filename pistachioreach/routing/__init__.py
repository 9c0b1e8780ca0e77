"""Decisions on routing: which chain, which endpoint, when, and whether at all."""

from __future__ import annotations
