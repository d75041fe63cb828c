"""Implementations of the ports with sockets and files."""
