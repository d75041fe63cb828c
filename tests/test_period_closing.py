"""Tests of closing accounting periods through the replicated log."""

from tests.fake_network import FakeNetwork
from tests.test_accounts import MemoryDisk, attempt
from wagtailrun.accounts.cells import Source
from wagtailrun.accounts.counters import Accounts
from wagtailrun.accounts.lines import period_of
from wagtailrun.accounts.store import AccountStore
from wagtailrun.consensus.local_log import LocalLog
from wagtailrun.control.period_closing import PeriodCloser
from wagtailrun.control.service import ControlService
from wagtailrun.ports.link import Address
from wagtailrun.registry.state import Registry
from wagtailrun.virtual_time import run_virtual

MEMBERS = [Address("10.0.0.1", 1), Address("10.0.0.2", 1)]
DAY_MS = 24 * 3_600_000


def test_every_member_freezes_the_agreed_lines():
    """Guards against members that report different totals for a closed period."""

    async def main(clock):
        network = FakeNetwork(clock)
        registry = Registry()
        log = LocalLog(registry)
        stores, closers = [], []
        for address in MEMBERS:
            others = [other for other in MEMBERS if other != address]
            link = network.link(address)
            store = AccountStore(clock, MemoryDisk(), str(address), others, link)
            await store.open()
            network.handlers_by_address[address] = store.handle
            stores.append(store)
            service = ControlService(clock, str(address), registry, log)
            closers.append(PeriodCloser(service, store))
        link = network.link(Address("10.0.0.9", 1))
        entry = Accounts(clock, link, Source("e", 1), list, MEMBERS[:1], 1_000)
        attempt(entry)
        assert await entry.hand_over()
        period = period_of(clock.wall_ms())
        await closers[0].step()
        assert not registry.closed_periods_by_name
        await clock.sleep_ms(DAY_MS + 3_600_000)
        await closers[0].step()
        for closer in closers:
            await closer.step()
        digests = [store.digests_by_period[period] for store in stores]
        lines = [await store.lines(period) for store in stores]
        return registry.closed_periods_by_name[period].digest, digests, lines

    agreed, digests, lines = run_virtual(main)
    assert digests == [agreed, agreed]
    assert lines[0] == lines[1] != []
