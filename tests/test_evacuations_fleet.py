"""Tests of evacuations at entries: how they arrive, and which targets they exclude."""

import attrs
import curio
import pytest

from tests.test_discovery import ENTRY, ROW, run
from wagtailrun.codec import decode, encode
from wagtailrun.discovery import News, NewsMarks, StreamOrigin
from wagtailrun.discovery.evacuations import EvacuationView, FleetPlaces
from wagtailrun.discovery.messages import PollNews
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import run_virtual

AIM_MS = 1_000
KNOWN_MS = 1_500
OTHER = attrs.evolve(
    ROW,
    name="t2",
    address=Address("10.0.2.2", 80),
    data_centre="b",
    software_version="v1",
)
HERE = attrs.evolve(ROW, software_version="v1")
ORIGIN = StreamOrigin("s", "v1", "t1", 10)


async def set_evacuations(hubs, version, *names):
    """Apply a state of evacuations at members, as their logs do."""
    orders = [(name, version, True) for name in names]
    state = {"version": version, "forgotten": 0, "orders": orders}
    for hub in hubs:
        hub.registry.evacuations.restore(state)
        await hub.member().applied.notify()


async def serving_view(controls, clock):
    """Return the view of an entry that knows one target in each of two data centres."""
    view = await controls.entry()
    await controls.put_text(1)
    await controls.hubs[0].report(HERE)
    await controls.hubs[1].report(OTHER)
    await clock.sleep_ms(KNOWN_MS)
    return view


def names(rows):
    return sorted(row.name for row in rows)


def test_targets_are_used_no_more_within_the_aim_and_return():
    """Guards against work for targets of an evacuated data centre."""

    async def scenario(controls, clock):
        view = await serving_view(controls, clock)
        before = names(view.targets("s"))
        await set_evacuations(controls.hubs, 4, "a")
        await clock.sleep_ms(AIM_MS)
        during = names(view.targets("s"))
        await set_evacuations(controls.hubs, 6)
        await clock.sleep_ms(AIM_MS)
        return before, during, names(view.targets("s"))

    assert run(scenario) == (["t1", "t2"], ["t2"], ["t1", "t2"])


def test_all_choices_and_the_check_before_sending_exclude_the_targets():
    """Guards against streams, stage calls and late sends to an evacuated target."""

    async def scenario(controls, clock):
        view = await serving_view(controls, clock)
        draining = attrs.evolve(HERE, sequence=2, leaving=True, draining=True)
        view.target_drain_ms = 60_000
        answers = [
            names(view.targets_to_continue(ORIGIN)),
            view.may_continue_at(HERE),
            view.is_leaving(HERE),
            view.has_left("t1"),
        ]
        await set_evacuations(controls.hubs, 4, "a")
        await clock.sleep_ms(AIM_MS)
        answers += [
            names(view.targets_to_continue(ORIGIN)),
            names(view.targets_to_continue(ORIGIN, ["t2"])),
            view.may_continue_at(HERE),
            view.is_leaving(HERE),
            view.has_left("t1"),
            (view.is_leaving(OTHER), view.has_left("t2"), view.may_continue_at(OTHER)),
        ]
        await controls.hubs[0].report(draining)
        await clock.sleep_ms(AIM_MS)
        answers += [names(view.targets_to_continue(ORIGIN, ["t2"]))]
        return answers

    assert run(scenario) == [
        ["t1", "t2"],
        True,
        False,
        False,
        ["t2"],
        ["t2"],
        False,
        True,
        True,
        (False, False, True),
        ["t2"],
    ]


def test_all_data_centres_at_once():
    """Guards against a list of targets that is never empty, as for silent ones."""

    async def scenario(controls, clock):
        view = await serving_view(controls, clock)
        await set_evacuations(controls.hubs, 4, "a", "b")
        await clock.sleep_ms(AIM_MS)
        return view.targets("s"), view.targets_to_continue(ORIGIN)

    assert run(scenario) == ([], [])


def test_entry_that_starts_after_the_order_knows_it_before_it_is_fresh():
    """Guards against a started entry that sends work before it knows the order."""

    async def scenario(controls, clock):
        await controls.put_text(1)
        await controls.hubs[0].report(HERE)
        await set_evacuations(controls.hubs, 4, "a")
        await clock.sleep_ms(KNOWN_MS)
        view = await controls.entry()
        while not (view.is_fresh and view.table):
            assert not view.evacuations.data_centres or view.evacuations.version == 4
            await clock.sleep_ms(1)
        return view.evacuations.data_centres, view.targets("s")

    assert run(scenario) == (frozenset({"a"}), [])


def test_entry_that_is_cut_off_keeps_what_it_knows():
    """Guards against work for an evacuated data centre from an entry out of touch."""

    async def scenario(controls, clock):
        view = await serving_view(controls, clock)
        await set_evacuations(controls.hubs, 4, "a")
        await clock.sleep_ms(AIM_MS)
        for hub in controls.hubs:
            controls.network.cut(ENTRY.address, hub.address)
        await set_evacuations(controls.hubs, 6)
        await clock.sleep_ms(30_000)
        during = names(view.targets("s"))
        controls.network.heal()
        await clock.sleep_ms(30_000)
        return during, names(view.targets("s"))

    assert run(scenario) == (["t2"], ["t1", "t2"])


def test_member_that_is_behind_takes_no_entry_back_and_confirms_nothing():
    """Guards against an old state at an entry that turns to another member.

    A member that starts again serves polls while it applies its log.
    """

    async def scenario(controls, clock):
        view = await serving_view(controls, clock)
        await set_evacuations(controls.hubs, 4, "a")
        await clock.sleep_ms(AIM_MS)
        await set_evacuations(controls.hubs, 3, "b")
        await clock.sleep_ms(KNOWN_MS)
        poll = PollNews(ENTRY, view.marks, 0)
        news = await controls.hubs[0].handle(poll)
        return names(view.targets("s")), view.confirmation_age_ms >= 900, news.confirmed

    assert run(scenario) == (["t2"], True, False)


def test_state_is_sent_only_with_a_new_version():
    """Guards against bytes that each poll of each entry costs."""

    async def scenario(controls, clock):
        await set_evacuations(controls.hubs, 4, "a", "b")
        replies = []
        for version in (0, 3, 4, 5):
            poll = PollNews(ENTRY, NewsMarks(evacuations=version), 0)
            news = decode(encode(await controls.hubs[0].handle(decode(encode(poll)))))
            replies.append((news.marks.evacuations, news.evacuations))
        return replies

    expected = [(4, ("a", "b")), (4, ("a", "b")), (4, ()), (5, ())]
    assert run(scenario) == expected


def test_poll_that_waits_is_answered_when_an_order_is_applied():
    """Guards against an order that waits for the end of each held poll."""

    async def scenario(controls, clock):
        hub = controls.hubs[0]
        poll = PollNews(ENTRY, NewsMarks(), 0)
        known = (await hub.handle(poll)).marks
        known = (await hub.handle(attrs.evolve(poll, known=known))).marks
        started_ms = clock.now_ms()
        poll = attrs.evolve(poll, known=known, wait_ms=2_000)
        task = await curio.spawn(hub.handle, poll)
        await clock.sleep_ms(100)
        await set_evacuations([hub], 4, "a")
        news = await task.join()
        return news.evacuations, clock.now_ms() - started_ms < 400

    assert run(scenario) == (("a",), True)


@pytest.mark.parametrize("version", [0, 3, 4])
def test_reply_with_an_older_state_changes_nothing(version):
    """Guards against a member of an earlier build, whose replies have no version."""
    view = EvacuationView()
    view.apply(News(NewsMarks(evacuations=4), evacuations=("a",)))
    marks = view.apply(News(NewsMarks(epoch=9, evacuations=version)))
    assert (view.version, view.data_centres) == (4, frozenset({"a"}))
    assert marks == NewsMarks(epoch=9, evacuations=4)


def test_data_centres_of_entries_members_and_targets_are_known():
    """Guards against the refusal of an order for a data centre without targets."""

    async def scenario(controls, clock):
        for hub, place in zip(controls.hubs, "xyz", strict=True):
            hub.data_centre = place
        await controls.entry()
        await controls.hubs[0].report(OTHER)
        await clock.sleep_ms(KNOWN_MS)
        places = [
            [name for name in "abxyzq" if hub.places.includes(name)]
            for hub in controls.hubs
        ]
        return places[1], places[2]

    first, second = run(scenario)
    assert set("abxz") <= set(first) and set("abxy") <= set(second)
    assert "q" not in first + second


def test_known_data_centres_are_bounded_and_complete_after_a_while():
    """Guards against memory that reports fill, and orders refused at a start."""

    async def main(clock):
        places = FleetPlaces(clock, 4_200)
        left_ms = places.left_ms
        for number in range(2_000):
            places.record(f"dc-{number}")
        places.record("dc-990")
        await clock.sleep_ms(4_200)
        kept = [n for n in range(2_000) if places.includes(f"dc-{n}")]
        return left_ms, places.left_ms, len(kept), 990 in kept

    assert run_virtual(main) == (4_200, 0, 1_024, True)
