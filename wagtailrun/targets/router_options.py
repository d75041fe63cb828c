"""Policies of the router that can be switched off."""

import attrs

__all__ = ["RouterOptions"]


@attrs.frozen
class RouterOptions:
    """Policies of the router; each can be switched off to measure its effect.

    Attributes:
        correct_reports: Adds own attempts since the last report to a reported load.
        two_choices: Compares two random targets instead of all.
        affinity: Prefers targets that have the prompt's prefix in their cache.
        throttle_outliers: Reduces the traffic of targets slower than their peers.
        limits: Adapts the concurrency limit of each target.
        local_first: Prefers targets of the entry's own data centre.
        spare_silent: Only probes targets whose first items are overdue or late.
    """

    correct_reports: bool = True
    two_choices: bool = True
    affinity: bool = True
    throttle_outliers: bool = True
    limits: bool = True
    local_first: bool = True
    spare_silent: bool = True
