"""Tests of the transfer of large fleet configurations to entries on slow links."""

import json
import random

import attrs
import pytest

from tests.test_discovery import APPLY_LIMIT_MS, ENTRY, KEY_GRACE_MS, ROW, run
from wagtailrun.discovery import NewsMarks, PollNews
from wagtailrun.discovery.messages import FetchConfiguration
from wagtailrun.discovery.transfer import (
    KEPT_PAYLOADS,
    KEPT_TEXT_BYTES,
    ConfigurationHistory,
    ConfigurationTransfer,
)
from wagtailrun.exceptions import MessageError

# An entry's link of 5 Mbit/s, less the overhead of the network.
LINK_BYTES_PER_MS = 570
ROUTES_PER_CHANGE = 1_400
# A document of about 2.6 MB.
LARGE_DOCUMENT_ROUTES = 14_000


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


def test_transfer_goes_on_at_another_member():
    """Guards against a transfer that begins anew whenever a member is lost.

    The link needs 6 s for the document; each second another member is cut off.
    """

    async def scenario(controls, clock):
        document = Document(random.Random(2))
        document.grow(LARGE_DOCUMENT_ROUTES)
        text = document.text()
        controls.network.limit_rate(ENTRY.address, len(_whole(text).data) / 6_000)
        view = await controls.entry()
        await clock.sleep_ms(1_000)
        await controls.put_text(1, text)
        for number in range(30):
            node = controls.cluster.nodes[number % 3]
            controls.network.cut(ENTRY.address, node.address)
            await clock.sleep_ms(1_000)
            controls.network.heal()
        return view.revision, view.text.decode() == text

    assert run(scenario) == (1, True)


def test_entry_without_the_base_gets_the_whole_text():
    """Guards against an entry that keeps an old revision as its base is unknown.

    All members have restarted, and the text of the entry is damaged.
    """

    async def scenario(controls, clock):
        view = await controls.entry()
        document = Document(random.Random(3))
        document.grow(100)
        revisions = []
        for revision in range(1, 4):
            document.grow(10)
            await controls.put_text(revision, document.text())
            await clock.sleep_ms(1_000)
            revisions.append(view.revision)
            if revision == 1:
                for hub in controls.hubs:
                    hub.history = ConfigurationHistory()
            else:
                view.text = view.text.replace(b"r-", b"s-")
        return revisions

    assert run(scenario) == [1, 2, 3]


def test_entry_of_an_earlier_version_gets_the_text_with_its_poll():
    """Guards against entries without configuration while members are upgraded first."""

    async def scenario(controls, clock):
        await controls.put_text(1)
        poll = PollNews(ENTRY, NewsMarks(), 0, fetches_text=False)
        older = await controls.hubs[0].handle(poll)
        newer = await controls.hubs[0].handle(attrs.evolve(poll, fetches_text=True))
        return older.text, newer.text, newer.marks.revision

    assert run(scenario) == ("text", "", 1)


def test_polls_go_on_during_a_transfer():
    """Guards against targets that left and are still used during a long transfer."""

    async def scenario(controls, clock):
        document = Document(random.Random(4))
        document.grow(LARGE_DOCUMENT_ROUTES)
        text = document.text()
        view = await controls.entry()
        await controls.hubs[0].report(ROW)
        await clock.sleep_ms(1_000)
        controls.network.limit_rate(ENTRY.address, len(_whole(text).data) / 4_000)
        await controls.put_text(1, text)
        await clock.sleep_ms(1_000)
        await controls.hubs[0].report(attrs.evolve(ROW, sequence=2, leaving=True))
        await clock.sleep_ms(1_500)
        return view.targets("s"), view.revision

    assert run(scenario) == ([], 0)


def test_keys_are_confirmed_by_the_configuration_that_a_poll_told_of():
    """Guards against keys that are accepted on an older configuration for ever.

    Polls go on during a transfer, but they confirm only what is applied.
    """

    async def scenario(controls, clock):
        document = Document(random.Random(5))
        document.grow(ROUTES_PER_CHANGE)
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(2_000)
        controls.network.limit_rate(ENTRY.address, 0.5)
        await controls.put_text(2, document.text())
        await clock.sleep_ms(KEY_GRACE_MS + 500)
        expired = view.is_fresh
        controls.network.limit_rate(ENTRY.address, LINK_BYTES_PER_MS)
        controls.network.link_free_ms_by_address.clear()
        await clock.sleep_ms(3_000)
        return expired, view.revision, view.is_fresh

    assert run(scenario) == (False, 2, True)


def test_entry_that_knows_of_a_newer_configuration_stops_using_an_older_one():
    """Guards against requests that are decided by a replaced configuration.

    The configuration does not arrive; the poll that tells of it does. An entry that is
    cut off does not know of any and goes on.
    """

    async def scenario(controls, clock):
        document = Document(random.Random(6))
        document.grow(ROUTES_PER_CHANGE)
        view = await controls.entry()
        await controls.put_text(1)
        await clock.sleep_ms(1_000)
        controls.network.limit_rate(ENTRY.address, 0.5)
        await controls.put_text(2, document.text())
        await clock.sleep_ms(APPLY_LIMIT_MS // 2)
        early = view.is_outdated
        await clock.sleep_ms(APPLY_LIMIT_MS // 2)
        late = view.is_outdated
        controls.network.bytes_per_ms_by_address.clear()
        await clock.sleep_ms(1_500)
        applied = view.is_outdated
        for node in controls.cluster.nodes:
            controls.network.cut(ENTRY.address, node.address)
        await controls.put_text(3, document.text())
        await clock.sleep_ms(2 * APPLY_LIMIT_MS)
        return early, late, applied, view.is_outdated

    assert run(scenario) == (False, True, False, False)


def test_damaged_parts_are_rejected():
    """Guards against a configuration that is made from parts that do not fit."""
    part = _whole("a configuration " * 10_000)
    for change in ({"offset": 1}, {"size": len(part.data) - 1}, {"data": b""}):
        with pytest.raises(MessageError):
            ConfigurationTransfer().add(attrs.evolve(part, **change))
    transfer = ConfigurationTransfer()
    transfer.add(attrs.evolve(part, data=part.data[:-1] + b"x"))
    with pytest.raises(MessageError):
        transfer.decompress(b"")


def test_text_beyond_the_limit_is_not_decompressed():
    """Guards against a small message that takes all memory."""
    transfer = ConfigurationTransfer()
    transfer.add(_whole("0" * 9_000_000))
    with pytest.raises(MessageError, match="exceeds"):
        transfer.decompress(b"")


def test_kept_texts_are_bounded():
    """Guards against a member whose memory grows with the number of changes."""
    history = ConfigurationHistory()
    for revision in range(1, 30):
        history.add(revision, f"{revision}" + "x" * 4_000_000)
        history.get_part(FetchConfiguration(revision - 1, 0, 0, 1))
    assert sum(map(len, history.texts_by_revision.values())) <= KEPT_TEXT_BYTES
    assert len(history.payloads_by_identity) <= KEPT_PAYLOADS


def _whole(text):
    """Return the first part of a transfer of the whole text, made complete."""
    history = ConfigurationHistory()
    history.add(1, text)
    part = history.get_part(FetchConfiguration(0, 0, 0, 1))
    (payload,) = history.payloads_by_identity.values()
    return attrs.evolve(part, data=payload.data)
