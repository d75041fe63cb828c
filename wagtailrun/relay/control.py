"""Relay control daemon: agrees on the text, collects reports, answers entries."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from wagtailrun import events
from wagtailrun.adapters.file_disk import FileDisk
from wagtailrun.adapters.http_server import HttpHandler, HttpServer
from wagtailrun.adapters.tcp_link import TcpPeerLink
from wagtailrun.clock import SystemClock
from wagtailrun.codec import Channel, codec_of
from wagtailrun.consensus import Member
from wagtailrun.consensus_timing import Timing
from wagtailrun.control_client import ControlClient
from wagtailrun.control_service import ControlService
from wagtailrun.discovery import Hub
from wagtailrun.exceptions import (
    ConsensusUnavailable,
    CorruptRecord,
    DiskFault,
    Refusal,
    RefusalReason,
    Verdict,
)
from wagtailrun.ports.link import Address
from wagtailrun.registry import Registry
from wagtailrun.registry_messages import PutText, TextVerdict
from wagtailrun.relay.metrics import RelayMetrics
from wagtailrun.relay.process import LiveSettings, StopSignals, run_daemon
from wagtailrun.settings import RelayControlSettings

__all__ = ["AgreedText", "RelayControl", "run_relay_control"]

# Callers wait a second for an answer before they ask another member.
PUT_TIMEOUT_MS = 900
READ_TIMEOUT_MS = 800
RETRY_AFTER_MS = 500
# A disk that fills up or stalls recovers within seconds.
REOPEN_PAUSE_MS = 500
# Room for the body of a text of 4 MB and for its growth.
MAX_TEXT_BYTES = 6 * 1024 * 1024
MIN_VOTERS = 3
# A new leader in well under 2 s on links of some milliseconds; the lease of a clock
# that is 10% slow still ends before the promise of one that is 10% fast.
TIMING = Timing(
    heartbeat_ms=120,
    lease_ms=700,
    vote_withhold_ms=950,
    election_min_ms=1_000,
    election_max_ms=1_700,
    call_timeout_ms=350,
)


class AgreedText:
    """What operators may do with the text, at any control member.

    Args:
        control: Process that it is a part of.
    """

    def __init__(self, control: "RelayControl"):
        self.control = control
        self.client = ControlClient(control.clock, control.link, [])

    async def put(self, version: int, text: str, source: str) -> TextVerdict | Refusal:
        """Put a checked text in force if its version is higher than all before.

        Returns:
            The verdict, in force or overtaken by a higher version; a refusal if it
            is not known whether the text is in force.
        """
        control = self.control
        message = PutText(version, "operator", source, text, 0)
        self.client.addresses = control.member_addresses()
        try:
            if control.member.is_leader:
                reply = await control.service.handle(message)
            else:
                reply = await self.client.call_leader(message, PUT_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            reply = error
        accepted = isinstance(reply, TextVerdict)
        events.log(
            events.FLEET_CONFIG_DECIDED,
            version=version,
            source=source,
            acknowledged=accepted,
            in_force=accepted and reply.accepted,
            revision=reply.revision if accepted else control.registry.revision,
            detail=str(getattr(reply, "detail", reply)),
        )
        if accepted:
            return reply
        return Refusal(
            RefusalReason.CONSENSUS_UNAVAILABLE,
            Verdict.MAY_HAVE_RUN,
            str(getattr(reply, "detail", reply)),
            RETRY_AFTER_MS,
        )

    async def read(self) -> str | Refusal:
        """Return the text in force, or why it is not known which that is."""
        control = self.control
        try:
            await control.member.read_barrier(READ_TIMEOUT_MS)
        except ConsensusUnavailable as error:
            return Refusal(
                RefusalReason.CONSENSUS_UNAVAILABLE,
                Verdict.NOT_RUN,
                str(error),
                RETRY_AFTER_MS,
            )
        if not control.registry.revision:
            return Refusal(
                RefusalReason.NO_CONFIGURATION,
                Verdict.NOT_RUN,
                "no text was accepted yet",
                RETRY_AFTER_MS,
            )
        return control.registry.text


class RelayControl:
    """All parts of one relay control process.

    Args:
        settings: Checked settings.
        make_handler: Makes the handler of operators and targets from the agreed text
            and the hub.
        reload: Reads the settings again.
    """

    def __init__(
        self,
        settings: RelayControlSettings,
        make_handler: Callable[[AgreedText, Hub], HttpHandler],
        reload: Callable[[], RelayControlSettings],
    ):
        self.settings = settings
        self.clock = SystemClock()
        self.live_settings = LiveSettings(
            self.clock, settings, reload, self._take_seeds
        )
        self.signals = StopSignals(self.clock, self.live_settings.reload)
        self.link = TcpPeerLink(settings.peer_secret)
        self.registry = Registry()
        self.disk = FileDisk(Path(settings.data_folder) / "consensus")
        self.member = self._make_member()
        self.hub = Hub(
            self.clock,
            self.link,
            self.registry,
            lambda: self.member,
            settings.peer_address,
            settings.heartbeat_ms,
        )
        self.text = AgreedText(self)
        self.operator_handler = make_handler(self.text, self.hub)
        self.metrics = RelayMetrics()
        self._export_gauges()

    def _make_member(self) -> Member:
        settings = self.live_settings.current
        seeds = [(str(address), address) for address in settings.seeds]
        return Member(
            self.clock,
            self.link,
            self.disk,
            self.registry,
            # The address names the VM: one that returns with an empty disk replaces
            # the identity that was lost, and one at a new address is a new member.
            str(settings.peer_address),
            settings.peer_address,
            peers=settings.seeds,
            bootstrap=seeds if settings.founding else (),
            timing=TIMING,
            open_joining=True,
            min_voters=max(MIN_VOTERS, 2 * settings.losses + 1),
        )

    def _export_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge("leader", "Whether this member leads.", lambda: self.member.is_leader)
        gauge("term", "Term of the replicated log.", lambda: self.member.term)
        gauge("commit_index", "Committed entries.", lambda: self.member.commit_index)
        gauge("revision", "Revision in force.", lambda: self.registry.revision)
        gauge(
            "voters",
            "Members that vote.",
            lambda: len(self.member.configuration.voters()),
        )
        gauge(
            "targets",
            "Targets known.",
            lambda: len(self.hub.membership.targets_by_name),
        )
        gauge("entries", "Entries known.", lambda: len(self.hub.entries_by_name))

    @property
    def service(self) -> ControlService:
        """Answers questions about the agreed state."""
        return ControlService(
            self.clock, self.settings.name, self.registry, self.member
        )

    def member_addresses(self) -> list[Address]:
        """Return the peer addresses of the other control members."""
        known = [info.peer_address for info in self.member.configuration.members]
        own = self.settings.peer_address
        return [address for address in known or self.settings.seeds if address != own]

    async def run(self) -> None:
        """Take part until a signal ends the process.

        Raises:
            SettingsError: If an address cannot be listened on.
        """
        operators = HttpServer(
            self.settings.operator_address, self.operator_handler, MAX_TEXT_BYTES
        )
        tasks = (
            self.signals.wait,
            operators.serve,
            self.hub.run,
            self._take_part,
            self.live_settings.watch,
        )
        await run_daemon(
            "relay control",
            self.settings,
            self.signals,
            self.metrics.page,
            self.handle_peer,
            tasks,
        )

    async def handle_peer(self, message: Any) -> Any:
        """Answer one message of another process of the system."""
        channel = codec_of(message).channel
        if channel is Channel.CONSENSUS:
            return await self.member.handle(message)
        if channel is Channel.DISCOVERY:
            return await self.hub.handle(message)
        return await self.service.handle(message)

    async def _take_part(self) -> None:
        """Keep a member running, also over faults of its disk."""
        while True:
            try:
                await self.member.run()
            except DiskFault as error:
                events.log(events.MEMBER_RESTARTED, detail=str(error))
            except CorruptRecord as error:
                events.log(events.LOG_FILES_DISCARDED, detail=str(error))
                await self._discard()
            self.disk.close()
            await self.clock.sleep_ms(REOPEN_PAUSE_MS)
            self.disk = FileDisk(Path(self.settings.data_folder) / "consensus")
            self.registry.reset()
            self.member = self._make_member()

    def _take_seeds(self, settings: RelayControlSettings) -> None:
        self.member.peers = settings.seeds

    async def _discard(self) -> None:
        """Empty the disk; the member then joins as one that has never been there."""
        try:
            for name in await self.disk.names():
                await self.disk.remove(name)
        except DiskFault as error:
            events.log(events.MEMBER_RESTARTED, detail=str(error))


async def run_relay_control(
    settings: RelayControlSettings,
    make_handler: Callable[[AgreedText, Hub], HttpHandler],
    reload: Callable[[], RelayControlSettings],
) -> None:
    """Run a relay control process until it is told to stop."""
    await RelayControl(settings, make_handler, reload).run()
