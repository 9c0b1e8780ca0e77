"""Command-line programs: flag parsing and the `main` function of each."""

from __future__ import annotations
