"""Clients and wire formats of the platform that hosts the router."""

from __future__ import annotations
