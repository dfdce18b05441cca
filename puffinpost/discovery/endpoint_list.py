"""The endpoint list as discovery has reported it, with the names, ids and addresses of the endpoints.

The coordinator applies each answer and passes the resulting update to the balancer. An endpoint's id is a
hash of its name, the same on every node and after every restart, since balancing decisions depend on it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from puffinpost.address import parse_address
from puffinpost.balancing.events import EndpointEntry, EndpointListUpdate, EndpointStatus, ListUpdateKind
from puffinpost.balancing.settings import EndpointId
from puffinpost.errors import PuffinpostError
from puffinpost.units import MS

ID_BYTES = 6
MAX_NUMBER = 1e15  # a weight, start time or group at or above this is invalid

STATUS_OF_TEXT = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
TEXT_OF_STATUS = {status: text for text, status in STATUS_OF_TEXT.items()}


class EndpointListError(PuffinpostError, ValueError):
    """An answer or one of its entries is invalid. ``endpoint``: the entry's name; None for an answer."""

    def __init__(self, reason: str, endpoint: str | None = None) -> None:
        super().__init__(reason if endpoint is None else f"{endpoint}: {reason}")
        self.endpoint = endpoint


def parse(body: bytes) -> dict[str, Any]:
    """Parses the JSON of an answer. Raises ``EndpointListError`` if it is not a JSON object."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as problem:
        raise EndpointListError(f"not JSON: {problem}") from None
    if not isinstance(value, dict):
        raise EndpointListError("not a JSON object")
    return value


@dataclass(slots=True)
class EndpointList:
    """The state of all endpoints, from the answers so far.

    Removed endpoints keep their status and their address: an outdated answer may still name them, and
    established connections still refer to them.
    """

    zones: Sequence[str]
    endpoint_types: Sequence[str]
    index: int = 0  # discovery's version of the list
    discovery_changed: bool = False  # redirected to another discovery, before its full list is received
    invalid_entries: list[str] = field(default_factory=list)  # errors in the last answer
    addresses: dict[EndpointId, tuple[str, int]] = field(default_factory=dict)
    statuses: dict[EndpointId, EndpointStatus] = field(default_factory=dict)
    _started_ns: dict[EndpointId, int] = field(default_factory=dict)
    _entries: dict[EndpointId, dict[str, Any]] = field(
        default_factory=dict
    )  # the last valid ones, as received
    _ids: dict[str, EndpointId] = field(default_factory=dict)
    _names: dict[EndpointId, str] = field(default_factory=dict)

    def apply(self, answer: dict[str, Any], cached: bool = False) -> EndpointListUpdate:
        """Applies an answer, and returns it as an event for the balancer.

        Raises ``EndpointListError`` and changes nothing if the answer is not a list. An invalid entry is
        recorded in ``invalid_entries`` while the others are applied, so that a drain in one of them is not
        missed; the endpoint of an invalid entry receives no new work until it has a valid entry.
        """
        index, is_full, entries = answer.get("index"), answer.get("snapshot"), answer.get("endpoints")
        if not isinstance(index, int) or not isinstance(is_full, bool) or not isinstance(entries, list):
            raise EndpointListError("index, snapshot or endpoints is missing or of the wrong type")
        updates, addresses = self._read_entries(entries, index)
        if is_full:
            # Endpoints that are not in a full list are removed. Their status is kept, since an outdated list
            # may name them.
            self.statuses = dict.fromkeys(self.statuses, EndpointStatus.REMOVED)
            self.discovery_changed = False
        for update in updates:
            self.statuses[update.endpoint] = update.status
            self._started_ns[update.endpoint] = update.started_ns
        self.addresses.update(addresses)
        self.index = index
        return EndpointListUpdate(_update_kind(is_full, cached), tuple(updates))

    def _read_entries(
        self, entries: list[Any], index: int
    ) -> tuple[list[EndpointEntry], dict[EndpointId, tuple[str, int]]]:
        """Reads the entries of an answer, and the addresses of the endpoints that are not removed."""
        updates: list[EndpointEntry] = []
        addresses: dict[EndpointId, tuple[str, int]] = {}
        named = [entry for entry in entries if isinstance(entry, dict) and isinstance(entry.get("name"), str)]
        self.invalid_entries = ["an entry has no name"] * (len(entries) - len(named))
        # Sorted, so that names with the same hash get the same ids on every node.
        for entry in sorted(named, key=lambda item: str(item["name"])):
            try:
                update = self._read_entry(entry)
                if update.status is not EndpointStatus.REMOVED:
                    addresses[update.endpoint] = _read_address(entry)
                self._entries[update.endpoint] = entry
            except EndpointListError as problem:
                self.invalid_entries.append(str(problem))
                existing_id = self._ids.get(entry["name"])
                if existing_id is None:
                    continue
                update = self._removed_entry(existing_id)
            if index < self.index or self.discovery_changed:
                update = self._merge_outdated(update)
            updates.append(update)
        return updates, addresses

    def _read_entry(self, entry: dict[str, Any]) -> EndpointEntry:
        name = entry["name"]
        status_text = entry.get("status")
        status = STATUS_OF_TEXT.get(status_text) if isinstance(status_text, str) else None
        if status is None:
            raise EndpointListError(f"status {status_text!r} is unknown", name)
        weight = _read_number(entry, "weight", 1.0)
        started_ms = _read_number(entry, "since_ms", 0)
        cell = _read_number(entry, "group", 0)
        return EndpointEntry(
            endpoint=self.identify(name),
            zone=_position(self.zones, entry.get("zone")),
            endpoint_type=_position(self.endpoint_types, entry.get("type")),
            cell=int(cell),
            status=status,
            weight=float(weight),
            started_ns=int(started_ms * MS),
        )

    def _removed_entry(self, endpoint: EndpointId) -> EndpointEntry:
        started_ns = self._started_ns.get(endpoint, 0)
        return EndpointEntry(endpoint, 0, 0, 0, EndpointStatus.REMOVED, 1.0, started_ns)

    def _merge_outdated(self, entry: EndpointEntry) -> EndpointEntry:
        """Merges an entry that may be older than the list: it cannot make an endpoint ready again.

        This applies to an answer with a lower index, and after a redirect to another discovery, whose index
        is not comparable, until its full list is received. An endpoint whose process has restarted since then
        is ready again.
        """
        status = self.statuses.get(entry.endpoint, EndpointStatus.READY)
        has_restarted = entry.started_ns > self._started_ns.get(entry.endpoint, 0)
        if status is EndpointStatus.READY or has_restarted:
            return entry
        return replace(entry, status=status)

    def snapshot(self) -> dict[str, Any]:
        """The list as a full answer of discovery, for another process of this node.

        Removed endpoints are in it, since an outdated answer may still name them.
        """
        entries = [
            {**entry, "status": TEXT_OF_STATUS[self.statuses[endpoint]]}
            for endpoint, entry in self._entries.items()
        ]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    def merge_unavailable(self, answer: dict[str, Any]) -> EndpointListUpdate:
        """Applies only what an answer of later index takes out of use, and keeps this list's index.

        Raises ``EndpointListError`` and changes nothing if the answer is not a list.
        """
        entries = answer.get("endpoints")
        if not isinstance(entries, list):
            raise EndpointListError("endpoints is missing or of the wrong type")
        updates, _ = self._read_entries(entries, self.index)
        unavailable = tuple(
            update
            for update in updates
            if update.status is not EndpointStatus.READY
            and self.accepts_new_work(update.endpoint)
            and update.started_ns >= self._started_ns.get(update.endpoint, 0)
        )
        for update in unavailable:
            self.statuses[update.endpoint] = update.status
        return EndpointListUpdate(ListUpdateKind.DELTA, unavailable)

    def count(self) -> int:
        """How many endpoints are on the list."""
        return sum(status is not EndpointStatus.REMOVED for status in self.statuses.values())

    def accepts_new_work(self, endpoint: EndpointId) -> bool:
        """Whether an endpoint is ready."""
        return self.statuses.get(endpoint) is EndpointStatus.READY

    def started_ms(self, endpoint: EndpointId) -> int:
        """The start time of an endpoint's process, in ms, as discovery reports it; 0: unknown."""
        return self._started_ns.get(endpoint, 0) // MS

    def find(self, name: str) -> EndpointId | None:
        """The id of an endpoint that an answer has named or that was identified before; None for others."""
        return self._ids.get(name)

    def name(self, endpoint: EndpointId) -> str:
        """The name of an endpoint; ``?`` for an id without one."""
        return self._names.get(endpoint, "?")

    def identify(self, name: str) -> EndpointId:
        """The id of an endpoint, computed from its name if it is new. Ids are not 0, and are unique."""
        endpoint = self._ids.get(name)
        salt = 0
        while endpoint is None:
            candidate = _hash(f"{salt}:{name}")
            if candidate and candidate not in self._names:
                endpoint = self._ids[name] = candidate
                self._names[candidate] = name
            salt += 1
        return endpoint


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=ID_BYTES).digest(), "big")


def _update_kind(is_full: bool, cached: bool) -> ListUpdateKind:
    if cached:
        return ListUpdateKind.CACHED
    return ListUpdateKind.FULL if is_full else ListUpdateKind.DELTA


def _read_number(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key, default)
    if not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER:
        raise EndpointListError(f"{key} {value!r} is not a number from 0 to below 1e15", entry["name"])
    return value


def _read_address(entry: dict[str, Any]) -> tuple[str, int]:
    address = entry.get("address", "")
    try:
        return parse_address(address)
    except (ValueError, AttributeError):
        raise EndpointListError(f"address {entry.get('address')!r} is not HOST:PORT", entry["name"]) from None


def _position(names: Sequence[str], name: Any) -> int:
    """The index of a name in the settings' list; one past the last index for an unknown name."""
    return names.index(name) if name in names else len(names)
