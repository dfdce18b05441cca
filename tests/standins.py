"""What the node's tests share: the real program as a process, and stand-ins for those it speaks with."""

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

WAIT_S = 10.0  # for a condition that must come true; a pass never takes it
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


class Peer:
    """One end of a connection, spoken to by a test."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        connection.settimeout(WAIT_S)
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def until(self, mark: bytes) -> bytes:
        """All up to a mark, the mark included."""
        while mark not in self.buffer:
            data = self.socket.recv(65536)
            if not data:
                raise EOFError(f"ended before {mark!r}: {self.buffer!r}")
            self.buffer += data
        head, found, self.buffer = self.buffer.partition(mark)
        return head + found

    def line(self) -> bytes:
        return self.until(b"\r\n")

    def ending(self) -> str:
        """How the other end closes: 'end' or 'reset'. What still comes before it is kept."""
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


class Server:
    """A listener that a test accepts from by hand. TCP itself takes connections in meanwhile."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.settimeout(WAIT_S)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def accept(self) -> Peer:
        return Peer(self.socket.accept()[0])

    def asked(self) -> bool:
        """Whether a connection waits to be accepted."""
        return bool(select.select([self.socket], [], [], 0)[0])


class Discovery:
    """Answers long polls with what it was told last."""

    def __init__(self) -> None:
        self.server = Server()
        self.entries: dict[str, dict[str, Any]] = {}
        self.index = 0
        self.changed = threading.Condition()
        self.calls = 0
        self.asked: list[int] = []  # the version that each call was after; -1 where it asked for all
        self.form = ""  # of the replies
        self.links: list[socket.socket] = []
        threading.Thread(target=self._listen, daemon=True).start()

    def tell(self, name: str, address: str, status: str = "up", **more: Any) -> None:
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
                **more,
            }
            self.changed.notify_all()

    def told(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def wait_calls(self, count: int) -> None:
        with self.changed:
            assert self.changed.wait_for(lambda: self.calls >= count, WAIT_S)

    def reply(self, body: bytes) -> list[bytes]:
        plain = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if self.form == "chunked":
            chunks = b"".join(
                b"%x;x=y\r\n%s\r\n" % (len(body[at : at + 9]), body[at : at + 9])
                for at in range(0, len(body), 9)
            )
            return [
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                chunks,
                b"0\r\nTrailer: x\r\n\r\n",
            ]
        if self.form == "bytes":
            return [plain[at : at + 1] for at in range(len(plain))]
        bad = {
            "to the end": b"HTTP/1.0 200 OK\r\n\r\n" + body,
            "garbage": b"SSH-2.0-x\r\n\r\n",
            "silent": b"",
            "503": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            "not a list": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[{}]",
        }
        return [bad.get(self.form, plain)]

    def _listen(self) -> None:
        self.server.socket.settimeout(None)
        with contextlib.suppress(OSError):  # a test has closed it: nobody listens any more
            while True:
                connection = self.server.socket.accept()[0]
                self.links.append(connection)
                threading.Thread(target=self._serve, args=(Peer(connection),), daemon=True).start()

    def _serve(self, peer: Peer) -> None:
        peer.socket.settimeout(None)
        with contextlib.suppress(EOFError, OSError):
            while True:
                request = peer.until(b"\r\n\r\n").decode()
                after = int(request.split("after=")[1].split("&")[0]) if "after=" in request else -1
                wait_s = int(request.split("wait_ms=")[1].split()[0]) / 1000 if "wait_ms=" in request else 20
                with self.changed:
                    self.calls += 1
                    self.asked.append(after)
                    self.changed.notify_all()
                    self.changed.wait_for(lambda: self.index > after, wait_s)  # noqa: B023
                    body = json.dumps(self.told()).encode()
                for part in self.reply(body):
                    peer.send(part)
                if self.form == "to the end":
                    peer.close()


# Processes of a node meet at an upgrade even where the platform does not hold their listener.
MEETING = '[upgrade]\nhand_over = "always"\n'
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_ports = itertools.cycle(range(12_000 + 1000 * WORKER, 13_000 + 1000 * WORKER))


def free_port() -> int:
    """A port that nothing listens on: below those that the kernel deals out, and of this worker alone."""
    for port in _ports:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise AssertionError("never reached: the ports go round")


def answer_of(peer: Peer) -> tuple[int, str]:
    """The answer to a call, after which the connection ends."""
    head = peer.until(b"\r\n\r\n").decode()
    assert peer.ending() == "end"
    size = next(line.split(": ")[1] for line in head.split("\r\n") if line.startswith("Content-Length"))
    assert len(peer.buffer) in (int(size), 0)
    return int(head.split(" ")[1]), peer.buffer.decode()


class Node:
    """The real program, started as the platform starts it."""

    def __init__(
        self,
        folder: Path,
        discovery: Discovery,
        settings: dict[str, Any] | None = None,
        edge: str = "",
        sockets: int = 1024,
        inherited: socket.socket | None = None,
        beside: Node | None = None,
        waits: bool = True,
        run: str = "",
        environ_more: dict[str, str] | None = None,
    ) -> None:
        self.port, self.console, self.folder = free_port(), free_port(), folder
        environ = {
            **os.environ,
            "GW_CONSOLE": f"127.0.0.1:{self.console}",
            "TMPDIR": str(folder),
            **(environ_more or {}),
        }
        if beside is not None:
            self.port = beside.port
        if inherited is not None:
            self.port = inherited.getsockname()[1]
            environ["GW_INHERITED_FD"] = str(inherited.fileno())
        told = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.server.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": discovery.told(),
            "settings": {**SETTINGS, **(settings or {})},
        }
        (folder / "config.json").write_text(json.dumps(told))
        (folder / "edge.toml").write_text(edge)
        self.log = folder / f"log-{self.console}"
        with self.log.open("wb") as log:
            # With ``run``, the command is started as the platform starts it: by /bin/sh -c, from the root.
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run] if run else [sys.executable, "-m", "puffinpost"],
                cwd=ROOT,
                stderr=log,
                pass_fds=() if inherited is None else (inherited.fileno(),),
                env={
                    **environ,
                    "GW_CONFIG": str(folder / "config.json"),
                    "GW_DISCOVERY": discovery.server.address,
                    "GW_EDGE": str(folder / "edge.toml"),
                },
            )
        if waits:
            self.wait_log("listening for clients", 1 + edge.count("listen ="))

    def wait_log(self, text: str, count: int = 1) -> None:
        until = time.monotonic() + WAIT_S
        while self.log.read_text().count(text) < count:
            assert self.process.poll() is None and time.monotonic() < until, self.log.read_text()
            time.sleep(0.01)

    def call(self, method: str, path: str, more: str = "") -> tuple[int, str]:
        """A call to the console: the answer's status and body."""
        peer = self.client(f"{method} {path} HTTP/1.1\r\nHost: console\r\n{more}\r\n".encode(), self.console)
        return answer_of(peer)

    def figures(self) -> dict[str, int]:
        """All figures, without the name's first part."""
        lines = self.call("GET", "/metrics")[1].split()
        return {
            name[4:]: int(figure.split("|")[0]) for name, figure in (line.rsplit(":", 1) for line in lines)
        }

    def ready(self) -> None:
        """Waits until it says so."""
        until = time.monotonic() + WAIT_S
        while self.call("GET", "/ready")[0] != 200:
            assert time.monotonic() < until
            time.sleep(0.01)

    def figure(self, name: str, wanted: int) -> None:
        """Waits until a figure is as wanted."""
        until = time.monotonic() + WAIT_S
        while (now := self.figures())[name] != wanted:
            assert time.monotonic() < until, now
            time.sleep(0.01)

    def client(self, data: bytes = b"", port: int = 0) -> Peer:
        peer = Peer(socket.create_connection(("127.0.0.1", port or self.port)))
        peer.send(data)
        return peer

    def counts(self) -> dict[str, int]:
        """The node's counters, asked for as people do."""
        before = self.log.read_text().count("counters=")
        self.process.send_signal(signal.SIGUSR1)
        self.wait_log("counters=", before + 1)
        said = self.log.read_text().rsplit("counters=", 1)[1].split("\n")[0]
        items = [item.split("=") for item in said.split() if item != "none"]
        return {name: int(count) for name, count in items}

    def wait_counts(self, name: str, least: int) -> None:
        """Waits until something has been counted so often."""
        until = time.monotonic() + WAIT_S
        while (now := self.counts()).get(name, 0) < least:
            assert time.monotonic() < until, now
            time.sleep(0.01)

    def reload(self, text: str | None = None, **changes: Any) -> None:
        """Replaces the configuration file, or some keys of it, and has it read again."""
        path = self.folder / "config.json"
        before = self.log.read_text().count("reload: ")
        path.write_text(text if text is not None else json.dumps({**json.loads(path.read_text()), **changes}))
        self.process.send_signal(signal.SIGHUP)
        self.wait_log("reload: ", before + 1)

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_S)
