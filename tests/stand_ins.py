"""The program as a process, with stand-ins for its clients, its endpoints and the discovery service."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

WAIT_TIMEOUT_S = 10.0  # upper bound on waiting for a condition; a passing test never reaches it
ROOT = Path(__file__).parent.parent

SETTINGS: dict[str, Any] = {
    "Me": 0,
    "FleetSize": 1,
    "Locality": 0,
    "Dcs": ["amman", "aqaba"],
    "Kinds": ["large", "small"],
    "Classes": [
        {
            "Name": "live-text",
            "AimNs": 800_000_000,
            "HardLimitNs": 3_000_000_000,
            "Repeat": "safe",
            "Streaming": True,
            "Worth": 3.0,
        },
        {
            "Name": "once",
            "AimNs": 800_000_000,
            "HardLimitNs": 3_000_000_000,
            "Repeat": "unsafe",
            "Streaming": True,
            "Worth": 3.0,
        },
    ],
    "Discovery": "on_request",
    "FamilyInfo": {"MessageAimNs": [100_000_000, 60_000_000], "Mode": "proxy"},
    "Limits": {
        "AttemptsCap": 5,
        "Cancel": True,
        "MaxRetryAfterNs": 2_000_000_000,
        "RetryAfter": True,
        "DialTimeoutNs": 200_000_000,
        "Probes": False,
    },
    "Report": {"Source": "on_probe", "Fields": ["x0", "concurrent"]},
    "RoundNs": 2_000_000,
    "Rules": {
        "DrainGraceNs": 500_000_000,
        "ColdFrom": 0.35,
        "RampTimeNs": 9_000_000_000,
        "FallMultiple": 3.0,
        "FallNs": 3_000_000_000,
        "AnswerSlackNs": 8_000_000,
        "AskWithinNs": 1_000_000_000,
    },
    "Weights": "nominal",
    "Tenants": [],
}


class SocketPeer:
    """A connected blocking socket with a read buffer, used by a test as a client or an endpoint."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        connection.settimeout(WAIT_TIMEOUT_S)
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def read_until(self, delimiter: bytes) -> bytes:
        """Reads up to and including the delimiter."""
        while delimiter not in self.buffer:
            data = self.socket.recv(65536)
            if not data:
                raise EOFError(f"connection closed before {delimiter!r}: {self.buffer!r}")
            self.buffer += data
        head, separator, self.buffer = self.buffer.partition(delimiter)
        return head + separator

    def read_line(self) -> bytes:
        return self.read_until(b"\r\n")

    def wait_for_close(self) -> str:
        """Reads until the other side closes, buffers the data and returns how it closed: 'end' or 'reset'."""
        try:
            while data := self.socket.recv(65536):
                self.buffer += data
        except ConnectionResetError:
            return "reset"
        return "end"

    def close(self, how: str = "end") -> None:
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class StandInEndpoint:
    """A listener whose connections the test accepts itself; until then the kernel queues them."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.settimeout(WAIT_TIMEOUT_S)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def accept(self) -> SocketPeer:
        return SocketPeer(self.socket.accept()[0])

    def has_pending_connection(self) -> bool:
        """Returns whether a connection is waiting to be accepted."""
        return bool(select.select([self.socket], [], [], 0)[0])


class StandInDiscovery:
    """Answers long polls with the endpoint list that the test has set."""

    def __init__(self) -> None:
        self.listener = StandInEndpoint()
        self.entries: dict[str, dict[str, Any]] = {}
        self.index = 0
        self.changed = threading.Condition()
        self.poll_count = 0
        self.polled_versions: list[
            int
        ] = []  # the version in each poll's `after`; -1 if it requested the full list
        self.reply_format = ""  # which reply encode_reply returns; empty for a plain one
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept_polls, daemon=True).start()

    def set_endpoint(self, name: str, address: str, status: str = "up", **fields: Any) -> None:
        with self.changed:
            self.index += 1
            self.entries[name] = {
                "name": name,
                "address": address,
                "zone": "amman",
                "type": "large",
                "group": 0,
                "status": status,
                "weight": 1.0,
                "since_ms": 0,
                **fields,
            }
            self.changed.notify_all()

    def snapshot(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def wait_for_polls(self, count: int) -> None:
        with self.changed:
            assert self.changed.wait_for(lambda: self.poll_count >= count, WAIT_TIMEOUT_S)

    def encode_reply(self, body: bytes) -> list[bytes]:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if self.reply_format == "chunked":
            chunks = b"".join(
                b"%x;x=y\r\n%s\r\n" % (len(body[offset : offset + 9]), body[offset : offset + 9])
                for offset in range(0, len(body), 9)
            )
            return [
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                chunks,
                b"0\r\nTrailer: x\r\n\r\n",
            ]
        if self.reply_format == "bytes":
            return [response[offset : offset + 1] for offset in range(len(response))]
        faulty = {
            "to the end": b"HTTP/1.0 200 OK\r\n\r\n" + body,
            "garbage": b"SSH-2.0-x\r\n\r\n",
            "silent": b"",
            "503": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            "not a list": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[{}]",
        }
        return [faulty.get(self.reply_format, response)]

    def _accept_polls(self) -> None:
        self.listener.socket.settimeout(None)
        with contextlib.suppress(OSError):  # a test may have closed the listener
            while True:
                connection = self.listener.socket.accept()[0]
                self.connections.append(connection)
                threading.Thread(
                    target=self._serve_polls, args=(SocketPeer(connection),), daemon=True
                ).start()

    def _serve_polls(self, peer: SocketPeer) -> None:
        peer.socket.settimeout(None)
        with contextlib.suppress(EOFError, OSError):
            while True:
                request = peer.read_until(b"\r\n\r\n").decode()
                after = int(request.split("after=")[1].split("&")[0]) if "after=" in request else -1
                wait_s = int(request.split("wait_ms=")[1].split()[0]) / 1000 if "wait_ms=" in request else 20
                with self.changed:
                    self.poll_count += 1
                    self.polled_versions.append(after)
                    self.changed.notify_all()
                    self.changed.wait_for(lambda: self.index > after, wait_s)  # noqa: B023
                    body = json.dumps(self.snapshot()).encode()
                for part in self.encode_reply(body):
                    peer.send(part)
                if self.reply_format == "to the end":
                    peer.close()


# Makes processes of one node hand over at an upgrade even without a listener inherited from the platform.
ALWAYS_HAND_OVER = '[upgrade]\nhand_over = "always"\n'
WORKER_INDEX = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_ports = itertools.cycle(range(12_000 + 1000 * WORKER_INDEX, 13_000 + 1000 * WORKER_INDEX))


def free_port() -> int:
    """Returns an unused port below the kernel's ephemeral range, from a range that only this worker uses."""
    for port in _ports:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise AssertionError("unreachable: the port iterator never ends")


def read_http_response(peer: SocketPeer) -> tuple[int, str]:
    """Reads a response after which the connection closes; returns its status and body."""
    head = peer.read_until(b"\r\n\r\n").decode()
    assert peer.wait_for_close() == "end"
    size = next(line.split(": ")[1] for line in head.split("\r\n") if line.startswith("Content-Length"))
    assert len(peer.buffer) in (int(size), 0)
    return int(head.split(" ")[1]), peer.buffer.decode()


class NodeProcess:
    """The program as a process, started with the variables and files that the platform provides."""

    def __init__(
        self,
        folder: Path,
        discovery: StandInDiscovery,
        settings: dict[str, Any] | None = None,
        edge: str = "",
        sockets: int = 1024,
        inherited_listener: socket.socket | None = None,
        same_port_as: NodeProcess | None = None,
        wait_until_listening: bool = True,
        shell_command: str = "",
        extra_environ: dict[str, str] | None = None,
    ) -> None:
        self.port, self.admin_port, self.folder = free_port(), free_port(), folder
        environ = {
            **os.environ,
            "GW_CONSOLE": f"127.0.0.1:{self.admin_port}",
            "TMPDIR": str(folder),
            **(extra_environ or {}),
        }
        if same_port_as is not None:
            self.port = same_port_as.port
        if inherited_listener is not None:
            self.port = inherited_listener.getsockname()[1]
            environ["GW_INHERITED_FD"] = str(inherited_listener.fileno())
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.listener.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": discovery.snapshot(),
            "settings": {**SETTINGS, **(settings or {})},
        }
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "edge.toml").write_text(edge)
        self.log_path = folder / f"log-{self.admin_port}"
        with self.log_path.open("wb") as log_file:
            # A shell command is started as on the platform: by /bin/sh -c, in the repository root.
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", shell_command] if shell_command else [sys.executable, "-m", "puffinpost"],
                cwd=ROOT,
                stderr=log_file,
                pass_fds=() if inherited_listener is None else (inherited_listener.fileno(),),
                env={
                    **environ,
                    "GW_CONFIG": str(folder / "config.json"),
                    "GW_DISCOVERY": discovery.listener.address,
                    "GW_EDGE": str(folder / "edge.toml"),
                },
            )
        if wait_until_listening:
            self.wait_for_log("listening for clients", 1 + edge.count("listen ="))

    def wait_for_log(self, text: str, count: int = 1) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while self.log_path.read_text().count(text) < count:
            assert self.process.poll() is None and time.monotonic() < deadline, self.log_path.read_text()
            time.sleep(0.01)

    def request_admin(self, method: str, path: str, extra_headers: str = "") -> tuple[int, str]:
        """Sends a request to the admin server; returns the status and body of the response."""
        peer = self.connect(
            f"{method} {path} HTTP/1.1\r\nHost: console\r\n{extra_headers}\r\n".encode(), self.admin_port
        )
        return read_http_response(peer)

    def read_metrics(self) -> dict[str, int]:
        """Returns all metrics by name, without the common name prefix."""
        lines = self.request_admin("GET", "/metrics")[1].split()
        return {name[4:]: int(value.split("|")[0]) for name, value in (line.rsplit(":", 1) for line in lines)}

    def wait_until_ready(self) -> None:
        """Waits until the node reports that it is ready."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while self.request_admin("GET", "/ready")[0] != 200:
            assert time.monotonic() < deadline
            time.sleep(0.01)

    def wait_for_metric(self, name: str, expected: int) -> None:
        """Waits until a metric has the expected value."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while (metrics := self.read_metrics())[name] != expected:
            assert time.monotonic() < deadline, metrics
            time.sleep(0.01)

    def connect(self, data: bytes = b"", port: int = 0) -> SocketPeer:
        peer = SocketPeer(socket.create_connection(("127.0.0.1", port or self.port)))
        peer.send(data)
        return peer

    def read_counters(self) -> dict[str, int]:
        """Returns the counters that the node logs on SIGUSR1, the signal that operators use."""
        before = self.log_path.read_text().count("counters=")
        self.process.send_signal(signal.SIGUSR1)
        self.wait_for_log("counters=", before + 1)
        output = self.log_path.read_text().rsplit("counters=", 1)[1].split("\n")[0]
        items = [item.split("=") for item in output.split() if item != "none"]
        return {name: int(count) for name, count in items}

    def wait_for_counter(self, name: str, minimum: int) -> None:
        """Waits until a counter has at least the given value."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while (counters := self.read_counters()).get(name, 0) < minimum:
            assert time.monotonic() < deadline, counters
            time.sleep(0.01)

    def reload(self, text: str | None = None, **changes: Any) -> None:
        """Replaces the configuration file, or some of its keys, and makes the node reload it."""
        path = self.folder / "config.json"
        before = self.log_path.read_text().count("reload: ")
        path.write_text(text if text is not None else json.dumps({**json.loads(path.read_text()), **changes}))
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_log("reload: ", before + 1)

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_TIMEOUT_S)
