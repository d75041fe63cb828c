"""Messages of discovery."""

import attrs

from wagtailrun.codec import Channel, Codec
from wagtailrun.gossip_messages import AgedRow, EntryRow

__all__ = ["AgedEntry", "News", "NewsMarks", "PollNews", "RowsTaken", "ShareRows"]


@attrs.frozen
class NewsMarks:
    """What an entry has of one control member's news.

    Attributes:
        epoch: Drawn by the control member at its start; marks of another are void.
        targets: Newest change of targets.
        entries: Newest change of entries.
        revision: Revision of the text in force at the entry.
    """

    epoch: int = 0
    targets: int = 0
    entries: int = 0
    revision: int = 0


@attrs.frozen
class PollNews:
    """An entry asks for what is new to it.

    Attributes:
        entry: Row of the asking entry.
        known: What it has.
        wait_ms: How long the answer may wait for something new.
    """

    entry: EntryRow
    known: NewsMarks
    wait_ms: int


@attrs.frozen
class News:
    """Answer to ``PollNews``.

    Attributes:
        marks: What the entry has after this answer.
        text: Text of the revision in ``marks``; empty if the entry has it.
        confirmed: Whether the leader confirmed, after the question had arrived, that
            no higher revision was in force.
        targets: Rows of targets that changed.
        entries: All live entries, if they changed.
        members: Peer addresses of the control members.
    """

    marks: NewsMarks
    text: str = ""
    confirmed: bool = False
    targets: tuple[AgedRow, ...] = ()
    entries: tuple[EntryRow, ...] = ()
    members: tuple[str, ...] = ()


@attrs.frozen
class AgedEntry:
    """Row of an entry and how long ago it was heard."""

    row: EntryRow
    age_ms: int


@attrs.frozen
class ShareRows:
    """A control member passes on what it heard.

    Attributes:
        sender: Peer address of the sender.
        targets: Rows of targets.
        entries: Rows of entries.
    """

    sender: str
    targets: tuple[AgedRow, ...] = ()
    entries: tuple[AgedEntry, ...] = ()


@attrs.frozen
class RowsTaken:
    """Answer to ``ShareRows``; a new ``epoch`` shows that the receiver started anew."""

    epoch: int


CODEC = Codec(
    Channel.DISCOVERY,
    "discovery.capnp",
    [News, PollNews, RowsTaken, ShareRows],
)
