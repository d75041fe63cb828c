"""Stand-ins of requesters and of the operator: HTTP/1.1 over new channels."""

import asyncio
import json
import time
import uuid


class Answer:
    """What a requester saw of one request.

    Attributes:
        status: HTTP status; 0 without an answer.
        headers: Headers by lower-case name.
        body: Body as far as it came.
        complete: Whether the answer ended as one in the protocol.
        started_s: When the request was sent.
        head_s: When the head came; 0 without one.
        ended_s: When the answer, or the wait for it, ended.
        error: How the channel failed, if it did.
        channel: The channel, if the requester keeps it open.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.body_bytes = 0
        self.complete = False
        self.started_s = time.monotonic()
        self.head_s = 0.0
        self.ended_s = 0.0
        self.error = ""
        self.channel = None

    @property
    def took_s(self):
        """Time from the request to the end."""
        return self.ended_s - self.started_s


def new_id():
    """Return a new identifier of a requester attempt."""
    return uuid.uuid4().hex[:16]


class Channel:
    """A channel of a requester, kept open for several requests.

    Args:
        reader: Reads from it.
        writer: Writes to it.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        """Return a new channel to an address."""
        return cls(*await asyncio.open_connection(*address))

    def close(self):
        """Close the channel."""
        self.writer.close()

    async def exchange(self, answer, method, path, host, headers, body, keep):
        """Send a request, and fill in what comes of its answer."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()
        head = await self.reader.readuntil(b"\r\n\r\n")
        answer.head_s = time.monotonic()
        first, *rest = head.decode("latin-1").split("\r\n")
        answer.status = int(first.split()[1])
        pairs = [line.split(":", 1) for line in rest if line]
        answer.headers = {name.lower(): value.strip() for name, value in pairs}
        async for piece in _body(self.reader, answer.headers):
            answer.body_bytes += len(piece)
            if len(answer.body) < keep:
                answer.body += piece
        answer.complete = True


async def request(
    address,
    method,
    path,
    *,
    host,
    headers=(),
    body=b"",
    limit_s=5.0,
    keep=1 << 20,
    keep_open=False,
    channel=None,
):
    """Send a request and return what came.

    Args:
        address: Host and port.
        method: HTTP method.
        path: Path.
        host: Host header.
        headers: Further headers.
        body: Body.
        limit_s: When the requester gives up and closes the channel.
        keep: Bytes of the body that are kept.
        keep_open: Whether the requester keeps the channel open after a whole answer.
        channel: A channel that was kept; by default a new one is opened.
    """
    answer = Answer()
    try:
        async with asyncio.timeout(limit_s):
            channel = channel or await Channel.open(address)
            await channel.exchange(answer, method, path, host, headers, body, keep)
            if keep_open:
                answer.channel = channel
    except TimeoutError:
        answer.error = answer.error or f"given up after {limit_s} s"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = repr(error)
    if channel is not None and answer.channel is None:
        channel.close()
    answer.ended_s = time.monotonic()
    return answer


async def _body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            piece = await reader.read(min(left, 65536))
            if not piece:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(piece)
            yield piece
    else:
        while piece := await reader.read(65536):
            yield piece


async def put_manifest(addresses, body, limit_s=10.0):
    """Send a manifest as the operator does; return the answer that ended the call.

    Args:
        addresses: Control members.
        body: The manifest, a table or bytes.
        limit_s: When the operator gives up.
    """
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = (("Content-Type", "application/json"),)
    ends_s = time.monotonic() + limit_s
    answer = None
    while time.monotonic() < ends_s:
        for address in addresses:
            answer = await request(
                address,
                "PUT",
                "/configuration",
                host="control",
                headers=headers,
                body=data,
                limit_s=1.0,
            )
            if answer.status == 200 or 400 <= answer.status < 500:
                return answer
        await asyncio.sleep(0.2)
    return answer


async def wait_ready(address, limit_s=25.0):
    """Return whether an entry says that it is ready within a time."""
    ends_s = time.monotonic() + limit_s
    while time.monotonic() < ends_s:
        answer = await request(address, "GET", "/readyz", host="x", limit_s=1.0)
        if answer.status == 200:
            return True
        await asyncio.sleep(0.2)
    return False
