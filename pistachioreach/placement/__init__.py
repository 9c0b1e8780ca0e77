"""Placement: which layers each engine holds, and the orders that make it so."""

from __future__ import annotations
