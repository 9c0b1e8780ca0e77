"""Operators' interface to entries: manifests, status, decisions, request timelines.

An entry is one router process of the deployment.
"""

from __future__ import annotations
