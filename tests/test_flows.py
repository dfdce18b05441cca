"""Flow export, decoded by a stand-in collector, and the node without one."""

from __future__ import annotations

import ipaddress
import struct
import time

import pytest
from conftest import Deployment
from stand_ins import WAIT_TIMEOUT_S, SocketPeer, StandInEndpoint
from test_node import OPEN_LINE, establish_request, with_new_id


class Collector:
    """Decodes IPFIX as RFC 7011 has it, by the templates that it is sent."""

    def __init__(self, peer: SocketPeer) -> None:
        self.peer = peer
        self.templates: dict[int, list[tuple[int, int, int]]] = {}
        self.sequence = 0

    def take(self, size: int) -> bytes:
        while len(self.peer.buffer) < size:
            data = self.peer.socket.recv(65536)
            assert data, "the exporter has gone"
            self.peer.buffer += data
        got, self.peer.buffer = self.peer.buffer[:size], self.peer.buffer[size:]
        return got

    def message(self) -> list[dict[tuple[int, int], bytes]]:
        """The records of the next message, by enterprise and element."""
        version, length, exported, sequence, domain = struct.unpack(">HHIII", self.take(16))
        assert (version, sequence, domain) == (10, self.sequence, 7) and abs(exported - time.time()) < 60
        body, records = self.take(length - 16), []
        while body:
            number, size = struct.unpack_from(">HH", body)
            inner, body = body[4:size], body[size:]
            if number == 2:
                self.learn(inner)
            else:
                while inner:
                    record, inner = self.record(number, inner)
                    records.append(record)
        self.sequence += len(records)
        return records

    def learn(self, inner: bytes) -> None:
        while inner:
            number, count = struct.unpack_from(">HH", inner)
            inner, fields = inner[4:], []
            for _ in range(count):
                element, length = struct.unpack_from(">HH", inner)
                enterprise = struct.unpack_from(">I", inner, 4)[0] if element & 0x8000 else 0
                inner = inner[8 if element & 0x8000 else 4 :]
                fields.append((enterprise, element & 0x7FFF, length))
            self.templates[number] = fields

    def record(self, number: int, inner: bytes) -> tuple[dict[tuple[int, int], bytes], bytes]:
        found = {}
        for enterprise, element, length in self.templates[number]:
            if length == 0xFFFF:
                length, inner = inner[0], inner[1:]
            found[enterprise, element], inner = inner[:length], inner[length:]
        return found, inner


def read_uint(raw: bytes) -> int:
    return int.from_bytes(raw, "big")


def edge(address: str) -> str:
    return f'[ipfix]\ncollector = "{address}"\nobservation_domain = 7\n'


def finish(deployment: Deployment, client: SocketPeer, back: bytes = b"") -> None:
    relay = establish_request(deployment, client)
    client.send(b"123456\r\n")
    assert relay.read_line() == b"123456\r\n"
    relay.send(back + b"BYE\r\n")
    relay.close()
    client.wait_for_close()


def test_each_completed_connection_is_one_record(deployment: Deployment) -> None:
    server = StandInEndpoint()
    node = deployment.start(endpoint_count=1, edge=edge(server.address))
    before = time.time_ns() // 1_000_000
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    source = client.socket.getsockname()
    finish(deployment, client, b"abc\r\n")
    refused = node.connect(OPEN_LINE % 300)  # never stood, so it is no flow
    relay = deployment.endpoints[0].accept()
    relay.read_line()
    assert refused.read_line().startswith(b"BUSY") and relay.wait_for_close() == "end"
    collector = Collector(server.accept())
    assert collector.message() == [] and set(collector.templates) == {256, 257}
    [record] = collector.message()
    assert before <= read_uint(record[0, 152]) <= read_uint(record[0, 153]) <= time.time_ns() // 1_000_000
    assert str(ipaddress.ip_address(record[0, 8])) == source[0] and read_uint(record[0, 7]) == source[1]
    assert record[0, 12] == b"\x7f\0\0\1" and read_uint(record[0, 11]) == deployment.endpoints[0].port
    assert read_uint(record[0, 1]) == 8 and read_uint(record[29305, 1]) == 5 + 5
    assert record[0, 96] == b"live-text" and record[0, 4] == b"\6" and record[0, 136] == b"\3"
    finish(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    assert len(collector.message()) == 1
    node.stop()
    assert "flows_sent=2" in node.log_path.read_text()


@pytest.mark.parametrize("leaves", [False, True])
def test_an_absent_collector_costs_only_counted_records(deployment: Deployment, leaves: bool) -> None:
    server = StandInEndpoint()
    node = deployment.start(endpoint_count=1, edge=edge(server.address))
    if leaves:
        finish(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
        collector = Collector(server.accept())
        assert collector.message() == [] and len(collector.message()) == 1
        collector.peer.close("reset")
    server.socket.close()
    for _ in range(3):
        finish(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    assert node.stop() == 0
    assert "flows_dropped=3" in node.log_path.read_text()


def test_a_reconnected_collector_receives_queued_records(deployment: Deployment) -> None:
    server = StandInEndpoint()
    node = deployment.start(endpoint_count=1, edge=edge(server.address))
    finish(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    first = Collector(server.accept())
    assert first.message() == [] and len(first.message()) == 1
    first.peer.close("reset")
    finish(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    again = Collector(server.accept())  # the templates come anew, and the sequence starts again
    assert again.message() == [] and len(again.message()) == 1
    until = time.monotonic() + WAIT_TIMEOUT_S
    while node.read_counters().get("flows_sent") != 2:
        assert time.monotonic() < until
