"""Encodes the actions of a batch as one reply frame of the simulator's wire format.

`simulator.host` calls it. It makes no decisions.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from puffinpost.balancing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Migrate,
    PollEndpointList,
    Reject,
    StartAttempt,
    StartTimer,
    WriteLog,
)
from puffinpost.balancing.settings import EndpointId

FRAME_HEADER = struct.Struct(">II")  # length of the frame, number of records
ENDPOINT_BYTES = 6
MAX_TIMER_NS = 71 * 60 * 1_000_000_000

# Each record consists of its code, the instance and the action's fields, padded to 32 bytes.
_START_ATTEMPT_CODE, _START_ATTEMPT = 10, struct.Struct(">BHQ6sQ7x")
_REJECT_CODE, _REJECT = 20, struct.Struct(">BHQQ13x")
_FAIL_CODE, _FAIL = 30, struct.Struct(">BHQ21x")
_CANCEL_ATTEMPT_CODE, _CANCEL_ATTEMPT = 40, struct.Struct(">BHQH19x")
_START_TIMER_CODE, _START_TIMER = 50, struct.Struct(">BHQQ13x")
_CHECK_HEALTH_CODE, _CHECK_HEALTH = 60, struct.Struct(">BH6s23x")
_WRITE_LOG_CODE, _FAULT_CODE, _TEXT = 90, 100, struct.Struct(">BHII21x")
_POLL_ENDPOINT_LIST_CODE, _POLL_ENDPOINT_LIST = 110, struct.Struct(">BHB28x")
_MIGRATE_CODE, _MIGRATE = 130, struct.Struct(">BHQ21x")

_WATCH_CHANGES = 1  # in a poll: changes after the list are requested too


@dataclass(frozen=True, slots=True)
class InstanceFault:
    """An instance failed; the simulator ends its run with this text."""

    text: str


def encode_actions(actions: Iterable[tuple[int, Action | InstanceFault]]) -> bytes:
    """Encodes one reply frame for a batch's actions, each with its instance, in order."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, action in actions:
        match action:
            case StartAttempt(request, endpoint, timeout_ns):
                records.append(
                    _START_ATTEMPT.pack(
                        _START_ATTEMPT_CODE, instance, request, _endpoint_bytes(endpoint), timeout_ns
                    )
                )
            case StartTimer(after_ns, token):
                after_ns = min(max(after_ns, 0), MAX_TIMER_NS)
                records.append(_START_TIMER.pack(_START_TIMER_CODE, instance, after_ns, token))
            case CheckHealth(endpoint):
                records.append(_CHECK_HEALTH.pack(_CHECK_HEALTH_CODE, instance, _endpoint_bytes(endpoint)))
            case Reject(request, retry_after_ns):
                records.append(_REJECT.pack(_REJECT_CODE, instance, request, retry_after_ns))
            case Fail(request):
                records.append(_FAIL.pack(_FAIL_CODE, instance, request))
            case CancelAttempt(request, attempt):
                records.append(_CANCEL_ATTEMPT.pack(_CANCEL_ATTEMPT_CODE, instance, request, attempt))
            case Migrate(request):
                records.append(_MIGRATE.pack(_MIGRATE_CODE, instance, request))
            case PollEndpointList():
                records.append(_POLL_ENDPOINT_LIST.pack(_POLL_ENDPOINT_LIST_CODE, instance, _WATCH_CHANGES))
            case WriteLog(text):
                records.append(_encode_text(_WRITE_LOG_CODE, instance, text, tail))
            case InstanceFault(text):
                records.append(_encode_text(_FAULT_CODE, instance, text, tail))
    body = b"".join(records)
    length = FRAME_HEADER.size + len(body) + len(tail)
    return FRAME_HEADER.pack(length, len(records)) + body + bytes(tail)


def _endpoint_bytes(endpoint: EndpointId) -> bytes:
    return endpoint.to_bytes(ENDPOINT_BYTES, "big")


def _encode_text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    """Encodes a record that refers to its text in the frame's tail; appends the text to ``tail``."""
    raw = text.encode("utf-8", "replace")
    record = _TEXT.pack(code, instance, len(tail), len(raw))
    tail += raw
    return record
