"""Stub targets and a demonstration on loopback."""
