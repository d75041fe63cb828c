"""Tests of the prefix index."""

from wagtailrun.targets.affinity import (
    BLOCK_CHARACTERS,
    CacheEvents,
    PrefixIndex,
    prefix_hashes,
)

PROMPT = "a" * BLOCK_CHARACTERS + "b" * BLOCK_CHARACTERS + "c"
HASHES = prefix_hashes(PROMPT)
ADDED = tuple(f"{value:x}" for value in HASHES)


def index_with_prompt():
    index = PrefixIndex()
    index.observe("t", 1, CacheEvents(1, 2, ADDED))
    return index


def test_only_the_leading_run_of_blocks_counts():
    """Guards against a hit on a block whose predecessor was evicted."""
    index = index_with_prompt()
    assert index.cached_share("t", 1, HASHES) == 1.0
    other = prefix_hashes("a" * BLOCK_CHARACTERS + "x" * BLOCK_CHARACTERS)
    assert index.cached_share("t", 1, other) == 0.5
    index.observe("t", 1, CacheEvents(3, 3, (f"-{HASHES[0]:x}",)))
    assert index.cached_share("t", 1, HASHES) == 0.0


def test_gap_clears_the_recorded_prefixes():
    """Guards against routing by blocks whose eviction event was lost."""
    index = index_with_prompt()
    index.observe("t", 1, CacheEvents(5, 5, ("1",)))
    assert index.cached_share("t", 1, HASHES) == 0.0
    assert index.cached_share("t", 1, (1,)) == 1.0


def test_restart_empties_and_old_events_change_nothing():
    """Guards against prefixes of an old incarnation that are assigned to a new one."""
    index = index_with_prompt()
    index.observe("t", 1, CacheEvents(1, 1, (f"-{HASHES[0]:x}",)))
    assert index.cached_share("t", 1, HASHES) == 1.0
    assert index.cached_share("t", 2, HASHES) == 0.0
    index.observe("t", 2, CacheEvents(1, 1, ("1",)))
    index.observe("t", 1, CacheEvents(3, 3, ADDED))
    assert index.cached_share("t", 2, HASHES) == 0.0


def test_memory_is_bounded():
    """Guards against an index that grows with every prompt."""
    index = PrefixIndex(max_prefixes=10)
    index.observe("t", 1, CacheEvents(1, 100, tuple(f"{n:x}" for n in range(100))))
    assert len(index.targets_by_name["t"].prefixes) == 10
    assert index.cached_share("t", 1, (99,)) == 1.0
