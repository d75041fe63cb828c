"""Tests of a real product entry beside one target, or one caller, without measure.

Each cell has sound targets of every service beside one that floods, and sound callers.
"""

import json
import re
import socket
import threading
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

import curio
import pytest

from demo.processes import Fleet, free_addresses
from demo.stub_target import StubTarget
from tests.test_floods import chunked
from tests.test_processes import ORDER, PIPELINE, SERVICES, TEXT, WORKSPACE, wait_until
from tests.test_unending_bytes import CHUNKED, PIECE_BYTES, Flood
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.exceptions import TargetFailed
from wagtailrun.process.memory_budget import DEFAULT_MEMORY_MB

pytestmark = pytest.mark.network

CELL_S = 1.5
# That of the call of the fleet text which has the least time.
DEADLINE_MS = 2_000
CALLERS = 8
# Beside a flood each answer, also a refusal, comes by then.
ANSWER_S = 4.0
NUMBER = re.compile(rb"wagtailrun-attempt: (\d+)", re.IGNORECASE)
STATE = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
HEAD = b"HTTP/1.1 200 OK\r\nWagtailrun-Attempt: %s\r\n"
TOKEN = b'event: token\ndata: {"offset": 0, "text": "a"}\n\n'
FIRST = HEAD + CHUNKED + chunked(TOKEN)
LISTS = b'{"prompt": "a", "x": [%s1]}' % (b"[]," * 340_000)
# By name: what is sent once, and what is sent without end.
TARGETS = {
    "lines of a head": (HEAD, b"A: b\r\n"),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "body without a frame": (HEAD + b"\r\n", b"x" * 99),
    "chunk extension": (HEAD + CHUNKED + b"1;", b"x"),
    "trailers": (HEAD + CHUNKED + b"0\r\n", b"A: b\r\n"),
    "an event without end": (FIRST, chunked(b"x" * 16_384)),
    "an event in crumbs": (FIRST, chunked(b"x")),
    "repeated offsets": (FIRST, chunked(TOKEN * 200)),
    "comments after the end": (
        FIRST + chunked(b'event: done\ndata: {"tokens": 1}\n\n'),
        chunked(b":\n\n" * 3_000),
    ),
    "large JSON": (
        HEAD + b"Content-Length: 15000003\r\n\r\n[" + b"1," * 7_500_000 + b"1]",
        b"",
    ),
}


def body_of(path, data):
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\n{WORKSPACE[0]}: {WORKSPACE[1]}\r\n"
    return f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data


CALLERS_WITHOUT_MEASURE = {
    "bodies of empty lists": body_of(PIPELINE, LISTS),
    "orders of empty lists": body_of(ORDER, LISTS),
    "requests that are none": b"POST / HTTP/1.1\r\nHost: a\r\n" + b"A: b\r\n" * 4_000,
}


class FloodingTarget(Flood):
    """Target that answers each attempt with bytes without end."""

    def __init__(self):
        super().__init__(b"", b"x")
        self.part = next(iter(TARGETS.values()))
        self.floods = 0

    def answer(self, sock):
        with suppress(OSError), sock:
            data = b""
            while b"\r\n\r\n" not in data:
                received = sock.recv(PIECE_BYTES)
                if not received:
                    # The entry has closed the connection, or ended.
                    return
                data += received
            number = NUMBER.search(data)
            if number is None:
                sock.sendall(STATE)
                return
            self.floods += 1
            first, more = self.part
            sock.sendall(first.replace(b"%s", number.group(1)))
            while more:
                sock.sendall(more * (PIECE_BYTES // len(more) or 1))
            # Until the entry closes the connection.
            while sock.recv(PIECE_BYTES):
                pass


async def run_targets(sound, flooding, stop):
    for target in sound:
        await curio.spawn(target.run, daemon=True)
    for target in flooding:
        await curio.spawn(target.announce, daemon=True)
    while not stop.is_set():
        await curio.sleep(0.1)


@pytest.fixture(scope="module")
def entry():
    """Return the address and process of an entry, and its flooding targets."""
    floods = [FloodingTarget() for _ in SERVICES]
    stop = threading.Event()
    fleet = Fleet(
        TEXT,
        ["east"],
        SERVICES,
        entries_per_centre=1,
        controls=1,
        starts_targets=False,
    )
    with fleet:
        (name,) = fleet.caller_address_by_name
        entries = list(fleet.target_interface_address_by_name.values())

        def make(prefix, addresses):
            return [
                StubTarget(f"{prefix}-{service}", address, service, "east", entries)
                for service, address in zip(SERVICES, addresses, strict=True)
            ]

        sound = make("sound", fleet.target_address_by_name.values())
        sound += make("second", free_addresses(len(SERVICES)))
        flooding = make("flooding", [flood.address for flood in floods])
        for flood in floods:
            threading.Thread(target=flood.accept, daemon=True).start()
        thread = threading.Thread(
            target=curio.run, args=(run_targets, sound, flooding, stop)
        )
        thread.start()
        try:
            fleet.apply_text()
            address = fleet.caller_address_by_name[name]
            wait_until(lambda: ask_all(address, 0.1)["200"] > 0)
            yield address, fleet.processes_by_name[name], floods
        finally:
            stop.set()
            thread.join()
            for flood in floods:
                flood.close()


async def ask(address, path, ends):
    """Send a request; count its end."""
    headers = (WORKSPACE, ("Wagtailrun-Deadline-Ms", str(DEADLINE_MS)))
    client = HttpClient()
    body = json.dumps({"prompt": "a"}).encode()
    try:
        reply = await client.request(
            address,
            "POST",
            path,
            (*headers, ("Connection", "close")),
            body,
            timeout_ms=int(ANSWER_S * 1_000),
        )
    except TargetFailed as error:
        ends[f"no answer: {error}"] += 1
        return
    end = str(reply.status)
    if reply.status == 200 and path == PIPELINE:
        has_end = b"event: done" in reply.body or b"event: error" in reply.body
        end = "200" if has_end else "cut"
    elif reply.status != 200:
        end = json.loads(reply.body)["reason"]
    ends[end] += 1
    if path not in (PIPELINE, ORDER):
        ends[f"call {end}"] += 1


def ask_all(address, duration_s):
    """Send requests for a time, as several callers; return how they ended."""
    ends = Counter()
    paths = [PIPELINE, "/v1/services/dispatch-desk/stock-level", ORDER]

    async def call(number):
        while time.monotonic() < ends_s:
            await ask(address, paths[number % len(paths)], ends)

    async def main():
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(call, number)

    ends_s = time.monotonic() + duration_s
    curio.run(main)
    return ends


def check(ends, process):
    """Check that callers were served, or refused honestly, within the memory."""
    honest = {"200", "target-failed", "deadline", "overloaded", "no-target"}
    odd = {end for end in ends if not end.startswith("call ")} - honest
    assert not odd, ends
    assert ends["call 200"] > sum(ends[f"call {end}"] for end in honest) / 2, ends
    status = Path(f"/proc/{process.pid}/status").read_text("utf-8")
    peak_kb = int(re.search(r"VmHWM:\s+(\d+)", status).group(1))
    assert peak_kb / 1_024 < DEFAULT_MEMORY_MB, status


@pytest.mark.parametrize("part", TARGETS)
def test_target_without_measure_harms_only_its_requests(entry, part):
    """Guards against one target that stops an entry, or fills its memory."""
    address, process, floods = entry
    for flood in floods:
        flood.part = TARGETS[part]
    before = sum(flood.floods for flood in floods)
    ends = ask_all(address, CELL_S)
    assert sum(flood.floods for flood in floods) > before
    check(ends, process)


def flood_from_callers(address, data, stop):
    while not stop.is_set():
        with (
            suppress(OSError),
            socket.create_connection((address.host, address.port)) as sock,
        ):
            sock.settimeout(ANSWER_S)
            sock.sendall(data)
            sock.recv(PIECE_BYTES)


@pytest.mark.parametrize("flood", CALLERS_WITHOUT_MEASURE)
def test_caller_without_measure_harms_no_others(entry, flood):
    """Guards against one caller that stops an entry, or fills its memory."""
    address, process, floods = entry
    for target in floods:
        target.part = TARGETS["lines of a head"]
    stop = threading.Event()
    threads = [
        threading.Thread(
            target=flood_from_callers,
            args=(address, CALLERS_WITHOUT_MEASURE[flood], stop),
        )
        for _ in range(24)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    ends = ask_all(address, CELL_S)
    stop.set()
    for thread in threads:
        thread.join()
    check(ends, process)
