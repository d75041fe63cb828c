"""Checksummed records and compression in the files of the accounts."""

import struct
import zlib
from collections.abc import Iterable

import curio
import xxhash

from wagtailrun.exceptions import CorruptRecord, MessageError

__all__ = ["compress_in_chunks", "decompress", "join_records", "split_records"]

# Length and xxh3-64 checksum of the record that follows.
RECORD_HEADER = struct.Struct(">IQ")
# Limit of decompressed data: a day of a million lines of 150 bytes.
MAX_PLAIN_BYTES = 160 * 1024 * 1024
# Takes about 10 ms to compress.
CHUNK_BYTES = 512 * 1024


def join_records(records: Iterable[bytes]) -> bytes:
    """Return the records with their headers, ready to be appended to a file."""
    return b"".join(
        RECORD_HEADER.pack(len(record), xxhash.xxh3_64_intdigest(record)) + record
        for record in records
    )


def split_records(name: str, data: bytes, may_be_torn: bool) -> tuple[list[bytes], int]:
    """Return the complete records in ``data`` and their total length.

    Args:
        name: Name of the file, for the error.
        data: Contents of the file.
        may_be_torn: Whether a crash may have cut off or damaged the last record.

    Raises:
        CorruptRecord: If a record is damaged that is not a torn last one.
    """
    records = []
    start = 0
    while start < len(data):
        record = _record_at(data, start)
        if record is None:
            if may_be_torn and not _has_record_after(data, start):
                break
            raise CorruptRecord(
                f"{name}: the record at offset {start} fails its checksum; restore "
                "the file from a copy, or remove it to take the rows from the "
                "other control members"
            )
        records.append(record)
        start += RECORD_HEADER.size + len(record)
    return records, start


def _record_at(data: bytes, start: int) -> bytes | None:
    """Return the record at ``start``, or None if it is not whole."""
    body = start + RECORD_HEADER.size
    if body > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, start)
    if length > len(data) - body:
        return None
    record = data[body : body + length]
    return record if xxhash.xxh3_64_intdigest(record) == checksum else None


def _has_record_after(data: bytes, start: int) -> bool:
    """Whether a whole record begins anywhere after ``start``."""
    return any(
        _record_at(data, position) is not None
        for position in range(start + 1, len(data))
    )


def decompress(data: bytes, limit_bytes: int = MAX_PLAIN_BYTES) -> bytes:
    """Return ``data`` decompressed; raises MessageError if malformed or too large."""
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, limit_bytes)
    except zlib.error as error:
        raise MessageError(f"malformed compressed data: {error}") from error
    if not unpacker.eof:
        raise MessageError(
            f"compressed data is truncated or exceeds {limit_bytes} bytes decompressed"
        )
    return plain


async def compress_in_chunks(plain: bytes) -> bytes:
    """Return ``plain`` compressed, and let other tasks run between chunks."""
    packer = zlib.compressobj()
    chunks = []
    for start in range(0, len(plain), CHUNK_BYTES):
        chunks.append(packer.compress(plain[start : start + CHUNK_BYTES]))
        await curio.sleep(0)
    chunks.append(packer.flush())
    return b"".join(chunks)
