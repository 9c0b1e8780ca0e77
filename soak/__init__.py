"""Soak test: router processes under traffic, random faults, and correctness checks."""
