"""Schedule of a run, made from its seed before anything starts."""

import random
from enum import Enum

import attrs
from attrs import define, field

__all__ = ["SIZES", "Action", "ActionKind", "Schedule", "Size", "make_schedule"]

GRACE_PERIODS_MS = (2_000, 4_000, 8_000, 8_000, 30_000)
# Time between the stops of two entries; a stop takes a few seconds.
ROLL_GAPS_MS = (300, 1_230, 1_230, 2_500, 5_000)
PAIR_SHARE = 0.25
SECOND_SIGNAL_SHARE = 0.15
RELOAD_SHARE = 0.25
MAX_RELOADS = 5
STOP_IN_START_SHARE = 0.1
MAX_START_MS = 2_500
# Stops at whose end the process stands still, or has no descriptor left.
STANDSTILL_SHARE = 0.2
SHORTAGE_SHARE = 0.2
# Where in the last part of a grace period a standstill begins: the refusals that are
# due as that part begins have been sent.
STANDSTILL_FROM = (0.25, 0.5)
# Largest share of the entries that are started with few descriptors, and how many
# these get.
MAX_CROWDED_SHARE = 1 / 3
FEW_DESCRIPTORS = (128, 160, 256)
FIRST_STOP_MS = 1_000
# Part of a series after which the next one may begin.
OVERLAP = (0.4, 1.0)
SERIES_PAUSE_MS = (500, 6_000)
CHANGE_PAUSE_MS = (300, 700)
CHANGE_SHARES = {"valid": 0.7, "refused": 0.15, "racing": 0.1, "large": 0.05}
REVOKE_INTERVAL_MS = 12_000
MAX_REVOKED = 10
REPLACE_PAUSE_MS = (15_000, 25_000)
WIPE_SHARE = 0.3
RELEASE_INTERVAL_MS = 20_000
# Of each period, faults begin in the second part and have ended after it; the third
# part is for the recovery, so that more than half of all requests see none.
PERIOD_MS = 60_000
FAULTS_FROM_MS = 38_000
FAULTS_TO_MS = 50_000
FAULT_PAUSE_MS = (500, 2_500)
FAULT_LASTS_MS = (200, 4_000)
MIN_LAST_FAULT_MS = 300


class ActionKind(Enum):
    """Kinds of actions."""

    STOP = "stop"
    CHANGE = "change"
    REPLACE = "replace"
    FAULT = "fault"


@define(frozen=True, kw_only=True)
class Size:
    """Size of a fleet.

    Attributes:
        entries: Number of entries.
        controls: Number of control members.
        callers_per_entry: Number of callers of each entry.
        all_kinds: Whether there is a fleet of each kind, else of one, by the seed.
        memory_mb: Memory that a run needs.
        descriptors: Descriptors that the process of the callers needs.
    """

    entries: int
    controls: int
    callers_per_entry: int
    all_kinds: bool
    memory_mb: int
    descriptors: int


SIZES = {
    "small": Size(
        entries=6,
        controls=3,
        callers_per_entry=12,
        all_kinds=False,
        memory_mb=1_200,
        descriptors=1_024,
    ),
    "usual": Size(
        entries=12,
        controls=3,
        callers_per_entry=10,
        all_kinds=True,
        memory_mb=4_000,
        descriptors=2_048,
    ),
    "large": Size(
        entries=90,
        controls=5,
        callers_per_entry=4,
        all_kinds=True,
        memory_mb=14_000,
        descriptors=6_000,
    ),
}


@define(frozen=True, kw_only=True)
class Action:
    """Something that is done to a fleet at a time.

    Attributes:
        at_ms: Time since the start.
        kind: What is done.
        subject: Process, or link, that it concerns.
        next_grace_ms: Grace period of the entry that is started after a stop.
        second_ms: Time from the first signal to a second one; 0 for none.
        reloads_ms: Times from the signal at which the entry is told to reload.
        stop_in_start_ms: When the entry that is started after a stop is stopped; 0
            for not at all.
        standstill_at: Part of the time between the last refusals of a stop and the end
            of its grace period after which the process stands still until it is
            killed; 0 for no standstill.
        has_shortage: Whether the process has no free descriptor while it stops.
        version: Version of a change.
        variant: Variant of a change, or kind of a fault.
        revoked: Number of keys that a change leaves out.
        wipes: Whether a replaced control member loses its data.
        strength: Strength of a fault.
        lasts_ms: How long a fault lasts.
    """

    at_ms: int
    kind: ActionKind
    subject: str
    next_grace_ms: int = 0
    second_ms: int = 0
    reloads_ms: list[int] = field(factory=list)
    stop_in_start_ms: int = 0
    standstill_at: float = 0.0
    has_shortage: bool = False
    version: int = 0
    variant: str = ""
    revoked: int = 0
    wipes: bool = False
    strength: float = 0.0
    lasts_ms: int = 0

    def text(self) -> str:
        """Return one line for people."""
        parts = [f"{self.at_ms / 1_000:9.3f} s", self.kind.value, self.subject]
        for name in (
            "next_grace_ms",
            "second_ms",
            "reloads_ms",
            "stop_in_start_ms",
            "standstill_at",
            "has_shortage",
            "version",
            "variant",
            "revoked",
            "wipes",
            "strength",
            "lasts_ms",
        ):
            if value := getattr(self, name):
                parts.append(f"{name}={value}")
        return " ".join(parts)


@define(frozen=True, kw_only=True)
class Schedule:
    """All that is done to a fleet.

    Attributes:
        grace_ms: First grace periods of the entries, by name.
        descriptors: Numbers of descriptors of the entries that have few, by name.
        actions: What is done, by time.
        release_ms: Times at which targets are released.
        lasts_ms: Length of the run.
    """

    grace_ms: dict[str, int]
    descriptors: dict[str, int]
    actions: list[Action]
    release_ms: list[int]
    lasts_ms: int

    def planned_share(self, recovery_ms: int) -> float:
        """Return the share of the time that has planned work alone.

        Args:
            recovery_ms: How long after a fault its effects may last.
        """
        faulty_ms = until_ms = 0
        for action in self.actions:
            if action.kind is ActionKind.FAULT:
                end_ms = min(
                    action.at_ms + action.lasts_ms + recovery_ms, self.lasts_ms
                )
                faulty_ms += max(end_ms - max(action.at_ms, until_ms), 0)
                until_ms = max(until_ms, end_ms)
        return 1.0 - faulty_ms / self.lasts_ms

    def text(self) -> str:
        """Return all lines for people."""
        lines = [f"first grace periods: {self.grace_ms}"]
        lines.append(f"few descriptors: {self.descriptors}")
        lines += [action.text() for action in self.actions]
        lines.append(f"releases of targets: {self.release_ms}")
        return "\n".join(lines)


def make_schedule(
    seed: str,
    lasts_ms: int,
    entries: list[str],
    controls: list[str],
    faults: dict[str, list[str]],
) -> Schedule:
    """Return the schedule of a seed; the same one each time.

    Args:
        seed: Seed.
        lasts_ms: Length of the run.
        entries: Names of the entries.
        controls: Names of the control members.
        faults: Subjects of each kind of fault, by its name; none for planned work.
    """
    # A generator for each series: one more kind of fault changes no planned work.
    few = random.Random(f"{seed} descriptors")
    crowded = few.sample(entries, few.randint(0, int(MAX_CROWDED_SHARE * len(entries))))
    stops = _stops(random.Random(f"{seed} stops"), lasts_ms, entries)
    actions = [
        *_hinder(random.Random(f"{seed} hindered stops"), stops, crowded),
        *_changes(random.Random(f"{seed} changes"), lasts_ms, controls),
        *_replacements(random.Random(f"{seed} replacements"), lasts_ms, controls),
        *_faults(random.Random(f"{seed} faults"), lasts_ms, faults),
    ]
    first = random.Random(f"{seed} grace")
    return Schedule(
        grace_ms={name: first.choice(GRACE_PERIODS_MS) for name in entries},
        descriptors={name: few.choice(FEW_DESCRIPTORS) for name in crowded},
        actions=sorted(actions, key=lambda action: action.at_ms),
        release_ms=list(range(RELEASE_INTERVAL_MS // 2, lasts_ms, RELEASE_INTERVAL_MS)),
        lasts_ms=lasts_ms,
    )


def _stops(rng: random.Random, lasts_ms: int, entries: list[str]) -> list[Action]:
    actions = []
    at_ms = FIRST_STOP_MS
    while at_ms < lasts_ms:
        gap_ms = rng.choice(ROLL_GAPS_MS)
        at_once = 2 if rng.random() < PAIR_SHARE else 1
        order = rng.sample(entries, len(entries))
        for number, name in enumerate(order):
            stop_ms = at_ms + number // at_once * gap_ms
            if stop_ms < lasts_ms:
                actions.append(_stop(rng, stop_ms, name))
        # The next series begins while this one goes on.
        series_ms = int(len(order) // at_once * gap_ms * rng.uniform(*OVERLAP))
        at_ms += series_ms + rng.randint(*SERIES_PAUSE_MS)
    return actions


def _stop(rng: random.Random, at_ms: int, name: str) -> Action:
    second_ms = stop_in_start_ms = 0
    reloads_ms = []
    if rng.random() < SECOND_SIGNAL_SHARE:
        second_ms = rng.randint(100, 6_000)
    if rng.random() < RELOAD_SHARE:
        count = rng.randint(1, MAX_RELOADS)
        reloads_ms = sorted(rng.randint(10, 7_000) for _ in range(count))
    if rng.random() < STOP_IN_START_SHARE:
        stop_in_start_ms = rng.randint(1, MAX_START_MS)
    return Action(
        at_ms=at_ms,
        kind=ActionKind.STOP,
        subject=name,
        next_grace_ms=rng.choice(GRACE_PERIODS_MS),
        second_ms=second_ms,
        reloads_ms=reloads_ms,
        stop_in_start_ms=stop_in_start_ms,
    )


def _hinder(
    rng: random.Random, stops: list[Action], crowded: list[str]
) -> list[Action]:
    """Return stops, some of them of processes that lack time or descriptors.

    Connections to crowded entries may wait for a descriptor from before the stop, so
    that what a shortage in it may cost is not known.
    """
    hindered = []
    for stop in stops:
        kind, part = rng.random(), rng.uniform(*STANDSTILL_FROM)
        if kind < STANDSTILL_SHARE:
            stop = attrs.evolve(stop, standstill_at=round(part, 3))
        elif kind < STANDSTILL_SHARE + SHORTAGE_SHARE and stop.subject not in crowded:
            stop = attrs.evolve(stop, has_shortage=True)
        hindered.append(stop)
    return hindered


def _changes(rng: random.Random, lasts_ms: int, controls: list[str]) -> list[Action]:
    actions = []
    at_ms, version = 0, 1
    while (at_ms := at_ms + rng.randint(*CHANGE_PAUSE_MS)) < lasts_ms:
        version += 1
        (variant,) = rng.choices(list(CHANGE_SHARES), list(CHANGE_SHARES.values()))
        members = rng.sample(controls, 2 if variant == "racing" else 1)
        actions += [
            Action(
                at_ms=at_ms,
                kind=ActionKind.CHANGE,
                subject=member,
                version=version,
                variant=variant,
                revoked=min(at_ms // REVOKE_INTERVAL_MS, MAX_REVOKED),
            )
            for member in members
        ]
    return actions


def _replacements(
    rng: random.Random, lasts_ms: int, controls: list[str]
) -> list[Action]:
    actions = []
    at_ms = rng.randint(3_000, REPLACE_PAUSE_MS[0])
    while at_ms < lasts_ms:
        actions.append(
            Action(
                at_ms=at_ms,
                kind=ActionKind.REPLACE,
                subject=rng.choice(controls),
                wipes=rng.random() < WIPE_SHARE,
            )
        )
        at_ms += rng.randint(*REPLACE_PAUSE_MS)
    return actions


def _faults(
    rng: random.Random, lasts_ms: int, faults: dict[str, list[str]]
) -> list[Action]:
    kinds = [name for name, subjects in faults.items() if subjects]
    actions = []
    for period_ms in range(0, lasts_ms, PERIOD_MS) if kinds else ():
        until_ms = min(period_ms + FAULTS_TO_MS, lasts_ms)
        at_ms = period_ms + FAULTS_FROM_MS
        while at_ms + MIN_LAST_FAULT_MS < until_ms:
            kind = rng.choice(kinds)
            lasts = min(rng.randint(*FAULT_LASTS_MS), until_ms - at_ms)
            actions.append(
                Action(
                    at_ms=at_ms,
                    kind=ActionKind.FAULT,
                    subject=rng.choice(faults[kind]),
                    variant=kind,
                    strength=round(rng.random(), 3),
                    lasts_ms=lasts,
                )
            )
            at_ms += rng.randint(*FAULT_PAUSE_MS)
    return actions
