"""Measurements, run with `python -m bench`."""
