"""Choice of the growth records of a message to a partner."""

import enum
import heapq
from collections.abc import Callable

import attrs

from wagtailrun.targets.table import ChangeLog

__all__ = ["GrowthProgress", "Source"]

# One in so many records is kept for targets that announce themselves to other entries,
# so that load also reaches entries that cannot be reached by those.
OTHERS_SHARE = 5
# Older messages count as lost. A request is confirmed by its reply and a reply by the
# next request of the partner, so that more wait only if the partner is silent.
UNACKNOWLEDGED_MESSAGES = 3


class Source(enum.IntEnum):
    """How this entry learns of a target; smaller values have newer records."""

    ANNOUNCED = 0
    WATCHED = 1
    GOSSIP = 2


@attrs.define
class GrowthProgress:
    """Growth records sent to one partner.

    Targets announce themselves once a second, which is more than the messages to one
    partner can carry. What was sent is therefore kept by target: a mark in the change
    log, whether the newest or the oldest changes are sent first, would leave out the
    same targets each time.

    Attributes:
        message: Number of the newest message to the partner.
        names_by_message: Targets whose records were in a message that may be lost, by
            its number, oldest first.
        sent_by_name: Number of the newest change that was sent, by name of the target.
        attempts_by_name: Number of the last message with a record of the target,
            whether or not it arrived.
        others_credit: Records due to targets of other entries, in parts of which
            ``OTHERS_SHARE`` make up one record.
    """

    message: int = 0
    names_by_message: dict[int, list[str]] = attrs.field(factory=dict)
    sent_by_name: dict[str, int] = attrs.field(factory=dict)
    attempts_by_name: dict[str, int] = attrs.field(factory=dict)
    others_credit: int = 0

    def select(
        self,
        log: ChangeLog,
        limit: int,
        is_shared: Callable[[str], bool] = lambda name: True,
        source: Callable[[str], Source] = lambda name: Source.ANNOUNCED,
    ) -> list[str]:
        """Return the names of up to ``limit`` changed targets, and record them as sent.

        Targets that announce themselves to this entry come first, because no other
        entry has newer records of them. Those that it watches come next. Of each kind,
        the least recently sent ones come first, even if their message was lost: a
        partner that receives few messages would otherwise get the same few targets.

        Args:
            log: Changes of all targets.
            limit: Number of records that the message may carry.
            is_shared: Whether the partner may have a record of the target.
            source: How this entry learns of the target.
        """
        sent_by_name, attempts_by_name = self.sent_by_name, self.attempts_by_name
        numbers_by_name = log.change_numbers_by_name
        announced: list[tuple[int, int, str]] = []
        others: list[tuple[int, int, str]] = []
        for name, number in numbers_by_name.items():
            if number > sent_by_name.get(name, 0) and is_shared(name):
                kind = source(name)
                items = announced if kind == Source.ANNOUNCED else others
                items.append((kind, attempts_by_name.get(name, 0), name))
        others = heapq.nsmallest(limit, others)
        credit = self.others_credit + limit
        kept = min(len(others), credit // OTHERS_SHARE)
        # A message without such targets leaves at most one record to the next ones.
        self.others_credit = min(credit - kept * OTHERS_SHARE, OTHERS_SHARE)
        announced = heapq.nsmallest(limit - kept, announced)
        others = others[: limit - len(announced)]
        names = [name for _, _, name in announced + others]
        self.message += 1
        for name in names:
            sent_by_name[name] = numbers_by_name[name]
            attempts_by_name[name] = self.message
        for name in attempts_by_name.keys() - numbers_by_name.keys():
            del attempts_by_name[name]
            sent_by_name.pop(name, None)
        self.names_by_message[self.message] = names
        if len(self.names_by_message) > UNACKNOWLEDGED_MESSAGES:
            self.record_lost(next(iter(self.names_by_message)))
        return names

    def record_received(self, message: int) -> None:
        """Record that the partner has the message with this number."""
        self.names_by_message.pop(message, None)

    def record_lost(self, message: int) -> None:
        """Have the records of a message sent again, except those sent since then."""
        for name in self.names_by_message.pop(message, ()):
            if self.attempts_by_name.get(name) == message:
                self.sent_by_name.pop(name, None)

    def record_seen(self, message: int) -> None:
        """Have records sent again unless the partner is known to have them.

        A partner returns only the number of the newest message that it has. Earlier
        ones that are not confirmed may be lost, and count as such.

        Args:
            message: Number of the newest message that the partner has, or 0.
        """
        if not message:
            self.sent_by_name.clear()
            self.names_by_message.clear()
            return
        self.record_received(message)
        for number in list(self.names_by_message):
            self.record_lost(number)
