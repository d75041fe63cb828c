"""Waits until a full disk has space again."""

from wagtailrun.clock import Clock
from wagtailrun.exceptions import DiskFault, DiskFull
from wagtailrun.logs import events
from wagtailrun.ports.disk import Disk

__all__ = ["wait_for_space"]

FIRST_PROBE_DELAY_MS = 100
# Space may stay short for hours; at this interval the probes cost next to nothing.
MAX_PROBE_DELAY_MS = 2_000


async def wait_for_space(
    clock: Clock, disk: Disk, size: int, folder: str, cause: DiskFault
) -> bool:
    """Return once ``size`` bytes can be written again, or the disk fails otherwise.

    One event is logged at the start and one at the end, however long it takes.

    Args:
        clock: Clock.
        disk: The full disk.
        size: Bytes that must be free, at least those that the next writes need.
        folder: Name of the folder, for the log.
        cause: The error of the write that was refused, for the log.

    Returns:
        Whether there was no space at first.
    """
    events.log(events.DISK_FULL, folder=folder, needed_bytes=size, detail=str(cause))
    started_ms = clock.now_ms()
    delay_ms = FIRST_PROBE_DELAY_MS
    was_refused = False
    while True:
        await clock.sleep_ms(delay_ms)
        try:
            await disk.probe(size)
        except DiskFull:
            was_refused = True
            delay_ms = min(2 * delay_ms, MAX_PROBE_DELAY_MS)
            continue
        except DiskFault:
            # Not a matter of space any more: the next write of the caller reports it.
            pass
        break
    events.log(
        events.DISK_SPACE_AVAILABLE,
        folder=folder,
        waited_ms=clock.now_ms() - started_ms,
    )
    return was_refused
