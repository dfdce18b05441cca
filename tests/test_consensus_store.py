"""The consensus store: complete after the process is killed, rejected if it is damaged or in use."""

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

ENTRIES = tuple(Entry(1, Propose(f"p{number}", "settings", {"n": number})) for number in range(5))
WRITER_SCRIPT = """
import os, sys
from pathlib import Path
from puffinpost.consensus.log import HardState
from puffinpost.consensus.messages import Entry, Noop
from puffinpost.cluster.consensus_store import ConsensusStore, Transaction
store, index = ConsensusStore(Path(sys.argv[1])), 0
while True:
    index += 1
    store.write(Transaction(HardState(index, f"n{index}"), None, index, (Entry(index, Noop()),)))
    os.write(1, b"%d\\n" % index)  # reported only after it is written
"""


def test_reopened_store_returns_the_written_state_with_replaced_entries(tmp_path: Path) -> None:
    store = ConsensusStore(tmp_path)
    identity, document = store.identity, Document("bans", 3)
    store.write(Transaction(HardState(1, "n0"), None, 1, ENTRIES))
    store.write(Transaction(HardState(2, ""), None, 3, (Entry(2, Noop()),), (document,)))
    store.close()
    reopened = ConsensusStore(tmp_path)
    state, documents = reopened.read()
    assert (state.term, state.voted_for, documents, reopened.identity) == (2, "", [document], identity)
    assert state.log.entries == [*ENTRIES[:2], Entry(2, Noop())]
    reopened.write(Transaction(snapshot=Snapshot(2, 1, {"n0": "x"}, b"state")))
    reopened.close()
    state, _ = ConsensusStore(tmp_path).read()
    assert state.log.snapshot == Snapshot(2, 1, {"n0": "x"}, b"state") and state.log.last_index == 3


def test_folder_in_use_is_rejected_and_each_new_folder_gets_a_new_identity(tmp_path: Path) -> None:
    first = ConsensusStore(tmp_path / "a")
    with pytest.raises(StoreError, match="in use by another process"):
        ConsensusStore(tmp_path / "a")
    assert ConsensusStore(tmp_path / "b").identity != first.identity
    assert (tmp_path / "a" / "operator-token").stat().st_mode & 0o077 == 0


@pytest.mark.parametrize("seed", range(4))
def test_writes_reported_before_the_process_is_killed_are_on_disk(tmp_path: Path, seed: int) -> None:
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


def test_truncated_file_is_complete_or_rejected_and_a_missing_entry_is_rejected(tmp_path: Path) -> None:
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
            truncated = ConsensusStore(folder)
            state, _ = truncated.read()
        except StoreError:
            continue
        is_complete = (state.term, state.voted_for, state.log.entries, truncated.identity) == (
            1,
            "n0",
            [*ENTRIES],
            store.identity,
        )
        is_new = (state.term, state.log.last_index) == (0, 0) and truncated.identity != store.identity
        assert is_complete or (is_new and size == 0), size
    store_with_gap = ConsensusStore(tmp_path / "a")
    store_with_gap._database.execute("DELETE FROM entries WHERE number = 2")
    with pytest.raises(StoreError, match="missing"):
        store_with_gap.read()


def _filled_store(folder: Path) -> ConsensusStore:
    store = ConsensusStore(folder)
    store.write(
        Transaction(HardState(1, "n0"), Snapshot(0, 0, {"n0": "x"}), 1, ENTRIES, (Document("bans", 3),))
    )
    return store


@pytest.mark.parametrize(
    ("table", "key", "value"),
    [("one", "name", "value"), ("entries", "number", "entry"), ("views", "doc", "document")],
)
def test_flipped_bit_in_any_value_is_rejected(tmp_path: Path, table: str, key: str, value: str) -> None:
    store = _filled_store(tmp_path / "a")
    rows = store._database.execute(f"SELECT {key}, {value} FROM {table} WHERE {key} != 'form'").fetchall()
    for row_key, stored in rows:
        for position in range(len(stored)):
            damaged = bytearray(stored)
            damaged[position] ^= 1 << position % 8
            store._database.execute(
                f"UPDATE {table} SET {value} = ? WHERE {key} = ?", (bytes(damaged), row_key)
            )
            with pytest.raises(StoreError, match=f"{table} {row_key} is damaged"):
                store._get("identity")
                store.read()
        store._database.execute(f"UPDATE {table} SET {value} = ? WHERE {key} = ?", (stored, row_key))
    assert rows and store.read()[0].log.entries == [*ENTRIES]
    store._database.execute("UPDATE entries SET entry = (SELECT entry FROM entries WHERE number = 2)")
    with pytest.raises(StoreError, match="entries 1 is damaged"):  # intact, but at another location
        store.read()


def test_file_without_checksums_is_upgraded_and_a_newer_format_is_rejected(tmp_path: Path) -> None:
    store = _filled_store(tmp_path / "a")
    for table, value in (("one", "value"), ("entries", "entry"), ("views", "document")):
        store._database.execute(
            f"UPDATE {table} SET {value} = substr({value}, {CHECKSUM_SIZE + 1})"
            + (" WHERE name != 'form'" if table == "one" else "")
        )
    store._database.execute("UPDATE one SET value = CAST('1' AS BLOB) WHERE name = 'form'")
    store.close()
    upgraded = ConsensusStore(tmp_path / "a")
    assert upgraded.identity == store.identity and upgraded.read()[0].log.entries == [*ENTRIES]
    assert upgraded.read()[1] == [Document("bans", 3)]
    upgraded._database.execute("UPDATE one SET value = CAST('3' AS BLOB) WHERE name = 'form'")
    upgraded.close()
    with pytest.raises(StoreError, match="unsupported file format 3"):
        ConsensusStore(tmp_path / "a")
