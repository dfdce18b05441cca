"""All configuration is read, checked and given its defaults in this package.

``node`` reads the platform's configuration, and ``schema`` and ``edge`` the operator's file. ``reload`` and
``shared_settings`` derive new configurations while the node runs.
"""

from puffinpost.config.edge import FlowExportConfig, MqttConfig, XmppConfig, edge_file, read_edge
from puffinpost.config.errors import ConfigError
from puffinpost.config.node import Config, load
from puffinpost.config.platform_settings import flatten
from puffinpost.config.reload import reload
from puffinpost.config.shared_settings import with_closed_class, with_shared_settings

__all__ = [
    "Config",
    "ConfigError",
    "FlowExportConfig",
    "MqttConfig",
    "XmppConfig",
    "edge_file",
    "flatten",
    "load",
    "read_edge",
    "reload",
    "with_closed_class",
    "with_shared_settings",
]
