"""Index of the prompt prefixes in the caches of targets.

The index is built from events that arrive late and with gaps.
"""

from collections import OrderedDict
from collections.abc import Sequence

import attrs
import xxhash

__all__ = ["CacheEvents", "PrefixIndex", "prefix_hashes"]

BLOCK_CHARACTERS = 1_024
# Later blocks of a prompt are rarely shared between requests.
MAX_BLOCKS = 16
# For 40 targets of each of 8 services at about 100 bytes per prefix, the index takes up
# to 16 MB of the 64 MB of a process.
MAX_PREFIXES_PER_TARGET = 512


@attrs.frozen
class CacheEvents:
    """Changes of one target's prefix cache; the target numbers them without gaps.

    Attributes:
        first: Number of the first change, from 1.
        last: Number of the last change.
        changes: Prefix hashes in hexadecimal; a leading "-" means evicted.
    """

    first: int
    last: int
    changes: tuple[str, ...]


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return a hash for each leading run of whole blocks of a prompt."""
    digest = xxhash.xxh3_64()
    hashes = []
    end = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS) * BLOCK_CHARACTERS
    for start in range(0, end, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        # JSON allows lone surrogates, which UTF-8 does not.
        digest.update(block.encode("utf-8", "surrogatepass"))
        hashes.append(digest.intdigest())
    return tuple(hashes)


@attrs.define
class _TargetPrefixes:
    incarnation: int
    last: int = 0
    prefixes: OrderedDict[int, None] = attrs.field(factory=OrderedDict)


class PrefixIndex:
    """Cached prefixes by target, in bounded memory.

    Args:
        max_prefixes: Largest number of prefixes kept for one target; the oldest are
            dropped.
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES_PER_TARGET):
        self.max_prefixes = max_prefixes
        self.targets_by_name: dict[str, _TargetPrefixes] = {}

    def observe(self, name: str, incarnation: int, events: CacheEvents) -> None:
        """Apply changes that a target reported.

        A gap may hide evictions and a restart empties the cache, so both clear the
        prefixes recorded for the target.
        """
        entry = self.targets_by_name.get(name)
        if entry is not None and incarnation < entry.incarnation:
            return
        if entry is None or incarnation > entry.incarnation:
            entry = self.targets_by_name[name] = _TargetPrefixes(incarnation)
        if events.last <= entry.last:
            return
        if events.first > entry.last + 1:
            entry.prefixes.clear()
        skipped = max(entry.last + 1 - events.first, 0)
        entry.last = events.last
        for change in events.changes[skipped:]:
            self._apply(entry, change)

    def _apply(self, entry: _TargetPrefixes, change: str) -> None:
        try:
            value = int(change.removeprefix("-"), 16)
        except ValueError:
            # The target uses another hash function, so its prefixes cannot be matched.
            return
        if change.startswith("-"):
            entry.prefixes.pop(value, None)
            return
        entry.prefixes[value] = None
        entry.prefixes.move_to_end(value)
        if len(entry.prefixes) > self.max_prefixes:
            entry.prefixes.popitem(last=False)

    def cached_share(self, name: str, incarnation: int, hashes: Sequence[int]) -> float:
        """Return the share of a prompt's blocks that a target's cache holds."""
        entry = self.targets_by_name.get(name)
        if not hashes or entry is None or entry.incarnation != incarnation:
            return 0.0
        hits = 0
        for value in hashes:
            if value not in entry.prefixes:
                break
            hits += 1
        return hits / len(hashes)

    def forget(self, name: str) -> None:
        """Drop a target that is no longer known."""
        self.targets_by_name.pop(name, None)
