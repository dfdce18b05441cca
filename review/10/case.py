"""XMPP clients whose link drops while the process is replaced lose what they are owed."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import xmpp_2 as xmpp  # noqa: E402
from rig_2 import LOOPBACK, SETTINGS, TROUBLE, CannotRunError, Discovery, Node, Record, free_port, play  # noqa: E402

CLIENTS = 6
AWAY_S = 1.0  # the page's hard case is a link that drops for two seconds
OWED_WITHIN_S = 8.0  # from the return: far more than the rest of the replaced process's time


async def returns(client: xmpp.Client) -> bool:
    """Whether a client has its session back on its return, with the message that came meanwhile."""
    answer = await client.resume()
    if "<resumed" not in answer:
        return False
    try:
        while "two" not in await client.stanza(within_s=OWED_WITHIN_S):
            pass
    except (TimeoutError, EOFError, OSError) as problem:
        client.record(f"{client.user} did not get what it was owed: {type(problem).__name__}")
        return False
    return True


async def case(record: Record, work: Path) -> bool:
    """Plays the case."""
    discovery = Discovery(record)
    transcribers = [xmpp.Transcriber(f"s-{number}", record) for number in range(2)]
    for transcriber in transcribers:
        discovery.set(transcriber.name, await transcriber.start())
    port = free_port()
    users = [f"phone{number}" for number in range(CLIENTS)]
    (work / "users.toml").write_text("".join(f'{user} = "secret"\n' for user in users))
    edge = (
        f'[xmpp]\nlisten = "{LOOPBACK}:{port}"\ndomain = "{xmpp.DOMAIN}"\nmechanisms = ["SCRAM-SHA-256"]\n'
        f'users = "{work / "users.toml"}"\n'
    )
    settings = {"Limits": {**SETTINGS["Limits"], "Probes": False}}  # these transcribers speak XMPP alone
    node = Node("n1", work, record)
    address = await discovery.listen(node.name)
    with socket.create_server((LOOPBACK, 0), backlog=128) as held:  # the platform holds the listener
        old = await node.start(address, discovery.snapshot(), settings, edge, inherited=held)
        await node.wait_until_ready()
        clients = [xmpp.Client(record, port, user, "secret") for user in users]
        for client in clients:
            await client.connect()
            await client.bind()
            await client.enable()
            if xmpp.UP not in await client.open("s1"):
                raise CannotRunError(f"{client.user} has no session")
        sessions = [stream for transcriber in transcribers for stream in transcriber.sessions]
        for stream in sessions:
            stream.write("<message><body>one</body></message>")
        for client in clients:
            if "one" not in await client.stanza():
                raise CannotRunError(f"{client.user} got no message")
        if TROUBLE:
            await node.start(address, discovery.snapshot(), settings, edge, new_console=True, inherited=held)
            await node.wait_until_ready(6)
            record("n1's first process gets SIGTERM")
            old.send_signal(signal.SIGTERM)
        for client in clients:
            client.drop()
        record("the clients' links are lost")
        await asyncio.sleep(AWAY_S / 2)
        for stream in sessions:
            stream.write("<message><body>two</body></message>")
        record(
            f"the transcribers send 'two' to {len(sessions)} sessions; ended by now: "
            f"{sum(transcriber.ended for transcriber in transcribers)}"
        )
        await asyncio.sleep(AWAY_S / 2)
        back = await asyncio.gather(*(returns(client) for client in clients))
        record(f"of {CLIENTS} clients {sum(back)} have their session and the message")
        return all(back)


play(case, FOLDER)
