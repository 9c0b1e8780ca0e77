"""Every long measurement, one after the other; `make bench` runs it.

Each can be run alone, as `python -m bench.recovery`.
"""

from __future__ import annotations

from bench import (
    concert,
    decisions,
    fence_model,
    loopback,
    pairs,
    recovery,
    routing,
    token_cost,
)

__all__ = ["main"]

#: The measurements, in the order in which they run.
MEASUREMENTS = (
    decisions,
    token_cost,
    concert,
    recovery,
    pairs,
    loopback,
    routing,
    fence_model,
)


def main() -> int:
    """Run all; the exit status is 1 if one of them missed its bounds."""
    missed = 0
    for measurement in MEASUREMENTS:
        print(f"== {measurement.__name__}", flush=True)
        missed += bool(measurement.main())
    return 1 if missed else 0


if __name__ == "__main__":
    raise SystemExit(main())
