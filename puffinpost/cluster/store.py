"""What a node has on disk of agreement: one SQLite file (https://sqlite.org/atomiccommit.html) in its folder.

A write is one transaction, synced before it returns. The caller writes from a thread of its own, in order.
"""

from __future__ import annotations

import fcntl
import secrets
import sqlite3
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from puffinpost.agreement.documents import Document
from puffinpost.agreement.log import Kept, Log, Snapshot
from puffinpost.agreement.messages import Entry

FORM = 1  # of the file; another one is not read
TABLES = """
CREATE TABLE IF NOT EXISTS one (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS entries (number INTEGER PRIMARY KEY, entry BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS views (doc TEXT PRIMARY KEY, document BLOB NOT NULL) WITHOUT ROWID;
"""


class StoreError(Exception):
    """The folder cannot be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Write:
    """One transaction. ``since``: entries from this place on are replaced by ``entries``."""

    hard: tuple[int, str] | None = None
    snapshot: Snapshot | None = None
    since: int | None = None
    entries: tuple[Entry, ...] = ()
    views: tuple[Document, ...] = field(default_factory=tuple)


class Store:
    """A node's folder. Raises ``StoreError`` where another process has it, or it cannot be read."""

    def __init__(self, folder: Path) -> None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = (folder / "lock").open("wb")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StoreError(f"{folder}: another process has it") from None
        except OSError as problem:
            raise StoreError(f"{folder}: {problem.strerror}") from None
        try:
            self._base = sqlite3.connect(folder / "agreement.sqlite", check_same_thread=False,
                                         isolation_level=None)
            self._base.execute("PRAGMA journal_mode = WAL")
            self._base.execute("PRAGMA synchronous = FULL")
            found = self._base.execute("PRAGMA quick_check").fetchone()[0]
            if found != "ok":
                raise StoreError(f"{folder}: the file is damaged: {found}")
            self._base.executescript(TABLES)
            self.identity = self._begin()
        except (sqlite3.Error, msgspec.DecodeError) as problem:
            raise StoreError(f"{folder}: {problem}") from None
        token = folder / "operator-token"
        if not token.exists():
            token.touch(mode=0o600)
            token.write_text(secrets.token_hex(16))
        self.token = token.read_text()

    def _begin(self) -> str:
        form = self._one("form")
        if form is None:
            with self._base:
                self._base.execute("BEGIN")
                self._put("form", str(FORM).encode())
                self._put("identity", secrets.token_hex(8).encode())
        elif form != str(FORM).encode():
            raise StoreError(f"the file is of form {form.decode(errors='replace')}, and {FORM} is wanted")
        return (self._one("identity") or b"").decode()

    def read(self) -> tuple[Kept, list[Document]]:
        """What a voter had, and the documents that were acted on."""
        hard = self._one("hard")
        term, vote = msgspec.msgpack.decode(hard, type=tuple[int, str]) if hard else (0, "")
        kept = self._one("snapshot")
        snapshot = msgspec.msgpack.decode(kept, type=Snapshot) if kept else Snapshot()
        rows = self._base.execute("SELECT number, entry FROM entries WHERE number > ? ORDER BY number",
                                  (snapshot.index,)).fetchall()
        if [number for number, _ in rows] != list(range(snapshot.index + 1, snapshot.index + 1 + len(rows))):
            raise StoreError("entries are missing from the log")
        entries = [msgspec.msgpack.decode(entry, type=Entry) for _, entry in rows]
        views = [msgspec.msgpack.decode(row[0], type=Document)
                 for row in self._base.execute("SELECT document FROM views")]
        return Kept(term, vote, Log(snapshot, entries)), views

    def write(self, told: Write) -> None:
        """All of it, or nothing; on disk once this returns."""
        with self._base:
            self._base.execute("BEGIN IMMEDIATE")
            if told.hard is not None:
                self._put("hard", msgspec.msgpack.encode(told.hard))
            if told.snapshot is not None:
                self._put("snapshot", msgspec.msgpack.encode(told.snapshot))
                self._base.execute("DELETE FROM entries WHERE number <= ?", (told.snapshot.index,))
            if told.since is not None:
                self._base.execute("DELETE FROM entries WHERE number >= ?", (told.since,))
                self._base.executemany("INSERT INTO entries VALUES (?, ?)", [
                    (told.since + at, msgspec.msgpack.encode(entry)) for at, entry in enumerate(told.entries)
                ])
            self._base.executemany("INSERT OR REPLACE INTO views VALUES (?, ?)", [
                (view.name, msgspec.msgpack.encode(view)) for view in told.views
            ])

    def close(self) -> None:
        """Gives the folder back."""
        self._base.close()
        self._lock.close()

    def _one(self, name: str) -> bytes | None:
        row = self._base.execute("SELECT value FROM one WHERE name = ?", (name,)).fetchone()
        return bytes(row[0]) if row is not None else None

    def _put(self, name: str, value: bytes) -> None:
        self._base.execute("INSERT OR REPLACE INTO one VALUES (?, ?)", (name, value))
