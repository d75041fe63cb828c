"""What may be sent to each target, and which targets are to be spared."""

__all__ = [
    "crash_detector",
    "notices",
    "send_grants",
    "silence",
]
