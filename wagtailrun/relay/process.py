"""Code shared by both relay daemons: settings, metrics and log lines."""

import math
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Generic, TypeVar

import curio

from wagtailrun.adapters.http_server import HttpServer, Request, Response
from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import SettingsError
from wagtailrun.logs import events
from wagtailrun.logs.daemon_log import start_json_lines
from wagtailrun.logs.line_writer import STOP_TIMEOUT_S
from wagtailrun.ports.link import Address, PeerListener
from wagtailrun.process.daemon_tasks import run_until_one_ends
from wagtailrun.process.loop_watch import LoopWatch
from wagtailrun.process.memory_budget import PROCESS_MEMORY
from wagtailrun.process.supervisor import supervise
from wagtailrun.settings import RelayControlSettings, RelayEntrySettings
from wagtailrun.stopping.signals import StopSignals

__all__ = ["LiveSettings", "run_daemon"]

# Changed seeds are needed only when all known control members are gone.
SETTINGS_POLL_MS = 2_000
# A pipe that is read takes the last lines in a few milliseconds.
MIN_LAST_LINES_MS = 100

T = TypeVar("T", bound=RelayEntrySettings | RelayControlSettings)


class LiveSettings(Generic[T]):
    """Settings that are reloaded while the process runs.

    Args:
        clock: Clock.
        settings: Settings at start.
        read_settings: Reads the settings again; raises ``SettingsError``.
        on_change: Called with the new settings after ``current`` has changed.
    """

    def __init__(
        self,
        clock: Clock,
        settings: T,
        read_settings: Callable[[], T],
        on_change: Callable[[T], None] = lambda settings: None,
    ):
        self.clock = clock
        self.current = settings
        self.read_settings = read_settings
        self.on_change = on_change

    def reload(self) -> None:
        """Read the settings again; keep the current ones if the new are invalid."""
        try:
            settings = self.read_settings()
        except SettingsError as error:
            events.log(events.SETTINGS_RELOADED, accepted=False, detail=str(error))
            return
        if settings != self.current:
            self.current = settings
            seeds = [str(address) for address in settings.seeds]
            events.log(events.SETTINGS_RELOADED, accepted=True, seeds=seeds)
            self.on_change(settings)

    async def watch(self) -> None:
        """Reload the settings periodically, as they also change without a signal."""
        while True:
            await self.clock.sleep_ms(SETTINGS_POLL_MS)
            self.reload()


def _metrics_server(address: Address, page: Callable[[], bytes]) -> HttpServer:
    """Return a server that answers every request with the metrics page."""

    async def handle(request: Request) -> Response:
        headers = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
        return Response(200, page(), headers)

    return HttpServer(address, handle)


async def _serve_metrics(address: Address, page: Callable[[], bytes]) -> None:
    """Serve the metrics page; a process works without it if the port is taken."""
    try:
        await _metrics_server(address, page).serve()
    except SettingsError as error:
        events.log(events.METRICS_NOT_SERVED, detail=str(error))
        await curio.Event().wait()


async def run_daemon(
    role: str,
    settings: RelayEntrySettings | RelayControlSettings,
    signals: StopSignals,
    metrics_page: Callable[[], bytes],
    peer_server: PeerListener,
    tasks: Sequence[Callable[[], Awaitable[None]]],
    left_ms: Callable[[], float] = lambda: math.inf,
    loop_watch: LoopWatch | None = None,
) -> None:
    """Run a relay daemon until one of its tasks ends, usually the signal waiter.

    Args:
        role: Role of the daemon in its log lines.
        settings: Checked settings.
        signals: Signal handlers to install.
        metrics_page: Returns the metrics page.
        peer_server: Answers the other processes of the system.
        tasks: Tasks of the daemon other than the peer and metrics servers.
        left_ms: Returns how long the last lines of the log may take after a stop.
        loop_watch: Measures how late the event loop is; by default a new one.

    Raises:
        SettingsError: If the process cannot listen on a configured address.
    """
    writer = start_json_lines(settings.name)
    signals.install()
    PROCESS_MEMORY.set_memory(settings.memory_mb)
    events.log(
        events.PROCESS_STARTED,
        role=role,
        name=settings.name,
        data_centre=settings.data_centre,
        # Processor time until here: the interpreter and its imports.
        used_ms=round(time.process_time() * MS_PER_SECOND),
    )
    try:
        watch = loop_watch or LoopWatch(signals.clock)
        supervised = [
            partial(supervise, "peer server", peer_server.serve),
            *(partial(supervise, t.__qualname__, t) for t in (*tasks, watch.run)),
            # Last, so that the other listeners have their ports.
            partial(_serve_metrics, settings.metrics_address, metrics_page),
        ]
        await run_until_one_ends(supervised)
        events.log(events.PROCESS_STOPPED, role=role, name=settings.name)
    finally:
        timeout_s = STOP_TIMEOUT_S
        if signals.stop_count:
            last_lines_ms = max(left_ms(), MIN_LAST_LINES_MS)
            timeout_s = min(timeout_s, last_lines_ms / MS_PER_SECOND)
        writer.stop(timeout_s)
