"""Tests of relay processes that their peers reach at the address of a proxy."""

import curio
import pytest

from soak.links import Effect, LinkFault, LinkProxy
from tests.test_relay_processes import (
    Fleet,
    Targets,
    control_host,
    document,
    entry_host,
    put,
    send,
    wait_until_served,
)
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address

pytestmark = pytest.mark.network

# Added to the port that the peers connect to.
LISTEN_PORT_OFFSET = 20_000
LIMIT_S = 60


class ProxiedFleet(Fleet):
    """Each process listens at an address that no other process is told."""

    def settings(self, name, ip, extra):
        address = f"{ip}:{self.peer_port + LISTEN_PORT_OFFSET}"
        return super().settings(name, ip, {"PEER_LISTEN_ADDRESS": address, **extra})

    def link(self, ip):
        return (
            Address(ip, self.peer_port),
            Address(ip, self.peer_port + LISTEN_PORT_OFFSET),
        )


def test_processes_reach_each_other_only_at_the_peer_address(tmp_path):
    """Guards against a process that tells its peers the address it listens at."""
    fleet = ProxiedFleet(tmp_path)
    proxy = LinkProxy()
    ip_by_name = {f"core-{n}": control_host(n) for n in (1, 2, 3)}
    ip_by_name |= {f"front-{n}": entry_host(n) for n in (1, 2)}

    async def change(number):
        try:
            reply = await send(
                fleet.control(number), "PUT", "/configuration", document(2)
            )
        except TargetFailed:
            return None
        return reply.status

    async def main():
        for name, ip in ip_by_name.items():
            await proxy.add(name, *fleet.link(ip))
        for number in (1, 2, 3):
            fleet.start_control(number)
        for number in (1, 2):
            fleet.start_entry(number)
        targets = Targets(fleet)
        await targets.start()
        await put(fleet, 1)
        for number in (1, 2):
            await wait_until_served(fleet, targets, number)
        usage = (await proxy.report()).usage
        used = {each.link for each in usage if each.bytes_to_source}
        assert used >= {"core-1", "core-2", "core-3"}
        # Which entry asks the other one for a place depends on the request.
        assert used & {"front-1", "front-2"}
        # A connection that does not pass the proxy would still carry bytes.
        links = list(ip_by_name)
        await proxy.begin(LinkFault(name="cut", effect=Effect.REFUSE, links=links))
        await proxy.begin(LinkFault(name="end", effect=Effect.RESET, links=links))
        assert 200 not in [await change(number) for number in (1, 2, 3)]

    async def limited():
        async with curio.timeout_after(LIMIT_S):
            await main()

    try:
        curio.run(limited)
    finally:
        proxy.stop()
        for process in fleet.processes.values():
            process.kill()
            process.wait(10)
