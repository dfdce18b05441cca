"""A process that starts with an old list: it takes clients once it was told, and in time in any case."""

from __future__ import annotations

import socket
import threading
import time

import pytest
from conftest import Deployment
from stand_ins import SETTINGS, StandInDiscovery, free_port
from test_endings import establish_at, have_no_attempts
from test_node import OPEN_LINE, accept_attempt, with_new_id

from puffinpost.balancing.poll_schedule import STARTUP_LIST_TIMEOUT_NS

READY_S = 10.0  # nine in ten restarted processes are to be ready by then; 6 s where the day ends sooner
LARGE = {"FleetSize": 200, "Rules": {**SETTINGS["Rules"], "AskWithinNs": 10_000_000_000}}


class BlockedDiscovery(StandInDiscovery):
    """It answers no call before it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def encode_reply(self, body: bytes) -> list[bytes]:
        self.released.wait()
        return super().encode_reply(body)


def is_listening(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port)).close()
    except ConnectionRefusedError:
        return False
    return True


@pytest.mark.parametrize("fleet", [{}, LARGE])
def test_no_client_is_accepted_before_the_first_endpoint_list(
    deployment: Deployment, fleet: dict[str, object]
) -> None:
    discovery = deployment.discovery = BlockedDiscovery()
    # The list that it is started with is written by now.
    node = deployment.start(settings=fleet, wait_until_listening=False)
    discovery.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    discovery.wait_for_polls(1)
    assert not is_listening(node.port)
    discovery.released.set()
    node.wait_for_log("listening for clients")
    kept = establish_at(node, deployment.endpoints[1], 4)
    assert len(kept) == 4 and have_no_attempts(deployment.endpoints[0])


@pytest.mark.parametrize("fleet", [{}, LARGE])
@pytest.mark.parametrize("how", ["refused", "silent", "503", "garbage"])
def test_a_process_is_ready_in_time_without_discovery(
    deployment: Deployment, how: str, fleet: dict[str, object]
) -> None:
    deployment.discovery.reply_format = how
    if how == "refused":
        deployment.discovery.listener.address = f"127.0.0.1:{free_port()}"
    node = deployment.start(settings=fleet, wait_until_listening=False)
    # From here on it is its own wait; before, the machine's.
    node.wait_for_log("admin server listening address=")
    began = time.monotonic()
    node.wait_for_log("listening for clients")
    assert time.monotonic() - began < STARTUP_LIST_TIMEOUT_NS / 1e9 + 1.5 < READY_S
    assert node.connect(b"PING\r\n").read_line() == b"PONG\r\n"
    client = node.connect(with_new_id(OPEN_LINE % 3000))  # and it serves with the list that it has
    upstream = accept_attempt(deployment.endpoints)[1]
    upstream.read_line()
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
