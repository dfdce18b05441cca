"""What a node does with what the cluster agrees on: settings, and bans. Loaded only where that is on."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from puffinpost import config, log
from puffinpost.agreement import kept
from puffinpost.agreement.documents import Version, digest
from puffinpost.agreement.messages import Propose
from puffinpost.cluster.node import Cluster
from puffinpost.cluster.store import StoreError
from puffinpost.config.cluster import ClusterConfig
from puffinpost.core import Ended

if TYPE_CHECKING:
    from puffinpost.wiring.node import Node

SETTINGS, BANS = "settings", "bans"


class History:
    """What this node acted on and when, a JSON object a line, on the machine's own clock."""

    def __init__(self, path: Path | None, node: str) -> None:
        self.node = node
        self._file = path.open("ab", buffering=0) if path is not None else None

    def note(self, kind: str, **more: Any) -> None:
        """One event; see ``emulator.mesh.checker.Event``."""
        if self._file is not None:
            told = {"t": time.monotonic_ns(), "node": self.node, "kind": kind, **more}
            self._file.write(orjson.dumps(told) + b"\n")


class Agreed:
    """The node's part in the cluster, and the gate that the core asks."""

    def __init__(self, node: Node, told: ClusterConfig) -> None:
        self.node, self.told = node, told
        self.base = node.config  # what the node's own file says
        self.history = History(told.history, told.plan.name)
        try:
            self.cluster = Cluster(told, node.config.seed, self.check, self.change, node.counters.add)
        except StoreError as problem:
            raise config.ConfigError(f"cluster.folder: {problem}") from None
        node.core.gate = self
        node.core.on_end.append(self._ended)

    def start(self) -> None:
        """Begins to talk."""
        self.history.note("up")
        self.cluster.start()

    async def stop(self) -> None:
        """Ends the links."""
        await self.cluster.stop()

    # --- the gate -------------------------------------------------------------------------------------

    def may(self, klass: str) -> bool:
        """Whether something new of a class may be begun at this instant."""
        return self.cluster.may(klass)

    def wrote(self, klass: str, server: str) -> None:
        """Something new went to a transcriber: this is when the node acts on its version."""
        acting = self.cluster.member.acting
        for name in (SETTINGS, BANS):
            document, version = acting.documents.get(name), acting.version(name)
            if document is not None and version is not None:
                self.history.note("act", doc=name, number=version.number, hash=version.hash,
                                  shared=document.number(), ident=version.ident)
        self.history.note("sent", ident=server)

    def _ended(self, ended: Ended) -> None:
        self.cluster.member.counts.add(ended.answer in ("refused", "failed"))

    # --- documents ------------------------------------------------------------------------------------

    def check(self, doc: str, content: Any) -> str:
        """What keeps this node from acting on a content, with its key; empty: nothing."""
        if doc == SETTINGS:
            try:
                config.with_shared(self.base, content)
            except config.ConfigError as problem:
                return str(problem)
            return kept.problem(content)
        if doc == BANS:
            right = isinstance(content, dict) and all(
                isinstance(since, int) and not isinstance(since, bool) for since in content.values()
            )
            return "" if right else "bans: wants names, each with the time of its ban in ns"
        return f"{doc}: there is no such document"

    def change(self, doc: str, version: Version) -> None:
        """This node acts on another version from now on."""
        node = self.node
        if doc == SETTINGS:
            node.config = config.with_shared(self.base, version.content)
            node.core.retune(node.config.settings, node.config.classes, node.config.closed)
        elif doc == BANS:
            self.ban({str(name): int(since) for name, since in version.content.items()})
        log.say(f"cluster: acts on {doc} {version.number} ({version.hash[:8]}), by {version.by or 'nobody'}")

    def ban(self, names: dict[str, int]) -> None:
        """All nodes ban these transcribers."""
        bans = self.node.bans
        for name in sorted(bans.names.keys() ^ names.keys()):
            try:
                bans.change(name, names.get(name))
            except OSError as problem:
                log.say(f"bans: {problem}")
        self.node.core.follow_bans(names)
        self.node.prober.forget(self.node.core.takes_work)

    def banned(self, name: str, since_ns: int | None) -> None:
        """Operators ban a transcriber at this node's console, or call it back: a proposal to all."""
        version = self.cluster.member.acting.version(BANS)
        names = dict(version.content) if version is not None else dict(self.node.bans.names)
        names.pop(name, None)
        if since_ns is not None:
            names[name] = since_ns
        self.propose(BANS, names, f"{'ban' if since_ns is not None else 'call back'} {name}")

    def reloaded(self) -> None:
        """SIGHUP read the node's own file again: its shared settings become a proposal."""
        raw = self.node.config.raw.get("settings", {})
        self.base = self.node.config
        content = {key: raw[key] for key in ("Classes", "Limits", "Tenants", "Rules") if key in raw}
        version = self.cluster.member.acting.version(SETTINGS)
        if version is not None:
            if isinstance(version.content, dict) and "kept" in version.content:
                content["kept"] = version.content["kept"]
            self.change(SETTINGS, version)  # until it is accepted, what is agreed on holds
        if version is None or digest(content) != version.hash:
            self.propose(SETTINGS, content, "SIGHUP")

    def propose(self, doc: str, content: Any, why: str) -> None:
        """Offers a version of a document from here."""
        now = time.time_ns()
        ident = f"{self.told.plan.name}-{now:x}"
        self.cluster.offer(Propose(ident, doc, content, self.told.plan.name, why, now // 10**9))
        log.say(f"cluster: {ident} proposes {doc}: {why}")
