"""Odd behaviours of targets, as instructions that stand-in targets read."""

import json
import os
from collections.abc import AsyncIterator
from contextlib import suppress
from enum import Enum
from pathlib import Path

import cattrs
import curio
from attrs import define
from curio.meta import finalize

from wagtailrun.clock import MS_PER_SECOND

__all__ = [
    "BehaviourFolder",
    "BehaviourKind",
    "EndedEarly",
    "TargetBehaviour",
    "shape_answer",
]

FLOOD_BYTES = 16 * 1024
# About 3 MB/s, so that one flood leaves processor time to the rest of the machine.
FLOOD_PAUSE_MS = 5


class EndedEarly(Exception):
    """Raised by a stand-in to end its connection within an answer."""


class BehaviourKind(Enum):
    """What a target does with the body of each answer."""

    # It is silent for ``amount`` milliseconds before and within the answer.
    SILENT = "silent"
    # It ends the connection after ``amount`` percent of the answer.
    END_EARLY = "end early"
    # It sends one byte each ``amount`` milliseconds.
    DRIP = "drip"
    # It sends bytes without end after the answer.
    FLOOD = "flood"


@define(frozen=True, kw_only=True)
class TargetBehaviour:
    """Instruction to a target.

    Attributes:
        kind: What it does.
        amount: Milliseconds or percent, as the kind has it.
    """

    kind: BehaviourKind
    amount: int = 0


class BehaviourFolder:
    """Instructions to targets, in one file for each.

    Args:
        folder: Folder that the targets know, too.
    """

    def __init__(self, folder: Path):
        self._folder = folder

    def _path(self, target: str) -> Path:
        return self._folder / f"behaviour-{target}.json"

    def set(self, target: str, behaviour: TargetBehaviour) -> None:
        """Instruct a target; its answers that begin from now on have the behaviour."""
        path = self._path(target)
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(cattrs.unstructure(behaviour)))
        os.replace(temporary, path)

    def clear(self, target: str) -> None:
        """Take the instruction back; nothing happens if there is none."""
        self._path(target).unlink(missing_ok=True)

    def get(self, target: str) -> TargetBehaviour | None:
        """Return the instruction to a target, if there is one."""
        with suppress(FileNotFoundError):
            value = json.loads(self._path(target).read_text())
            return cattrs.structure(value, TargetBehaviour)
        return None


async def _sleep(duration_ms: float) -> None:
    await curio.sleep(duration_ms / MS_PER_SECOND)


async def shape_answer(
    behaviour: TargetBehaviour | None, pieces: AsyncIterator[bytes], count: int
) -> AsyncIterator[bytes]:
    """Yield the pieces of an answer as an instruction has it.

    Args:
        behaviour: The instruction; None to leave the answer as it is.
        pieces: Pieces of the answer.
        count: Number of the pieces, by which its middle is found.

    Raises:
        EndedEarly: Where the connection is to be ended.
    """
    kind = behaviour.kind if behaviour else None
    amount = behaviour.amount if behaviour else 0
    if kind is BehaviourKind.SILENT:
        await _sleep(amount)
    number = 0
    async with finalize(pieces) as source:
        async for piece in source:
            if kind is BehaviourKind.END_EARLY and number * 100 >= amount * count:
                raise EndedEarly
            if kind is BehaviourKind.SILENT and number == count // 2:
                await _sleep(amount)
            if kind is BehaviourKind.DRIP:
                for position in range(len(piece)):
                    yield piece[position : position + 1]
                    await _sleep(amount)
            else:
                yield piece
            number += 1
    while kind is BehaviourKind.FLOOD:
        yield bytes(FLOOD_BYTES)
        await _sleep(FLOOD_PAUSE_MS)
