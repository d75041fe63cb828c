"""Stops real entries one after another beside callers that send late, by hand.

    python -m tests.roll {relay,product} [--entries 9] [--delay-ms 30] [--half-ms 0]
        [--still-ms 0] [--hangup-ms 0] [--silent-ms 3000] [--seed 1]
        [--pause-ms 0] [--away-ms 0]

With a pause, callers keep their connections and send the next request on them some
time after an answer. Prints how the requests ended; exits with 1 if one on a new
connection got no answer, or one on a kept connection that an entry has read, if
one that may run once ran twice, if one that was refused as "not run" ran, or if an
entry had to be killed.
"""

import argparse
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import pairwise
from pathlib import Path
from typing import Any

import curio
import h11

from demo.processes import Fleet
from demo.stub_target import StubTarget
from tests import test_relay_processes
from tests.roll_kept import KeptConnection
from tests.test_processes import ORDER, PIPELINE, SERVICES, TEXT, WORKSPACE
from tests.test_relay_processes import (
    Targets,
    document,
    put,
    request_headers,
    running,
    send,
    wait_until,
    wait_until_served,
)
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.serving.entry_stop import FORCED_END_MARGIN_MS, HANDOVER_TIMEOUT_MS

GRACE_S = 8
STOP_INTERVAL_S = 1.23
CHANGE_INTERVAL_S = 0.7
CALLERS_PER_ENTRY = 3
# Callers go on for this long after the last entry was stopped.
AFTER_S = GRACE_S + 1
ANSWER_S = 12
POLL_S = 0.02
# A stream takes 5 ms for each token.
MAX_TOKENS = 200
PREPARATION = b"POST / HTTP/1.1\r\nHost: a\r\n\r\n"


class SlowTargets(Targets):
    """Targets whose engine is silent for a random time before it answers."""

    def __init__(self, fleet, seed):
        super().__init__(fleet)
        self.silent_ms = 0
        self.random = random.Random(seed)

    async def handle_engine(self, request):
        await curio.sleep(self.random.uniform(0, self.silent_ms) / 1_000)
        return await super().handle_engine(request)


class SlowTarget(StubTarget):
    """Target of the product that is silent for a random time before it answers."""

    silent_ms = 0
    random = random.Random()

    async def handle(self, request):
        if request.path.startswith("/v1/calls/") or request.path.endswith("generate"):
            await curio.sleep(self.random.uniform(0, self.silent_ms) / 1_000)
        return await super().handle(request)


class Rolled(ABC):
    """Real entries of one kind, their targets, and requests for them."""

    # When an entry that still runs is killed, in seconds after its signal.
    limit_s: float

    @abstractmethod
    async def start(self) -> None:
        """Start the targets; return when all entries serve."""

    @abstractmethod
    def silence_targets(self, up_to_ms: int) -> None:
        """Let each answer of a target wait for a random time, in ms at most."""

    @abstractmethod
    def address(self, number: int) -> Address:
        """Return the caller address of an entry."""

    @abstractmethod
    def process(self, number: int) -> subprocess.Popen:
        """Return the process of an entry."""

    @abstractmethod
    def restart(self, number: int) -> None:
        """Start an entry that has ended."""

    @abstractmethod
    def request(self, name: str) -> bytes:
        """Return a request that no other one equals."""

    @abstractmethod
    async def change(self, version: int) -> bool:
        """Change the configuration; return whether it was accepted."""

    @abstractmethod
    def run_counts(self) -> Counter:
        """Return how often targets ran each request that may run only once, by name."""

    @abstractmethod
    def event_lines(self) -> list[dict[str, Any]]:
        """Return the log lines of all processes, in order, as far as they are JSON."""


class RolledRelay(Rolled):
    """Entries of the relay with the platform's adapter."""

    limit_s = GRACE_S

    def __init__(self, fleet, options):
        self.fleet = fleet
        self.numbers = range(1, options.entries + 1)
        self.targets = SlowTargets(fleet, options.seed)

    async def start(self):
        await self.targets.start()
        for number in self.numbers[2:]:
            self.fleet.start_entry(number)
        await put(self.fleet, 1)
        for number in self.numbers:
            await wait_until_served(self.fleet, self.targets, number)

    def silence_targets(self, up_to_ms):
        self.targets.silent_ms = up_to_ms

    def address(self, number):
        return self.fleet.entry(number)

    def process(self, number):
        return self.fleet.processes[f"front-{number}"]

    def restart(self, number):
        self.fleet.start_entry(number)

    def request(self, name):
        return render("/a/x", request_headers(name), {})

    async def change(self, version):
        # The time limit of the route changes.
        body = document(version).replace(b"8000", b"%d" % (8_000 + version % 7))
        address = self.fleet.control(version % 3 + 1)
        return (await send(address, "PUT", "/configuration", body)).status == 200

    def run_counts(self):
        return Counter(each.headers["attempt-id"] for each in self.targets.requests)

    def event_lines(self):
        return [
            line for name in self.fleet.processes for line in self.fleet.lines(name)
        ]


class RolledProduct(Rolled):
    """The product's own entries."""

    limit_s = GRACE_S + (HANDOVER_TIMEOUT_MS + FORCED_END_MARGIN_MS) / 1_000

    def __init__(self, fleet, options):
        self.fleet = fleet
        self.names = list(fleet.caller_address_by_name)
        self.revision = 0
        SlowTarget.random = random.Random(options.seed)
        self.targets = [
            SlowTarget(
                name,
                address,
                name.split("-", 1)[1],
                "east",
                list(fleet.target_interface_address_by_name.values()),
            )
            for name, address in fleet.target_address_by_name.items()
        ]

    async def start(self):
        for target in self.targets:
            await curio.spawn(target.run, daemon=True)

        async def applied():
            return await self.change(1)

        await wait_until(applied, "no fleet text is accepted")
        for name in self.names:

            async def served(address=self.fleet.caller_address_by_name[name]):
                if (await send(address, "GET", "/readyz")).status != 200:
                    return False
                reply = await send(address, "POST", PIPELINE, b"{}", [WORKSPACE])
                return reply.status == 200

            await wait_until(served, f"{name} does not serve")

    def silence_targets(self, up_to_ms):
        SlowTarget.silent_ms = up_to_ms

    def address(self, number):
        return self.fleet.caller_address_by_name[self.names[number - 1]]

    def process(self, number):
        return self.fleet.processes_by_name[self.names[number - 1]]

    def restart(self, number):
        self.fleet.restart(self.names[number - 1])

    def request(self, name):
        random_part = random.Random(name)
        if random_part.random() < 0.5:
            headers = [WORKSPACE, ("Idempotency-Key", name)]
            return render(ORDER, headers, {"name": name})
        tokens = random_part.randint(1, MAX_TOKENS)
        return render(PIPELINE, [WORKSPACE], {"prompt": name, "tokens": tokens})

    async def change(self, version):
        # A price changes.
        text = TEXT.replace("token_in = 2", f"token_in = {2 + version % 7}")
        addresses = list(self.fleet.operator_address_by_name.values())
        credential = self.fleet.environment["WAGTAILRUN_OPERATOR_CREDENTIAL"]
        reply = await send(
            addresses[version % len(addresses)],
            "POST",
            "/v1/text",
            json.dumps({"text": text, "base_revision": self.revision}).encode(),
            [("Authorization", f"Bearer {credential}")],
        )
        value = json.loads(reply.body)
        self.revision = value.get("revision", self.revision)
        return reply.status == 200

    def run_counts(self):
        runs = sum((target.runs_by_key for target in self.targets), Counter())
        # Each key ends with the body of its order.
        return Counter(
            {
                json.loads(key.partition(" ")[2]).get("name", ""): count
                for key, count in runs.items()
            }
        )

    def event_lines(self):
        return []


def render(path, headers, body):
    """Return the bytes of a request after which the server ends the connection."""
    data = json.dumps(body).encode()
    fields = [("Host", "works.example"), ("Connection", "close"), *headers]
    lines = "".join(f"{key}: {value}\r\n" for key, value in fields)
    head = f"POST {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n{lines}\r\n"
    return head.encode() + data


def describe(received):
    """Return the status of an answer, and whether it was cut; or that there is none."""
    if not received:
        return "no answer"
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="POST", target="/", headers=[("Host", "a")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(received)
    parser.receive_data(b"")
    status, body = "", b""
    try:
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = str(event.status_code)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                return f"{status} cut"
    except h11.RemoteProtocolError:
        return f"{status} cut"
    return f"{status} error event" if b"event: error" in body else status


class Roll:
    """Callers of all entries, and what became of their requests."""

    def __init__(self, rolled, options):
        self.rolled = rolled
        self.options = options
        self.random = random.Random(options.seed)
        self.ends = Counter()
        self.unanswered = []
        # Those on connections that had carried another one before.
        self.unanswered_kept = []
        self.cut = []
        # Names of requests that were refused as "not run".
        self.not_run = set()
        self.stopped_s = {}
        self.took_s = []
        self.running = True

    async def call(self, number, caller):
        """Send requests on new connections, each some time after it."""
        address = self.rolled.address(number)
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
            received = await self.exchange(sock, self.rolled.request(name))
            self.record(number, name, received, self.unanswered)

    async def call_kept(self, number, caller):
        """Send requests on a connection that is kept, with pauses between them."""
        address = self.rolled.address(number)
        sent = 0
        kept = None
        while self.running:
            if kept is not None and kept.is_ended():
                self.ends["ended between requests"] += 1
                await kept.sock.close()
                kept = None
            if kept is None:
                try:
                    sock = await curio.open_connection(address.host, address.port)
                except OSError:
                    self.ends["no connection"] += 1
                    await curio.sleep(0.1)
                    continue
                kept = KeptConnection(sock, self.options.away_ms)
            sent += 1
            name = f"{number}-{caller}-{sent}"
            missing = self.unanswered_kept if kept.was_used else self.unanswered
            goes_on, received = await self.exchange_kept(kept, name)
            self.record(number, name, received, missing)
            if not goes_on:
                await kept.sock.close()
                kept = None
            await curio.sleep(self.random.expovariate(1_000 / self.options.pause_ms))

    async def exchange_kept(self, kept, name):
        """Return whether the connection stays open, and the answer to a request."""
        data = self.rolled.request(name).replace(b"Connection: close\r\n", b"", 1)
        received = bytearray()
        goes_on = False
        try:
            async with curio.timeout_after(ANSWER_S):
                goes_on = await kept.exchange(data, received)
        except OSError:
            pass
        except curio.TaskTimeout:
            self.ends["no end in time"] += 1
        return goes_on, bytes(received)

    def record(self, number, name, received, missing):
        """Record how a request ended; ``missing`` gets it if it has no answer."""
        if b'"verdict": "not-run"' in received:
            self.not_run.add(name)
        end = describe(received)
        self.ends[end] += 1
        after_s = time.monotonic() - self.stopped_s.get(number, 0)
        if end == "no answer":
            missing.append((name, round(after_s, 3)))
        elif end.endswith("cut"):
            self.cut.append((name, round(after_s, 3)))

    async def exchange(self, sock, data):
        """Send a request; return all that is received."""
        received = b""
        half = len(data) // 3 if self.options.half_ms else len(data)
        try:
            await curio.sleep(self.options.delay_ms / 1_000)
            async with curio.timeout_after(ANSWER_S):
                await sock.sendall(data[:half])
                await curio.sleep(self.options.half_ms / 1_000)
                if data[half:]:
                    await self.send_rest(sock, data[half:])
                while piece := await sock.recv(65_536):
                    received += piece
        except OSError:
            pass
        except curio.TaskTimeout:
            self.ends["no end in time"] += 1
        finally:
            await sock.close()
        return received

    @staticmethod
    async def send_rest(sock, data):
        """Send the rest of a request, which may have been refused meanwhile."""
        try:
            await sock.sendall(data)
        except BrokenPipeError:
            return

    async def change(self):
        """Change the configuration again and again."""
        version = 1
        while self.running:
            version += 1
            try:
                accepted = await self.rolled.change(version)
                self.ends["change" if accepted else "change refused"] += 1
            except TargetFailed:
                self.ends["change without answer"] += 1
            await curio.sleep(CHANGE_INTERVAL_S)

    async def stop(self, number):
        """Stop an entry and start it again."""
        process = self.rolled.process(number)
        process.send_signal(signal.SIGTERM)
        started_s = self.stopped_s[number] = time.monotonic()
        still = await curio.spawn(self.stand_still, process)
        hangup = await curio.spawn(self.hang_up, process)
        while (
            process.poll() is None
            and time.monotonic() < started_s + self.rolled.limit_s
        ):
            await curio.sleep(POLL_S)
        if process.poll() is None:
            self.ends["killed"] += 1
            process.kill()
        else:
            self.took_s.append(round(time.monotonic() - started_s, 2))
            if process.returncode:
                self.ends[f"exit code {process.returncode}"] += 1
        await still.join()
        await hangup.join()
        await curio.run_in_thread(process.wait)
        self.rolled.restart(number)

    async def stand_still(self, process):
        """Let an entry stand still in the middle of its stop."""
        if not self.options.still_ms:
            return
        await curio.sleep(self.random.uniform(0, GRACE_S - 2))
        if process.poll() is None:
            self.ends["stood still"] += 1
            process.send_signal(signal.SIGSTOP)
            await curio.sleep(self.options.still_ms / 1_000)
            process.send_signal(signal.SIGCONT)

    async def hang_up(self, process):
        """Send SIGHUP to an entry again and again while it stops."""
        while self.options.hangup_ms and process.poll() is None:
            process.send_signal(signal.SIGHUP)
            await curio.sleep(self.options.hangup_ms / 1_000)


async def play(rolled, options):
    await rolled.start()
    # With silent targets the start takes longer than it may.
    rolled.silence_targets(options.silent_ms)
    numbers = range(1, options.entries + 1)
    roll = Roll(rolled, options)
    async with curio.TaskGroup() as group:
        for number in numbers:
            for caller in range(CALLERS_PER_ENTRY):
                call = roll.call_kept if options.pause_ms else roll.call
                await group.spawn(call, number, caller)
        await group.spawn(roll.change)
        await curio.sleep(1)
        for number in numbers:
            await group.spawn(roll.stop, number)
            await curio.sleep(STOP_INTERVAL_S)
        await curio.sleep(AFTER_S)
        roll.running = False
    return roll


@contextmanager
def started(options) -> Iterator[Rolled]:
    """Start the processes of the kind of entries that the options name."""
    if options.kind == "relay":
        test_relay_processes.GRACE_S = GRACE_S
        with tempfile.TemporaryDirectory() as folder, running(Path(folder)) as fleet:
            yield RolledRelay(fleet, options)
        return
    fleet = Fleet(
        TEXT,
        ["east"],
        SERVICES,
        entries_per_centre=options.entries,
        entry_flags=[f"--drain-limit-ms={GRACE_S * 1_000}"],
        starts_targets=False,
    )
    with fleet:
        yield RolledProduct(fleet, options)


def print_stop_lines(lines):
    """Print what the processes logged about their stops."""
    took_s = [
        round(after["time"] - before["time"], 2)
        for before, after in pairwise(
            line for line in lines if line["event"] in (102, 101)
        )
        if (before["event"], after["event"]) == (102, 101)
    ]
    print(f"seconds from the signal to the end of all tasks: {took_s}")
    ended = [line for line in lines if line["event"] == 103]
    for field in ("unanswered", "answering", "unused_connections"):
        print(f"103 {field}: {sum(line.get(field, 0) for line in ended)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=["relay", "product"])
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--delay-ms", type=int, default=30)
    parser.add_argument("--half-ms", type=int, default=0)
    parser.add_argument("--still-ms", type=int, default=0)
    parser.add_argument("--hangup-ms", type=int, default=0)
    parser.add_argument("--silent-ms", type=int, default=3_000)
    parser.add_argument("--pause-ms", type=int, default=0)
    parser.add_argument("--away-ms", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with started(options) as rolled:
        roll = curio.run(play, rolled, options)
        lines = rolled.event_lines()
        runs = rolled.run_counts()
    repeated = {name for name, count in runs.items() if count > 1}
    untrue = roll.not_run & runs.keys()
    print(options, dict(roll.ends))
    print(f"without an answer (name, s after SIGTERM): {roll.unanswered[:9]}")
    crossed = roll.unanswered_kept
    print(f"without an answer on kept connections, {len(crossed)}: {crossed[:9]}")
    logged = runs.keys() | {line.get("request_id") for line in lines}
    read = sorted(name for name, _ in crossed if name in logged)
    print(f"of these, read by an entry: {read[:9]}")
    print(f"cut (name, s after SIGTERM): {roll.cut[:9]}")
    names = {name for name, _ in roll.cut}
    for line in lines:
        if line.get("request_id") in names:
            print(line)
    print(f"ran more than once: {sorted(repeated)[:9]}")
    print(f"of {len(roll.not_run)} refused as not run, ran: {sorted(untrue)[:9]}")
    print(f"seconds from the signal to the end of the process: {roll.took_s}")
    print_stop_lines(lines)
    faults = (roll.unanswered, read, repeated, untrue, roll.ends["killed"])
    sys.exit(any(faults))


if __name__ == "__main__":
    main()
