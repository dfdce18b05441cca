"""The topics over which devices use the node, and the limits of their messages."""

from __future__ import annotations

from puffinpost.protocol import lines

PREFIX = "puffinpost/"
# From the device:
OPEN = PREFIX + "open"
UP = PREFIX + "up"
BYE = PREFIX + "bye"  # in both directions
# To the device:
ANSWER = PREFIX + "answer"
DOWN = PREFIX + "down"
MOVE = PREFIX + "move"
FAULT = PREFIX + "fault"
TO_DEVICE = (ANSWER, DOWN, MOVE, BYE, FAULT)

MAX_PACKET_BYTES = 8 * 1024  # a line, its topic, and the properties that a client may add
MIN_CLIENT_PACKET_BYTES = 4608  # which a client must accept: the longest line, its topic and the overhead
MAX_PAYLOAD_BYTES = lines.MAX_LINE_BYTES - 2  # CRLF is added


def payload_problem(payload: bytes) -> str:
    """Returns why a payload is not a line of the platform's protocol; empty if it is one."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        return f"a line has at most {MAX_PAYLOAD_BYTES} bytes"
    if b"\r" in payload or b"\n" in payload:
        return "a line holds no CR and no LF"
    return ""
