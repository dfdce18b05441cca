"""Data that an earlier version wrote (in `data/stored`) is decoded and encoded again to the same bytes.

Names of classes and fields in the code may change; tags, the order of fields and the keys of maps on the wire
between nodes and on disk may not.
"""

from __future__ import annotations

import json
import shutil
import sqlite3
from pathlib import Path
from typing import Any

import msgspec
import pytest

from puffinpost.admin.ban_file import BanFile
from puffinpost.cluster import frames
from puffinpost.cluster.consensus_store import ConsensusStore, Transaction
from puffinpost.cluster.replication_store import ReplicaStore
from puffinpost.consensus import documents
from puffinpost.consensus.log import HardState, Snapshot
from puffinpost.consensus.messages import Entry
from puffinpost.emulator.mesh import history
from puffinpost.replication import messages, row_values
from puffinpost.replication.pending_changes import PendingChanges
from puffinpost.replication.rows import Row, is_intact

DATA = Path(__file__).parent / "data" / "stored"
SAMPLES: dict[str, Any] = json.loads((DATA / "forms.json").read_text())


@pytest.fixture(autouse=True)
def replication_messages() -> None:
    """Adds the replication messages to those of consensus, as in a process that replicates."""
    frames.register_messages(messages.Message)


@pytest.mark.parametrize("name", [*SAMPLES["frames"], *SAMPLES["replica_frames"]])
def test_message_between_nodes_keeps_its_bytes_and_tag(name: str) -> None:
    data = bytes.fromhex({**SAMPLES["frames"], **SAMPLES["replica_frames"]}[name])
    decoder = frames.FrameDecoder()
    (message,) = decoder.feed(data)
    assert frames.encode(message) == data
    assert type(message).__struct_config__.tag == name


@pytest.mark.parametrize("name", SAMPLES["entries"])
def test_command_in_the_log_keeps_its_bytes_and_tag(name: str) -> None:
    data = bytes.fromhex(SAMPLES["entries"][name])
    entry = msgspec.msgpack.decode(data, type=Entry)
    assert msgspec.msgpack.encode(entry) == data
    assert type(entry.command).__struct_config__.tag == name


def test_documents_and_their_snapshot_keep_their_bytes() -> None:
    state = bytes.fromhex(SAMPLES["documents"])
    read = documents.decode_documents(state)
    assert read.encode() == state
    assert sorted(read.documents) == ["bans", "list", "settings"]
    for name, data in SAMPLES["document"].items():
        assert msgspec.msgpack.encode(read.documents[name]).hex() == data
    snapshot = msgspec.msgpack.decode(bytes.fromhex(SAMPLES["snapshot"]), type=Snapshot)
    assert msgspec.msgpack.encode(snapshot).hex() == SAMPLES["snapshot"] and snapshot.state == state


def test_digest_and_selection_of_nodes_for_a_staged_version_are_unchanged() -> None:
    assert documents.digest({"b": [1, 2.5, None], "a": "\u0645"}) == SAMPLES["digest"]
    pending = documents.decode_documents(bytes.fromhex(SAMPLES["documents"])).documents["settings"].pending
    assert pending is not None
    assert {name: documents.acts_on_staged(name, pending) for name in SAMPLES["staged"]} == SAMPLES["staged"]


KINDS: dict[str, type[row_values.RowValue]] = {
    "ban": row_values.Ban,
    "seen": row_values.EndpointObservation,
    "use": row_values.TenantUsage,
    "sends": row_values.AttemptCounts,
    "@life": row_values.Incarnation,
}


@pytest.mark.parametrize("name", SAMPLES["values"])
def test_row_value_of_each_kind_keeps_its_bytes(name: str) -> None:
    data = bytes.fromhex(SAMPLES["values"][name])
    rows = [msgspec.msgpack.decode(bytes.fromhex(each), type=Row) for each in SAMPLES["rows"]]
    row = next(it for it in rows if it.kind == name)
    value = row_values.decode_value(row, KINDS[name])
    assert value is not None and row_values.encode_value(value) == data == row.value


def test_rows_keep_their_bytes_and_checksums() -> None:
    decoded = frames.FrameDecoder().feed(bytes.fromhex(SAMPLES["replica_frames"]["Rows"]))
    origin = decoded[0].chunks[0].origin  # type: ignore[union-attr]
    for data in SAMPLES["rows"]:
        row = msgspec.msgpack.decode(bytes.fromhex(data), type=Row)
        assert msgspec.msgpack.encode(row).hex() == data and is_intact(origin, row)


def read_tables(path: Path) -> dict[str, list[tuple[Any, ...]]]:
    """Returns all rows of a database, by table."""
    database = sqlite3.connect(path)
    names = [name for (name,) in database.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
    tables = {name: sorted(database.execute(f"SELECT * FROM {name}")) for name in names}
    database.close()
    return tables


def test_rewritten_consensus_store_keeps_its_content(tmp_path: Path) -> None:
    shutil.copy(DATA / "agreement.sqlite", tmp_path)
    before = read_tables(tmp_path / "agreement.sqlite")
    store = ConsensusStore(tmp_path)
    voter, documents_read = store.read()
    assert (voter.term, voter.voted_for, voter.log.snapshot.index, voter.log.last_index) == (4, "n0", 10, 14)
    assert [it.name for it in documents_read] == ["bans", "list", "settings"]
    log = voter.log
    store.write(
        Transaction(
            HardState(voter.term, voter.voted_for),
            log.snapshot,
            11,
            tuple(log.entries),
            tuple(documents_read),
        )
    )
    store.close()
    assert read_tables(tmp_path / "agreement.sqlite") == before


def test_rewritten_replica_store_keeps_its_content(tmp_path: Path) -> None:
    shutil.copy(DATA / "replica.sqlite", tmp_path)
    before = read_tables(tmp_path / "replica.sqlite")
    store = ReplicaStore(tmp_path, pytest.fail)
    positions, rows = store.read()
    assert [row.sequence for _, row in rows] == [1, 2, 3, 4, 5, 6, 7] and len(positions) == 2
    store.write(PendingChanges(deleted_origins={it.origin for it in positions}), {})
    store.write(PendingChanges(inserted=rows), {it.origin: it for it in positions})
    store.close()
    assert read_tables(tmp_path / "replica.sqlite") == before


def test_rewritten_ban_file_keeps_its_bytes(tmp_path: Path) -> None:
    path = tmp_path / "puffinpost-n0.bans"
    shutil.copy(DATA / "bans", path)
    ban_file = BanFile(str(tmp_path), "n0")
    assert ban_file.banned_since_ns == {"s-1": 1796219372365918326, "\u0635\u0648\u062a": 5}
    ban_file.change("s-2", 1)
    ban_file.change("s-2", None)
    assert path.read_bytes() == (DATA / "bans").read_bytes()


def test_rewritten_history_of_a_scenario_keeps_its_bytes(tmp_path: Path) -> None:
    events = history.read_history([DATA / "history.jsonl"])
    history.write_history(tmp_path / "history.jsonl", events)
    assert len(events) == 3
    assert (tmp_path / "history.jsonl").read_bytes() == (DATA / "history.jsonl").read_bytes()
