"""Reports of a member that belongs to no cluster: why, and what would change it."""

from typing import Any

from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import JoinReply, name_of
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

__all__ = ["ClusterWait"]

# Founding and joining take less than 4 s once all members run.
FIRST_REPORT_MS = 5_000
REPORT_INTERVAL_MS = 60_000


class ClusterWait:
    """Collects the answers to join requests until the member has a log.

    Args:
        state: State of the member.
    """

    def __init__(self, state: MemberState):
        self.state = state
        # Replies or failures of the newest round of join requests.
        self.answers_by_address: dict[Address, Any] = {}
        self._next_answers_by_address: dict[Address, Any] = {}
        self._last_report_ms: int | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether this member has no log, of a cluster founded or joined."""
        return self.state.is_open and self.state.journal.last_index == 0

    @property
    def may_found(self) -> bool:
        """Whether this member was started with the permission to found a cluster."""
        return bool(self.state.bootstrap)

    @property
    def detail(self) -> str:
        """What the member waits for, for operators; empty if it has a log."""
        if not self.is_waiting:
            return ""
        return f"{self.state.name} belongs to no cluster: {self._remedy()}"

    def note(self, address: Address, answer: Any) -> None:
        """Record the reply or failure of a join request to ``address``."""
        self._next_answers_by_address[address] = answer

    def end_round(self) -> None:
        """Take over the answers noted since the last call, and report when it is due.

        It is due some seconds after the start and then every minute.
        """
        self.answers_by_address = self._next_answers_by_address
        self._next_answers_by_address = {}
        now_ms = self.state.clock.now_ms()
        if self._last_report_ms is None:
            due_ms = self.state.started_ms + FIRST_REPORT_MS
        else:
            due_ms = self._last_report_ms + REPORT_INTERVAL_MS
        if not self.is_waiting or now_ms < due_ms:
            return
        self._last_report_ms = now_ms
        answers = self.answers_by_address
        events.log(
            events.CLUSTER_AWAITED,
            member=self.state.name,
            waited_ms=now_ms - self.state.started_ms,
            may_found=self._names_with_permission(),
            answers=[f"{at}: {self._describe(answers[at])}" for at in sorted(answers)],
            remedy=self._remedy(),
        )

    def _names_with_permission(self) -> list[str]:
        names = [name_of(reply.identity) for reply in self._replies() if reply.founds]
        return sorted([self.state.name, *names] if self.may_found else names)

    def _replies(self) -> list[JoinReply]:
        answers = self.answers_by_address.values()
        return [answer for answer in answers if isinstance(answer, JoinReply)]

    @staticmethod
    def _describe(answer: Any) -> str:
        if isinstance(answer, PeerUnreachable):
            return f"no answer ({answer})"
        if not isinstance(answer, JoinReply):
            return f"no control member ({answer})"
        name = name_of(answer.identity)
        if _has_unfinished_founding(answer):
            return f"{name} has begun to found cluster {answer.cluster}"
        if answer.cluster:
            return f"{name} belongs to cluster {answer.cluster}"
        permission = "may found one" if answer.founds else "may not found one"
        return f"{name} belongs to no cluster and {permission}"

    def _remedy(self) -> str:
        replies = self._replies()
        clusters = {
            reply.cluster
            for reply in replies
            if reply.cluster and not _has_unfinished_founding(reply)
        }
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
        others = [at for at, a in self.answers_by_address.items() if _is_silent(a)]
        return "; ".join(self._remedies_without_cluster(sorted(map(str, others))))

    def _remedies_without_cluster(self, silent: list[str]) -> list[str]:
        """Return what operators can do if no seed is known to have a cluster."""
        remedies = []
        if silent:
            remedies.append(
                f"start the control members at {', '.join(silent)} or restore the "
                "paths to them: all seeds have to answer before a cluster is founded"
            )
        names = self._names_with_permission()
        if not names:
            remedies.append(
                "no member that answers may found a cluster; if this system never had "
                "one, restart its seeds with the permission (setting founding of "
                "relay control, bootstrap of wagtailrun control)"
            )
        elif not silent:
            remedies.append(
                f"a cluster is to be founded by one of {', '.join(names)}; check that "
                "all members have the same seeds, and the log of that member"
            )
        return remedies


def _is_silent(answer: Any) -> bool:
    return not isinstance(answer, JoinReply)


def _has_unfinished_founding(reply: JoinReply) -> bool:
    """Whether the member ended after it named its cluster and before it had a log."""
    return reply.cluster == reply.identity and not reply.peers
