"""What a node of a cluster is told shortly before its majority is gone holds once its lease ends."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from test_mesh import NS, run_cluster

from puffinpost.emulator.mesh.history_checker import DRAIN_GRACE_NS
from puffinpost.emulator.mesh.process_cluster import ClusterOptions, ProcessCluster

AGREE_WITHIN_S = 2
OBSERVED_S = 8.0


# The third node kept back a drain, and a ban, for an agreement that could not come (up to 7.9 s late).
@pytest.mark.parametrize("change", ["drain", "ban"])
@pytest.mark.parametrize("on_lost", ["narrow", "keep"])
def test_a_change_told_after_the_majority_is_gone_holds_once_the_lease_ends(
    tmp_path: Path, on_lost: str, change: str
) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        assert (await cluster.propose())["outcome"] == "accepted"
        leader = await cluster.leader()
        survivor = next(name for name in cluster.voters if name != leader)
        for name in cluster.voters:
            if name != survivor:
                cluster.record_fault(name, "kill")
                cluster.nodes[name].kill()
        if change == "drain":
            cluster.discovery.set_status("s-0", "draining")
        else:
            assert b" 202 " in await cluster.nodes[survivor].console("/transcribers/disable/s-0")
        told_ns = time.monotonic_ns()
        await asyncio.sleep(OBSERVED_S)
        sent = [it for it in cluster.events() if it.kind == "sent" and it.node == survivor]
        allowed_until_ns = told_ns + AGREE_WITHIN_S * NS + DRAIN_GRACE_NS
        late = [it.subject for it in sent if it.time_ns > allowed_until_ns]
        assert "s-0" not in late
        assert bool(late) is (on_lost == "keep")  # otherwise it starts nothing without a lease

    options = ClusterOptions(agree_within_s=AGREE_WITHIN_S, cluster_config=f'on_lost = "{on_lost}"')
    run_cluster(scenario, ProcessCluster(tmp_path, 3, 3, options), per_s=20)
