"""Stub targets and a demonstration fleet on loopback."""
