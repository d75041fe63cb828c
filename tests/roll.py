"""Stops real entries one after another beside callers that send late, by hand.

    python -m tests.roll [--entries 9] [--delay-ms 30] [--silent-ms 3000] [--seed 1]

Prints how the requests ended; exits with 1 if one of them got no answer.
"""

import argparse
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from itertools import pairwise
from pathlib import Path

import curio

from tests import test_relay_processes
from tests.test_relay_processes import (
    Targets,
    document,
    put,
    request_headers,
    running,
    send,
    wait_until_served,
)

GRACE_S = 8
STOP_INTERVAL_S = 1.23
CHANGE_INTERVAL_S = 0.7
CALLERS_PER_ENTRY = 3
# Callers go on for this long after the last entry was stopped.
AFTER_S = GRACE_S + 1
ANSWER_S = 12


class SlowTargets(Targets):
    """Targets whose engine is silent for a random time before it answers."""

    def __init__(self, fleet, silent_ms, seed):
        super().__init__(fleet)
        self.silent_ms = silent_ms
        self.random = random.Random(seed)

    async def handle_engine(self, request):
        await curio.sleep(self.random.uniform(0, self.silent_ms) / 1_000)
        return await super().handle_engine(request)


class Roll:
    """Callers of all entries, and what became of their requests."""

    def __init__(self, fleet, options):
        self.fleet = fleet
        self.options = options
        self.ends = Counter()
        self.cut = []
        self.stopped_s = {}
        self.running = True

    async def call(self, number, caller):
        """Send requests on new connections, each some time after it."""
        address = self.fleet.entry(number)
        sent = 0
        while self.running:
            sent += 1
            name = f"{number}-{caller}-{sent}"
            try:
                sock = await curio.open_connection(address.host, address.port)
            except OSError:
                self.ends["no connection"] += 1
                await curio.sleep(0.1)
                continue
            end = await self.exchange(sock, name)
            self.ends[end] += 1
            if end == "no answer":
                after_s = time.monotonic() - self.stopped_s.get(number, 0)
                self.cut.append((name, round(after_s, 3)))

    async def exchange(self, sock, name):
        headers = [*request_headers(name), ("Host", "works.example")]
        lines = "".join(f"{key}: {value}\r\n" for key, value in headers)
        data = f"POST /a/x HTTP/1.1\r\nContent-Length: 2\r\n{lines}\r\n{{}}".encode()
        try:
            await curio.sleep(self.options.delay_ms / 1_000)
            async with curio.timeout_after(ANSWER_S):
                await sock.sendall(data)
                received = await sock.recv(65_536)
        except OSError:
            received = b""
        except curio.TaskTimeout:
            return "no answer in time"
        finally:
            await sock.close()
        return received[9:12].decode() if received else "no answer"

    async def change(self):
        """Change the time limit of the route again and again."""
        version = 1
        while self.running:
            version += 1
            body = document(version).replace(b"8000", b"%d" % (8_000 + version % 7))
            address = self.fleet.control(version % 3 + 1)
            try:
                await send(address, "PUT", "/configuration", body)
            except test_relay_processes.TargetFailed:
                self.ends["change without answer"] += 1
            await curio.sleep(CHANGE_INTERVAL_S)

    async def stop(self, number):
        """Stop an entry and start it again."""
        process = self.fleet.processes[f"front-{number}"]
        process.send_signal(signal.SIGTERM)
        self.stopped_s[number] = time.monotonic()
        ends_s = self.stopped_s[number] + GRACE_S
        while process.poll() is None and time.monotonic() < ends_s:
            await curio.sleep(0.02)
        if process.poll() is None:
            self.ends["killed"] += 1
            process.kill()
        await curio.run_in_thread(process.wait)
        self.fleet.start_entry(number)


async def play(fleet, options):
    targets = SlowTargets(fleet, options.silent_ms, options.seed)
    await targets.start()
    numbers = range(1, options.entries + 1)
    for number in numbers[2:]:
        fleet.start_entry(number)
    await put(fleet, 1)
    for number in numbers:
        await wait_until_served(fleet, targets, number)
    roll = Roll(fleet, options)
    async with curio.TaskGroup() as group:
        for number in numbers:
            for caller in range(CALLERS_PER_ENTRY):
                await group.spawn(roll.call, number, caller)
        await group.spawn(roll.change)
        await curio.sleep(1)
        for number in numbers:
            await group.spawn(roll.stop, number)
            await curio.sleep(STOP_INTERVAL_S)
        await curio.sleep(AFTER_S)
        roll.running = False
    return roll


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--delay-ms", type=int, default=30)
    parser.add_argument("--silent-ms", type=int, default=3_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    test_relay_processes.GRACE_S = GRACE_S
    with tempfile.TemporaryDirectory() as folder, running(Path(folder)) as fleet:
        roll = curio.run(play, fleet, options)
        events = [line for name in fleet.processes for line in fleet.lines(name)]
    ended = [line for line in events if line["event"] == 103]
    took_s = [
        round(after["time"] - before["time"], 2)
        for before, after in pairwise(
            line for line in events if line["event"] in (102, 101)
        )
        if (before["event"], after["event"]) == (102, 101)
    ]
    print(options, dict(roll.ends))
    print(f"without an answer (entry-caller-number, s after SIGTERM): {roll.cut[:9]}")
    print(f"seconds from the signal to the end of all tasks: {took_s}")
    for field in ("unanswered", "answering", "unused_connections"):
        print(f"103 {field}: {sum(line.get(field, 0) for line in ended)}")
    sys.exit(bool(roll.cut))


if __name__ == "__main__":
    main()
