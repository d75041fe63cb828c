"""Tests of control members, of both daemons, whose leader gets a signal to stop."""

import curio
import pytest

from demo.processes import free_addresses
from tests.test_forwarded_changes_stop import ELECTION_LIMIT_S, find_leader, run_members
from wagtailrun.consensus.timing import Timing
from wagtailrun.control.daemon import Control
from wagtailrun.relay.control import CONSENSUS_TIMING
from wagtailrun.settings import ControlSettings

pytestmark = pytest.mark.network


async def successor_within(limit_ms, others):
    """Return a member that leads within a time, None without one."""
    async with curio.ignore_after(limit_ms / 1_000):
        return await find_leader(others)


def test_relay_member_hands_over(tmp_path):
    """Guards against changes that wait for an election after a planned stop."""

    async def client(leader, others):
        term = leader.control.member.term
        await leader.stop()
        # No follower starts an election by itself before this time.
        successor = await successor_within(CONSENSUS_TIMING.lease_ms, others)
        return successor and successor.control.member.term - term

    assert run_members(tmp_path, client) == 1


class ProductMember:
    """A control member of the product of which a test is the process."""

    def __init__(self, folder, name, addresses, bootstrap):
        operator_address, peer_address = addresses
        self.control = Control(
            ControlSettings(
                name=name,
                data_centre="a",
                operator_address=operator_address,
                peer_address=peer_address,
                data_folder=str(folder),
                peer_secret=b"secret-of-this-test",
                operator_credential="credential-of-this-test",
                control_peers=tuple(
                    address for _, address in bootstrap if address != peer_address
                ),
                bootstrap=bootstrap,
                memory_mb=256,
            )
        )
        self.control.member = self.control.member_host
        self.tasks = []

    async def start(self):
        control = self.control
        for task in (
            control.peer_server.serve,
            control.operator_server.serve,
            control.member_host.run,
        ):
            self.tasks.append(await curio.spawn(task))

    async def stop(self):
        """End like a process that got SIGTERM, without the timer that would end it."""
        signals = self.control.signals
        signals.forced_end_ms = None
        signals.polled_ms = self.control.clock.now_ms()
        signals._count_stop(15, None)
        await self.control.planned_stop.run()
        await self.cancel()

    async def cancel(self):
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            await task.cancel()
        self.control.member_host.disk.close()


def test_product_member_hands_over(tmp_path):
    """Guards against changes that wait for an election after a planned stop."""

    async def main():
        addresses = [free_addresses(2) for _ in range(3)]
        bootstrap = tuple((f"c{n}", each[1]) for n, each in enumerate(addresses))
        members = [
            ProductMember(tmp_path / name, name, each, bootstrap)
            for (name, _), each in zip(bootstrap, addresses, strict=True)
        ]
        for member in members:
            await member.start()
        try:
            async with curio.timeout_after(ELECTION_LIMIT_S):
                leader = await find_leader(members)
            term = leader.control.member_host.member.term
            others = [member for member in members if member is not leader]
            await leader.stop()
            # No follower starts an election by itself before this time.
            successor = await successor_within(Timing().lease_ms, others)
            return successor and successor.control.member_host.member.term - term
        finally:
            for member in members:
                await member.cancel()

    assert curio.run(main) == 1
