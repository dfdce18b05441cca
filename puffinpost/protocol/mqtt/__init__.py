"""MQTT 3.1.1 and 5.0: packets, their parser and encoder, and the delivery state of a session.

All code here works on bytes or values and does no I/O.
"""

from puffinpost.protocol.mqtt.codes import (
    SUBACK_FAILURE_311,
    V5,
    V311,
    PacketType,
    ReasonCode,
    connack_code,
)
from puffinpost.protocol.mqtt.delivery import MAX_PACKET_ID, InboundDelivery, OutboundDelivery
from puffinpost.protocol.mqtt.encoder import encode
from puffinpost.protocol.mqtt.errors import MqttError
from puffinpost.protocol.mqtt.packets import (
    Ack,
    Connack,
    Connect,
    Disconnect,
    Packet,
    Ping,
    Properties,
    Publish,
    Subscribe,
    Subscription,
    SubscriptionAck,
    Unsubscribe,
    Will,
)
from puffinpost.protocol.mqtt.parser import MAX_FILTERS, PacketParser
from puffinpost.protocol.mqtt.topics import check_topic, topic_matches

__all__ = [
    "MAX_FILTERS",
    "MAX_PACKET_ID",
    "SUBACK_FAILURE_311",
    "V5",
    "V311",
    "Ack",
    "Connack",
    "Connect",
    "Disconnect",
    "InboundDelivery",
    "MqttError",
    "OutboundDelivery",
    "Packet",
    "PacketParser",
    "PacketType",
    "Ping",
    "Properties",
    "Publish",
    "ReasonCode",
    "Subscribe",
    "Subscription",
    "SubscriptionAck",
    "Unsubscribe",
    "Will",
    "check_topic",
    "connack_code",
    "encode",
    "topic_matches",
]
