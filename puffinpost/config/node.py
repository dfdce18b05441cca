"""Reads the configuration of a node at its start, from the environment and the files that it names.

The platform sets ``GW_NAME``, ``GW_LISTEN`` and ``GW_DISCOVERY``, and provides the JSON file that
``GW_CONFIG`` names. The first three are read from that file if they are not set. ``config.edge`` reads the
rest from the operator's file.
"""

from __future__ import annotations

import os
import resource
import stat
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from puffinpost.balancing.settings import Settings
from puffinpost.config.addresses import Address, address_of
from puffinpost.config.edge import EdgeConfig, FlowExportConfig, MqttConfig, XmppConfig, read_edge
from puffinpost.config.errors import ConfigError, ConfigFileNotSetError
from puffinpost.config.platform_settings import parse_settings, value_of
from puffinpost.config.schema import HAND_OVER_ALWAYS, HAND_OVER_INHERITED
from puffinpost.resumption.limits import ResumptionLimits

if TYPE_CHECKING:
    from puffinpost.config.cluster import ClusterConfig

# For the node itself: three standard streams, three descriptors of the event loop, a listener and a spare for
# each frontend, and the connections to discovery, the collector and the endpoints whose health is checked.
RESERVED_SOCKETS = 32
MAX_ADMIN_REQUESTS = 12  # open at the same time
ADMIN_LISTENER_SOCKETS = 2  # the listener and its spare descriptor
MIN_CLIENT_SOCKETS = 8
DEFAULT_SOCKETS = 1024

CONFIG_VARIABLE = "GW_CONFIG"
ADMIN_ADDRESS_VARIABLE = "GW_CONSOLE"
INHERITED_DESCRIPTOR_VARIABLE = "GW_INHERITED_FD"
SHARED_FOLDER_VARIABLE = "TMPDIR"


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of a node."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    endpoint_types: tuple[str, ...]
    descriptor_limit: int
    client_descriptor_limit: int  # the part of it for client connections and their upstream connections
    discovery_in_file: str = ""  # as in the file, whatever the environment says
    closed_classes: frozenset[str] = frozenset()  # removed or only handed over: they accept nothing new
    raw: dict[str, Any] = field(default_factory=dict)  # the file in force
    startup_endpoint_list: dict[str, Any] = field(default_factory=dict)  # the key `known` of the file
    cluster: ClusterConfig | None = None  # None: the node is in no cluster
    xmpp: XmppConfig | None = None
    mqtt: MqttConfig | None = None
    resumption_limits: ResumptionLimits = field(default_factory=ResumptionLimits)
    log_format: str = "text"
    flow_export: FlowExportConfig | None = None
    counters_interval_s: int = 0
    admin_address: Address | None = None
    shared_folder: str = ""  # for files that the processes of this node share; empty: none
    inherited_descriptor: int | None = None  # of the listening socket, if the platform holds it
    trace: bool = False  # whether to log each event and action about a request
    handover_folder: str = ""  # for the Unix socket of a handover at an upgrade; empty: no handover


class _PlatformFile:
    """The JSON file of the platform, and the environment that overrides some of its keys."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        self.environ = environ
        self.content = _read_platform_file(environ)

    def text(self, variable: str, key: str) -> str:
        """Returns a required string. Raises ``ConfigError``."""
        value = self.environ.get(variable) or self.content.get(key)
        if not isinstance(value, str) or not value:
            raise ConfigError(key, f"neither {variable} nor the key in GW_CONFIG is set to a string")
        return value

    def address(self, variable: str, key: str) -> Address:
        """Returns a required address. Raises ``ConfigError``."""
        return address_of(self.text(variable, key), key)

    def seed(self) -> int:
        """Returns the seed of all random draws. Raises ``ConfigError``."""
        try:
            return int(str(self.content.get("seed", "0")), 16)
        except ValueError:
            raise ConfigError("seed", f"{self.content['seed']!r} is not a hexadecimal number") from None

    def descriptor_limit(self) -> int:
        """Returns the limit on the process's descriptors: the file's, or the system's if that is lower."""
        limits = value_of(self.content, "limits", dict, {})
        sockets: int = value_of(limits, "sockets", int, DEFAULT_SOCKETS)
        return min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

    def admin_address(self) -> Address | None:
        """Returns the address of the admin server, or None if it is off. Raises ``ConfigError``."""
        if self.environ.get(ADMIN_ADDRESS_VARIABLE) or self.content.get("console"):
            return self.address(ADMIN_ADDRESS_VARIABLE, "console")
        return None


def _read_platform_file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigFileNotSetError(CONFIG_VARIABLE)
    try:
        content = orjson.loads(Path(path).read_bytes())
    except OSError as problem:
        raise ConfigError(CONFIG_VARIABLE, f"{path} cannot be read: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise ConfigError(CONFIG_VARIABLE, f"{path} is not JSON: {problem}") from None
    if not isinstance(content, dict):
        raise ConfigError(CONFIG_VARIABLE, f"{path} does not contain a JSON object")
    return content


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the configuration of this process. Raises ``ConfigError``."""
    file = _PlatformFile(environ)
    shared_folder = environ.get(SHARED_FOLDER_VARIABLE, "")
    raw_settings = value_of(file.content, "settings", dict, None)
    settings, class_names = parse_settings(raw_settings)
    seed = file.seed()
    descriptor_limit = file.descriptor_limit()
    admin_address = file.admin_address()
    reserved = _reserved_descriptors(admin_address is not None)
    if descriptor_limit < reserved + MIN_CLIENT_SOCKETS:
        raise ConfigError(
            "limits.sockets", f"{descriptor_limit} leaves too few descriptors for client connections"
        )
    edge = read_edge(environ)
    return Config(
        name=file.text("GW_NAME", "name"),
        listen=file.address("GW_LISTEN", "listen"),
        discovery=file.address("GW_DISCOVERY", "discovery"),
        seed=seed,
        settings=settings,
        class_names=class_names,
        zones=tuple(str(zone) for zone in raw_settings.get("Dcs") or []),
        endpoint_types=tuple(str(kind) for kind in raw_settings.get("Kinds") or []),
        descriptor_limit=descriptor_limit,
        client_descriptor_limit=descriptor_limit - reserved,
        discovery_in_file=str(file.content.get("discovery", "")),
        raw=file.content,
        startup_endpoint_list=value_of(file.content, "known", dict, {}),
        cluster=_cluster_config(edge, file.text("GW_NAME", "name")),
        xmpp=edge.xmpp,
        mqtt=edge.mqtt,
        resumption_limits=edge.resumption_limits,
        flow_export=edge.flow_export,
        counters_interval_s=edge.counters_interval_s,
        log_format=edge.log_format,
        trace=edge.trace,
        admin_address=admin_address,
        shared_folder=shared_folder,
        inherited_descriptor=(inherited := _inherited_descriptor(environ)),
        handover_folder=handover_folder(edge.handover_mode, shared_folder, inherited),
    )


def _reserved_descriptors(has_admin_server: bool) -> int:
    """Returns the number of descriptors that a process needs besides those of its clients."""
    return RESERVED_SOCKETS + (MAX_ADMIN_REQUESTS + ADMIN_LISTENER_SOCKETS if has_admin_server else 0)


def _cluster_config(edge: EdgeConfig, name: str) -> ClusterConfig | None:
    if edge.cluster is None:
        return None
    from puffinpost.config.cluster import for_node

    return for_node(edge.cluster, name)


def handover_folder(mode: str, folder: str, inherited: int | None) -> str:
    """Returns the folder for the socket between a process and its predecessor or successor; empty for none.

    With "inherited", no Unix socket is used unless the platform shows by an inherited descriptor that there
    may be a second process: a fleet's nodes are restarted one by one, and a filter there may allow only TCP
    and UDP sockets over IPv4.
    """
    if mode == HAND_OVER_ALWAYS or (mode == HAND_OVER_INHERITED and inherited is not None):
        return folder
    return ""


def _inherited_descriptor(environ: Mapping[str, str]) -> int | None:
    """Returns the descriptor of the inherited listening socket. Raises ``ConfigError``."""
    text = environ.get(INHERITED_DESCRIPTOR_VARIABLE, "")
    if not text:
        return None
    try:
        if stat.S_ISSOCK(os.fstat(int(text)).st_mode):
            return int(text)
    except (ValueError, OSError):
        pass
    raise ConfigError(INHERITED_DESCRIPTOR_VARIABLE, f"{text!r} is not the descriptor of a socket")
