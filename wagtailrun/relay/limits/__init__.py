"""What may be sent to each target, and which targets are to be spared."""

__all__ = [
    "cold_grants",
    "crash_detector",
    "notices",
    "send_grants",
]
