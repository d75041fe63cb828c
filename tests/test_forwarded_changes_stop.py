"""Tests of changes that control members forward to one that stops."""

import random
from types import SimpleNamespace
from unittest import mock

import curio
import pytest

from tests.virtual_sockets import run_with_virtual_sockets
from wagtailrun.discovery.messages import ShareRows
from wagtailrun.exceptions import Refusal, Verdict
from wagtailrun.ports.link import Address
from wagtailrun.registry.messages import TextVerdict
from wagtailrun.relay.control import RelayControl
from wagtailrun.settings import RelayControlSettings
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network

ELECTION_LIMIT_S = 15
# Followers confirm an entry of the log after this time, so that a change takes a while.
CONFIRM_S = 0.08
CHANGES = 12
# Time in which a member that gets a row knows it, also on a busy machine.
SHARED_S = 2
ROW = TargetRow("t1", Address("10.0.2.1", 80), "s", "a", 4, incarnation=10, sequence=1)


class Member:
    """A control member of which a test is the process."""

    def __init__(self, folder, addresses, peers):
        self.arguments = folder, addresses, peers
        settings = RelayControlSettings(
            name=f"c{peers.index(addresses[0])}",
            data_centre="a",
            operator_address=addresses[1],
            peer_address=addresses[0],
            peer_secret=b"secret-of-this-test",
            metrics_address=addresses[2],
            data_folder=str(folder),
            seeds=tuple(peers),
            founding=True,
        )
        self.control = RelayControl(settings, lambda store, hub: None, lambda: settings)
        self.control.peer_server.handler = self.handle_peer
        self.control.fleet_configuration.client.rng = random.Random(settings.name)
        self.tasks = []
        # Whether rows of other members get no answer here.
        self.stands_still = False

    async def handle_peer(self, message):
        if self.stands_still and isinstance(message, ShareRows):
            await curio.sleep(ELECTION_LIMIT_S)
        if not self.control.member.is_leader:
            await curio.sleep(CONFIRM_S)
        return await self.control.handle_peer(message)

    async def start(self):
        control = self.control
        # The signal handlers of a process belong to one member only.
        control.signals.polled_ms = control.clock.now_ms()
        for task in (
            control.peer_server.serve,
            control.operators.serve,
            control.hub.run,
            control.member_host.run,
        ):
            self.tasks.append(await curio.spawn(task))

    async def stop(self):
        """End like a process that got SIGTERM."""
        self.control.signals._count_stop(15, None)
        await self.control._stop_on_signal()
        await self.cancel()

    async def start_again(self):
        """Return the process that follows this one at its address."""
        member = Member(*self.arguments)
        await member.start()
        return member

    async def cancel(self):
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            await task.cancel()
        self.control.member_host.disk.close()

    async def put(self, version):
        configuration = SimpleNamespace(
            text=f"text {version}", table=SimpleNamespace(version=version)
        )
        return await self.control.fleet_configuration.put(configuration, "a test")

    @property
    def versions(self):
        """Versions in the audit trail, which holds each change that was applied."""
        records = self.control.registry.audit_records
        return [int(record.subject.split()[1]) for record in records]


def run_members(folder, client):
    """Run ``client(leader, others)`` with three members, under virtual time.

    A change has 900 ms in all, which a pause of the process would use up.
    """
    chance = random.Random(1)

    async def main():
        addresses = [
            [Address(f"10.0.0.{number}", port) for port in (1, 2, 3)]
            for number in (1, 2, 3)
        ]
        peers = [each[0] for each in addresses]
        members = [
            Member(folder / str(number), each, peers)
            for number, each in enumerate(addresses)
        ]
        for member in members:
            await member.start()
        try:
            async with curio.timeout_after(ELECTION_LIMIT_S):
                leader = await find_leader(members)
            others = [member for member in members if member is not leader]
            async with curio.timeout_after(2 * ELECTION_LIMIT_S):
                return await client(leader, others)
        finally:
            for member in members:
                await member.cancel()

    # Elections and retries wait for random times.
    with mock.patch.object(random, "SystemRandom", lambda: chance):
        return run_with_virtual_sockets(main)


async def find_leader(members):
    while True:
        for member in members:
            if member.control.member.is_leader:
                return member
        await curio.sleep(0.05)


def test_change_that_a_stopping_leader_has_taken_is_acknowledged(tmp_path):
    """Guards against an operator that cannot tell whether a change is in force."""

    async def client(leader, others):
        changing = await curio.spawn(others[0].put, 1)
        await curio.sleep(CONFIRM_S / 2)
        await leader.stop()
        verdict = await changing.join()
        new_leader = await find_leader(others)
        await new_leader.put(2)
        return verdict, new_leader.versions

    verdict, versions = run_members(tmp_path, client)
    assert isinstance(verdict, TextVerdict)
    assert verdict.accepted
    assert versions == [1, 2]


@pytest.mark.parametrize("both", [False, True])
def test_changes_during_the_stop_of_members_are_applied_once(tmp_path, both):
    """Guards against a change that is lost after its acknowledgement, or repeated.

    The leader stops; in one case the member that forwards does at the same time, so
    that operators turn to the third.
    """

    async def client(leader, others):
        first, second = others
        members = [first, second]
        operator = await curio.spawn(put_all, members)
        await curio.sleep(3 * CONFIRM_S)
        stopping = [await curio.spawn(leader.stop)]
        if both:
            stopping.append(await curio.spawn(first.stop))
        for task in stopping:
            await task.join()
        if both:
            # Two of three are needed.
            members.append(await first.start_again())
        outcomes = await operator.join()
        last = CHANGES + 1
        while not isinstance(await second.put(last), TextVerdict):
            await curio.sleep(0.1)
        while second.control.registry.revision < last:
            await curio.sleep(0.01)
        return outcomes, second.versions

    async def put_all(members):
        outcomes = []
        for version in range(1, CHANGES + 1):
            while True:
                # An operator turns to the next member after a refusal.
                outcome = await members[len(outcomes) % len(members)].put(version)
                outcomes.append((version, outcome))
                if isinstance(outcome, TextVerdict):
                    break
                await curio.sleep(0.05)
        return outcomes

    outcomes, versions = run_members(tmp_path, client)
    assert versions == list(range(1, CHANGES + 2))
    refused = [outcome for _, outcome in outcomes if isinstance(outcome, Refusal)]
    assert all(refusal.verdict is Verdict.MAY_HAVE_RUN for refusal in refused)


def test_goodbye_that_a_stopping_member_has_acknowledged_is_known_to_the_others(
    tmp_path,
):
    """Guards against requests for a target that has left, and was told so.

    One of the other members does not answer, so that messages to all of them wait.
    """

    async def client(leader, others):
        first, second = others
        second.stands_still = True
        await first.control.hub.report(ROW)
        async with curio.timeout_after(SHARED_S):
            while "t1" not in leader.control.hub.membership.targets_by_name:
                await curio.sleep(0.01)
        await first.control.hub.leave(ROW.name, ROW.incarnation)
        await first.stop()
        async with curio.ignore_after(SHARED_S):
            while not leader.control.hub.membership.targets_by_name["t1"].leaving:
                await curio.sleep(0.01)
        return leader.control.hub.membership.targets_by_name["t1"].leaving

    assert run_members(tmp_path, client)
