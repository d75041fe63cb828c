"""Audit trail: records chained by SHA-256, bounded in memory, exported in pages."""

import hashlib
import json
from collections import deque
from collections.abc import Iterable
from itertools import islice
from operator import attrgetter
from typing import Any

import attrs

from wagtailrun.registry.messages import AuditPage, AuditRecord

__all__ = ["GENESIS_DIGEST", "AuditTrail", "digest_of", "verify_chain"]

# ``previous`` of the first record.
GENESIS_DIGEST = "0" * 64
# Covers more than a day at the 7,600 changes a day of the design scale.
MAX_RECORDS = 10_000
MAX_PAGE_RECORDS = 500

_FIELDS = [field.name for field in attrs.fields(AuditRecord)]
_digested_values = attrgetter(*(name for name in _FIELDS if name != "digest"))
_all_values = attrgetter(*_FIELDS)


def digest_of(record: AuditRecord) -> str:
    """Return the hexadecimal SHA-256 of all fields except ``digest``."""
    text = json.dumps(_digested_values(record), separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def verify_chain(
    records: Iterable[AuditRecord],
    *,
    previous: AuditRecord | None = None,
    head: str = "",
) -> str:
    """Check that no record was changed, removed, added or moved.

    Args:
        records: Exported records in order.
        previous: Record that the first one must follow; None accepts any start,
            because old records are dropped from memory.
        head: Digest that the last record must have, or empty. Without it, records
            missing at the end are not detected.

    Returns:
        Description of the first fault, or an empty string if the chain is intact.
    """
    for record in records:
        if digest_of(record) != record.digest:
            return f"audit record {record.number} was changed: its digest differs"
        if previous is None and record.number == 1:
            if record.previous != GENESIS_DIGEST:
                return "audit record 1 does not start the chain"
        elif previous is not None and record.number != previous.number + 1:
            return f"audit record {record.number} follows record {previous.number}"
        elif previous is not None and record.previous != previous.digest:
            return f"audit record {record.number} names another predecessor"
        previous = record
    if head and (previous.digest if previous else GENESIS_DIGEST) != head:
        last = previous.number if previous else 0
        return f"audit records after number {last} are missing"
    return ""


class AuditTrail:
    """Newest audit records, and the digest that the next record is chained to.

    Args:
        max_records: Number of records in memory. Older ones are dropped, so they must
            be exported before.
    """

    def __init__(self, max_records: int = MAX_RECORDS):
        self.records: deque[AuditRecord] = deque(maxlen=max_records)
        self.newest = 0
        self.head = GENESIS_DIGEST

    def append(
        self,
        *,
        at_ms: int,
        kind: str,
        who: str,
        source: str,
        before_revision: int,
        after_revision: int,
        verdict: str,
        subject: str,
    ) -> AuditRecord:
        """Add a record to the chain and return it; see ``AuditRecord``."""
        record = AuditRecord(
            number=self.newest + 1,
            at_ms=at_ms,
            kind=kind,
            who=who,
            source=source,
            before_revision=before_revision,
            after_revision=after_revision,
            verdict=verdict,
            subject=subject,
            previous=self.head,
        )
        record = attrs.evolve(record, digest=digest_of(record))
        self.records.append(record)
        self.newest = record.number
        self.head = record.digest
        return record

    def export(self, first: int, limit: int) -> AuditPage:
        """Return up to ``limit`` records in memory, from number ``first`` on."""
        oldest = self.newest - len(self.records) + 1
        start = max(first - oldest, 0)
        stop = start + min(max(limit, 0), MAX_PAGE_RECORDS)
        return AuditPage(
            list(islice(self.records, start, stop)), self.head, self.newest
        )

    def rows(self) -> list[tuple[Any, ...]]:
        """Return the records as rows for a snapshot."""
        return [_all_values(record) for record in self.records]

    def restore(self, rows: list[list[Any]], newest: int, head: str) -> None:
        """Replace the trail by the one in a snapshot; ``rows`` is from ``rows()``."""
        self.records.clear()
        self.records.extend(AuditRecord(*row) for row in rows)
        self.newest = newest
        self.head = head
