"""Budget for the bytes that a process holds for its requests, by kind of holder."""

import enum
from collections import Counter
from types import TracebackType
from typing import Self

from wagtailrun.logs import events

__all__ = [
    "DEFAULT_MEMORY_MB",
    "FIELD_BYTES",
    "PROCESS_MEMORY",
    "Holding",
    "Kind",
    "MemoryBudget",
]

BYTES_PER_MB = 1024 * 1024
# Memory of a process whose settings name none; below that of the smallest VM in use.
DEFAULT_MEMORY_MB = 256.0
# Share of the memory limit that the budget takes. Bytes may exist twice for a moment,
# while a body is completed or written, and the allocator keeps some of what was freed;
# half of the limit remains for the process itself, its tables and the reads under way.
BUDGET_SHARE = 0.25
# A control member accepts fleet configurations of 6 MB, which must fit a fair share.
MIN_BUDGET_BYTES = 32 * BYTES_PER_MB
# What a header field takes beside its bytes: two objects with their names, pairs and
# entries of dictionaries. A head of 16 KB may have 4,000 fields.
FIELD_BYTES = 300
# What a common head of a request takes, with a dozen fields.
HEAD_BYTES = 4 * 1024
# Holdings up to this size may use all of the budget, larger ones only a part of it, so
# that floods leave room for the answers of sound targets.
SMALL_BYTES = 64 * 1024
LARGE_PART = 0.75
# Share of the free bytes that one large holding may have. With n of them that grow,
# each is refused at about 1/(n + 1) of the room for large ones.
FAIR_SHARE = 0.5


class Kind(enum.StrEnum):
    """Kinds of holders; each value is a label of the metrics."""

    REQUESTS = "requests"
    ANSWERS = "answers"
    FAILURES = "failures"
    SKIPPED = "skipped"
    EVENTS = "events"
    SENDING = "sending"
    PEERS = "peers"
    TUNNELS = "tunnels"


# Shares of the budget for kinds that give way to others: a request that is refused has
# not run, while the answers to those under way cannot be had again.
SHARES_BY_KIND = {Kind.REQUESTS: 0.5, Kind.FAILURES: 0.25, Kind.SKIPPED: 0.25}


class MemoryBudget:
    """Counts the bytes held, and refuses those that do not fit.

    Args:
        memory_mb: Memory limit of the process, in MB.
    """

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB):
        self.held_bytes = 0
        self.held_by_kind: Counter[Kind] = Counter()
        self.refusals_by_kind: Counter[Kind] = Counter()
        self.limit_bytes = 0
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """Set the memory limit of the process, in MB."""
        share_bytes = int(memory_mb * BYTES_PER_MB * BUDGET_SHARE)
        self.limit_bytes = max(share_bytes, MIN_BUDGET_BYTES)

    def hold(self, kind: Kind) -> "Holding":
        """Return a holding without bytes; release it, or use it as context manager."""
        return Holding(self, kind)

    def fits(self, holding: "Holding", size: int) -> bool:
        """Return whether a holding may have ``size`` bytes."""
        own_bytes = holding.held_bytes
        kind_limit = self.limit_bytes * SHARES_BY_KIND.get(holding.kind, 1.0)
        other_bytes = self.held_bytes - own_bytes
        other_of_kind_bytes = self.held_by_kind[holding.kind] - own_bytes
        part = 1.0 if size <= SMALL_BYTES else LARGE_PART
        free_bytes = min(
            self.limit_bytes * part - other_bytes,
            kind_limit * part - other_of_kind_bytes,
        )
        if size > SMALL_BYTES:
            free_bytes *= FAIR_SHARE
        return size <= free_bytes

    def overload(self) -> str:
        """Return why requests are refused for lack of memory; empty if they are not."""
        holding = self.hold(Kind.REQUESTS)
        return "" if self.fits(holding, HEAD_BYTES) else holding.refusal_detail

    def change(self, kind: Kind, difference: int) -> None:
        """Count bytes that are held from now on, or no longer if negative."""
        self.held_bytes += difference
        self.held_by_kind[kind] += difference

    def record_refusal(self, kind: Kind, size: int) -> None:
        """Record that a holding was refused ``size`` bytes."""
        self.refusals_by_kind[kind] += 1
        events.log(
            events.MEMORY_REFUSED,
            kind=str(kind),
            size=size,
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
            held_by_kind={str(each): self.held_by_kind[each] for each in Kind},
        )


class Holding:
    """Bytes that one holder has; they are counted until it is released.

    Args:
        budget: Budget that counts them.
        kind: Kind of the holder.
    """

    __slots__ = ("budget", "held_bytes", "kind")

    def __init__(self, budget: MemoryBudget, kind: Kind):
        self.budget = budget
        self.kind = kind
        self.held_bytes = 0

    def add(self, size: int) -> bool:
        """Hold ``size`` more bytes; return False if they do not fit."""
        return self.resize(self.held_bytes + size)

    def resize(self, size: int) -> bool:
        """Hold ``size`` bytes in all; return False if they do not fit."""
        if size > self.held_bytes and not self.fits(size):
            return False
        self.record(size)
        return True

    def fits(self, size: int) -> bool:
        """Return whether ``size`` bytes in all would fit; a refusal is recorded."""
        if self.budget.fits(self, size):
            return True
        self.budget.record_refusal(self.kind, size)
        return False

    def record(self, size: int) -> None:
        """Hold ``size`` bytes in all, which exist already or cannot be refused."""
        self.budget.change(self.kind, size - self.held_bytes)
        self.held_bytes = size

    def release(self) -> None:
        """Hold no bytes any more."""
        self.record(0)

    @property
    def refusal_detail(self) -> str:
        """Why bytes do not fit, for people."""
        budget = self.budget
        return (
            f"no memory for more than {self.held_bytes} bytes: this process holds "
            f"{budget.held_bytes} bytes for requests, of at most {budget.limit_bytes}"
        )

    def __enter__(self) -> Self:
        """Return this holding."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the bytes."""
        self.release()


# The bytes of all components of a process count together.
PROCESS_MEMORY = MemoryBudget()
