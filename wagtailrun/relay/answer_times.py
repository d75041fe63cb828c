"""Learned estimates of how long targets send the answers of a route."""

from collections import OrderedDict, deque
from collections.abc import Iterable

import attrs

__all__ = ["COVERED_SHARE", "TYPICAL_SHARE", "AnswerTimes"]

# An answer that is cut is lost, while a request that is refused loses some time; so it
# is refused unless the estimate that covers this share of the newest answers fits.
COVERED_SHARE = 0.7
TYPICAL_SHARE = 0.5
# An estimate is computed from at most this many answers; with fewer than MIN_ANSWERS,
# nothing is known.
MAX_ANSWERS = 64
MIN_ANSWERS = 8
# Routes, and services, whose answers are kept; others push out the least recent one.
MAX_KEYS = 256


@attrs.frozen
class _Answer:
    """One complete answer.

    Attributes:
        tokens: Tokens that its caller expected; 0 if not stated.
        took_ms: How long it took.
    """

    tokens: int
    took_ms: int


class AnswerTimes:
    """Keeps how long the newest answers of each route took.

    Callers of models state how many tokens they expect. The time for each of them is
    that of the targets, so it is taken from all answers of the service. Other routes
    without enough answers are estimated by those of their service, too.
    """

    def __init__(self) -> None:
        self._by_route: OrderedDict[str, deque[_Answer]] = OrderedDict()
        self._by_service: OrderedDict[str, deque[_Answer]] = OrderedDict()

    def add(self, route: str, service: str, tokens: int, took_ms: int) -> None:
        """Record a complete answer.

        Args:
            route: Name of its route.
            service: Name of its service.
            tokens: Tokens that its caller expected; 0 if not stated.
            took_ms: How long it took, in milliseconds.
        """
        answer = _Answer(tokens, took_ms)
        for kept, key in ((self._by_route, route), (self._by_service, service)):
            kept.setdefault(key, deque(maxlen=MAX_ANSWERS)).append(answer)
            kept.move_to_end(key)
            if len(kept) > MAX_KEYS:
                kept.popitem(last=False)

    def expected_ms(
        self, route: str, service: str, tokens: int, share: float = COVERED_SHARE
    ) -> int:
        """Return how long an answer takes, in milliseconds.

        Args:
            route: Name of its route.
            service: Name of its service.
            tokens: Tokens that its caller expects; 0 if not stated.
            share: Share of the newest answers, weighted by their tokens, that the
                estimate covers.

        Returns:
            0 if nothing is known.
        """
        of_service = self._by_service.get(service, ())
        counted = [answer for answer in of_service if answer.tokens]
        if tokens and len(counted) >= MIN_ANSWERS:
            return int(tokens * _quantile_per_token_ms(counted, share))
        answers = self._by_route.get(route, ())
        if len(answers) < MIN_ANSWERS:
            answers = of_service
        return _quantile_ms(answers, share) if len(answers) >= MIN_ANSWERS else 0


def _quantile_ms(answers: Iterable[_Answer], share: float) -> int:
    ranked = sorted(answer.took_ms for answer in answers)
    return ranked[int(share * (len(ranked) - 1))]


def _quantile_per_token_ms(answers: Iterable[_Answer], share: float) -> float:
    """Return a quantile of the time per token, weighted by the tokens.

    In short answers, a fixed time and a wrong expectation make up most of it.
    """
    ranked = sorted(answers, key=lambda each: each.took_ms / each.tokens)
    left = share * sum(answer.tokens for answer in ranked)
    for answer in ranked:
        left -= answer.tokens
        if left <= 0:
            break
    return answer.took_ms / answer.tokens
