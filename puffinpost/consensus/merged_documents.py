"""Documents in which many nodes change a few entries at a time: bans and the endpoint list.

`documents` merges each proposed change as soon as it is in the log, so that concurrent changes of different
entries both take effect. Entries of one endpoint are ordered by its start time (``since_ms``) and then by
discovery's ``index``, never by arrival.
"""

from __future__ import annotations

from typing import Any

BANS, ENDPOINT_LIST = "bans", "list"
MERGED_DOCUMENTS = (BANS, ENDPOINT_LIST)
STATUS_REMOVED = "removed"


def change_problem(document: str, change: Any) -> str:
    """Returns what is wrong with a change, with its key; empty if it is valid."""
    if not isinstance(change, dict):
        return f"{document}: {change!r:.40} is not a table"
    return _bans_problem(change) if document == BANS else _endpoint_list_problem(change)


def _bans_problem(change: dict[str, Any]) -> str:
    banned, lifted = change.get("ban", {}), change.get("lift", [])
    if set(change) - {"ban", "lift"} or not isinstance(banned, dict) or not isinstance(lifted, list):
        return "bans: wants ban (names with times in ns) and lift (a list of names)"
    invalid = [name for name, since_ns in banned.items() if type(since_ns) is not int]
    return f"bans.ban.{invalid[0]}: wants the time of the ban in ns" if invalid else ""


def _endpoint_list_problem(change: dict[str, Any]) -> str:
    index, is_snapshot, entries = change.get("index"), change.get("snapshot"), change.get("endpoints")
    if not isinstance(index, int) or not isinstance(is_snapshot, bool) or not isinstance(entries, list):
        return "list: wants index, snapshot and endpoints, as discovery has them"
    all_named = all(isinstance(entry, dict) and isinstance(entry.get("name"), str) for entry in entries)
    return "" if all_named else "list.endpoints: an entry has no name"


def merge(document: str, content: Any, change: Any) -> Any:
    """Returns the content after a change; an invalid change has no effect."""
    before = dict(content) if isinstance(content, dict) else {}
    if change_problem(document, change):
        return before
    return _merge_bans(before, change) if document == BANS else _merge_endpoint_list(before, change)


def _merge_bans(before: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    lifted = change.get("lift", [])
    remaining = {name: since_ns for name, since_ns in before.items() if name not in lifted}
    return {**change.get("ban", {}), **remaining}  # an existing ban retains its time


def _merge_endpoint_list(before: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    index, entries = change["index"], change["endpoints"]
    after = dict(before)
    for discovered in entries:
        entry = {**discovered, "index": index}
        if _replaces(entry, after.get(entry["name"])):
            after[entry["name"]] = entry
    if change["snapshot"]:
        for name in after.keys() - {entry["name"] for entry in entries}:
            existing = after[name]
            if existing.get("status") != STATUS_REMOVED and existing.get("index", 0) < index:
                after[name] = {**existing, "status": STATUS_REMOVED, "index": index}
    return dict(sorted(after.items()))


def _replaces(entry: dict[str, Any], existing: dict[str, Any] | None) -> bool:
    if existing is None:
        return True
    is_duplicate = {**existing, "index": 0} == {**entry, "index": 0}
    return not is_duplicate and _order(entry) >= _order(existing)


def _order(entry: dict[str, Any]) -> tuple[float, int]:
    since_ms = entry.get("since_ms", 0)
    return since_ms if isinstance(since_ms, int | float) else 0, entry.get("index", 0)


def to_discovery_answer(content: dict[str, Any]) -> dict[str, Any]:
    """Returns the endpoint list in the format of discovery's answer."""
    endpoints = [
        {key: value for key, value in entry.items() if key != "index"}
        for entry in content.values()
        if entry.get("status") != STATUS_REMOVED
    ]
    index = max((int(entry.get("index", 0)) for entry in content.values()), default=0)
    return {"index": index, "snapshot": True, "endpoints": endpoints}
