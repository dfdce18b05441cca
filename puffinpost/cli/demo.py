"""``puffinpost try``: runs a node on loopback with a session over each frontend, until Ctrl-C."""

from __future__ import annotations

import asyncio
import itertools
import tempfile
import time
from pathlib import Path

import click

from puffinpost.emulator.impairment import LinkProfile
from puffinpost.emulator.link_proxy import LinkProxy
from puffinpost.emulator.local_deployment import LocalDeployment, free_port
from puffinpost.emulator.mqtt_client import MqttClient
from puffinpost.emulator.mqtt_device import MqttDevice
from puffinpost.emulator.platform_settings import CLASS_NAME
from puffinpost.emulator.stand_ins import HOST
from puffinpost.emulator.xmpp_client import XmppClient, text_between

ACCOUNT = "7f3a9c21e0b4d655"
WAIT_MS = 2000
GREETING = b"good morning"
LINK_DELAY_S = 0.03
_started = time.monotonic()


def report(source: str, text: str) -> None:
    """Prints a line with the time since the start."""
    click.echo(f"{time.monotonic() - _started:7.2f} s  {source:12} {text}")


def open_line() -> str:
    """Returns the line that opens a session with a new id."""
    session_id = f"{time.time_ns():016x}"
    return f"OPEN {session_id} {ACCOUNT} c={CLASS_NAME},d={WAIT_MS}"


async def run_lines_session(deployment: LocalDeployment) -> None:
    """Runs a session in the platform's line protocol."""
    reader, writer = await asyncio.open_connection(HOST, deployment.lines_port)
    writer.write(f"{open_line()}\r\n".encode())
    report("lines", f"opened: {(await reader.readline()).decode().strip()}")
    writer.write(GREETING + b"\r\n")
    answer = (await reader.readline()).decode().strip()
    report("lines", f"sent {GREETING.decode()!r}, received {answer!r}")
    writer.close()


async def run_xmpp_session(deployment: LocalDeployment) -> None:
    """Runs an XMPP stream: binds, enables stream management, discovers features, and opens a session."""
    client = await XmppClient.connect(HOST, deployment.xmpp_port)
    await client.enable_stream_management()
    report("XMPP", f"bound as {client.jid}, with stream management")
    features = await client.request("get", "d", "<query xmlns='http://jabber.org/protocol/disco#info'/>")
    report("XMPP", f"disco#info lists {features.count(b'<feature ')} features")
    answer = await client.open_session(CLASS_NAME, WAIT_MS)
    report("XMPP", f"opened: {text_between(answer, b'<up ', b'/>')}")
    message = await client.exchange_message(GREETING)
    body = text_between(message, b"<body>", b"</body>")
    report("XMPP", f"sent {GREETING.decode()!r}, received {body!r}")
    client.close()


async def run_mqtt_session(link: LinkProxy, port: int) -> None:
    """Runs an MQTT session whose connection is reset. It is resumed, without any effect at the endpoint."""
    device = MqttDevice("")
    client = MqttClient(device)
    await client.connect(HOST, port)
    assert device.connack is not None
    device.client_id = device.connack.properties["assigned_client_id"]
    device.subscribe()
    device.publish("open", open_line().encode())
    await client.wait_until(lambda: bool(device.received))
    report("MQTT", f"opened: {device.received.pop().payload.decode()}")
    device.publish("up", b"before the cut")
    await client.wait_until(lambda: bool(device.received))
    link.reset_connections()
    report("MQTT", "connection reset")
    device.publish("up", b"written while it was away")
    try:
        await client.wait_until(lambda: len(device.received) > 1)
    except ConnectionError:
        await client.connect(HOST, port)
        present = device.connack is not None and device.connack.session_present
        report("MQTT", f"reconnected; session present: {present}")
    await client.wait_until(lambda: len(device.received) > 1)
    report("MQTT", f"received {[message.payload.decode() for message in device.received]}")
    device.publish("bye", b"")
    await client.close()


async def _run_rounds(rounds: int, pause_s: float) -> None:
    with tempfile.TemporaryDirectory(prefix="puffinpost-try-") as folder:
        deployment = LocalDeployment(Path(folder), on_event=lambda text: report("endpoint", text))
        await deployment.start()
        link = LinkProxy((HOST, deployment.mqtt_port), LinkProfile(delay_s=LINK_DELAY_S))
        link_port = free_port()
        link.listen(link_port, HOST)
        report(
            "deployment",
            f"node: lines {deployment.lines_port}, XMPP {deployment.xmpp_port}, "
            f"MQTT {deployment.mqtt_port}, console {deployment.console_port}",
        )
        report(
            "deployment",
            f"impaired link to the MQTT frontend: {link_port}; log: {folder}/log; Ctrl-C stops everything",
        )
        try:
            for number in itertools.count():
                if rounds and number >= rounds:
                    break
                await run_lines_session(deployment)
                await run_xmpp_session(deployment)
                await run_mqtt_session(link, link_port)
                await asyncio.sleep(pause_s)
        finally:
            link.stop()
            await deployment.stop()


def run(rounds: int, pause_s: float) -> None:
    """Runs ``rounds`` rounds, or until Ctrl-C if it is 0, with ``pause_s`` between two."""
    try:
        asyncio.run(_run_rounds(rounds, pause_s))
    except KeyboardInterrupt:
        report("deployment", "stopped")
