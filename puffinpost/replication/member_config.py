"""The configuration of one member: its name, all members, rate limits and intervals.

The driver creates it from the settings; fields without a setting keep their defaults outside of tests.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffinpost.replication.topology import neighbours

MS = 1_000_000
S = 1_000 * MS


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """Durations are in ns unless the name has another unit.

    ``rate_per_peer`` limits the bytes of rows that this node sends to one peer in a second; the limit for all
    peers together is a multiple of it, see `token_bucket`. ``max_message_bytes`` limits the rows in one
    message, which bounds how long other traffic on the link waits.
    """

    name: str
    members: tuple[str, ...]
    rate_per_peer: int = 1024 * 1024
    max_message_bytes: int = 48 * 1024
    tombstone_retention_ms: int = 24 * 3600 * 1000
    announce_delay_ns: int = 20 * MS  # changes within this time are announced together
    announce_interval_ns: int = 100 * MS  # minimum between announcements: messages cost more than rows
    digest_interval_ns: int = 1 * S  # between two digests sent to a random peer
    response_timeout_ns: int = 500 * MS  # before the rows are requested from another peer
    peer_timeout_ns: int = 3 * S  # a peer not heard from for this long gets no announcements
    takeover_delay_ns: int = 1 * S  # a new incarnation catches up for this long before it takes over
    anti_entropy_interval_ns: int = 1 * S  # between comparisons of one replica with a peer's

    def neighbours(self) -> tuple[str, ...]:
        """The members with which this node exchanges messages."""
        return neighbours(self.name, self.members)
