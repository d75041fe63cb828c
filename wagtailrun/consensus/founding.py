"""Founding of the cluster: the seeds agree on one initial member set.

Single-decree Paxos among the seeds. A value is decided once enough seeds have accepted
it in one ballot; from then on every later ballot carries the same value.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence

import attrs
import curio

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.consensus.cluster_wait import ClusterWait
from wagtailrun.consensus.founding_acceptor import (
    MAX_ROUND,
    WRITE_TIMEOUT_MS,
    WRITES_PER_BALLOT,
    FoundingAcceptor,
    FoundingRequest,
    seed_texts,
)
from wagtailrun.consensus.founding_view import (
    MAY_NOT_FOUND,
    FoundingView,
    SeedStatement,
)
from wagtailrun.consensus.member_state import MemberState
from wagtailrun.consensus.messages import (
    CODEC,
    Configuration,
    Entry,
    EntryKind,
    FoundingAccept,
    FoundingBallot,
    FoundingDecision,
    FoundingPrepare,
    FoundingQuery,
    FoundingRecord,
    FoundingReply,
    FoundingValue,
    MemberInfo,
    name_of,
)
from wagtailrun.consensus.query_pause import ROUND_INTERVAL_MS, QueryPause
from wagtailrun.consensus.state import Role
from wagtailrun.exceptions import PeerUnreachable
from wagtailrun.logs import events
from wagtailrun.ports.link import Address

__all__ = ["Founding", "seed_addresses", "seeds_refusal"]

# Time that seeds which have not answered get, so that seeds that start together are
# all in the initial member set and none has to join afterwards.
ABSENT_SEED_WAIT_MS = 1_000
# Head start of each seed over the next one by name, longer than a ballot among seeds
# that answer, so that two seeds rarely propose at once.
RANK_DELAY_MS = 500
# A ballot that failed is repeated after a random time up to this, so that two proposers
# do not outbid each other for ever.
MAX_BACK_OFF_MS = 1_000
# Once enough seeds have answered, the others get as long again, but at least this. It
# must be less than ``NEXT_MESSAGE_MS`` of the acceptors, which then propose themselves.
MIN_STRAGGLER_MS = 200
# Time in which the founder asks for votes in each round. Members that have just
# started withhold theirs at first.
FIRST_ELECTION_MS = 3_000
FIRST_TERM = 1
# Reasons that a member logs before it keeps to the report of ``ClusterWait``, which has
# the present one each minute. A seed with wrong settings causes one or two; one that
# names other seeds in each answer would fill the log and the memory.
MAX_LOGGED_REFUSALS = 16


def seeds_refusal(
    name: str,
    address: Address,
    seeds: Sequence[tuple[str, Address]],
    may_found_alone: bool,
) -> str:
    """Return why a member must not found a cluster with ``seeds``, empty if it may.

    Args:
        name: Name of the member.
        address: Peer address of the member.
        seeds: Names and addresses of the seeds.
        may_found_alone: Whether the member may be the only seed.
    """
    for position in (0, 1):
        values = [seed[position] for seed in seeds]
        for value in values:
            if values.count(value) > 1:
                return f"the seeds hold {value} more than once"
    own_address = dict(seeds).get(name)
    if own_address is None:
        return ""
    if own_address != address:
        return f"the seeds hold {name} at {own_address}, but it is at {address}"
    if len(seeds) == 1 and not may_found_alone:
        return "the seeds hold this member alone, but losses are to be tolerated"
    return ""


def seed_addresses(record: FoundingRecord) -> dict[str, Address]:
    """Return the addresses of the seeds in ``record`` by name."""
    pairs = (text.rpartition("=") for text in record.seeds)
    return {name: Address.parse(address) for name, _, address in pairs}


class Founding:
    """Founds the cluster with the other seeds while this member has no log.

    Args:
        state: State of the member.
        campaign: Starts an election.
    """

    def __init__(self, state: MemberState, campaign: Callable[[], Awaitable[None]]):
        self.state = state
        self.campaign = campaign
        self.acceptor = FoundingAcceptor(state)
        # Local time since when enough seeds have answered without an obstacle.
        self.ready_since_ms: int | None = None
        self.back_off_until_ms = 0
        # Whether an empty disk gives no permission, whatever the settings say.
        self.is_revoked = False
        self.newest_round = 0
        self._asks_for_votes = False
        # Of a member that may not found, for all addresses; else by address.
        self.pause = QueryPause(state.clock)
        self.pauses_by_address: dict[Address, QueryPause] = {}
        self.refusal = state.founding_refusal
        # A seed with another list may answer now and then.
        self.logged_refusals: set[str] = set()
        self.statements: tuple[SeedStatement, ...] = ()
        self.failures_by_address: dict[Address, str] = {}
        self.cluster_wait = ClusterWait(state, lambda: self.view)

    # Permission

    def new_record(self) -> FoundingRecord:
        """Return the part of this member in founding if its disk is empty."""
        state = self.state
        refused = self.is_revoked or state.founding_refusal
        if refused or state.name not in state.bootstrap:
            return FoundingRecord()
        seeds = seed_texts(state.bootstrap.items())
        return FoundingRecord(seeds, state.founds_by_majority)

    async def open(self) -> None:
        """Take over the seeds of the settings if the disk allows it.

        A permission to found by a majority is bound to the disk that was empty when
        it was given: a member that has lost its disk may have accepted a value.
        """
        state = self.state
        if self.acceptor.has_log:
            return
        self._log_refusal()
        record, new_record = self.acceptor.record, self.new_record()
        if record.by_majority or new_record.by_majority:
            return
        accepted = record.value.cluster
        if new_record.seeds and new_record.seeds != record.seeds and not accepted:
            # The promise stays, as the earlier seeds may be set again.
            record = attrs.evolve(record, seeds=new_record.seeds)
            async with state.lock:
                await self.acceptor.save(record)

    @property
    def needed(self) -> int:
        """Number of seeds that have to accept a value, 0 if this member is no seed."""
        record = self.acceptor.record
        size = len(record.seeds)
        return size // 2 + 1 if record.by_majority and size else size

    @property
    def view(self) -> FoundingView:
        """What this member knows about the founding of its cluster."""
        return FoundingView(
            may_found=bool(self.acceptor.record.seeds) and not self.acceptor.has_log,
            needed=self.needed,
            has_log=self.acceptor.has_log,
            refusal="" if self.acceptor.has_log else self.refusal,
            statements=self.statements,
        )

    # Rounds

    async def run(self) -> None:
        """Found the cluster once enough seeds may, unless this member has a log."""
        replies_by_address: dict[Address, FoundingReply] = {}
        while not self.acceptor.has_log:
            if self._is_query_due():
                replies_by_address = await self.ask_all(self._paused_addresses())
                self._plan_query()
            self.cluster_wait.report()
            await self._adopt_if_known()
            if self._is_due():
                await self._found(replies_by_address)
            await self.state.clock.sleep_ms(ROUND_INTERVAL_MS)

    def _is_query_due(self) -> bool:
        """Whether to ask in this round: always if this member is a seed."""
        return bool(self.acceptor.record.seeds) or self.pause.is_due

    def _plan_query(self) -> None:
        """Set when a member that may not found asks again, only for its reports."""
        self.pause.record(any(not each.identity for each in self.statements))

    def _paused_addresses(self) -> set[Address]:
        """Return the members of a cluster that a seed does not ask in this round.

        They answer requests to join, but no questions, as those of an earlier build.
        Ballots await the answers of other seeds, so these are asked in each round.
        """
        if not self.acceptor.record.seeds:
            return set()
        return {
            address
            for address in self.state.cluster_addresses
            if address in self.pauses_by_address
            and not self.pauses_by_address[address].is_due
        }

    def _plan_queries_by_address(
        self, asked: Iterable[Address], replies: Mapping[Address, FoundingReply]
    ) -> None:
        for address in asked:
            if address in replies:
                self.pauses_by_address.pop(address, None)
            elif address in self.state.cluster_addresses:
                new_pause = QueryPause(self.state.clock)
                pause = self.pauses_by_address.setdefault(address, new_pause)
                pause.record(is_silent=True)

    async def ask_all(
        self, paused: Iterable[Address] = ()
    ) -> dict[Address, FoundingReply]:
        """Ask all seeds but those ``paused`` what they know; keep it for ``view``."""
        state = self.state
        names_by_address = dict.fromkeys(state.peers, "")
        for name, address in seed_addresses(self.acceptor.record).items():
            names_by_address[address] = name
        asked = sorted(names_by_address.keys() - set(paused))
        message = FoundingQuery(state.identity)
        replies = await self.call_all(dict.fromkeys(asked, message))
        self._plan_queries_by_address(asked, replies)
        self.statements = tuple(
            self._statement(name, address, replies.get(address))
            for address, name in sorted(names_by_address.items())
            if address != state.address
        )
        own = replies.pop(state.address, None)
        self._update_refusal(own)
        return replies

    def _statement(
        self, name: str, address: Address, reply: FoundingReply | None
    ) -> SeedStatement:
        record = self.acceptor.record
        if reply is None:
            failure = self.failures_by_address.get(address, "no reply")
            return SeedStatement(name, address, detail="no answer", failure=failure)
        cluster, other_seeds, detail = reply.cluster, False, ""
        if name and name_of(reply.sender) != name:
            # A member of another system, whose log is not the one to join.
            cluster, detail = "", f"answers as {name_of(reply.sender)}"
        elif reply.cluster:
            detail = "has a log"
        elif not reply.record.seeds:
            detail = MAY_NOT_FOUND
        elif record.seeds and reply.record.seeds != record.seeds:
            other_seeds = True
            detail = f"has other seeds: {', '.join(reply.record.seeds)}"
        elif record.by_majority and not reply.record.by_majority:
            detail = "may found only with all seeds"
        return SeedStatement(
            name, address, reply.sender, not detail, cluster, other_seeds, detail
        )

    def _update_refusal(self, own_reply: FoundingReply | None) -> None:
        """Log why this member must not found the cluster, once for each reason."""
        state = self.state
        refusal = state.founding_refusal
        if own_reply is not None and own_reply.sender != state.identity:
            refusal = f"{own_reply.sender} answers at the address of this member"
        for statement in self.statements:
            if statement.other_seeds:
                refusal = f"{statement.address} {statement.detail}"
        self.refusal = refusal
        self._log_refusal()

    def _log_refusal(self) -> None:
        is_new = self.refusal and self.refusal not in self.logged_refusals
        if is_new and len(self.logged_refusals) < MAX_LOGGED_REFUSALS:
            self.logged_refusals.add(self.refusal)
            events.log(
                events.FOUNDING_REFUSED, member=self.state.name, detail=self.refusal
            )

    def _is_due(self) -> bool:
        """Whether this member is to propose an initial member set now.

        A seed that has a log may be in the cluster already, so that this member joins
        there.
        """
        state = self.state
        now_ms = state.clock.now_ms()
        record = self.acceptor.record
        supporters = [s.name for s in self.statements if s.name and s.may_found]
        blocked = (
            self.refusal
            or self.acceptor.cluster
            or any(s.cluster for s in self.statements)
        )
        if blocked or not record.seeds or len(supporters) + 1 < self.needed:
            self.ready_since_ms = None
            return False
        if self.ready_since_ms is None:
            self.ready_since_ms = now_ms
        rank = sum(name < state.name for name in supporters)
        wait_ms = rank * (RANK_DELAY_MS + self.acceptor.write_ms)
        answers = sum(bool(s.name and s.identity) for s in self.statements)
        if answers + 1 < len(record.seeds):
            wait_ms += ABSENT_SEED_WAIT_MS
        due_ms = max(self.ready_since_ms + wait_ms, self.back_off_until_ms)
        return now_ms >= due_ms and not self.acceptor.is_in_ballot

    # Ballots

    async def _found(self, replies_by_address: dict[Address, FoundingReply]) -> None:
        value = await self._decide(replies_by_address)
        if value is None:
            max_ms = MAX_BACK_OFF_MS + WRITES_PER_BALLOT * self.acceptor.write_ms
            back_off_ms = self.state.random.randint(0, max_ms)
            self.back_off_until_ms = self.state.clock.now_ms() + back_off_ms
            return
        await self._adopt(value)
        # Else the decision would be lost with the disk of this member, if no majority
        # is left that may found.
        await self._call_enough(
            {
                info.peer_address: FoundingDecision(info.identity, value)
                for info in value.configuration.members
                if info.identity != self.state.identity
            },
            lambda reply: reply.cluster == value.cluster,
        )
        if self.acceptor.has_log:
            await self.lead_first()

    async def handle_decision(self, message: FoundingDecision) -> FoundingReply:
        """Begin the log with a decided member set; return the state after it."""
        if message.recipient == self.state.identity:
            await self._adopt(message.value)
        return await self.acceptor.handle(FoundingQuery(self.state.identity))

    async def _decide(
        self, replies_by_address: dict[Address, FoundingReply]
    ) -> FoundingValue | None:
        """Run one ballot; return the decided value, None if none was decided."""
        state = self.state
        for reply in replies_by_address.values():
            self._observe(reply)
        self._observe(await self.acceptor.handle(FoundingQuery(state.identity)))
        ballot = FoundingBallot(self.newest_round + 1, state.identity)
        promises = await self._collect_promises(ballot)
        if state.address not in promises or len(promises) < self.needed:
            return None
        value = max(promises.values(), key=lambda reply: reply.record.accepted)
        chosen = value.record.value
        if not chosen.cluster:
            chosen = self._new_value(ballot, promises)
        accepted = await self._collect_acceptances(ballot, chosen, promises)
        return chosen if accepted >= self.needed else None

    async def _collect_promises(
        self, ballot: FoundingBallot
    ) -> dict[Address, FoundingReply]:
        """Return the replies of the seeds that promised ``ballot``, this one included.

        The own promise is durable first, so that a restarted member does not use the
        ballot again.
        """
        state = self.state
        seeds = self.acceptor.record.seeds
        own = await self.acceptor.handle(FoundingPrepare(state.identity, seeds, ballot))
        requests = {
            s.address: FoundingPrepare(s.identity, seeds, ballot)
            for s in self.statements
            if s.name and s.may_found
        }

        def is_promise(reply: FoundingReply) -> bool:
            return not reply.cluster and reply.record.promised == ballot

        others = await self._call_enough(requests, is_promise)
        replies = {state.address: own, **others}
        for reply in replies.values():
            self._observe(reply)
        return {
            address: reply for address, reply in replies.items() if is_promise(reply)
        }

    def _new_value(
        self, ballot: FoundingBallot, promises: dict[Address, FoundingReply]
    ) -> FoundingValue:
        """Return a value of this member: the seeds that promised, all as voters."""
        members = [
            MemberInfo(reply.sender, str(address), voter=True)
            for address, reply in promises.items()
        ]
        members.sort(key=lambda info: info.identity)
        # The identity holds a random incarnation. The round tells this value from
        # those of earlier ballots: a seed that has accepted one of them takes it as
        # decided once it hears the name of its cluster.
        cluster = f"{ballot.proposer}.{ballot.round}"
        return FoundingValue(cluster, Configuration(tuple(members)))

    async def _collect_acceptances(
        self,
        ballot: FoundingBallot,
        value: FoundingValue,
        promises: dict[Address, FoundingReply],
    ) -> int:
        """Return how many seeds accepted ``value``.

        This member accepts last, and only if that decides the value: a value that is
        accepted but not decided names members that may be lost since.
        """
        state = self.state
        seeds = self.acceptor.record.seeds
        requests = {
            address: FoundingAccept(reply.sender, seeds, ballot, value)
            for address, reply in promises.items()
        }
        own_request = requests.pop(state.address)
        replies = await self._call_enough(
            requests, lambda reply: reply.record.accepted == ballot
        )
        accepted = sum(r.record.accepted == ballot for r in replies.values())
        if accepted + 1 >= self.needed:
            own = await self.acceptor.handle(own_request)
            accepted += own.record.accepted == ballot
        return accepted

    def _observe(self, reply: FoundingReply) -> None:
        if reply.record.promised.round < MAX_ROUND:
            self.newest_round = max(self.newest_round, reply.record.promised.round)

    async def _adopt_if_known(self) -> None:
        """Begin the log with the accepted value if it is known to be decided.

        It is where another member names its cluster, which nobody does before the
        decision.
        """
        value = self.acceptor.record.value
        if value.cluster and any(s.cluster == value.cluster for s in self.statements):
            await self._adopt(value)

    async def _adopt(self, value: FoundingValue) -> None:
        """Begin the log with the decided member set, if this member is in it.

        A leader may have sent its entry before.
        """
        state = self.state
        if value.configuration.find(state.identity) is None:
            return
        journal = state.journal
        data = CODEC.encode(value.configuration)
        entry = Entry(1, FIRST_TERM, EntryKind.CONFIGURATION, data)
        async with state.lock:
            record = journal.member_record
            if self.acceptor.has_log or record.cluster not in ("", value.cluster):
                return
            if state.term < FIRST_TERM:
                state.become_follower(FIRST_TERM, None)
            term = max(record.term, FIRST_TERM)
            # Without the value, a member that ends before its next write would count as
            # one of a cluster whose log it has not got. The ballot stays: it must not
            # count as an acceptance of another value.
            founding = attrs.evolve(record.founding, value=value)
            record = attrs.evolve(
                record, cluster=value.cluster, term=term, founding=founding
            )
            await journal.save_record(record)
            await journal.wait_durable(await journal.append([entry]))
        names = [info.name for info in value.configuration.members]
        events.log(events.CLUSTER_FOUNDED, member=state.name, members=names)

    async def lead_first(self) -> None:
        """Ask for votes until there is a leader, for a limited time.

        The election timeout of a member that has run for a while may be far off. One
        task does so at a time: two would ask for votes of different terms.
        """
        if self._asks_for_votes:
            return
        self._asks_for_votes = True
        try:
            await self._ask_for_votes()
        finally:
            self._asks_for_votes = False

    async def _ask_for_votes(self) -> None:
        state = self.state
        end_ms = state.clock.now_ms() + FIRST_ELECTION_MS
        while state.role is not Role.LEADER and state.last_leader_contact_ms is None:
            if state.clock.now_ms() >= end_ms:
                return
            await self.campaign()
            await state.clock.sleep_ms(ROUND_INTERVAL_MS)

    # Calls

    async def call_all(
        self,
        messages_by_address: Mapping[Address, FoundingRequest | FoundingDecision],
    ) -> dict[Address, FoundingReply]:
        """Send all messages at once; return the replies that came by address."""
        replies_by_address: dict[Address, FoundingReply] = {}
        async with curio.TaskGroup() as group:
            for address, message in messages_by_address.items():
                await group.spawn(self._call, address, message, replies_by_address)
        if group.exception is not None:
            raise group.exception
        return replies_by_address

    async def _call_enough(
        self,
        messages_by_address: Mapping[Address, FoundingRequest | FoundingDecision],
        counts: Callable[[FoundingReply], bool],
    ) -> dict[Address, FoundingReply]:
        """Send all messages at once; once enough replies count, wait little for others.

        A seed whose disk hangs answers queries, but no ballot. Waiting for it in each
        ballot gives the others time to outbid this member.

        Args:
            messages_by_address: Messages to other members.
            counts: Whether a reply counts towards the seeds that are needed.
        """
        clock = self.state.clock
        started_ms = clock.now_ms()
        replies_by_address: dict[Address, FoundingReply] = {}
        async with curio.TaskGroup() as group:
            for address, message in messages_by_address.items():
                await group.spawn(self._call, address, message, replies_by_address)
            async for task in group:
                _ = task.result  # Raises the error of a call that failed.
                if sum(map(counts, replies_by_address.values())) + 1 >= self.needed:
                    break
            wait_ms = max(clock.now_ms() - started_ms, MIN_STRAGGLER_MS)
            async with curio.ignore_after(wait_ms / MS_PER_SECOND):
                async for task in group:
                    _ = task.result
            await group.cancel_remaining()
        return replies_by_address

    async def _call(
        self,
        address: Address,
        message: FoundingRequest | FoundingDecision,
        replies_by_address: dict[Address, FoundingReply],
    ) -> None:
        """Send a message; keep the reply, or why there is none."""
        try:
            reply = await self.state.link.call(
                address, message, self._timeout_ms(message)
            )
        except PeerUnreachable as error:
            # Counts as a seed that does not answer.
            self.failures_by_address[address] = str(error)
            return
        if isinstance(reply, FoundingReply):
            replies_by_address[address] = reply
        else:
            self.failures_by_address[address] = f"no control member: {reply}"

    def _timeout_ms(self, message: FoundingRequest | FoundingDecision) -> int:
        is_query = isinstance(message, FoundingQuery)
        return self.state.timing.call_timeout_ms if is_query else WRITE_TIMEOUT_MS
