"""The admin server: requests, metrics, and requests that are never completed."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time

import pytest
from conftest import Deployment
from stand_ins import ROOT, NodeProcess, read_http_response
from test_node import OPEN_LINE, establish_request, with_new_id

OPERATION_METRICS = [
    f"operations.{name}.{outcome}"
    for name in ("live-text", "once")
    for outcome in ("fulfilled", "throttled", "faulted")
]


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /ready HTTP/1.1\r\n\r\n", 200),
        (b"HEAD /ready HTTP/1.0\r\n\r\n", 200),
        (b"GET http://n0/metrics?all HTTP/1.1\r\nHost: n0\r\n\r\n", 200),
        (b"GET /ready HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", 200),
        (b"GET /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200),
        (b"GET /else HTTP/1.1\r\n\r\n", 404),
        (b"POST /ready HTTP/1.1\r\n\r\n", 405),
        (b"DELETE /metrics HTTP/1.1\r\n\r\n", 405),
        (b"BREW /metrics HTTP/1.1\r\n\r\n", 405),
        (b"hello\r\n\r\n", 400),
        (b"GET  HTTP/1.1\r\n\r\n", 400),
        (b"GET /ready HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET /ready HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET /ready HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET /ready HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"GET /ready HTTP/2.0\r\n\r\n", 505),
        (b"POST /ready HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413),
        (b"GET /ready HTTP/1.1\r\nX: " + b"x" * 9000, 431),
    ],
)
@pytest.mark.parametrize("step", [1, 100_000])
def test_admin_request_is_answered_however_it_is_fragmented(
    deployment: Deployment, sent: bytes, status: int, step: int
) -> None:
    node = deployment.start()
    deployment.discovery.wait_for_polls(2)  # the full list, and the watch that continues from its version
    caller = node.connect(b"", node.admin_port)
    step = max(step, len(sent) // 100)
    for offset in range(0, len(sent), step):
        caller.send(sent[offset : offset + step])
    answered_status, body = read_http_response(caller)
    assert answered_status == status and bool(body) != sent.startswith(b"HEAD")


def test_ready_once_endpoint_list_is_current_and_not_while_draining(deployment: Deployment) -> None:
    deployment.discovery.reply_format = "503"
    node = deployment.start()
    deployment.discovery.wait_for_polls(1)
    assert node.request_admin("GET", "/ready")[0] == 503
    deployment.discovery.reply_format = ""
    deadline = time.monotonic() + 10
    while node.request_admin("GET", "/ready")[0] != 200:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    node.process.terminate()
    while node.request_admin("GET", "/ready")[0] != 503:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    assert upstream.wait_for_close() == "end" and node.process.wait(10) == 0


def test_metrics_start_at_zero_and_count_each_outcome(deployment: Deployment) -> None:
    node = deployment.start()
    first = node.read_metrics()
    assert list(first)[:6] == OPERATION_METRICS and all(first[name] == 0 for name in OPERATION_METRICS)
    assert {first[name] for name in ("relayed", "cfg_accepted", "cfg_invalid", "open_requests")} == {0}
    assert first["registry_entries"] == 2 and first["out_of_rotation"] == 0
    clients = [node.connect(with_new_id(OPEN_LINE % 3000)) for _ in range(2)]
    upstreams = [establish_request(deployment, client) for client in clients[:1]]
    failing_client = node.connect(with_new_id(OPEN_LINE % 3000).replace(b"live-text", b"once"))
    node.wait_for_metric("relayed", 3)
    after = node.read_metrics()
    assert after["open_requests"] == 3 and after["operations.live-text.fulfilled"] == 1
    for endpoint in deployment.endpoints:
        while endpoint.has_pending_connection():
            upstream = endpoint.accept()
            line = upstream.read_line()
            upstream.send(b"ERR\r\n" if b"once" in line else b"UP 1\r\n")
            upstreams.append(upstream)
    assert clients[1].read_line() == b"UP 1\r\n" and failing_client.read_line() == b"ERR\r\n"
    clients[0].close()
    node.wait_for_metric("open_requests", 1)
    assert [node.read_metrics()[name] for name in OPERATION_METRICS] == [2, 0, 0, 0, 0, 1]
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    node.wait_for_metric("out_of_rotation", 1)
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address, "removed")
    node.wait_for_metric("registry_entries", 1)
    assert node.read_metrics()["out_of_rotation"] == 0


def test_reloads_are_counted_as_accepted_or_invalid(deployment: Deployment) -> None:
    node = deployment.start()
    node.reload()
    node.reload("{")
    assert [node.read_metrics()[name] for name in ("cfg_accepted", "cfg_invalid")] == [1, 1]


def test_incomplete_admin_requests_displace_neither_complete_ones_nor_clients(deployment: Deployment) -> None:
    node = deployment.start(sockets=64)
    incomplete = [node.connect(b"GET /metrics HT", node.admin_port) for _ in range(100)]
    idle = [node.connect() for _ in range(100)]
    for _ in range(20):
        began = time.monotonic()
        assert node.request_admin("GET", "/metrics")[0] == 200
        assert time.monotonic() - began < 1
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    assert incomplete and idle and node.process.poll() is None and upstream


def test_inherited_listening_socket_is_adopted_and_outlives_the_node(deployment: Deployment) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        node = deployment.start(inherited_listener=listener)
        client = node.connect(with_new_id(OPEN_LINE % 3000))
        upstream = establish_request(deployment, client)
        assert node.stop() == 0 and upstream.wait_for_close() == "end"
        late = node.connect(b"PING\r\n")  # the connection is not refused: it waits for the next process
        successor: NodeProcess = deployment.start(inherited_listener=listener)
        assert late.read_line() == b"PONG\r\n" and successor.process.poll() is None


def test_inherited_descriptor_that_is_no_socket_is_a_config_error(deployment: Deployment) -> None:
    node = deployment.start()
    run = subprocess.run(
        [sys.executable, "-m", "puffinpost"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "GW_CONFIG": str(node.folder / "config.json"), "GW_INHERITED_FD": "0"},
        stdin=subprocess.DEVNULL,
        check=False,
    )
    assert run.returncode == 2 and "GW_INHERITED_FD" in run.stderr
