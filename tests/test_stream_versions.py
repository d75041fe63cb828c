"""Tests of streams while targets of several software versions serve."""

import attrs
import curio
import pytest

from tests.test_relay_front import (
    GOOD,
    NOT_RUN,
    answer,
    event,
    run_relay,
    send,
    stream,
)
from wagtailrun.exceptions import TargetFailed
from wagtailrun.routes import RouteKind

pytestmark = pytest.mark.network

BROKEN_FIRST = stream(event(1))
REST = stream(event(2), event(3), fail=False)
WHOLE = event(1) + event(2) + event(3)


def set_versions(fleet, *versions):
    """Give the prepared targets these software versions, in order."""
    fleet.rows[:] = [
        attrs.evolve(row, software_version=version)
        for row, version in zip(fleet.rows, versions, strict=True)
    ]


def run_stream(engines, versions, **options):
    """Return the body of a stream, None if it broke, and the targets it reached."""

    async def client(address, fleet):
        set_versions(fleet, *versions)
        try:
            body = (await send(address)).body
        except TargetFailed:
            body = None
        return body, [number for number, _ in fleet.seen]

    options = {"resumable": True, "max_attempts": 4, **options}
    return run_relay(RouteKind.STREAM, engines, client, **options)


def breaks_once(request):
    """Answer with a stream that breaks off, or with its rest if it is resumed."""
    resumed = "last-event-id" in request.headers
    return (REST if resumed else BROKEN_FIRST)(request)


@pytest.mark.parametrize("affinity", [False, True])
def test_stream_goes_on_only_at_the_version_that_began_it(affinity):
    """Guards against an answer that is joined from two software versions (ORDER)."""
    versions = ["v1", "v2", "v3", "v1", "v2", "v3"]

    async def client(address, fleet):
        set_versions(fleet, *versions)
        found = []
        for _ in range(3):
            before = len(fleet.seen)
            body = (await send(address)).body
            numbers = [number for number, _ in fleet.seen[before:]]
            found.append((body, {versions[number] for number in numbers}))
        return found

    options = {"resumable": True, "max_attempts": 4, "prompt_affinity": affinity}
    engines = [[breaks_once]] * len(versions)
    for body, used in run_relay(RouteKind.STREAM, engines, client, **options):
        assert body == WHOLE
        assert len(used) == 1


def test_stream_without_a_target_of_its_version_is_broken_at_once():
    """Guards against a stream that goes on at another version, or waits in vain."""

    async def client(address, fleet):
        set_versions(fleet, "v1", "v2")
        async with curio.timeout_after(0.5):
            with pytest.raises(TargetFailed):
                await send(address)
        return [number for number, _ in fleet.seen]

    engines = [[BROKEN_FIRST], [REST]]
    seen = run_relay(RouteKind.STREAM, engines, client, resumable=True)
    assert seen == [0]


def test_stream_without_an_event_may_begin_at_another_version():
    """Guards against a stream that is held to a version of which it has nothing."""
    engines = [[stream()], [stream(event(1), fail=False)]]
    assert run_stream(engines, ["v1", "v2"]) == (event(1), [0, 1])


def test_rejection_does_not_change_the_version_of_a_stream():
    """Guards against a stream that changes its version after a rejected attempt.

    The users' record: the first target crashed, the next one rejected the stream, and
    the one after that was of another version.
    """
    full = answer(503, b"", NOT_RUN)
    engines = [[BROKEN_FIRST], [full], [REST], [REST]]
    body, seen = run_stream(engines, ["v1", "v1", "v2", "v1"])
    assert (body, seen) == (WHOLE, [0, 1, 3])


def test_target_restarted_with_another_version_does_not_continue_a_stream():
    """Guards against a target that begins anew, with another version, meanwhile.

    It keeps its name, so that it accepts a request that was meant for its earlier
    incarnation. Its heartbeat arrives while it processes the prompt. Found by
    test_stream_origins_fleet.py with three of 60 seeds.
    """

    async def client(address, fleet):
        def restarted(request):
            newer = attrs.evolve(fleet.rows[1], incarnation=9, software_version="v2")
            fleet.rows[1] = newer
            return REST(request)

        await fleet.start(restarted)
        await fleet.start(REST)
        set_versions(fleet, "v1", "v1", "v1")
        await curio.sleep(0.05)
        body = (await send(address)).body
        return body, [number for number, _ in fleet.seen]

    options = {"resumable": True, "max_attempts": 4}
    found = run_relay(RouteKind.STREAM, [[BROKEN_FIRST]], client, **options)
    assert found == (WHOLE, [0, 1, 2])


def test_targets_of_unknown_versions_do_not_continue_a_stream():
    """Guards against two targets without a version that are taken for the same one."""
    assert run_stream([[BROKEN_FIRST], [GOOD]], ["", ""]) == (None, [0])


def test_stream_goes_on_at_a_draining_target_of_its_version():
    """Guards against a stream that ends while a target could still continue it.

    Also guards against other requests to a target that drains.
    """

    async def client(address, fleet):
        set_versions(fleet, "v1", "v1", "v2")
        fleet.rows[1] = attrs.evolve(fleet.rows[1], leaving=True, draining=True)
        body = (await send(address)).body
        fleet.rows[0] = attrs.evolve(fleet.rows[0], leaving=True, draining=True)
        other = (await send(address)).body
        return body, other, [number for number, _ in fleet.seen]

    engines = [[BROKEN_FIRST], [REST], [stream(event(1), fail=False)]]
    found = run_relay(RouteKind.STREAM, engines, client, resumable=True)
    assert found == (WHOLE, event(1), [0, 1, 2])


def test_draining_target_that_says_it_leaves_gets_no_more_streams():
    """Guards against streams to a target that told in an answer that it ends."""

    def ends(request):
        reply = stream(event(2))(request)
        return attrs.evolve(reply, headers=(*reply.headers, ("Server-Leaving", "1")))

    async def client(address, fleet):
        set_versions(fleet, "v1", "v1")
        fleet.rows[1] = attrs.evolve(fleet.rows[1], leaving=True, draining=True)
        for _ in range(2):
            with pytest.raises(TargetFailed):
                await send(address)
        return [number for number, _ in fleet.seen]

    engines = [[BROKEN_FIRST], [ends]]
    found = run_relay(RouteKind.STREAM, engines, client, resumable=True)
    assert found == [0, 1, 0]
