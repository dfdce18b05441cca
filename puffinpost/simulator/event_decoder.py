"""Decodes the simulator's frames: the creation and end of instances, and the events of each instance.

`simulator.host` calls it for each batch. It makes no decisions and identifies an instance only by its number.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    ClientDisconnected,
    ConnectionAdopted,
    DelayReported,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    ListUpdateKind,
    LoadReported,
    RequestReceived,
    TimerFired,
)
from puffinpost.balancing.settings import EndpointId, InvalidSettingsError, Settings
from puffinpost.errors import PuffinpostError
from puffinpost.simulator.settings_text import parse_settings

FRAME_HEADER = struct.Struct(">IIQ")  # length of the frame, number of records, clock in ns
EVENT_BYTES = 56

# Codes of the records, with their names in the simulator's wire format.
CREATE, FLEET, ARRIVAL, ESTABLISHED, COMPLETED, GONE, TICK_DUE = 10, 20, 30, 40, 50, 60, 70
PROBE_DONE, NEIGHBOUR_SAYS, RETIRE, INVENTORY, INHERITED, HINT_UPDATE = 80, 90, 100, 110, 120, 130

_CREATE = struct.Struct(">HQII")
_INVENTORY = struct.Struct(">HII")
_INVENTORY_LINE = struct.Struct(">6sHBHBfQ")
_FLEET = struct.Struct(">HHQB")
_ARRIVAL = struct.Struct(">HQIQBQQHQ")
_TICK_DUE = struct.Struct(">HQ")
_HINT_UPDATE = struct.Struct(">HQH6sBf")
_PROBE_DONE = struct.Struct(">H6sHQB4f")
_INHERITED = struct.Struct(">HQHIQQQQB6s")
_ESTABLISHED = struct.Struct(">HQH6sQ")
_COMPLETED = struct.Struct(">HQBQHH6sB4f")
_GONE = struct.Struct(">HQ")
_RETIRE = struct.Struct(">H")

# Flags of a request.
HAS_LOAD, IS_RETRY, IS_MID_FLOW, IS_RETURNING = 1, 2, 8, 16
# Kinds of a HINT_UPDATE and the units of their values.
HINT_LOAD, HINT_DELAY = 1, 2
NS_PER_LOAD_HINT, NS_PER_DELAY_HINT = 1e3, 1e6
MAX_HINT = 1e12  # a value that is not below this limit is invalid


class WireError(PuffinpostError):
    """The input is not a valid frame; the text contains the error and its position."""


@dataclass(frozen=True, slots=True)
class CreateInstance:
    """An instance starts. ``problem`` describes the error if its settings are invalid."""

    seed: int
    settings: Settings | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class RetireInstance:
    """An instance is killed."""


Item: TypeAlias = CreateInstance | RetireInstance | Event
InstanceItem: TypeAlias = tuple[int, Item]


@dataclass(slots=True)
class EventDecoder:
    """Decodes frames into pairs of an instance and an item. Keeps the endpoint lists by number."""

    endpoint_lists: dict[int, tuple[EndpointEntry, ...]] = field(default_factory=dict)

    def decode(self, frame: bytes) -> tuple[int, list[InstanceItem]]:
        """Returns the frame's clock in ns and its items, in order. Raises ``WireError`` if it is invalid."""
        if len(frame) < FRAME_HEADER.size:
            raise WireError(f"frame of {len(frame)} bytes: shorter than its header of {FRAME_HEADER.size}")
        length, count, now_ns = FRAME_HEADER.unpack_from(frame)
        if length != len(frame):
            raise WireError(f"byte 0: length {length}, but the frame holds {len(frame)} bytes")
        tail_start = FRAME_HEADER.size + count * EVENT_BYTES
        if tail_start > length:
            raise WireError(f"byte 4: {count} records need {tail_start} bytes, but the frame holds {length}")
        tail = memoryview(frame)[tail_start:]
        items: list[InstanceItem] = []
        for number in range(count):
            offset = FRAME_HEADER.size + number * EVENT_BYTES
            try:
                item = self._decode_record(frame, offset, tail)
            except WireError as error:
                raise WireError(f"record {number} at byte {offset}: {error}") from None
            except ValueError as error:
                raise WireError(
                    f"record {number} at byte {offset}: event code {frame[offset]}: {error}"
                ) from None
            if item is not None:
                items.append(item)
        return now_ns, items

    def _decode_record(self, frame: bytes, offset: int, tail: memoryview) -> InstanceItem | None:
        """Decodes a record into its instance and item; None if it has no event for an instance."""
        code = frame[offset]
        decode = _EVENT_DECODERS.get(code)
        if decode is not None:
            return decode(frame, offset + 1)
        if code == CREATE:
            return _decode_create(frame, offset + 1, tail)
        if code == FLEET:
            return self._decode_fleet(frame, offset + 1)
        if code == INVENTORY:
            self._decode_inventory(frame, offset + 1, tail)
            return None
        if code == NEIGHBOUR_SAYS:
            return None  # balancers in the simulator do not share state
        raise WireError(f"unknown event code {code}")

    def _decode_inventory(self, frame: bytes, offset: int, tail: memoryview) -> None:
        number, tail_offset, count = _INVENTORY.unpack_from(frame, offset)
        raw = _slice(tail, tail_offset, count * _INVENTORY_LINE.size)
        self.endpoint_lists[number] = tuple(
            EndpointEntry(
                _endpoint_id(name), zone, endpoint_type, cell, EndpointStatus(status), weight, started_ns
            )
            for name, zone, endpoint_type, cell, status, weight, started_ns in _INVENTORY_LINE.iter_unpack(
                raw
            )
        )

    def _decode_fleet(self, frame: bytes, offset: int) -> InstanceItem:
        instance, number, _version, kind_code = _FLEET.unpack_from(frame, offset)
        kind = ListUpdateKind(kind_code)
        if kind is ListUpdateKind.FAILED:
            return instance, EndpointListUpdate(kind)
        entries = self.endpoint_lists.get(number)
        if entries is None:
            raise WireError(f"server list {number} was never given")
        return instance, EndpointListUpdate(kind, entries)


def _decode_create(frame: bytes, offset: int, tail: memoryview) -> InstanceItem:
    instance, seed, tail_offset, size = _CREATE.unpack_from(frame, offset)
    text = bytes(_slice(tail, tail_offset, size)).decode("utf-8", "replace")
    try:
        return instance, CreateInstance(seed, parse_settings(text))
    except InvalidSettingsError as error:
        return instance, CreateInstance(seed, None, str(error))


def _decode_retire(frame: bytes, offset: int) -> InstanceItem:
    (instance,) = _RETIRE.unpack_from(frame, offset)
    return instance, RetireInstance()


def _decode_arrival(frame: bytes, offset: int) -> InstanceItem:
    instance, request, tenant, deadline_ns, flags, key, load, request_class, group = _ARRIVAL.unpack_from(
        frame, offset
    )
    return instance, _request_received(request, tenant, deadline_ns, flags, key, load, request_class, group)


def _decode_inherited(frame: bytes, offset: int) -> InstanceItem:
    instance, request, request_class, tenant, key, deadline_ns, load, group, flags, name = (
        _INHERITED.unpack_from(frame, offset)
    )
    received = _request_received(request, tenant, deadline_ns, flags, key, load, request_class, group)
    return instance, ConnectionAdopted(received, _endpoint_id(name))


def _decode_established(frame: bytes, offset: int) -> InstanceItem:
    instance, request, attempt, name, elapsed_ns = _ESTABLISHED.unpack_from(frame, offset)
    return instance, AttemptEstablished(request, attempt, _endpoint_id(name), elapsed_ns)


def _decode_completed(frame: bytes, offset: int) -> InstanceItem:
    instance, request, is_finished, elapsed_ns, code, attempt, name, report_size, *report = (
        _COMPLETED.unpack_from(frame, offset)
    )
    result = AttemptResult(code)
    load_report = tuple(report[:report_size])
    return instance, AttemptEnded(
        request, attempt, _endpoint_id(name), result, bool(is_finished), elapsed_ns, load_report
    )


def _decode_probe_done(frame: bytes, offset: int) -> InstanceItem:
    instance, name, code, elapsed_ns, report_size, *report = _PROBE_DONE.unpack_from(frame, offset)
    result = AttemptResult(code)
    return instance, HealthCheckCompleted(_endpoint_id(name), result, elapsed_ns, tuple(report[:report_size]))


def _decode_gone(frame: bytes, offset: int) -> InstanceItem:
    instance, request = _GONE.unpack_from(frame, offset)
    return instance, ClientDisconnected(request)


def _decode_tick_due(frame: bytes, offset: int) -> InstanceItem:
    instance, token = _TICK_DUE.unpack_from(frame, offset)
    return instance, TimerFired(token)


def _decode_hint_update(frame: bytes, offset: int) -> InstanceItem | None:
    instance, request, _attempt, name, kind, value = _HINT_UPDATE.unpack_from(frame, offset)
    if not 0 <= value < MAX_HINT:  # also rejects NaN; a later hint will have a valid value
        return None
    if kind == HINT_LOAD:
        return instance, LoadReported(request, int(value * NS_PER_LOAD_HINT))
    if kind == HINT_DELAY:
        return instance, DelayReported(request, _endpoint_id(name), int(value * NS_PER_DELAY_HINT))
    return None


def _request_received(
    request: int,
    tenant: int,
    deadline_ns: int,
    flags: int,
    key: int,
    load: int,
    request_class: int,
    group: int,
) -> RequestReceived:
    return RequestReceived(
        request=request,
        request_class=request_class,
        deadline_ns=deadline_ns,
        tenant=tenant,
        key=key,
        group=group,
        load=load if flags & HAS_LOAD and load else None,
        is_retry=bool(flags & IS_RETRY),
        is_mid_flow=bool(flags & IS_MID_FLOW),
        is_returning=bool(flags & IS_RETURNING),
    )


def _endpoint_id(raw: bytes) -> EndpointId:
    return int.from_bytes(raw, "big")


def _slice(tail: memoryview, offset: int, size: int) -> memoryview:
    if offset + size > len(tail):
        raise WireError(f"tail reference {offset}+{size} is past the tail's {len(tail)} bytes")
    return tail[offset : offset + size]


_EventDecoder: TypeAlias = Callable[[bytes, int], InstanceItem | None]
_EVENT_DECODERS: dict[int, _EventDecoder] = {
    ARRIVAL: _decode_arrival,
    ESTABLISHED: _decode_established,
    COMPLETED: _decode_completed,
    GONE: _decode_gone,
    TICK_DUE: _decode_tick_due,
    PROBE_DONE: _decode_probe_done,
    RETIRE: _decode_retire,
    INHERITED: _decode_inherited,
    HINT_UPDATE: _decode_hint_update,
}
