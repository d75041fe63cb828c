"""Prefix cache of an engine, by the parts of prompts."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

__all__ = ["PrefixCache"]

# A part is known by the names from the start of the prompt to its own, as the keys and
# values of its tokens depend on all tokens before.
_Chain = tuple[str, ...]


@attrs.define
class _Part:
    """A cached part.

    Attributes:
        tokens: Its length.
        users: Requests that run and use it.
    """

    tokens: int
    users: int = 0


class PrefixCache:
    """Parts of prompts that are kept, in the order of their last use.

    Attributes:
        tokens: Tokens of all parts.
        idle_tokens: Tokens of the parts that no request uses.
    """

    def __init__(self) -> None:
        self.parts_by_chain: OrderedDict[_Chain, _Part] = OrderedDict()
        self.tokens = 0
        self.idle_tokens = 0

    def hits(self, names: Sequence[str]) -> int:
        """Return how many leading parts of a prompt are kept."""
        count = 0
        while count < len(names) and tuple(names[: count + 1]) in self.parts_by_chain:
            count += 1
        return count

    def use(self, names: Sequence[str]) -> None:
        """Count one more user of parts that are all kept, as the most recent use."""
        for end in range(1, len(names) + 1):
            part = self.parts_by_chain[tuple(names[:end])]
            if not part.users:
                self.idle_tokens -= part.tokens
            part.users += 1
        self._touch(names)

    def add(self, names: Sequence[str], tokens: int) -> bool:
        """Keep the last of these parts, with one user; return whether it is new."""
        chain = tuple(names)
        part = self.parts_by_chain.get(chain)
        is_new = part is None
        if part is None:
            part = self.parts_by_chain[chain] = _Part(tokens)
            self.tokens += tokens
        elif not part.users:
            self.idle_tokens -= part.tokens
        part.users += 1
        self._touch(names)
        return is_new

    def _touch(self, names: Sequence[str]) -> None:
        # The first part last: a part is of no use once one before it was dropped, so
        # that it has to go first.
        for end in range(len(names), 0, -1):
            self.parts_by_chain.move_to_end(tuple(names[:end]))

    def end_use(self, names: Sequence[str]) -> None:
        """Count one user less of these parts, which stay."""
        for end in range(1, len(names) + 1):
            part = self.parts_by_chain[tuple(names[:end])]
            part.users -= 1
            if not part.users:
                self.idle_tokens += part.tokens

    def evict(self, tokens: int) -> None:
        """Drop parts without users, the least recently used first, to free tokens."""
        if tokens <= 0:
            return
        for chain in [c for c, part in self.parts_by_chain.items() if not part.users]:
            part = self.parts_by_chain.pop(chain)
            self.tokens -= part.tokens
            self.idle_tokens -= part.tokens
            tokens -= part.tokens
            if tokens <= 0:
                return

    def clear(self) -> None:
        """Drop everything, also what is in use."""
        self.parts_by_chain.clear()
        self.tokens = self.idle_tokens = 0
