"""Starts nodes by the deploy file's `run`, and plays their discovery, transcribers and clients on loopback.

The cases use it. The stand-ins keep to the operators' pages: the protocol page, the deployment page, the wire
page for the settings, and the page for daily operation for upgrades.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
LIMIT_S = 110  # for a whole script
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS = 1_000_000


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """The record of one run: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started

    def add(self, who: str, what: str) -> float:
        """Writes a line; returns its time."""
        with self._lock:
            moment = self.now()
            self._file.write(f"{moment:8.3f} {who}: {what}\n")
            self._file.flush()
        return moment


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a deployment as on the wire page, with two nodes in the fleet."""
    value: dict[str, Any] = {
        "Blend": {"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.35},
        "Classes": [
            _request_class("live-text", 3.0, "safe"),
            _request_class("final-text", 5.0, "safe"),
        ],
        "Clients": {"MarksRetry": False},
        "Dcs": ["amman", "aqaba"],
        "Discovery": "on_request",
        "Family": "conn",
        "FamilyInfo": {
            "Groups": False,
            "MessageAimNs": [100 * MS, 60 * MS],
            "Mode": "proxy",
            "ParkNs": 0,
            "TellsDelay": True,
            "TellsLoad": True,
            "TenantQuotaConnections": [],
        },
        "Fees": {"CrossZone": 0.16, "Moves": 0.02, "Probe": 0.002, "Waste": 0.18, "LateFail": 0.058},
        "FleetSize": 2,
        "Kinds": ["large-fast", "large", "small"],
        "Limits": {
            "AttemptsCap": 5,
            "Cancel": True,
            "ConnIdleNs": 5000 * MS,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 500000,
            "DialTimeoutNs": 200 * MS,
            "MaxOpen": 1000000,
            "MaxRetryAfterNs": 2000 * MS,
            "MaxStreams": 1048576,
            "Peers": False,
            "Probes": True,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Locality": 0,
        "Me": 0,
        "OverShareWorth": 0.1,
        "Report": {"Fields": ["x0", "concurrent"], "Source": "on_probe"},
        "RoundNs": 2 * MS,
        "Rules": {
            "AnswerSlackNs": 8 * MS,
            "AskWithinNs": 10000 * MS,
            "ColdFrom": 0.35,
            "DrainGraceNs": 500 * MS,
            "FallMultiple": 3.0,
            "FallNs": 3000 * MS,
            "RampTimeNs": 9000 * MS,
        },
        "Tenants": [],
        "Tier": 0,
        "Tiers": ["transcribers"],
        "Weights": "nominal",
        "WorthBy": "request",
    }
    return value | changes


def _request_class(name: str, worth: float, repeat: str) -> dict[str, Any]:
    return {
        "AimNs": 800 * MS,
        "DedupScope": "all",
        "HardLimitNs": 4800 * MS,
        "LateWorth": 0.0,
        "Name": name,
        "Repeat": repeat,
        "Streaming": True,
        "WindowNs": 5000 * MS,
        "Worth": worth,
    }


class Lines:
    """A socket that is read by lines."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.ending = ""  # 'end' or 'reset', once the other side has ended the connection

    def send(self, data: bytes) -> bool:
        """Writes; returns whether the connection still took it."""
        try:
            self.socket.sendall(data)
        except OSError:
            return False
        return True

    def read_line(self, timeout_s: float) -> bytes | None:
        """Returns the next line with its CRLF; None if none came in time or the connection has ended."""
        until = time.monotonic() + timeout_s
        while b"\n" not in self.buffer:
            if self.ending or not select.select([self.socket], [], [], max(0.0, until - time.monotonic()))[0]:
                return None
            try:
                data = self.socket.recv(65536)
            except OSError:
                self.ending = "reset"
                return None
            if not data:
                self.ending = "end"
                return None
            self.buffer += data
        line, newline, self.buffer = self.buffer.partition(b"\n")
        return line + newline

    def close(self) -> None:
        """Ends the connection in order."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def reset(self) -> None:
        """Resets the connection."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


def listening_socket() -> socket.socket:
    """Returns a socket that listens on a free port."""
    return socket.create_server((HOST, free_port()), backlog=128)


_ports = itertools.cycle(random.sample(range(15_000, 32_000), 17_000))  # below the ephemeral range


def free_port() -> int:
    """Returns a free port, another one at each call, that no outgoing connection is given."""
    for port in _ports:
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port
    raise AssertionError("unreachable: the cycle does not end")


class Server:
    """A listener with a thread for each connection."""

    def __init__(self) -> None:
        self._listener = listening_socket()
        self.port: int = self._listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self.connections: list[Lines] = []
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def serve(self, peer: Lines) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """Refuses new connections and ends those that there are, as a process that has died."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for peer in self.connections:
            peer.reset()

    def resume(self) -> None:
        """Listens again on the same port."""
        self._listener = socket.create_server((HOST, self.port), backlog=128)
        self.connections = []
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection = listener.accept()[0]
            except OSError:
                return
            peer = Lines(connection)
            self.connections.append(peer)
            threading.Thread(target=self._run, args=(peer,), daemon=True).start()

    def _run(self, peer: Lines) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.serve(peer)


class Discovery(Server):
    """The service of the protocol page: the whole list, and watches on its changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 40
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = threading.Condition()
        self.told: list[tuple[float, int]] = []  # when which index was written to a node
        super().__init__()

    def set(
        self, name: str, address: str, status: str = "up", zone: str = "amman", kind: str = "large"
    ) -> None:
        """Changes the entry of a transcriber."""
        with self.changed:
            self.index += 1
            self.entries[name] = {
                "name": name,
                "address": address,
                "zone": zone,
                "type": kind,
                "group": 0,
                "status": status,
                "weight": 1.0,
                "since_ms": 0,
            }
            self.changed_at[name] = self.index
            self.record.add("discovery", f"index {self.index}: {name} is {status}")
            self.changed.notify_all()

    def snapshot(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def serve(self, peer: Lines) -> None:
        """Answers calls, one after another."""
        while True:
            first = peer.read_line(3600)
            if first is None:
                return
            while (header := peer.read_line(10)) not in (b"\r\n", None):
                del header
            target = first.split()[1].decode()
            answer = self._answer(target)
            body = json.dumps(answer).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            if not peer.send(head.encode() + body):
                return
            moment = self.record.add(
                "discovery", f"{target} answered: index {answer['index']}, {len(answer['endpoints'])} entries"
            )
            self.told.append((moment, int(answer["index"])))

    def _answer(self, target: str) -> dict[str, Any]:
        query = dict(item.split("=") for item in target.partition("?")[2].split("&") if item)
        with self.changed:
            if "after" not in query:
                return self.snapshot()
            after = int(query["after"])
            wait_s = min(60_000, int(query.get("wait_ms", 0))) / 1000
            self.changed.wait_for(lambda: self.index > after, wait_s)
            changes = [entry for name, entry in self.entries.items() if self.changed_at[name] > after]
            return {"index": self.index, "snapshot": False, "endpoints": changes}


class Transcriber(Server):
    """A transcriber: accepts sessions, answers probes, and brings a line back for each line."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.openings: list[tuple[float, str]] = []  # when each OPEN line came, with its id
        self.sessions: dict[str, Lines] = {}  # open ones, by id
        self._lock = threading.Lock()
        super().__init__()

    def serve(self, peer: Lines) -> None:
        """Serves probes, or one session."""
        while (line := peer.read_line(3600)) is not None:
            command = line.split()[0] if line.split() else b""
            if command == b"OPEN":
                self._serve_session(peer, line)
                return
            if command == b"STATS":
                peer.send(b"PONG x0=%.3f,concurrent=%d\r\n" % (len(self.sessions) / 60, len(self.sessions)))
            else:
                peer.send(b"PONG\r\n" if command == b"PING" else b"SYNTAX\r\n")
        peer.close()

    def _serve_session(self, peer: Lines, opening: bytes) -> None:
        request_id = opening.split()[1].decode()
        moment = self.record.add(self.name, f"got {opening!r}")
        with self._lock:
            self.openings.append((moment, request_id))
            self.sessions[request_id] = peer
        peer.send(f"UP {self.name}-{request_id[:6]}\r\n".encode())
        while (line := peer.read_line(3600)) is not None:
            self.record.add(self.name, f"{request_id[:6]} got {line!r}")
            peer.send(b"TEXT " + line)
        self.record.add(self.name, f"{request_id[:6]} ended by the node ({peer.ending})")
        with self._lock:
            self.sessions.pop(request_id, None)
        peer.close()


class Node:
    """A process that the deploy file's `run` starts, with the variables of the deployment page."""

    def __init__(
        self,
        world: World,
        name: str,
        listen_port: int,
        node_settings: dict[str, Any],
        known: dict[str, Any],
        edge: str = "",
        inherited: socket.socket | None = None,
        label: str = "",
    ) -> None:
        self.record, self.name, self.label = world.record, name, label or name
        self.port, self.console_port = listen_port, free_port()
        folder = world.folder / name
        shared = folder / "tmp"  # $TMPDIR: private to the node; both processes of an upgrade share it
        shared.mkdir(parents=True, exist_ok=True)
        config = {
            "name": name,
            "listen": f"{HOST}:{listen_port}",
            "discovery": world.discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": node_settings,
        }
        config_path, edge_path = folder / f"{self.label}.json", folder / f"{self.label}.toml"
        config_path.write_text(json.dumps(config))
        edge_path.write_text(edge)
        self.log_path = folder / f"{self.label}.log"
        environ = {
            **{key: value for key, value in os.environ.items() if not key.startswith("GW_")},
            "GW_NAME": name,
            "GW_LISTEN": f"{HOST}:{listen_port}",
            "GW_DISCOVERY": world.discovery.address,
            "GW_CONFIG": str(config_path),
            "GW_CONSOLE": f"{HOST}:{self.console_port}",
            "TMPDIR": str(shared),
        }
        if edge:
            environ["GW_EDGE"] = str(edge_path)
        if inherited is not None:
            environ["GW_INHERITED_FD"] = str(inherited.fileno())
        with world.starting, self.log_path.open("wb") as log_file:
            if world.over:
                raise CannotRunError("the case is over")
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", world.run_command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                env=environ,
                pass_fds=() if inherited is None else (inherited.fileno(),),
            )
            world.nodes.append(self)
        self.record.add(self.label, f"started, process {self.process.pid}, console {self.console_port}")

    def call(self, method: str, path: str) -> int:
        """Makes a call to the console; returns the status, 0 if there was no answer."""
        with contextlib.suppress(OSError), socket.create_connection((HOST, self.console_port), 1.0) as door:
            door.settimeout(1.0)
            door.sendall(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
            data = b""
            while chunk := door.recv(4096):
                data += chunk
            return int(data.split()[1])
        return 0

    def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the console says that the process is ready. Raises ``CannotRunError``."""
        until = time.monotonic() + timeout_s
        while self.call("GET", "/ready") != 200:
            if self.process.poll() is not None or time.monotonic() > until:
                raise CannotRunError(f"{self.label} is not ready: {self.log_path.read_text()[-2000:]}")
            time.sleep(0.05)
        self.record.add(self.label, "says that it is ready")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.record.add(self.label, f"is sent {number.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process, if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class World:
    """One run of a case: its folder, its record and everything that it starts."""

    def __init__(self, case_folder: Path) -> None:
        self.record = Record(case_folder / "record.txt")
        self.record.add("case", f"{case_folder.name}, TROUBLE={int(TROUBLE)}")
        self.run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.nodes: list[Node] = []
        self.starting = threading.Lock()  # held while a node is started; nothing starts after the end
        self.over = False
        self.discovery = Discovery(self.record)
        self.transcribers: dict[str, Transcriber] = {}

    def add_transcribers(self, count: int, make: Callable[[Record, str], Transcriber] = Transcriber) -> None:
        """Starts transcribers and lists them as up."""
        for _ in range(count):
            name = f"s-{os.urandom(4).hex()}"
            self.transcribers[name] = make(self.record, name)
            self.discovery.set(name, self.transcribers[name].address)

    def close(self) -> None:
        """Ends everything that was started, and adds the nodes' logs to the record."""
        with self.starting:
            self.over = True
        for node in self.nodes:
            node.end()
            for line in node.log_path.read_text(errors="replace").splitlines():
                self.record.add(f"log of {node.label}", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_all(plays: list[Callable[[], None]]) -> None:
    """Runs functions side by side to their end. Raises ``CannotRunError`` if one of them raised."""
    problems: list[str] = []

    def run(play: Callable[[], None]) -> None:
        try:
            play()
        except Exception:  # noqa: BLE001 (a thread has no caller that could report it)
            problems.append(traceback.format_exc())

    threads = [threading.Thread(target=run, args=(play,), daemon=True) for play in plays]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if problems:
        raise CannotRunError("; ".join(problems))


def open_line(request_class: str = "live-text", wait_ms: int = 4800) -> tuple[str, bytes]:
    """Returns the id and the bytes of a client's first line."""
    request_id = os.urandom(8).hex()
    return request_id, f"OPEN {request_id} {os.urandom(8).hex()} c={request_class},d={wait_ms}\r\n".encode()


@contextlib.contextmanager
def _time_limit() -> Iterator[None]:
    numbers = (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def on_signal(number: int, _frame: object) -> None:
        for each in numbers:  # the end is not interrupted
            signal.signal(each, signal.SIG_IGN)
        name = signal.Signals(number).name
        raise CannotRunError(f"not over after {LIMIT_S} s" if name == "SIGALRM" else f"ended by {name}")

    for each in numbers:
        signal.signal(each, on_signal)
    signal.alarm(LIMIT_S)
    yield
    signal.alarm(0)
    for each in numbers:
        signal.signal(each, signal.SIG_IGN)


def main(case_file: str, play: Callable[[World], list[str]]) -> None:
    """Plays a case and exits: 1 if ``play`` returned breaches of the rule, 0 if none, 2 if not run."""
    world: World | None = None
    code = NOT_RUN
    try:
        with _time_limit():
            world = World(Path(case_file).resolve().parent)
            breaches = play(world)
        for breach in breaches:
            world.record.add("RULE BROKEN", breach)
        code = BROKEN if breaches else HELD
    except Exception:  # noqa: BLE001 (whatever keeps a case from its end is reported as exit code 2)
        if world is None:
            traceback.print_exc()
        else:
            world.record.add("case", f"could not run: {traceback.format_exc()}")
    finally:
        if world is not None:
            world.close()
            world.record.add("case", f"exit code {code}")
    print(f"{Path(case_file).resolve().parent.name}: exit code {code}", flush=True)
    sys.stdout.flush()
    os._exit(code)
