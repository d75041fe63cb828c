"""Tells errors for lack of resources of this process from faults of its peers."""

import errno

__all__ = [
    "SHORTAGE_PAUSE_MS",
    "SHORTAGE_RETRY_MS",
    "is_shortage",
    "is_shortage_for_one",
]

# Descriptors of the process and of the VM, buffers and memory of the kernel.
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# No local port is free for one remote address; other addresses have their own.
SHORTAGES_FOR_ONE = frozenset({errno.EADDRNOTAVAIL})
# Delay before a request comes again that was refused for lack of resources. Those that
# are under way end, and so free descriptors, within a second or two.
SHORTAGE_RETRY_MS = 1_000
# Pause of what cannot be refused any more, such as a stream that has begun.
SHORTAGE_PAUSE_MS = 50


def is_shortage(error: BaseException | None) -> bool:
    """Return whether an error says that this process, or its VM, lacks something."""
    is_for_all = isinstance(error, OSError) and error.errno in SHORTAGES
    return is_for_all or is_shortage_for_one(error)


def is_shortage_for_one(error: BaseException | None) -> bool:
    """Return whether it lacks it for the connections to one address only."""
    return isinstance(error, OSError) and error.errno in SHORTAGES_FOR_ONE
