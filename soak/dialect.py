"""What differs between kinds of fleets: requests, answers, configurations, targets."""

from abc import ABC, abstractmethod
from pathlib import Path

from attrs import define, field

from soak.fleet import Fleet
from wagtailrun.ports.link import Address

__all__ = [
    "Answer",
    "Dialect",
    "PutAnswer",
    "RequestPlan",
    "SitePlan",
    "Targets",
    "parse_addresses",
    "reported_addresses",
    "revocable_keys",
]

LASTING_KEY = "lasting-key"
REVOCABLE_KEYS = 12


def revocable_keys(revoked: int) -> list[str]:
    """Return the revocable keys that are left after so many were revoked, in order."""
    return [f"revocable-key-{n}" for n in range(revoked, REVOCABLE_KEYS)]


@define(kw_only=True)
class SitePlan:
    """What the processes of callers and targets need to know of a fleet.

    Attributes:
        kind: Kind of the fleet.
        seed: Seed of all random choices.
        callers_per_entry: Number of callers of each entry.
        caller_addresses: Addresses of entries for callers, by name.
        ready_addresses: Addresses of entries for readiness checks, by name.
        report_addresses: Addresses to which targets report.
        target_addresses: Addresses at which targets listen, by name.
        reported_addresses: Addresses at which entries reach targets, by name.
        crowded_entries: Entries with few descriptors, whose callers hold connections.
        behaviour_folder: Folder with instructions to targets.
        release_ms: Times after the start at which targets are replaced by new versions.
        folder: Folder for the records of callers and targets.
    """

    kind: str
    seed: int
    callers_per_entry: int
    caller_addresses: dict[str, str] = field(factory=dict)
    ready_addresses: dict[str, str] = field(factory=dict)
    report_addresses: list[str] = field(factory=list)
    target_addresses: dict[str, str] = field(factory=dict)
    reported_addresses: dict[str, str] = field(factory=dict)
    crowded_entries: list[str] = field(factory=list)
    behaviour_folder: str = ""
    release_ms: list[int] = field(factory=list)
    folder: str = ""


@define(frozen=True, kw_only=True)
class RequestPlan:
    """Request that a caller is about to send.

    Attributes:
        name: Identifier.
        kind: One of ``Dialect.kinds``.
        key: Credential.
        resumes: Name of the request whose stream it takes up; empty for none.
        after_event: Last event of the stream that the caller has.
        attempt: 1, or more for a repetition with the same name.
    """

    name: str
    kind: str
    key: str = LASTING_KEY
    resumes: str = ""
    after_event: int = 0
    attempt: int = 1


@define(frozen=True, kw_only=True)
class Answer:
    """What a caller reads from the bytes of an answer.

    Attributes:
        is_not_run: Whether it says that nothing ran.
        is_whole: Whether a stream has its end; True for other answers.
        is_refused: Whether a stream ends with an error that says so.
        events: Numbers of events.
        versions: Software versions that the events name, each once.
    """

    is_not_run: bool = False
    is_whole: bool = True
    is_refused: bool = False
    events: list[int] = field(factory=list)
    versions: list[str] = field(factory=list)


@define(frozen=True, kw_only=True)
class PutAnswer:
    """Answer to a change of the configuration.

    Attributes:
        status: HTTP status; 0 without an answer.
        version: Version that is in force, as far as the answer tells it.
    """

    status: int = 0
    version: int = 0


class Targets(ABC):
    """Stand-ins of all targets of a fleet, in a process of their own."""

    @abstractmethod
    async def run(self) -> None:
        """Serve and report until cancelled."""

    @abstractmethod
    async def release(self) -> None:
        """Replace targets by new ones of another software version."""


class Dialect(ABC):
    """Wire format of a kind of fleet, for callers, targets and operators.

    Attributes:
        kinds: Kinds of requests, each with its share.
        resumable: Kind of request whose streams can be taken up; empty for none.
        last_event: Number of the last event of such a stream.
        is_repeatable: Whether a request with the same name runs at most once.
        second_signal_ends: Whether a second SIGTERM ends an entry at once.
        deadline_ms: Deadline at which streams are cut off; 0 if they end whole.
        read_lag_ms: How old the version may be that a control member tells.
        listen_ms: How long after the signal to stop an entry accepts connections, if
            its grace period allows a notice of this length.
        stay_ms: How long after it an entry may say that it is ready.
    """

    kinds: dict[str, float]
    resumable: str = ""
    last_event: int = 0
    is_repeatable: bool = False
    second_signal_ends: bool = False
    deadline_ms: int = 0
    read_lag_ms: int = 0
    listen_ms: int = 0
    stay_ms: int = 0

    @abstractmethod
    def request(self, plan: RequestPlan) -> tuple[str, list[tuple[str, str]], bytes]:
        """Return path, headers and body of a request."""

    def last_refusals_ms(self, grace_ms: int) -> int:
        """Return when an entry that stops refuses all that it has not answered.

        Args:
            grace_ms: Time from the signal to the kill.

        Returns:
            Time from the signal; 0 if no page promises one.
        """
        return 0

    @abstractmethod
    def runs_once(self, kind: str) -> bool:
        """Return whether a request of a kind must not run twice."""

    @abstractmethod
    def read(
        self, kind: str, status: int, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Return what an answer says."""

    @abstractmethod
    def make_fleet(
        self,
        folder: Path,
        entries: int,
        controls: int,
        grace_ms: dict[str, int],
        with_faults: bool,
    ) -> Fleet:
        """Return a fleet that is not started.

        Args:
            folder: Folder for files and logs.
            entries: Number of entries.
            controls: Number of control members.
            grace_ms: Gets the grace periods of entries by name; read at each start.
            with_faults: Whether processes are started so that disks and links can
                have faults.
        """

    @abstractmethod
    def make_plan(self, fleet: Fleet, seed: int, callers_per_entry: int) -> SitePlan:
        """Return what callers and targets need to know."""

    @abstractmethod
    def make_targets(self, plan: SitePlan) -> Targets:
        """Return the targets."""

    @abstractmethod
    async def put(
        self, fleet: Fleet, member: str, version: int, variant: str, revoked: int
    ) -> PutAnswer:
        """Send a configuration; return the answer.

        Args:
            fleet: The fleet.
            member: Control member to ask.
            version: Version of the configuration.
            variant: ``valid``, ``refused``, ``racing`` or ``large``.
            revoked: Number of revocable keys that it leaves out.
        """

    @abstractmethod
    async def get_version(self, fleet: Fleet, member: str) -> int:
        """Return the version that a control member tells; 0 if it tells none."""


def reported_addresses(fleet: Fleet, targets: dict[str, Address]) -> dict[str, str]:
    """Return the addresses at which entries reach targets, by name."""
    links = fleet.links_by_name
    return {
        name: str(links[f"entries>{name}"].listen if links else address)
        for name, address in targets.items()
    }


def parse_addresses(texts: dict[str, str]) -> dict[str, Address]:
    """Return addresses by name."""
    return {name: Address.parse(text) for name, text in texts.items()}
