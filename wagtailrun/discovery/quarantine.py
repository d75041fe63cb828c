"""Crashes of targets under requests, and the requests held back for them."""

from collections import defaultdict
from collections.abc import Iterable

import attrs
import xxhash

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.discovery.messages import AgedEvidence, CrashEvidence, PartSet
from wagtailrun.logs import events
from wagtailrun.targets.table import ChangeLog

__all__ = ["Quarantine", "QuarantineStatus", "digest_part"]

# Crashes that a prompt explains before it is held back. One crash may have another
# cause.
CRASHES_TO_HOLD = 2
# After this many crashes a prompt is not tried again within MAX_HOLD_MS.
CRASHES_TO_HOLD_LONGEST = 5
FIRST_HOLD_MS = 600 * MS_PER_SECOND
MAX_HOLD_MS = 24 * 3_600 * MS_PER_SECOND
# Parts are suspected for this long after a crash.
SUSPICION_MS = 60 * MS_PER_SECOND
# A crash that holds no prompt back is kept for this long, as is the answer that cleared
# a part.
EVIDENCE_LIFETIME_MS = FIRST_HOLD_MS
MAX_EVIDENCE = 512
MAX_ALTERNATIVES = 8
# A target of the users runs up to 64 requests at once.
MAX_REQUESTS = 64
# After this many crashes a request is not tried again within MAX_HOLD_MS. Its trials
# cost targets, and unlike a part it is of no use to others.
REQUEST_CRASHES_TO_HOLD_LONGEST = 3
MAX_PARTS = 8
# Clocks of different processes measure ages that differ by less than this.
AGE_TOLERANCE_MS = 1_000


@attrs.frozen
class QuarantineStatus:
    """What is known of the parts of one prompt.

    Attributes:
        held_ms: How long the prompt is held back; 0 if it is not.
        suspects: Digests of the parts that may crash an engine.
    """

    held_ms: int = 0
    suspects: frozenset[str] = frozenset()


class Quarantine:
    """Evidence of crashes under requests, merged among all processes.

    Each crash has one or more alternative explanations: the requests that the target
    had begun to run, and the sets of parts of those that are prompts. A prompt explains
    a crash if it has all parts of an alternative. A target that answers a request
    clears it, and the parts of a prompt, of earlier crashes. If a request explains
    as many crashes as parts do, it counts and the parts do not: others share them.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.evidence_by_key: dict[str, CrashEvidence] = {}
        # Time of each crash, or the start of the newest attempt that cleared the part.
        self.at_ms_by_key: dict[str, int] = {}
        # All changes, and those that were detected here or reported to this process.
        self.log = ChangeLog()
        self.local_log = ChangeLog()
        # Crashes with the alternatives that remain, computed when they are needed.
        self._crashes: dict[str, list[frozenset[str]]] | None = None
        # Crashes that each request explains, computed when they are needed.
        self._keys_by_request: dict[str, set[str]] | None = None

    # Changes

    def record_crash(
        self,
        target: str,
        alternatives: Iterable[Iterable[str]],
        requests: Iterable[str] = (),
    ) -> None:
        """Record that a target crashed as it began to run requests.

        Args:
            target: Digest of the target's incarnation.
            alternatives: Digests of the parts of each prompt that may have caused it.
            requests: Digests of the requests that may have caused it.
        """
        sets = {PartSet(tuple(sorted(parts)[:MAX_PARTS])) for parts in alternatives}
        found = sorted(set(requests))[:MAX_REQUESTS]
        evidence = CrashEvidence(target, tuple(sorted(sets)), tuple(found))
        self.merge([AgedEvidence(evidence, 0)], local=True)

    def clear(self, part: str, started_ms: int) -> None:
        """Record that a target answered a request, or a prompt with this part.

        Args:
            part: Digest of the part or of the request.
            started_ms: When it was sent to the target. It says nothing about crashes
                since then.
        """
        age_ms = self.clock.now_ms() - started_ms
        self.merge([AgedEvidence(CrashEvidence(part), age_ms)], local=True)

    def merge(self, rows: Iterable[AgedEvidence], *, local: bool = False) -> bool:
        """Merge evidence of another process; return whether any of it was new.

        Args:
            rows: Evidence with ages.
            local: Whether to pass it on to other processes of this kind.
        """
        changed = False
        for aged in rows:
            if self._merge_one(aged.evidence, self.clock.now_ms() - aged.age_ms):
                changed = True
                if local:
                    self.local_log.record_change(aged.evidence.key)
        return changed

    def _merge_one(self, evidence: CrashEvidence, at_ms: int) -> bool:
        key = evidence.key
        known = self.evidence_by_key.get(key)
        known_ms = self.at_ms_by_key.get(key, at_ms)
        if known is None:
            if self.clock.now_ms() - at_ms >= 2 * MAX_HOLD_MS:
                return False
        elif evidence.is_crash:
            union = sorted({*known.alternatives, *evidence.alternatives})
            requests = sorted({*known.requests, *evidence.requests})
            evidence = CrashEvidence(
                key, tuple(union[:MAX_ALTERNATIVES]), tuple(requests[:MAX_REQUESTS])
            )
            at_ms = min(at_ms, known_ms)
            if evidence == known:
                return False
        elif at_ms <= known_ms + AGE_TOLERANCE_MS:
            return False
        self._drop_expired()
        self.evidence_by_key[key] = evidence
        self.at_ms_by_key[key] = at_ms
        self.log.record_change(key)
        self._crashes = self._keys_by_request = None
        self._log_change(evidence, at_ms)
        return True

    def _log_change(self, evidence: CrashEvidence, at_ms: int) -> None:
        age_ms = self.clock.now_ms() - at_ms
        if not evidence.is_crash:
            events.log(events.PROMPT_PART_CLEARED, part=evidence.key, age_ms=age_ms)
            return
        statuses = [self.status(each.parts) for each in evidence.alternatives]
        events.log(
            events.PROMPT_CRASH_LEARNED,
            engine=evidence.key,
            alternatives=[" ".join(each.parts) for each in evidence.alternatives],
            held_ms=[each.held_ms for each in statuses],
            requests=list(evidence.requests),
            requests_held_ms=[self.request_held_ms(r) for r in evidence.requests],
            age_ms=age_ms,
        )

    def _drop_expired(self) -> None:
        """Drop evidence that has expired, and the oldest if there is too much."""
        now_ms = self.clock.now_ms()
        for key in list(self.evidence_by_key):
            age_ms = now_ms - self.at_ms_by_key[key]
            if age_ms >= EVIDENCE_LIFETIME_MS and not self._holds_back(key):
                self._drop(key)
        while len(self.evidence_by_key) >= MAX_EVIDENCE:
            self._drop(min(self.at_ms_by_key, key=self.at_ms_by_key.__getitem__))

    def _holds_back(self, key: str) -> bool:
        """Return whether a prompt is held back because of a crash, or was lately."""
        age_ms = self.clock.now_ms() - self.at_ms_by_key[key]
        if age_ms >= 2 * MAX_HOLD_MS:
            return False
        if self._most_by_one_request(key) >= CRASHES_TO_HOLD:
            return True
        return any(
            len(self._explained(parts)) >= CRASHES_TO_HOLD
            for parts in self._remaining().get(key, ())
        )

    def _drop(self, key: str) -> None:
        del self.evidence_by_key[key], self.at_ms_by_key[key]
        self.log.drop(key)
        self.local_log.drop(key)
        self._crashes = self._keys_by_request = None

    # Queries

    def rows(self, keys: Iterable[str]) -> tuple[AgedEvidence, ...]:
        """Return evidence with its age."""
        now_ms = self.clock.now_ms()
        return tuple(
            AgedEvidence(
                self.evidence_by_key[key], max(now_ms - self.at_ms_by_key[key], 0)
            )
            for key in keys
        )

    def request_held_ms(self, request: str) -> int:
        """Return how long a request is held back, by its digest; 0 if it is not."""
        explained = self._crashes_by_request().get(request, set())
        # In the other crashes it ran beside a request that explains more of them.
        keys = [
            key for key in explained if self._most_by_one_request(key) <= len(explained)
        ]
        count = len(keys)
        if count < CRASHES_TO_HOLD:
            return 0
        hold_ms = FIRST_HOLD_MS
        if count >= REQUEST_CRASHES_TO_HOLD_LONGEST:
            hold_ms = MAX_HOLD_MS
        newest_ms = max(self.at_ms_by_key[key] for key in keys)
        return max(newest_ms + hold_ms - self.clock.now_ms(), 0)

    def is_marked(self, part: str) -> bool:
        """Return whether a part belongs to an explanation of a crash."""
        return any(
            part in parts for sets in self._remaining().values() for parts in sets
        )

    def status(self, parts: Iterable[str]) -> QuarantineStatus:
        """Return what is known of a prompt.

        Args:
            parts: Digests of its parts, without the last one.
        """
        if not self.evidence_by_key:
            return QuarantineStatus()
        prompt = frozenset(parts)
        now_ms = self.clock.now_ms()
        explained = self._explained(prompt)
        held_ms = 0
        if explained:
            newest_ms = max(self.at_ms_by_key[key] for key in explained)
            held_ms = max(newest_ms + _hold_ms(len(explained)) - now_ms, 0)
        suspects: set[str] = set()
        was_held = len(explained) >= CRASHES_TO_HOLD
        for key, sets in self._remaining().items():
            recent = now_ms - self.at_ms_by_key[key] < SUSPICION_MS
            if recent or was_held and key in explained:
                suspects.update(*(prompt & each for each in self._likeliest(sets)))
        return QuarantineStatus(held_ms, frozenset(suspects))

    def _crashes_by_request(self) -> dict[str, set[str]]:
        """Return the crashes that each request explains and was not cleared of."""
        if self._keys_by_request is None:
            self._keys_by_request = defaultdict(set)
            for key, evidence in self.evidence_by_key.items():
                at_ms = self.at_ms_by_key[key]
                for request in evidence.requests:
                    if not self._is_cleared(request, at_ms):
                        self._keys_by_request[request].add(key)
        return self._keys_by_request

    def _most_by_one_request(self, key: str) -> int:
        """Return how many crashes are explained by a request that explains this one."""
        by_request = self._crashes_by_request()
        counts = (
            len(by_request.get(r, ())) for r in self.evidence_by_key[key].requests
        )
        return max(counts, default=0)

    def _remaining(self) -> dict[str, list[frozenset[str]]]:
        """Return the alternatives of each crash without the parts cleared since."""
        if self._crashes is None:
            self._crashes = {}
            for key, evidence in self.evidence_by_key.items():
                at_ms = self.at_ms_by_key[key]
                sets = [
                    frozenset(p for p in each.parts if not self._is_cleared(p, at_ms))
                    for each in evidence.alternatives
                ]
                if any(sets):
                    self._crashes[key] = [each for each in sets if each]
        return self._crashes

    def _is_cleared(self, part: str, crash_ms: int) -> bool:
        known = self.evidence_by_key.get(part)
        return known is not None and self.at_ms_by_key[part] > crash_ms

    def _explained(self, prompt: frozenset[str]) -> set[str]:
        """Return the crashes that a prompt explains at least as well as any other."""
        covered = self._covered(prompt)
        return {
            key
            for key in covered
            if not CRASHES_TO_HOLD <= self._most_by_one_request(key) >= len(covered)
            and all(
                each <= prompt or len(self._covered(each)) <= len(covered)
                for each in self._remaining()[key]
            )
        }

    def _covered(self, prompt: frozenset[str]) -> set[str]:
        """Return the crashes that have an alternative within the parts of a prompt."""
        return {
            key
            for key, sets in self._remaining().items()
            if any(each <= prompt for each in sets)
        }

    def _likeliest(self, sets: list[frozenset[str]]) -> list[frozenset[str]]:
        """Return the alternatives of a crash that explain most crashes."""
        counts = [len(self._covered(each)) for each in sets]
        most = max(counts)
        return [each for each, count in zip(sets, counts, strict=True) if count == most]


def digest_part(name: str) -> str:
    """Return the digest by which processes refer to a prompt part or an engine.

    Names are chosen by others and may be long.
    """
    return xxhash.xxh3_64_hexdigest(name.encode())


def _hold_ms(count: int) -> int:
    """Return how long after the newest of ``count`` crashes a prompt is held back."""
    if count < CRASHES_TO_HOLD:
        return 0
    if count >= CRASHES_TO_HOLD_LONGEST:
        return MAX_HOLD_MS
    return min(FIRST_HOLD_MS << (count - CRASHES_TO_HOLD), MAX_HOLD_MS)
