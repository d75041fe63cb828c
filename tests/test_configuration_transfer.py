"""Tests of the transfer of large fleet configurations to entries on slow links."""

import json
import random

import attrs

from tests.test_discovery import ENTRY, run

# An entry's link of 5 Mbit/s, less the overhead of the network.
LINK_BYTES_PER_MS = 570
# A change must be in force at every entry this long after its acknowledgement.
APPLY_LIMIT_MS = 2_500
ROUTES_PER_CHANGE = 1_400


@attrs.define
class Document:
    """Operator's document that grows by routes with random names."""

    random: random.Random
    version: int = 0
    routes: list = attrs.Factory(list)

    def word(self):
        return "".join(self.random.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=9))

    def grow(self, count):
        self.routes += [
            {
                "name": f"r-{self.word()}",
                "host": "tira40.example",
                "path_prefix": f"/{self.word()}/",
                "kind": "idempotent",
                "timeout_ms": 800,
                "target_latency_ms": 300,
                "priority": 2,
                "service": "cude15b",
                "max_attempts": 2,
            }
            for _ in range(count)
        ]

    def text(self):
        self.version += 1
        fields = attrs.asdict(self, filter=lambda field, _: field.name != "random")
        return json.dumps(fields, separators=(",", ":"))


def test_large_change_is_in_force_in_time_on_a_slow_link():
    """Guards against a configuration that never reaches an entry.

    Pattern: two changes in quick succession of a document that takes longer to
    transfer than a poll may last.
    """

    async def scenario(controls, clock):
        document = Document(random.Random(1))
        controls.network.limit_rate(ENTRY.address, LINK_BYTES_PER_MS)
        view = await controls.entry()
        in_force, fresh = [], []
        for revision in (1, 3, 5):
            document.grow(ROUTES_PER_CHANGE)
            await controls.put_text(revision, document.text())
            await clock.sleep_ms(200)
            await controls.put_text(revision + 1, document.text())
            await clock.sleep_ms(APPLY_LIMIT_MS)
            in_force.append(view.revision)
            await clock.sleep_ms(10_000)
            fresh.append(view.is_fresh)
        return in_force, fresh

    assert run(scenario) == ([2, 4, 6], [True, True, True])
