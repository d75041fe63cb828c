"""Order in which a daemon ends after a signal, from its callers to its exit."""

from abc import ABC, abstractmethod

from wagtailrun.logs import events
from wagtailrun.stopping.signals import StopSignals

__all__ = ["PlannedStop", "StoppableDaemon", "wait_for_signal"]


async def wait_for_signal(signals: StopSignals, name: str) -> None:
    """Return after a signal to stop, and log that the drain begins.

    Args:
        signals: Signals of the process, whose handlers are installed.
        name: Name of the process in the log.
    """
    await signals.wait()
    events.log(events.DRAIN_STARTED, name=name, late_ms=signals.late_ms)


class StoppableDaemon(ABC):
    """What a daemon does after the last answer to a caller, in the order used."""

    @abstractmethod
    async def end_service(self) -> None:
        """Hand over, or record, what the requests of callers leave behind."""

    @abstractmethod
    async def answer_peers(self) -> None:
        """Answer the messages of other processes that have arrived."""

    @abstractmethod
    async def report_last(self) -> None:
        """Tell other processes what would end with this one."""


class PlannedStop(ABC):
    """Ends a daemon after a signal, so that nothing that it accepted is lost.

    Callers come first. Peers are answered up to the end, as they take a process that
    does not answer to be dead. The last reports follow, since nothing is acknowledged
    to peers after them.

    Args:
        daemon: The daemon that ends.
    """

    def __init__(self, daemon: StoppableDaemon):
        self.daemon = daemon

    async def run(self) -> None:
        """Return when the process may exit."""
        await self.end_callers()
        await self.end_process()

    @abstractmethod
    async def end_callers(self) -> None:
        """Return when the callers' server is closed and its requests are answered."""

    async def end_process(self) -> None:
        """Do what follows the last answer to a caller."""
        await self.daemon.end_service()
        await self.daemon.answer_peers()
        await self.daemon.report_last()
