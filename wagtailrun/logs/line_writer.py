"""Writes log lines without blocking the caller."""

import queue
import sys
import threading
from typing import TextIO

__all__ = ["STOP_TIMEOUT_S", "LineWriter"]

# 1 MB with lines of about 500 bytes; bounds the memory while the reader is stalled.
MAX_QUEUED_LINES = 2_000
# Lines that arrive within this time are written together.
WRITE_INTERVAL_S = 0.2
# A process that was told twice to stop ends within 1 s.
STOP_TIMEOUT_S = 0.5


class LineWriter:
    """Writes lines in a thread of its own; drops and counts them if it falls behind.

    Args:
        stream: Stream to write to; standard output by default.
    """

    def __init__(self, stream: TextIO | None = None):
        self.stream = stream or sys.stdout
        # Its put may interrupt itself: a finalizer that runs meanwhile may log. None
        # is put last.
        self.queued_lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self.dropped = 0
        self.last_text = ""
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self.thread.start()

    def put(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full; never blocks."""
        if self.queued_lines.qsize() >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.queued_lines.put(line)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S, last_text: str = "") -> None:
        """Write the queued lines, and wait for it.

        Args:
            timeout_s: How long to wait at most, in seconds.
            last_text: Lines to write behind all others, also if the queue is full.
        """
        self.last_text = last_text
        self.stopping.set()
        self.queued_lines.put(None)
        self.thread.join(timeout_s)

    def _run(self) -> None:
        # Ends a line of which a failed write wrote a part.
        separator = ""
        queued, is_last = self.queued_lines, False
        while not is_last:
            first = queued.get()
            self.stopping.wait(WRITE_INTERVAL_S)
            found = [first, *(queued.get() for _ in range(queued.qsize()))]
            lines = [line for line in found if line is not None]
            is_last = len(lines) < len(found)
            dropped, self.dropped = self.dropped, 0
            if dropped:
                lines.append(f'{{"dropped_lines": {dropped}}}')
            if is_last and self.last_text:
                lines.append(self.last_text)
            if not lines:
                continue
            try:
                self.stream.write(separator + "\n".join(lines) + "\n")
                self.stream.flush()
            except (BrokenPipeError, ValueError):
                # The reader of the log is gone; the process continues without a log.
                return
            except OSError:
                # Such as a full disk. The next lines are tried again.
                self.dropped += dropped + len(lines) - bool(dropped)
                separator = "\n"
            else:
                separator = ""
