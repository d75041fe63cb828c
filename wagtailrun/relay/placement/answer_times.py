"""Learned estimates of how long targets send the answers of a route."""

from collections import OrderedDict, deque

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


class _NewestAnswers:
    """The newest answers of a route or service, and quantiles of their times."""

    def __init__(self) -> None:
        self._answers: deque[_Answer] = deque(maxlen=MAX_ANSWERS)
        # Kept until the next answer: a stop asks for each of its requests.
        self._ms_by_share: dict[float, int | None] = {}
        self._per_token_ms_by_share: dict[float, float | None] = {}

    def add(self, answer: _Answer) -> None:
        self._answers.append(answer)
        self._ms_by_share.clear()
        self._per_token_ms_by_share.clear()

    def quantile_ms(self, share: float) -> int | None:
        """Return a quantile of the times; None if there are too few."""
        if share not in self._ms_by_share:
            ranked = sorted(answer.took_ms for answer in self._answers)
            found = ranked[int(share * (len(ranked) - 1))] if ranked else 0
            is_known = len(ranked) >= MIN_ANSWERS
            self._ms_by_share[share] = found if is_known else None
        return self._ms_by_share[share]

    def quantile_per_token_ms(self, share: float) -> float | None:
        """Return a quantile of the time per token, weighted by the tokens.

        In short answers, a fixed time and a wrong expectation make up most of it.

        Returns:
            None if there are too few.
        """
        if share not in self._per_token_ms_by_share:
            self._per_token_ms_by_share[share] = self._weighted_quantile(share)
        return self._per_token_ms_by_share[share]

    def _weighted_quantile(self, share: float) -> float | None:
        counted = [answer for answer in self._answers if answer.tokens]
        if len(counted) < MIN_ANSWERS:
            return None
        counted.sort(key=lambda each: each.took_ms / each.tokens)
        # The expectation of one caller may be far too large.
        max_weight = sum(answer.tokens for answer in counted) / MIN_ANSWERS
        weights = [min(answer.tokens, max_weight) for answer in counted]
        left = share * sum(weights)
        covering = counted[-1]
        for answer, weight in zip(counted, weights, strict=True):
            left -= weight
            if left <= 0:
                covering = answer
                break
        return covering.took_ms / covering.tokens


class AnswerTimes:
    """Keeps how long the newest answers of each route took.

    Callers of models state how many tokens they expect. The time for each of them is
    that of the targets, so it is taken from all answers of the service. Other routes
    without enough answers are estimated by those of their service, too.
    """

    def __init__(self) -> None:
        self._by_route: OrderedDict[str, _NewestAnswers] = OrderedDict()
        self._by_service: OrderedDict[str, _NewestAnswers] = OrderedDict()

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
            kept.setdefault(key, _NewestAnswers()).add(answer)
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
        of_service = self._by_service.get(service)
        if of_service is None:
            return 0
        per_token_ms = of_service.quantile_per_token_ms(share) if tokens else None
        if per_token_ms is not None:
            return int(tokens * per_token_ms)
        of_route = self._by_route.get(route)
        found_ms = of_route.quantile_ms(share) if of_route is not None else None
        if found_ms is None:
            found_ms = of_service.quantile_ms(share)
        return found_ms or 0
