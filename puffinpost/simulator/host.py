"""Hosts many balancers in one process for the simulator.

It reads batches on standard input and writes replies on standard output. It passes each event to its instance
and makes no decisions itself.
"""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from puffinpost.balancing.actions import Action
from puffinpost.balancing.balancer import Balancer
from puffinpost.balancing.events import Event
from puffinpost.simulator.action_encoder import InstanceFault, encode_actions
from puffinpost.simulator.event_decoder import (
    FRAME_HEADER,
    CreateInstance,
    EventDecoder,
    RetireInstance,
    WireError,
)

LENGTH_BYTES = 4
TRACEBACK_FRAMES = 3  # innermost frames of an exception's traceback that are sent to the simulator
EXIT_BAD_INPUT = 2


class Host:
    """The instances of one process, by number. They share no state except this map."""

    def __init__(self) -> None:
        self.decoder = EventDecoder()
        self.instances: dict[int, Balancer] = {}

    def handle_batch(self, frame: bytes) -> bytes:
        """Returns the reply to one batch. Raises ``WireError`` if the batch is invalid."""
        now_ns, items = self.decoder.decode(frame)
        actions: list[tuple[int, Action | InstanceFault]] = []
        for instance, item in items:
            if isinstance(item, RetireInstance):
                self.instances.pop(instance, None)
                actions = [action for action in actions if action[0] != instance]
                continue
            try:
                actions.extend((instance, action) for action in self._handle(instance, item, now_ns))
            # The boundary at which the failure of an instance is contained: the simulator must receive it.
            except Exception:  # noqa: BLE001
                actions.append((instance, InstanceFault(traceback.format_exc(limit=-TRACEBACK_FRAMES))))
        return encode_actions(actions)

    def _handle(
        self, instance: int, item: CreateInstance | Event, now_ns: int
    ) -> list[Action] | list[InstanceFault]:
        if isinstance(item, CreateInstance):
            if item.settings is None:
                return [InstanceFault(item.problem)]
            self.instances[instance] = Balancer(item.settings, item.seed)
            return []
        balancer = self.instances.get(instance)
        return balancer.handle(item, now_ns) if balancer is not None else []


def read_frame(source: BinaryIO) -> bytes | None:
    """Reads the next frame; None if the input ends between frames. Raises ``WireError`` if it ends in one."""
    head = source.read(LENGTH_BYTES)
    if not head:
        return None
    if len(head) < LENGTH_BYTES:
        raise WireError(f"input ends {len(head)} bytes into a frame's length")
    length = int.from_bytes(head, "big")
    if length < FRAME_HEADER.size:
        raise WireError(f"byte 0: length {length} is shorter than the header of {FRAME_HEADER.size}")
    rest = source.read(length - LENGTH_BYTES)
    if len(rest) < length - LENGTH_BYTES:
        raise WireError(f"input ends {LENGTH_BYTES + len(rest)} bytes into a frame of {length}")
    return head + rest


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Replies to batches until the input ends; returns the exit code of the process."""
    host = Host()
    batch_number = 0
    try:
        while (frame := read_frame(source)) is not None:
            batch_number += 1
            sink.write(host.handle_batch(frame))
            sink.flush()
    except WireError as error:
        print(f"puffinpost.simulator.host: batch {batch_number}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
