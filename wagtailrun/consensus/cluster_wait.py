"""Reports of a member that belongs to no cluster: why, and what would change it."""

from collections.abc import Callable

from wagtailrun.consensus.founding_view import (
    MAY_NOT_FOUND,
    FoundingView,
    SeedStatement,
)
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import name_of
from wagtailrun.logs import events

__all__ = ["ClusterWait"]

# Founding and joining take less than 4 s once all members run.
FIRST_REPORT_MS = 5_000
REPORT_INTERVAL_MS = 60_000


class ClusterWait:
    """Says why a member has no log, by what is known about the founding.

    Args:
        state: State of the member.
        view: Returns what the member knows about the founding.
    """

    def __init__(self, state: MemberState, view: Callable[[], FoundingView]):
        self.state = state
        self.view = view
        self._last_report_ms: int | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether this member has no log, of a cluster founded or joined."""
        return self.state.is_open and self.state.journal.last_index == 0

    @property
    def detail(self) -> str:
        """What the member waits for, for operators; empty if it has a log."""
        if not self.is_waiting:
            return ""
        return f"{self.state.name} belongs to no cluster: {self._remedy(self.view())}"

    def report(self) -> None:
        """Log what the member waits for when it is due, if it has no log.

        It is due some seconds after the start and then every minute.
        """
        now_ms = self.state.clock.now_ms()
        if self._last_report_ms is None:
            due_ms = self.state.started_ms + FIRST_REPORT_MS
        else:
            due_ms = self._last_report_ms + REPORT_INTERVAL_MS
        if not self.is_waiting or now_ms < due_ms:
            return
        self._last_report_ms = now_ms
        view = self.view()
        events.log(
            events.CLUSTER_AWAITED,
            member=self.state.name,
            waited_ms=now_ms - self.state.started_ms,
            may_found=self._names_with_permission(view),
            answers=[f"{s.address}: {_describe(s)}" for s in view.statements],
            remedy=self._remedy(view),
        )

    def _names_with_permission(self, view: FoundingView) -> list[str]:
        names = [name_of(s.identity) for s in view.statements if s.may_found]
        return sorted([self.state.name, *names] if view.may_found else names)

    def _remedy(self, view: FoundingView) -> str:
        clusters = {s.cluster for s in view.statements if s.cluster}
        if len(clusters) > 1:
            return (
                f"the seeds belong to different clusters, {sorted(clusters)}; correct "
                "the settings, so that all seeds are of one system"
            )
        if clusters:
            return (
                f"the leader of cluster {clusters.pop()} has to admit this member; if "
                "that takes more than seconds, check that a majority of its members "
                "is running, and that the cluster is the one that this member is for"
            )
        return "; ".join(self._remedies_without_cluster(view))

    def _remedies_without_cluster(self, view: FoundingView) -> list[str]:
        """Return what operators can do if no seed is known to have a cluster."""
        remedies = []
        if view.refusal:
            remedies.append(f"this member founds no cluster, as {view.refusal}")
        silent = [str(s.address) for s in view.statements if not s.identity]
        if silent:
            remedies.append(
                f"start the control members at {', '.join(silent)} or restore the "
                "paths to them"
            )
        names = self._names_with_permission(view)
        if not names or not (silent or self._are_enough(names, view)):
            # Not "restart them with the permission to found": seeds that lost their
            # disks would found a second cluster.
            remedies.append(
                f"{'too few members' if names else 'no member that answers'} may found "
                "a cluster; start the members that have the log of this system, and "
                "only if it never had one, order one of its seeds to found it with "
                "wagtailrun found (relay control), or start them with the setting "
                "bootstrap (wagtailrun control)"
            )
        elif not silent:
            remedies.append(
                f"a cluster is to be founded by {', '.join(names)}; check that all "
                "members have the same seeds, and the logs of these members"
            )
        if view.needed:
            remedies.append(f"{view.needed} seeds that may found one have to agree")
        return remedies

    @staticmethod
    def _are_enough(names: list[str], view: FoundingView) -> bool:
        # A member without permission does not know how many have to agree; without
        # seeds that found the cluster with all, it is a majority.
        seeds = len(view.statements) + 1
        return len(names) >= (view.needed or seeds // 2 + 1)


def _describe(statement: SeedStatement) -> str:
    if statement.failure:
        return f"no answer ({statement.failure})"
    name = name_of(statement.identity)
    if statement.cluster:
        return f"{name} belongs to cluster {statement.cluster}"
    permission = "may found one" if statement.may_found else "may not found one"
    described = f"{name} belongs to no cluster and {permission}"
    # The detail of a member without permission says nothing else.
    if statement.may_found or statement.detail == MAY_NOT_FOUND:
        return described
    return f"{described} with this member: {statement.detail}"
