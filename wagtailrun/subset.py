"""Stable subsets of targets by rendezvous hashing."""

from collections.abc import Sequence

import xxhash

__all__ = ["choose_subset", "rendezvous_rank"]


def rendezvous_rank(one: str, other: str) -> int:
    """Return the weight of a pair; independent for each pair."""
    return xxhash.xxh3_64_intdigest(f"{one}\0{other}")


def choose_subset(
    names: Sequence[str], entry: str, entries: Sequence[str], size: int
) -> frozenset[str]:
    """Return the targets that ``entry`` uses.

    With the entries known, each target chooses its highest-ranked entries, so that all
    targets have the same number of entries; one target or entry more or less moves
    only its own pairs. Otherwise ``entry`` takes its highest-ranked targets.

    Args:
        names: Names of the targets.
        entry: Name of this entry.
        entries: Names of all live entries, or empty.
        size: Wanted number of targets; all are taken when there are no more.
    """
    if len(names) <= size:
        return frozenset(names)
    if entry not in entries:
        ranked = sorted(names, key=lambda name: rendezvous_rank(entry, name))
        return frozenset(ranked[-size:])
    # Rounded up, so that every target has at least one entry.
    entries_per_target = -(-size * len(entries) // len(names))
    return frozenset(
        name for name in names if _chosen(name, entry, entries, entries_per_target)
    )


def _chosen(name: str, entry: str, entries: Sequence[str], count: int) -> bool:
    own = rendezvous_rank(entry, name)
    return sum(rendezvous_rank(other, name) > own for other in entries) < count
