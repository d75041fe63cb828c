"""Replay of recorded traces in virtual time."""

__all__ = [
    "emulated_connection",
    "emulated_target",
    "emulator",
    "player",
    "report",
    "trace_lines",
]
