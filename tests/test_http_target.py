"""Tests of the HTTP client of targets: late and mismatched answers."""

import json
import random

import curio

from tests.test_http_server import with_server
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import json_response
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.clock import SystemClock
from wagtailrun.dispatch import Dispatcher
from wagtailrun.exceptions import Refusal, Verdict
from wagtailrun.membership import Membership, TargetRow
from wagtailrun.routing import LeastLoadedRouter
from wagtailrun.work import Work

REQUESTS = 1_000
CALLERS = 20
DEADLINE_MS = 60_000


class MismatchingTarget:
    """Answers late, and sometimes with the answer to another request."""

    def __init__(self):
        self.random = random.Random(1)
        self.earlier = []
        self.mismatched = 0

    async def handle(self, request):
        echo = (("Wagtailrun-Attempt", request.headers["wagtailrun-attempt"]),)
        answer = json_response(200, {"of": json.loads(request.body)["id"]}, echo)
        await curio.sleep(self.random.choice([0, 0, 0.001, 0.005]))
        self.earlier.append(answer)
        if self.random.random() < 0.02 and len(self.earlier) > 1:
            self.mismatched += 1
            return self.earlier[self.random.randrange(len(self.earlier) - 1)]
        return answer


def test_late_and_crossed_answers_reach_only_their_callers():
    """Guards against answers that are lost, duplicated or given to another request."""
    target = MismatchingTarget()

    async def client(address, server):
        clock = SystemClock()
        membership = Membership()
        membership.put(TargetRow("t", address, "s", "east", 100), clock.now_ms())
        membership.unconfirmed = True  # Nobody announces the target in this test.
        targets = HttpTargetClient(HttpClient(clock))
        router = LeastLoadedRouter()
        dispatcher = Dispatcher(clock, membership, targets, router, seed=1)
        answers = {}

        async def caller(first):
            for number in range(first, REQUESTS, CALLERS):
                body = json.dumps({"id": number}).encode()
                deadline_at_ms = clock.now_ms() + DEADLINE_MS
                work = Work("s", "/v1/x", body, f"r{number}", "w", deadline_at_ms)
                answers[number] = await dispatcher.call(work)

        async with curio.TaskGroup() as group:
            for first in range(CALLERS):
                await group.spawn(caller, first)
        return answers, targets.crossed_answers

    answers, dropped = with_server(target.handle, client)
    assert len(answers) == REQUESTS
    assert dropped == target.mismatched > 0
    refused = 0
    for number, answer in answers.items():
        if isinstance(answer, Refusal):
            assert answer.verdict is Verdict.MAY_HAVE_RUN
            refused += 1
        else:
            assert json.loads(answer.body) == {"of": number}
    assert refused < REQUESTS / 20
