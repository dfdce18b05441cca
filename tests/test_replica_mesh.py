"""Tests replication between node processes with injected faults."""

from __future__ import annotations

import asyncio
import shutil
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from puffinpost.cli.main import puffinpost
from puffinpost.cluster.replication_store import ReplicaStore
from puffinpost.emulator.mesh.node_process import NodeProcess
from puffinpost.emulator.mesh.process_cluster import ClusterOptions, ProcessCluster
from puffinpost.replication import repair
from puffinpost.replication.hybrid_clock import Timestamp
from puffinpost.replication.messages import ReplicaPosition
from puffinpost.replication.pending_changes import PendingChanges
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.row_values import BAN, Ban, encode_value
from puffinpost.replication.rows import Origin, create_row

REPLICATION_ON = "on = true\nbans = true"
NODES = 5


def run_cluster(
    tmp_path: Path, scenario: Callable[[ProcessCluster], Awaitable[None]], nodes: int = NODES, **options: Any
) -> None:
    """Starts node processes with replication, runs a scenario on them, and stops them."""
    start = {"per_s": 5.0, "endpoints": 3, **options.pop("start", {})}
    cluster = ProcessCluster(
        tmp_path, nodes, 3, ClusterOptions(**{"replication_config": REPLICATION_ON, **options})
    )

    async def run() -> None:
        try:
            await cluster.start(**start)
            await cluster.wait_until_equal(20)
            await scenario(cluster)
            assert await cluster.check() == []
        finally:
            await cluster.close()

    asyncio.run(run())


async def set_ban(cluster: ProcessCluster, name: str, endpoint: str, banned: bool = True) -> None:
    response = await cluster.nodes[name].console(
        f"/transcribers/{'disable' if banned else 'enable'}/{endpoint}"
    )
    assert b" 202 " in response


def active_bans(cluster: ProcessCluster) -> dict[str, set[str]]:
    """The endpoints that each node bans now, by its own history."""
    found: dict[str, set[str]] = {name: set() for name in cluster.names}
    for it in cluster.events():
        if it.kind == "up":
            found[it.node] = set()
        elif it.kind == "bans":
            found[it.node].add(it.subject)
        elif it.kind == "lifts":
            found[it.node].discard(it.subject)
    return found


async def wait_until_banned(
    cluster: ProcessCluster, expected: set[str], names: list[str] | None = None, within_s: float = 5
) -> float:
    began = time.monotonic()

    async def all_ban_expected() -> bool:
        now = active_bans(cluster)
        return all(now[name] == expected for name in names or cluster.names)

    await cluster.wait_until(
        all_ban_expected, within_s, f"bans of {expected}; at first {active_bans(cluster)}"
    )
    return time.monotonic() - began


def test_both_sides_of_a_partition_accept_bans_and_the_last_writer_wins_after_it(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await set_ban(cluster, "n0", "s-0")
        await wait_until_banned(cluster, {"s-0"})
        cluster.record_fault("n0", "cut")
        cluster.network.cut(["n0", "n1"], ["n2", "n3", "n4"])
        await set_ban(cluster, "n1", "s-1")
        await set_ban(cluster, "n4", "s-2")
        await set_ban(cluster, "n3", "s-0", banned=False)  # lifted on one side, still banned on the other
        await wait_until_banned(cluster, {"s-0", "s-1"}, ["n0", "n1"])
        await wait_until_banned(cluster, {"s-2"}, ["n2", "n3", "n4"])
        await asyncio.sleep(8)
        await set_ban(cluster, "n0", "s-2")  # banned on both sides
        cluster.network.rules.heal()
        assert await wait_until_banned(cluster, {"s-1", "s-2"}) < 4.0
        await cluster.wait_until_equal(5)
        await cluster.wait_until_agreed(10)

    run_cluster(tmp_path, scenario, cluster_config='on_lost = "keep"')


def test_a_node_restarts_with_its_data_folder_without_it_and_with_an_old_one(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        node = cluster.nodes["n4"]
        await set_ban(cluster, "n4", "s-0")
        await wait_until_banned(cluster, {"s-0"})
        incarnations = []
        for folder_state in ("folder", "none", "old"):
            cluster.record_fault("n4", f"kill, {folder_state}")
            node.kill()
            if folder_state == "folder":
                shutil.copytree(node.store_folder, tmp_path / "copy")
            elif folder_state == "none":
                shutil.rmtree(node.store_folder)
            else:
                shutil.rmtree(node.store_folder)
                shutil.copytree(tmp_path / "copy", node.store_folder)
            await set_ban(cluster, "n1", "s-1", banned=folder_state != "none")
            node.start()
            await cluster.wait_until_agreed(20)
            await cluster.wait_until_equal(10)
            await wait_until_banned(cluster, {"s-0"} if folder_state == "none" else {"s-0", "s-1"})
            incarnations.append((await cluster.replica_status())["n4"]["life"])
        assert incarnations == sorted(set(incarnations))  # each start has a later incarnation
        copies = (await cluster.replica_status())["n0"]["copies"]
        assert [it["life"] for it in copies if it["node"] == "n4"] == incarnations[-1:]

    run_cluster(tmp_path, scenario)


def test_a_node_killed_repeatedly_during_catch_up_keeps_its_progress_and_completes(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        node = cluster.nodes["n4"]
        node.kill(folder=False)
        cluster.nodes["n0"].set_write_load(1000, 6000)

        async def written() -> bool:
            return bool((await cluster.replica_status())["n0"]["places"].get("@load", 0) >= 6000)

        await cluster.wait_until(written, 60, "rows to catch up with")
        cluster.nodes["n0"].set_write_load(10, 6000)
        sizes: list[int] = []
        for _ in range(4):  # at 64 KiB/s from each of four peers, this takes several seconds
            node.start()

            async def more_rows() -> Any:
                status = (await cluster.replica_status()).get("n4", {"copies": []})
                rows = sum(it["rows"] for it in status["copies"])
                return rows > (sizes[-1] if sizes else 0) + 300 and rows

            sizes.append(await cluster.wait_until(more_rows, 20, "rows"))
            cluster.record_fault("n4", "kill")
            node.kill()
        assert sizes == sorted(sizes)  # received rows are retained, except those not yet on disk
        node.start()
        await cluster.wait_until_agreed(20)
        cluster.nodes["n0"].set_write_load(0, 1)
        await cluster.wait_until_equal(60)

    run_cluster(
        tmp_path, scenario, replication_config=REPLICATION_ON + "\nrate_kib = 64", start={"per_s": 2.0}
    )


def test_a_suspended_node_and_a_slow_reader_delay_no_other_node(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        cluster.record_fault("n4", "stop")
        cluster.nodes["n4"].stop()
        cluster.record_fault("n3", "slow")
        for other in cluster.names:
            cluster.network.slow(other, "n3", 0.0, bytes_per_s=1.0)
        for endpoint in ("s-0", "s-1"):
            await set_ban(cluster, "n0", endpoint)
        assert await wait_until_banned(cluster, {"s-0", "s-1"}, ["n0", "n1", "n2"]) < 2.0
        await asyncio.sleep(3)
        cluster.nodes["n4"].resume()
        await wait_until_banned(cluster, {"s-0", "s-1"}, ["n4"])
        cluster.network.rules.heal()
        for other in cluster.names:  # bytes buffered in the slow link would take hours to arrive
            cluster.network.drop(other, "n3")
        await wait_until_banned(cluster, {"s-0", "s-1"}, within_s=15)
        await cluster.wait_until_equal(10)

    run_cluster(tmp_path, scenario, cluster_config='on_lost = "keep"')


def test_clock_steps_keep_the_order_of_bans_and_a_clock_far_ahead_is_ignored(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        cluster.nodes["n0"].set_clock_offset(10_000)
        await set_ban(cluster, "n0", "s-0")
        await wait_until_banned(cluster, {"s-0"})
        # n1 has seen the timestamp from the future, so its own is later
        await set_ban(cluster, "n1", "s-0", banned=False)
        await wait_until_banned(cluster, set())
        cluster.nodes["n0"].set_clock_offset(-10_000)
        await set_ban(cluster, "n0", "s-0")
        await wait_until_banned(cluster, {"s-0"})
        cluster.nodes["n2"].set_clock_offset(3_600_000)  # an hour ahead: no other node applies its changes
        await set_ban(cluster, "n2", "s-1")
        await wait_until_banned(cluster, {"s-0", "s-1"}, ["n2"])
        await set_ban(cluster, "n3", "s-2")
        await wait_until_banned(cluster, {"s-0", "s-2"}, ["n0", "n1", "n3", "n4"])

    run_cluster(tmp_path, scenario)


def test_a_full_disk_delays_no_propagation_and_rows_are_stored_once_there_is_space(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        node = cluster.nodes["n4"]
        node.limit_disk()
        cluster.record_fault("n4", "disk full")
        for endpoint in ("s-0", "s-1"):
            await set_ban(cluster, "n4", endpoint)
        await wait_until_banned(cluster, {"s-0", "s-1"})
        assert await asyncio.to_thread(wait_until_logged, node, "replica write failed", 10.0)
        node.unlimit_disk()
        await set_ban(cluster, "n0", "s-2")
        await wait_until_banned(cluster, {"s-0", "s-1", "s-2"})

        async def on_disk() -> bool:
            store = ReplicaStore(node.store_folder, lambda reason: None)
            try:
                return {row.key for _, row in store.read()[1] if row.kind == BAN} == {"s-0", "s-1", "s-2"}
            finally:
                store.close()

        await cluster.wait_until(on_disk, 10, "rows on its disk")
        node.limit_disk()
        await set_ban(cluster, "n4", "s-0", banned=False)
        await wait_until_banned(cluster, {"s-1", "s-2"})
        cluster.record_fault("n4", "end")
        assert await node.terminate() == 0  # it does not wait for free disk space

    run_cluster(tmp_path, scenario, cluster_config='on_lost = "keep"')


def wait_until_logged(node: NodeProcess, text: str, within_s: float) -> bool:
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        if text in (node.folder / "log").read_text():
            return True
        time.sleep(0.05)
    return False


def test_a_rolling_restart_under_load_loses_no_write(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        await set_ban(cluster, "n0", "s-0")
        await wait_until_banned(cluster, {"s-0"})
        for name in cluster.names:
            cluster.record_fault(name, "end")
            assert await cluster.nodes[name].terminate() == 0
            cluster.nodes[name].start()
            await cluster.wait_until_agreed(20)
        await cluster.wait_until_equal(20)
        await wait_until_banned(cluster, {"s-0"})
        assert cluster.load is not None
        assert sum(count for (_, word), count in cluster.load.answers.items() if word == "UP") > 100

    run_cluster(tmp_path, scenario, start={"per_s": 10.0})


def test_a_member_keeps_working_beside_a_second_process_with_its_name(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        first = cluster.nodes["n4"]
        config = orjson.loads((first.folder / "config.json").read_bytes())
        host = "127.0.0.1"
        config["listen"] = f"{host}:{_free_port()}"
        del config["console"]
        operator_config = (first.folder / "edge.toml").read_text()
        operator_config = operator_config.replace(str(first.folder), str(tmp_path / "duplicate"))
        lines = [
            f'listen = "{host}:{_free_port()}"' if it.startswith("listen = ") else it
            for it in operator_config.splitlines()
        ]
        duplicate = NodeProcess(
            "n4", tmp_path / "duplicate", config, "\n".join(lines), first.cluster, (host, 1)
        )
        duplicate.set_write_load(5, 5)
        duplicate.start()
        try:

            async def duplicate_logged() -> bool:
                first.signal(signal.SIGUSR1)
                return await asyncio.to_thread(wait_until_logged, first, "replica_same_name", 0.5)

            await cluster.wait_until(duplicate_logged, 20, "detection of a second process named n4")
            await set_ban(cluster, "n0", "s-0")
            await set_ban(cluster, "n4", "s-1")
            await wait_until_banned(cluster, {"s-0", "s-1"})
            assert duplicate.running and first.running
        finally:
            duplicate.kill()

    run_cluster(tmp_path, scenario)


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        return int(taken.getsockname()[1])


def test_replica_command_shows_status_and_differences(tmp_path: Path) -> None:
    async def scenario(cluster: ProcessCluster) -> None:
        runner = CliRunner()
        files = {name: str(cluster.nodes[name].folder / "edge.toml") for name in cluster.names}

        async def call(*arguments: str, name: str = "n0") -> tuple[int, str]:
            environ = {"GW_EDGE": files[name], "GW_NAME": name}
            result = await asyncio.to_thread(runner.invoke, puffinpost, ["replica", *arguments], env=environ)
            return result.exit_code, result.output

        if cluster.load is not None:
            await cluster.load.close()
        await cluster.wait_until_equal(5)
        assert "neighbour n1" in (await call("show"))[1]

        async def equal() -> bool:  # once the last counters have been sent
            return await call("diff", files["n0"], files["n4"]) == (0, "the copies are equal\n")

        await cluster.wait_until(equal, 10, "equal copies")
        cluster.record_fault("n4", "cut")
        cluster.network.cut(["n4"], cluster.names)
        await set_ban(cluster, "n0", "s-0")
        code, text = await call("diff", files["n0"], files["n4"])
        assert code == 1 and "only n0: " in text and "ban s-0" in text
        assert '"key": "s-0"' in (await call("show", "ban"))[1]
        cluster.network.rules.heal()
        await cluster.wait_until_equal(10)

    run_cluster(tmp_path, scenario, nodes=5, cluster_config='on_lost = "keep"')


# --- disk -----------------------------------------------------------------------------------------------


def store_with_three_bans(folder: Path) -> tuple[ReplicaStore, Origin]:
    folder.mkdir(exist_ok=True)
    store, origin = ReplicaStore(folder, lambda reason: None), Origin("a", 1)
    rows = [
        create_row(origin, at, BAN, f"s-{at}", Timestamp(at, 0, "a"), encode_value(Ban(at)))
        for at in (1, 2, 3)
    ]
    store.write(PendingChanges([(origin, row) for row in rows]), {origin: ReplicaPosition(origin, 3, 0)})
    return store, origin


def test_each_flipped_bit_of_a_stored_row_is_detected(tmp_path: Path) -> None:
    store, origin = store_with_three_bans(tmp_path / "a")
    (encoded,) = store._database.execute("SELECT row FROM rows WHERE seq = 2").fetchone()
    for at in range(8 * len(encoded)):
        corrupted = bytearray(encoded)
        corrupted[at // 8] ^= 1 << at % 8
        store._database.execute("UPDATE rows SET row = ? WHERE seq = 2", (bytes(corrupted),))
        replicas = ReplicaSet(lambda row: True, lambda counter: None)
        replicas.load(*store.read())
        assert repair.damaged_rows(replicas) == {origin: {2}} and set(
            replicas.by_origin[origin].rows_by_sequence
        ) == {1, 3}
    store._database.execute("UPDATE marks SET seq = 9")
    assert store.read() == ([], [])  # without a valid position, all rows of the origin are requested again


@pytest.mark.parametrize("step", [1024])
def test_a_truncated_store_is_complete_or_set_aside(tmp_path: Path, step: int) -> None:
    store, origin = store_with_three_bans(tmp_path / "a")
    store._database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    complete = (tmp_path / "a" / "replica.sqlite").read_bytes()
    for size in range(0, len(complete), step):
        folder = tmp_path / f"cut-{size}"
        folder.mkdir()
        (folder / "replica.sqlite").write_bytes(complete[:size])
        unreadable_reasons: list[str] = []
        reopened = ReplicaStore(folder, unreadable_reasons.append)
        positions, rows = reopened.read()
        assert (positions, len(rows)) in (([], 0), ([ReplicaPosition(origin, 3, 0)], 3))
        assert unreadable_reasons or size == 0 or rows
        reopened.close()


def test_an_interrupted_commit_is_atomic(tmp_path: Path) -> None:
    store, origin = store_with_three_bans(tmp_path / "a")
    wal = (tmp_path / "a" / "replica.sqlite-wal").read_bytes()
    base = (tmp_path / "a" / "replica.sqlite").read_bytes()
    for size in range(0, len(wal) + 1, 997):  # the write-ahead log is truncated at every 997th byte
        folder = tmp_path / f"truncated-{size}"
        folder.mkdir()
        (folder / "replica.sqlite").write_bytes(base)
        (folder / "replica.sqlite-wal").write_bytes(wal[:size])
        reopened = ReplicaStore(folder, lambda reason: None)
        positions, rows = reopened.read()
        assert (positions, len(rows)) in (([], 0), ([ReplicaPosition(origin, 3, 0)], 3))
        reopened.close()
    store.close()
