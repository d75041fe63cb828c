"""Implementations of the ports on the operating system."""
