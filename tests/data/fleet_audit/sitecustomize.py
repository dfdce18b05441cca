"""Loaded by Python at the start of the node under test: records what the fleet's filter would refuse.

Each record is one JSON line in the file that ``PUFFINPOST_AUDIT`` names: the family of each socket, processes
started or forked, and calls of sendfile and splice, with the call's name. Python's audit hooks (PEP 578)
see sockets, fork, exec and spawn; sendfile, splice and socketpair have no audit event and are wrapped.
"""

from __future__ import annotations

import json
import os
import socket
import sys
from pathlib import Path
from typing import Any

_RECORDS_PATH = os.environ.get("PUFFINPOST_AUDIT", "")
_PROCESS_START_EVENTS = {
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.exec",
    "os.spawn",
    "os.system",
    "subprocess.Popen",
    "pty.spawn",
}


def _record(what: str, **more: Any) -> None:
    with Path(_RECORDS_PATH).open("a") as out:  # one write per line, so that records survive a kill
        out.write(json.dumps({"what": what, **more}) + "\n")


def _audit_hook(event: str, args: tuple[Any, ...]) -> None:
    if event == "socket.__new__":
        _record("socket", family=int(args[1]), type=int(args[2]))
    elif event in _PROCESS_START_EVENTS:
        _record("start", call=event)


def _wrap(owner: Any, name: str) -> None:
    original = getattr(owner, name, None)
    if original is None:
        return

    def call(*args: Any, **kwargs: Any) -> Any:
        _record("refused", call=name)
        return original(*args, **kwargs)

    setattr(owner, name, call)


if _RECORDS_PATH:
    sys.addaudithook(_audit_hook)
    calls = ((os, "sendfile"), (os, "splice"), (socket, "socketpair"), (socket.socket, "sendfile"))
    for _owner, _name in calls:
        _wrap(_owner, _name)
