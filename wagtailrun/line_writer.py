"""Writes log lines to standard output without ever waiting for its reader."""

import sys
import threading
from collections import deque
from typing import TextIO

__all__ = ["LineWriter"]

# At about 500 bytes a line this is 1 MB; a reader that stands still costs no more.
MAX_WAITING = 2_000
# Lines of this time travel in one write.
GATHER_S = 0.2
STOP_S = 1.0


class LineWriter:
    """Hands lines to a thread of its own; drops and counts them when it falls behind.

    Args:
        stream: Where the lines go; standard output by default.
    """

    def __init__(self, stream: TextIO | None = None):
        self.stream = stream or sys.stdout
        self.waiting: deque[str] = deque()
        self.dropped = 0
        self.wanted = threading.Event()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def put(self, line: str) -> None:
        """Queue a line; never blocks."""
        if len(self.waiting) >= MAX_WAITING:
            self.dropped += 1
            return
        self.waiting.append(line)
        if not self.wanted.is_set():
            self.wanted.set()

    def stop(self) -> None:
        """Write what waits, for at most ``STOP_S`` seconds."""
        self.stopping.set()
        self.wanted.set()
        self.thread.join(STOP_S)

    def _run(self) -> None:
        while not (self.stopping.is_set() and not self.waiting):
            self.wanted.wait()
            self.stopping.wait(GATHER_S)
            self.wanted.clear()
            lines = [self.waiting.popleft() for _ in range(len(self.waiting))]
            dropped, self.dropped = self.dropped, 0
            if dropped:
                lines.append(f'{{"dropped_lines": {dropped}}}')
            if not lines:
                continue
            try:
                self.stream.write("\n".join(lines) + "\n")
                self.stream.flush()
            except (OSError, ValueError):
                # Nobody reads the log any more; requests go on without it.
                return
