"""Tests of the subsets of targets that entries use."""

from collections import Counter

from wagtailrun.targets.subset import choose_subset

NAMES = [f"target-{number}" for number in range(250)]
ENTRIES = [f"entry-{number}" for number in range(54)]


def subsets(names, entries):
    return {entry: choose_subset(names, entry, entries, 20) for entry in entries}


def test_every_target_has_the_same_number_of_entries():
    """Guards against targets that are used by no entry or by too many."""
    chosen = subsets(NAMES, ENTRIES)
    counts = Counter(name for subset in chosen.values() for name in subset)
    assert set(counts.values()) == {5}
    assert set(counts) == set(NAMES)


def test_one_target_less_moves_only_its_own_pairs():
    """Guards against caches and connections that are lost at each change."""
    before, after = subsets(NAMES, ENTRIES), subsets(NAMES[1:], ENTRIES)
    moved = sum(len(before[entry] - after[entry] - {NAMES[0]}) for entry in ENTRIES)
    assert moved == 0


def test_without_entries_the_subset_is_bounded_and_stable():
    """Guards against an unbounded subset while the entries are not known."""
    first = choose_subset(NAMES, "entry-0", (), 20)
    second = choose_subset(NAMES[1:], "entry-0", (), 20)
    assert len(first) == 20
    assert len(first - second) <= 1
    assert choose_subset(NAMES[:5], "entry-0", (), 20) == frozenset(NAMES[:5])
