"""Operators' interface: applying manifests, status, decisions, request timelines."""

from __future__ import annotations
