"""Measurements and experiments; not part of the installed package."""
