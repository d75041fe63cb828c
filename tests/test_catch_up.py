"""Tests of reads at a control member that has just started again."""

import json

import pytest

from tests.hosted_cluster import started
from tests.test_operator_api import AUTHORIZED, CREDENTIAL, Members
from wagtailrun.adapters.http_server import Request
from wagtailrun.control.operator_api import OperatorApi
from wagtailrun.exceptions import ConsensusUnavailable
from wagtailrun.virtual_time import run_virtual

SEEDS = range(5)
CHANGES = 10
LIMIT_MS = 10_000
SHORT_MS = 100


@pytest.mark.parametrize("seed", SEEDS)
def test_member_that_started_again_catches_up(seed):
    """Guards against reads that miss what the same member acknowledged before."""

    async def main(clock):
        cluster = await started(clock, seed)
        await cluster.propose_many(CHANGES)
        node = await cluster.wait_leader()
        acknowledged = set(cluster.acknowledged)
        await node.kill()
        await node.start()
        assert not acknowledged <= set(node.machine.commands)
        await node.host.catch_up(LIMIT_MS)
        assert acknowledged <= set(node.machine.commands)
        for other in cluster.nodes:
            if other is not node:
                await other.kill()
        # It has caught up, so it answers without the others, too.
        await node.host.catch_up(SHORT_MS)
        await node.kill()
        await node.start()
        with pytest.raises(ConsensusUnavailable):
            await node.host.catch_up(SHORT_MS)
        return cluster.violations

    assert run_virtual(main) == []


def test_text_is_refused_until_the_member_has_caught_up():
    """Guards against an old text, to which an operator would apply the next change.

    Other views answer, as they show the state of a fleet without a majority.
    """
    members = Members()
    is_current = []

    async def catch_up(timeout_ms):
        if not is_current:
            raise ConsensusUnavailable("no leader", may_have_committed=False)

    api = OperatorApi(members.registry, members, CREDENTIAL, catch_up=catch_up)

    async def get(path):
        return await api.handle(Request("GET", path, headers=AUTHORIZED))

    async def main(clock):
        answers = [await get("/v1/text"), await get("/v1/status")]
        is_current.append(True)
        return [*answers, await get("/v1/text")]

    refused, status, text = run_virtual(main)
    assert (refused.status, status.status, text.status) == (503, 200, 200)
    value = json.loads(refused.body)
    assert value["verdict"] == "not-run"
    assert "ask another member" in value["detail"]
