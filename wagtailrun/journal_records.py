"""Frames of the journal's files: magic, payload size, xxh3 checksum, payload.

The checksum is seeded with the offset of the frame, so a frame that was copied or
written elsewhere is not valid there.
"""

import struct
from collections.abc import Iterator

import xxhash

from wagtailrun.consensus_messages import Entry
from wagtailrun.exceptions import CorruptRecord

__all__ = [
    "FRAME",
    "batches",
    "corrupt_record",
    "frame",
    "payload_at",
    "snapshot_checksum",
    "valid_frame_after",
]

FRAME = struct.Struct("<4sIQ")
MAGIC = b"WTL1"
# Bounds one frame, and so the memory of one write.
MAX_FRAME_BYTES = 1024 * 1024
REMEDY = (
    "stop the process, keep a copy of the data folder, empty it and start again: the "
    "member then rejoins as a new learner"
)


def snapshot_checksum(data: bytes) -> int:
    """Return the checksum that a snapshot header carries for ``data``."""
    return xxhash.xxh3_64_intdigest(data)


def frame(payload: bytes, offset: int) -> bytes:
    """Return the frame that holds ``payload`` at ``offset`` of a file."""
    checksum = xxhash.xxh3_64_intdigest(payload, seed=offset)
    return FRAME.pack(MAGIC, len(payload), checksum) + payload


def payload_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at ``offset``, or None if it is not valid."""
    if offset + FRAME.size > len(data):
        return None
    magic, size, checksum = FRAME.unpack_from(data, offset)
    payload = data[offset + FRAME.size : offset + FRAME.size + size]
    if magic != MAGIC or len(payload) != size:
        return None
    valid = xxhash.xxh3_64_intdigest(payload, seed=offset) == checksum
    return payload if valid else None


def valid_frame_after(data: bytes, offset: int) -> bool:
    """Whether any valid frame begins after ``offset``."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if payload_at(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def corrupt_record(name: str, offset: int, problem: str) -> CorruptRecord:
    """Return the error for a file that must not be used, with the remedy."""
    return CorruptRecord(f"file {name!r}, offset {offset}: {problem}; {REMEDY}")


def batches(entries: list[Entry]) -> Iterator[list[Entry]]:
    """Split ``entries`` into lists of at most about ``MAX_FRAME_BYTES``."""
    batch, size = [], 0
    for entry in entries:
        if batch and size + len(entry.data) > MAX_FRAME_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(entry)
        size += len(entry.data)
    if batch:
        yield batch
