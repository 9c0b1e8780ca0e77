"""Requests from admission to their outcome."""

from __future__ import annotations
