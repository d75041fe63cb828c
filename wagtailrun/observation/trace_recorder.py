"""Records the requests of an entry as a trace that can be replayed."""

import json
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import curio

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.fleet.model import FleetConfiguration, ServiceKind
from wagtailrun.logs import events
from wagtailrun.targets.table import TargetRow

__all__ = ["TraceRecorder"]

FLUSH_INTERVAL_MS = 1_000
# At the design size an entry receives 18 requests/s, so this covers about 10 minutes.
MAX_BUFFERED_RECORDS = 10_000
CHARS_PER_TOKEN = 4
REPLAY_SEED = 1
# Speeds of the emulated targets in a recorded header; the operator replaces them by
# measured ones.
PLACEHOLDER_ENGINE_MODEL = {"capacity": 8, "decode_ms": 22.0, "prefill_us": 70.0}
PLACEHOLDER_CALL_MODEL = {"capacity": 8, "service_ms": 25.0}


class TraceRecorder:
    """Appends arrivals to a trace file as JSON lines; sizes only, never contents.

    Args:
        path: Trace file to append to.
        clock: Clock.
        entry: Name of this entry.
        data_centre: Data centre of this entry.
        fleet: Returns the applied fleet configuration, or None.
        targets: Returns the known targets, for the header.
    """

    def __init__(
        self,
        path: str,
        clock: Clock,
        entry: str,
        data_centre: str,
        fleet: Callable[[], FleetConfiguration | None],
        targets: Callable[[], Iterable[TargetRow]],
    ):
        self.path = Path(path)
        self.clock = clock
        self.entry = entry
        self.data_centre = data_centre
        self.fleet = fleet
        self.targets = targets
        self.started_ms = clock.now_ms()
        self.has_header = False
        self.records: list[dict[str, Any]] = []
        self.dropped = 0
        self.is_failing = False
        # One write at a time, so that the header is written once and first.
        self.lock = curio.Lock()

    def record_arrival(self, started_ms: int, workspace: str, **fields: Any) -> None:
        """Buffer the record of a request that has ended.

        Args:
            started_ms: When it arrived, on the clock.
            workspace: Workspace of the caller.
            **fields: ``pipeline``, ``prompt_chars`` and ``output`` in tokens; or
                ``service``, ``call`` and ``key``.
        """
        if len(self.records) >= MAX_BUFFERED_RECORDS:
            self.dropped += 1
            return
        record = {"kind": "arrival", "at": started_ms - self.started_ms}
        record |= {"workspace": workspace, "data_centre": self.data_centre}
        if "prompt_chars" in fields:
            fields["prompt"] = fields.pop("prompt_chars") // CHARS_PER_TOKEN + 1
        self.records.append(record | fields)

    async def run(self) -> None:
        """Write buffered records periodically until cancelled."""
        while True:
            await self.clock.sleep_ms(FLUSH_INTERVAL_MS)
            await self.flush()

    async def flush(self) -> None:
        """Write the buffered records; does nothing without a fleet configuration.

        The header needs the fleet configuration, so records stay buffered until then.
        They also do, up to the limit, while the file cannot be written.
        """
        async with self.lock:
            await self._flush()

    async def close(self, limit_ms: int) -> None:
        """Write the last records; log how many the end of the process may lose.

        Args:
            limit_ms: How long to wait for the disk, in milliseconds.
        """
        async with curio.ignore_after(limit_ms / MS_PER_SECOND):
            await self.flush()
        if self.records:
            detail = "the process ends first"
            events.log(events.TRACE_NOT_WRITTEN, detail=detail, lost=len(self.records))

    async def _flush(self) -> None:
        fleet = self.fleet()
        if fleet is None or not self.records:
            return
        batch, self.records = self.records, []
        lines = _to_lines(batch)
        try:
            # The header may be large, and few writes need one.
            is_written = self.has_header and await curio.run_in_thread(
                self._append, lines, b""
            )
            if not is_written:
                header = _to_lines([self._header(fleet)])
                await curio.run_in_thread(self._append, lines, header)
        except curio.CancelledError:
            # The process ends; whether they will be written is unknown.
            self._keep(batch)
            raise
        except OSError as error:
            self._keep(batch)
            if not self.is_failing:
                events.log(events.TRACE_NOT_WRITTEN, detail=str(error))
            self.is_failing = True
            return
        self.has_header = True
        if self.is_failing:
            events.log(events.TRACE_WRITTEN_AGAIN, dropped=self.dropped)
        self.is_failing = False

    def _keep(self, batch: list[dict[str, Any]]) -> None:
        """Put records back that could not be written; drop what exceeds the limit."""
        records = batch + self.records
        self.records = records[:MAX_BUFFERED_RECORDS]
        self.dropped += len(records) - len(self.records)

    def _append(self, lines: bytes, header: bytes) -> bool:
        """Append ``lines`` behind ``header``, all of it or nothing.

        An unfinished last line gets a line break, and must be followed by a header, so
        that a replay skips it: another process may have ended in its write, or still be
        writing it.

        Returns:
            Whether they were written; not if the header is empty and needed.
        """
        with self.path.open("a+b", buffering=0) as file:
            descriptor = file.fileno()
            size = os.fstat(descriptor).st_size
            is_ended = not size or os.pread(descriptor, 1, size - 1) == b"\n"
            if not is_ended and not header:
                return False
            data = header + lines if is_ended else b"\n" + header + lines
            written = 0
            try:
                while written < len(data):
                    written += os.write(descriptor, memoryview(data)[written:])
            except OSError:
                # A larger file has lines of another process behind this part.
                if os.fstat(descriptor).st_size == size + written:
                    file.truncate(size)
                raise
        return True

    def _header(self, fleet: FleetConfiguration) -> dict[str, Any]:
        counts: dict[tuple[str, str], int] = {}
        for row in self.targets():
            key = (row.service, row.data_centre)
            counts[key] = counts.get(key, 0) + 1
        groups = []
        for (service, data_centre), count in sorted(counts.items()):
            known = fleet.services_by_name.get(service)
            engine = known is not None and known.kind is ServiceKind.ENGINE
            model = PLACEHOLDER_ENGINE_MODEL if engine else PLACEHOLDER_CALL_MODEL
            group = {"service": service, "data_centre": data_centre, "count": count}
            groups.append(group | {"model": model})
        return {
            "kind": "header",
            "seed": REPLAY_SEED,
            "fleet_document": fleet.document,
            "entries": [{"name": self.entry, "data_centre": self.data_centre}],
            "targets": groups,
            "outcomes": {},
        }


def _to_lines(records: Iterable[dict[str, Any]]) -> bytes:
    return "".join(json.dumps(record) + "\n" for record in records).encode()
