"""Plain wire format of emulated callers, targets and relay entries."""

import json

from wagtailrun.adapters.http_client import Headers, HttpReply, HttpStream
from wagtailrun.adapters.http_server import Request
from wagtailrun.adapters.target_observer import ObservedAnswer
from wagtailrun.clock import Clock
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.experiments.relay.attempt_log import AttemptLog
from wagtailrun.relay import (
    AnswerHead,
    AttemptContext,
    PromptPart,
    RelayRequest,
    RelayWire,
    TargetLoad,
    TargetNotice,
)

__all__ = [
    "ANSWER_ID",
    "ATTEMPT",
    "BRITTLE",
    "COLD",
    "CONFLICT",
    "DEADLINE",
    "EVENT_STREAM",
    "INPUTS",
    "KEY",
    "LIMIT",
    "LOAD",
    "MISDIRECTED",
    "NOT_RUN",
    "OK",
    "ORDER_KEY",
    "PARTS",
    "PIECES",
    "PIECE_KEY",
    "REPORT_PATH",
    "REQUEST_ID",
    "RESUME_AFTER",
    "TARGET",
    "TOKENS",
    "UNAVAILABLE",
    "URGENCY",
    "PlainWire",
]

# Headers of callers and of entries.
REQUEST_ID = "x-request"
KEY = "x-key"
DEADLINE = "x-deadline-ms"
TOKENS = "x-tokens"
PARTS = "x-parts"
PIECES = "x-pieces"
PIECE_KEY = "x-piece-key"
ORDER_KEY = "x-order-key"
RESUME_AFTER = "x-resume-after"
# Headers of entries only.
ATTEMPT = "x-attempt"
TARGET = "x-target"
URGENCY = "x-urgency"
INPUTS = "x-inputs"
# Headers of targets.
ANSWER_ID = "x-answers"
LOAD = "x-load"
NOT_RUN = "x-not-run"
LIMIT = "x-limit"
BRITTLE = "x-brittle"
COLD = "x-cold-ms"

EVENT_STREAM = "text/event-stream"
REPORT_PATH = "/report"
OK = 200
CONFLICT = 409
MISDIRECTED = 421
UNAVAILABLE = 503
# Not passed on to targets: the entry states its own values.
OWN_HEADERS = frozenset(
    name.encode() for name in (KEY, DEADLINE, RESUME_AFTER, "host", "content-length")
)


class PlainWire(RelayWire):
    """Wire format of the emulator, which logs the attempts.

    Args:
        clock: Virtual clock.
        log: Log of the attempts.
    """

    def __init__(self, clock: Clock, log: AttemptLog):
        self.clock = clock
        self.log = log

    def parse_request(self, http: Request) -> RelayRequest | Refusal:
        """Return a caller's request; see ``RelayWire``."""
        headers = http.headers
        try:
            tokens = _integers(headers.get(TOKENS, ""))
            return RelayRequest(
                request_id=headers[REQUEST_ID],
                host=headers.get("host", ""),
                headers=tuple(
                    pair for pair in http.header_pairs if pair[0] not in OWN_HEADERS
                ),
                key=headers.get(KEY, ""),
                remaining_ms=_optional_integer(headers, DEADLINE),
                last_event_id=_optional_integer(headers, RESUME_AFTER),
                parts=_prompt_parts(headers.get(PARTS, "")),
                prompt_tokens=tokens[0] if tokens else 0,
                answer_tokens=tokens[1] if len(tokens) > 1 else 0,
                pieces=_integers(headers.get(PIECES, "")),
                piece_key=headers.get(PIECE_KEY, ""),
            )
        except (KeyError, ValueError) as error:
            return Refusal(RefusalReason.MALFORMED, Verdict.NOT_RUN, repr(error))

    def attempt_headers(
        self, request: RelayRequest, context: AttemptContext
    ) -> Headers:
        """Return the headers of one attempt; see ``RelayWire``."""
        after = context.last_event_id
        attempt = self.log.begin(
            request.request_id,
            "",
            context.target,
            self.clock.now_ms(),
            0 if after is None else after + 1,
        )
        headers: list[tuple[str | bytes, str | bytes]] = [
            *request.headers,
            (ATTEMPT, str(attempt.number)),
            (TARGET, context.target),
            (DEADLINE, str(context.remaining_ms)),
            (URGENCY, str(context.urgency)),
        ]
        if context.inputs is not None:
            headers.append((INPUTS, ",".join(context.inputs)))
        if after is not None:
            headers.append((RESUME_AFTER, str(after)))
        return tuple(headers)

    def parse_answer(self, stream: HttpStream) -> AnswerHead:
        """Return the head of a target's answer; see ``RelayWire``."""
        headers = stream.headers
        not_run = NOT_RUN in headers
        load = _integers(headers.get(LOAD, ""))
        content_type = headers.get("content-type", "")
        if ATTEMPT in headers:
            # What is no stream arrives as a whole.
            is_whole = content_type != EVENT_STREAM
            now_ms = self.clock.now_ms()
            self.log.record_answer(int(headers[ATTEMPT]), now_ms, is_whole=is_whole)
        return AnswerHead(
            status=stream.status,
            request_id=headers.get(ANSWER_ID, ""),
            genuine=ANSWER_ID in headers,
            not_run=not_run,
            inputs_gone=not_run and stream.status == CONFLICT,
            misdirected=stream.status == MISDIRECTED,
            headers=tuple(stream.header_pairs),
            content_type=content_type,
            load=TargetLoad(*load) if len(load) == 3 else None,
        )

    def parse_notice(self, stream: ObservedAnswer) -> TargetNotice | None:
        """Return what an answer says about its target; see ``RelayWire``."""
        if stream.status == MISDIRECTED:
            return None
        headers = stream.headers
        return TargetNotice(
            limit_per_s=float(headers[LIMIT]) if LIMIT in headers else None,
            max_rejections=float(headers[BRITTLE]) if BRITTLE in headers else None,
            rejected=stream.status == UNAVAILABLE and NOT_RUN in headers,
            cold_ms=_optional_integer(headers, COLD),
        )

    def report_request(self, target: str) -> tuple[str, str, Headers]:
        """Return the request for a target's report; see ``RelayWire``."""
        return "GET", REPORT_PATH, ((TARGET, target),)

    def parse_incarnation(self, reply: HttpReply) -> int | None:
        """Return the incarnation that a report names; see ``RelayWire``."""
        if reply.status == MISDIRECTED:
            return 0
        return (
            int(json.loads(reply.body)["incarnation"]) if reply.status == OK else None
        )

    def refusal_headers(self, request_id: str, refusal: Refusal) -> Headers:
        """Return the headers of a refusal; see ``RelayWire``."""
        # The body states verdict and delay.
        return ()


def _integers(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split(",") if part)


def _optional_integer(headers: dict[str, str], name: str) -> int | None:
    return int(headers[name]) if name in headers else None


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt from a list of ``NAME:TOKENS``."""
    parts = (part.rpartition(":") for part in text.split(",") if part)
    return tuple(PromptPart(name, int(tokens)) for name, _, tokens in parts)
