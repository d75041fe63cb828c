"""Planned stop of a daemon."""

__all__ = ["signals"]
