"""Answers peers' requests for rows, within rate limits for each peer and for all of them together.

`Gossip` owns the server. At most one request of each peer is pending, so peers that do not read their
responses use no additional memory.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from puffinpost.replication import catch_up
from puffinpost.replication.member_config import MemberConfig
from puffinpost.replication.messages import RowChunk, RowsRequest, RowsResponse
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.token_bucket import TOTAL_RATE_FACTOR, TokenBucket

CHUNK_OVERHEAD_BYTES = 40
LIVE_SEQUENCE_BYTES = 4


@dataclass(slots=True)
class PeerAllowance:
    """One peer's rate limit, and the request that is delayed by it."""

    bucket: TokenBucket
    pending_request: RowsRequest | None = None


@dataclass(slots=True)
class RowServer:
    """Serves rows of this node's replicas. Times are in ns."""

    config: MemberConfig
    replicas: ReplicaSet
    total: TokenBucket
    peers: dict[str, PeerAllowance] = field(default_factory=dict)

    @classmethod
    def create(cls, config: MemberConfig, replicas: ReplicaSet, now_ns: int) -> RowServer:
        """A server with full buckets."""
        rate = config.rate_per_peer
        total = TokenBucket(rate * TOTAL_RATE_FACTOR, now_ns)
        peers = {name: PeerAllowance(TokenBucket(rate, now_ns)) for name in config.neighbours()}
        return cls(config, replicas, total, peers)

    def serve(self, name: str, now_ns: int) -> RowsResponse | None:
        """The response to a peer's pending request; None if there is none or a rate limit is exceeded."""
        peer = self.peers[name]
        if peer.pending_request is None or not (peer.bucket.ready(now_ns) and self.total.ready(now_ns)):
            return None
        chunks: list[RowChunk] = []
        bytes_left = self.config.max_message_bytes
        for missing in peer.pending_request.missing:
            chunk = catch_up.read_chunk(self.replicas, missing, bytes_left) if bytes_left > 0 else None
            if chunk is not None:
                chunks.append(chunk)
                bytes_left -= _wire_size(chunk)
        peer.pending_request = None
        spent = self.config.max_message_bytes - bytes_left
        peer.bucket.spend(spent)
        self.total.spend(spent)
        return RowsResponse(chunks)

    def next_deadline(self, name: str, now_ns: int) -> int | None:
        """When a peer's pending request can be served; None if there is none."""
        peer = self.peers[name]
        if peer.pending_request is None:
            return None
        return max(peer.bucket.ready_at(now_ns), self.total.ready_at(now_ns))


def _wire_size(chunk: RowChunk) -> int:
    rows = sum(row.wire_size() for row in chunk.rows)
    return rows + LIVE_SEQUENCE_BYTES * len(chunk.live_sequences or ()) + CHUNK_OVERHEAD_BYTES
