"""What a node has on disk of agreement: complete after a kill, refused where it is damaged or in use."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from stand_ins import ROOT

from puffinpost.cluster.consensus_store import CHECKSUM_SIZE, ConsensusStore, StoreError, Transaction
from puffinpost.consensus.documents import Document
from puffinpost.consensus.log import HardState, Snapshot
from puffinpost.consensus.messages import Entry, Noop, Propose

ENTRIES = tuple(Entry(1, Propose(f"p{at}", "settings", {"n": at})) for at in range(5))
WRITER_SCRIPT = """
import os, sys
from pathlib import Path
from puffinpost.consensus.log import HardState
from puffinpost.consensus.messages import Entry, Noop
from puffinpost.cluster.consensus_store import ConsensusStore, Transaction
store, at = ConsensusStore(Path(sys.argv[1])), 0
while True:
    at += 1
    store.write(Transaction(HardState(at, f"n{at}"), None, at, (Entry(at, Noop()),)))
    os.write(1, b"%d\\n" % at)  # reported only after it is written
"""


def test_written_state_is_read_again_and_entries_are_replaced(tmp_path: Path) -> None:
    store = ConsensusStore(tmp_path)
    identity, view = store.identity, Document("bans", 3)
    store.write(Transaction(HardState(1, "n0"), None, 1, ENTRIES))
    store.write(Transaction(HardState(2, ""), None, 3, (Entry(2, Noop()),), (view,)))
    store.close()
    again = ConsensusStore(tmp_path)
    state, views = again.read()
    assert (state.term, state.voted_for, views, again.identity) == (2, "", [view], identity)
    assert state.log.entries == [*ENTRIES[:2], Entry(2, Noop())]
    again.write(Transaction(snapshot=Snapshot(2, 1, {"n0": "x"}, b"state")))
    again.close()
    state, _ = ConsensusStore(tmp_path).read()
    assert state.log.snapshot == Snapshot(2, 1, {"n0": "x"}, b"state") and state.log.last_index == 3


def test_a_folder_is_locked_and_a_new_one_has_a_new_identity(tmp_path: Path) -> None:
    first = ConsensusStore(tmp_path / "a")
    with pytest.raises(StoreError, match="another process has it"):
        ConsensusStore(tmp_path / "a")
    assert ConsensusStore(tmp_path / "b").identity != first.identity
    assert (tmp_path / "a" / "operator-token").stat().st_mode & 0o077 == 0


@pytest.mark.parametrize("seed", range(4))
def test_writes_that_a_killed_process_reported_are_on_disk(tmp_path: Path, seed: int) -> None:
    writer = subprocess.Popen(
        [sys.executable, "-c", WRITER_SCRIPT, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE
    )
    assert writer.stdout is not None
    reported = [int(writer.stdout.readline()) for _ in range(20 + 7 * seed)]
    writer.kill()
    reported += [int(line) for line in writer.stdout.read().split()]
    writer.wait()
    state, _ = ConsensusStore(tmp_path).read()
    assert (
        state.term >= reported[-1]
        and state.voted_for == f"n{state.term}"
        and state.log.last_index == state.term
    )


def test_a_truncated_file_is_complete_or_rejected_and_so_is_one_without_an_entry(tmp_path: Path) -> None:
    store = ConsensusStore(tmp_path / "a")
    store.write(Transaction(HardState(1, "n0"), None, 1, ENTRIES))
    store._database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    complete = (tmp_path / "a" / "agreement.sqlite").read_bytes()
    for size in range(0, len(complete), 1024):
        folder = tmp_path / f"cut-{size}"
        shutil.copytree(tmp_path / "a", folder)
        os.truncate(folder / "agreement.sqlite", size)
        try:
            cut = ConsensusStore(folder)
            state, _ = cut.read()
        except StoreError:
            continue
        is_complete = (state.term, state.voted_for, state.log.entries, cut.identity) == (
            1,
            "n0",
            [*ENTRIES],
            store.identity,
        )
        fresh = (state.term, state.log.last_index) == (0, 0) and cut.identity != store.identity
        assert is_complete or (fresh and size == 0), size
    gap = ConsensusStore(tmp_path / "a")
    gap._database.execute("DELETE FROM entries WHERE number = 2")
    with pytest.raises(StoreError, match="missing"):
        gap.read()


def _written(folder: Path) -> ConsensusStore:
    store = ConsensusStore(folder)
    store.write(
        Transaction(HardState(1, "n0"), Snapshot(0, 0, {"n0": "x"}), 1, ENTRIES, (Document("bans", 3),))
    )
    return store


@pytest.mark.parametrize(
    ("table", "key", "value"),
    [("one", "name", "value"), ("entries", "number", "entry"), ("views", "doc", "document")],
)
def test_a_flipped_bit_in_any_value_is_rejected(tmp_path: Path, table: str, key: str, value: str) -> None:
    store = _written(tmp_path / "a")
    rows = store._database.execute(f"SELECT {key}, {value} FROM {table} WHERE {key} != 'form'").fetchall()
    for where, state in rows:
        for at in range(len(state)):
            spoilt = bytearray(state)
            spoilt[at] ^= 1 << at % 8
            store._database.execute(f"UPDATE {table} SET {value} = ? WHERE {key} = ?", (bytes(spoilt), where))
            with pytest.raises(StoreError, match=f"{table} {where} is damaged"):
                store._get("identity")
                store.read()
        store._database.execute(f"UPDATE {table} SET {value} = ? WHERE {key} = ?", (state, where))
    assert rows and store.read()[0].log.entries == [*ENTRIES]
    store._database.execute("UPDATE entries SET entry = (SELECT entry FROM entries WHERE number = 2)")
    with pytest.raises(StoreError, match="entries 1 is damaged"):  # sound, but of another place
        store.read()


def test_a_file_without_checksums_is_upgraded_and_a_newer_one_is_rejected(tmp_path: Path) -> None:
    store = _written(tmp_path / "a")
    for table, value in (("one", "value"), ("entries", "entry"), ("views", "document")):
        store._database.execute(
            f"UPDATE {table} SET {value} = substr({value}, {CHECKSUM_SIZE + 1})"
            + (" WHERE name != 'form'" if table == "one" else "")
        )
    store._database.execute("UPDATE one SET value = CAST('1' AS BLOB) WHERE name = 'form'")
    store.close()
    again = ConsensusStore(tmp_path / "a")
    assert again.identity == store.identity and again.read()[0].log.entries == [*ENTRIES]
    assert again.read()[1] == [Document("bans", 3)]
    again._database.execute("UPDATE one SET value = CAST('3' AS BLOB) WHERE name = 'form'")
    again.close()
    with pytest.raises(StoreError, match="form 3"):
        ConsensusStore(tmp_path / "a")
