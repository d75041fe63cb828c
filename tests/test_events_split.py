"""Tests of splitting a stream into events."""

import random

import pytest

from wagtailrun.exceptions import TargetFailed
from wagtailrun.relay.requests import events_split
from wagtailrun.relay.requests.events_split import MAX_EVENT_BYTES, EventSplitter

BODY = b"data: a\r\n\r\nid: 2\ndata: b\n\ndata: c\r\r: k\n\r\ndata:d\nx\r\n\n"
EVENTS = [
    b"data: a\r\n\r\n",
    b"id: 2\ndata: b\n\n",
    b"data: c\r\r",
    b": k\n\r\n",
    b"data:d\nx\r\n\n",
]


class CountingPattern:
    """Pattern that counts the bytes that it is asked to search."""

    def __init__(self, pattern):
        self.pattern = pattern
        self.searched = 0

    def search(self, data, start):
        self.searched += len(data) - start
        return self.pattern.search(data, start)

    def finditer(self, data):
        self.searched += len(data)
        return self.pattern.finditer(data)


def split(chunks):
    splitter = EventSplitter()
    found = [event.data for chunk in chunks for event in splitter.feed(chunk)]
    assert not splitter.buffer
    return found


def test_line_ends_may_be_mixed_and_split():
    """Guards against events that depend on where the network splits a line end."""
    assert split([BODY]) == EVENTS
    for seed in range(200):
        chooser = random.Random(seed)
        chunks, left = [], BODY
        while left:
            size = chooser.randint(1, 4)
            chunks.append(left[:size])
            left = left[size:]
        assert split(chunks) == EVENTS


@pytest.mark.parametrize(
    ("block", "is_comment"),
    [
        (b": x\n\n", True),
        (b"\r\n: x\r: y\n\n", True),
        (b":id: 3\n\n", True),
        (b": x\nid: 3\n\n", False),
        (b": x\rid:3\r\r", False),
        (b"id: x\n: y\n\n", False),
        (b"data: : x\n\n", False),
    ],
)
def test_blocks_of_comments_are_told_from_events(block, is_comment):
    """Guards against an event that is no progress of a stream, or a comment that is.

    Of an event with a number this is known without a look at its lines.
    """
    (event,) = EventSplitter().feed(block)
    lines = [line for line in block.splitlines() if line]
    assert event.is_comment == is_comment
    assert is_comment == all(line.startswith(b":") for line in lines)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_blank_lines_of_a_chunk_are_one_block(line_end):
    """Guards against blank lines that cost as much as thousands of events."""
    data = EVENTS[1] + line_end * 30_000
    found = split([data, data])
    assert found == [data] * 2


@pytest.mark.parametrize("size", [8, 16_384])
def test_work_for_an_event_grows_with_its_bytes(size, monkeypatch):
    """Guards against an event without end that is searched again with each chunk."""
    pattern = CountingPattern(events_split.EVENT_END)
    monkeypatch.setattr(events_split, "EVENT_END", pattern)
    splitter = EventSplitter()
    with pytest.raises(TargetFailed, match="exceeds"):
        for _ in range(MAX_EVENT_BYTES // size + 1):
            list(splitter.feed(b"x" * size))
    assert pattern.searched <= 2 * MAX_EVENT_BYTES
