"""Text about a finding: what happened on the wire, and what ``explain`` says."""

import signal
import subprocess
import sys
from pathlib import Path

from soak.history import Finding, History
from soak.records import RequestRecord

__all__ = ["describe"]

AROUND_MS = 15_000
# Short standstills are many on a busy machine.
SHOWN_STANDSTILL_MS = 100
NEAR_MS = 3_000
EXPLAIN_TIMEOUT_S = 20
MAX_EXPLAIN_LINES = 40


def describe(finding: Finding, history: History, logs: list[Path]) -> str:
    """Return all that is known of a finding.

    Args:
        finding: The finding.
        history: Signals, exits, faults and runs.
        logs: Logs of the fleet, for ``wagtailrun explain`` only.
    """
    lines = [f"FINDING {finding.promise}: {finding.subject}: {finding.detail}"]
    request = finding.request
    process = request.entry if request else finding.subject
    events = _process_events(history, process, finding.at_ms)
    if request is not None:
        events += _wire_events(request)
        events += [
            (run.at_ms, f"runs at {run.target}") for run in history.runs[request.name]
        ]
    events += [
        (fault.from_ms, f"fault {fault.kind} at {fault.subject} {fault.detail}")
        for fault in history.faults
        if abs(fault.from_ms - finding.at_ms) < AROUND_MS
    ]
    events += [
        (each.at_ms, f"{each.loop} of the soak stood still for {each.lasted_ms} ms")
        for each in history.standstills
        if each.lasted_ms >= SHOWN_STANDSTILL_MS
        and abs(each.at_ms - finding.at_ms) < NEAR_MS
    ]
    lines += [
        f"  {at_ms - finding.at_ms:+7d} ms  {text}" for at_ms, text in sorted(events)
    ]
    if request is not None:
        lines.append(
            f"  {request.kind}, connection {request.connection}, request "
            f"{request.position} on it, attempt {request.attempt}, status "
            f"{request.status}, reset {request.was_reset}, routed "
            f"{request.is_routed}, callers stood still for {request.standstill_ms} ms"
        )
        if request.refusal:
            lines.append(f"  refusal: {request.refusal}")
        if request.name:
            lines += _explain(request.name, logs)
    return "\n".join(lines)


def _wire_events(request: RequestRecord) -> list[tuple[int, str]]:
    texts = (
        (request.connected_ms, "connected"),
        (request.began_ms, "caller turns to the request"),
        (request.first_byte_ms, "first byte sent"),
        (request.sent_ms, "whole request sent"),
        (request.answer_ms, "first byte of an answer"),
        (request.ended_ms, f"ended: {request.outcome.value}, {request.received} bytes"),
        (request.closed_ms, "end of the connection"),
    )
    return [(at_ms, text) for at_ms, text in texts if at_ms]


def _process_events(
    history: History, process: str, at_ms: int
) -> list[tuple[int, str]]:
    events = [
        (
            each.at_ms,
            f"{signal.Signals(each.number).name} to {process} ({each.pid})"
            + (f", grace {each.grace_ms} ms" if each.grace_ms else ""),
        )
        for each in history.signals[process]
    ]
    events += [
        (each.at_ms, f"{process} ({each.pid}) ended with {each.code}")
        for each in history.exits[process]
    ]
    return [event for event in events if abs(event[0] - at_ms) < AROUND_MS]


def _explain(name: str, logs: list[Path]) -> list[str]:
    command = [sys.executable, "-m", "wagtailrun", "explain", name, *map(str, logs)]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=EXPLAIN_TIMEOUT_S, check=False
    )
    text = (done.stdout + done.stderr).splitlines()[:MAX_EXPLAIN_LINES]
    return ["  wagtailrun explain:", *(f"    {line}" for line in text)]
