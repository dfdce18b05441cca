"""Without ``[cluster]`` a node loads no cluster code; with it, its table is validated and its CLI works."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from conftest import Deployment
from stand_ins import ROOT

from puffinpost.cli.main import puffinpost
from puffinpost.config import schema
from puffinpost.config.cluster import cluster_config_of, for_node
from puffinpost.config.errors import ConfigError
from puffinpost.emulator.mesh.process_cluster import ClusterOptions, ProcessCluster

CLUSTER_PACKAGES = (
    "puffinpost.consensus",
    "puffinpost.cluster",
    "puffinpost.replication",
    "sqlite3",
    "sortedcontainers",
    "xxhash",
)


def test_a_node_without_a_cluster_imports_no_cluster_packages_and_has_one_thread(
    deployment: Deployment,
) -> None:
    program = "import sys, puffinpost.runtime.node_process, puffinpost.config; print(*sys.modules)"
    loaded = subprocess.check_output([sys.executable, "-c", program], cwd=ROOT, text=True).split()
    assert "puffinpost.proxy.coordinator" in loaded and not [
        name for name in loaded if name.startswith(CLUSTER_PACKAGES)
    ]
    node = deployment.start()
    assert len(list(Path(f"/proc/{node.process.pid}/task").iterdir())) == 1


def test_consensus_without_replication_imports_no_replication_packages(tmp_path: Path) -> None:
    program = "import sys, puffinpost.runtime.cluster_state; print(*sys.modules)"
    loaded = subprocess.check_output([sys.executable, "-c", program], cwd=ROOT, text=True).split()
    assert "puffinpost.cluster.consensus_driver" in loaded
    assert not [name for name in loaded if name.startswith(("puffinpost.replication", "xxhash"))]

    async def run() -> None:
        cluster = ProcessCluster(tmp_path, 2, 1, ClusterOptions(replication_config="on = true"))
        cluster.nodes.clear()
        try:  # consensus works, and n0 receives no replication messages from n1, which has it off
            original = cluster.operator_config

            def without_replication_on_n1(name: str, folder: Path) -> str:
                text = original(name, folder)
                return text.replace("on = true", "on = false") if name == "n1" else text

            cluster.operator_config = without_replication_on_n1  # type: ignore[method-assign]
            await cluster.start(per_s=5.0)
            assert (await cluster.propose())["outcome"] == "accepted"
            status = await cluster.replica_status()
            assert list(status) == ["n0"] and status["n0"]["neighbours"]["n1"]["heard_ms"] is None
            assert await cluster.check() == []
        finally:
            await cluster.close()

    asyncio.run(run())


def cluster_table(**overrides: object) -> schema.Cluster:
    members = {name: f"127.0.0.1:{7000 + at}" for at, name in enumerate(("n0", "n1", "n2", "n3"))}
    return schema.edge_of(
        {
            "cluster": {
                "id": "c",
                "members": members,
                "voters": ["n0", "n1", "n2"],
                "folder": "/tmp/x",
                **overrides,
            }
        }
    ).cluster


@pytest.mark.parametrize(
    ("overrides", "key"),
    [
        ({"voters": ["n0", "n1"]}, "cluster.voters"),
        ({"voters": ["n0", "n1", "nx"]}, "cluster.voters"),
        ({"members": {"n0": "here", "n1": "127.0.0.1:1", "n2": "127.0.0.1:2"}}, "cluster.members.n0"),
        ({"members": dict.fromkeys(("n0", "n1", "n2"), "127.0.0.1:1")}, "cluster.members"),
        ({"folder": ""}, "cluster.folder"),
        ({"name": "nx"}, "cluster.members"),
        ({"replica": {"remember_s": 1}}, "cluster.replica.remember_s"),
        ({"replica": {"copies": 3}}, "cluster.replica.copies"),
        ({"agree_within_s": 0.1}, "cluster.agree_within_s"),
        ({"on_lost": "hope"}, "cluster.on_lost"),
    ],
)
def test_an_invalid_cluster_table_is_rejected_with_its_key(overrides: dict[str, object], key: str) -> None:
    with pytest.raises(ConfigError, match=key):
        for_node(cluster_config_of(cluster_table(**overrides)), "n0")


def test_a_follower_needs_no_folder() -> None:
    config = for_node(cluster_config_of(cluster_table(folder="")), "n3")
    assert (
        config.folder is None
        and config.listen == ("127.0.0.1", 7003)
        and config.member_config.sources()[0] == "n0"
    )


def test_the_try_command_starts_three_nodes() -> None:
    result = CliRunner().invoke(puffinpost, ["try", "--nodes", "3", "--rounds", "1"])
    assert result.exit_code == 0 and "n0, n1, n2 vote" in result.output and "nodes heard" in result.output


def test_mesh_run_plays_a_scenario_and_writes_its_history(tmp_path: Path) -> None:
    (tmp_path / "calm.toml").write_text("nodes = 3\n[[step]]\nat_s = 0\ndo = 'propose'\n")
    history = tmp_path / "history"
    arguments = ["mesh", "run", str(tmp_path / "calm.toml"), "--history", str(history)]
    result = CliRunner().invoke(puffinpost, arguments)
    assert result.exit_code == 0 and "all promises kept" in result.output and history.stat().st_size > 1000
    (tmp_path / "bad.toml").write_text("nodes = 'many'")
    assert CliRunner().invoke(puffinpost, ["mesh", "run", str(tmp_path / "bad.toml")]).exit_code == 2


def test_operators_propose_inspect_compare_and_roll_back(tmp_path: Path) -> None:
    async def run() -> None:
        cluster = ProcessCluster(tmp_path, 3, 3)
        try:
            await cluster.start(per_s=0)
            runner = CliRunner()
            leader = await cluster.leader()
            environ = {"GW_EDGE": str(cluster.nodes[leader].folder / "edge.toml"), "GW_NAME": leader}

            async def call(*arguments: str) -> tuple[int, str]:
                result = await asyncio.to_thread(
                    runner.invoke, puffinpost, ["settings", *arguments], env=environ
                )
                return result.exit_code, result.output

            first, second, invalid = (tmp_path / name for name in ("1.toml", "2.json", "3.toml"))
            first.write_text("OverShareWorth = 0.5\n")
            second.write_text('{"OverShareWorth": 0.25}')
            invalid.write_text("Me = 4\n")
            assert (await call("propose", str(first), "--why", "less"))[0] == 0
            assert (await call("propose", str(second), "--why", "still less"))[0] == 0
            code, text = await call("propose", str(invalid), "--why", "no")
            assert code == 1 and "settings.Me" in text
            text = (await call("status"))[1]
            assert "still less" in text and "3 nodes heard" in text and "lease" in text
            numbers = [
                it["number"] for it in (await cluster.nodes[leader].query("document", "settings"))["past"]
            ]
            assert '- "OverShareWorth": 0.5' in (await call("diff", str(numbers[0])))[1]
            assert (await call("rollback", str(numbers[0]), "--why", "too little"))[0] == 0
            document = await cluster.nodes[leader].query("document", "settings")
            assert document["active"]["content"] == {"OverShareWorth": 0.5}
            assert document["active"]["why"] == f"back to {numbers[0]}: too little"
            assert document["active"]["number"] > numbers[0]
            assert (await call("diff", "999999"))[0] == 2
        finally:
            await cluster.close()

    asyncio.run(run())
