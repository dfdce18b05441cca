"""Turns the ``[cluster]`` table of the operator's file into the configuration that a node runs with.

The module is imported only if the table is used, so that a node without a cluster starts quickly.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from puffinpost.config import schema
from puffinpost.config.addresses import Address, address_of
from puffinpost.config.errors import ConfigError
from puffinpost.consensus.member_config import MemberConfig

NS_PER_S = 1_000_000_000
VOTER_COUNTS = (1, 3, 5, 7)
# With 40, a voter counts as lost after a quarter of `agree_within_s`, and another one becomes leader well
# before leases expire.
HEARTBEATS_PER_AGREEMENT = 40
UNSPECIFIED: Address = ("", 0)


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """A node's configuration as a cluster member. ``folder`` is None for a follower that stores nothing."""

    member_config: MemberConfig
    listen: Address
    members: dict[str, Address]
    folder: Path | None
    history: Path | None
    clock_rate: float
    replica: schema.Replica
    test_override_folder: Path | None = None


def cluster_config_of(table: schema.Cluster) -> ClusterConfig:
    """Converts the table, independently of which node reads it. Raises ``ConfigError``."""
    _check_voters(table)
    members = {name: address_of(value, f"cluster.members.{name}") for name, value in table.members.items()}
    if len(set(members.values())) < len(members):
        raise ConfigError("cluster.members", "two members have the same address")
    return ClusterConfig(
        _member_config_of(table),
        address_of(table.listen, "cluster.listen") if table.listen else UNSPECIFIED,
        members,
        _optional_path(table.folder),
        _optional_path(table.history),
        table.rehearsal.clock_rate,
        table.replica,
        _optional_path(table.rehearsal.knobs),
    )


def for_node(cluster: ClusterConfig, name: str) -> ClusterConfig:
    """Returns the configuration with which the node of that name runs. Raises ``ConfigError``."""
    name = cluster.member_config.name or name
    if name not in cluster.members:
        raise ConfigError("cluster.members", f"this node, {name}, is not listed")
    if name in cluster.member_config.voters and cluster.folder is None:
        raise ConfigError("cluster.folder", "must be set for a voter")
    listen = cluster.listen if cluster.listen != UNSPECIFIED else cluster.members[name]
    return replace(cluster, member_config=replace(cluster.member_config, name=name), listen=listen)


def _check_voters(table: schema.Cluster) -> None:
    distinct = len(set(table.voters))
    if len(table.voters) not in VOTER_COUNTS or distinct < len(table.voters):
        raise ConfigError("cluster.voters", f"{distinct} distinct names; there must be 1, 3, 5 or 7 voters")
    for name in table.voters:
        if name not in table.members:
            raise ConfigError("cluster.voters", f"{name} is not listed in cluster.members")


def _member_config_of(table: schema.Cluster) -> MemberConfig:
    agree_within_ns = int(table.agree_within_s * NS_PER_S)
    return MemberConfig(
        table.id,
        table.name,
        tuple(table.members),
        tuple(table.voters),
        agree_within_ns,
        agree_within_ns // HEARTBEATS_PER_AGREEMENT,
        table.fanout,
        table.on_lost,
        int(table.decide_within_s * NS_PER_S),
        int(table.stage_for_s * NS_PER_S),
        table.worst_share,
        frozenset(table.rehearsal.faults),
    )


def _optional_path(text: str) -> Path | None:
    return Path(text) if text else None
