"""Gossip between a node and its neighbours: announcements of positions, digests, and requests for rows.

Only positions are announced. A node that is missing rows requests them from one neighbour that has them, and
after a timeout from another one. Each row is therefore sent to each node about once, and a neighbour that
does not read delays nothing here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from puffinpost.replication import catch_up
from puffinpost.replication.member_config import MemberConfig
from puffinpost.replication.messages import (
    DigestRequest,
    Message,
    MissingRows,
    ReplicaPosition,
    RowsRequest,
    RowsResponse,
    VersionVector,
)
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.row_server import RowServer
from puffinpost.replication.rows import Origin

MAX_ORIGINS_PER_REQUEST = 64
UNPRODUCTIVE_PEER_PAUSE_NS = 1_000_000_000  # after a response that advanced no replica
NEVER_NS = -(10**18)


@dataclass(slots=True)
class Peer:
    """What is known about a neighbour. Times are in ns of this node's clock."""

    last_message_at: int = NEVER_NS
    positions: dict[Origin, ReplicaPosition] = field(default_factory=dict)  # as last announced
    requested_at: int | None = None  # when the pending request was sent; None if there is none
    paused_until: int = 0

    def has_announced(self, position: ReplicaPosition) -> bool:
        """Whether this is the last position that the peer announced of the origin."""
        return position == self.positions.get(position.origin)

    def sequence(self, origin: Origin) -> int:
        """The sequence number that the peer's replica has reached; 0 if none was announced."""
        position = self.positions.get(origin)
        return position.sequence if position is not None else 0


class Gossip:
    """One node's exchange with its neighbours. ``outbox`` has messages to send, each with the peer's name."""

    def __init__(self, config: MemberConfig, replicas: ReplicaSet, rng: random.Random, now_ns: int) -> None:
        self.config = config
        self.replicas = replicas
        self.rng = rng
        self.now_ns = now_ns
        self.peers = {name: Peer() for name in config.neighbours()}
        self.row_server = RowServer.create(config, replicas, now_ns)
        self.outbox: list[tuple[str, Message]] = []
        self.requested_until: dict[Origin, int] = {}  # until then, an origin is not requested again
        self.announce_at: int | None = None
        self.announced_at = now_ns - config.announce_interval_ns
        self.digest_at = now_ns

    # --- messages from peers ------------------------------------------------------------------------

    def on_connected(self, name: str) -> None:
        """A link to a neighbour was established. Requests and responses on the previous link are lost."""
        self.peers[name].requested_at = None
        self.row_server.peers[name].pending_request = None
        self.outbox.append((name, VersionVector(self.replicas.positions(), True)))

    def on_message(self, name: str, now_ns: int) -> None:
        """Records that a message of any type arrived from a neighbour."""
        self.now_ns = now_ns
        peer = self.peers[name]
        if self._has_timed_out(peer):
            self.outbox.append((name, DigestRequest(self.replicas.digest())))  # it was sent no announcements
        peer.last_message_at = now_ns

    def on_version_vector(self, name: str, message: VersionVector) -> None:
        """Handles a neighbour's positions: requests rows missing here, announces rows missing there."""
        peer = self.peers[name]
        if message.complete:
            peer.positions.clear()
        peer.positions.update((position.origin, position) for position in message.positions)
        if message.complete:
            newer = [
                position
                for position in self.replicas.positions()
                if position.sequence > peer.sequence(position.origin)
            ]
            if newer:
                self.outbox.append((name, VersionVector(newer)))
        self.request_missing(name)

    def on_digest_request(self, name: str, message: DigestRequest) -> bool:
        """Answers with the version vector if the digests differ; returns whether they are equal."""
        is_equal = message.digest == self.replicas.digest()
        if not is_equal:
            self.outbox.append((name, VersionVector(self.replicas.positions(), True)))
        return is_equal

    def on_rows_request(self, name: str, message: RowsRequest) -> None:
        """Handles a neighbour's request for rows, which are sent as soon as the rate limits allow."""
        self.row_server.peers[name].pending_request = message
        self._serve(name)

    def on_rows_response(self, name: str, message: RowsResponse) -> set[Origin]:
        """Applies the rows that a neighbour sent; returns the origins whose replicas advanced."""
        peer = self.peers[name]
        peer.requested_at = None
        advanced = set()
        for chunk in message.chunks:
            if catch_up.apply_chunk(self.replicas, chunk):
                advanced.add(chunk.origin)
            self.requested_until.pop(chunk.origin, None)
        if not message.chunks:  # it no longer has what it announced, and will announce its positions again
            peer.positions.clear()
        elif not advanced:
            peer.paused_until = self.now_ns + UNPRODUCTIVE_PEER_PAUSE_NS
        self.request_missing(name)
        return advanced

    # --- requests -----------------------------------------------------------------------------------

    def request_missing(self, name: str) -> None:
        """Requests missing rows that a neighbour has, except those already requested from another peer."""
        peer = self.peers[name]
        now_ns = self.now_ns
        timeout_ns = self.config.response_timeout_ns
        if peer.requested_at is not None and now_ns - peer.requested_at < timeout_ns:
            return
        if now_ns < peer.paused_until:
            return
        requested: list[MissingRows] = []
        for origin, position in peer.positions.items():
            if len(requested) < MAX_ORIGINS_PER_REQUEST and self.requested_until.get(origin, 0) <= now_ns:
                missing = catch_up.missing_rows(self.replicas, position)
                if missing is not None:
                    requested.append(missing)
        peer.requested_at = now_ns if requested else None
        if requested:
            for missing in requested:
                self.requested_until[missing.origin] = now_ns + timeout_ns
            self.outbox.append((name, RowsRequest(requested)))

    def is_missing_rows_of(self, node: str) -> bool:
        """Whether a neighbour is known to have rows of a node's incarnations that are missing here."""
        return any(
            position.origin.node == node and catch_up.missing_rows(self.replicas, position) is not None
            for peer in self.peers.values()
            for position in peer.positions.values()
        )

    def _serve(self, name: str) -> None:
        response = self.row_server.serve(name, self.now_ns)
        if response is not None:
            self.outbox.append((name, response))

    # --- timers -------------------------------------------------------------------------------------

    def tick(self, now_ns: int) -> None:
        """Does what is due; called at each deadline and after each change of the replicas."""
        self.now_ns = now_ns
        if self.replicas.unannounced and self.announce_at is None:
            earliest = self.announced_at + self.config.announce_interval_ns
            self.announce_at = max(now_ns + self.config.announce_delay_ns, earliest)
        if self.announce_at is not None and now_ns >= self.announce_at:
            self._announce()
        if now_ns >= self.digest_at:
            self._send_digest()
        for name, peer in self.peers.items():
            self._serve(name)
            self._retry(name, peer)

    def _retry(self, name: str, peer: Peer) -> None:
        """Requests again after a timeout, and after the pause that follows an unproductive response."""
        requested_at = peer.requested_at
        is_late = requested_at is not None and self.now_ns - requested_at >= self.config.response_timeout_ns
        if not is_late and not peer.paused_until:
            return
        if peer.paused_until and self.now_ns >= peer.paused_until:
            peer.paused_until = 0
        self.request_missing(name)

    def next_deadline(self) -> int:
        """When `tick` has something to do next."""
        deadlines = [self.digest_at]
        if self.announce_at is not None:
            deadlines.append(self.announce_at)
        elif self.replicas.unannounced:
            deadlines.append(self.now_ns)
        for name, peer in self.peers.items():
            servable_at = self.row_server.next_deadline(name, self.now_ns)
            if servable_at is not None:
                deadlines.append(servable_at)
            if peer.requested_at is not None:
                deadlines.append(peer.requested_at + self.config.response_timeout_ns)
            if peer.paused_until:
                deadlines.append(peer.paused_until)
        return min(deadlines)

    def _announce(self) -> None:
        """Announces changed positions to each neighbour, except those that it has already reached."""
        origins = self.replicas.unannounced
        self.replicas.unannounced = set()
        self.announce_at = None
        self.announced_at = self.now_ns
        positions = [self.replicas.position(origin) for origin in origins]
        for name, peer in self.peers.items():
            if self._has_timed_out(peer):
                continue  # bounds the link's send queue; a digest follows when the peer is heard from again
            moved = [
                position
                for position in positions
                if not peer.has_announced(position) and position.sequence >= peer.sequence(position.origin)
            ]
            if moved:
                self.outbox.append((name, VersionVector(moved)))

    def _send_digest(self) -> None:
        """Sends a digest to a random neighbour, to find differences that no announcement has shown."""
        interval_ns = self.config.digest_interval_ns
        self.digest_at = self.now_ns + interval_ns * 3 // 4 + self.rng.randrange(interval_ns // 2)
        self.requested_until = {
            origin: until for origin, until in self.requested_until.items() if until > self.now_ns
        }
        if not self.peers:
            return
        chosen = self.rng.choice(list(self.peers))
        self.outbox.append((chosen, DigestRequest(self.replicas.digest())))
        for name in self.peers:
            self.request_missing(name)

    def _has_timed_out(self, peer: Peer) -> bool:
        return self.now_ns - peer.last_message_at > self.config.peer_timeout_ns
