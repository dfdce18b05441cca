"""``puffinpost link``: an impaired link that reads commands from standard input and prints its events."""

from __future__ import annotations

import asyncio
import contextlib
import sys

from puffinpost.emulator.impairment import LinkProfile
from puffinpost.emulator.link_proxy import Address, LinkEvent, LinkProxy


def serve(listen: Address, target: Address, profile: LinkProfile, seed: int) -> None:
    """Runs until the command ``quit`` or Ctrl-C. The end of standard input does not stop it."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(listen, target, profile, seed))


def _print_event(event: LinkEvent, number: int) -> None:
    print(event.value, number, flush=True)


async def _serve(listen: Address, target: Address, profile: LinkProfile, seed: int) -> None:
    proxy = LinkProxy(target, profile, seed, _print_event)
    host, port = listen
    proxy.listen(port, host)
    print("listening", port, flush=True)
    commands = {
        "down": proxy.take_down,
        "up": proxy.restore,
        "cut": proxy.reset_connections,
        "freeze": proxy.freeze_connections,
    }
    loop = asyncio.get_running_loop()
    while True:
        line = await loop.run_in_executor(None, sys.stdin.readline)
        if not line:
            await asyncio.Event().wait()
        command_name = line.strip()
        if command_name == "quit":
            return
        command = commands.get(command_name)
        if command is None:
            print("unknown", 0, flush=True)
        else:
            command()
