"""Topic names and topic filters of MQTT (4.7)."""

from __future__ import annotations

from puffinpost.protocol.mqtt.codes import ReasonCode
from puffinpost.protocol.mqtt.errors import MqttError


def check_topic(topic: str) -> None:
    """Raises ``MqttError`` if a topic name is invalid: empty or with a wildcard."""
    if not topic or "+" in topic or "#" in topic:
        raise MqttError(ReasonCode.TOPIC_INVALID, f"{topic[:40]!r} is no topic name")


def topic_matches(topic_filter: str, topic: str) -> bool:
    """Whether a topic filter matches a topic (4.7.1); an invalid filter matches nothing."""
    filter_levels, topic_levels = topic_filter.split("/"), topic.split("/")
    for index, level in enumerate(filter_levels):
        if level == "#":
            return index == len(filter_levels) - 1
        if index >= len(topic_levels) or level not in ("+", topic_levels[index]):
            return False
    return len(filter_levels) == len(topic_levels)
