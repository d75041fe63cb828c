"""Randomized soak: planned work and faults by seed, promises checked from outside."""
