"""Tests of requests that crash each target that begins to run them."""

import curio
import pytest

from tests.test_prompt_crashes import DEADLY_BODIES, run
from wagtailrun.adapters.http_server import Request
from wagtailrun.discovery.quarantine import (
    FIRST_HOLD_MS,
    MAX_EVIDENCE,
    MAX_HOLD_MS,
    MAX_REQUESTS,
    Quarantine,
)
from wagtailrun.relay.core.placement_messages import RunBroken
from wagtailrun.relay.core.port import AnswerProgress
from wagtailrun.relay.core.request_identity import digest_request
from wagtailrun.relay.limits.crash_detector import CrashDetector
from wagtailrun.routes import RouteKind
from wagtailrun.virtual_time import VirtualClock

# The users' rule: three targets may end, and three more may get the request.
MAX_ARRIVALS = 6


@pytest.mark.network
@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.ORDER])
def test_request_that_crashes_targets_is_held_back(kind):
    """Guards against a request that ends one target after another.

    It comes again and again under new identifiers. Sound requests of the same route
    and caller are served meanwhile.
    """

    async def scenario(fleet):
        statuses = []
        for number in range(0, 60, 2):
            await fleet.send(number, body=DEADLY_BODIES[0])
            body = b"sound %d" % number
            statuses.append(await fleet.send(number + 1, body=body))
            await curio.sleep(0.05)
        return fleet.deadly_arrivals, statuses.count(200)

    arrivals, served = run(scenario, kind)
    assert arrivals <= MAX_ARRIVALS
    assert served >= 28


@pytest.mark.network
def test_prompt_whose_body_crashes_engines_does_not_taint_its_parts():
    """Guards against sound prompts that are refused because they share all parts."""

    async def scenario(fleet):
        await fleet.send(0, "shared", "part", body=b"sound 0")
        statuses = []
        for number in range(1, 81, 2):
            await fleet.send(number, "shared", "part", body=DEADLY_BODIES[0])
            body = b"sound %d" % number
            statuses.append(await fleet.send(number + 1, "shared", "part", body=body))
            await curio.sleep(0.05)
        return fleet.deadly_arrivals, statuses

    arrivals, statuses = run(scenario)
    assert arrivals <= MAX_ARRIVALS
    # Until the crashes are explained, prompts with the parts wait.
    assert statuses.count(200) >= 36
    assert statuses[-20:] == [200] * 20


@pytest.mark.network
def test_refusal_of_a_request_that_crashes_targets_is_honest():
    """Guards against a refusal that says that a request ran, or when not to return."""

    async def scenario(fleet):
        for number in range(6):
            await fleet.send(number, body=DEADLY_BODIES[0])
            await curio.sleep(0.3)
        arrivals = fleet.deadly_arrivals
        status = await fleet.send(9, body=DEADLY_BODIES[0])
        return status, fleet.deadly_arrivals - arrivals, fleet.metrics

    status, sent, metrics = run(scenario, RouteKind.ORDER)
    assert (status, sent) == (503, 0)
    assert b"quarantined-request" in metrics.render()


@pytest.mark.network
def test_stream_that_breaks_twice_midway_goes_on():
    """Guards against sound streams that are cut because two of their engines crashed.

    Pattern: other requests crash the engines of a long stream, one after the other.
    """

    async def scenario(fleet):
        fleet.crashes_midway = 2
        statuses = [await fleet.send(number, "part", body=b"x") for number in range(8)]
        return statuses, fleet.crashes

    statuses, crashes = run(scenario, max_attempts=3)
    assert crashes == 2
    assert statuses == [200] * 8


@pytest.mark.network
@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.STREAM])
def test_connections_that_targets_reset_hold_no_request_back(kind):
    """Guards against sound requests that are refused after resets of connections.

    Pattern: each target closes the connection of the first two attempts of a request.
    """

    async def scenario(fleet):
        for engine in fleet.engines:
            engine.resets = 2
        return [await fleet.send(number, "part", body=b"x") for number in range(12)]

    statuses = run(scenario, kind)
    assert statuses[-4:] == [200] * 4


def digest(body=b"x", workspace="w", host="h", target=b"/a/x", method="POST"):
    request = Request(method, "/a/x", body=body, target=target)
    return digest_request(request, host, workspace)


def test_requests_of_other_callers_have_other_digests():
    """Guards against a caller that has another caller's request held back."""
    others = [
        digest(workspace="v"),
        digest(workspace=""),
        digest(body=b"y"),
        digest(target=b"/a/x?q"),
        digest(host="g"),
        digest(method="PUT"),
        # The same bytes, divided in another way.
        digest(workspace="wh", host=""),
        digest(target=b"/a/xx", body=b""),
    ]
    assert digest() == digest()
    assert digest() not in others
    assert len(set(others)) == len(others)


def table(*crashes, clock=None):
    """Return a table with crashes; each is a list of requests, or sets of parts."""
    quarantine = Quarantine(clock or VirtualClock())
    for number, explanations in enumerate(crashes):
        requests = [each for each in explanations.split() if each.startswith("r")]
        parts = [[each] for each in explanations.split() if each.startswith("p")]
        quarantine.record_crash(f"t{number}", parts, requests)
    return quarantine


def test_request_is_held_back_after_two_crashes():
    """Guards against a third crash, and against a refusal after a single kill."""
    assert not table("r1").request_held_ms("r1")
    assert table("r1", "r1").request_held_ms("r1") == FIRST_HOLD_MS
    assert table("r1", "r1", "r1").request_held_ms("r1") == MAX_HOLD_MS
    assert not table("r1", "r2").request_held_ms("r1")


def test_request_that_ran_beside_the_cause_is_not_held_back():
    """Guards against innocent requests that broke beside a deadly one twice."""
    quarantine = table("r1 r2", "r1 r2", "r1 r3")
    assert quarantine.request_held_ms("r1")
    assert not quarantine.request_held_ms("r2")
    assert not quarantine.request_held_ms("r3")


def test_request_is_held_back_although_another_explains_more():
    """Guards against one deadly request that hides another for ever."""
    quarantine = table("r1 r2", "r1 r2", "r1", "r2", "r2")
    assert quarantine.request_held_ms("r2")
    quarantine.record_crash("t9", [], ["r1"])
    assert quarantine.request_held_ms("r1")
    assert quarantine.request_held_ms("r2")


def test_answer_clears_a_request_of_earlier_crashes():
    """Guards against a request that is refused for ever for crashes of other causes."""
    clock = VirtualClock()
    clock.seconds = 10.0
    quarantine = table("r1", "r1", clock=clock)
    quarantine.clear("r1", clock.now_ms() - 5_000)
    assert quarantine.request_held_ms("r1")
    clock.seconds += 5
    quarantine.clear("r1", clock.now_ms())
    assert not quarantine.request_held_ms("r1")


def test_parts_are_held_back_only_if_they_explain_more_than_a_request():
    """Guards against sound prompts with the parts of a deadly request.

    Pattern: the same request twice, and different requests with one part.
    """
    same = table("r1 p1", "r1 p1")
    assert same.request_held_ms("r1")
    assert not same.status(["p1"]).held_ms
    different = table("r1 p1", "r2 p1")
    assert different.status(["p1"]).held_ms
    repeated = table("r1 p1", "r1 p1", "r2 p1")
    assert repeated.status(["p1"]).held_ms


def test_hold_ends_and_evidence_is_bounded():
    """Guards against a table that grows, and a request that is never tried again."""
    clock = VirtualClock()
    quarantine = table("r1", "r1", clock=clock)
    clock.seconds += FIRST_HOLD_MS / 1_000
    assert not quarantine.request_held_ms("r1")
    many = [f"r{number}" for number in range(10 * MAX_REQUESTS)]
    for number in range(2 * MAX_EVIDENCE):
        quarantine.record_crash(f"x{number}", [], many[number:])
    assert len(quarantine.evidence_by_key) <= MAX_EVIDENCE
    sizes = [len(each.requests) for each in quarantine.evidence_by_key.values()]
    assert max(sizes) <= MAX_REQUESTS


def broken(request, target="t1", refused=False):
    address = "10.0.0.1:80"
    progress = AnswerProgress.NOTHING
    return RunBroken("id", "s", target, 1, address, (), progress, 0, request, refused)


def test_break_at_a_target_that_goes_on_is_no_crash():
    """Guards against requests that are held back for resets of connections."""
    clock = VirtualClock()
    quarantine = Quarantine(clock)
    detector = CrashDetector(clock, quarantine)
    for target in ("t1", "t2", "t3"):
        detector.record_break(broken("r1", target))
        clock.seconds += 1
        detector.settle()
    assert not quarantine.evidence_by_key
    for target in ("t4", "t5"):
        detector.record_break(broken("r1", target, refused=True))
        clock.seconds += 1
        detector.settle()
    assert quarantine.request_held_ms("r1")


def test_request_is_held_back_as_soon_as_the_second_break_is_reported():
    """Guards against a third target that ends while the reports are collected.

    Pattern: the caller sends the request again at once.
    """
    quarantine = Quarantine(VirtualClock())
    detector = CrashDetector(quarantine.clock, quarantine)
    for target in ("t1", "t2"):
        detector.record_break(broken("r1", target, refused=True))
        detector.record_break(broken(f"beside {target}", target, refused=True))
    assert quarantine.request_held_ms("r1")
    assert not quarantine.request_held_ms("beside t1")
