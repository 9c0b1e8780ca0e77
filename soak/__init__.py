"""A randomized soak: real routers as processes, faults from outside, and checks."""
