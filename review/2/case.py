"""Clients rest after PING, open a session, and their lines arrive in pieces. Run by run.sh."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (
    HOST,
    TROUBLE,
    CannotRunError,
    Lines,
    Node,
    World,
    free_port,
    main,
    open_line,
    run_all,
    settings,
)

CLIENTS_PER_NODE = 3
REST_S = 1.0  # between PONG and OPEN
LINES = 5  # of a client's session
LINE_INTERVAL_S = 2.0  # the protocol page: every 2 s clients send a line
PIECE_GAP_S = 0.05  # between the two pieces of a line
ANSWER_S = 5.0  # the client's time of 4.8 s, and slack
SLACK_S = 1.0  # the protocol page: a line held back for over a second is lost


class Client:
    """A client of one node."""

    def __init__(self, world: World, node: Node, label: str, rests: bool) -> None:
        self.world, self.node, self.label, self.rests = world, node, label, rests
        self.breaches: list[str] = []

    def note(self, what: str) -> None:
        """Writes a line to the record."""
        self.world.record.add(self.label, what)

    def run(self) -> None:
        """Plays the session; ``breaches`` has what the node did against the rule."""
        peer = Lines(socket.create_connection((HOST, self.node.port)))
        if self.rests:
            peer.send(b"PING\r\n")
            self.note(f"sent PING, got {peer.read_line(2.0)!r}")
            time.sleep(REST_S)
        request_id, opening = open_line()
        peer.send(opening)
        self.note(f"sent {opening!r}")
        answer = peer.read_line(ANSWER_S)
        self.note(f"got {answer!r}")
        if answer is None or not answer.startswith(b"UP "):
            raise CannotRunError(f"{self.label} has no session: {answer!r}")
        for number in range(LINES):
            if not self._exchange(peer, request_id, number):
                break
            time.sleep(LINE_INTERVAL_S)
        peer.close()

    def _exchange(self, peer: Lines, request_id: str, number: int) -> bool:
        line = f"AUDIO {self.label} {number}\r\n".encode()
        middle = len(line) // 2
        if TROUBLE:
            peer.send(line[:middle])
            time.sleep(PIECE_GAP_S)
            peer.send(line[middle:])
        else:
            peer.send(line)
        self.note(f"sent {line!r}{' in two pieces' if TROUBLE else ''}")
        reply = peer.read_line(SLACK_S + 0.05)
        self.note(f"got {reply!r}{f', then the connection ended: {peer.ending}' if peer.ending else ''}")
        if reply == b"TEXT " + line:
            return True
        is_open_upstream = any(request_id in it.sessions for it in self.world.transcribers.values())
        self.breaches.append(
            f"{self.label} ({'rested after PING' if self.rests else 'opened at once'}), line {number}: "
            f"got {reply!r} in place of the transcriber's line, no MOVE; connection: "
            f"{peer.ending or 'open'}; its transcriber still holds the session: {is_open_upstream}"
        )
        return False


def play(world: World) -> list[str]:
    """Two nodes and four transcribers; on each node some clients rest first and some open at once."""
    world.add_transcribers(4)
    known = world.discovery.snapshot()
    nodes = [Node(world, f"n{number}", free_port(), settings(Me=number), known) for number in range(2)]
    for node in nodes:
        node.wait_until_ready()
    clients = [
        Client(world, node, f"{node.name}-{'rest' if rests else 'plain'}-{number}", rests)
        for node in nodes
        for rests in (True, False)
        for number in range(CLIENTS_PER_NODE)
    ]
    run_all([client.run for client in clients])
    return [breach for client in clients for breach in client.breaches]


if __name__ == "__main__":
    main(__file__, play)
