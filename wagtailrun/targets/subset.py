"""Stable subsets of targets by rendezvous hashing."""

from collections.abc import Sequence

import xxhash

__all__ = ["choose_subset", "rendezvous_rank"]


def rendezvous_rank(entry: str, name: str) -> int:
    """Return the rendezvous rank of an entry and a target; higher ranks are chosen."""
    seed = xxhash.xxh3_64_intdigest(entry.encode())
    return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)


def choose_subset(
    names: Sequence[str], entry: str, entries: Sequence[str], size: int
) -> frozenset[str]:
    """Return the targets that ``entry`` uses.

    If the entries are known, each target is used by its highest-ranked entries, so that
    all targets have the same number of entries. Adding or removing a target or entry
    then changes only its own pairs. If not, ``entry`` uses its highest-ranked targets.

    Args:
        names: Names of the targets.
        entry: Name of this entry.
        entries: Names of all live entries, or empty if they are not known.
        size: Desired number of targets; with fewer targets all are used.
    """
    if len(names) <= size:
        return frozenset(names)
    if entry not in entries:
        ranked = sorted(names, key=lambda name: rendezvous_rank(entry, name))
        return frozenset(ranked[-size:])
    # Rounded up, so that every target is used by at least one entry.
    entries_per_target = -(-size * len(entries) // len(names))
    seeds = [xxhash.xxh3_64_intdigest(other.encode()) for other in entries]
    own_seed = xxhash.xxh3_64_intdigest(entry.encode())
    return frozenset(
        name for name in names if _is_chosen(name, own_seed, seeds, entries_per_target)
    )


def _is_chosen(name: str, own_seed: int, seeds: list[int], count: int) -> bool:
    data = name.encode()
    own = xxhash.xxh3_64_intdigest(data, seed=own_seed)
    higher = sum(xxhash.xxh3_64_intdigest(data, seed=seed) > own for seed in seeds)
    return higher < count
