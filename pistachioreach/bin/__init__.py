"""Command-line programs: each parses its flags and calls the other packages."""

from __future__ import annotations
