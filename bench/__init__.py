"""Benchmark scripts; each has ``run() -> list[dict]``."""
