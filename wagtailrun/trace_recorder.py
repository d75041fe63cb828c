"""Records the requests of an entry as a trace that can be replayed."""

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import curio

from wagtailrun.clock import Clock
from wagtailrun.fleet import FleetConfiguration, ServiceKind
from wagtailrun.membership import TargetRow

__all__ = ["TraceRecorder"]

FLUSH_INTERVAL_MS = 1_000
# At the design size an entry takes 18 requests/s, so this is ten minutes of them.
MAX_BUFFERED = 10_000
CHARS_PER_TOKEN = 4
REPLAY_SEED = 1
# Speeds of emulated targets; the operator replaces them by measured ones.
ENGINE_MODEL = {"capacity": 8, "decode_ms": 22.0, "prefill_us": 70.0}
CALL_MODEL = {"capacity": 8, "service_ms": 25.0}


class TraceRecorder:
    """Writes arrivals as JSON lines; sizes only, never contents.

    Args:
        path: File to append to.
        clock: Clock.
        entry: Name of this entry.
        data_centre: Data centre of this entry.
        fleet: Returns the text in force, or None.
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
        self.lines: list[dict[str, Any]] = []
        self.dropped = 0

    def record_arrival(self, started_ms: int, workspace: str, **fields: Any) -> None:
        """Note a request when it ends.

        Args:
            started_ms: When it arrived, on the clock.
            workspace: Workspace of the caller.
            **fields: ``pipeline``, ``prompt_chars`` and ``output`` in tokens; or
                ``service``, ``call`` and ``key``.
        """
        if len(self.lines) >= MAX_BUFFERED:
            self.dropped += 1
            return
        record = {"kind": "arrival", "at": started_ms - self.started_ms}
        record |= {"workspace": workspace, "data_centre": self.data_centre}
        if "prompt_chars" in fields:
            fields["prompt"] = fields.pop("prompt_chars") // CHARS_PER_TOKEN + 1
        self.lines.append(record | fields)

    async def run(self) -> None:
        """Write what was noted until cancelled."""
        while True:
            await self.clock.sleep_ms(FLUSH_INTERVAL_MS)
            await self.flush()

    async def flush(self) -> None:
        """Write what was noted so far; needs a text for the header."""
        fleet = self.fleet()
        if fleet is None or not self.lines:
            return
        lines, self.lines = self.lines, []
        if not self.has_header:
            self.has_header = True
            lines.insert(0, self._header(fleet))
        text = "".join(json.dumps(line) + "\n" for line in lines)
        await curio.run_in_thread(self._append, text)

    def _append(self, text: str) -> None:
        with self.path.open("a", encoding="utf-8") as file:
            file.write(text)

    def _header(self, fleet: FleetConfiguration) -> dict[str, Any]:
        counts: dict[tuple[str, str], int] = {}
        for row in self.targets():
            key = (row.service, row.data_centre)
            counts[key] = counts.get(key, 0) + 1
        groups = []
        for (service, data_centre), count in sorted(counts.items()):
            known = fleet.services_by_name.get(service)
            engine = known is not None and known.kind is ServiceKind.ENGINE
            model = ENGINE_MODEL if engine else CALL_MODEL
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
