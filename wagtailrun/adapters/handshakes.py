"""Ends the TCP handshakes of a listener, which its close would reset."""

import ctypes
import errno
import os
import socket
import struct
import sys
from typing import Any

__all__ = ["admit_handshakes", "refuse_handshakes", "round_trip_ms"]

# Options of Linux for which the socket module has no names.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# Classic BPF, which reads a segment from its TCP header on: segments with SYN are
# dropped, and all others pass.
FLAGS_OFFSET = 13
SYN = 2
LOAD_BYTE, JUMP_IF_SET, RETURN = 0x30, 0x45, 0x06
WHOLE_SEGMENT = 0xFFFFFFFF
DROP_SYN = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (JUMP_IF_SET, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_SEGMENT),
)
INSTRUCTION = struct.Struct("HBBI")
# Number of instructions, and a pointer to them.
PROGRAM = struct.Struct("HP")
# Beginning of struct tcp_info up to tcpi_rtt, in microseconds.
TCP_INFO = struct.Struct("8B16I")
US_PER_MS = 1_000


def refuse_handshakes(sock: Any) -> None:
    """Let a listener answer no further SYN; handshakes that have begun complete.

    Clients send a SYN that gets no answer again after a second.

    Raises:
        OSError: If the operating system has no such filter.
    """
    if sys.platform != "linux":
        raise OSError(errno.ENOPROTOOPT, os.strerror(errno.ENOPROTOOPT))
    code = b"".join(INSTRUCTION.pack(*each) for each in DROP_SYN)
    # The kernel copies the instructions during the call.
    buffer = ctypes.create_string_buffer(code, len(code))
    program = PROGRAM.pack(len(DROP_SYN), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def admit_handshakes(sock: Any) -> None:
    """Let a listener answer again after ``refuse_handshakes``.

    Raises:
        OSError: If the filter cannot be removed.
    """
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def round_trip_ms(sock: Any) -> float:
    """Return the round-trip time that the kernel measured on a connection.

    Directly after its acceptance, it is that of the handshake.

    Returns:
        Milliseconds; 0 if the operating system does not tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    except (OSError, AttributeError):
        return 0.0
    if len(info) < TCP_INFO.size:
        return 0.0
    round_trip_us: int = TCP_INFO.unpack(info)[-1]
    return round_trip_us / US_PER_MS
