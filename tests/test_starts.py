"""A process with an old endpoint list admits clients once it has a new one, or after a time limit."""

from __future__ import annotations

import socket
import threading
import time

import pytest
from conftest import Deployment
from stand_ins import SETTINGS, StandInDiscovery, free_port
from test_lifecycle_races import establish_at, have_no_attempts
from test_node import OPEN_LINE, accept_attempt, with_new_id

from puffinpost.balancing.poll_schedule import STARTUP_LIST_TIMEOUT_NS

READY_S = 10.0  # nine in ten restarted processes must be ready by then; within 6 s where the day ends sooner
LARGE_FLEET = {"FleetSize": 200, "Rules": {**SETTINGS["Rules"], "AskWithinNs": 10_000_000_000}}


class BlockedDiscovery(StandInDiscovery):
    """Answers no poll until the test releases it."""

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


@pytest.mark.parametrize("fleet", [{}, LARGE_FLEET])
def test_no_client_is_accepted_before_the_first_endpoint_list(
    deployment: Deployment, fleet: dict[str, object]
) -> None:
    discovery = deployment.discovery = BlockedDiscovery()
    # The endpoint list that the node starts with has been written by now.
    node = deployment.start(settings=fleet, wait_until_listening=False)
    discovery.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    discovery.wait_for_polls(1)
    assert not is_listening(node.port)
    discovery.released.set()
    node.wait_for_log("listening for clients")
    upstreams = establish_at(node, deployment.endpoints[1], 4)
    assert len(upstreams) == 4 and have_no_attempts(deployment.endpoints[0])


@pytest.mark.parametrize("fleet", [{}, LARGE_FLEET])
@pytest.mark.parametrize("how", ["refused", "silent", "503", "garbage"])
def test_a_process_is_ready_in_time_without_discovery(
    deployment: Deployment, how: str, fleet: dict[str, object]
) -> None:
    deployment.discovery.reply_format = how
    if how == "refused":
        deployment.discovery.listener.address = f"127.0.0.1:{free_port()}"
    node = deployment.start(settings=fleet, wait_until_listening=False)
    # The time from here on is the node's own wait; before, the machine was starting the process.
    node.wait_for_log("admin server listening address=")
    began = time.monotonic()
    node.wait_for_log("listening for clients")
    assert time.monotonic() - began < STARTUP_LIST_TIMEOUT_NS / 1e9 + 1.5 < READY_S
    assert node.connect(b"PING\r\n").read_line() == b"PONG\r\n"
    client = node.connect(with_new_id(OPEN_LINE % 3000))  # the node serves with its initial endpoint list
    upstream = accept_attempt(deployment.endpoints)[1]
    upstream.read_line()
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
