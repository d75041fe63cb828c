"""Rules and budget for retries."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Collection

from wagtailrun.clock import MS_PER_SECOND, Clock
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict

__all__ = ["MAX_REDIRECTS", "RedirectLimit", "RetryBudget", "backoff_ms", "may_retry"]

EARNED_PER_FIRST_ATTEMPT = 0.1
# Allows retries of the first requests after a start, and limits a burst of them.
INITIAL_TOKENS = 3.0
# Limits a burst of retries.
MAX_TOKENS = 20.0
# Tokens that hedges must leave for retries. Without this reserve, hedges used up the
# budget and streams of a dead target could not be resumed.
HEDGE_RESERVE = 8.0
# Attempts without a connection that one request may make up for.
MAX_REDIRECTS = 3
# All requests that await a connection to a target fail together when it is lost, and
# are sent elsewhere; more than this come from a target that is tried again and again.
MAX_REDIRECTS_PER_TARGET_S = 200
BACKOFF_BASE_MS = 25
BACKOFF_MAX_MS = 1_000


class RetryBudget:
    """Token bucket for retries and hedges of each service.

    Args:
        tokens_per_attempt: Tokens that each first attempt adds.
        initial: Tokens of a service before its first attempt.
        token_limit: Returns the largest number of tokens of a service.
    """

    def __init__(
        self,
        tokens_per_attempt: float = EARNED_PER_FIRST_ATTEMPT,
        initial: float = INITIAL_TOKENS,
        token_limit: Callable[[], float] = lambda: MAX_TOKENS,
    ) -> None:
        self.tokens_per_attempt = tokens_per_attempt
        self.token_limit = token_limit
        self.tokens_by_service: dict[str, float] = defaultdict(lambda: initial)
        # Tokens that calls in progress count on.
        self.claims_by_service: dict[str, int] = defaultdict(int)

    def earn(self, service: str) -> None:
        """Add the tokens of a first attempt."""
        tokens = self.tokens_by_service[service] + self.tokens_per_attempt
        self.tokens_by_service[service] = min(tokens, self.token_limit())

    def retain(self, services: Collection[str]) -> None:
        """Drop the tokens of all other services."""
        for service in self.tokens_by_service.keys() - services:
            del self.tokens_by_service[service]
        for service in self.claims_by_service.keys() - services:
            if not self.claims_by_service[service]:
                del self.claims_by_service[service]

    def has(self, service: str, reserve: float = 0.0) -> bool:
        """Return whether one more attempt would leave at least ``reserve`` tokens."""
        return self.tokens_by_service[service] >= 1.0 + reserve

    def spend(self, service: str) -> bool:
        """Take a token for one more attempt; return False if there is none."""
        if not self.has(service):
            return False
        self.tokens_by_service[service] -= 1.0
        return True

    def claim(self, service: str, count: int) -> bool:
        """Return whether tokens that no other call claims cover some attempts.

        They stay in the budget, for whatever fails first, but no other call may count
        on them until ``unclaim``.
        """
        claimed = self.claims_by_service[service]
        if not self.has(service, claimed + count - 1.0):
            return False
        self.claims_by_service[service] += count
        return True

    def unclaim(self, service: str, count: int) -> None:
        """End a claim."""
        self.claims_by_service[service] -= count

    def refund(self, service: str) -> None:
        """Return the token of an attempt that this process could not make."""
        self.tokens_by_service[service] += 1.0


class RedirectLimit:
    """Limits the attempts that follow one without a connection, for each target.

    Such an attempt was never sent and added no load, so it takes nothing from the
    ``RetryBudget``.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.since_ms = clock.now_ms()
        self.counts_by_name: Counter[str] = Counter()

    def allows(self, name: str) -> bool:
        """Count an attempt that follows one at a target; return whether it may.

        Args:
            name: Target that no connection could be opened to.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.since_ms >= MS_PER_SECOND:
            self.since_ms = now_ms
            self.counts_by_name.clear()
        self.counts_by_name[name] += 1
        return self.counts_by_name[name] <= MAX_REDIRECTS_PER_TARGET_S


def may_retry(idempotent: bool, error: TargetFailed) -> bool:
    """Return whether work may be retried after ``error``.

    Work that is not idempotent is sent at most once, so it is retried only if no byte
    of it was sent.
    """
    return idempotent or (
        isinstance(error, ConnectFailed) and error.verdict is Verdict.NOT_RUN
    )


def backoff_ms(repeats: int, source: random.Random) -> int:
    """Return the delay before a retry: exponential backoff with full jitter."""
    longest_ms = min(BACKOFF_BASE_MS * 2**repeats, BACKOFF_MAX_MS)
    return source.randint(0, longest_ms)
