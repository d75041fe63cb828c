"""Collects a body that is received in pieces."""

__all__ = ["BodyBuffer"]

# Few enough blocks for a body of 16 MB, and small beside the budget for bodies.
BLOCK_BYTES = 256 * 1024


class BodyBuffer:
    """Bytes of a body so far, in blocks of about one size.

    A buffer that grows to megabytes moves again and again, and the allocator keeps the
    gaps that it leaves: several such buffers took up twice their bytes.

    Attributes:
        size: Number of bytes so far.
    """

    __slots__ = ("_block", "_full_blocks", "size")

    def __init__(self) -> None:
        self.size = 0
        self._full_blocks: list[bytes] = []
        # A list of the pieces would take many times the bytes of tiny chunks.
        self._block = bytearray()

    def add(self, piece: bytes | bytearray) -> None:
        """Add the next piece of the body."""
        self.size += len(piece)
        self._block += piece
        if len(self._block) >= BLOCK_BYTES:
            self._full_blocks.append(bytes(self._block))
            self._block = bytearray()

    def joined(self) -> bytes:
        """Return the body."""
        return b"".join((*self._full_blocks, self._block))

    def clear(self) -> None:
        """Drop all bytes."""
        self.size = 0
        self._full_blocks.clear()
        self._block = bytearray()
