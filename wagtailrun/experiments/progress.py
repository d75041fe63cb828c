"""Shows the progress of plays: a bar on a terminal, else lines."""

import importlib
import sys
from typing import Any

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.experiments.results import Play

__all__ = ["Progress"]


class Progress:
    """Progress of several plays of equal length, on standard error.

    Args:
        plays: Number of plays.
        length_ms: Length of each, in virtual milliseconds.
    """

    def __init__(self, plays: int, length_ms: int):
        self.plays = plays
        self.length_ms = length_ms
        self.at_ms_by_play: dict[Play, int] = {}
        self.finished = 0
        self.bar = _make_bar(plays * length_ms // MS_PER_SECOND)

    def advance(self, play: Play, at_ms: int) -> None:
        """Show how far a play is."""
        self.at_ms_by_play[play] = at_ms
        if self.bar is not None:
            done_s = sum(self.at_ms_by_play.values()) // MS_PER_SECOND
            self.bar.update(done_s - self.bar.n)

    def finish(self, play: Play) -> None:
        """Show that a play has ended."""
        self.finished += 1
        self.advance(play, self.length_ms)
        if self.bar is None:
            name = f"{play.variant}, seed {play.seed}"
            line = f"{self.finished} of {self.plays} plays have ended: {name}"
            print(line, file=sys.stderr, flush=True)

    def close(self) -> None:
        """End the bar."""
        if self.bar is not None:
            self.bar.close()


def _make_bar(total_s: int) -> Any:
    """Return a bar of virtual seconds; None without a terminal or without tqdm."""
    if not sys.stderr.isatty():
        return None
    try:
        tqdm = importlib.import_module("tqdm")
    except ModuleNotFoundError:
        return None
    # Its thread would take signals that the run has blocked.
    tqdm.tqdm.monitor_interval = 0
    return tqdm.tqdm(total=total_s, unit="s", desc="virtual time", file=sys.stderr)
