"""Operators: applying manifests, status, explanations."""

from __future__ import annotations
