"""Tests of JSON texts whose values take much more memory and time than their bytes."""

import sys

import curio
import pytest

from tests.fake_targets import FakeTargets
from tests.test_caller_api import PIPELINE, make_api, request
from tests.test_unending_bytes import TURN_S, measure
from wagtailrun.clock import SystemClock
from wagtailrun.serving.json_texts import JsonTexts
from wagtailrun.serving.pipeline import PipelineInput
from wagtailrun.virtual_time import run_virtual

REQUESTS = 8
ITEMS = 20_000
BODY = b'{"prompt": "a", "x": [%s{}]}' % (b"{}," * ITEMS)
CALL = "/v1/services/dispatch-desk/stock-level"


class Waiting(FakeTargets):
    """Targets that answer after all requests have arrived."""

    async def call(self, address, attempt):
        await self.clock.sleep_ms(1_000)
        return await super().call(address, attempt)


@pytest.mark.parametrize("path", [PIPELINE, CALL])
def test_values_of_a_body_are_not_kept(path):
    """Guards against bodies of 1 MiB that take 30 MB each while they wait."""

    async def main(clock):
        targets = Waiting(clock)
        api = make_api(clock, targets)
        before = sys.getallocatedblocks()
        tasks = [
            await curio.spawn(api.handle, request(path, BODY)) for _ in range(REQUESTS)
        ]
        await clock.sleep_ms(500)
        held = sys.getallocatedblocks() - before
        for task in tasks:
            await task.cancel()
        return held

    assert run_virtual(main) < ITEMS


def test_large_texts_leave_turns_to_others():
    """Guards against callers whose bodies of 1 MiB stop the others for seconds."""
    text = b'{"x": [%s1]}' % (b"[]," * 350_000)

    async def read():
        texts = JsonTexts(SystemClock())
        async with curio.TaskGroup() as group:
            for _ in range(8):
                await group.spawn(texts.read, text, PipelineInput.from_value)

    async def main():
        return await measure(read)

    _, longest_s = curio.run(main)
    assert longest_s <= TURN_S
