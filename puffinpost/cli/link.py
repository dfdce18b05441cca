"""``puffinpost link``: the poor link. It takes commands on standard input and tells on standard output."""

from __future__ import annotations

import asyncio
import contextlib
import sys

from puffinpost.emulator.impairment import Profile
from puffinpost.emulator.proxy import Address, Proxy


def serve(listen: Address, to: Address, profile: Profile, seed: int) -> None:
    """Runs until ``quit`` or Ctrl-C. The end of standard input alone does not end it."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(listen, to, profile, seed))


async def _serve(listen: Address, to: Address, profile: Profile, seed: int) -> None:
    proxy = Proxy(to, profile, seed, lambda word, figure: print(word, figure, flush=True))
    proxy.listen(listen[1], listen[0])
    print("listening", listen[1], flush=True)
    commands = {"down": proxy.down, "up": proxy.restore, "cut": proxy.cut, "freeze": proxy.freeze}
    loop = asyncio.get_running_loop()
    while True:
        word = await loop.run_in_executor(None, sys.stdin.readline)
        if not word:
            await asyncio.Event().wait()
        word = word.strip()
        if word == "quit":
            return
        command = commands.get(word)
        if command is None:
            print("unknown", 0, flush=True)
        else:
            command()
