"""Benchmarks and simulations, which are not part of the installed package."""
