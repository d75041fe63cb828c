"""Tests of first starts in which a control member ends, with real processes."""

import time

import curio
import pytest

from demo.processes import Fleet as ProductFleet
from tests.test_consensus_processes import TEXT, apply_at, wait_revision
from tests.test_relay_processes import Fleet, document, logged, put, send
from wagtailrun.exceptions import TargetFailed
from wagtailrun.logs.events import FOUNDING_REFUSED

pytestmark = pytest.mark.network

NUMBERS = (1, 2, 3)
RESTART_DELAY_S = 0.5
# Three times the time in which a cluster of members that run is founded.
UNFOUNDED_S = 6


class FirstStart(Fleet):
    """Three control members at their first start, of which some end at once."""

    def start_control(self, number, founding=True):
        self.founding = "true" if founding else "false"
        super().start_control(number)

    def settings(self, name, ip, extra):
        return super().settings(name, ip, {**extra, "FOUNDING": self.founding})

    def end_at_start(self, number):
        """Start a member and end it before it runs any of its code."""
        self.start_control(number)
        process = self.processes[f"core-{number}"]
        process.kill()
        process.wait(10)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(10)


@pytest.fixture
def fleet(tmp_path):
    fleet = FirstStart(tmp_path)
    try:
        yield fleet
    finally:
        fleet.close()


async def offer(fleet, number, version):
    """Return the status of a configuration that is sent to a member, 0 without one."""
    try:
        address = fleet.control(number)
        reply = await send(address, "PUT", "/configuration", document(version))
    except TargetFailed:
        return 0
    return reply.status


@pytest.mark.parametrize("ending", NUMBERS)
def test_member_that_ends_at_its_first_start_stops_no_configuration(fleet, ending):
    """Guards against a first configuration that is never acknowledged.

    Each member takes one in the end, also the one that ended.
    """

    async def main():
        fleet.end_at_start(ending)
        for number in NUMBERS:
            if number != ending:
                fleet.start_control(number)
        time.sleep(RESTART_DELAY_S)
        fleet.start_control(ending, founding=False)
        for version in (1, 2, 3):
            await put(fleet, version)

    curio.run(main)


def test_two_of_three_members_found_without_the_third(fleet):
    """Guards against a start that waits for a member that does not come."""

    async def main():
        fleet.end_at_start(1)
        for number in (2, 3):
            fleet.start_control(number)
        # Sent to the members 2 and 3.
        await put(fleet, 1)
        await put(fleet, 2)
        fleet.start_control(1, founding=False)
        await put(fleet, 3)

    curio.run(main)


def test_members_that_may_not_found_accept_no_configuration(fleet):
    """Guards against a second log by members that may have lost the first one."""

    async def main():
        for number in (1, 2):
            fleet.end_at_start(number)
            fleet.start_control(number, founding=False)
        fleet.start_control(3)
        end_s = time.monotonic() + UNFOUNDED_S
        statuses = set()
        while time.monotonic() < end_s:
            statuses |= {await offer(fleet, number, 1) for number in NUMBERS}
            await curio.sleep(0.2)
        return statuses

    statuses = curio.run(main)
    assert 503 in statuses
    assert statuses <= {0, 503}


def test_seed_alone_founds_nothing_while_losses_are_to_be_tolerated(fleet):
    """Guards against a member with a list of its own that founds a log of its own."""
    fleet.seeds = str(fleet.control(1))

    async def main():
        fleet.start_control(1)
        number = FOUNDING_REFUSED.number
        lines = await logged(fleet, "core-1", number, 1)
        details = [line["detail"] for line in lines if line["event"] == number]
        return details, await offer(fleet, 1, 1)

    details, status = curio.run(main)
    assert len(details) == 1
    assert "hold this member alone" in details[0]
    assert status in (0, 503)


def test_product_member_that_ends_at_its_first_start_delays_the_founding_only():
    """Guards against `wagtailrun control` members that found nothing after an end."""
    with ProductFleet(TEXT, [], [], controls=3) as fleet:
        names = list(fleet.operator_address_by_name)
        fleet.kill(names[0])
        fleet.restart(names[0])
        apply_at(fleet, names[1], 0)
        wait_revision(fleet, names[0], 1)
