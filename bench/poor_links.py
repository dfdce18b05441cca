"""What resumption is worth on poor links: outages, delays and resets, with it and without.

    python -m bench.poor_links [--devices 5] [--seconds 30] [--jobs 6]

Each cell of the grid has a node, its stand-ins and an impaired link of its own. A device publishes every
200 ms. Every ``cut`` seconds the link is reset and stays down for ``outage`` seconds; the device reconnects
every 100 ms. With resumption it is an MQTT 5 client at QoS 2 with a session expiry; without, it starts clean
and opens a new session, and what was lost with a link is not sent again.
Prints a row of Markdown a cell. Seeded; timings are of this machine.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from puffinpost.emulator.impairment import LinkProfile, OutageKind
from puffinpost.emulator.link_proxy import LinkProxy
from puffinpost.emulator.local_deployment import LocalDeployment, free_port
from puffinpost.emulator.mqtt_device import MqttDevice
from puffinpost.emulator.platform_settings import CLASS_NAME
from puffinpost.emulator.stand_ins import HOST

OUTAGES_S, DELAYS_MS, CUTS_S = (0.5, 2.0, 5.0), (50, 300), (1.0, 5.0, 20.0)
PUBLISH_INTERVAL_S, RECONNECT_INTERVAL_S, DRAIN_TIMEOUT_S = 0.2, 0.1, 15.0
READ_SIZE, READ_TIMEOUT_S = 4096, 0.05
EXPIRY_S = 60
HEADER = (
    "| outage | delay | cut every | resumes | returns | kept | set-ups a device | sent | lost "
    "| doubled | first line |\n|---|---|---|---|---|---|---|---|---|---|---|"
)


class Cell(NamedTuple):
    """One cell of the grid."""

    outage_s: float
    delay_ms: int
    cut_s: float
    resumes: bool


@dataclass(slots=True)
class Tally:
    """What one device has seen."""

    reconnects: int = 0
    resumed: int = 0
    sessions_opened: int = 0
    sent: list[bytes] = field(default_factory=list)
    first_line_s: list[float] = field(default_factory=list)  # from a reconnect to the first line after it


class Handset:
    """A device that publishes evenly, and reconnects whenever its link is lost."""

    def __init__(self, number: int, port: int, resumes: bool) -> None:
        self.number, self.port, self.resumes = number, port, resumes
        self.device = MqttDevice(f"handset-{number}-" + "x" * 22, qos=2)
        self.tally = Tally()
        self.ended = self.silent = False

    async def run(self) -> None:
        """Connects again and again, until ``ended`` is set."""
        publishing = asyncio.ensure_future(self._publish_lines())
        while not self.ended:
            try:
                await self._connect()
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_INTERVAL_S)
        publishing.cancel()

    async def _publish_lines(self) -> None:
        for number in itertools.count():
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            line = b"%d-%d" % (self.number, number)
            if not self.silent and self.tally.sessions_opened and (self.resumes or self._is_served):
                self.tally.sent.append(line)
                self.device.publish("up", line)

    @property
    def _is_served(self) -> bool:
        return any(
            message.topic == "answer" and message.payload.startswith(b"UP")
            for message in self.device.received
        )

    @property
    def _lines_received(self) -> int:
        return sum(message.topic == "down" for message in self.device.received)

    async def _connect(self) -> None:
        began = time.monotonic()
        reader, writer = await asyncio.open_connection(HOST, self.port)
        try:
            if not self.resumes:
                self.device.received.clear()
                self.device.discard_queued()
            expiry_s = EXPIRY_S if self.resumes else 0
            writer.write(self.device.connect(clean=not self.resumes, expiry_s=expiry_s))
            await self._exchange(reader, writer, began)
        finally:
            writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, began: float
    ) -> None:
        """Reads and writes until the link is lost, and times the first line after a reconnect."""
        device, lines_before = self.device, 0
        connected = timed = False
        while not self.ended:
            await self._read(reader)
            if device.connack is not None and not connected:
                connected, lines_before = True, self._lines_received
                self._on_connected(device.connack.session_present)
            if connected and not timed and self.tally.reconnects and self._lines_received > lines_before:
                timed = True
                self.tally.first_line_s.append(time.monotonic() - began)
            writer.write(device.take_output())

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            data = await asyncio.wait_for(reader.read(READ_SIZE), READ_TIMEOUT_S)
        except TimeoutError:
            return
        if not data:
            raise ConnectionError
        self.device.feed(data)

    def _on_connected(self, session_present: bool) -> None:
        if self.tally.sessions_opened:
            self.tally.reconnects += 1
            self.tally.resumed += session_present
        if not session_present:
            self._open_session()

    def _open_session(self) -> None:
        self.tally.sessions_opened += 1
        session_id = (self.number << 32) + self.tally.sessions_opened
        self.device.received.clear()
        self.device.subscribe()
        self.device.publish("open", b"OPEN %016x 7f3a c=%s,d=4000" % (session_id, CLASS_NAME.encode()))


def link_profile(cell: Cell, seconds: float) -> LinkProfile:
    """A link that goes down at even intervals, for so many seconds."""
    period_s = cell.cut_s + cell.outage_s
    outages = tuple(
        (cell.cut_s + number * period_s, cell.outage_s) for number in range(int(seconds / period_s))
    )
    return LinkProfile(cell.delay_ms / 1000, outages=outages, outage_kind=OutageKind.RESET)


async def play_cell(cell: Cell, devices: int, seconds: float) -> dict[str, Any]:
    """Plays one cell; its figures."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = LocalDeployment(Path(folder))
        await deployment.start()
        link = LinkProxy((HOST, deployment.mqtt_port), link_profile(cell, seconds), seed=1)
        port = free_port()
        link.listen(port, HOST)
        handsets = [Handset(number, port, cell.resumes) for number in range(1, devices + 1)]
        running = [asyncio.ensure_future(handset.run()) for handset in handsets]
        await asyncio.sleep(seconds)
        for handset in handsets:
            handset.silent = True
        sent = {line for handset in handsets for line in handset.tally.sent}
        arrived = await wait_for_lines(deployment, sent)
        for handset in handsets:
            handset.ended = True
        await asyncio.gather(*running)
        link.stop()
        setups = sum(endpoint.session_count for endpoint in deployment.endpoints)
        await deployment.stop()
    tallies = [handset.tally for handset in handsets]
    first_line_s = [wait for tally in tallies for wait in tally.first_line_s]
    return {
        "outage_s": cell.outage_s,
        "delay_ms": cell.delay_ms,
        "cut_s": cell.cut_s,
        "resumes": cell.resumes,
        "returns": sum(tally.reconnects for tally in tallies),
        "kept": sum(tally.resumed for tally in tallies),
        "setups_per_device": setups / devices,
        "sent": len(sent),
        "lost": len(sent - set(arrived)),
        "doubled": len(arrived) - len(set(arrived)),
        "first_line_s": round(statistics.median(first_line_s), 3) if first_line_s else None,
    }


async def wait_for_lines(deployment: LocalDeployment, sent: set[bytes]) -> list[bytes]:
    """Waits until all lines have arrived, or for some seconds; the lines that have."""

    def arrived() -> list[bytes]:
        sessions = [lines for endpoint in deployment.endpoints for lines in endpoint.lines.values()]
        return [line.rstrip() for lines in sessions for line in lines]

    end = time.monotonic() + DRAIN_TIMEOUT_S
    lines = arrived()
    while time.monotonic() < end and not sent <= set(lines):
        await asyncio.sleep(0.1)
        lines = arrived()
    return lines


def start_cell(cell: Cell, devices: int, seconds: float) -> subprocess.Popen[bytes]:
    """Plays a cell in a process of its own."""
    command = [sys.executable, "-m", "bench.poor_links", "--devices", str(devices)]
    command += ["--seconds", str(seconds), "--cell", orjson.dumps(list(cell)).decode()]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def print_row(row: dict[str, Any]) -> None:
    """Prints one cell's figures."""
    first_line = "none" if row["first_line_s"] is None else f"{row['first_line_s']:.2f} s"
    print(
        f"| {row['outage_s']} s | {row['delay_ms']} ms | {row['cut_s']:g} s "
        f"| {'yes' if row['resumes'] else 'no'} | {row['returns']} | {row['kept']} "
        f"| {row['setups_per_device']:g} | {row['sent']} | {row['lost']} | {row['doubled']} "
        f"| {first_line} |",
        flush=True,
    )


def main() -> None:
    """Plays the grid, cells beside one another in processes of their own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--devices", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--cell", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.cell:
        cell = Cell(*orjson.loads(options.cell))
        figures = asyncio.run(play_cell(cell, options.devices, options.seconds))
        sys.stdout.buffer.write(orjson.dumps(figures))
        return
    cells = [Cell(*values) for values in itertools.product(OUTAGES_S, DELAYS_MS, CUTS_S, (True, False))]
    print(HEADER)
    for at in range(0, len(cells), options.jobs):
        batch = cells[at : at + options.jobs]
        processes = [start_cell(cell, options.devices, options.seconds) for cell in batch]
        for process in processes:
            print_row(orjson.loads(process.communicate()[0]))


if __name__ == "__main__":
    main()
