"""Tests of bodies that are collected in pieces."""

import pytest

from wagtailrun.adapters.body_buffer import BLOCK_BYTES, BodyBuffer


@pytest.mark.parametrize("size", [1, 1_000, 65_536, BLOCK_BYTES, 3 * BLOCK_BYTES + 1])
def test_body_is_that_of_its_pieces(size):
    """Guards against bytes that are lost or repeated where a block ends."""
    pieces = [bytes([number % 251]) * size for number in range(9)]
    pieces += [b"", bytearray(b"end")]
    body = BodyBuffer()
    for piece in pieces:
        body.add(piece)
    assert body.joined() == b"".join(pieces)
    assert body.size == len(body.joined())


def test_body_without_pieces_is_empty():
    """Guards against an answer without a body that is taken for none."""
    assert BodyBuffer().joined() == b""
