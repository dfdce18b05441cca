"""Stores the endpoints that operators have banned, in a file that all processes of a node share.

The admin commands and the cluster state change it, and the runtime polls it for changes by another process.
A ban therefore outlasts a hot restart, whichever of the two processes handled the operator's request.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator
from pathlib import Path
from urllib.parse import quote

import orjson

from puffinpost.observability import log

# Another process holds the lock only while it rewrites the file. The limit keeps a suspended process from
# blocking this one.
LOCK_TIMEOUT_S = 0.2
LOCK_RETRY_S = 0.002

FileVersion = tuple[int, int, int]  # inode, modification time in ns, size


class BanFile:
    """The banned endpoints by name, each with the Unix time in ns at which it was banned.

    Without a folder they are kept in memory only.
    """

    def __init__(self, folder: str, node: str) -> None:
        self.path = Path(folder) / f"puffinpost-{quote(node, safe='')}.bans" if folder else None
        self.banned_since_ns: dict[str, int] = {}
        self._version: FileVersion | None = None  # when the file was last read or written
        self.reload()

    def change(self, name: str, since_ns: int | None) -> None:
        """Bans an endpoint, or lifts its ban (None), and writes the file. Raises ``OSError``."""
        if self.path is None:
            _set_ban(self.banned_since_ns, name, since_ns)
            return
        with _locked(self.path):
            self.reload(repair=False)
            bans = dict(self.banned_since_ns)
            _set_ban(bans, name, since_ns)
            self._write(self.path, bans)

    def reload(self, repair: bool = True) -> bool:
        """Reads the file if it has changed, and returns whether the bans have changed.

        If the file is damaged or lost, the bans in memory stay in force, and are written to the file again
        unless ``repair`` is off.
        """
        if self.path is None:
            return False
        try:
            version = _version_of(self.path)
        except FileNotFoundError:
            if self._version is not None and repair:
                self._repair(self.path, "file lost")
            return False
        except OSError as problem:
            log.info("ban file not read", high_volume=True, reason=problem)
            return False
        if version == self._version:
            return False
        previous, is_first = self.banned_since_ns, self._version is None
        self._version = version
        try:
            self.banned_since_ns = _parse(self.path.read_bytes())
        except (OSError, ValueError) as problem:
            if repair:
                self._repair(
                    self.path, f"{problem}; {'no bans in memory' if is_first else 'rewritten from memory'}"
                )
            return False
        return self.banned_since_ns != previous

    def _repair(self, path: Path, reason: str) -> None:
        log.info("ban file repaired", path=path, reason=reason)
        try:
            with _locked(path):
                self._write(path, self.banned_since_ns)
        except OSError as problem:
            log.info("ban file not written", reason=problem)

    def _write(self, path: Path, bans: dict[str, int]) -> None:
        new = path.with_suffix(f".{os.getpid()}")
        try:
            new.write_bytes(orjson.dumps(bans))
            new.replace(path)
        except OSError:
            new.unlink(missing_ok=True)
            raise
        self.banned_since_ns = bans
        self._version = _version_of(path)


def _set_ban(bans: dict[str, int], name: str, since_ns: int | None) -> None:
    if since_ns is None:
        bans.pop(name, None)
    else:
        bans.setdefault(name, since_ns)


def _parse(data: bytes) -> dict[str, int]:
    """Decodes the content of a ban file. Raises ``ValueError``."""
    bans = orjson.loads(data)
    if not isinstance(bans, dict) or not all(isinstance(since_ns, int) for since_ns in bans.values()):
        raise ValueError("expected a JSON object of endpoint names and integer times")
    return bans


def _version_of(path: Path) -> FileVersion:
    status = path.stat()
    return status.st_ino, status.st_mtime_ns, status.st_size


@contextlib.contextmanager
def _locked(path: Path) -> Iterator[None]:
    """Holds the lock of a ban file. Raises ``BlockingIOError`` if it is not acquired in time."""
    deadline = time.monotonic() + LOCK_TIMEOUT_S
    with path.with_suffix(".lock").open("wb") as lock:
        while True:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(LOCK_RETRY_S)
        yield
