"""What the prefix cache of an engine probably holds.

Load pattern: prompts are chains of parts. Few first parts are shared by most prompts,
many later ones by a few prompts each, which often come within a second. Engines tell
nobody what they hold, so it is taken from the prompts that they were given.
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterable, Sequence

import attrs

from wagtailrun.relay.core.port import PromptPart

__all__ = ["MAX_CHAIN", "MAX_PARTS", "PartCache"]

# Parts that an engine is assumed to hold; the least recently used one is dropped first.
MAX_PARTS = 256
# Parts of one prompt that are recorded; those of the users have one or two.
MAX_CHAIN = 16
# A prompt is awaited until this multiple of the expected time to its first event, and
# this time. Long prefills at slow engines took up to 1.4 times as long as expected.
OVERDUE_FACTOR = 1.5
GRACE_MS = 100.0
# While it is overdue, the next look is after this time.
OVERDUE_LOOK_MS = 20.0


@attrs.frozen
class _Reading:
    """A part that an engine reads.

    Attributes:
        prompt: The prompt that it is read for.
        ready_ms: When the first event of that prompt is expected.
        overdue_ms: When it is overdue.
    """

    prompt: Hashable
    ready_ms: float
    overdue_ms: float


@attrs.define
class PartCache:
    """Parts that one incarnation of an engine holds or reads, by their names.

    Attributes:
        held: Parts that it has read, the most recently used last.
        reading: Parts that it reads.
    """

    held: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    reading: dict[str, _Reading] = attrs.field(factory=dict)

    def look_up(
        self, parts: Sequence[PromptPart], now_ms: float
    ) -> tuple[int, int, float]:
        """Return what of a prompt the engine holds.

        Args:
            parts: Parts of the prompt; the last one no other prompt has.
            now_ms: Time on the clock.

        Returns:
            The leading tokens that it has read, the tokens behind them that it reads
            for other prompts, and the time until it has probably read these.
        """
        tokens, reading_tokens, ready_in_ms = 0, 0, 0.0
        for part in parts[:-1]:
            if part.name in self.held and not reading_tokens:
                tokens += part.tokens
                continue
            reading = self.reading.get(part.name)
            if reading is None or now_ms > reading.overdue_ms:
                break
            reading_tokens += part.tokens
            left_ms = max(reading.ready_ms - now_ms, OVERDUE_LOOK_MS)
            ready_in_ms = max(ready_in_ms, left_ms)
        return tokens, reading_tokens, ready_in_ms

    def begin(
        self,
        prompt: Hashable,
        parts: Sequence[PromptPart],
        now_ms: float,
        expected_ms: float,
    ) -> None:
        """Record that the engine was given a prompt.

        Args:
            prompt: The prompt.
            parts: Its parts.
            now_ms: Time on the clock.
            expected_ms: Expected time to its first event.
        """
        ready_ms = now_ms + expected_ms
        overdue_ms = now_ms + OVERDUE_FACTOR * expected_ms + GRACE_MS
        for part in parts[:-1][:MAX_CHAIN]:
            if part.name in self.held:
                self.held.move_to_end(part.name)
                continue
            reading = self.reading.get(part.name)
            if reading is None or now_ms > reading.overdue_ms:
                self.reading[part.name] = _Reading(prompt, ready_ms, overdue_ms)

    def end(self, prompt: Hashable, names: Iterable[str], *, has_begun: bool) -> None:
        """Record the first event of a prompt, or its end without one.

        Args:
            prompt: The prompt.
            names: Names of its parts without the last.
            has_begun: Whether there was a first event; all parts are read then.
        """
        for name in names:
            reading = self.reading.get(name)
            if reading is not None and (has_begun or reading.prompt == prompt):
                del self.reading[name]
            if has_begun:
                self.held[name] = None
                self.held.move_to_end(name)
        while len(self.held) > MAX_PARTS:
            self.held.popitem(last=False)

    def merge(self, names: Sequence[str]) -> None:
        """Add parts that the engine holds by the knowledge of another process.

        They count as used before those that are known here.

        Args:
            names: Names of the parts, the least recently used first.
        """
        for name in reversed(names):
            if name not in self.held and len(self.held) < MAX_PARTS:
                self.held[name] = None
                self.held.move_to_end(name, last=False)
