"""Keeps the objects of a daemon's start out of later garbage collections."""

import gc

__all__ = ["freeze_start_objects"]


def freeze_start_objects() -> None:
    """Exempt all objects that exist now from garbage collection.

    Modules and classes are most objects of a daemon and live until it ends. A full
    collection that looks at them holds the event loop for over 20 ms.
    """
    # Garbage would be kept forever.
    gc.collect()
    gc.freeze()
    # Daemons import their modules without collections.
    gc.enable()
