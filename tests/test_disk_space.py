"""Tests of the wait for a full disk."""

from tests.fake_disk import FakeDisk
from wagtailrun.exceptions import DiskFull
from wagtailrun.logs import events
from wagtailrun.process import disk_space
from wagtailrun.virtual_time import run_virtual

HOUR_MS = 3_600_000


def _wait(monkeypatch, full_ms, fault="full"):
    """Return the events of one wait, and the number of probes."""
    logged = []
    monkeypatch.setattr(events, "log", lambda event, **fields: logged.append(event))

    async def main(clock):
        disk = FakeDisk()
        disk.fault = fault
        probe = disk.probe
        probes = []

        async def counted(size):
            probes.append(size)
            if clock.now_ms() >= full_ms:
                disk.fault = None
            await probe(size)

        disk.probe = counted
        cause = DiskFull("full")
        was_refused = await disk_space.wait_for_space(clock, disk, 100, "x", cause)
        assert was_refused is (fault == "full")
        assert clock.now_ms() <= full_ms + disk_space.MAX_PROBE_DELAY_MS + 100
        return len(probes)

    return logged, run_virtual(main)


def test_space_is_noticed_at_once_after_a_short_time(monkeypatch):
    """Guards against a member that stays out long after there is space again."""
    logged, probes = _wait(monkeypatch, 3_000)
    assert logged == [events.DISK_FULL, events.DISK_SPACE_AVAILABLE]
    assert probes < 10


def test_disk_that_is_full_for_an_hour_is_probed_quietly(monkeypatch):
    """Guards against a log and a disk that are flooded by retries."""
    logged, probes = _wait(monkeypatch, HOUR_MS)
    assert logged == [events.DISK_FULL, events.DISK_SPACE_AVAILABLE]
    assert probes < HOUR_MS / 1_000


def test_broken_disk_is_not_waited_for(monkeypatch):
    """Guards against an endless wait at a disk whose fault is not a lack of space."""
    _, probes = _wait(monkeypatch, HOUR_MS, fault="broken")
    assert probes == 1
