"""Records with checksums in the files of the accounts."""

import struct
import zlib
from collections.abc import Iterable

import curio
import xxhash

from wagtailrun.exceptions import CorruptRecord, MessageError

__all__ = ["compress_in_parts", "decompress", "join_records", "split_records"]

# Length and xxh3-64 of a record, which follows.
HEAD = struct.Struct(">IQ")
# Bounds what compressed bytes may grow to: a day of a million lines of 150 bytes.
MAX_PLAIN_BYTES = 160 * 1024 * 1024
# About 10 ms of work.
PART_BYTES = 512 * 1024


def join_records(records: Iterable[bytes]) -> bytes:
    """Return records with their heads, ready to be appended to a file."""
    return b"".join(
        HEAD.pack(len(record), xxhash.xxh3_64_intdigest(record)) + record
        for record in records
    )


def split_records(name: str, data: bytes, may_be_torn: bool) -> tuple[list[bytes], int]:
    """Return the records in ``data`` and the length of the whole ones.

    Args:
        name: Name of the file, for the error.
        data: Contents of the file.
        may_be_torn: Whether a crash may have cut the last record.

    Raises:
        CorruptRecord: If a record that is not the torn last one is damaged.
    """
    records = []
    start = 0
    while start < len(data):
        end = start + HEAD.size
        if end <= len(data):
            length, checksum = HEAD.unpack_from(data, start)
            end += length
        record = data[start + HEAD.size : end]
        whole = end <= len(data)
        if whole and xxhash.xxh3_64_intdigest(record) == checksum:
            records.append(record)
            start = end
        elif may_be_torn and end >= len(data):
            break
        else:
            raise CorruptRecord(
                f"{name}: the record at offset {start} fails its checksum; restore "
                "the file from a copy, or remove it to take the rows from the "
                "other control members"
            )
    return records, start


def decompress(data: bytes, limit_bytes: int = MAX_PLAIN_BYTES) -> bytes:
    """Return the plain bytes of ``data``; raises MessageError if it is malformed."""
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, limit_bytes)
    except zlib.error as error:
        raise MessageError(f"malformed compressed bytes: {error}") from error
    if not unpacker.eof:
        raise MessageError("compressed bytes are cut short or too large")
    return plain


async def compress_in_parts(plain: bytes) -> bytes:
    """Return ``plain`` compressed, letting other tasks run now and then."""
    packer = zlib.compressobj()
    pieces = []
    for start in range(0, len(plain), PART_BYTES):
        pieces.append(packer.compress(plain[start : start + PART_BYTES]))
        await curio.sleep(0)
    pieces.append(packer.flush())
    return b"".join(pieces)
