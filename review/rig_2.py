"""What the cases 6 to 10 share: stand-ins on loopback, and the node started with the deploy file's command.

The stand-ins follow the operators' pages (PROTOCOL, DEPLOY). Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
FULL_CONNECTIONS = 72  # that fill a transcriber: four cores, 14 to 22 connections each
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As a small deployment of vm-transcribe has them (its site file, and the example of the WIRE page).
SETTINGS: dict[str, Any] = {
    "Me": 0,
    "FleetSize": 2,
    "Locality": 0,
    "Dcs": ["amman", "aqaba"],
    "Kinds": ["large-fast", "large", "small"],
    "Classes": [
        {
            "Name": "live-text",
            "AimNs": 800_000_000,
            "HardLimitNs": 4_800_000_000,
            "LateWorth": 0.0,
            "Repeat": "safe",
            "DedupScope": "all",
            "Streaming": True,
            "WindowNs": 5_000_000_000,
            "Worth": 3.0,
        },
        {
            "Name": "final-text",
            "AimNs": 800_000_000,
            "HardLimitNs": 4_800_000_000,
            "LateWorth": 0.0,
            "Repeat": "safe",
            "DedupScope": "all",
            "Streaming": True,
            "WindowNs": 5_000_000_000,
            "Worth": 5.0,
        },
    ],
    "Clients": {"MarksRetry": False},
    "Discovery": "on_request",
    "Family": "conn",
    "FamilyInfo": {
        "Groups": False,
        "MessageAimNs": [100_000_000, 60_000_000],
        "Mode": "proxy",
        "ParkNs": 0,
        "TellsDelay": True,
        "TellsLoad": True,
    },
    "Fees": {"CrossZone": 0.16, "LateFail": 0.058, "Moves": 0.02, "Probe": 0.002, "Waste": 0.18},
    "Limits": {
        "AttemptsCap": 5,
        "Cancel": True,
        "ConnIdleNs": 5_000_000_000,
        "CpuUsPerS": 500_000,
        "DialTimeoutNs": 200_000_000,
        "MaxOpen": 1_000_000,
        "MaxRetryAfterNs": 2_000_000_000,
        "MaxStreams": 1_048_576,
        "Peers": False,
        "Probes": True,
        "RetryAfter": True,
        "SecondCopies": False,
    },
    "OverShareWorth": 0.1,
    "Report": {"Fields": ["x0", "concurrent"], "Source": "on_probe"},
    "RoundNs": 2_000_000,
    "Rules": {
        "AnswerSlackNs": 8_000_000,
        "AskWithinNs": 10_000_000_000,
        "ColdFrom": 0.35,
        "DrainGraceNs": 500_000_000,
        "FallMultiple": 3.0,
        "FallNs": 3_000_000_000,
        "RampTimeNs": 9_000_000_000,
    },
    "Tenants": [],
    "Tier": 0,
    "Tiers": ["transcribers"],
    "Weights": "nominal",
    "WorthBy": "request",
}


def free_port() -> int:
    """Returns a port that nobody has now, below those that the system gives to connections by itself."""
    for _ in range(1000):
        port = random.randrange(20_000, 32_000)
        if port not in _GIVEN_PORTS:
            with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
                _GIVEN_PORTS.add(port)
                return port
    raise CannotRunError("no port is free")


_GIVEN_PORTS: set[int] = set()


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """What was sent, answered and run: ``record.txt`` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began = time.monotonic()
        self(f"TROUBLE={int(TROUBLE)}")

    def __call__(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")


class Discovery:
    """One list of transcribers, and a listener of its own for each node, so that it is known who was told."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.told: dict[tuple[str, str, str], float] = {}  # node, transcriber, status -> first written
        self._changes: list[tuple[int, str]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, node: str) -> str:
        """Opens the listener of a node; returns its address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(node, reader, writer)

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self._servers.append(server)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    def set(self, name: str, address: str, status: str = "up", zone: str = "amman") -> None:
        """Adds or changes a transcriber, which ends the waits of open watches."""
        self.index += 1
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": "large",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self._changes.append((self.index, name))
        self.record(f"discovery has {name} {status} index={self.index}")
        self._changed.set()
        self._changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """Returns the whole list, as an answer has it."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                answer = self.snapshot()
                if "after=" in head:
                    after = int(head.split("after=")[1].split("&")[0].split()[0])
                    wait_s = int(head.split("wait_ms=")[1].split()[0].split("&")[0]) / 1000
                    if self.index <= after:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self._changed.wait(), wait_s)
                    names = dict.fromkeys(name for index, name in self._changes if index > after)
                    entries = [self.entries[name] for name in names]
                    answer = {"index": self.index, "snapshot": False, "endpoints": entries}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                for entry in answer["endpoints"]:
                    key = node, entry["name"], entry["status"]
                    if key not in self.told:
                        self.told[key] = time.monotonic()
                        self.record(f"discovery told {node}: {entry['name']} {entry['status']}")
        writer.close()


class Transcriber:
    """A sound transcriber of the platform's protocol: ``UP`` at once, and each line back at once."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.address = ""
        self.opened: list[tuple[float, str]] = []  # first byte of each OPEN line, and its id
        self.received: dict[str, list[bytes]] = {}  # lines of the client, by id
        self.writers: dict[str, asyncio.StreamWriter] = {}
        self.on_open: Callable[[str], Awaitable[None]] | None = None  # before UP
        self.echoes = True
        self.report: Callable[[int], str] = lambda count: (
            f"x0={count / FULL_CONNECTIONS:.3f},concurrent={count}"
        )
        self._receipts = 0

    async def start(self) -> str:
        """Listens; returns the address."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = ""
        try:
            while True:
                first = await reader.readexactly(1)
                began = time.monotonic()
                line = first + await reader.readuntil(b"\n")
                words = line.split()
                if request_id:
                    self.received[request_id].append(line)
                    if self.echoes:
                        writer.write(line)
                elif words[0] == b"PING":
                    writer.write(b"PONG\r\n")
                elif words[0] == b"STATS":
                    writer.write(f"PONG {self.report(len(self.writers))}\r\n".encode())
                elif words[0] == b"OPEN" and len(words) == 4:
                    request_id = words[1].decode()
                    self.opened.append((began, request_id))
                    self.received[request_id] = []
                    self.record(f"{self.name} ran {line.decode().strip()}")
                    self.writers[request_id] = writer
                    if self.on_open is not None:
                        await self.on_open(request_id)
                    self._receipts += 1
                    writer.write(f"UP {self.name}-{self._receipts}\r\n".encode())
                else:
                    self.record(f"{self.name} was sent {line!r}")
                    writer.write(b"SYNTAX\r\n")
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError) as problem:
            if request_id:
                self.record(f"{self.name} end of {request_id} ({type(problem).__name__})")
        finally:
            self.writers.pop(request_id, None)
            writer.close()


class Node:
    """One node, started as the deploy file says."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self.record = name, record
        self.folder = folder / name
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir(parents=True, exist_ok=True)
        self.port, self.console = free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(
        self,
        discovery: str,
        known: dict[str, Any],
        settings: dict[str, Any] | None = None,
        edge: str = "",
        new_console: bool = False,
        inherited: socket.socket | None = None,
        sockets: int = 1024,
    ) -> asyncio.subprocess.Process:
        """Starts a process of the node; the one before, if any, goes on."""
        if new_console:
            self.console = free_port()
        if inherited is not None:
            self.port = inherited.getsockname()[1]
        config = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": discovery,
            "seed": f"{random.getrandbits(64):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known,
            "console": f"{LOOPBACK}:{self.console}",
            "settings": {**SETTINGS, **(settings or {})},
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "edge.toml").write_text(edge)
        environ = {
            **os.environ,
            "TMPDIR": str(self.tmp),
            "GW_NAME": self.name,
            "GW_LISTEN": config["listen"],
            "GW_DISCOVERY": discovery,
            "GW_CONFIG": str(self.folder / "config.json"),
            "GW_CONSOLE": config["console"],
            "GW_EDGE": str(self.folder / "edge.toml"),
        }
        if inherited is not None:
            environ["GW_INHERITED_FD"] = str(inherited.fileno())
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.starts += 1
        with (self.folder / f"log-{self.starts}").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=() if inherited is None else (inherited.fileno(),),
            )
        PROCESSES.append(self.process)
        self.record(f"{self.name} process {self.starts} started")
        return self.process

    def log_text(self) -> str:
        """Returns what the node's processes wrote."""
        return "".join((self.folder / f"log-{i}").read_text() for i in range(1, self.starts + 1))

    async def call(self, method: str, path: str, port: int = 0) -> tuple[int, str]:
        """A call to the console."""
        reader, writer = await asyncio.open_connection(LOOPBACK, port or self.console)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
            answer = (await asyncio.wait_for(reader.read(), 5)).decode()
        finally:
            writer.close()
        return int(answer.split()[1]), answer.partition("\r\n\r\n")[2]

    async def wait_until_ready(self, within_s: float = 30.0) -> None:
        """Waits until the latest process says yes to ``/ready``."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, IndexError, TimeoutError):
                if (await self.call("GET", "/ready"))[0] == 200:
                    self.record(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.name} is not ready: {self.log_text()[-800:]}")

    def empty_tmp(self) -> None:
        """Empties ``$TMPDIR``, as the platform does before a start that is no replacement."""
        shutil.rmtree(self.tmp)
        self.tmp.mkdir()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the latest process."""
        assert self.process is not None
        self.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)


PROCESSES: list[asyncio.subprocess.Process] = []


class Client:
    """A client of the platform's protocol."""

    def __init__(self, record: Record, label: str = "client") -> None:
        self.record, self.label = record, label
        self.request_id = f"{random.getrandbits(63):x}"
        self.answer = b""
        self.lines: list[bytes] = []
        self.end = ""

    async def open(
        self, port: int, wait_ms: int = 4800, request_class: str = "live-text", extra: str = ""
    ) -> bytes:
        """Sends its first line; returns the answer, or nothing if there was none in time."""
        key = f"{random.getrandbits(63):x}"
        try:
            self.reader, self.writer = await asyncio.open_connection(LOOPBACK, port)
            line = f"OPEN {self.request_id} {key} c={request_class},d={wait_ms}{extra}\r\n"
            self.writer.write(line.encode())
            self.answer = await asyncio.wait_for(self.reader.readuntil(b"\n"), wait_ms / 1000 + 0.6)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as problem:
            self.end = type(problem).__name__
        self.record(f"{self.label} {self.request_id} was answered {self.answer!r} {self.end}")
        return self.answer

    async def stay(self, for_s: float) -> None:
        """Sends a line every 2 s, as clients do, until the connection ends or the time is over."""
        reading = asyncio.ensure_future(self.read())
        deadline = time.monotonic() + for_s
        while not reading.done() and time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                self.writer.write(b"still here\r\n")
            await asyncio.wait({reading}, timeout=min(2.0, max(0.0, deadline - time.monotonic())))
        reading.cancel()
        self.close()

    async def read(self) -> None:
        """Reads lines until the connection ends."""
        try:
            while line := await self.reader.readline():
                self.lines.append(line)
            self.end = "closed"
        except OSError as problem:
            self.end = type(problem).__name__
        self.record(f"{self.label} {self.request_id} connection ended: {self.end}, last={self.lines[-1:]}")

    def close(self) -> None:
        """Ends the connection."""
        with contextlib.suppress(AttributeError):
            self.writer.close()


def play(case: Callable[[Record, Path], Awaitable[bool]], folder: Path) -> None:
    """Runs a case; ends the script with its result. ``case`` returns whether the rule held."""
    result = asyncio.run(_play(case, folder))
    sys.stdout.flush()
    os._exit(result)  # streams that are still open are not worth a word at the end


async def _play(case: Callable[[Record, Path], Awaitable[bool]], folder: Path) -> int:
    try:
        record = Record(folder)
    except OSError as problem:
        print(f"the case could not run: {problem}")
        return CANNOT_RUN
    work = Path(tempfile.mkdtemp(prefix="review-"))
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        held = await asyncio.wait_for(case(record, work), TIME_LIMIT_S)
        result = HELD if held else BROKEN
    except CannotRunError as problem:
        record(f"cannot run: {problem}")
        result = CANNOT_RUN
    except (Exception, asyncio.CancelledError) as problem:  # noqa: BLE001 (the script ends its processes)
        record(f"cannot run: {type(problem).__name__} {problem}")
        result = CANNOT_RUN
    finally:
        for process in PROCESSES:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        shutil.rmtree(work, ignore_errors=True)
    text = {HELD: "the rule held", BROKEN: "the rule was BROKEN", CANNOT_RUN: "the case could not run"}[
        result
    ]
    record(text)
    print(text)
    return result
