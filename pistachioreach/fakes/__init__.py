"""Fakes of the systems that the router depends on, with fault injection."""

from __future__ import annotations
