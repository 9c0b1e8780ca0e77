"""Router for model pipelines over mixed accelerators and for plain services."""

from __future__ import annotations

__all__ = ["__version__"]

#: Version of the package; the flag `--version` prints it.
__version__ = "0.1.0"
