"""Drives this node's consensus member: supplies the time, the links and the store.

`runtime.cluster_state` creates it and queries it before each request. It makes no decisions itself.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from puffinpost.cluster.consensus_store import ConsensusStore
from puffinpost.cluster.consensus_writer import ConsensusWriter
from puffinpost.cluster.links import IncomingLink, LinkContext, Links
from puffinpost.cluster.operator_service import OperatorService
from puffinpost.config.cluster import ClusterConfig
from puffinpost.consensus.documents import Version
from puffinpost.consensus.member import Member
from puffinpost.consensus.messages import Hello, Message, OperatorQuery, OperatorReply, Propose
from puffinpost.consensus.output import Output
from puffinpost.observability import log

if TYPE_CHECKING:
    from puffinpost.cluster.replication_driver import ReplicationDriver

NS_PER_S = 1e9
MIN_TICK_INTERVAL_S = 0.002
TICK_RETRY_DELAY_S = 0.1  # after a tick that failed
FOLLOWER_IDENTITY = "follower"  # the identity of a node without a store


class ConsensusDriver:
    """This node's part in the cluster.

    ``validate`` returns the problem that keeps the node from acting on a document's content, or "";
    ``on_version_change`` is called once the node acts on another version, ``on_rows_changed`` when replicated
    rows have changed.
    """

    def __init__(
        self,
        config: ClusterConfig,
        seed: int,
        validate: Callable[[str, Any], str],
        on_version_change: Callable[[str, Version], None],
        count: Callable[[str], None],
        on_rows_changed: Callable[[set[tuple[str, str]]], None],
    ) -> None:
        self.config, self.count = config, count
        store = ConsensusStore(config.folder) if config.folder is not None else None
        rng = random.Random(f"{seed}.{config.member_config.name}")
        persistent_state, self._stored_documents = store.read() if store is not None else (None, [])
        identity = store.identity if store is not None else FOLLOWER_IDENTITY
        self.member = Member(config.member_config, identity, persistent_state, rng, self.clock(), validate)
        self.member.active_versions.change_listeners.append(on_version_change)
        self.writer = ConsensusWriter(store, self.member.raft, self._on_written, count)
        self.links = Links(self._link_context(store.token if store is not None else ""), rng)
        self.replica = self._create_replica(seed, on_rows_changed)
        self.operator_service = OperatorService(
            self.member, self.propose, self._answer_replica_query, self.links.connected_count, self.clock
        )
        self.timer: asyncio.TimerHandle | None = None

    def _link_context(self, token: str) -> LinkContext:
        return LinkContext(
            self.config.member_config.cluster,
            self.config.members,
            self.member.hello,
            self._on_message,
            self._on_operator_query,
            self.count,
            token,
        )

    def _create_replica(
        self, seed: int, on_rows_changed: Callable[[set[tuple[str, str]]], None]
    ) -> ReplicationDriver | None:
        if not self.config.replica.on:
            return None
        # Imported only if replication is enabled.
        from puffinpost.cluster.replication_driver import CAPABILITY, ReplicationDriver

        self.member.capabilities = (CAPABILITY,)
        return ReplicationDriver(self.config, seed, self.links, self.count, on_rows_changed)

    def clock(self) -> int:
        """Returns ns of a clock that also runs while the machine or this process is suspended."""
        return int(time.clock_gettime_ns(time.CLOCK_BOOTTIME) * self.config.clock_rate)

    def restore_documents(self) -> None:
        """Acts on the documents in the store; called once the rest of the node is ready."""
        for document in self._stored_documents:
            self.member.active_versions.update(document)
        self._stored_documents = []

    def start(self) -> None:
        """Listens, sends a voter's ``Hello`` to the other voters, and begins to renew the lease."""
        config, member = self.config.member_config, self.member
        host, port = self.config.listen
        self.links.listen(port, host)
        role = "voter" if config.name in config.voters else "follower"
        log.info(
            "cluster joined", cluster=config.cluster, node=config.name, listen=f"{host}:{port}", role=role
        )
        if member.raft is not None:
            for name in config.voters:
                if name != config.name:
                    self.links.send(name, member.hello())
        if self.replica is not None:
            self.replica.start(member.hello)
        self._tick()

    async def stop(self) -> None:
        """Closes the links and the store."""
        if self.timer is not None:
            self.timer.cancel()
        await self.links.close()
        if self.replica is not None:
            await self.replica.stop()
        await self.writer.close()

    def can_start(self, request_class: str) -> bool:
        """Returns whether a new request of a class may be started now."""
        return self.member.can_start(request_class, self.clock())

    def propose(self, proposal: Propose) -> None:
        """Proposes a version of a document, or a change to a document."""
        self.member.propose(proposal)
        self.member.renew_now()
        self._tick_soon()

    # --- time -----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self.member.tick(self.clock())
        self.writer.submit(self.member.take_output())
        self._schedule(self._due_in_s())

    def _due_in_s(self) -> float:
        delay_s = (self.member.next_due_ns() - self.clock()) / NS_PER_S / self.config.clock_rate
        return max(MIN_TICK_INTERVAL_S, delay_s)

    def _tick_by_due_time(self) -> None:
        """Brings the next tick forward if a message has made something due before it."""
        due_in_s = self._due_in_s()
        if self.timer is not None and asyncio.get_running_loop().time() + due_in_s < self.timer.when():
            self.timer.cancel()
            self._schedule(due_in_s)

    def _tick_guarded(self) -> None:
        try:
            self._tick()
        except Exception:  # noqa: BLE001 (a defect in a tick must not stop the timer)
            log.exception("consensus tick failed")
            self._schedule(TICK_RETRY_DELAY_S)

    def _tick_soon(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self._schedule(0)

    def _schedule(self, delay_s: float) -> None:
        self.timer = asyncio.get_running_loop().call_later(delay_s, self._tick_guarded)

    # --- messages -------------------------------------------------------------------------------------

    def _on_message(self, sender: str, identity: str, message: Message, link: IncomingLink | None) -> None:
        if self.replica is not None:
            if self.replica.receive(sender, message):
                return
            if isinstance(message, Hello) and self.replica.is_supported_by(message.capabilities):
                self.replica.on_connected(sender)
        try:
            self.member.receive(sender, identity, message, self.clock(), link)
        except Exception:  # noqa: BLE001 (a defect must not end the link: one message is lost, as any may be)
            self.count("cluster_exceptions")
            log.exception("consensus message failed")
        self.writer.submit(self.member.take_output())
        self._tick_by_due_time()

    def _on_written(self, output: Output) -> None:
        """Sends the messages of an output that is on disk, and lets the member act on it."""
        for name, message in output.ready.messages:
            self.links.send(name, message)
        for link, message in output.replies:
            if isinstance(link, IncomingLink):
                link.send(message)
        self.member.persisted(output)
        if output.ready.must_persist():
            self._tick_soon()  # the entries that are on disk now may be committed

    # --- operators ------------------------------------------------------------------------------------

    def _on_operator_query(self, query: OperatorQuery) -> OperatorReply:
        return self.operator_service.answer(query)

    def _answer_replica_query(self, subject: str) -> Any:
        return self.replica.answer(subject) if self.replica is not None else {}
