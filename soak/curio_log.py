"""What curio logs that is no error of the soak."""

import logging

__all__ = ["ignore_late_ends"]


def ignore_late_ends() -> None:
    """Leave out the warnings of operations that end just after their time limit."""
    logging.getLogger("curio.time").setLevel(logging.ERROR)
