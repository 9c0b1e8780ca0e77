"""Routing decisions: endpoint choice, admission, retries and failure detection."""

from __future__ import annotations
