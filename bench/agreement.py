"""What agreement costs and how fast it is, on clusters of real processes.

For each size: how long a start takes until all nodes hold a lease; from a proposal to the first act of the
last node on it, on sound links and with 1% of them silent; how long until another node leads after the leader
is killed; bytes sent and processor time of a node and second at rest. Then a session's set-up and a line with
agreement on and off, alternately.

    python -m bench.agreement [--sizes 5,20,60] [--rounds 5] [--set-ups 300] [--json FILE]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.process_usage import cpu_seconds
from bench.session_timing import time_sessions
from bench.statistics_text import median_and_range
from puffinpost.emulator.mesh.history import HistoryTail
from puffinpost.emulator.mesh.history_checker import EventKind, longest_contradiction
from puffinpost.emulator.mesh.load_generator import LoadGenerator
from puffinpost.emulator.mesh.node_process import NodeProcess
from puffinpost.emulator.mesh.process_cluster import ClusterOptions, ProcessCluster

VOTERS = 5
REST_S = 5.0
TIMEOUT_S = 60.0
MAX_REQUESTS_PER_S = 10.0  # at each node
CLUSTER_REQUESTS_PER_S = 120.0  # at all of them
SILENT_LINKS = 100  # one in so many
FIRST_ACT = "begins"  # the kind of event that a node records when it first acts on a version


def cluster_cpu_seconds(cluster: ProcessCluster) -> dict[str, float]:
    """Processor time of each node's process so far."""
    usage = {}
    for name, node in cluster.nodes.items():
        assert node.child is not None, f"{name} does not run"
        usage[name] = cpu_seconds(node.child.pid)
    return usage


async def measure_rest(cluster: ProcessCluster, span_s: float = REST_S) -> tuple[list[float], list[float]]:
    """The processor share and the bytes a second of each node, over the next seconds."""
    cpu_before = cluster_cpu_seconds(cluster)
    bytes_before = cluster.network.rules.bytes_carried.copy()
    began = time.monotonic()
    await asyncio.sleep(span_s)
    elapsed_s = time.monotonic() - began
    cpu_after, bytes_after = cluster_cpu_seconds(cluster), cluster.network.rules.bytes_carried
    cpu_share = [(cpu_after[name] - cpu_before[name]) / elapsed_s for name in cluster.names]
    bytes_per_s = [(bytes_after[name] - bytes_before[name]) / elapsed_s for name in cluster.names]
    return cpu_share, bytes_per_s


async def time_proposal(cluster: ProcessCluster) -> float:
    """From a proposal until the last node first acts on it, in s."""
    tail = HistoryTail([node.history for node in cluster.nodes.values()])
    tail.read_new()
    first_acts: dict[str, int] = {}
    began_ns = time.monotonic_ns()
    result = await cluster.propose(cluster.names[-1], within_s=TIMEOUT_S)
    if result.get("outcome") != EventKind.ACCEPTED:
        raise RuntimeError(f"not accepted: {result}")
    accepted = (event for event in reversed(cluster.recorder.events) if event.kind == EventKind.ACCEPTED)
    proposal_id = next(accepted).subject

    async def all_act() -> bool:
        for event in tail.read_new():
            if event.kind == FIRST_ACT and event.subject == proposal_id:
                first_acts.setdefault(event.node, event.time_ns)
        return len(first_acts) == len(cluster.names)

    await cluster.wait_until(all_act, TIMEOUT_S, "act of all")
    return float(max(first_acts.values()) - began_ns) / 1e9


async def time_failover(cluster: ProcessCluster) -> float:
    """From the kill of the leader until another node leads, in s; the killed one is started again."""
    leader = await cluster.leader()
    cluster.record_fault(leader, "kill")
    cluster.nodes[leader].kill()
    killed = time.monotonic()
    await cluster.leader()
    elapsed_s = time.monotonic() - killed
    cluster.nodes[leader].start()
    await cluster.wait_until_agreed(TIMEOUT_S)
    return elapsed_s


async def time_proposals_on_poor_links(cluster: ProcessCluster, rounds: int, seed: int) -> list[float]:
    """As `time_proposal`, with other links silent in each round."""
    rng = random.Random(seed)
    links = [(one, other) for one in cluster.names for other in cluster.names if one != other]
    times = []
    for _ in range(rounds):
        silenced = rng.sample(links, max(1, len(links) // SILENT_LINKS))
        cluster.network.rules.silenced = set(silenced)
        times.append(await time_proposal(cluster))
    cluster.network.rules.heal()
    return times


async def measure_size(folder: Path, nodes: int, rounds: int, seed: int) -> dict[str, Any]:
    """All figures of a cluster of so many processes."""
    cluster = ProcessCluster(folder, nodes, VOTERS, ClusterOptions(seed=seed))
    try:
        began = time.monotonic()
        await cluster.start(per_s=0)
        start_s = time.monotonic() - began
        cpu_share, bytes_per_s = await measure_rest(cluster)
        requests_per_s = min(MAX_REQUESTS_PER_S, CLUSTER_REQUESTS_PER_S / nodes)
        cluster.load = LoadGenerator(cluster.nodes, cluster.recorder, requests_per_s, seed)
        sound_s = [await time_proposal(cluster) for _ in range(rounds)]
        poor_s = await time_proposals_on_poor_links(cluster, rounds, seed)
        failover_s = [await time_failover(cluster) for _ in range(rounds)]
        violations = await cluster.check()
        return {
            "nodes": nodes,
            "start_s": start_s,
            "sound_s": sound_s,
            "poor_s": poor_s,
            "failover_s": failover_s,
            "cpu_share": cpu_share,
            "octets_per_s": bytes_per_s,
            "breaches": [violation.describe() for violation in violations],
            "worst_s": longest_contradiction(cluster.events()).duration_ns / 1e9,
        }
    finally:
        await cluster.close()


async def wait_until_serving(node: NodeProcess) -> None:
    """Waits until a node accepts sessions."""
    while True:
        try:
            await time_sessions(node, 1)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            return


async def measure_cost(folder: Path, sessions: int, rounds: int) -> dict[str, list[float]]:
    """Ratios, with agreement over without, of the medians of rounds that alternate."""
    # Without a history: a node in service writes none.
    with_it = ProcessCluster(folder / "on", 3, 3, ClusterOptions(history=False))
    without = ProcessCluster(folder / "off", 1, 1, ClusterOptions(clustered=False))
    try:
        await with_it.start(per_s=0)
        assert (await with_it.propose())["outcome"] == EventKind.ACCEPTED
        await without.start(per_s=0)
        single = without.nodes["n0"]
        await wait_until_serving(single)
        leader = await with_it.leader()
        follower = with_it.nodes[next(name for name in with_it.names if name != leader)]
        ratios: dict[str, list[float]] = {"set-up": [], "line": []}
        for _ in range(rounds):
            clustered, alone = await time_sessions(follower, sessions), await time_sessions(single, sessions)
            ratios["set-up"].append(statistics.median(clustered.setup_s) / statistics.median(alone.setup_s))
            ratios["line"].append(statistics.median(clustered.line_s) / statistics.median(alone.line_s))
        return ratios
    finally:
        await with_it.close()
        await without.close()


def print_size(nodes: int, figures: dict[str, Any]) -> None:
    """Prints medians and ranges of one size."""
    print(
        f"{nodes} processes: all sure after {figures['start_s']:.2f} s; worst contradiction "
        f"{figures['worst_s']:.3f} s; promises broken: {len(figures['breaches'])}"
    )
    for name in ("sound_s", "poor_s", "failover_s", "cpu_share"):
        print(f"  {name}: {median_and_range(figures[name])}")
    print(f"  octets_per_s: {median_and_range(figures['octets_per_s'])}", flush=True)


def main() -> None:
    """Prints medians and ranges."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default="5,20,60")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--set-ups", type=int, default=300)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    all_figures = []
    for size in map(int, filter(None, options.sizes.split(","))):
        with tempfile.TemporaryDirectory(prefix="puffinpost-bench-") as folder:
            figures = asyncio.run(measure_size(Path(folder), size, options.rounds, size))
        all_figures.append(figures)
        print_size(size, figures)
    if options.set_ups:
        with tempfile.TemporaryDirectory(prefix="puffinpost-bench-") as folder:
            ratios = asyncio.run(measure_cost(Path(folder), options.set_ups, options.rounds))
        for name, values in ratios.items():
            print(f"{name}, on over off: {median_and_range(values)}")
    if options.json:
        options.json.write_text(json.dumps(all_figures))


if __name__ == "__main__":
    main()
