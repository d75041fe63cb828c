"""Tests of the product's dispatcher where this process cannot open connections."""

import errno
import os
import re
from contextlib import aclosing

import attrs
import curio
import pytest

from wagtailrun.adapters import numeric_connection
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.serving.daemon import Entry
from wagtailrun.serving.dispatch import make_dispatcher
from wagtailrun.targets.table import Membership, TargetRow
from wagtailrun.targets.work import Work
from wagtailrun.virtual_time import run_virtual

TARGETS = 3
DEADLINE_MS = 5_000
FOR_ALL = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
TOKENS = 4
# Well below the first time-out of an attempt.
REFUSED_MS = 50
CALL = Work("s", "/v1/calls/x", b"{}", "r", "w", 0, stage="x")
ORDER = attrs.evolve(CALL, idempotent=False)
STREAM = attrs.evolve(CALL, path="/v1/stages/generate", stage="generate")


def token(offset):
    return b'event: token\ndata: {"offset": %d, "text": "x"}\n\n' % offset


class TargetSocket:
    """Connection to a sound target, which answers at once.

    Args:
        tokens: Number of tokens of a stream before it breaks; all by default.
        is_silent: Whether the target never answers.
    """

    def __init__(self, tokens=None, is_silent=False):
        self.tokens = tokens
        self.is_silent = is_silent
        self.pieces = []

    def setsockopt(self, *option):
        pass

    async def sendall(self, data):
        number = re.search(rb"Wagtailrun-Attempt: (\d+)", data)[1]
        first = re.search(rb"Resume-Offset: (\d+)", data)
        body = b"{}"
        if b"/generate" in data:
            end = TOKENS if self.tokens is None else self.tokens
            start = int(first[1]) if first else 0
            body = b"".join(token(offset) for offset in range(start, end))
            if self.tokens is None:
                body += b'event: done\ndata: {"tokens": %d}\n\n' % TOKENS
        length = len(body) + (self.tokens is not None)
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nWagtailrun-Attempt: %s\r\n"
        self.pieces = [
            head % number + b"Content-Length: %d\r\n\r\n" % length + body,
            b"",
        ]

    async def recv(self, size):
        if self.is_silent:
            await curio.sleep(3_600)
        return self.pieces.pop(0)

    async def close(self):
        pass


class Network:
    """Fake socket layer, which may have no room for connections.

    Attributes:
        number: Error number of connections; 0 if there is room.
        full: Hosts that it concerns; all by default.
        tries: Hosts of all connections that were tried.
        make_socket: Returns the socket of a connection.
    """

    def __init__(self, number=0):
        self.number = number
        self.full = None
        self.tries = []
        self.make_socket = TargetSocket

    async def open_connection(self, address):
        self.tries.append(address.host)
        if self.number and (self.full is None or address.host in self.full):
            raise OSError(self.number, os.strerror(self.number))
        return self.make_socket()


def run_dispatcher(network, main):
    """Run ``main(clock, dispatcher)`` in virtual time and return its result."""

    async def run(clock):
        membership = Membership("east")
        for number in range(TARGETS):
            address = Address(f"10.0.0.{number + 1}", 80)
            row = TargetRow(f"t{number}", address, "s", "east", 4)
            membership.put(row, clock.now_ms())
        membership.unconfirmed = True  # Nobody announces the targets in this test.
        client = HttpClient(clock)

        async def probe(address):
            return await Entry._answers_new_connection(Prober(client), address)

        dispatcher = make_dispatcher(
            clock, membership, HttpTargetClient(client), name="e", probe=probe, seed=1
        )
        return await main(clock, dispatcher)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(numeric_connection, "open_connection", network.open_connection)
        return run_virtual(run)


@attrs.frozen
class Prober:
    """The part of an entry that probes targets."""

    http: HttpClient


def due(clock, work):
    return attrs.evolve(work, deadline_at_ms=clock.now_ms() + DEADLINE_MS)


def marks(dispatcher):
    """Return what the dispatcher holds against its targets."""
    router = dispatcher.router
    slow = router.throttle.peers_by_name.values()
    return (
        list(router.paths.observations_by_name),
        [sample for peer in slow for _, sample in peer.samples if sample >= 10],
        [s.in_flight for s in router.health.states_by_name.values() if s.in_flight],
    )


async def stream(dispatcher, work):
    """Return the offsets that a caller receives, and the refusal, if any."""
    seen = []
    async with aclosing(dispatcher.stream(work)) as items:
        async for item in items:
            if isinstance(item, Refusal):
                return seen, item
            seen += [each.offset for each in item if not each.last]
    return seen, None


async def run_work(dispatcher, work):
    """Return the refusal of some work; None if it was answered."""
    if work.stage == "generate":
        return (await stream(dispatcher, work))[1]
    answer = await dispatcher.call(work)
    return answer if isinstance(answer, Refusal) else None


@pytest.mark.parametrize("number", FOR_ALL)
@pytest.mark.parametrize("work", [CALL, ORDER, STREAM], ids=["call", "order", "stream"])
def test_work_without_a_connection_is_refused_and_no_target_is_marked(number, work):
    """Guards against sound targets that are avoided while this entry is at its limit.

    Each request was tried at all targets, and all of them counted as unreachable until
    they announced themselves again.
    """
    network = Network(number)

    async def main(clock, dispatcher):
        began_ms = clock.now_ms()
        tokens = dispatcher.budget.tokens_by_service["s"]
        short = [await run_work(dispatcher, due(clock, work)) for _ in range(10)]
        took_ms = clock.now_ms() - began_ms
        spent = dispatcher.budget.tokens_by_service["s"] < tokens
        tries = len(network.tries)
        network.number = 0
        began_ms = clock.now_ms()
        after = [await run_work(dispatcher, due(clock, work)) for _ in range(10)]
        served_ms = clock.now_ms() - began_ms
        return short, took_ms, spent, tries, after, served_ms, marks(dispatcher)

    short, took_ms, spent, tries, after, served_ms, found = run_dispatcher(
        network, main
    )
    for refusal in short:
        assert refusal.reason is RefusalReason.OVERLOADED
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_ms >= 1_000
    assert tries == 10
    assert took_ms < REFUSED_MS
    assert not spent
    assert after == [None] * 10
    assert served_ms < REFUSED_MS
    assert found == ([], [], [])


def test_lack_of_ports_for_one_target_leaves_the_others():
    """Guards against work that is refused, or avoids a target, for a lack of ports.

    Local ports are counted for each remote address.
    """
    network = Network(errno.EADDRNOTAVAIL)
    network.full = {"10.0.0.1", "10.0.0.2"}

    async def main(clock, dispatcher):
        dispatcher.budget.tokens_by_service["s"] = 0.0
        answers = [await run_work(dispatcher, due(clock, CALL)) for _ in range(10)]
        network.full = None
        short = await run_work(dispatcher, due(clock, CALL))
        return answers, short, marks(dispatcher)

    answers, short, found = run_dispatcher(network, main)
    assert answers == [None] * 10
    assert (short.reason, short.verdict) == (
        RefusalReason.OVERLOADED,
        Verdict.NOT_RUN,
    )
    assert found == ([], [], [])


def test_stream_goes_on_once_there_is_room():
    """Guards against a stream that ends early for a short lack of descriptors."""
    network = Network()

    def break_early():
        network.make_socket = TargetSocket
        network.number = errno.EMFILE
        return TargetSocket(tokens=2)

    network.make_socket = break_early

    async def main(clock, dispatcher):
        async def make_room():
            await clock.sleep_ms(1_000)
            network.number = 0

        dispatcher.budget.tokens_by_service["s"] = 1.0
        await curio.spawn(make_room, daemon=True)
        seen, refusal = await stream(dispatcher, due(clock, STREAM))
        return seen, refusal, marks(dispatcher)[0]

    assert run_dispatcher(network, main) == (list(range(TOKENS)), None, [])


def silent_network():
    """Return a network with one silent connection, and no descriptor after it."""
    network = Network()

    def stay_silent():
        network.number = errno.EMFILE
        return TargetSocket(is_silent=True)

    network.make_socket = stay_silent
    return network


def record_estimates(dispatcher):
    """Let the dispatcher expect an answer soon."""
    for _ in range(30):
        dispatcher.estimates.record("s", "x", CALL.size_class, 60, 100)


def test_silent_target_is_not_unreachable_where_it_cannot_be_probed():
    """Guards against a target that is marked as its probe got no descriptor."""
    network = silent_network()

    async def main(clock, dispatcher):
        record_estimates(dispatcher)
        dispatcher.options = attrs.evolve(dispatcher.options, hedges=False)
        refusal = await run_work(dispatcher, due(clock, CALL))
        return refusal.reason, len(network.tries), marks(dispatcher)[0]

    reason, tries, unreachable = run_dispatcher(network, main)
    assert reason is RefusalReason.DEADLINE
    # The attempt, its probe, and the request that cancels it.
    assert 2 <= tries <= 3
    assert unreachable == []


def test_hedge_without_a_connection_costs_no_retry():
    """Guards against a retry budget that hedges use up which were never sent."""
    network = silent_network()

    async def main(clock, dispatcher):
        record_estimates(dispatcher)
        dispatcher.budget.tokens_by_service["s"] = 12.0
        dispatcher.options = attrs.evolve(dispatcher.options, detect_stalls=False)
        await run_work(dispatcher, due(clock, CALL))
        tokens = dispatcher.budget.tokens_by_service["s"]
        return dispatcher.counts["hedge"], tokens, marks(dispatcher)[0]

    hedges, tokens, unreachable = run_dispatcher(network, main)
    assert hedges == 1
    assert tokens >= 12.0
    assert unreachable == []
