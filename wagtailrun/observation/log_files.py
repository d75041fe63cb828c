"""Reads the log files of relay daemons, and names what is missing in them."""

import hashlib
import json
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from wagtailrun.exceptions import WagtailrunError
from wagtailrun.logs.events import EVENTS_BY_NUMBER

__all__ = ["LogFile", "LogLine", "open_lines", "read_files", "read_line", "read_lines"]

# Fields that are printed separately, or are the same in all lines of one request.
HIDDEN_FIELDS = ("time", "process", "event", "level", "message", "request_id")
# Daemons write at most 4,000 characters a line; more without an end is no log.
MAX_LINE_CHARACTERS = 1 << 20
# Later times, in seconds since the Unix epoch, are no times; this is the year 5138.
MAX_TIME_S = 1e11


@attrs.frozen
class LogLine:
    """Log line of one event.

    Attributes:
        time_s: Wall-clock time of the process, in seconds since the Unix epoch.
        process: Name of the process.
        event: Event number, as listed in ``docs/events.md``.
        message: Meaning of the event.
        fields: All other fields.
    """

    time_s: float
    process: str
    event: int
    message: str
    fields: dict[str, Any]

    def text(self, start_s: float) -> str:
        """Return the line in readable form, with its time relative to ``start_s``."""
        field_text = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if value != ""
        )
        offset_ms = round((self.time_s - start_s) * 1_000)
        return f"{offset_ms:+7d} ms  {self.process}  E{self.event:04d} {field_text}"

    def word(self, name: str) -> str | None:
        """Return a field that is a text, or None without one."""
        value = self.fields.get(name)
        return value if isinstance(value, str) else None

    def number(self, name: str) -> float | None:
        """Return a field that is a number from 0, or None without one."""
        return number_in(self.fields, name)


def number_in(fields: dict[str, Any], name: str) -> float | None:
    """Return a finite number from 0 among fields, or None without one."""
    value = fields.get(name)
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    return value if math.isfinite(value) and value >= 0 else None


def read_line(line: str) -> LogLine | None:
    """Return the event of a line; text before its JSON object is ignored.

    Returns:
        None if the line is cut or is no event.
    """
    start = line.find("{")
    try:
        value = json.loads(line[start:]) if start >= 0 else None
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    event, time_s = value.get("event"), value.get("time", 0.0)
    if not isinstance(event, int) or not isinstance(time_s, int | float):
        return None
    if not 0 <= time_s < MAX_TIME_S:
        return None
    return LogLine(
        time_s=float(time_s),
        process=str(value.get("process", "")),
        event=event,
        message=str(value.get("message", "")),
        fields={k: v for k, v in value.items() if k not in HIDDEN_FIELDS[:-1]},
    )


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in ``lines``; what is no event is passed over."""
    yield from filter(None, map(read_line, lines))


def open_lines(name: str) -> Iterator[str]:
    """Yield the lines of a file; bytes that are no UTF-8 are replaced.

    Raises:
        WagtailrunError: If the file cannot be read.
    """
    try:
        with Path(name).open(encoding="utf-8", errors="replace") as stream:
            while line := stream.readline(MAX_LINE_CHARACTERS):
                yield line
    except OSError as error:
        raise WagtailrunError(f"cannot read {name}: {error.strerror}") from error


@attrs.frozen
class LogFile:
    """Events of a log file.

    Attributes:
        name: Name of the file.
        lines: Its events, in the order of the file.
        gaps: What is missing or cannot be read, one sentence each.
        digest: Digest of its text.
    """

    name: str
    lines: list[LogLine]
    gaps: list[str]
    digest: str

    @classmethod
    def read(cls, name: str) -> "LogFile":
        """Read a file.

        Raises:
            WagtailrunError: If the file cannot be read, or is no log.
        """
        digest = hashlib.sha256()
        found: list[LogLine] = []
        unknown: Counter[int] = Counter()
        bad, dropped, unnamed, texts = 0, 0, 0, 0
        for text in open_lines(name):
            digest.update(text.encode())
            if not text.strip():
                continue
            texts += 1
            line = read_line(text)
            if line is None:
                lost = _dropped_lines(text)
                dropped += lost
                bad += not lost
            elif line.event not in EVENTS_BY_NUMBER:
                unknown[line.event] += 1
            elif not line.process or not line.time_s:
                unnamed += 1
            else:
                found.append(line)
        if texts and not (found or unknown):
            raise WagtailrunError(f"{name}: no line is an event of a relay daemon")
        gaps = []
        if not texts:
            gaps.append(f"{name}: the file is empty")
        if bad:
            gaps.append(f"{name}: {bad} lines are cut, or are no events")
        if unnamed:
            gaps.append(f"{name}: {unnamed} events have no process or time")
        if dropped:
            gaps.append(f"{name}: the process dropped {dropped} lines")
        if unknown:
            numbers = ", ".join(map(str, sorted(unknown)[:10]))
            gaps.append(
                f"{name}: {unknown.total()} lines have unknown events ({numbers}); "
                "another version wrote them"
            )
        return cls(name, found, gaps, digest.hexdigest())


def _dropped_lines(text: str) -> int:
    """Return how many lines a line says were dropped before it."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return 0
    count = number_in(value, "dropped_lines") if isinstance(value, dict) else None
    return int(count or 0)


def read_files(names: Iterable[str]) -> list[LogFile]:
    """Read log files; a copy of another one is left out and named as a gap.

    Raises:
        WagtailrunError: If a file cannot be read or is no log, or none has events.
    """
    files: list[LogFile] = []
    names_by_digest: dict[str, str] = {}
    for name in names:
        file = LogFile.read(name)
        known = names_by_digest.get(file.digest)
        if file.lines and known is not None:
            gap = f"{name}: left out, as it is the same as {known}"
            file = attrs.evolve(file, lines=[], gaps=[gap])
        names_by_digest.setdefault(file.digest, name)
        files.append(file)
    if not any(file.lines for file in files):
        raise WagtailrunError("no file has events: " + ", ".join(f.name for f in files))
    return files
