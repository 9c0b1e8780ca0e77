"""Clients, registrations and health of endpoints: engines and plain services."""

from __future__ import annotations
