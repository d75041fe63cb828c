"""Tests of the report of an event loop that was late."""

import signal
import time

import curio
import pytest

from tests.stopping_entries import make_product_entry
from tests.test_late_signal_processes import HALF, connect, entry_process
from wagtailrun.logs import events
from wagtailrun.process.loop_watch import MIN_LATE_MS, TICK_MS, LoopWatch
from wagtailrun.virtual_time import VirtualClock, run_virtual

__all__ = ["entry_process"]

STILL_S = 0.6


@pytest.fixture
def reports(monkeypatch):
    """Return the fields of the reports."""
    fields = []

    def log(event, **values):
        assert event is events.LOOP_LATE
        fields.append(values)

    monkeypatch.setattr(events, "log", log)
    return fields


def run_held(held_ms):
    """Watch a process that stands still for some time after a second."""
    clock = VirtualClock()

    async def main(clock):
        watch = await curio.spawn(LoopWatch(clock).run)
        await clock.sleep_ms(1_000)
        clock.seconds += held_ms / 1_000
        await clock.sleep_ms(1_000)
        await watch.cancel()
        return clock.wall_start_ms

    return run_virtual(main, clock=clock)


@pytest.mark.parametrize("held_ms", [300, 1_000])
def test_late_loop_is_reported(reports, held_ms):
    """Guards against logs that do not tell a late process from a late peer."""
    start_ms = run_held(held_ms)
    (report,) = reports
    assert held_ms - TICK_MS <= report["late_ms"] <= held_ms
    assert 1_000 <= report["since_wall_ms"] - start_ms <= 1_000 + TICK_MS


def test_entry_of_the_product_tells_its_standstills():
    """Guards against engines that look silent as the entry's process stood still."""
    entry = make_product_entry(1_000)
    silence = entry.dispatcher.router.silence
    assert not silence.was_held_since(0)
    entry.loop_watch.late_at_ms = entry.clock.now_ms()
    assert silence.was_held_since(entry.loop_watch.late_at_ms)


@pytest.mark.parametrize("held_ms", [0, MIN_LATE_MS - 10])
def test_loop_in_time_is_not_reported(reports, held_ms):
    """Guards against a report at each short delay."""
    run_held(held_ms)
    assert not reports


@pytest.mark.network
def test_process_that_stood_still_reports_it(entry_process):  # noqa: F811
    """Guards against a daemon that does not watch its loop."""
    process, address = entry_process
    connect(address).sendall(HALF)
    time.sleep(0.3)
    process.send_signal(signal.SIGSTOP)
    time.sleep(STILL_S)
    process.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    process.send_signal(signal.SIGTERM)
    lines, _ = process.communicate(timeout=20)
    number = f'"event": {events.LOOP_LATE.number},'
    assert any(number in line for line in lines.splitlines())
