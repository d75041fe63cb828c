"""Tests of experiments with relay entries whose requests have stages."""

import pytest

from tests.test_relay_experiments import answered_by, during, fault, outcomes
from tests.test_relay_experiments import play as play_with
from wagtailrun.experiments.relay.network import Network, Process
from wagtailrun.experiments.relay.results import MAX_RESULTS, RESULT_MS, ResultStore
from wagtailrun.ports.link import Address
from wagtailrun.virtual_time import VirtualClock

FLEET = """
[fleet]
name = "small"
data_centres = ["east"]
[services.encoders]
kind = "pool"
[services.documents]
kind = "pool"
[services.engines]
kind = "engine"
[pipelines.query]
stages = [
    { kind = "encode", service = "encoders" },
    { kind = "retrieve", service = "documents" },
    { kind = "rerank", service = "documents" },
    { kind = "generate", service = "engines" },
]
[workspaces.clerks]
"""
TARGETS = """
[[targets]]
service = "encoders"
data_centre = "east"
count = 2
model = { service_ms = 15.0 }
[[targets]]
service = "documents"
data_centre = "east"
count = 2
model = { service_ms = 40.0, capacity = 2 }
[[targets]]
service = "engines"
data_centre = "east"
count = 3
model = { decode_ms = 20.0 }
"""
LOAD = """
[[load]]
workspace = "clerks"
pipeline = "query"
arrivals = "poisson"
rate_per_s = 6
prompt_tokens = { distribution = "fixed", value = 200 }
answer_tokens = { distribution = "fixed", value = 20 }
"""
HEAD = f"""
name = "stages"
length_s = 20
fleet.text = '''{FLEET}'''
entries = {{ east = {{ kind = "relay", count = 3 }} }}
"""
STAGES = ["encode", "retrieve", "rerank", "generate"]


def play(directory, text="", settings=""):
    return play_with(directory, HEAD + settings + TARGETS + LOAD + text)


def test_stages_run_in_order_at_their_services(tmp_path):
    """Guards against stages that are skipped, or whose time counts elsewhere."""
    records = play(tmp_path)
    assert outcomes(records.requests) == {"served"}
    for request in records.requests:
        assert [step.stage for step in request.steps] == STAGES
        services = [step.target.partition("-")[0] for step in request.steps]
        assert services == ["encoders", "documents", "documents", "engines"]
        spent = sum(step.queue_ms + step.run_ms for step in request.steps)
        assert spent <= request.ended_ms <= spent + 5
        assert request.attempts == 4 and request.tokens == 20
    assert len(answered_by(records.requests)) == 7


def test_pieces_of_a_killed_target_run_at_another(tmp_path):
    """Guards against requests that end with the target of one of their stages."""
    on = "documents-east-0"
    records = play(tmp_path, fault("kill-target", on))
    assert outcomes(during(records, 0, 4_500)) == {"served"}
    meanwhile = during(records, 5_500, 9_500)
    assert outcomes(meanwhile) == {"served"}
    assert on not in answered_by(meanwhile)
    assert on in answered_by(during(records, 13_000, 20_000))


def test_next_owner_takes_over_the_stages(tmp_path):
    """Guards against stages that are owned by an entry that was killed."""
    for entry in ("entry-east-0", "entry-east-1", "entry-east-2"):
        records = play(tmp_path, fault("kill-entry", entry))
        # It is found to be dead by calls without a reply.
        assert outcomes(during(records, 6_500, 20_000)) == {"served"}
        lost = [r for r in during(records, 0, 5_000) if r.outcome != "served"]
        assert {r.entry for r in lost} <= {entry}


def test_stages_run_again_once_their_results_are_gone(tmp_path):
    """Guards against engines that run without the results of the stages."""
    # The results of a stream that has begun are released.
    settings = "settings = { retry_ratio = 2, retry_slack = 200 }"
    records = play(tmp_path, fault("kill-target", "engines-east-0"), settings)
    assert outcomes(records.requests) == {"served"}
    moved = [r for r in records.requests if r.attempts > 4]
    assert moved
    for request in moved:
        # The three stages run again before another engine gets it, which would refuse.
        assert request.attempts == 4 + 3 + 1
        assert request.tokens == 20


def test_restart_of_all_entries_refuses_nothing_beside_much_memory(tmp_path):
    """Load: 20 requests a second as all entries restart; results need little memory.

    Guards against requests that are refused for lost results, although one step of the
    room that targets are taken to have is enough for all of them.
    """
    restart = (
        "\n[[faults]]\nkind = 'kill-entry'\non = ['east']\nat_s = 4\nfor_s = 0.64\n"
    )
    text = HEAD.replace("length_s = 20", "length_s = 8") + TARGETS + LOAD + restart
    records = play_with(tmp_path, text.replace("rate_per_s = 6", "rate_per_s = 20"))
    after = during(records, 4_640, 8_000)
    # The load balancer finds no entry until the first ones listen again.
    begun = [request for request in after if request.reason != "no-entry"]
    assert len(begun) > 50
    assert outcomes(begun) == {"served"}


def test_planned_stop_hands_the_stages_over(tmp_path):
    """Guards against a planned stop that interrupts stages."""
    records = play(tmp_path, fault("rolling-restart", "east", "for_s = 1\ngap_s = 1"))
    assert outcomes(records.requests) == {"served"}


@pytest.fixture
def store():
    clock = VirtualClock()
    return ResultStore(clock, Network(clock, 1))


def test_results_are_kept_until_they_are_released_or_expire(store):
    """Guards against results without end, and against ones that outlive a target."""
    keeper = Process("t", Address("10.0.0.1", 1), "east")
    other = Process("u", Address("10.0.0.2", 1), "west")
    handles = [store.add(keeper) for _ in range(MAX_RESULTS)]
    assert all(handles) and not store.add(keeper)
    store.free(handles[0])
    store.free(handles[0])
    assert not store.can_fetch(handles[0], other)
    assert store.add(keeper) and not store.add(keeper)
    assert store.can_fetch(handles[1], other)
    store.network.cut_inward.add("west")
    assert not store.can_fetch(handles[1], other)
    store.clock.seconds += RESULT_MS / 1_000
    assert store.add(keeper) and not store.can_fetch(handles[1], keeper)
    store.drop_all(keeper)
    assert all(store.add(keeper) for _ in range(MAX_RESULTS))
