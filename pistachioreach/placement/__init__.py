"""Placement of model layers on engines, and the orders that apply it."""

from __future__ import annotations
