"""Tests of how the load of many targets spreads between entries."""

import itertools

import attrs
import pytest

from bench.gossip_cluster import Cluster
from wagtailrun.gossip import growth as gossip_growth
from wagtailrun.gossip import peers as gossip_peers
from wagtailrun.gossip.growth import GrowthProgress, Source
from wagtailrun.gossip.messages import GossipExchange, unpack_growth
from wagtailrun.targets.table import ChangeLog
from wagtailrun.virtual_time import run_virtual

SETTLE_MS = 9_000
# From the limits of a message, see "Load of targets" in docs/membership.md: an entry
# with 40 of 250 targets sends six of them to each of eight others every two seconds,
# and two shuffled rounds lie up to one round apart.
SPREAD_LIMIT_MS = 20_000


class EarlierProgress(GrowthProgress):
    """Sends as software of before ``GrowthProgress`` did: newest first, by a mark."""

    def select(self, log, limit, is_shared=None, source=None):
        changed = log.changed_since(self.message)
        self.message = log.number
        return list(itertools.islice(changed, limit))

    def record_seen(self, message):
        self.message = message


def log_of(names):
    log = ChangeLog()
    for name in names:
        log.record_change(name)
    return log


async def wait_for_growth(cluster, targets, nodes, limit_ms):
    """Return the ms until ``nodes`` know the present growth of ``targets``, or None."""
    sequences = {target.name: target.sequence for target in targets}

    def known():
        return all(
            node.membership.targets_by_name[name].sequence >= sequence
            for node in nodes
            for name, sequence in sequences.items()
        )

    return await cluster.wait(known, limit_ms)


@pytest.mark.parametrize("seed", range(3))
def test_load_of_all_targets_reaches_all_entries(seed):
    """Guards against targets whose load some entries never hear of.

    All targets change more often than messages to one entry can carry.
    """

    async def main(clock):
        cluster = Cluster(clock, {"east": 9}, 250, seed=seed)
        await cluster.start()
        await clock.sleep_ms(SETTLE_MS)
        return await wait_for_growth(
            cluster, cluster.targets, cluster.live, SPREAD_LIMIT_MS
        )

    assert run_virtual(main) is not None


def test_message_to_another_data_centre_is_filtered_before_it_is_full():
    """Guards against a message filled with targets that are then left out of it."""

    async def main(clock):
        cluster = Cluster(clock, {"east": 1, "west": 1}, 100)
        for target in cluster.targets[2:]:
            target.service = "local"
        await cluster.start()
        await clock.sleep_ms(SETTLE_MS)
        east, west = cluster.live
        for target in cluster.targets:
            target.alive = False
        await clock.sleep_ms(1_000)
        shared, *others = [t for t in cluster.targets if t.centre == "east"]
        for target in (shared, *others):
            target.send()
        row = attrs.evolve(west.gossip.peers.own, name="west-1")
        reply = await east.gossip.handle(GossipExchange(row))
        return shared.sequence, [r.sequence for r in unpack_growth(reply.growth)]

    newest, sent = run_virtual(main)
    assert sent == [newest]


@pytest.mark.parametrize("earlier", ["first half", "second half"])
def test_load_spreads_beside_earlier_software(earlier, monkeypatch):
    """Guards against marks that earlier software does not understand, or gives back.

    What the entries of the present software receive reaches all of the others.
    """

    async def main(clock):
        cluster = Cluster(clock, {"east": 6}, 120)
        await cluster.start()
        half = cluster.live[:3] if earlier == "first half" else cluster.live[3:]
        for node in half:
            monkeypatch.setattr(
                node.gossip.peers, "partner", earlier_partner(node.gossip.peers)
            )
        await clock.sleep_ms(SETTLE_MS)
        present = [node for node in cluster.live if node not in half]
        targets = [t for t in cluster.targets if t.announced_to in present]
        assert targets
        elapsed_ms = await wait_for_growth(
            cluster, targets, cluster.live, SPREAD_LIMIT_MS
        )
        names = {target.name for target in cluster.targets}
        now_ms = clock.now_ms()
        assert all(node.usable_names(now_ms) == names for node in cluster.live)
        return elapsed_ms

    assert run_virtual(main) is not None


def earlier_partner(peers):
    """Return a ``PeerTable.partner`` whose partners are sent growth as before."""

    def partner(row):
        found = gossip_peers.PeerTable.partner(peers, row)
        if not isinstance(found.growth, EarlierProgress):
            found.growth = EarlierProgress()
        return found

    return partner


def test_no_target_waits_while_all_change():
    """Guards against the same few targets in each message, whatever changes when."""
    names = [f"t{number}" for number in range(50)]
    log, progress = log_of(names), GrowthProgress()
    sent = set()
    for _ in range(5):
        sent.update(progress.select(log, 10))
        for name in names:
            log.record_change(name)
    assert sent == set(names)


def test_targets_that_may_not_be_sent_take_no_place():
    """Guards against a message that is filled first and filtered then."""
    log = log_of([f"t{number}" for number in range(50)])
    selected = GrowthProgress().select(log, 10, lambda name: name in ("t3", "t4"))
    assert selected == ["t3", "t4"]


def test_targets_of_other_entries_have_a_share():
    """Guards against load that ends where the path of one entry is cut."""
    sources = {f"t{number}": Source.ANNOUNCED for number in range(40)}
    sources |= {f"t{number}": Source.GOSSIP for number in range(40, 45)}
    sources |= {f"t{number}": Source.WATCHED for number in range(45, 50)}
    log, progress = log_of(sources), GrowthProgress()
    share = 10 // gossip_growth.OTHERS_SHARE
    selected = progress.select(log, 10, source=sources.get)
    assert [sources[name] for name in selected] == (
        [Source.ANNOUNCED] * (10 - share) + [Source.WATCHED] * share
    )
    # Without announced ones the whole message is used.
    others = [name for name in sources if sources[name] != Source.ANNOUNCED]
    selected = progress.select(log_of(others), 8, source=sources.get)
    assert len(selected) == 8


def test_records_of_a_lost_message_are_sent_again():
    """Guards against records that count as sent although the message was lost."""
    log, progress = log_of(["t1", "t2", "t3"]), GrowthProgress()
    assert progress.select(log, 2) == ["t1", "t2"]
    progress.record_seen(progress.message)
    assert progress.select(log, 2) == ["t3"]
    progress.record_seen(progress.message - 1)
    assert progress.select(log, 2) == ["t3"]
    # The partner started again and has none.
    progress.record_seen(0)
    assert progress.select(log, 3) == ["t1", "t2", "t3"]


def test_dropped_targets_are_forgotten():
    """Guards against memory that grows with all targets that ever existed."""
    log, progress = log_of(["t1", "t2"]), GrowthProgress()
    progress.select(log, 2)
    log.drop("t1")
    progress.select(log, 2)
    assert set(progress.sent_by_name) == {"t2"}
    assert set(progress.attempts_by_name) == {"t2"}


@pytest.mark.parametrize("seen", ["none", "first"])
def test_lost_messages_carry_all_targets_in_turn(seen):
    """Guards against the same few targets in each message to a partner without news."""
    names = [f"t{number:02}" for number in range(50)]
    log, progress = log_of(names), GrowthProgress()
    progress.select(log, 10)
    progress.record_seen(1)
    sent = []
    for _ in range(10):
        sent += progress.select(log, 10)
        progress.record_seen(0 if seen == "none" else 1)
        for name in names:
            log.record_change(name)
    assert all(sent.count(name) == 2 for name in names)


def test_lost_message_before_one_that_arrives_is_repeated():
    """Guards against a lost reply that counts as received with the next request."""
    log, progress = log_of(["t1", "t2", "t3"]), GrowthProgress()
    assert progress.select(log, 1) == ["t1"]
    reply = progress.message
    assert progress.select(log, 1) == ["t2"]
    progress.record_received(progress.message)
    progress.record_seen(reply + 1)
    assert progress.select(log, 3) == ["t3", "t1"]


def test_all_messages_after_the_newest_one_received_are_repeated():
    """Guards against lost messages of which only the newest one is repeated."""
    log, progress = log_of(["t1", "t2", "t3"]), GrowthProgress()
    for _ in range(3):
        progress.select(log, 1)
    progress.record_seen(1)
    assert progress.select(log, 3) == ["t2", "t3"]


def test_record_sent_again_is_not_repeated_for_an_earlier_lost_message():
    """Guards against records that a later message has brought already."""
    log, progress = log_of(["t1"]), GrowthProgress()
    progress.select(log, 1)
    log.record_change("t1")
    progress.select(log, 1)
    progress.record_received(2)
    progress.record_lost(1)
    assert progress.select(log, 1) == []


def test_messages_beyond_the_bound_count_as_lost():
    """Guards against memory that grows with the messages to a silent partner."""
    bound = gossip_growth.UNACKNOWLEDGED_MESSAGES
    names = [f"t{number}" for number in range(bound + 1)]
    log, progress = log_of(names), GrowthProgress()
    for _ in names:
        progress.select(log, 1)
    assert len(progress.names_by_message) == bound
    assert progress.select(log, 1) == [names[0]]


@pytest.mark.parametrize("limit", [1, 3, 7])
def test_short_messages_keep_the_share_of_other_entries(limit):
    """Guards against load that ends where the only path is by a busy entry."""
    sources = {f"t{number}": Source.ANNOUNCED for number in range(40)}
    sources |= {f"t{number}": Source.GOSSIP for number in range(40, 50)}
    log, progress = log_of(sources), GrowthProgress()
    sent = []
    for _ in range(50):
        sent += progress.select(log, limit, source=sources.get)
        progress.record_received(progress.message)
        for name in sources:
            log.record_change(name)
    assert len(sent) == 50 * limit
    others = [name for name in sent if sources[name] == Source.GOSSIP]
    assert len(others) == 50 * limit // gossip_growth.OTHERS_SHARE
