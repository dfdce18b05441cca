"""Replicated state without sockets: merging, catch-up and repair, and random faults on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import permutations
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffinpost.emulator.mesh import virtual_replication as virtual
from puffinpost.emulator.mesh.replication_faults import (
    ReplicationFaultProfile,
    ReplicationRun,
    play_replication_faults,
)
from puffinpost.emulator.mesh.virtual_replication import MS, S, VirtualReplicaCluster
from puffinpost.replication import catch_up, gossip, merge, repair, replica_set, row_values
from puffinpost.replication import range_checksum as ranges
from puffinpost.replication.hybrid_clock import MAX_CLOCK_OFFSET_MS, HybridClock, Timestamp
from puffinpost.replication.member import Member
from puffinpost.replication.messages import Message, ReplicaPosition, RowChunk, RowsResend, RowsResponse
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.row_values import (
    BAN,
    ENDPOINT_OBSERVATION,
    TENANT_USAGE,
    Ban,
    EndpointObservation,
    TenantUsage,
)
from puffinpost.replication.rows import Origin, Row, create_row
from puffinpost.replication.topology import neighbours

SEEDS = 2000
SHARDS = 8
ORIGINS = [Origin("a", 1), Origin("a", 2), Origin("b", 1), Origin("c", 1)]


def empty_replicas() -> ReplicaSet:
    return ReplicaSet(lambda row: True, lambda counter: None)


# --- properties ---------------------------------------------------------------------------------------

WRITES = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from([BAN, ENDPOINT_OBSERVATION, TENANT_USAGE, "of a newer version"]),
        st.sampled_from("xyz"),
        st.integers(0, 9),
        st.booleans(),
    ),
    max_size=24,
)


def rows_by_origin(writes: list[tuple[int, str, str, int, bool]]) -> dict[Origin, list[Row]]:
    """The rows that each origin writes, in order."""
    written: dict[Origin, list[Row]] = {}
    for index, kind, key, physical_ms, is_tombstone in writes:
        rows = written.setdefault(ORIGINS[index], [])
        value = None if is_tombstone else row_values.encode_value(Ban(physical_ms + 1, kind))
        timestamp = Timestamp(physical_ms, len(rows), ORIGINS[index].node)
        rows.append(create_row(ORIGINS[index], len(rows) + 1, kind, key, timestamp, value))
    return written


@settings(max_examples=150, deadline=None)
@given(WRITES, st.randoms())
def test_replicas_converge_when_chunks_arrive_out_of_order_or_twice(
    writes: list[tuple[int, str, str, int, bool]], rng: random.Random
) -> None:
    written = rows_by_origin(writes)
    contents = set()
    for _ in range(3):
        local = empty_replicas()
        for _ in range(12):  # overlapping, duplicated and reordered chunks; then complete ones
            for origin, rows in written.items():
                after = rng.randrange(len(rows) + 1)
                through = rng.randint(after, len(rows))
                catch_up.apply_chunk(local, RowChunk(origin, after, through, 0, rows[after:through]))
        for origin, rows in written.items():
            catch_up.apply_chunk(local, RowChunk(origin, 0, len(rows), 0, rows))
        contents.add(
            tuple(
                sorted(
                    (replica_origin, row.sequence)
                    for replica_origin, replica in local.by_origin.items()
                    for row in replica.rows_by_sequence.values()
                )
            )
        )
        for key in "xyz":
            bans = local.rows_at(BAN, key)
            for reordered in permutations(bans.items()):
                assert merge.effective_ban(dict(reordered)) == merge.effective_ban(bans)
                assert merge.merge_observations(dict(reordered), "c", 0, 9) == merge.merge_observations(
                    bans, "c", 0, 9
                )
    assert len(contents) == 1


def test_last_write_wins_and_equal_clock_readings_are_ordered_by_node_name() -> None:
    rows = {
        ORIGINS[0]: create_row(
            ORIGINS[0], 1, BAN, "s", Timestamp(5, 0, "a"), row_values.encode_value(Ban(7))
        ),
        ORIGINS[2]: create_row(
            ORIGINS[2], 1, BAN, "s", Timestamp(5, 0, "b"), row_values.encode_value(Ban(0))
        ),
    }
    assert merge.has_conflict(rows) and not merge.has_conflict(dict([*rows.items()][:1]))
    assert merge.effective_ban(rows) is None  # b lifts the ban, and b sorts after a
    rows[ORIGINS[3]] = create_row(
        ORIGINS[3], 1, BAN, "s", Timestamp(5, 1, "c"), row_values.encode_value(Ban(9, "c"))
    )
    assert merge.effective_ban(rows) == Ban(9, "c")


def test_hybrid_clock_is_monotonic_and_rejects_timestamps_too_far_ahead() -> None:
    wall_clock_ms = [1_000_000]
    clock = HybridClock("a", lambda: wall_clock_ms[0])
    first = clock.now()
    wall_clock_ms[0] -= 500_000
    assert clock.now() > first
    latest = Timestamp(wall_clock_ms[0] + 2 * MAX_CLOCK_OFFSET_MS, 0, "b")
    assert clock.is_plausible(latest) and not clock.is_plausible(
        msgspec.structs.replace(latest, physical_ms=latest.physical_ms + 1)
    )
    clock.observe(latest)
    assert clock.now() > latest


def observation_row(
    node: str, capacity: float, ejected_ms: int, written_ms: int, started_ns: int = 1
) -> tuple[Origin, Row]:
    origin = Origin(node, 1)
    value = row_values.encode_value(
        EndpointObservation(started_ns, capacity, ejected_ms, ejected_ms > 0, 10.0)
    )
    return origin, create_row(origin, 1, ENDPOINT_OBSERVATION, "s", Timestamp(written_ms, 0, node), value)


def test_merged_capacity_is_weighted_by_age_and_faults_need_a_majority() -> None:
    rows = dict(
        [
            observation_row("a", 10.0, 900, 100_000),
            observation_row("b", 40.0, 500, 100_000 - merge.CAPACITY_HALF_LIFE_MS),
        ]
    )
    merged = merge.merge_observations(rows, "me", 1, 100_000)
    # An observation that is one half-life newer has twice the weight.
    assert merged.connection_capacity == pytest.approx(20.0)
    assert merged.ejected_ms == 0  # one observation is too old, and a single one is no majority
    rows = dict(
        [
            observation_row("a", 0, 900, 100_000),
            observation_row("b", 0, 500, 100_000),
            observation_row("c", 0, 0, 100_000),
        ]
    )
    assert (
        merge.merge_observations(rows, "me", 1, 100_100).ejected_ms == 400
        and merge.merge_observations(rows, "me", 1, 100_100).stalled
    )
    assert (
        merge.merge_observations(rows, "a", 1, 100_100).ejected_ms == 0
    )  # a node's own observation is left out
    # A restart of the endpoint's process invalidates its faults, but not its capacity.
    assert merge.merge_observations(rows, "me", 2, 100_100).ejected_ms == 0
    assert (
        merge.merge_observations(
            dict([observation_row("a", 7.0, 0, 0, started_ns=9)]), "me", 1, 0
        ).connection_capacity
        == 7.0
    )


def test_tenant_usage_is_summed_and_extrapolated_to_nodes_that_did_not_report() -> None:
    rows = {
        origin: create_row(
            origin,
            1,
            TENANT_USAGE,
            origin.node,
            Timestamp(1, 0, origin.node),
            row_values.encode_value(TenantUsage((in_flight, 1))),
        )
        for origin, in_flight in ((ORIGINS[0], 99), (ORIGINS[1], 4), (ORIGINS[2], 8))
    }
    live_origins = {ORIGINS[1], ORIGINS[2]}
    # The earlier incarnation of node a no longer counts.
    assert merge.merge_tenant_usage(rows, "me", live_origins, 3) == ((12.0, 2.0), 2)
    assert merge.merge_tenant_usage(rows, "me", {ORIGINS[2]}, 3) == ((16.0, 2.0), 1)
    assert merge.merge_tenant_usage(rows, "me", set(), 3) == ((), 0)


# --- replicas -----------------------------------------------------------------------------------------


def replicas_with_rows(count: int, origin: Origin = ORIGINS[0]) -> ReplicaSet:
    replicas = empty_replicas()
    for number in range(1, count + 1):
        replicas.append(
            origin,
            create_row(
                origin, number, ENDPOINT_OBSERVATION, f"s-{number}", Timestamp(number, 0, "a"), b"\x01"
            ),
        )
    return replicas


def test_anti_entropy_repairs_10_missing_rows_of_100_000_and_sends_less_than_100_000_bytes() -> None:
    cluster = VirtualReplicaCluster(1, 2)
    intact, incomplete = (cluster.nodes[name] for name in cluster.names)
    assert intact.member is not None and incomplete.member is not None
    origin = Origin("x", 1)
    source = replicas_with_rows(100_000, origin)
    for member in (intact.member, incomplete.member):
        for row in source.by_origin[origin].rows_by_sequence.values():
            member.replicas.append(origin, row)
        member.take_output()
    replica = incomplete.member.replicas.by_origin[origin]
    for sequence in random.Random(1).sample(range(1, 100_001), 10):
        incomplete.member.replicas.remove_row(origin, replica, sequence)
    cluster.bytes_sent.clear()
    assert cluster.run_until(lambda: len(replica.rows) == 100_000, 60 * S) is not None
    assert cluster.counts["replica_mended"] == 10
    assert sum(cluster.bytes_sent.values()) < 100_000  # all rows together have about six million bytes


def test_a_replica_behind_the_tombstone_floor_is_pruned_by_live_sequences() -> None:
    remote, local = replicas_with_rows(50), empty_replicas()
    origin = ORIGINS[0]
    missing = catch_up.missing_rows(local, remote.position(origin))
    assert missing is not None and catch_up.apply_chunk(
        local, catch_up.read_chunk(remote, missing, 10**6) or RowChunk(origin, 0, 0, 0, [])
    )
    for number in range(10, 40):  # these rows are deleted; their tombstones are discarded below
        remote.append(
            origin,
            create_row(
                origin,
                41 + number,
                ENDPOINT_OBSERVATION,
                f"s-{number}",
                Timestamp(100 + number, 0, "a"),
                None,
            ),
        )
    remote.append(
        origin, create_row(origin, 81, ENDPOINT_OBSERVATION, "s-1", Timestamp(200, 0, "a"), b"\x02")
    )
    assert remote.discard_tombstones(origin, 200) == 30
    chunk_count = 0
    while (missing := catch_up.missing_rows(local, remote.position(origin))) is not None and chunk_count < 50:
        chunk_count += 1
        chunk = catch_up.read_chunk(remote, missing, 20)  # small chunks: pruning resumes after each
        assert chunk is not None and catch_up.apply_chunk(local, chunk)
    assert 4 <= chunk_count < 50
    assert {row.sequence for row in local.by_origin[origin].rows_by_sequence.values()} == {
        row.sequence for row in remote.by_origin[origin].rows_by_sequence.values()
    }
    assert local.position(origin) == remote.position(origin)


def test_a_row_damaged_on_disk_is_not_served_and_is_repaired() -> None:
    remote, local = replicas_with_rows(20), empty_replicas()
    origin = ORIGINS[0]
    rows = [(origin, row) for row in remote.by_origin[origin].rows_by_sequence.values()]
    rows[6] = (origin, msgspec.structs.replace(rows[6][1], key="other"))
    local.load([remote.position(origin)], rows)
    assert local.position(origin).sequence == 6 and repair.damaged_rows(local) == {origin: {7}}
    missing = catch_up.missing_rows(empty_replicas(), local.position(origin))
    chunk = catch_up.read_chunk(local, missing, 10**6) if missing is not None else None
    assert chunk is not None and [row.sequence for row in chunk.rows] == [1, 2, 3, 4, 5, 6]
    assert (
        repair.apply_resend(
            local, RowsResend(remote.position(origin), [7], [remote.by_origin[origin].rows_by_sequence[7]])
        )
        == 1
    )
    assert local.position(origin) == remote.position(origin)


def test_range_checksums_locate_a_missing_row() -> None:
    local, remote = (
        replicas_with_rows(1000).by_origin[ORIGINS[0]],
        replicas_with_rows(1000).by_origin[ORIGINS[0]],
    )
    assert (
        ranges.differing_ranges(local, ranges.split_range(remote, ranges.checksum_range(remote, 0, 1000)))
        == []
    )
    remote.remove(500)
    ((remote_range, local_range),) = ranges.differing_ranges(
        local, ranges.split_range(remote, ranges.checksum_range(remote, 0, 1000))
    )
    assert (
        remote_range.after < 500 <= remote_range.through
        and local_range.row_count == remote_range.row_count + 1
    )


@pytest.mark.parametrize("size", [1, 2, 5, 60, 200])
def test_neighbours_are_mutual_and_their_number_and_the_hops_to_any_node_are_logarithmic(size: int) -> None:
    names = [f"n{number}" for number in range(size)]
    neighbours_of = {name: set(neighbours(name, names)) for name in names}
    assert all(name in neighbours_of[peer] for name, peers in neighbours_of.items() for peer in peers)
    assert all(len(peers) <= 2 * max(1, size - 1).bit_length() for peers in neighbours_of.values())
    reached, hops = {names[0]}, 0
    while len(reached) < size:
        reached |= {peer for name in reached for peer in neighbours_of[name]}
        hops += 1
    assert hops <= max(1, size).bit_length()


# --- random faults ------------------------------------------------------------------------------------


def runs_with_violations(seeds: range, profile: ReplicationFaultProfile) -> list[ReplicationRun]:
    return [run for run in (play_replication_faults(seed, profile) for seed in seeds) if run.violations]


@pytest.mark.parametrize("shard", range(SHARDS))
def test_replicas_converge_after_random_faults_without_lost_or_revived_writes(shard: int) -> None:
    size = SEEDS // SHARDS
    assert runs_with_violations(range(shard * size, (shard + 1) * size), ReplicationFaultProfile()) == []


def test_replicas_converge_after_random_faults_with_12_nodes_or_short_tombstone_retention() -> None:
    assert runs_with_violations(range(40), ReplicationFaultProfile(nodes=12, faults=10, writes=120)) == []
    assert runs_with_violations(range(150), ReplicationFaultProfile(tombstone_ms=1500)) == []


def test_a_write_reaches_120_nodes_within_3_s_with_a_third_of_the_links_cut() -> None:
    cluster = VirtualReplicaCluster(7, 120)
    cluster.run(3 * S)
    links = [
        (name, peer) for name in cluster.names for peer in neighbours(name, cluster.names) if name < peer
    ]
    for name, peer in cluster.rng.sample(links, len(links) // 3):
        cluster.cut_links |= {(name, peer), (peer, name)}
    cluster.write(cluster.names[0], BAN, "s-1", Ban(5))
    elapsed_ns = cluster.run_until(
        lambda: all(member.replicas.rows_at(BAN, "s-1") for member in cluster.members()), 10 * S
    )
    assert elapsed_ns is not None and elapsed_ns < 3 * S


class ReusedIncarnation(Member):
    """A planted defect: a restarted node keeps the incarnation number of the previous start."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        earlier = [
            origin.incarnation for origin in self.replicas.by_origin if origin.node == self.config.name
        ]
        if earlier:
            self.writer.origin = Origin(self.config.name, max(earlier))
            self.incarnations.renumbered = True


def first_write(rows: dict[Origin, Row]) -> tuple[Origin, Row] | None:
    written = ((origin, row) for origin, row in rows.items() if row.value is not None)
    return min(written, key=lambda each: each[1].timestamp, default=None)


PLANTED_DEFECTS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "damaged rows are accepted": lambda patch: patch.setattr(
        replica_set, "is_intact", lambda origin, row: True
    ),
    "an incarnation number is reused": lambda patch: patch.setattr(virtual, "Member", ReusedIncarnation),
    "no digests are sent": lambda patch: patch.setattr(
        gossip.Gossip, "_send_digest", lambda self: setattr(self, "digest_at", self.now_ns + S)
    ),
    "the first writer wins": lambda patch: patch.setattr(merge, "last_write", first_write),
}


@pytest.mark.parametrize("fault", PLANTED_DEFECTS.values(), ids=PLANTED_DEFECTS.keys())
def test_random_faults_reveal_a_planted_defect(
    fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    assert any(play_replication_faults(seed, ReplicationFaultProfile()).violations for seed in range(150))


# --- scenarios ----------------------------------------------------------------------------------------


def test_an_unreachable_neighbour_leaves_no_messages_queued_and_does_not_delay_other_nodes() -> None:
    cluster = VirtualReplicaCluster(3, 5)
    cluster.run(3 * S)
    unreachable = cluster.names[4]
    cluster.cut_links = {(unreachable, name) for name in cluster.names} | {
        (name, unreachable) for name in cluster.names
    }
    sent_before = cluster.messages_sent.total()
    for number in range(400):
        cluster.write(
            cluster.names[0],
            ENDPOINT_OBSERVATION,
            f"s-{number}",
            EndpointObservation(1, float(number), 0, False, 1.0),
        )
        cluster.run(20 * MS)
    reachable = [member for member in cluster.members() if member.config.name != unreachable]
    assert (
        cluster.run_until(
            lambda: len({VirtualReplicaCluster.fingerprint(member) for member in reachable}) == 1, S
        )
        is not None
    )
    assert all(
        len(member.gossip.outbox) == 0 and member.gossip.row_server.peers[unreachable].pending_request is None
        for member in reachable
    )
    assert cluster.messages_sent.total() - sent_before < 400 * 4 * 4


def test_an_incarnation_stops_writing_when_a_later_one_of_its_node_appears() -> None:
    cluster = VirtualReplicaCluster(4, 4)
    cluster.run(3 * S)
    member = cluster.nodes[cluster.names[0]].member
    assert member is not None and member.has_taken_over
    later = ReplicaPosition(Origin(cluster.names[0], member.origin.incarnation + 5), 3, 0)
    member.incarnations.on_positions([later])
    member.write(BAN, "s-1", Ban(5))
    assert (
        member.is_read_only
        and cluster.counts["replica_same_name"] == 1
        and not member.replicas.rows_at(BAN, "s-1")
    )


def test_writes_with_a_clock_one_minute_ahead_are_rejected_until_their_timestamp_is_plausible() -> None:
    cluster = VirtualReplicaCluster(5, 5)
    cluster.run(3 * S)
    cluster.nodes[cluster.names[0]].clock_offset_ms = 60_000
    cluster.write(cluster.names[0], BAN, "s-1", Ban(5, "ahead"))
    cluster.write(cluster.names[1], BAN, "s-1", Ban(0, "now"))
    cluster.run(5 * S)
    others = cluster.members()[1:]
    assert (
        all(len(member.replicas.rows_at(BAN, "s-1")) == 1 for member in others)
        and cluster.counts["replica_ahead"] > 0
    )
    assert cluster.run_until(cluster.replicas_equal, 60 * S) is not None
    # All members have both writes now, and agree on the last one.
    assert all(
        merge.effective_ban(member.replicas.rows_at(BAN, "s-1")) == Ban(5, "ahead")
        for member in cluster.members()
    )


def test_rows_corrupted_on_a_link_are_rejected_and_requested_again() -> None:
    cluster = VirtualReplicaCluster(6, 5)
    cluster.run(3 * S)

    def corrupt_rows(message: Message) -> Message:
        if not isinstance(message, RowsResponse):
            return message
        return RowsResponse(
            [
                msgspec.structs.replace(
                    chunk,
                    rows=[msgspec.structs.replace(row, checksum=row.checksum ^ 1) for row in chunk.rows],
                )
                for chunk in message.chunks
            ]
        )

    cluster.transform = corrupt_rows
    cluster.write(cluster.names[0], BAN, "s-1", Ban(5))
    cluster.run(2 * S)
    assert cluster.counts["replica_damaged"] > 0 and not any(
        member.replicas.rows_at(BAN, "s-1") for member in cluster.members()[1:]
    )
    cluster.transform = lambda message: message
    assert cluster.run_until(cluster.replicas_equal, 3 * S) is not None


def test_catch_up_is_rate_limited_and_resumes_after_a_restart() -> None:
    cluster = VirtualReplicaCluster(8, 2, rate_per_peer=100_000)
    cluster.run(3 * S)
    writer, reader = cluster.names
    for number in range(4000):
        cluster.write(
            writer,
            ENDPOINT_OBSERVATION,
            f"s-{number}",
            EndpointObservation(1, float(number), 0, False, 1.0),
        )
    sent_before = cluster.bytes_sent[writer]
    cluster.run(S)
    assert cluster.bytes_sent[writer] - sent_before < 250_000
    member = cluster.nodes[reader].member
    assert member is not None
    row_count = member.replicas.row_count()
    assert 500 < row_count < 3500
    cluster.kill(reader)
    cluster.run(S)
    restarted = cluster.start(reader)
    assert restarted.replicas.row_count() >= row_count * 0.8  # received rows are not requested again
    assert cluster.run_until(cluster.replicas_equal, 20 * S) is not None
