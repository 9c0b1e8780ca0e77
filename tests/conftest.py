"""Fixtures of all tests."""

from __future__ import annotations

from loguru import logger

logger.remove()
