"""The subscriptions of one device. The session owns them; they contain no messages."""

from __future__ import annotations

from collections.abc import Mapping

from puffinpost.frontends.mqtt import topics
from puffinpost.protocol import mqtt
from puffinpost.protocol.mqtt import MqttError, ReasonCode


class Subscriptions:
    """The granted quality of service (QoS), by topic filter."""

    def __init__(self, granted: Mapping[str, int] | None = None) -> None:
        self.granted: dict[str, int] = dict(granted or {})

    def qos_for(self, topic: str) -> int | None:
        """Returns the QoS for messages to a topic; None if no filter matches it."""
        matching = [
            qos for topic_filter, qos in self.granted.items() if mqtt.topic_matches(topic_filter, topic)
        ]
        return max(matching, default=None)

    def subscribe(self, packet: mqtt.Subscribe, version: int) -> tuple[int, ...]:
        """Returns the codes of the SUBACK. Raises ``MqttError`` if there is a subscription identifier."""
        if "subscription_identifier" in packet.properties:
            raise MqttError(
                ReasonCode.SUBSCRIPTION_IDS_UNSUPPORTED, "subscription identifiers are not available"
            )
        return tuple(self._add(subscription, version) for subscription in packet.filters)

    def unsubscribe(self, packet: mqtt.Unsubscribe) -> tuple[int, ...]:
        """Returns the codes of the UNSUBACK."""
        return tuple(
            0 if self.granted.pop(topic, None) is not None else ReasonCode.NO_SUBSCRIPTION_EXISTED
            for topic in packet.filters
        )

    def _add(self, subscription: mqtt.Subscription, version: int) -> int:
        topic_filter = subscription.topic_filter
        has_reason_codes = version == mqtt.V5
        if topic_filter.startswith("$share/"):
            return int(ReasonCode.SHARED_UNSUPPORTED) if has_reason_codes else mqtt.SUBACK_FAILURE_311
        is_full = len(self.granted) >= mqtt.MAX_FILTERS and topic_filter not in self.granted
        if is_full or not _matches_device_topic(topic_filter):
            return int(ReasonCode.FILTER_INVALID) if has_reason_codes else mqtt.SUBACK_FAILURE_311
        self.granted[topic_filter] = subscription.qos
        return subscription.qos


def _matches_device_topic(topic_filter: str) -> bool:
    if not topic_filter.startswith(topics.PREFIX):
        return False
    return topic_filter.startswith(topics.ANSWER + "/") or any(
        mqtt.topic_matches(topic_filter, topic) for topic in topics.TO_DEVICE
    )
