"""MQTT packets and delivery state, without a socket."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffinpost.protocol import mqtt
from puffinpost.protocol.mqtt import Ack, MqttError, PacketType, Publish, ReasonCode
from puffinpost.protocol.mqtt.delivery import MAX_PACKET_ID, InboundDelivery, OutboundDelivery

TEXT = st.text(st.characters(exclude_characters="\0+#", exclude_categories=["Cs"]), min_size=1, max_size=20)
NUMBER = st.integers(1, 65_535)
PAIRS = st.lists(st.tuples(TEXT, TEXT), min_size=1, max_size=3)
PUBLISH_PROPERTIES = st.fixed_dictionaries(
    {},
    optional={
        "payload_format": st.integers(0, 1),
        "message_expiry": st.integers(0, 2**32 - 1),
        "content_type": TEXT,
        "response_topic": TEXT,
        "correlation_data": st.binary(max_size=20),
        "user_properties": PAIRS,
        "subscription_identifier": st.integers(1, 268_435_455),
        "topic_alias": NUMBER,
    },
)
OUTCOME_PROPERTIES = st.fixed_dictionaries({}, optional={"reason_string": TEXT, "user_properties": PAIRS})
WILL = st.builds(
    mqtt.Will,
    TEXT,
    st.binary(max_size=20),
    st.integers(0, 2),
    st.booleans(),
    st.fixed_dictionaries({}, optional={"will_delay": st.integers(0, 9)}),
)
CONNECT = st.builds(
    mqtt.Connect,
    TEXT,
    st.just(mqtt.V5),
    st.booleans(),
    st.integers(0, 65_535),
    st.none() | TEXT,
    st.none() | st.binary(max_size=9),
    st.none() | WILL,
    st.fixed_dictionaries(
        {},
        optional={
            "session_expiry": st.integers(0, 2**32 - 1),
            "receive_maximum": NUMBER,
            "request_problem": st.integers(0, 1),
        },
    ),
)
PUBLISH = st.builds(
    Publish,
    TEXT,
    st.binary(max_size=300),
    st.integers(1, 2),
    NUMBER,
    st.booleans(),
    st.booleans(),
    PUBLISH_PROPERTIES,
) | st.builds(Publish, TEXT, st.binary(max_size=300))
FILTER = st.builds(
    mqtt.Subscription, TEXT, st.integers(0, 2), st.booleans(), st.booleans(), st.integers(0, 2)
)
PACKET = (
    PUBLISH
    | st.builds(
        mqtt.Connack,
        st.integers(0, 255),
        st.booleans(),
        st.fixed_dictionaries({}, optional={"server_keep_alive": NUMBER, "assigned_client_id": TEXT}),
    )
    | st.builds(
        Ack,
        st.sampled_from([PacketType.PUBACK, PacketType.PUBREC, PacketType.PUBREL, PacketType.PUBCOMP]),
        NUMBER,
        st.integers(0, 255),
        OUTCOME_PROPERTIES,
    )
    | st.builds(mqtt.Subscribe, NUMBER, st.lists(FILTER, min_size=1, max_size=4).map(tuple))
    | st.builds(mqtt.Unsubscribe, NUMBER, st.lists(TEXT, min_size=1, max_size=4).map(tuple))
    | st.builds(
        mqtt.SubscriptionAck,
        st.sampled_from([PacketType.SUBACK, PacketType.UNSUBACK]),
        NUMBER,
        st.lists(st.integers(0, 255), max_size=4).map(tuple),
        OUTCOME_PROPERTIES,
    )
    | st.builds(mqtt.Ping, st.sampled_from([PacketType.PINGREQ, PacketType.PINGRESP]))
    | st.builds(
        mqtt.Disconnect,
        st.sampled_from([PacketType.DISCONNECT, PacketType.AUTH]),
        st.integers(0, 255),
        OUTCOME_PROPERTIES,
    )
)


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(CONNECT, st.lists(PACKET, max_size=5), st.lists(st.integers(1, 40), min_size=1))
def test_encoded_packets_are_parsed_for_every_split_of_the_input(
    connect: mqtt.Connect, packets: list[mqtt.Packet], sizes: list[int]
) -> None:
    data = b"".join(mqtt.encode(packet) for packet in [connect, *packets])
    parser, parsed, offset, chunk_index = mqtt.PacketParser(1 << 20), [], 0, 0
    while offset < len(data):
        size = sizes[chunk_index % len(sizes)]
        parsed += parser.feed(data[offset : offset + size])
        offset, chunk_index = offset + size, chunk_index + 1
    assert parsed == [connect, *packets] and not parser.pending


@settings(max_examples=400, derandomize=True, deadline=None, database=None)
@given(PACKET | CONNECT, st.integers(0, 10**6), st.binary(max_size=4), st.sampled_from([0, 4, 5]))
def test_corrupt_input_raises_only_mqtt_errors(
    packet: mqtt.Packet, number: int, replacement: bytes, version: int
) -> None:
    data = mqtt.encode(packet)
    offset = number % len(data)
    try:
        mqtt.PacketParser(4096, version).feed(data[:offset] + replacement + data[offset + 1 :] + data)
    except MqttError as error:
        assert error.reason >= 0x80


CONNECT_DATA = mqtt.encode(mqtt.Connect("x"))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"GET / HTTP/1.1\r\n", ReasonCode.MALFORMED),
        (b"\x00\x00", ReasonCode.MALFORMED),
        (b"\x10\xff\xff\xff\xff\x01", ReasonCode.MALFORMED),
        (b"\x10\x80\x00", ReasonCode.MALFORMED),
        (b"\xc0\x00", ReasonCode.PROTOCOL_ERROR),
        (b"\x10\x0c\x00\x06MQIsdp\x03\x02\x00\x00", ReasonCode.UNSUPPORTED_VERSION),
        (CONNECT_DATA + CONNECT_DATA, ReasonCode.PROTOCOL_ERROR),
        (CONNECT_DATA + b"\x36\x05\x00\x01a\x00\x01", ReasonCode.MALFORMED),
        (CONNECT_DATA + b"\x32\x06\x00\x01a\x00\x00\x00", ReasonCode.MALFORMED),
        (CONNECT_DATA + b"\x30\x04\x00\x01#\x00", ReasonCode.TOPIC_INVALID),
        (CONNECT_DATA + b"\x30\x04\x00\x01\xff\x00", ReasonCode.MALFORMED),
        (CONNECT_DATA + b"\x30\x04\x00\x01\x00\x00", ReasonCode.MALFORMED),
        (CONNECT_DATA + b"\x30\x07\x00\x01a\x03\x23\x00\x00", ReasonCode.PROTOCOL_ERROR),
        (CONNECT_DATA + b"\x30\x0a\x00\x01a\x06\x23\x00\x01\x23\x00\x01", ReasonCode.PROTOCOL_ERROR),
        (CONNECT_DATA + b"\x30\x06\x00\x01a\x02\x24\x01", ReasonCode.MALFORMED),
        (CONNECT_DATA + b"\x82\x03\x00\x01\x00", ReasonCode.PROTOCOL_ERROR),
        (CONNECT_DATA + b"\x82\x07\x00\x01\x00\x00\x01a\x03", ReasonCode.MALFORMED),
        (CONNECT_DATA + b"\x80\x00", ReasonCode.MALFORMED),
        (CONNECT_DATA + b"\x30\xff\xff\x03", ReasonCode.PACKET_TOO_LARGE),
    ],
)
def test_invalid_packets_raise_an_error_with_the_specified_reason_code(
    data: bytes, reason: ReasonCode
) -> None:
    for size in (1, len(data)):
        parser = mqtt.PacketParser(8192)
        with pytest.raises(MqttError) as error:
            for offset in range(0, len(data), size):
                parser.feed(data[offset : offset + size])
        assert error.value.reason is reason


def test_error_contains_the_packets_before_an_invalid_one() -> None:
    with pytest.raises(MqttError) as error:
        mqtt.PacketParser(100).feed(CONNECT_DATA + b"\xc0\x00\x00")
    assert error.value.packets_before == [mqtt.Connect("x"), mqtt.Ping()]


@pytest.mark.parametrize(
    ("topic_filter", "topic", "matches"),
    [
        ("a/b", "a/b", True),
        ("a/+", "a/b", True),
        ("a/+", "a", False),
        ("a/#", "a", True),
        ("#", "a/b", True),
        ("a/#/b", "a/x/b", False),
        ("a/b", "a", False),
        ("+/b", "a/b", True),
        ("a", "a/b", False),
    ],
)
def test_topic_filters_match_as_specified(topic_filter: str, topic: str, matches: bool) -> None:
    assert mqtt.topic_matches(topic_filter, topic) is matches


def test_packet_identifiers_wrap_around_and_skip_those_in_use() -> None:
    outbound = OutboundDelivery()
    assert outbound.packet_id_for(1, 2) == 1 and outbound.packet_id_for(2, 1) == 2
    assert outbound.on_acknowledgement(PacketType.PUBREC, 1, 0) == (
        1,
        PacketType.PUBREL,
    )  # identifier 1 remains in use until its PUBCOMP arrives
    for message in range(3, MAX_PACKET_ID + 1):
        assert outbound.packet_id_for(message, 1) == message
        outbound.on_acknowledgement(PacketType.PUBACK, message, 0)
    assert outbound.packet_id_for(70_000, 1) == 3 and outbound.packet_id_for(70_000, 1) == 3
    outbound.on_acknowledgement(PacketType.PUBCOMP, 1, 0)
    for message in range(80_000, 80_000 + MAX_PACKET_ID - 2):
        outbound.packet_id_for(message, 1)
    with pytest.raises(MqttError):
        outbound.packet_id_for(10**6, 1)


def test_acknowledgement_that_does_not_match_the_qos_raises_an_error() -> None:
    outbound = OutboundDelivery()
    outbound.packet_id_for(1, 2)
    with pytest.raises(MqttError):
        outbound.on_acknowledgement(PacketType.PUBACK, 1, 0)
    assert outbound.on_acknowledgement(PacketType.PUBREC, 1, 0x99) == (1, None) and len(outbound) == 0
    assert outbound.on_acknowledgement(PacketType.PUBACK, 9, 0) == (None, None)
    assert outbound.on_acknowledgement(PacketType.PUBREC, 9, 0) == (None, PacketType.PUBREL)


def test_repeated_message_is_distinguished_from_a_reused_identifier() -> None:
    inbound = InboundDelivery(2)
    first = Publish("a", b"1", 1, 7)
    assert inbound.is_new(first)
    inbound.on_acknowledged(first)
    repeat = Publish("a", b"1", 1, 7, True)
    assert not inbound.is_new(repeat)
    assert inbound.is_new(first), "without DUP it is a new message with the same content"
    assert inbound.is_new(Publish("a", b"2", 1, 7, True))
    for number in (8, 9):
        inbound.on_acknowledged(Publish("a", b"1", 1, number))
    assert inbound.is_new(repeat), "a message older than the receive maximum cannot be a repeat"
    qos2_message = Publish("a", b"1", 2, 1)
    assert inbound.is_new(qos2_message) and not inbound.is_new(qos2_message)
    with pytest.raises(MqttError):
        inbound.is_new(Publish("a", b"other", 2, 1))
    assert inbound.on_released(1) and not inbound.on_released(1) and inbound.is_new(qos2_message)
    inbound.is_new(Publish("a", b"", 2, 2))
    with pytest.raises(MqttError) as error:
        inbound.is_new(Publish("a", b"", 2, 3))
    assert error.value.reason is ReasonCode.RECEIVE_MAXIMUM_EXCEEDED


def test_delivery_state_is_preserved_in_a_handover() -> None:
    outbound, restored_outbound = OutboundDelivery(), OutboundDelivery()
    for message in (5, 6, 7):
        outbound.packet_id_for(message, 2)
    outbound.on_acknowledgement(PacketType.PUBREC, 2, 0)
    restored_outbound.unpack(outbound.pack())
    assert (
        restored_outbound.releasing == [2]
        and restored_outbound.packet_id_for(7, 2) == 3
        and restored_outbound.packet_id_for(8, 1) == 4
    )
    inbound, restored_inbound = InboundDelivery(4), InboundDelivery(4)
    inbound.is_new(Publish("a", b"", 2, 3))
    inbound.on_acknowledged(Publish("a", b"", 1, 4))
    restored_inbound.unpack(inbound.pack())
    assert not restored_inbound.is_new(Publish("a", b"", 2, 3, True))
    assert not restored_inbound.is_new(Publish("a", b"", 1, 4, True))
