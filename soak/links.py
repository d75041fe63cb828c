"""Links between processes: what a proxy can do to their bytes, and its control.

The proxy runs in a process of its own (``soak.link_proxy``) and takes its commands
over a local socket, one JSON line each.
"""

import json
import socket
import subprocess
import sys
import threading
from enum import Enum
from typing import Any

import cattrs
import curio
from attrs import define, field

from wagtailrun.ports.link import Address

__all__ = [
    "AddLink",
    "Answer",
    "Begin",
    "Direction",
    "Effect",
    "End",
    "Find",
    "LinkFault",
    "LinkProxy",
    "LinkProxyFailed",
    "LinkUsage",
    "NameProcess",
    "RefusedConnection",
    "Report",
    "pack",
    "unpack",
]

REPLY_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 5.0


class LinkProxyFailed(Exception):
    """The proxy refused a command, or does not answer."""


class Effect(Enum):
    """What happens on a link; bytes keep their order and content."""

    # Bytes arrive ``amount`` milliseconds later.
    DELAY = "delay"
    # At most ``amount`` bytes pass in a second.
    NARROW = "narrow"
    # Connections are reset once, when the fault begins.
    RESET = "reset"
    # No byte and no end passes; connections stay.
    SILENCE = "silence"
    # New connections are refused, or reset if only those of one source are.
    REFUSE = "refuse"
    # The second half of what the source sends in one piece, such as a request,
    # arrives ``amount`` milliseconds later.
    HOLD_HALF = "hold half"


class Direction(Enum):
    """Which bytes of a connection an effect is for."""

    BOTH = "both"
    TO_UPSTREAM = "to upstream"
    TO_SOURCE = "to source"


@define(frozen=True, kw_only=True)
class LinkFault:
    """An effect on some connections for some time.

    Attributes:
        name: Identifier by which it is ended.
        effect: What happens.
        links: Names of the links.
        source: Name of the process whose connections are affected; empty for all.
        direction: Which bytes it is for; has no meaning for resets and refusals.
        amount: Milliseconds or bytes in a second, as the effect has it.
    """

    name: str
    effect: Effect
    links: list[str]
    source: str = ""
    direction: Direction = Direction.BOTH
    amount: int = 0


@define(frozen=True, kw_only=True)
class AddLink:
    """Command: listen at an address for an upstream address."""

    name: str
    listen: Address
    upstream: Address


@define(frozen=True, kw_only=True)
class NameProcess:
    """Command: the process with this id is the source of the connections it opens."""

    name: str
    pid: int


@define(frozen=True, kw_only=True)
class Begin:
    """Command: apply a fault."""

    fault: LinkFault


@define(frozen=True, kw_only=True)
class End:
    """Command: let go of a fault; nothing happens if it is not applied."""

    name: str


@define(frozen=True, kw_only=True)
class Find:
    """Command: report the use of links and the connections refused since the last."""


@define(frozen=True, kw_only=True)
class LinkUsage:
    """Use of a link by one source.

    Attributes:
        link: Name of the link.
        source: Name of the process; empty if it is not known.
        connections: Connections since the start.
        bytes_to_upstream: Bytes that were passed to the upstream.
        bytes_to_source: Bytes that were passed to the source.
    """

    link: str
    source: str
    connections: int
    bytes_to_upstream: int
    bytes_to_source: int


@define(frozen=True, kw_only=True)
class RefusedConnection:
    """A connection that was reset without a byte, as the upstream took none.

    Attributes:
        link: Name of the link.
        client: Address of the source's end, which tells the connection.
        at_ms: When it was reset.
        is_fault: Whether a fault refused it rather than the upstream.
    """

    link: str
    client: Address
    at_ms: int
    is_fault: bool


@define(frozen=True, kw_only=True)
class Report:
    """Reply: use of the links, and connections refused since the last report."""

    usage: list[LinkUsage] = field(factory=list)
    refused: list[RefusedConnection] = field(factory=list)


@define(frozen=True, kw_only=True)
class Answer:
    """Reply: the command was obeyed; or why it was not."""

    error: str = ""


TYPES_BY_NAME = {
    each.__name__: each
    for each in (AddLink, Answer, Begin, End, Find, NameProcess, Report)
}


def pack(message: Any) -> bytes:
    """Return the line of a command or reply."""
    value = [type(message).__name__, cattrs.unstructure(message)]
    return json.dumps(value).encode() + b"\n"


def unpack(line: bytes) -> Any:
    """Return the command or reply of a line."""
    name, value = json.loads(line)
    return cattrs.structure(value, TYPES_BY_NAME[name])


class LinkProxy:
    """Starts the process of the proxy and sends it commands, one at a time."""

    def __init__(self) -> None:
        own, child = socket.socketpair()
        own.settimeout(REPLY_TIMEOUT_S)
        with child:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "soak.link_proxy", str(child.fileno())],
                pass_fds=[child.fileno()],
            )
        self._socket = own
        self._lines = own.makefile("rb")
        self._lock = threading.Lock()

    @property
    def pid(self) -> int:
        """Process id of the proxy."""
        return self._process.pid

    async def add(self, name: str, listen: Address, upstream: Address) -> None:
        """Open a link.

        Raises:
            LinkProxyFailed: If the address cannot be listened on.
        """
        await self._call(AddLink(name=name, listen=listen, upstream=upstream))

    def name_process(self, name: str, pid: int) -> None:
        """Say which process opens connections under a name, after each start.

        Waits for the proxy, which takes about a millisecond.
        """
        self._check(self._exchange(NameProcess(name=name, pid=pid)))

    async def begin(self, fault: LinkFault) -> None:
        """Apply a fault.

        Raises:
            LinkProxyFailed: If it names an unknown link or is applied already.
        """
        await self._call(Begin(fault=fault))

    async def end(self, name: str) -> None:
        """Let go of a fault; nothing happens if it is not applied."""
        await self._call(End(name=name))

    async def report(self) -> Report:
        """Return the use of the links, and what was refused since the last time."""
        return await self._call(Find())

    async def _call(self, message: Any) -> Any:
        return self._check(await curio.run_in_thread(self._exchange, message))

    @staticmethod
    def _check(reply: Any) -> Any:
        if isinstance(reply, Answer) and reply.error:
            raise LinkProxyFailed(reply.error)
        return reply

    def _exchange(self, message: Any) -> Any:
        try:
            with self._lock:
                self._socket.sendall(pack(message))
                line = self._lines.readline()
        except OSError as error:
            raise LinkProxyFailed(f"the proxy does not answer: {error}") from error
        if not line:
            raise LinkProxyFailed("the proxy has ended")
        return unpack(line)

    def stop(self) -> None:
        """End the process of the proxy, and with it all connections."""
        self._lines.close()
        self._socket.close()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)
