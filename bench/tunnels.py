"""Benchmark of requests whose connections another entry carries."""

import time

import attrs
import curio

from demo.processes import free_addresses
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import HttpServer, Request, Response
from wagtailrun.adapters.tcp_link import PeerServer, TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.relay.paths.tunnels import PathConnector, TunnelHost
from wagtailrun.targets.table import TargetRow

REQUESTS = 200
EVENTS = 50
TIMEOUT_MS = 30_000
SECRET = b"secret of the benchmark"
OWN = EntryRow("own", Address("127.0.0.1", 1), "a", 1)


@attrs.define
class _View:
    """View of a fleet with one target and one other entry."""

    row: TargetRow
    entries: tuple[EntryRow, ...] = (OWN,)
    own_row: EntryRow = OWN

    def live_entries(self) -> tuple[EntryRow, ...]:
        """Return the entries."""
        return self.entries

    def row_at(self, address: Address) -> TargetRow:
        """Return the target."""
        return self.row

    def target_addresses(self) -> list[Address]:
        """Return the address of the target."""
        return [self.row.address]

    def known_target(self, name: str) -> TargetRow:
        """Return the target."""
        return self.row


async def _serve_events(request: Request) -> Response:
    async def pieces():
        for number in range(EVENTS):
            yield b"id: %d\ndata: token\n\n" % number
            await curio.sleep(0)

    return Response(200, pieces())


def _cpu_us(*, through_other: bool) -> tuple[float, float]:
    """Return processor time and wall time of a request in microseconds."""

    async def main() -> tuple[float, float]:
        target, peer = free_addresses(2)
        view = _View(TargetRow("t", target, "s", "a", 4))
        clock = SystemClock()
        carrier = PathConnector(clock, None, view)
        host = TunnelHost(clock, view, carrier, lambda address: 0, lambda: False)
        tasks = [
            await curio.spawn(HttpServer(target, _serve_events).serve, daemon=True),
            await curio.spawn(PeerServer(peer, SECRET, host.open).serve, daemon=True),
        ]
        await curio.sleep(0.05)
        other = EntryRow("other", peer, "a", 1)
        view = attrs.evolve(view, entries=(OWN, other))
        link = TcpPeerLink(SECRET)
        connector = PathConnector(clock, link, view)
        connector.paths.is_cut_off = through_other
        client = HttpClient(connector=connector)
        cpu_s, wall_s = time.process_time(), time.monotonic()
        for _ in range(REQUESTS):
            await client.request(
                target,
                "POST",
                "/",
                timeout_ms=TIMEOUT_MS,
                new_connection=True,
            )
        cpu_s, wall_s = time.process_time() - cpu_s, time.monotonic() - wall_s
        for task in tasks:
            await task.cancel()
        return cpu_s / REQUESTS * 1e6, wall_s / REQUESTS * 1e6

    return curio.run(main)


def run() -> list[dict]:
    """Measure requests over new connections, direct and through another entry."""
    direct = _cpu_us(through_other=False)
    carried = _cpu_us(through_other=True)
    rows = []
    for name, first, value in zip(("CPU", "time"), direct, carried, strict=True):
        row = {"name": f"carried request of {EVENTS} events, {name}", "unit": "us"}
        row |= {"better": "lower", "baseline": round(first), "value": round(value)}
        rows.append(row | {"bound": None, "holds": None})
    return rows
