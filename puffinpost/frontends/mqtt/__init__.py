"""The MQTT frontend: sessions of devices over the node's topics, which docs/mqtt.md lists.

It is not a broker: nothing is published from one client to another. The runtime imports the frontend from
here.
"""

from puffinpost.frontends.mqtt.connection import MqttConnection
from puffinpost.frontends.mqtt.frontend import MqttFrontend
from puffinpost.frontends.mqtt.session import MqttSession

__all__ = ["MqttConnection", "MqttFrontend", "MqttSession"]
