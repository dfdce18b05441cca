"""Sends an operator's queries to a node on this machine, in the frames of the cluster protocol.

The command line uses it. Anyone who can read the node's folder may query the node with the token in it.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from puffinpost.cluster.frames import FrameDecoder, FrameError, encode
from puffinpost.cluster.links import OPERATOR_NAME, READ_SIZE, Address
from puffinpost.consensus.messages import (
    PROTOCOL_VERSION,
    Hello,
    OperatorQuery,
    OperatorReply,
    ProposalOutcome,
    Propose,
    QueryKind,
)
from puffinpost.errors import PuffinpostError

REPLY_TIMEOUT_S = 5.0
OUTCOME_POLL_INTERVAL_S = 0.05
TOKEN_FILE = "operator-token"


class OperatorQueryError(PuffinpostError):
    """A query failed, or had no reply in time."""


async def query_node(address: Address, cluster: str, folder: Path, query: OperatorQuery) -> Any:
    """Sends a query and returns the reply, decoded from JSON. Raises ``OperatorQueryError``."""
    try:
        token = (folder / TOKEN_FILE).read_text()
    except OSError as problem:
        raise OperatorQueryError(f"{folder}/{TOKEN_FILE}: {problem.strerror}") from None
    client = TCPClient()
    hello = Hello(cluster, PROTOCOL_VERSION, OPERATOR_NAME, token)
    try:
        return await asyncio.wait_for(_send_query(client, address, hello, query), REPLY_TIMEOUT_S)
    except (OSError, StreamClosedError, TimeoutError, FrameError) as problem:
        raise OperatorQueryError(f"{address[0]}:{address[1]}: {problem or 'no reply in time'}") from None
    finally:
        client.close()


async def _send_query(client: TCPClient, address: Address, hello: Hello, query: OperatorQuery) -> Any:
    stream = await client.connect(*address)
    try:
        await stream.write(encode(hello) + encode(query))
        decoder = FrameDecoder()
        while True:
            for frame in decoder.feed(await stream.read_bytes(READ_SIZE, partial=True)):
                if isinstance(frame, OperatorReply):
                    return msgspec.json.decode(frame.body)
    finally:
        stream.close()


async def propose_and_wait(
    address: Address, cluster: str, folder: Path, proposal: Propose, timeout_s: float
) -> dict[str, str]:
    """Proposes, and waits for the final outcome. Raises ``OperatorQueryError`` if there is none in time."""
    loop, proposal_id = asyncio.get_running_loop(), proposal.proposal_id
    await query_node(address, cluster, folder, OperatorQuery(QueryKind.PROPOSE, proposal=proposal))
    deadline_s = loop.time() + timeout_s
    while loop.time() < deadline_s:
        query = OperatorQuery(QueryKind.OUTCOME, proposal_id)
        result: dict[str, str] = await query_node(address, cluster, folder, query)
        if result.get("outcome") not in (None, ProposalOutcome.STAGED):
            return result
        await asyncio.sleep(OUTCOME_POLL_INTERVAL_S)
    raise OperatorQueryError(f"proposal {proposal_id} is not decided after {timeout_s:g} s; see `status`")
