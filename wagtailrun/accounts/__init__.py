"""Counts of requests, refusals and costs, and their files."""

__all__ = [
    "cells",
    "counters",
    "lines",
    "messages",
    "periods",
    "store",
]
