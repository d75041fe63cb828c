"""Tests of streams that callers take up at an entry that has not seen them."""

import tracemalloc

import attrs
import curio
import pytest

from tests.test_relay_front import event, run_relay, send, stream
from tests.test_stream_versions import set_versions
from wagtailrun.codec import decode, encode
from wagtailrun.discovery.messages import (
    FindOrigin,
    RecordOrigins,
    RowsTaken,
    StreamOrigin,
    StreamsBegun,
)
from wagtailrun.discovery.stream_origins import ORIGIN_LIFETIME_MS, StreamOrigins
from wagtailrun.exceptions import PeerUnreachable, TargetFailed
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.routes import RouteKind, WorkspaceKeys
from wagtailrun.targets.table import Membership
from wagtailrun.virtual_time import run_virtual

pytestmark = pytest.mark.network

RECORDED_S = 0.15
BROKEN_FIRST = stream(event(1))
REST = stream(event(2), event(3), fail=False)


class Members(PeerLink):
    """Control members that keep the origins of streams.

    Attributes:
        lost: Addresses that do not reply.
        memory_ms: How long ago the members started.
    """

    def __init__(self, count=3, memory_ms=0):
        self.addresses = [Address("10.0.0.1", 7_000 + n) for n in range(count)]
        self.lost = set()
        self.memory_ms = memory_ms
        self.messages = []

    def start(self, clock, view):
        self.clock = clock
        self.view = view
        self.tables = {address: self._empty_table() for address in self.addresses}
        return self

    def _empty_table(self):
        table = StreamOrigins(self.clock, Membership())
        table.started_ms -= self.memory_ms
        return table

    def restart(self, *addresses):
        for address in addresses:
            self.tables[address] = self._empty_table()

    async def call(self, address, message, timeout_ms):
        if address in self.lost:
            await self.clock.sleep_ms(timeout_ms)
            raise PeerUnreachable(f"no reply from {address}")
        self.messages.append(message)
        table = self.tables[address]
        for row in self.view.rows:
            table.membership.put(row, self.clock.now_ms())
        match decode(encode(message)):
            case RecordOrigins() as records:
                table.record(records.groups)
                return RowsTaken(1)
            case FindOrigin() as question:
                return decode(encode(table.find(question)))


async def take_up(address, resumes="first", last="1", request_id="second", key=""):
    more = [("Last-Event-Id", last)] if last else []
    if resumes:
        more.append(("Resumes", resumes))
    return await send(address, request_id=request_id, more=more, key=key)


async def begin(address, request_id="first", key=""):
    """Begin a stream that breaks off; wait until its origin is recorded."""
    with pytest.raises(TargetFailed):
        await send(address, request_id=request_id, key=key)
    await curio.sleep(RECORDED_S)


def run_takeup(engines, versions, client, members=None, reverse=False, **options):
    """Run a client of a relay; return its result and the targets reached.

    Targets are preferred in their order, or in ``reverse``.
    """

    async def main(address, fleet):
        set_versions(fleet, *versions)
        if reverse:
            fleet.rows.reverse()
        result = await client(address, fleet)
        return result, [number for number, _ in fleet.seen]

    options = {"resumable": True, "max_attempts": 1, **options}
    members = members or Members()
    return run_relay(RouteKind.STREAM, engines, main, members=members, **options)


def test_stream_is_taken_up_at_the_version_that_began_it():
    """Guards against an answer that is joined from two versions over two requests.

    Other operators met it when all entries were killed during a release: no entry
    knew any more which version had begun a stream.
    """

    async def client(address, fleet):
        await begin(address)
        fleet.rows.reverse()
        return (await take_up(address)).body

    engines = [[BROKEN_FIRST], [REST], [REST]]
    body, seen = run_takeup(engines, ["v1", "v1", "v2"], client)
    assert (body, seen) == (event(2) + event(3), [0, 1])


def test_take_up_without_a_target_of_its_version_is_refused_at_once():
    """Guards against a take-up that goes on elsewhere, or is held in vain."""

    async def client(address, fleet):
        await begin(address)
        fleet.rows[:] = fleet.rows[1:]
        async with curio.timeout_after(0.5):
            return await take_up(address)

    reply, seen = run_takeup([[BROKEN_FIRST], [REST]], ["v1", "v2"], client)
    assert (reply.status, seen) == (503, [0])


def test_take_up_without_a_target_of_its_version_runs_no_stages():
    """Guards against stages that run although no target can continue the stream."""

    async def client(address, fleet):
        await begin(address)
        fleet.rows[:] = fleet.rows[1:]
        # The stage runner of these tests would fail.
        more = [("Last-Event-Id", "1"), ("Resumes", "first"), ("Pieces", "1")]
        reply = await send(address, request_id="second", more=more)
        return reply.status, b"no-target" in reply.body

    found, seen = run_takeup([[BROKEN_FIRST], [REST]], ["v1", "v2"], client)
    assert (found, seen) == ((503, True), [0])


@pytest.mark.parametrize("resumes", ["unknown", ""])
def test_take_up_of_unknown_origin_is_refused_while_two_versions_serve(resumes):
    """Guards against a guess: a stream of unknown origin may be of either version."""

    async def client(address, fleet):
        return await take_up(address, resumes)

    members = Members(memory_ms=ORIGIN_LIFETIME_MS)
    reply, seen = run_takeup([[REST], [REST]], ["v1", "v2"], client, members)
    assert (reply.status, seen) == (503, [])
    assert b"stream-origin-unknown" in reply.body
    assert "retry-after" not in reply.headers


@pytest.mark.parametrize(("memory_ms", "status"), [(ORIGIN_LIFETIME_MS, 200), (9, 503)])
def test_take_up_of_unknown_origin_while_one_version_serves(memory_ms, status):
    """Guards against needless refusals on days without a release.

    Also guards against members that were just started and take the versions that they
    know for all that there were.
    """

    async def client(address, fleet):
        return (await take_up(address)).status

    members = Members(memory_ms=memory_ms)
    assert run_takeup([[REST]], ["v1"], client, members)[0] == status


def test_take_up_of_unknown_origin_needs_two_members_with_long_memory():
    """Guards against a guess by one member that may not have heard of a version."""
    members = Members(memory_ms=ORIGIN_LIFETIME_MS)

    async def client(address, fleet):
        members.lost = {members.addresses[0]}
        before = (await take_up(address, "one")).status
        members.memory_ms = 0
        members.restart(members.addresses[1])
        return before, (await take_up(address, "other")).status

    statuses, _ = run_takeup([[REST]], ["v1"], client, members)
    assert statuses == (200, 503)


def test_version_that_has_left_counts_as_possible():
    """Guards against a stream of a version that left and is continued by another."""

    async def client(address, fleet):
        fleet.rows[0] = attrs.evolve(fleet.rows[0], leaving=True)
        return await take_up(address)

    members = Members(memory_ms=ORIGIN_LIFETIME_MS)
    reply, seen = run_takeup([[REST], [REST]], ["v1", "v2"], client, members)
    assert (reply.status, seen) == (503, [])


def test_version_that_was_replaced_under_its_name_counts_as_possible():
    """Guards against a guess after targets were started again in place.

    A target that keeps its name replaces the row of its earlier version.
    """
    members = Members(memory_ms=ORIGIN_LIFETIME_MS)

    async def client(address, fleet):
        before = await take_up(address)
        newer = attrs.evolve(fleet.rows[0], incarnation=9, software_version="v2")
        fleet.rows[0] = newer
        return before.status, (await take_up(address, "other")).status

    statuses, _ = run_takeup([[REST]], ["v1"], client, members)
    assert statuses == (200, 503)


@pytest.mark.parametrize("failed", [0, 1, 2])
def test_record_outlives_the_failure_of_a_member(failed):
    """Guards against records that are lost with one control member."""
    members = Members()

    async def client(address, fleet):
        await begin(address)
        fleet.rows.reverse()
        members.restart(members.addresses[failed])
        members.lost = {members.addresses[failed]}
        return (await take_up(address)).status

    engines = [[REST], [BROKEN_FIRST, REST]]
    status, seen = run_takeup(engines, ["v1", "v2"], client, members, reverse=True)
    assert (status, seen) == (200, [1, 1])


def test_record_reaches_other_members_when_one_does_not_reply():
    """Guards against streams that only one member knows while another one is lost."""
    members = Members()
    members.lost = {members.addresses[0]}

    async def client(address, fleet):
        await begin(address)
        await curio.sleep(0.3)
        await begin(address, "later")
        members.restart(members.addresses[1])
        return (await take_up(address, "later")).status

    engines = [[BROKEN_FIRST, BROKEN_FIRST, REST], [REST]]
    assert run_takeup(engines, ["v1", "v2"], client, members) == (200, [0, 0, 0])


def test_unreachable_members_cause_a_refusal_that_may_be_retried():
    """Guards against a take-up that goes on although nobody could be asked."""
    members = Members()

    async def client(address, fleet):
        await begin(address)
        members.lost = set(members.addresses)
        return await take_up(address)

    reply, seen = run_takeup([[BROKEN_FIRST, REST]], ["v1"], client, members)
    assert (reply.status, seen) == (503, [0])
    assert float(reply.headers["retry-after"]) > 0


def test_stream_that_was_taken_up_is_taken_up_again():
    """Guards against a second take-up that finds no record of the first request."""
    members = Members()

    async def client(address, fleet):
        await begin(address)
        with pytest.raises(TargetFailed):
            await take_up(address)
        await curio.sleep(RECORDED_S)
        for message in members.messages:
            if isinstance(message, RecordOrigins):
                keys.append({key for group in message.groups for key in group.streams})
        return (await take_up(address, last="2", request_id="third")).body

    keys = []
    engines = [[BROKEN_FIRST, stream(event(2)), stream(event(3), fail=False)], [REST]]
    body, seen = run_takeup(engines, ["v1", "v2"], client, members)
    assert (body, seen) == (event(3), [0, 0, 0])
    assert keys[0] < keys[-1]


def test_identifier_that_began_at_two_versions_is_refused():
    """Guards against two requests with one identifier whose streams are mixed up."""

    async def client(address, fleet):
        await begin(address)
        fleet.rows.reverse()
        await begin(address)
        return (await take_up(address)).status

    engines = [[BROKEN_FIRST], [BROKEN_FIRST]]
    assert run_takeup(engines, ["v1", "v2"], client) == (503, [0, 1])


def test_workspaces_with_the_same_identifier_do_not_share_a_record():
    """Guards against a workspace that blocks or diverts another one's take-up."""

    async def client(address, fleet):
        await begin(address, key="k1")
        fleet.rows.reverse()
        await begin(address, key="k2")
        return (await take_up(address, key="k1")).status

    keys = [WorkspaceKeys("guild", ("k1",)), WorkspaceKeys("union", ("k2",))]
    engines = [[BROKEN_FIRST, REST], [BROKEN_FIRST, REST]]
    found = run_takeup(engines, ["v1", "v2"], client, keys=keys, keyless=False)
    assert found == (200, [0, 1, 0])


def test_stream_from_its_start_needs_no_origin():
    """Guards against a refusal of a request that asks for the whole stream."""

    async def client(address, fleet):
        return (await take_up(address, "unknown", last="")).status

    engines = [[stream(event(1), fail=False)], [REST]]
    assert run_takeup(engines, ["v1", "v2"], client) == (200, [0])


def test_log_of_a_take_up_shows_the_age_of_what_it_rests_on(caplog):
    """Guards against a take-up whose log line does not tell an outdated view."""

    async def client(address, fleet):
        await begin(address)
        return (await take_up(address)).status

    with caplog.at_level("INFO"):
        found = run_takeup([[BROKEN_FIRST, REST]], ["v1"], client)
    assert found == (200, [0, 0])
    line = next(text for text in caplog.messages if text.startswith("E0718"))
    for field in (
        '"began_incarnation": 0',
        '"confirmation_age_ms": 10',
        '"replies": 3',
    ):
        assert field in line


def test_conflicting_names_of_the_first_request_are_malformed():
    """Guards against a take-up that is bound by one of two conflicting headers."""

    async def client(address, fleet):
        more = [("Last-Event-Id", "1"), ("Resumes", "a"), ("Resumes", "b")]
        return (await send(address, more=more)).status

    assert run_takeup([[REST]], ["v1"], client) == (400, [])


MAX_RECORD_BYTES = 40


def test_records_of_a_minute_stay_small_and_are_found():
    """Guards against a member that outgrows its memory while two versions serve.

    Each record was three objects, 213 bytes together here.
    """

    async def main(clock):
        table = StreamOrigins(clock, Membership())
        origins = [StreamOrigin("s", f"v{n % 2}", f"t{n}", n) for n in range(50)]
        tracemalloc.start()
        for number in range(30_000):
            began = StreamsBegun(origins[number % 50], 5, (number << 40 | number,))
            table.record([began])
            await clock.sleep_ms(2)
        size = tracemalloc.get_traced_memory()[0] / 30_000
        tracemalloc.stop()
        # The first one began at another version, too.
        table.record([StreamsBegun(origins[1], 5, (0,))])
        found = [find_origins(table, number) for number in range(30_000)]
        wrong = sum(each != {origins[number % 50]} for number, each in enumerate(found))
        await clock.sleep_ms(ORIGIN_LIFETIME_MS)
        table.record([])
        return size, wrong, found[0] == set(origins[:2]), find_origins(table, 9)

    size, wrong, has_both, expired = run_virtual(main)
    assert size < MAX_RECORD_BYTES
    assert (wrong, has_both, expired) == (1, True, set())


def find_origins(table, number):
    found = table.find(FindOrigin(number << 40 | number, "s"))
    return {aged.origin for aged in found.origins}
