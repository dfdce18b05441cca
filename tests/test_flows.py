"""Flow export, decoded by a stand-in collector, and the node's behaviour without a collector."""

from __future__ import annotations

import ipaddress
import struct
import time

import pytest
from conftest import Deployment
from stand_ins import WAIT_TIMEOUT_S, SocketPeer, StandInEndpoint
from test_node import OPEN_LINE, establish_request, with_new_id


class Collector:
    """Decodes IPFIX (RFC 7011) with the templates that it receives."""

    def __init__(self, peer: SocketPeer) -> None:
        self.peer = peer
        self.templates: dict[int, list[tuple[int, int, int]]] = {}
        self.sequence = 0

    def read_exactly(self, size: int) -> bytes:
        while len(self.peer.buffer) < size:
            data = self.peer.socket.recv(65536)
            assert data, "the exporter has disconnected"
            self.peer.buffer += data
        taken, self.peer.buffer = self.peer.buffer[:size], self.peer.buffer[size:]
        return taken

    def read_message(self) -> list[dict[tuple[int, int], bytes]]:
        """Returns the records of the next message, with values by enterprise and element."""
        version, length, exported, sequence, domain = struct.unpack(">HHIII", self.read_exactly(16))
        assert (version, sequence, domain) == (10, self.sequence, 7) and abs(exported - time.time()) < 60
        body, records = self.read_exactly(length - 16), []
        while body:
            number, size = struct.unpack_from(">HH", body)
            content, body = body[4:size], body[size:]
            if number == 2:
                self.add_templates(content)
            else:
                while content:
                    record, content = self.decode_record(number, content)
                    records.append(record)
        self.sequence += len(records)
        return records

    def add_templates(self, content: bytes) -> None:
        while content:
            number, count = struct.unpack_from(">HH", content)
            content, fields = content[4:], []
            for _ in range(count):
                element, length = struct.unpack_from(">HH", content)
                enterprise = struct.unpack_from(">I", content, 4)[0] if element & 0x8000 else 0
                content = content[8 if element & 0x8000 else 4 :]
                fields.append((enterprise, element & 0x7FFF, length))
            self.templates[number] = fields

    def decode_record(self, number: int, content: bytes) -> tuple[dict[tuple[int, int], bytes], bytes]:
        values = {}
        for enterprise, element, length in self.templates[number]:
            if length == 0xFFFF:
                length, content = content[0], content[1:]
            values[enterprise, element], content = content[:length], content[length:]
        return values, content


def read_uint(raw: bytes) -> int:
    return int.from_bytes(raw, "big")


def flow_export_table(address: str) -> str:
    return f'[ipfix]\ncollector = "{address}"\nobservation_domain = 7\n'


def complete_session(deployment: Deployment, client: SocketPeer, response_lines: bytes = b"") -> None:
    upstream = establish_request(deployment, client)
    client.send(b"123456\r\n")
    assert upstream.read_line() == b"123456\r\n"
    upstream.send(response_lines + b"BYE\r\n")
    upstream.close()
    client.wait_for_close()


def test_each_completed_session_is_exported_as_one_record(deployment: Deployment) -> None:
    listener = StandInEndpoint()
    node = deployment.start(endpoint_count=1, edge=flow_export_table(listener.address))
    before = time.time_ns() // 1_000_000
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    source = client.socket.getsockname()
    complete_session(deployment, client, b"abc\r\n")
    rejected = node.connect(OPEN_LINE % 300)  # not established, so not exported
    upstream = deployment.endpoints[0].accept()
    upstream.read_line()
    assert rejected.read_line().startswith(b"BUSY") and upstream.wait_for_close() == "end"
    collector = Collector(listener.accept())
    assert collector.read_message() == [] and set(collector.templates) == {256, 257}
    [record] = collector.read_message()
    assert before <= read_uint(record[0, 152]) <= read_uint(record[0, 153]) <= time.time_ns() // 1_000_000
    assert str(ipaddress.ip_address(record[0, 8])) == source[0] and read_uint(record[0, 7]) == source[1]
    assert record[0, 12] == b"\x7f\0\0\1" and read_uint(record[0, 11]) == deployment.endpoints[0].port
    assert read_uint(record[0, 1]) == 8 and read_uint(record[29305, 1]) == 5 + 5
    assert record[0, 96] == b"live-text" and record[0, 4] == b"\6" and record[0, 136] == b"\3"
    complete_session(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    assert len(collector.read_message()) == 1
    node.stop()
    assert "flows_sent=2" in node.log_path.read_text()


@pytest.mark.parametrize("collector_disconnects", [False, True])
def test_without_a_collector_clients_are_served_and_dropped_records_are_counted(
    deployment: Deployment, collector_disconnects: bool
) -> None:
    listener = StandInEndpoint()
    node = deployment.start(endpoint_count=1, edge=flow_export_table(listener.address))
    if collector_disconnects:
        complete_session(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
        collector = Collector(listener.accept())
        assert collector.read_message() == [] and len(collector.read_message()) == 1
        collector.peer.close("reset")
    listener.socket.close()
    for _ in range(3):
        complete_session(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    assert node.stop() == 0
    assert "flows_dropped=3" in node.log_path.read_text()


def test_a_reconnected_collector_receives_queued_records(deployment: Deployment) -> None:
    listener = StandInEndpoint()
    node = deployment.start(endpoint_count=1, edge=flow_export_table(listener.address))
    complete_session(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    first = Collector(listener.accept())
    assert first.read_message() == [] and len(first.read_message()) == 1
    first.peer.close("reset")
    complete_session(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    # The templates are sent again, and the sequence numbers start again.
    second = Collector(listener.accept())
    assert second.read_message() == [] and len(second.read_message()) == 1
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while node.read_counters().get("flows_sent") != 2:
        assert time.monotonic() < deadline
