"""What a dispatcher shares with its attempts and retries."""

import random
from abc import ABC, abstractmethod
from collections import Counter

import attrs

from wagtailrun.clock import Clock
from wagtailrun.ports.target import TargetClient
from wagtailrun.serving.admission import Admission
from wagtailrun.serving.dispatch_options import DispatchOptions
from wagtailrun.serving.path_probes import PathProber, Probe
from wagtailrun.targets.attempt_observer import AttemptObserver
from wagtailrun.targets.decisions import NO_DECISIONS, DecisionLog
from wagtailrun.targets.estimates import Estimates
from wagtailrun.targets.retries import RedirectLimit, RetryBudget
from wagtailrun.targets.routing import Router
from wagtailrun.targets.table import TargetRow
from wagtailrun.targets.work import Work

__all__ = ["DispatchContext", "Probe", "TargetSource"]


@attrs.define(eq=False, kw_only=True)
class DispatchContext:
    """Components, policies and counters of a dispatcher.

    Attributes:
        clock: Clock.
        client: Sends attempts to targets.
        router: Chooses targets.
        estimates: Recent distributions of stages.
        admission: Admits work to targets.
        probe: Returns whether a target responds on a new connection; without it, a
            stalled target counts as unreachable.
        prober: Probes targets that could not be reached; None if the router does not
            heed that.
        observer: Notified of attempts.
        random: Source of the delays before retries.
        options: Policies that are enabled.
        budget: Limits retries and hedges.
        redirects: Limits attempts that follow one without a connection.
        decisions: Is told the decisions about requests.
        counts: Number of attempts by kind: "first", "hedge", "retry" after an attempt
            that was sent, and "redirect" after one that was not sent.
    """

    clock: Clock
    client: TargetClient
    router: Router
    estimates: Estimates
    admission: Admission
    probe: Probe | None
    prober: PathProber | None
    observer: AttemptObserver
    random: random.Random
    options: DispatchOptions
    budget: RetryBudget
    redirects: RedirectLimit
    decisions: DecisionLog = NO_DECISIONS
    counts: Counter[str] = attrs.Factory(Counter)


class TargetSource(ABC):
    """Finds the targets for attempts."""

    @abstractmethod
    def choose(self, work: Work, avoid: set[str]) -> TargetRow | None:
        """Return the target for an attempt, or None if none has room.

        Args:
            work: Work to run.
            avoid: Names of targets that are chosen only if there is no other.
        """

    @abstractmethod
    def usable_targets(self, work: Work) -> list[TargetRow]:
        """Return the targets that may receive an attempt of ``work``."""
