"""The delivery state of an MQTT session (MQTT 5.0, 4.3 and 4.4): packet identifiers and acknowledgements.

The state outlives connections, as the standard requires. ``pack`` and ``unpack`` transfer it to the successor
process in a hot restart. There are no sockets or queues here: an outgoing message is identified by a number
of the caller.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import Any, NamedTuple

from puffinpost.protocol.mqtt.codes import PacketType, ReasonCode
from puffinpost.protocol.mqtt.errors import MqttError
from puffinpost.protocol.mqtt.packets import Publish

MAX_PACKET_ID = 65_535
DIGEST_BYTES = 16
FIRST_FAILURE_CODE = 0x80  # reason codes from here on are failures (2.4)


def message_digest(packet: Publish) -> bytes:
    """Computes a digest of topic and payload, which distinguishes a repeated message from a different one."""
    digest = hashlib.blake2b(packet.payload, digest_size=DIGEST_BYTES)
    digest.update(packet.topic.encode())
    return digest.digest()


class InboundDelivery:
    """Messages above QoS 0 received from the peer.

    ``receive_maximum`` limits the number of unacknowledged messages of the peer (3.1.2.11.3). At QoS 2 the
    protocol itself delivers each message once. At QoS 1 a sender repeats a PUBLISH whose PUBACK it has not
    received, with DUP set. Such a repeat is recognized here by its identifier and digest until the identifier
    is reused.
    """

    def __init__(self, receive_maximum: int) -> None:
        self.receive_maximum = receive_maximum
        self._unreleased: dict[int, bytes] = {}  # QoS 2: digests of packets between PUBLISH and PUBREL
        self._acknowledged: OrderedDict[int, bytes] = OrderedDict()  # QoS 1: the latest digests

    def is_new(self, packet: Publish) -> bool:
        """Whether a message must be delivered; a repeated message is only acknowledged again.

        Raises ``MqttError`` if the receive maximum is exceeded or the identifier is in use for another
        message.
        """
        digest = message_digest(packet)
        previous_digest = self._unreleased.get(packet.packet_id)
        if packet.qos != 2:
            if previous_digest is not None:
                raise _packet_id_in_use(packet)
            return not (packet.dup and self._acknowledged.get(packet.packet_id) == digest)
        if previous_digest is not None:
            if previous_digest != digest:
                raise _packet_id_in_use(packet)
            return False
        if len(self._unreleased) >= self.receive_maximum:
            raise MqttError(
                ReasonCode.RECEIVE_MAXIMUM_EXCEEDED, f"more than {self.receive_maximum} messages out"
            )
        self._unreleased[packet.packet_id] = digest
        return True

    def on_acknowledged(self, packet: Publish) -> None:
        """Records that a PUBACK is sent for a message at QoS 1."""
        self._acknowledged.pop(packet.packet_id, None)
        self._acknowledged[packet.packet_id] = message_digest(packet)
        # A sender has at most this many unacknowledged messages, so it cannot repeat an older one.
        while len(self._acknowledged) > self.receive_maximum:
            self._acknowledged.popitem(last=False)

    def on_rejected(self, packet_id: int) -> None:
        """Records that the PUBREC for a message at QoS 2 had a failure code: no PUBREL follows (4.3.3)."""
        self._unreleased.pop(packet_id, None)

    def on_released(self, packet_id: int) -> bool:
        """Records a PUBREL. Returns False for an unknown identifier."""
        return self._unreleased.pop(packet_id, None) is not None

    def pack(self) -> dict[str, Any]:
        """The state as values that JSON can represent."""
        return {
            "open": [[packet_id, digest.hex()] for packet_id, digest in self._unreleased.items()],
            "acked": [[packet_id, digest.hex()] for packet_id, digest in self._acknowledged.items()],
        }

    def unpack(self, state: dict[str, Any]) -> None:
        """Restores what ``pack`` returned."""
        self._unreleased = {int(packet_id): bytes.fromhex(digest) for packet_id, digest in state["open"]}
        self._acknowledged = OrderedDict(
            (int(packet_id), bytes.fromhex(digest)) for packet_id, digest in state["acked"]
        )


def _packet_id_in_use(packet: Publish) -> MqttError:
    return MqttError(ReasonCode.PROTOCOL_ERROR, f"identifier {packet.packet_id} is in use")


class UnacknowledgedMessage(NamedTuple):
    """A message that was sent. ``message`` is the caller's number for it."""

    message: int
    qos: int


class AcknowledgementOutcome(NamedTuple):
    """The effect of an acknowledgement: the message that it completes and the packet to reply with."""

    completed_message: int | None
    reply_type: PacketType | None


class OutboundDelivery:
    """Messages above QoS 0 sent to the peer, identified by the caller's numbers."""

    def __init__(self) -> None:
        self._last_packet_id = 0
        self._unacknowledged: dict[int, UnacknowledgedMessage] = {}  # by packet identifier
        self._packet_ids: dict[int, int] = {}  # by message
        self._releasing: dict[int, None] = {}  # QoS 2: PUBREL was sent, PUBCOMP has not arrived

    def __len__(self) -> int:
        return len(self._unacknowledged) + len(self._releasing)

    @property
    def releasing(self) -> list[int]:
        """The identifiers whose PUBREL has no PUBCOMP, in order; it is resent on a new connection (4.4)."""
        return list(self._releasing)

    def packet_id_for(self, message: int, qos: int) -> int:
        """Returns the identifier of a message: the one from an earlier connection, else an unused one.

        Raises ``MqttError`` if every identifier is in use.
        """
        assigned = self._packet_ids.get(message)
        if assigned is not None:
            return assigned
        if len(self) >= MAX_PACKET_ID:
            raise MqttError(ReasonCode.RECEIVE_MAXIMUM_EXCEEDED, "every packet identifier is in use")
        packet_id = self._last_packet_id % MAX_PACKET_ID + 1
        while packet_id in self._unacknowledged or packet_id in self._releasing:
            packet_id = packet_id % MAX_PACKET_ID + 1
        self._last_packet_id = packet_id
        self._unacknowledged[packet_id] = UnacknowledgedMessage(message, qos)
        self._packet_ids[message] = packet_id
        return packet_id

    def on_acknowledgement(
        self, packet_type: PacketType, packet_id: int, code: int
    ) -> AcknowledgementOutcome:
        """Records a PUBACK, PUBREC or PUBCOMP with its reason code.

        Raises ``MqttError`` if its type does not match the message's QoS. An acknowledgement of an unknown
        identifier, which a peer may send after a reconnect, changes nothing.
        """
        if packet_type is PacketType.PUBCOMP:
            self._releasing.pop(packet_id, None)
            return AcknowledgementOutcome(None, None)
        sent = self._unacknowledged.get(packet_id)
        if sent is None:
            reply_type = PacketType.PUBREL if packet_type is PacketType.PUBREC else None
            return AcknowledgementOutcome(None, reply_type)
        if (packet_type is PacketType.PUBACK) != (sent.qos == 1):
            raise MqttError(ReasonCode.PROTOCOL_ERROR, f"{packet_type.name} for a message at QoS {sent.qos}")
        del self._unacknowledged[packet_id], self._packet_ids[sent.message]
        if packet_type is PacketType.PUBACK or code >= FIRST_FAILURE_CODE:
            return AcknowledgementOutcome(sent.message, None)
        self._releasing[packet_id] = None
        return AcknowledgementOutcome(sent.message, PacketType.PUBREL)

    def qos_of(self, message: int) -> int | None:
        """Returns the QoS that a message was sent with, or None if it was not sent or is complete."""
        packet_id = self._packet_ids.get(message)
        return self._unacknowledged[packet_id].qos if packet_id is not None else None

    def pack(self) -> dict[str, Any]:
        """The state as values that JSON can represent."""
        return {
            "last": self._last_packet_id,
            "releasing": self.releasing,
            "sent": [[packet_id, *sent] for packet_id, sent in self._unacknowledged.items()],
        }

    def unpack(self, state: dict[str, Any]) -> None:
        """Restores what ``pack`` returned."""
        self._last_packet_id = int(state["last"])
        self._releasing = dict.fromkeys(int(packet_id) for packet_id in state["releasing"])
        self._unacknowledged = {
            int(packet_id): UnacknowledgedMessage(int(message), int(qos))
            for packet_id, message, qos in state["sent"]
        }
        self._packet_ids = {sent.message: packet_id for packet_id, sent in self._unacknowledged.items()}
