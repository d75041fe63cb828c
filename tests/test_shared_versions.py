"""Tests of versions that control members hand out once two of them know them."""

import attrs

from tests.test_discovery import ROW, run
from wagtailrun.discovery.shared_versions import SharedVersions
from wagtailrun.discovery.stream_origins import ORIGIN_LIFETIME_MS
from wagtailrun.gossip.messages import AgedRow
from wagtailrun.ports.link import Address
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import run_virtual

V1 = attrs.evolve(ROW, software_version="v1")
V2 = attrs.evolve(
    ROW, name="t2", address=Address("10.0.2.2", 80), software_version="v2"
)


def withheld(*, shared, later_ms=0, known=(V1, V2)):
    """Return the names of the targets that are withheld, and of those released."""

    async def main(clock):
        membership = Membership()
        versions = SharedVersions(clock, membership)
        for row in known:
            membership.put(row, clock.now_ms())
        released = versions.record([AgedRow(row, 0) for row in shared])
        await clock.sleep_ms(later_ms)
        for row in known:
            row = attrs.evolve(row, sequence=row.sequence + 1)
            membership.put(row, clock.now_ms())
        return {row.name for row in known if versions.is_withheld(row)}, released

    return run_virtual(main)


def test_only_version_is_not_withheld():
    """Guards against a fleet without a release whose targets nobody may use."""
    assert withheld(shared=(), known=(V1,)) == (set(), [])


def test_version_is_withheld_until_another_member_knows_it():
    """Guards against streams of a version that a single member knows."""
    assert withheld(shared=(V1,)) == ({"t2"}, ["t1"])
    assert withheld(shared=(V1, V2)) == (set(), ["t1", "t2"])


def test_version_is_withheld_again_once_other_members_may_have_forgotten_it():
    """Guards against a version that comes back while its member is cut off."""
    lasts = ORIGIN_LIFETIME_MS - 1
    assert withheld(shared=(V1, V2), later_ms=lasts)[0] == set()
    assert withheld(shared=(V1, V2), later_ms=lasts + 1)[0] == {"t1", "t2"}


def test_unresponsive_target_does_not_make_its_version_known():
    """Guards against a version that members leave out of their replies."""
    shared = (V1, attrs.evolve(V2, silent=True))
    assert withheld(shared=shared) == ({"t2"}, ["t1"])


def test_new_version_is_used_at_once_while_members_reach_each_other():
    """Guards against targets of a release that stay idle."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(V1)
        await clock.sleep_ms(1_000)
        await controls.hubs[1].report(V2)
        await clock.sleep_ms(100)
        return sorted(row.name for row in view.targets("s"))

    assert run(scenario) == ["t1", "t2"]


def test_new_version_is_used_while_a_member_is_lost():
    """Guards against a release that waits for a member that does not reply."""

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(V1)
        await clock.sleep_ms(1_000)
        lost = controls.cluster.nodes[2].address
        controls.network.frozen.add(lost)
        await controls.hubs[1].report(V2)
        await clock.sleep_ms(2_000)
        return sorted(row.name for row in view.targets("s"))

    assert run(scenario) == ["t1", "t2"]
