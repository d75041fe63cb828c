"""Tests of departures that only a stopping process of the relay knows."""

import signal

import attrs
import curio
import pytest

from demo.processes import free_addresses
from tests.stopping_entries import make_relay_entry as make_entry
from tests.test_discovery import ENTRY, ROW, run
from wagtailrun.adapters.tcp_link import PeerServer
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.discovery import News, NewsMarks, ReportLeaving, RowsTaken
from wagtailrun.discovery.messages import PollNews
from wagtailrun.gossip.messages import Health

# Less than a message to a member that does not answer takes.
KNOWN_MS = 50
GRACE_S = 3


@pytest.mark.parametrize("under_way", [False, True])
def test_stop_of_an_entry_outlives_the_member_that_acknowledged_it(under_way):
    """Guards against work for an entry whose last words end with a control member.

    One of the other members does not answer, so that messages to all of them wait. In
    one case the message that tells them of the stop has been lost by then.
    """

    async def scenario(controls, clock):
        leader = await controls.cluster.wait_leader()
        numbers = [n for n in range(3) if controls.cluster.nodes[n] is not leader]
        hub, silent = (controls.hubs[number] for number in numbers)
        (other,) = (each for each in controls.hubs if each not in (hub, silent))
        await hub.handle(PollNews(ENTRY, NewsMarks(), 0))
        await clock.sleep_ms(500)
        before = sorted(other.entries_by_name)
        controls.network.cut(hub.address, silent.address)
        if under_way:
            controls.network.cut(hub.address, other.address)
        else:
            # A message to the member that does not answer is under way.
            await hub.report(ROW)
        await clock.sleep_ms(20)
        gone = attrs.evolve(ENTRY, health=Health.DEAD)
        await curio.spawn(hub.handle, PollNews(gone, NewsMarks(), 0), daemon=True)
        await clock.sleep_ms(20)
        controls.network.cuts.discard((hub.address, other.address))
        controls.network.cuts.discard((other.address, hub.address))
        await hub.share_before_end()
        # The process ends here.
        for each in (other, silent):
            controls.network.cut(hub.address, each.address)
        await clock.sleep_ms(KNOWN_MS)
        return before, sorted(other.entries_by_name)

    assert run(scenario) == (["e1"], [])


def run_last_report(observe, *, cut=False):
    """Let an entry observe something and end; return what a control member knows.

    Args:
        observe: Called with the view of the entry.
        cut: Whether the first message to each member is lost.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(1_000)
        addresses = [node.address for node in controls.cluster.nodes]
        if cut:
            for address in addresses:
                controls.network.cut(ENTRY.address, address)
        await observe(view)
        if cut:
            await clock.sleep_ms(100)
            controls.network.heal()
        started_ms = clock.now_ms()
        await view.finish_reports()
        took_ms = clock.now_ms() - started_ms
        # The process ends here.
        for address in addresses:
            controls.network.cut(ENTRY.address, address)
        await clock.sleep_ms(200)
        return controls.hubs[0], took_ms

    return run(scenario)


async def leave(view):
    await view.mark_leaving(ROW)


@pytest.mark.parametrize("cut", [False, True])
def test_target_that_said_that_it_leaves_is_reported_before_the_end(cut):
    """Guards against work for a target of which only an ended entry knew."""
    hub, _ = run_last_report(leave, cut=cut)
    assert hub.membership.targets_by_name["t1"].leaving


def test_evidence_of_crashes_is_reported_before_the_end():
    """Guards against evidence that is acknowledged and ends with the entry."""

    async def crash(view):
        view.quarantine.record_crash("engine", [["a"]], [])
        await view.report_changes()

    hub, _ = run_last_report(crash)
    assert hub.quarantine.log.number


def test_limit_of_a_target_is_reported_before_the_end():
    """Guards against the limit that a target stated to an entry that has ended."""

    async def state(view):
        view.limits.record_answer(ROW, 1.0, view.clock.now_ms())
        await view.report_changes()

    hub, _ = run_last_report(state)
    assert hub.limits.limit_per_s(ROW) == 1.0


def test_entry_that_has_reported_everything_ends_at_once():
    """Guards against stops that take longer without anything to tell."""

    async def nothing(view):
        return

    _, took_ms = run_last_report(nothing)
    assert took_ms == 0


def run_entry_end(reply_s):
    """Stop an entry that learns of a departure last; return the reports and the time.

    Args:
        reply_s: When the control member answers a report, in seconds.
    """

    async def main():
        (control,) = free_addresses(1)
        entry = make_entry(seeds=(control,), grace_s=GRACE_S, drain_notice_ms=100)
        reports = []

        async def handle(message):
            if isinstance(message, ReportLeaving):
                await curio.sleep(reply_s)
                reports.append(message)
                return RowsTaken(1)
            return News(NewsMarks(1))

        server = PeerServer(control, entry.settings.peer_secret, handle)
        await curio.spawn(server.serve, daemon=True)
        entry.signals.install()
        for task in (entry.caller_server.serve, entry.peer_server.serve):
            await curio.spawn(task, daemon=True)
        drain = entry.peer_server.drain

        async def drain_and_learn(limit_ms):
            await drain(limit_ms)
            await entry.view.mark_leaving(ROW)

        entry.peer_server.drain = drain_and_learn
        stopping = await curio.spawn(entry._stop_on_signal)
        await curio.sleep(0.05)
        signal.raise_signal(signal.SIGTERM)
        started_ms = entry.clock.now_ms()
        await stopping.join()
        return list(reports), entry.clock.now_ms() - started_ms

    return curio.run(main)


@pytest.mark.network
def test_entry_ends_after_its_last_report(stop_signal):
    """Guards against a report that is under way when the process ends."""
    reports, _ = run_entry_end(0.1)
    assert reports == [ReportLeaving(ROW.name, ROW.incarnation)]


@pytest.mark.network
def test_control_member_that_does_not_answer_holds_no_stop(stop_signal):
    """Guards against an entry that is killed while it waits for a control member."""
    _, took_ms = run_entry_end(60)
    assert took_ms < GRACE_S * MS_PER_SECOND
