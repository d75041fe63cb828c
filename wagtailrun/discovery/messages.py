"""Messages of discovery.

Class and field names are wire names. "News" are updates of the fleet state, and "marks"
are the positions in these updates that an entry has received.
"""

import attrs

from wagtailrun.codec import Channel, Codec, independent_rows
from wagtailrun.gossip.messages import AgedRow, EntryRow

__all__ = [
    "AgedEntry",
    "AgedEvidence",
    "AgedLimit",
    "AgedOrigin",
    "ConfigurationPart",
    "CrashEvidence",
    "FetchConfiguration",
    "FindOrigin",
    "News",
    "NewsMarks",
    "OriginFound",
    "PartSet",
    "PollNews",
    "RecordOrigins",
    "ReportCrashes",
    "ReportLeaving",
    "ReportLimits",
    "RowsTaken",
    "ShareRows",
    "StreamOrigin",
    "StreamsBegun",
    "TargetLimit",
    "UNKNOWN_AGE_MS",
]

# Age of a bound of which nothing is known: older than any observation. It is also the
# default in the schema, for rows of earlier builds, which do not know brittleness.
UNKNOWN_AGE_MS = 10**15


@attrs.frozen(order=True)
class PartSet:
    """Digests of the parts of one prompt, sorted."""

    parts: tuple[str, ...]


@attrs.frozen
class CrashEvidence:
    """Crash of a target under requests, or a part or request that a target answered.

    Attributes:
        key: Digest of the target's incarnation; without alternatives and requests,
            digest of the part or request that a target answered.
        alternatives: Parts of each prompt that may have caused the crash, sorted.
        requests: Digests of the requests that may have caused it, sorted.
    """

    key: str
    alternatives: tuple[PartSet, ...] = ()
    requests: tuple[str, ...] = ()

    @property
    def is_crash(self) -> bool:
        """Whether it is a crash, and not an answer that clears a part or request."""
        return bool(self.alternatives or self.requests)


@attrs.frozen
class AgedEvidence:
    """Evidence and the time since the crash, or since the answered prompt was sent."""

    evidence: CrashEvidence
    age_ms: int


@attrs.frozen
class TargetLimit:
    """Bounds that a target names.

    Attributes:
        target: Name of the target.
        incarnation: Its incarnation.
        is_limited: Whether it names a limit; otherwise an earlier one has ended.
        per_second: Requests a second that it takes from all VMs together.
        is_brittle: Whether it says that it is brittle.
        max_rejections: Rejections a second that it stands then, those of all VMs.
    """

    target: str
    incarnation: int
    is_limited: bool
    per_second: float
    is_brittle: bool = False
    max_rejections: float = 0.0

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second that the target takes; None without a limit."""
        return self.per_second if self.is_limited else None

    @property
    def brittle_bound(self) -> float | None:
        """Rejections a second that the target stands; None if it is not brittle."""
        return self.max_rejections if self.is_brittle else None


@attrs.frozen
class AgedLimit:
    """Bounds of a target and the times since they were observed.

    Attributes:
        limit: The bounds.
        age_ms: Age of the limit of requests.
        brittle_age_ms: Age of the brittleness.
        cold_source: A ``ColdSource``; empty if it is not known whether it is cold.
        cold_left_ms: How long it is cold yet; negative since it became warm.
        cold_age_ms: Time since it said so.
    """

    limit: TargetLimit
    age_ms: int
    brittle_age_ms: int = UNKNOWN_AGE_MS
    # pycapnp does not accept enum members.
    cold_source: str = attrs.field(default="", converter=str)
    cold_left_ms: int = 0
    cold_age_ms: int = 0

    @property
    def says_nothing(self) -> bool:
        """Whether nothing is known of the target."""
        ages_ms = (self.age_ms, self.brittle_age_ms)
        return not self.cold_source and min(ages_ms) >= UNKNOWN_AGE_MS


@attrs.frozen
class StreamOrigin:
    """Where a stream began; it may go on only at the same software version.

    Attributes:
        service: Service of the target that sent its first event.
        software_version: Version of the target's software; empty if it is not known.
        target: Name of the target.
        incarnation: Incarnation of the target when it was chosen.
    """

    service: str
    software_version: str
    target: str
    incarnation: int


@attrs.frozen
class StreamsBegun:
    """Streams that began at one target.

    Attributes:
        origin: Where they began.
        age_ms: Time since the newest of them began.
        streams: Their keys, see ``stream_origins.stream_key``.
    """

    origin: StreamOrigin
    age_ms: int
    streams: tuple[int, ...]


@attrs.frozen
class RecordOrigins:
    """Reports streams that have begun to a control member; replied by ``RowsTaken``."""

    groups: tuple[StreamsBegun, ...] = independent_rows()


@attrs.frozen
class FindOrigin:
    """Asks a control member where a stream began.

    Attributes:
        stream: Key of the stream; 0 if it is not known.
        service: Service that a caller now asks to continue it.
        targets: Names of targets whose newest incarnation is asked for.
    """

    stream: int
    service: str
    targets: tuple[str, ...] = ()


@attrs.frozen
class TargetIncarnation:
    """Newest incarnation of a target that a control member knows."""

    name: str
    incarnation: int
    software_version: str


@attrs.frozen
class AgedOrigin:
    """An origin and the time since the stream began there."""

    origin: StreamOrigin
    age_ms: int


@attrs.frozen
class OriginFound:
    """Reply to ``FindOrigin``.

    Attributes:
        origins: Origins that entries reported for the stream; two if they differ.
        versions: Software versions of all targets of the service that may have begun
            the stream, those that have left included.
        memory_ms: How far back the knowledge of this member reaches.
        targets: What it knows of the targets that were asked for. A member of an
            earlier build names none.
    """

    origins: tuple[AgedOrigin, ...]
    versions: tuple[str, ...]
    memory_ms: int
    targets: tuple[TargetIncarnation, ...] = ()


@attrs.frozen
class NewsMarks:
    """Positions up to which an entry has the updates of one control member.

    Attributes:
        epoch: Random number that the control member drew at its start; marks with
            another epoch are invalid.
        targets: Number of the newest change of targets.
        entries: Number of the newest change of entries.
        revision: Newest revision of the fleet configuration that the entry knows to
            exist; it may not have applied it yet.
        crashes: Number of the newest change of crash evidence.
        limits: Number of the newest change of the limits of targets.
        evacuations: Version of the newest evacuations that the entry knows; 0 from a
            member of an earlier build.
    """

    epoch: int = 0
    targets: int = 0
    entries: int = 0
    revision: int = 0
    crashes: int = 0
    limits: int = 0
    evacuations: int = 0


@attrs.frozen
class PollNews:
    """Requests the updates that an entry does not have yet.

    Attributes:
        entry: Row of the polling entry.
        known: Positions up to which it has the updates.
        wait_ms: How long the reply may be held until there is an update.
        fetches_text: Whether the entry fetches the fleet configuration in parts. An
            older entry does not, and gets it whole in the reply.
    """

    entry: EntryRow
    known: NewsMarks
    wait_ms: int
    fetches_text: bool = True


@attrs.frozen
class News:
    """Reply to ``PollNews``.

    Attributes:
        marks: Positions of the entry after this reply.
        text: Fleet configuration of the revision in ``marks`` for an entry that does
            not fetch it; else empty.
        confirmed: Whether the leader confirmed, after the poll had arrived, that no
            higher revision was applied.
        targets: Rows of targets that changed.
        entries: All live entries, if they changed.
        members: Peer addresses of the control members.
        crashes: Evidence of crashes under prompts that changed.
        limits: Limits of targets that changed.
        remembers_versions: Whether the member remembers the software versions of
            targets that were replaced under their names. One of an earlier build does
            not.
        evacuations: All evacuated data centres, if ``marks`` has a newer version than
            the entry.
        leader_in_ms: How soon the member expects a leader, if it has just started and
            none is known; else 0.
    """

    marks: NewsMarks
    text: str = ""
    confirmed: bool = False
    targets: tuple[AgedRow, ...] = independent_rows(default=())
    entries: tuple[EntryRow, ...] = independent_rows(default=())
    members: tuple[str, ...] = ()
    crashes: tuple[AgedEvidence, ...] = independent_rows(default=())
    limits: tuple[AgedLimit, ...] = independent_rows(default=())
    remembers_versions: bool = False
    evacuations: tuple[str, ...] = ()
    leader_in_ms: int = 0


@attrs.frozen
class ReportLeaving:
    """Reports that a target said that it leaves; replied by ``RowsTaken``.

    Attributes:
        target: Name of the target.
        incarnation: Its incarnation.
    """

    target: str
    incarnation: int


@attrs.frozen
class ReportCrashes:
    """Reports evidence of crashes to a control member; replied by ``RowsTaken``."""

    rows: tuple[AgedEvidence, ...] = independent_rows()


@attrs.frozen
class ReportLimits:
    """Reports limits of targets to a control member; replied by ``RowsTaken``."""

    rows: tuple[AgedLimit, ...] = independent_rows()


@attrs.frozen
class FetchConfiguration:
    """Requests a part of the newest fleet configuration.

    Attributes:
        base_revision: Revision that the entry has applied; 0 to get the whole text.
        identity: Identity of the transfer to continue; 0 to begin one.
        offset: Number of bytes of it that the entry has.
        limit: Largest number of bytes to send.
    """

    base_revision: int
    identity: int
    offset: int
    limit: int


@attrs.frozen
class ConfigurationPart:
    """Reply to ``FetchConfiguration``.

    Attributes:
        identity: Identity of the transfer. Another one than requested begins anew.
        revision: Revision that the transfer yields.
        base_revision: Revision that it is a difference from; 0 if it is the whole text.
        size: Bytes of the transfer; 0 if the entry has the newest revision of this
            member.
        offset: Position of ``data`` in the transfer.
        data: Bytes of a Zstandard frame.
    """

    identity: int
    revision: int
    base_revision: int
    size: int
    offset: int
    data: bytes


@attrs.frozen
class AgedEntry:
    """Row of an entry and the time since its last contact."""

    row: EntryRow
    age_ms: int


@attrs.frozen
class ShareRows:
    """Shares the rows that were reported to one control member with another.

    Attributes:
        sender: Peer address of the sender.
        targets: Rows of targets.
        entries: Rows of entries.
        crashes: Evidence of crashes under prompts.
        limits: Limits of targets.
        data_centre: Data centre of the sender; empty from an earlier build, and in the
            further parts of a message.
    """

    sender: str
    targets: tuple[AgedRow, ...] = independent_rows(default=())
    entries: tuple[AgedEntry, ...] = independent_rows(default=())
    crashes: tuple[AgedEvidence, ...] = independent_rows(default=())
    limits: tuple[AgedLimit, ...] = independent_rows(default=())
    data_centre: str = ""


@attrs.frozen
class RowsTaken:
    """Reply to rows; a new ``epoch`` shows that the receiver has restarted."""

    epoch: int


CODEC = Codec(
    Channel.DISCOVERY,
    "discovery.capnp",
    [
        ConfigurationPart,
        FetchConfiguration,
        FindOrigin,
        News,
        OriginFound,
        PollNews,
        RecordOrigins,
        ReportCrashes,
        ReportLeaving,
        ReportLimits,
        RowsTaken,
        ShareRows,
    ],
)
