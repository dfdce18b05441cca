"""Tests resumption with slixmpp, a third-party XMPP client, over an emulated link that is cut."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from typing import Any
from xml.etree import ElementTree

import slixmpp
from conftest import Deployment
from test_mqtt import LinkProcess, has_pending_attempt, start_link
from test_node import accept_attempt
from xmpp_stand_ins import (
    CERTIFICATE,
    DOMAIN,
    SESSION_NAMESPACE,
    SESSION_UP,
    XmppDeployment,
    answer_iq,
    negotiate_as_endpoint,
)

__all__ = ["start_link"]
SHORT_S = 20.0


async def in_thread(call: Callable[..., Any], *arguments: Any) -> Any:
    return await asyncio.wait_for(asyncio.get_running_loop().run_in_executor(None, call, *arguments), SHORT_S)


async def run_client(deployment: Deployment, xmpp: XmppDeployment, link: LinkProcess) -> list[str]:
    """Runs the client, cuts its connection once, and returns the messages that it received."""
    client = slixmpp.ClientXMPP(f"ada@{DOMAIN}/phone", "lovelace")
    client.ca_certs = CERTIFICATE
    client.register_plugin("xep_0198")
    received: list[str] = []
    events = {name: asyncio.Event() for name in ("sm_enabled", "session_resumed", "disconnected", "all")}
    for name in ("sm_enabled", "session_resumed", "disconnected"):
        client.add_event_handler(name, lambda _event, name=name: events[name].set())

    def on_message(stanza: Any) -> None:
        received.append(stanza["body"])
        if len(received) == 20:
            events["all"].set()

    async def wait_for_event(name: str) -> None:
        await asyncio.wait_for(events[name].wait(), SHORT_S)

    client.add_event_handler("message", on_message)
    client.connect("127.0.0.1", link.port)
    await wait_for_event("sm_enabled")
    iq = client.make_iq_set(ito=DOMAIN)
    iq.append(ElementTree.fromstring(f"<open xmlns='{SESSION_NAMESPACE}' class='live-text' wait='3000'/>"))
    open_task = asyncio.ensure_future(iq.send(timeout=SHORT_S))  # type: ignore[no-untyped-call]
    upstream = (await in_thread(accept_attempt, deployment.endpoints))[1]
    answer_iq(upstream, await in_thread(negotiate_as_endpoint, upstream), SESSION_UP)
    assert (await open_task)["type"] == "result"
    for number in range(10):
        client.send_message(slixmpp.JID(DOMAIN), f"up {number}")
        upstream.send(b"<message><body>down %d</body></message>" % number)
    await in_thread(link.send_command, "cut", "cut")
    await wait_for_event("disconnected")
    for number in range(10, 20):
        upstream.send(b"<message><body>down %d</body></message>" % number)
    client.connect("127.0.0.1", link.port)
    await wait_for_event("session_resumed")
    for number in range(10, 20):
        client.send_message(slixmpp.JID(DOMAIN), f"up {number}")
    await wait_for_event("all")
    forwarded = [await in_thread(upstream.read_until, b"</message>") for _ in range(20)]
    matches = [re.search(rb"<body>(.*)</body>", each) for each in forwarded]
    assert [each.group(1) for each in matches if each] == [b"up %d" % number for number in range(20)]
    await client.disconnect()
    return received


def test_slixmpp_resumes_its_session_after_a_connection_loss(
    deployment: Deployment, start_link: Callable[..., LinkProcess]
) -> None:
    xmpp = XmppDeployment(deployment, mechanisms='mechanisms = ["SCRAM-SHA-256"]')
    link = start_link(xmpp.port, "--delay-ms", "5")
    received = asyncio.run(run_client(deployment, xmpp, link))
    assert received == [f"down {number}" for number in range(20)] and not has_pending_attempt(deployment)
    counts = xmpp.node.read_counters()
    assert counts["relays"] == 1 and counts["edge_resumed"] + counts.get("edge_taken_over", 0) == 1
