"""Replicated log of the control members: Raft, its journal and its members."""

__all__ = [
    "host",
    "journal",
    "local_log",
    "member",
    "operator_founding",
    "state",
    "timing",
]
