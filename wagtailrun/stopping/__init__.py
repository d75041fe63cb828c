"""Planned stop of a daemon."""

__all__ = ["signalled_drain", "signals"]
