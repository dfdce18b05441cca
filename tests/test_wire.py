"""Tests the simulator's codec against frames written out byte by byte."""

import struct

import pytest

from puffinpost.balancing.actions import StartAttempt, StartTimer, WriteLog
from puffinpost.balancing.events import (
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateKind,
    RequestReceived,
)
from puffinpost.simulator.action_encoder import encode_actions
from puffinpost.simulator.event_decoder import EVENT_BYTES, EventDecoder, WireError
from puffinpost.simulator.settings_text import parse_settings

ARRIVAL = bytes.fromhex(
    "1e000300010c4e5d3a91c4000000000000000203b6db900191f03b7c55d20a640000000000b71b0000002b8e6401d9f37c10"
)
SETTINGS = """Classes.count=1
Classes.0.AimNs=500000000
Classes.0.HardLimitNs=2000000000
Classes.0.Repeat=safe
Classes.0.Streaming=true
Classes.0.Worth=1.0
Dcs=a,b
Discovery=on_request
FamilyInfo.MessageAimNs=150000000
FamilyInfo.TenantQuotaConnections=null
FleetSize=3
Kinds=k
Limits.AttemptsCap=4
Limits.Probes=true
Locality=1
Me=2
Report.Fields=x0,concurrent
Report.Source=on_probe
RoundNs=5000000
Rules.AnswerSlackNs=20000000
Rules.ColdFrom=0.13
Rules.DrainGraceNs=2000000000
Rules.FallMultiple=3.0
Rules.FallNs=1000000000
Rules.RampTimeNs=22000000000
Surprise.Key=7
"""


def frame(*records: bytes, tail: bytes = b"", now: int = 8412249) -> bytes:
    body = b"".join(record.ljust(EVENT_BYTES, b"\0") for record in records) + tail
    return struct.pack(">IIQ", 16 + len(body), len(records), now) + body


def test_arrival_record_is_decoded_field_by_field() -> None:
    now, items = EventDecoder().decode(frame(ARRIVAL))
    assert now == 8412249
    assert items == [
        (
            3,
            RequestReceived(
                0x00010C4E5D3A91C4, 0, 0x203B6DB90, 0, 0x91F03B7C55D20A64, 0x2B8E6401D9F37C10, 12_000_000
            ),
        ),
    ]


def test_endpoint_list_is_decoded_by_its_number() -> None:
    entry = bytes.fromhex("0a124a071f430000000000013f8000000000000000000000")
    list_record = struct.pack(">BHII", 110, 0, 0, 1)
    update_record = struct.pack(">BHHQB", 20, 3, 0, 41, 3)
    _, items = EventDecoder().decode(frame(list_record, update_record, tail=entry))
    expected = EndpointEntry(0x0A124A071F43, 0, 0, 0, EndpointStatus.READY, 1.0, 0)
    assert items == [(3, EndpointListUpdate(ListUpdateKind.CACHED, (expected,)))]


def test_actions_are_encoded_byte_by_byte() -> None:
    reply = encode_actions(
        [
            (3, StartAttempt(0x00010C4E5D3A91C4, 0x0A124A071F43, 80_000_000)),
            (3, StartTimer(500_000_000, 77)),
            (5, WriteLog("two servers unknown")),
        ]
    )
    assert struct.unpack(">II", reply[:8]) == (8 + 3 * 32 + 19, 3)
    assert reply[8:33] == bytes.fromhex("0a000300010c4e5d3a91c40a124a071f430000000004c4b400")
    assert reply[40:59] == bytes.fromhex("320003000000001dcd6500000000000000004d")
    assert reply[72:83] == bytes.fromhex("5a00050000000000000013")
    assert reply[-19:] == b"two servers unknown"


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        (b"\0\0\0\x10", "shorter than its header"),
        (struct.pack(">IIQ", 17, 0, 0), "byte 0: length 17"),
        (struct.pack(">IIQ", 16, 1, 0), "byte 4: 1 records"),
        (frame(b"\xfa\0\1"), "record 0 at byte 16: unknown event code 250"),
        (frame(ARRIVAL, b"\xfa"), "record 1 at byte 72"),
        (frame(struct.pack(">BHQII", 10, 1, 7, 0, 65535)), "tail reference"),
        (frame(struct.pack(">BHHQB", 20, 3, 7, 1, 2)), "server list 7 was never given"),
    ],
)
def test_malformed_frame_raises_an_error_that_names_the_fault(raw: bytes, message: str) -> None:
    with pytest.raises(WireError, match=message):
        EventDecoder().decode(raw)


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    settings = parse_settings(SETTINGS)
    assert (
        settings.balancer_index,
        settings.balancer_count,
        settings.zone,
        settings.zone_count,
        settings.endpoint_list_is_polled,
    ) == (2, 3, 1, 2, True)
    assert settings.load_report_fields == ("x0", "concurrent")
    assert settings.classes[0].message_latency_objective_ns == 150_000_000


@pytest.mark.parametrize("key", ["Classes.0.AimNs", "Rules.ColdFrom", "RoundNs", "Limits.AttemptsCap"])
def test_missing_or_invalid_setting_is_named_in_the_error(key: str) -> None:
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(key)]
    with pytest.raises(ValueError, match=key):
        parse_settings("\n".join(lines))
    with pytest.raises(ValueError, match=key):
        parse_settings("\n".join([*lines, f"{key}=often"]))
