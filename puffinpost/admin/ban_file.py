"""The endpoints that operators have banned, in a file that all processes of a node share.

The admin commands and the cluster state change it, and the runtime polls it for changes by another process.
So a ban holds over an upgrade, whichever process was called.
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

# The other process holds the lock for a rename only; one that is stopped must not block this one.
LOCK_TIMEOUT_S = 0.2
LOCK_RETRY_S = 0.002

FileVersion = tuple[int, int, int]  # inode, modification time in ns, size


class BanFile:
    """Names of endpoints, each with when it was banned (Unix time, ns).

    Without a folder they are in memory only.
    """

    def __init__(self, folder: str, node: str) -> None:
        self.path = Path(folder) / f"puffinpost-{quote(node, safe='')}.bans" if folder else None
        self.names: dict[str, int] = {}
        self._version: FileVersion | None = None  # of the file when it was last read or written
        self.reload()

    def change(self, name: str, since_ns: int | None) -> None:
        """Bans an endpoint, or lifts its ban (None), in the file once this returns. Raises ``OSError``."""
        if self.path is None:
            _set_ban(self.names, name, since_ns)
            return
        with _locked(self.path):
            self.reload(repair=False)
            names = dict(self.names)
            _set_ban(names, name, since_ns)
            self._write(self.path, names)

    def reload(self, repair: bool = True) -> bool:
        """Reads the file if it has changed; whether the names have.

        Guards against a file that is damaged or lost: the bans known here stay in force, and are written
        again unless ``repair`` is off.
        """
        if self.path is None:
            return False
        try:
            version = _version_of(self.path)
        except FileNotFoundError:
            if self._version is not None and repair:
                self._repair(self.path, "is lost")
            return False
        except OSError as problem:
            log.info("ban file not read", high_volume=True, reason=problem)
            return False
        if version == self._version:
            return False
        previous, is_first = self.names, self._version is None
        self._version = version
        try:
            self.names = _parse(self.path.read_bytes())
        except (OSError, ValueError) as problem:
            if repair:
                self._repair(self.path, f"{problem}; {'nothing is known of bans' if is_first else 'mended'}")
            return False
        return self.names != previous

    def _repair(self, path: Path, reason: str) -> None:
        log.info("ban file repaired", path=path, reason=reason)
        try:
            with _locked(path):
                self._write(path, self.names)
        except OSError as problem:
            log.info("ban file not written", reason=problem)

    def _write(self, path: Path, names: dict[str, int]) -> None:
        new = path.with_suffix(f".{os.getpid()}")
        try:
            new.write_bytes(orjson.dumps(names))
            new.replace(path)
        except OSError:
            new.unlink(missing_ok=True)
            raise
        self.names = names
        self._version = _version_of(path)


def _set_ban(names: dict[str, int], name: str, since_ns: int | None) -> None:
    if since_ns is None:
        names.pop(name, None)
    else:
        names.setdefault(name, since_ns)


def _parse(data: bytes) -> dict[str, int]:
    """The content of a file. Raises ``ValueError``."""
    names = orjson.loads(data)
    if not isinstance(names, dict) or not all(isinstance(since_ns, int) for since_ns in names.values()):
        raise ValueError("not an object of times by name")
    return names


def _version_of(path: Path) -> FileVersion:
    status = path.stat()
    return status.st_ino, status.st_mtime_ns, status.st_size


@contextlib.contextmanager
def _locked(path: Path) -> Iterator[None]:
    """Holds the lock of a file of bans. Raises ``BlockingIOError`` where it cannot be had in time."""
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
