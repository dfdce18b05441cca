"""Histories on disk: what each node process wrote of itself, and what the cluster's owner saw and did.

All processes of a machine share one monotonic clock, so that their events can be merged by time.
"""

from __future__ import annotations

import time
from pathlib import Path

import msgspec

from puffinpost.emulator.mesh.history_checker import Event, EventKind


def read_history(paths: list[Path]) -> list[Event]:
    """All events of these files in the order of time; the torn last line of a killed process is left out."""
    events = []
    for path in paths:
        for line in path.read_bytes().split(b"\n") if path.exists() else ():
            if not line:
                continue
            try:
                events.append(msgspec.json.decode(line, type=Event))
            except msgspec.DecodeError:
                continue
    return sorted(events, key=lambda event: event.time_ns)


def write_history(path: Path, events: list[Event]) -> None:
    """Writes all events to one file."""
    path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in events))


class HistoryTail:
    """Reads what is appended to files; an incomplete line waits for the next read."""

    def __init__(self, paths: list[Path]) -> None:
        self.offsets = dict.fromkeys(paths, 0)

    def read_new(self) -> list[Event]:
        """The events that were appended since the last read."""
        events: list[Event] = []
        for path, offset in self.offsets.items():
            if not path.exists():
                continue
            with path.open("rb") as file:
                file.seek(offset)
                complete = file.read().rpartition(b"\n")[0]
            self.offsets[path] = offset + len(complete) + bool(complete)
            events += [msgspec.json.decode(line, type=Event) for line in complete.split(b"\n") if line]
        return events


class EventRecorder:
    """The events that the cluster's owner sees or causes."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def record(
        self, node: str, kind: EventKind, subject: str = "", document: str = "", version: int = 0
    ) -> Event:
        """Records an event, now."""
        event = Event(time.monotonic_ns(), node, kind, document, version, "", 0, subject)
        self.events.append(event)
        return event
