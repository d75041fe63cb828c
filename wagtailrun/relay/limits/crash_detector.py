"""Detects crashes of targets from broken attempts, and requests that explain them."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from wagtailrun.clock import Clock
from wagtailrun.discovery.quarantine import Quarantine, digest_part
from wagtailrun.logs import events
from wagtailrun.relay.core.placement_messages import RunBroken
from wagtailrun.relay.core.port import AnswerProgress
from wagtailrun.targets.table import TargetRow

__all__ = [
    "CRASH_WINDOW_MS",
    "SAFE_AFTER_FIRST_EVENT_MS",
    "SETTLE_MS",
    "CrashDetector",
]

# The attempts at an engine that crashes break within this time.
CRASH_WINDOW_MS = 500
# The reports of the entries about one crash arrive within this time. Only all of them
# tell which prompts explain it best.
SETTLE_MS = 100
# A break is not a crash if nothing else shows one within this time; an engine that
# crashed is back after some seconds.
UNCONFIRMED_LIFETIME_MS = 6_000
# An engine that has sent events for this long does not crash because it began to.
SAFE_AFTER_FIRST_EVENT_MS = 300
# Prompt parts whose last success is remembered.
MAX_SUCCESSES = 4_096
# A part with a success within this time explains a crash only if no other part does.
RECENT_SUCCESS_MS = 60_000


@attrs.frozen
class _Break:
    """A broken attempt.

    Attributes:
        at_ms: When it was reported.
        message: The report.
    """

    at_ms: int
    message: RunBroken


@attrs.frozen
class _WeakSuspicion:
    """A crash that a part or request explains weakly.

    Attributes:
        at_ms: When it was detected.
        request: Digest of the request that broke, if the crash was explained by it.
    """

    at_ms: int
    request: str


@attrs.define
class _EngineState:
    """Broken attempts at one incarnation of an engine.

    Attributes:
        breaks: Broken attempts, oldest first.
        crashed: Whether the breaks are known to be a crash.
        explained: Whether an attempt was found that began an answer as it crashed.
        concluded: Whether less certain explanations were recorded.
    """

    breaks: list[_Break] = attrs.Factory(list)
    crashed: bool = False
    explained: bool = False
    concluded: bool = False


class CrashDetector:
    """Attributes the crashes of targets at all entries to requests and prompt parts.

    A request that crashes targets does so when they begin to run it. For a prompt, the
    head of the answer has arrived by then, but no event. If no broken attempt is in
    that state, those that may have begun are weaker explanations, which count from the
    second time on.

    Args:
        clock: Clock.
        quarantine: Table of crashes under prompt parts.
    """

    def __init__(self, clock: Clock, quarantine: Quarantine):
        self.clock = clock
        self.quarantine = quarantine
        # By name and incarnation.
        self.states_by_engine: dict[tuple[str, int], _EngineState] = {}
        self.success_ms_by_part: OrderedDict[str, int] = OrderedDict()
        # Parts and requests that were weak explanations once.
        self.weak_by_part: dict[str, _WeakSuspicion] = {}

    # Observations

    def record_break(self, message: RunBroken) -> None:
        """Record that the connection of an attempt was closed before its end."""
        self._expire()
        key = (message.target, message.incarnation)
        state = self.states_by_engine.setdefault(key, _EngineState())
        now_ms = self.clock.now_ms()
        state.breaks.append(_Break(now_ms, message))
        requests = {
            each.message.request_id
            for each in state.breaks
            if now_ms - each.at_ms <= CRASH_WINDOW_MS
        }
        if message.refused and message.request and _had_begun(message):
            # The caller may send it again at once; further explanations are added
            # when they are known.
            self.quarantine.record_crash(_engine_digest(message), [], [message.request])
        if state.crashed:
            return
        if message.refused:
            self._confirm(state, "it refuses connections")
        elif len(requests) > 1:
            self._confirm(state, "several attempts broke at once")

    def record_unreachable(self, row: TargetRow) -> None:
        """Record that no connection to an engine could be opened."""
        state = self.states_by_engine.get((row.name, row.incarnation))
        if state is not None and not state.crashed:
            self._confirm(state, "it refuses connections")

    def record_alive(self, row: TargetRow, started_ms: int) -> None:
        """Record that an engine answered an attempt that was sent at ``started_ms``."""
        key = (row.name, row.incarnation)
        state = self.states_by_engine.get(key)
        if state is None or state.crashed:
            return
        state.breaks = [each for each in state.breaks if each.at_ms >= started_ms]
        if not state.breaks:
            del self.states_by_engine[key]

    def record_success(self, parts: Iterable[str]) -> None:
        """Record that an engine began to answer a prompt with these parts."""
        for part in parts:
            self.success_ms_by_part[part] = self.clock.now_ms()
            self.success_ms_by_part.move_to_end(part)
            self.weak_by_part.pop(part, None)
        while len(self.success_ms_by_part) > MAX_SUCCESSES:
            self.success_ms_by_part.popitem(last=False)

    def check_rows(self, rows: Iterable[TargetRow]) -> None:
        """Confirm the crash of engines whose address a later incarnation has."""
        if not self.states_by_engine:
            return
        self._expire()
        incarnations = {str(row.address): row.incarnation for row in rows}
        for state in list(self.states_by_engine.values()):
            message = state.breaks[-1].message
            newest = incarnations.get(message.address, 0)
            if not state.crashed and newest > message.incarnation:
                self._confirm(state, "it was started again")

    def settle(self) -> None:
        """Draw the conclusions that are due."""
        self._expire()

    def suspects(self, *, unsettled: bool = False) -> set[str]:
        """Return the parts of prompts under which an engine may just have crashed.

        Args:
            unsettled: Whether to return only those whose crash may be a moment old.
        """
        self._expire()
        limit_ms = SETTLE_MS if unsettled else UNCONFIRMED_LIFETIME_MS
        now_ms = self.clock.now_ms()
        found: set[str] = set()
        for state in self.states_by_engine.values():
            is_recent = now_ms - state.breaks[0].at_ms <= limit_ms
            if is_recent and not state.explained:
                found.update(*self._candidates(_beginning(state)))
        return found

    # Conclusions

    def _confirm(self, state: _EngineState, evidence: str) -> None:
        state.crashed = True
        message = state.breaks[-1].message
        events.log(
            events.ENGINE_CRASH_DETECTED,
            engine=message.target,
            incarnation=message.incarnation,
            evidence=evidence,
            broken=len(state.breaks),
        )

    def _explain(self, state: _EngineState) -> None:
        """Record the requests that the target had begun to run as explanations."""
        beginning = [each for each in _beginning(state) if each.parts or each.request]
        if not beginning:
            return
        state.explained = True
        prompts = [each for each in beginning if each.parts]
        requests = {each.request for each in beginning} - {""}
        alternatives = self._candidates(prompts)
        if requests and not alternatives:
            alternatives = self._repeated_parts(prompts)
        self._record(beginning, alternatives, requests)

    def _candidates(self, messages: list[RunBroken]) -> list[set[str]]:
        """Return the parts of each prompt that may have caused a crash.

        Parts with a recent success explain a crash only if no other part, and no
        request, does.
        """
        unknown = [
            {part for part in _parts(each) if not self._succeeded_recently(part)}
            for each in messages
        ]
        sets = [each for each in unknown if each]
        if sets or any(each.request for each in messages):
            return sets
        return [set(_parts(each)) for each in messages]

    def _repeated_parts(self, messages: list[RunBroken]) -> list[set[str]]:
        """Return the parts of each prompt that were answered, but crashed again since.

        They explain a crash only if another request with them did so before: otherwise
        the request itself is the likelier cause.
        """
        now_ms = self.clock.now_ms()
        sets = []
        for message in messages:
            found = set()
            for part in _parts(message):
                known = self.weak_by_part.get(part)
                if known is not None and known.request != message.request:
                    found.add(part)
                self.weak_by_part[part] = _WeakSuspicion(now_ms, message.request)
            sets.append(found)
        return [each for each in sets if each]

    def _conclude(self, state: _EngineState) -> None:
        """Record prompts that the engine may have begun to answer.

        Only parts that were candidates of an earlier crash, too, are recorded.
        """
        state.concluded = True
        if state.explained:
            return
        unfinished = _unfinished(state)
        candidates = {
            part
            for each in unfinished
            for part in (*_parts(each), each.request)
            if part and not self._succeeded_recently(part)
        }
        repeated = candidates & self.weak_by_part.keys()
        weak = _WeakSuspicion(self.clock.now_ms(), "")
        self.weak_by_part.update(dict.fromkeys(candidates, weak))
        sets = [repeated.intersection(_parts(each)) for each in unfinished]
        requests = repeated & {each.request for each in unfinished}
        if any(sets) or requests:
            self._record(unfinished, [each for each in sets if each], requests)

    def _record(
        self,
        messages: list[RunBroken],
        alternatives: list[set[str]],
        requests: set[str],
    ) -> None:
        first = messages[0]
        events.log(
            events.PROMPT_SUSPECTED,
            engine=first.target,
            incarnation=first.incarnation,
            requests=[each.request_id for each in messages],
            parts=[name for each in messages for name in each.parts],
            digests=[part for each in messages for part in _parts(each)],
            alternatives=[" ".join(sorted(each)) for each in alternatives],
            request_digests=sorted(requests),
        )
        self.quarantine.record_crash(_engine_digest(first), alternatives, requests)

    def _succeeded_recently(self, part: str) -> bool:
        success_ms = self.success_ms_by_part.get(part)
        if success_ms is None:
            return False
        return self.clock.now_ms() - success_ms < RECENT_SUCCESS_MS

    def _expire(self) -> None:
        now_ms = self.clock.now_ms()
        for key, state in list(self.states_by_engine.items()):
            age_ms = now_ms - state.breaks[-1].at_ms
            settled = now_ms - state.breaks[0].at_ms > SETTLE_MS
            if state.crashed and settled and not state.explained:
                self._explain(state)
            if state.crashed and not state.concluded and age_ms > CRASH_WINDOW_MS:
                self._conclude(state)
            if age_ms > UNCONFIRMED_LIFETIME_MS:
                del self.states_by_engine[key]
        for part, weak in list(self.weak_by_part.items()):
            if now_ms - weak.at_ms >= RECENT_SUCCESS_MS:
                del self.weak_by_part[part]


def _engine_digest(message: RunBroken) -> str:
    return digest_part(f"{message.target} {message.incarnation}")


def _parts(message: RunBroken) -> list[str]:
    return [digest_part(name) for name in message.parts]


def _had_begun(message: RunBroken) -> bool:
    """Return whether the target had just begun to run the request of a broken attempt.

    Answers of plain services come whole, so nothing tells how far they were.
    """
    if message.progress == AnswerProgress.EVENTS:
        return message.since_first_event_ms < SAFE_AFTER_FIRST_EVENT_MS
    return message.progress == AnswerProgress.HEAD or not message.parts


def _beginning(state: _EngineState) -> list[RunBroken]:
    """Return the broken attempts that the target had just begun to run."""
    reports = [each.message for each in state.breaks]
    return [
        each
        for each in reports
        if each.progress != AnswerProgress.EVENTS and _had_begun(each)
    ]


def _unfinished(state: _EngineState) -> list[RunBroken]:
    """Return the broken attempts whose answers may have just begun."""
    return [
        each.message
        for each in state.breaks
        if each.message.progress == AnswerProgress.NOTHING
        or each.message.since_first_event_ms < SAFE_AFTER_FIRST_EVENT_MS
    ]
