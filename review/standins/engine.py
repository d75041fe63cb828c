"""Stand-in of engines: reports itself, runs requests, and fails as its mode says.

Usage: ``engine.py FILE``, a JSON file with ``controls`` (HOST:PORT of control members),
``log`` (a file for what was run) and ``engines``, each with ``id``, ``service``,
``address``, ``zone``, ``slots`` and ``mode``.
"""

import asyncio
import json
import sys
import time

import web

HEARTBEAT_S = 1.2
ORDER_BYTES = 800
EVENTS = 10
EVENT_GAP_S = 0.1
# Pace of bytes without end, far below a link of 1,000 Mbit/s.
FLOOD_PIECE = 16 * 1024
IDLE_S = 30
# Bound drain_ms of the small site, and a little more.
DRAIN_S = 2.2


class Engine:
    """One engine.

    Args:
        row: Its row of the file.
        controls: Addresses of control members.
        log: File for what was run.
    """

    def __init__(self, row, controls, log):
        self.row = row
        self.controls = controls
        self.log = log
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.born = int(time.time() * 1000)
        self.number = 0
        self.server = None
        self.writers = set()

    async def start(self):
        """Listen, and report from now on."""
        host, port = self.row["address"].split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.reporting = asyncio.create_task(self.report_for_ever())

    async def report_for_ever(self):
        """Send a liveness report at each interval."""
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        """Send one liveness report, to the first control member that takes it."""
        self.sequence += 1
        row = self.row
        body = {
            "service": row["service"],
            "address": row["address"],
            "zone": row["zone"],
            "version": row.get("version", "v1"),
            "slots": row["slots"],
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq_no": self.sequence,
            "born": self.born,
        }
        return await self.tell("PUT", body)

    async def tell(self, method, body):
        """Call control members until one acknowledges."""
        for address in self.controls:
            answer = await web.request(
                address,
                method,
                f"/instances/{self.row['id']}",
                host="control",
                headers=(("Content-Type", "application/json"),),
                body=json.dumps(body).encode(),
                limit_s=1.0,
            )
            if answer.status == 200:
                return True
        return False

    async def leave(self):
        """Drain, serve for a while, sign off and end."""
        self.state = "draining"
        await self.report()
        await asyncio.sleep(DRAIN_S)
        self.reporting.cancel()
        await self.tell("DELETE", {"born": self.born})
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.note("left")

    def note(self, text):
        """Write a line about what was run."""
        self.log.write(f"{time.monotonic():.3f} {self.row['id']} {text}\n")

    async def serve(self, reader, writer):
        """Serve one channel."""
        self.writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                first, *rest = head.decode("latin-1").split("\r\n")
                pairs = [line.split(":", 1) for line in rest if line]
                headers = {name.lower(): value.strip() for name, value in pairs}
                await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = first.split()
                await self.answer(method, path, headers, reader, writer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, headers, reader, writer):
        """Answer one request."""
        name = headers.get("attempt-id", "")
        expected = headers.get("expected-instance", self.row["id"])
        self.number += 1
        common = (
            f"Attempt-Id: {name}\r\n"
            f"Server-Load: {self.running},0,{self.row['slots']}\r\n"
        )
        if expected != self.row["id"]:
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                + f"Not-Executed: 1\r\n{common}\r\n".encode()
            )
            await writer.drain()
            return
        if path == "/report":
            body = json.dumps({"born": self.born, "waiting": 0, "busy": False})
            writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
            )
            await writer.drain()
            return
        self.running += 1
        mode = self.row["mode"]
        self.note(f"run {name} {method} {path} mode={mode}")
        try:
            seal = f"{common}Server-Seal: {self.row['id']}.{self.number}\r\n"
            await getattr(self, f"answer_{mode}")(seal, writer)
            self.note(f"end {name}")
        except OSError as error:
            self.note(f"cut {name} {error!r}")
            raise
        finally:
            self.running -= 1

    async def answer_order(self, seal, writer):
        """Work for a while and answer with a short body."""
        await asyncio.sleep(self.row.get("work_s", 0.03))
        body = b"x" * ORDER_BYTES
        head = f"HTTP/1.1 200 OK\r\n{seal}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    async def answer_stream(self, seal, writer):
        """Send a stream of events."""
        await self.send_stream_head(seal, writer)
        for number in range(1, EVENTS + 1):
            await self.send_event(number, writer)
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def send_stream_head(self, seal, writer):
        """Send the head of a stream."""
        writer.write(
            f"HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        await writer.drain()

    async def send_event(self, number, writer):
        """Send one event of a stream."""
        data = f"id: {number}\ndata: word {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()

    async def answer_newlines(self, seal, writer):
        """Begin a stream, then send bytes that are no events without end."""
        await self.send_stream_head(seal, writer)
        for number in range(1, 4):
            await self.send_event(number, writer)
        piece = b"%x\r\n%s\r\n" % (FLOOD_PIECE, b"\n" * FLOOD_PIECE)
        await self.flood(piece, writer)

    async def answer_comments(self, seal, writer):
        """Begin a stream, then send comments without end."""
        await self.send_stream_head(seal, writer)
        for number in range(1, 4):
            await self.send_event(number, writer)
        data = (b":" + b"x" * 1000 + b"\n\n") * 16
        await self.flood(b"%x\r\n%s\r\n" % (len(data), data), writer)

    async def answer_crumbs(self, seal, writer):
        """Begin a stream, then send an event without end in chunks of a few bytes."""
        await self.send_stream_head(seal, writer)
        for number in range(1, 4):
            await self.send_event(number, writer)
        await self.flood(b"8\r\nxxxxxxxx\r\n" * 1000, writer)

    async def answer_large_failure(self, seal, writer):
        """Answer with a failure whose body has no end."""
        writer.write(
            f"HTTP/1.1 500 Failure\r\n{seal}Content-Type: text/plain\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        await writer.drain()
        piece = b"%x\r\n%s\r\n" % (FLOOD_PIECE, b"x" * FLOOD_PIECE)
        await self.flood(piece, writer)

    async def flood(self, piece, writer):
        """Send a piece again and again, at the pace of the row."""
        pause_s = len(piece) / self.row["flood_bytes_per_s"]
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)


async def release_for_ever(row, controls, log):
    """Replace an engine again and again: the new one starts first, the old one drains.

    Args:
        row: Row of the first engine, with ``first_s`` and ``life_s``: the times to the
            first replacement, and from one to the next.
        controls: Addresses of control members.
        log: File for what was run.
    """
    host, port = row["address"].split(":")
    name, number = row["id"], 0
    engine = Engine(row, controls, log)
    await engine.start()
    await asyncio.sleep(row["first_s"])
    while True:
        if number:
            await asyncio.sleep(row["life_s"])
        number += 1
        new = {
            **row,
            "id": f"{name}-{number}",
            "address": f"{host}:{int(port) + number}",
        }
        old, engine = engine, Engine(new, controls, log)
        await engine.start()
        asyncio.create_task(old.leave())


async def main():
    """Run the engines of a file until the process is ended."""
    with open(sys.argv[1]) as file:
        setup = json.load(file)
    controls = [tuple(text.split(":")) for text in setup["controls"]]
    tasks = []
    with open(setup["log"], "w", buffering=1) as log:
        for row in setup["engines"]:
            if "life_s" in row:
                work = release_for_ever(row, controls, log)
                tasks.append(asyncio.create_task(work))
            else:
                await Engine(row, controls, log).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
