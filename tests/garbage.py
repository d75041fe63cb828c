"""Keeps collections of the test run's own objects out of what a test measures."""

import gc
from contextlib import contextmanager


@contextmanager
def only_new_objects():
    """Let the garbage collector look only at objects that are made meanwhile.

    A full collection of what the modules of the whole suite hold takes over 100 ms of
    the thread that it happens in, and no process of the product holds these objects.
    """
    # Otherwise the garbage of earlier tests would be kept as old objects.
    gc.collect(1)
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
