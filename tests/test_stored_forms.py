"""What an earlier version wrote, in `data/stored`, is read and written again with the same bytes.

The names of classes and fields in the code are free to change; tags, the order of fields and the keys of maps
on the wire between nodes and on disk are not.
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
FORMS: dict[str, Any] = json.loads((DATA / "forms.json").read_text())


@pytest.fixture(autouse=True)
def both_kinds_of_messages() -> None:
    """A process that replicates understands the messages of both."""
    frames.register_messages(messages.Message)


@pytest.mark.parametrize("name", [*FORMS["frames"], *FORMS["replica_frames"]])
def test_each_message_between_nodes(name: str) -> None:
    data = bytes.fromhex({**FORMS["frames"], **FORMS["replica_frames"]}[name])
    decoder = frames.FrameDecoder()
    (message,) = decoder.feed(data)
    assert frames.encode(message) == data
    assert type(message).__struct_config__.tag == name


@pytest.mark.parametrize("name", FORMS["entries"])
def test_each_command_in_the_log(name: str) -> None:
    data = bytes.fromhex(FORMS["entries"][name])
    entry = msgspec.msgpack.decode(data, type=Entry)
    assert msgspec.msgpack.encode(entry) == data
    assert type(entry.command).__struct_config__.tag == name


def test_documents_and_their_snapshot() -> None:
    state = bytes.fromhex(FORMS["documents"])
    read = documents.decode_documents(state)
    assert read.encode() == state
    assert sorted(read.documents) == ["bans", "list", "settings"]
    for name, data in FORMS["document"].items():
        assert msgspec.msgpack.encode(read.documents[name]).hex() == data
    snapshot = msgspec.msgpack.decode(bytes.fromhex(FORMS["snapshot"]), type=Snapshot)
    assert msgspec.msgpack.encode(snapshot).hex() == FORMS["snapshot"] and snapshot.state == state


def test_a_digest_and_the_nodes_that_act_on_a_staged_version() -> None:
    assert documents.digest({"b": [1, 2.5, None], "a": "\u0645"}) == FORMS["digest"]
    pending = documents.decode_documents(bytes.fromhex(FORMS["documents"])).documents["settings"].pending
    assert pending is not None
    assert {name: documents.acts_on_staged(name, pending) for name in FORMS["staged"]} == FORMS["staged"]


KINDS: dict[str, type[row_values.RowValue]] = {
    "ban": row_values.Ban,
    "seen": row_values.EndpointObservation,
    "use": row_values.TenantUsage,
    "sends": row_values.AttemptCounts,
    "@life": row_values.Incarnation,
}


@pytest.mark.parametrize("name", FORMS["values"])
def test_each_kind_of_row(name: str) -> None:
    data = bytes.fromhex(FORMS["values"][name])
    rows = [msgspec.msgpack.decode(bytes.fromhex(each), type=Row) for each in FORMS["rows"]]
    row = next(it for it in rows if it.kind == name)
    value = row_values.decode_value(row, KINDS[name])
    assert value is not None and row_values.encode_value(value) == data == row.value


def test_rows_and_their_checksums() -> None:
    copy = frames.FrameDecoder().feed(bytes.fromhex(FORMS["replica_frames"]["Rows"]))
    origin = copy[0].chunks[0].origin  # type: ignore[union-attr]
    for data in FORMS["rows"]:
        row = msgspec.msgpack.decode(bytes.fromhex(data), type=Row)
        assert msgspec.msgpack.encode(row).hex() == data and is_intact(origin, row)


def contents(path: Path) -> dict[str, list[tuple[Any, ...]]]:
    """All rows of a database, by table."""
    base = sqlite3.connect(path)
    names = [name for (name,) in base.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
    found = {name: sorted(base.execute(f"SELECT * FROM {name}")) for name in names}
    base.close()
    return found


def test_the_store_of_consensus(tmp_path: Path) -> None:
    shutil.copy(DATA / "agreement.sqlite", tmp_path)
    before = contents(tmp_path / "agreement.sqlite")
    store = ConsensusStore(tmp_path)
    voter, views = store.read()
    assert (voter.term, voter.voted_for, voter.log.snapshot.index, voter.log.last_index) == (4, "n0", 10, 14)
    assert [it.name for it in views] == ["bans", "list", "settings"]
    log = voter.log
    store.write(
        Transaction(
            HardState(voter.term, voter.voted_for), log.snapshot, 11, tuple(log.entries), tuple(views)
        )
    )
    store.close()
    assert contents(tmp_path / "agreement.sqlite") == before


def test_the_store_of_replicated_state(tmp_path: Path) -> None:
    shutil.copy(DATA / "replica.sqlite", tmp_path)
    before = contents(tmp_path / "replica.sqlite")
    store = ReplicaStore(tmp_path, pytest.fail)
    marks, rows = store.read()
    assert [row.sequence for _, row in rows] == [1, 2, 3, 4, 5, 6, 7] and len(marks) == 2
    store.write(PendingChanges(deleted_origins={it.origin for it in marks}), {})
    store.write(PendingChanges(inserted=rows), {it.origin: it for it in marks})
    store.close()
    assert contents(tmp_path / "replica.sqlite") == before


def test_the_file_of_bans(tmp_path: Path) -> None:
    path = tmp_path / "puffinpost-n0.bans"
    shutil.copy(DATA / "bans", path)
    bans = BanFile(str(tmp_path), "n0")
    assert bans.banned_since_ns == {"s-1": 1796219372365918326, "\u0635\u0648\u062a": 5}
    bans.change("s-2", 1)
    bans.change("s-2", None)
    assert path.read_bytes() == (DATA / "bans").read_bytes()


def test_a_history_of_a_play(tmp_path: Path) -> None:
    events = history.read_history([DATA / "history.jsonl"])
    history.write_history(tmp_path / "history.jsonl", events)
    assert len(events) == 3
    assert (tmp_path / "history.jsonl").read_bytes() == (DATA / "history.jsonl").read_bytes()
