"""Stores a node's replicas in a SQLite file, in the same folder as the consensus store.

Other nodes have all of its content too, so an unreadable file is renamed and the node starts empty, and a
damaged row is requested from peers. The caller writes from one thread; each write is one transaction.
"""

from __future__ import annotations

import sqlite3
import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from puffinpost.errors import PuffinpostError
from puffinpost.replication.hybrid_clock import Timestamp
from puffinpost.replication.messages import ReplicaPosition
from puffinpost.replication.pending_changes import PendingChanges
from puffinpost.replication.rows import Origin, Row

FORMAT_VERSION = 1
FILE_NAME = "replica.sqlite"
FILE_NAMES = (FILE_NAME, "replica.sqlite-wal", "replica.sqlite-shm")
UNREADABLE_PREFIX = "damaged-"
TABLES = """
CREATE TABLE IF NOT EXISTS form (form INTEGER PRIMARY KEY);
CREATE TABLE IF NOT EXISTS marks (node TEXT, life INTEGER, seq INTEGER, floor INTEGER, check_ INTEGER,
                                  PRIMARY KEY (node, life)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS rows (node TEXT, life INTEGER, seq INTEGER, row BLOB NOT NULL,
                                 PRIMARY KEY (node, life, seq)) WITHOUT ROWID;
"""


class UnreadableStoreError(PuffinpostError):
    """The file is damaged or has another format version."""


class ReplicaStore:
    """A node's file. ``on_unreadable`` is called with the reason if an existing file cannot be read."""

    def __init__(self, folder: Path, on_unreadable: Callable[[str], None]) -> None:
        self.path = folder / FILE_NAME
        try:
            self._database = self._open()
        except (sqlite3.Error, ValueError, UnreadableStoreError) as problem:  # ValueError: text not in UTF-8
            on_unreadable(str(problem))
            self._rename_files()
            self._database = self._open()

    def _rename_files(self) -> None:
        for name in FILE_NAMES:
            path = self.path.with_name(name)
            if path.exists():
                path.replace(path.with_name(UNREADABLE_PREFIX + name))

    def _open(self) -> sqlite3.Connection:
        database = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None)
        try:
            _prepare(database)
        except BaseException:
            database.close()
            raise
        return database

    def read(self) -> tuple[list[ReplicaPosition], list[tuple[Origin, Row]]]:
        """Returns all positions and rows.

        A damaged row is replaced by an empty row with its sequence number and a wrong checksum. An origin
        whose position is damaged is omitted, with all its rows.
        """
        positions = [
            ReplicaPosition(Origin(node, incarnation), sequence, floor)
            for node, incarnation, sequence, floor, checksum in self._database.execute("SELECT * FROM marks")
            if checksum == _position_checksum(node, incarnation, sequence, floor)
        ]
        readable = {position.origin for position in positions}
        rows = []
        stored = self._database.execute("SELECT * FROM rows ORDER BY node, life, seq")
        for node, incarnation, sequence, encoded in stored:
            origin = Origin(node, incarnation)
            if origin in readable:
                rows.append((origin, _decode_row(encoded, sequence)))
        return positions, rows

    def write(self, changes: PendingChanges, positions: dict[Origin, ReplicaPosition]) -> None:
        """Stores changes and the positions that match them in one transaction. Raises ``sqlite3.Error``."""
        with self._database:
            self._database.execute("BEGIN IMMEDIATE")
            self._delete(changes)
            self._insert(changes, positions)

    def _delete(self, changes: PendingChanges) -> None:
        origins = [(origin.node, origin.incarnation) for origin in changes.deleted_origins]
        self._database.executemany("DELETE FROM marks WHERE node = ? AND life = ?", origins)
        self._database.executemany("DELETE FROM rows WHERE node = ? AND life = ?", origins)
        self._database.executemany(
            "DELETE FROM rows WHERE node = ? AND life = ? AND seq = ?",
            [(origin.node, origin.incarnation, sequence) for origin, sequence in changes.deleted],
        )

    def _insert(self, changes: PendingChanges, positions: dict[Origin, ReplicaPosition]) -> None:
        self._database.executemany(
            "INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?)",
            [
                (origin.node, origin.incarnation, row.sequence, msgspec.msgpack.encode(row))
                for origin, row in changes.inserted
            ],
        )
        self._database.executemany(
            "INSERT OR REPLACE INTO marks VALUES (?, ?, ?, ?, ?)",
            [_position_record(position) for position in positions.values()],
        )

    def close(self) -> None:
        """Closes the file."""
        self._database.close()


def _prepare(database: sqlite3.Connection) -> None:
    """Checks the file and creates its tables. Raises ``sqlite3.Error`` or ``UnreadableStoreError``."""
    database.execute("PRAGMA journal_mode = WAL")
    # A commit lost in a power failure is requested from peers, which is safe, because an incarnation never
    # writes again after its process has ended.
    database.execute("PRAGMA synchronous = NORMAL")
    result = database.execute("PRAGMA quick_check").fetchone()[0]
    if result != "ok":
        raise UnreadableStoreError(result)
    database.executescript(TABLES)
    database.execute(
        "INSERT OR IGNORE INTO form SELECT ? WHERE NOT EXISTS (SELECT * FROM form)", (FORMAT_VERSION,)
    )
    versions = [version for (version,) in database.execute("SELECT form FROM form")]
    if versions != [FORMAT_VERSION]:
        raise UnreadableStoreError(f"format versions {versions}, expected {FORMAT_VERSION}")


def _decode_row(encoded: bytes, sequence: int) -> Row:
    """Decodes a stored row.

    A row that is damaged or has another sequence number is replaced by an empty one with a wrong checksum.
    """
    try:
        row = msgspec.msgpack.decode(encoded, type=Row)
    except (msgspec.DecodeError, UnicodeDecodeError):
        row = None
    if row is None or row.sequence != sequence:
        return Row(sequence, "", "", Timestamp(0, 0, ""), None, 0)
    return row


def _position_record(position: ReplicaPosition) -> tuple[str, int, int, int, int]:
    """Returns the values of a position's row in the table of positions."""
    origin = position.origin
    fields = origin.node, origin.incarnation, position.sequence, position.tombstone_floor
    return *fields, _position_checksum(*fields)


def _position_checksum(node: str, incarnation: int, sequence: int, tombstone_floor: int) -> int:
    return zlib.crc32(f"{node}\0{incarnation}\0{sequence}\0{tombstone_floor}".encode())
