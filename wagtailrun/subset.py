"""Stable subsets of targets by rendezvous hashing."""

from collections.abc import Sequence

import xxhash

__all__ = ["choose_subset", "rendezvous_rank"]


def rendezvous_rank(entry: str, name: str) -> int:
    """Return the weight of a pair; independent for each pair."""
    seed = xxhash.xxh3_64_intdigest(entry.encode())
    return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)


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
    seeds = [xxhash.xxh3_64_intdigest(other.encode()) for other in entries]
    own_seed = xxhash.xxh3_64_intdigest(entry.encode())
    return frozenset(
        name for name in names if _chosen(name, own_seed, seeds, entries_per_target)
    )


def _chosen(name: str, own_seed: int, seeds: list[int], count: int) -> bool:
    data = name.encode()
    own = xxhash.xxh3_64_intdigest(data, seed=own_seed)
    higher = sum(xxhash.xxh3_64_intdigest(data, seed=seed) > own for seed in seeds)
    return higher < count
