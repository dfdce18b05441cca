"""MQTT devices that come back while a node is told to end are refused, and lose what they are owed."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from mqtt_2 import Device  # noqa: E402
from rig_2 import LOOPBACK, TROUBLE, CannotRunError, Discovery, Node, Record, Transcriber, free_port, play  # noqa: E402

DEVICES = 6
AWAY_S = 1.0  # the page's hard case is a link that drops for two seconds
BACK_AFTER_SIGTERM_S = 0.15  # "For 0.2 to 0.4 s, new connections keep coming"


async def case(record: Record, work: Path) -> bool:
    """Plays the case."""
    discovery = Discovery(record)
    transcribers = [Transcriber(f"s-{number}", record) for number in range(3)]
    for transcriber in transcribers:
        discovery.set(transcriber.name, await transcriber.start())
    port = free_port()
    edge = f'[mqtt]\nlisten = "{LOOPBACK}:{port}"\nanonymous = true\n'
    node = Node("n1", work, record)
    await node.start(await discovery.listen(node.name), discovery.snapshot(), None, edge)
    await node.wait_until_ready()
    devices = [Device(record, port, f"phone-{random.getrandbits(120):030x}") for _ in range(DEVICES)]
    for device in devices:
        await device.connect()
        await device.subscribe()
        device.publish("open", f"OPEN {random.getrandbits(63):x} 1 c=live-text,d=4800".encode())
        topic, answer = await device.next_message()
        if topic != "answer" or not answer.startswith(b"UP"):
            raise CannotRunError(f"no session: {topic} {answer!r}")
    for device in devices:
        device.drop()
    await asyncio.sleep(AWAY_S / 2)
    for transcriber in transcribers:
        for writer in transcriber.writers.values():
            writer.write(b"transcript\r\n")
    await asyncio.sleep(AWAY_S / 2 - BACK_AFTER_SIGTERM_S)
    if TROUBLE:
        node.signal(signal.SIGTERM)
    await asyncio.sleep(BACK_AFTER_SIGTERM_S)

    async def returns(device: Device) -> bool:
        try:
            present, reason = await device.connect()
            if not present or reason:
                return False
            return await device.next_message() == ("down", b"transcript")
        except (OSError, EOFError, TimeoutError) as problem:
            record(f"{device.client_id}: {type(problem).__name__} {problem}")
            return False

    back = await asyncio.gather(*(returns(device) for device in devices))
    await asyncio.sleep(4 if TROUBLE else 0)
    record(f"of {DEVICES} devices {sum(back)} have their session and the line")
    return all(back)


play(case, FOLDER)
