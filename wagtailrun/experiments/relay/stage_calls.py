"""Client of emulated targets that run stages."""

import json
from collections.abc import Sequence

from wagtailrun.adapters.http_client import LEAST_URGENT, HttpClient
from wagtailrun.exceptions import TargetFailed, Verdict
from wagtailrun.experiments.relay import wire
from wagtailrun.experiments.relay.attempt_log import AttemptLog
from wagtailrun.ports.link import Address
from wagtailrun.stages import PieceOutcome, StageClient, StageItem
from wagtailrun.stages.port import UNWATCHED, CallWatch, StageReply
from wagtailrun.targets.table import TargetRow

__all__ = ["FREE_PATH", "RUN_PATH", "PlainStageClient"]

RUN_PATH = "/stage"
FREE_PATH = "/free"
FREE_TIMEOUT_MS = 500


class PlainStageClient(StageClient):
    """Calls emulated targets of stages.

    Args:
        http: Client with connections to targets.
        log: Log of the attempts.
    """

    def __init__(self, http: HttpClient, log: AttemptLog):
        self.http = http
        self.log = log

    async def run(
        self,
        target: TargetRow,
        items: Sequence[StageItem],
        timeout_ms: int,
        watch: CallWatch = UNWATCHED,
    ) -> list[StageReply]:
        """Run pieces in one call; see ``StageClient``."""
        clock = self.http.clock
        # One attempt of each request, however many of its pieces are in the call.
        attempts = {
            (request, step): self.log.begin(
                request, str(step), target.name, clock.now_ms()
            )
            for request, step in dict.fromkeys(
                (item.request_id, item.step) for item in items
            )
        }
        rows = [
            {
                "request": item.request_id,
                "attempt": attempts[item.request_id, item.step].number,
                "step": item.step,
                "piece": item.piece,
                "remaining_ms": item.remaining_ms,
                "key": item.key,
                "inputs": item.inputs,
            }
            for item in items
        ]
        async with self.http.open(
            target.address,
            "POST",
            RUN_PATH,
            ((wire.TARGET, target.name),),
            json.dumps(rows).encode(),
            timeout_ms=timeout_ms,
            on_open=lambda connection: watch.record_sent(connection.carrier),
            requests=len(items),
        ) as stream:
            body = await stream.read_all(timeout_ms)
        if stream.status != wire.OK:
            not_run = wire.NOT_RUN in stream.headers
            verdict = Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN
            raise TargetFailed(
                f"the stage answered status {stream.status}", verdict=verdict
            )
        for attempt in attempts.values():
            attempt.first_ms = attempt.ended_ms = clock.now_ms()
        return [
            StageReply(PieceOutcome(outcome), handle)
            for outcome, handle in json.loads(body)
        ]

    async def free(self, address: Address, handles: Sequence[str]) -> None:
        """Release results; see ``StageClient``."""
        await self.http.request(
            address,
            "POST",
            FREE_PATH,
            (),
            json.dumps(list(handles)).encode(),
            timeout_ms=FREE_TIMEOUT_MS,
            # Results that are not released expire; calls cannot wait.
            urgency=LEAST_URGENT,
            takes_slot=False,
        )
