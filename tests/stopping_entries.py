"""Entries of both kinds, for tests of what both promise in a planned stop."""

import curio
import pytest
from wagtail_platform.documents import PlatformConfigurationFormat
from wagtail_platform.requests import PlatformWire
from wagtail_platform.stage_calls import PlatformStageClient

from demo.processes import free_addresses
from wagtailrun.adapters.http_server import Response
from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import Refusal
from wagtailrun.relay.entry import EntryProtocol, RelayEntry
from wagtailrun.serving.daemon import Entry
from wagtailrun.serving.entry_stop import forced_end_ms
from wagtailrun.settings import EntrySettings, RelayEntrySettings
from wagtailrun.stopping.planned_stop import wait_for_signal
from wagtailrun.stopping.running_requests import EntryEnds


class PlatformProtocol(EntryProtocol):
    """Formats of the platform."""

    configuration_format = PlatformConfigurationFormat()
    wire = PlatformWire()

    def stage_client(self, http):
        return PlatformStageClient(http)


def make_relay_entry(addresses=(), **options):
    """Return a relay entry that knows no control member."""
    caller, ready, peer, metrics = addresses or free_addresses(4)
    settings = RelayEntrySettings(
        name="e",
        data_centre="a",
        caller_address=caller,
        ready_address=ready,
        peer_address=peer,
        peer_secret=b"secret-of-this-test",
        metrics_address=metrics,
        **options,
    )
    return RelayEntry(settings, PlatformProtocol(), lambda: settings)


def make_product_entry(drain_limit_ms, drain_notice_ms=0):
    """Return an entry of the product whose control member does not run."""
    caller, target, peer, control = free_addresses(4)
    return Entry(
        EntrySettings(
            name="e",
            data_centre="a",
            caller_address=caller,
            target_address=target,
            peer_address=peer,
            peer_secret=b"secret-of-this-test",
            entry_peers=(),
            control_peers=(control,),
            drain_notice_ms=drain_notice_ms,
            drain_limit_ms=drain_limit_ms,
        )
    )


async def hand_over_nothing(timeout_ms):
    return None


class StoppingEntry:
    """An entry with its own server for callers, and how to stop it.

    Attributes:
        kill_ms: When the process is ended in any case, after the signal.
        late_ms: How much later than its plan its stop may end without faults.
    """

    def __init__(self, entry, kill_ms, late_ms):
        self.entry = entry
        self.kill_ms = kill_ms
        self.late_ms = late_ms
        self.clock = entry.clock
        self.signals = entry.signals
        self.server = entry.caller_server
        self.caller = entry.settings.caller_address
        self.stop = entry.planned_stop
        self.steps = entry.planned_stop.entry

    async def run(self):
        """Wait for a signal, then stop."""
        await wait_for_signal(self.signals, "e")
        await self.stop.run()


class StoppingRelayEntry(StoppingEntry):
    """A relay entry; its limit is the grace period."""

    def __init__(self, limit_ms, notice_ms=None):
        grace_s = limit_ms / MS_PER_SECOND
        entry = make_relay_entry(grace_s=grace_s, drain_notice_ms=notice_ms)
        super().__init__(entry, limit_ms, 150)

    def keep_busy(self):
        """Let the entry have work, without which it ends sooner."""
        self.entry.tunnels.running = 1

    def set_plan(self, plan):
        """Let requests be admitted by the times of ``plan``."""
        self.entry.handler.stop = plan

    def report_ready(self):
        """Let a check be told that the entry is ready."""
        self.entry.readiness.last_ready_ms = self.clock.now_ms()

    def before_exit(self, function):
        """Call ``function`` as the entry does its last work after its callers."""
        self.entry.view.finish_reports = function

    async def run_request(self, work):
        """Run ``work`` like the work of a request that the stop may end."""
        task = await curio.current_task()
        self.entry.handler.unanswered_tasks.add(task)
        try:
            return await work()
        except EntryEnds:
            task.cancelled = False
        return Response(503)


class StoppingProductEntry(StoppingEntry):
    """An entry of the product; its limit is the drain limit."""

    def __init__(self, limit_ms, notice_ms=None):
        entry = make_product_entry(limit_ms, notice_ms or 0)
        entry.accounts.hand_over_all = hand_over_nothing
        # Its callers' server takes up to 200 ms more, and the last share some.
        super().__init__(entry, forced_end_ms(limit_ms), 500)

    def keep_busy(self):
        """Let the entry have work, without which it ends sooner."""
        self.entry.orders.active_runs = 1

    def set_plan(self, plan):
        """Let requests be admitted by the times of ``plan``."""
        self.entry.caller_api.running.ends_ms = plan.answers_end_ms

    def report_ready(self):
        """Do nothing: the entry reports ready until it handles its signal."""

    def before_exit(self, function):
        """Call ``function`` as the entry does its last work after its callers."""

        async def hand_over(timeout_ms):
            await function()

        self.entry.accounts.hand_over_all = hand_over

    async def run_request(self, work):
        """Run ``work`` like the work of a request that the stop may end."""
        result = await self.entry.caller_api.running.run(work)
        return Response(503) if isinstance(result, Refusal) else result


KINDS = {"relay": StoppingRelayEntry, "product": StoppingProductEntry}
both_entries = pytest.mark.parametrize("make", KINDS.values(), ids=KINDS)
