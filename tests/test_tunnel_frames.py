"""Tests of the frames in which tunnels carry the bytes of targets."""

import socket

import curio
import pytest
from curio.io import Socket

from wagtailrun.adapters.tcp_link import LENGTH, PeerTunnel, _FrameSocket

pytestmark = pytest.mark.network


def test_read_of_a_tunnel_may_end_within_a_frame():
    """Guards against bytes of a frame that are taken for the length of the next one."""

    async def main():
        near, far = (Socket(each) for each in socket.socketpair())
        async with near, far:
            tunnel = PeerTunnel(_FrameSocket(near))
            frames = [b"first frame", b"second"]
            sender = _FrameSocket(far)
            await far.sendall(LENGTH.pack(len(frames[0])) + frames[0][:3])
            received = await curio.ignore_after(0.05, tunnel.recv, 100)
            assert received is None
            await far.sendall(frames[0][3:])
            await sender.write_frame(frames[1])
            return [await tunnel.recv(100) for _ in frames], frames

    received, frames = curio.run(main)
    assert received == frames
