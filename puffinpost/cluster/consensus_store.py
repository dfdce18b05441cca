"""Stores a node's consensus state in one SQLite file in its folder (https://sqlite.org/atomiccommit.html).

Each write is one transaction, synced before it returns; the caller writes from one thread, in order.
SQLite pages have no checksum, so each value has its own (CRC-32 of its location and the value), which detects
both a flipped bit and a value at the wrong location.
"""

from __future__ import annotations

import fcntl
import secrets
import sqlite3
import zlib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from puffinpost.consensus.documents import Document
from puffinpost.consensus.log import HardState, Log, PersistentState, Snapshot
from puffinpost.consensus.messages import Entry
from puffinpost.errors import PuffinpostError

DATABASE_FILE, LOCK_FILE, TOKEN_FILE = "agreement.sqlite", "lock", "operator-token"
FORMAT_VERSION = 2
FORMAT_WITHOUT_CHECKSUMS = b"1"  # upgraded when opened; any other version is rejected
CHECKSUM_SIZE = 4
IDENTITY_SIZE, TOKEN_SIZE = 8, 16  # bytes
TABLES = """
CREATE TABLE IF NOT EXISTS one (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS entries (number INTEGER PRIMARY KEY, entry BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS views (doc TEXT PRIMARY KEY, document BLOB NOT NULL) WITHOUT ROWID;
"""
COLUMNS = (("one", "name", "value"), ("entries", "number", "entry"), ("views", "doc", "document"))


class StoreError(PuffinpostError):
    """The folder cannot be used; the text states the reason."""


@dataclass(frozen=True, slots=True)
class Transaction:
    """The changes of one write; None leaves a value unchanged.

    ``entries`` replace all stored entries from ``first_changed_index`` on.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    first_changed_index: int | None = None
    entries: tuple[Entry, ...] = ()
    documents: tuple[Document, ...] = ()


def with_checksum(location: str, value: bytes) -> bytes:
    """Returns a value with the checksum of its location and content in front."""
    checksum = zlib.crc32(value, zlib.crc32(location.encode()))
    return checksum.to_bytes(CHECKSUM_SIZE, "big") + value


def verified(location: str, stored: bytes) -> bytes:
    """Returns the value. Raises ``StoreError`` if it is not what was written at this location."""
    value = stored[CHECKSUM_SIZE:]
    if with_checksum(location, value) != stored:
        raise StoreError(f"{location} is damaged: checksum mismatch")
    return value


class ConsensusStore:
    """A node's folder. Raises ``StoreError`` if another process uses it or it cannot be read.

    ``identity`` is generated with a new file; ``token`` is the secret that operators need to query the node.
    """

    def __init__(self, folder: Path) -> None:
        self._lock_folder(folder)
        try:
            self._open_database(folder)
            self.identity = self._initialize()
        except (sqlite3.Error, msgspec.DecodeError) as problem:
            raise StoreError(f"{folder}: {problem}") from None
        self.token = _operator_token(folder)

    def _lock_folder(self, folder: Path) -> None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = (folder / LOCK_FILE).open("wb")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StoreError(f"{folder}: in use by another process") from None
        except OSError as problem:
            raise StoreError(f"{folder}: {problem.strerror}") from None

    def _open_database(self, folder: Path) -> None:
        path = folder / DATABASE_FILE
        self._database = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self._database.execute("PRAGMA journal_mode = WAL")
        self._database.execute("PRAGMA synchronous = FULL")
        result = self._database.execute("PRAGMA quick_check").fetchone()[0]
        if result != "ok":
            raise StoreError(f"{folder}: the file is damaged: {result}")
        self._database.executescript(TABLES)

    def _initialize(self) -> str:
        """Initializes a new file or upgrades one of format 1, and returns the node's identity."""
        row = self._database.execute("SELECT value FROM one WHERE name = 'form'").fetchone()
        version = bytes(row[0]) if row is not None else None
        if version is None:
            with self._database:
                self._database.execute("BEGIN")
                self._put("identity", secrets.token_hex(IDENTITY_SIZE).encode())
                self._write_format_version()
        elif version == FORMAT_WITHOUT_CHECKSUMS:
            self._add_checksums()
        elif version != str(FORMAT_VERSION).encode():
            text = version.decode(errors="replace")
            raise StoreError(f"unsupported file format {text}, expected {FORMAT_VERSION}")
        identity = self._get("identity")
        if identity is None:
            raise StoreError("the file has no identity")
        return identity.decode()

    def _write_format_version(self) -> None:
        version = str(FORMAT_VERSION).encode()
        self._database.execute("INSERT OR REPLACE INTO one VALUES ('form', ?)", (version,))

    def _add_checksums(self) -> None:
        """Upgrades a file of format 1 in one transaction."""
        with self._database:
            self._database.execute("BEGIN IMMEDIATE")
            for table, key_column, value_column in COLUMNS:
                rows = self._database.execute(
                    f"SELECT {key_column}, {value_column} FROM {table} WHERE {key_column} != 'form'"
                )
                self._database.executemany(
                    f"UPDATE {table} SET {value_column} = ? WHERE {key_column} = ?",
                    [(with_checksum(f"{table} {key}", bytes(value)), key) for key, value in rows.fetchall()],
                )
            self._write_format_version()

    # --- reading --------------------------------------------------------------------------------------

    def read(self) -> tuple[PersistentState, list[Document]]:
        """Returns the voter's state and the documents that this node acted on. Raises ``StoreError``."""
        hard_state_value, snapshot_value = self._get("hard"), self._get("snapshot")
        hard_state, snapshot = HardState(0, ""), Snapshot()
        if hard_state_value:
            hard_state = msgspec.msgpack.decode(hard_state_value, type=HardState)
        if snapshot_value:
            snapshot = msgspec.msgpack.decode(snapshot_value, type=Snapshot)
        log = Log(snapshot, self._read_entries(snapshot.index))
        return PersistentState(hard_state.term, hard_state.voted_for, log), self._read_documents()

    def _read_entries(self, snapshot_index: int) -> list[Entry]:
        query = "SELECT number, entry FROM entries WHERE number > ? ORDER BY number"
        rows = self._database.execute(query, (snapshot_index,)).fetchall()
        first_index = snapshot_index + 1
        if [index for index, _ in rows] != list(range(first_index, first_index + len(rows))):
            raise StoreError("entries are missing from the log")
        return [
            msgspec.msgpack.decode(verified(f"entries {index}", value), type=Entry) for index, value in rows
        ]

    def _read_documents(self) -> list[Document]:
        rows = self._database.execute("SELECT doc, document FROM views")
        return [
            msgspec.msgpack.decode(verified(f"views {name}", value), type=Document) for name, value in rows
        ]

    def _get(self, name: str) -> bytes | None:
        row = self._database.execute("SELECT value FROM one WHERE name = ?", (name,)).fetchone()
        return verified(f"one {name}", bytes(row[0])) if row is not None else None

    # --- writing --------------------------------------------------------------------------------------

    def write(self, transaction: Transaction) -> None:
        """Writes a transaction atomically; it is on disk once this returns. Raises ``sqlite3.Error``."""
        with self._database:
            self._database.execute("BEGIN IMMEDIATE")
            if transaction.hard_state is not None:
                self._put("hard", msgspec.msgpack.encode(transaction.hard_state))
            if transaction.snapshot is not None:
                self._put("snapshot", msgspec.msgpack.encode(transaction.snapshot))
                index = transaction.snapshot.index
                self._database.execute("DELETE FROM entries WHERE number <= ?", (index,))
            if transaction.first_changed_index is not None:
                self._replace_entries(transaction.first_changed_index, transaction.entries)
            self._put_documents(transaction.documents)

    def _replace_entries(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        self._database.execute("DELETE FROM entries WHERE number >= ?", (first_index,))
        rows = [
            (index, with_checksum(f"entries {index}", msgspec.msgpack.encode(entry)))
            for index, entry in enumerate(entries, first_index)
        ]
        self._database.executemany("INSERT INTO entries VALUES (?, ?)", rows)

    def _put_documents(self, documents: tuple[Document, ...]) -> None:
        rows = [
            (document.name, with_checksum(f"views {document.name}", msgspec.msgpack.encode(document)))
            for document in documents
        ]
        self._database.executemany("INSERT OR REPLACE INTO views VALUES (?, ?)", rows)

    def _put(self, name: str, value: bytes) -> None:
        stored = with_checksum(f"one {name}", value)
        self._database.execute("INSERT OR REPLACE INTO one VALUES (?, ?)", (name, stored))

    def close(self) -> None:
        """Closes the file and releases the folder."""
        self._database.close()
        self._lock.close()


def _operator_token(folder: Path) -> str:
    path = folder / TOKEN_FILE
    if not path.exists():
        path.touch(mode=0o600)
        path.write_text(secrets.token_hex(TOKEN_SIZE))
    return path.read_text()
