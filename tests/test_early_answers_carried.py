"""Tests of early answers to long requests on connections that another entry carries."""

import time

import curio
import pytest

from tests.test_early_answers import (
    CUT,
    ENDS,
    HEAD,
    LARGE,
    REFUSED,
    WHOLE,
    EarlyTarget,
    upload,
)
from tests.test_tunnels import Carrier, View, cut_entry
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.exceptions import Verdict
from wagtailrun.targets.table import TargetRow

pytestmark = pytest.mark.network


# The tunnel takes all but the last before the target reads them.
SIZES = [1024 * 1024, 6 * 1024 * 1024, len(LARGE)]
# The system of a target that only closes its side takes the smallest one.
UNFINISHED = [
    (end, size)
    for end in ("closes", "resets", "half-closes")
    for size in SIZES
    if end != "half-closes" or size != SIZES[0]
]


def run_carried(target, size):
    """Return the outcome of an upload through another entry, and its duration."""

    async def main():
        row = TargetRow("t0", await target.start(), "s", "a", 4)
        view = View(None, [row])
        carrier = Carrier(view)
        view.entries.append(await carrier.start())
        http = HttpClient(connector=cut_entry(view))
        started = time.monotonic()
        async with curio.timeout_after(20):
            result = await upload(row.address, http, LARGE[:size])
        assert carrier.asked == 1
        return result, time.monotonic() - started

    return curio.run(main)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("pause_s", [0.05, 0])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", WHOLE)
@pytest.mark.parametrize(
    ("head", "status"), [(REFUSED, 503), (HEAD, 200)], ids=["refusal", "success"]
)
def test_whole_early_answer_is_carried(head, status, framing, end, pause_s, size):
    """Guards against a refusal that is lost as the carrier still writes the request."""
    target = EarlyTarget(head + WHOLE[framing], end, pause_s=pause_s)
    result, took_s = run_carried(target, size)
    assert result == (status, b"body", 0)
    assert took_s < 2


@pytest.mark.parametrize("pause_s", [0.05, 0])
@pytest.mark.parametrize(("end", "size"), UNFINISHED)
@pytest.mark.parametrize("framing", CUT)
def test_part_of_a_carried_early_answer_is_no_answer(framing, end, pause_s, size):
    """Guards against the end of a reset connection that is passed on as in order."""
    target = EarlyTarget(HEAD + CUT[framing], end, pause_s=pause_s)
    result, _ = run_carried(target, size)
    assert result is Verdict.MAY_HAVE_RUN
