"""The command line, the operator's file and the log."""

from __future__ import annotations

import subprocess
import sys
import time
import tomllib
from pathlib import Path

import msgspec
import orjson
import pytest
from stand_ins import ROOT

from puffinpost.config import schema
from puffinpost.observability import log


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "puffinpost", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=30
    )


def test_check_prints_every_fault_with_its_key(tmp_path: Path) -> None:
    path = tmp_path / "edge.toml"
    path.write_text(
        '[xmpp]\nlisten = 3\nlisten_ = ""\nmechanisms = ["PLAIN", "X"]\n[xmpp.transcribers]\n'
        "port = 99999\n[resume]\ngrace_s = -1\n[zz]\n"
    )
    completed = run_command("check", str(path))
    assert completed.returncode == 1
    keys = [line.split(":")[0] for line in completed.stderr.splitlines()]
    assert keys == [
        "xmpp.listen",
        "xmpp.listen_",
        "xmpp.mechanisms[1]",
        "xmpp.transcribers.port",
        "resume.grace_s",
        "zz",
    ]


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('[mqtt]\nlisten = "127.0.0.1:1"', "mqtt.users"),
        ('[mqtt]\nlisten = "nowhere"', "mqtt.listen"),
        ('[mqtt]\nlisten = "127.0.0.1:1"\nca = "x"', "mqtt.certificate"),
        ('[xmpp]\nlisten = "127.0.0.1:1"\nrequire_tls = true', "xmpp.certificate"),
        ("[xmpp.transcribers]\nmechanism = 'PLAIN'", "xmpp.transcribers.tls"),
    ],
)
def test_check_reports_faults_that_the_schema_does_not_cover(tmp_path: Path, text: str, key: str) -> None:
    path = tmp_path / "edge.toml"
    path.write_text(text)
    completed = run_command("check", str(path))
    assert completed.returncode == 1 and completed.stderr.startswith(f"{key}: ")


def test_deployed_operator_file_contains_the_defaults() -> None:
    assert run_command("check", "deploy/edge.toml").returncode == 0
    deployed = tomllib.loads((ROOT / "deploy" / "edge.toml").read_text())
    assert deployed == msgspec.to_builtins(schema.Edge())


def test_node_start_imports_neither_the_command_line_nor_unused_modules() -> None:
    modules = ("click", "structlog", "pyexpat", "puffinpost.resumption.registry")
    code = f"import sys, puffinpost.runtime.node_process; print([m for m in {modules} if m in sys.modules])"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    assert completed.stdout.strip() == "[]"


@pytest.mark.parametrize("form", ["text", "json"])
def test_log_is_rate_limited_and_reports_dropped_lines(
    form: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 5.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    log.configure(form)
    try:
        for number in range(30):
            log.info("from a client", high_volume=True, number=number)
        for number in range(30):
            log.info("for operators", number=number)
        now = 6.0
        log.info("after")
    finally:
        log.configure()
    lines = capsys.readouterr().err.splitlines()
    if form == "json":
        events = [orjson.loads(line) for line in lines]
        assert [item["event"] for item in events] == (
            ["from a client"] * log.MAX_HIGH_VOLUME_LINES_PER_SECOND
            + ["for operators"] * (log.MAX_LINES_PER_SECOND - log.MAX_HIGH_VOLUME_LINES_PER_SECOND)
            + ["after"]
        )
        assert events[0]["number"] == 0 and events[-1]["dropped"] == 40 and "high_volume" not in events[0]
    else:
        assert lines[0] == "puffinpost: from a client number=0"
        assert lines[-2:] == ["puffinpost: 40 lines dropped", "puffinpost: after"] and len(lines) == 22
