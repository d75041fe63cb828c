"""Frames of the journal files: magic, payload size, xxh3 checksum, payload.

The checksum is seeded with the offset of the frame in its file, so that a frame is not
valid at any other offset.
"""

import struct
from collections.abc import Iterator

import xxhash

from wagtailrun.consensus.messages import Entry
from wagtailrun.exceptions import CorruptRecord

__all__ = [
    "FRAME_HEADER",
    "split_batches",
    "corrupt_record_error",
    "encode_frame",
    "payload_at",
    "snapshot_checksum",
    "has_valid_frame_after",
]

FRAME_HEADER = struct.Struct("<4sIQ")
MAGIC = b"WTL1"
# Approximate limit of a frame, which bounds the memory of one write.
MAX_FRAME_BYTES = 1024 * 1024
REMEDY = (
    "stop the process, keep a copy of the data folder, empty it and start again: the "
    "member then rejoins as a new learner"
)


def snapshot_checksum(data: bytes) -> int:
    """Return the checksum of snapshot ``data``, as ``SnapshotHeader`` holds it."""
    return xxhash.xxh3_64_intdigest(data)


def encode_frame(payload: bytes, offset: int) -> bytes:
    """Return ``payload`` as a frame for ``offset`` of a file."""
    checksum = xxhash.xxh3_64_intdigest(payload, seed=offset)
    return FRAME_HEADER.pack(MAGIC, len(payload), checksum) + payload


def payload_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at ``offset``, or None if it is not valid."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    magic, size, checksum = FRAME_HEADER.unpack_from(data, offset)
    payload = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + size]
    if magic != MAGIC or len(payload) != size:
        return None
    valid = xxhash.xxh3_64_intdigest(payload, seed=offset) == checksum
    return payload if valid else None


def has_valid_frame_after(data: bytes, offset: int) -> bool:
    """Whether a valid frame begins anywhere after ``offset``."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if payload_at(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def corrupt_record_error(name: str, offset: int, problem: str) -> CorruptRecord:
    """Return the error for a damaged file, with the remedy for the operator."""
    return CorruptRecord(f"file {name!r}, offset {offset}: {problem}; {REMEDY}")


def split_batches(entries: list[Entry]) -> Iterator[list[Entry]]:
    """Split ``entries`` into lists with at most ``MAX_FRAME_BYTES`` of data each.

    A single entry with more data makes a list of its own.
    """
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        if batch and size + len(entry.data) > MAX_FRAME_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(entry)
        size += len(entry.data)
    if batch:
        yield batch
