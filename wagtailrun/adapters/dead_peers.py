"""Lets the operating system end connections to peers that stopped responding."""

import socket
from typing import Any

__all__ = ["enable_dead_peer_detection"]

# A path, or a sound server, may be silent for a second or two and go on. The operating
# system reports an error only when a path loses all packets for longer than 2.5 s.
# TCP_USER_TIMEOUT covers unacknowledged data, which is sent again 0.2, 0.6, 1.4 and
# 3.0 s after the first time. The keep-alive probes cover the wait for a response: with
# TCP_USER_TIMEOUT set, Linux ignores their number and ends the connection at the first
# one that is due after that time, here the one at 5 s; those at 1, 2, 3 and 4 s must
# all be lost.
DEAD_PEER_TIMEOUT_MS = 4_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 4


def enable_dead_peer_detection(sock: Any) -> None:
    """Let the operating system report a peer that stopped responding as an error."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_TIMEOUT_MS)
