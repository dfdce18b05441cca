"""The operator's file, ``deploy/edge.toml`` or the one that ``GW_EDGE`` names, as the node runs with it.

It checks what the schema cannot: addresses, files that keys name, and keys that depend on each other. The
modules of a protocol are imported only if its frontend is on.
"""

from __future__ import annotations

import ssl
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from puffinpost.config import schema
from puffinpost.config.addresses import Address, optional_address_of
from puffinpost.config.errors import ConfigError
from puffinpost.resumption.limits import ResumptionLimits

if TYPE_CHECKING:
    from puffinpost.config.cluster import ClusterConfig
    from puffinpost.protocol.scram import VerifierStore
    from puffinpost.protocol.xmpp import ClientOptions, ServerOptions

NS_PER_S = 1_000_000_000
SCRAM_WITH_BINDING = "SCRAM-SHA-256-PLUS"
EDGE_FILE = Path(__file__).parent.parent.parent / "deploy" / "edge.toml"


@dataclass(frozen=True, slots=True)
class XmppConfig:
    """The XMPP frontend, and how it connects to endpoints."""

    listen: Address
    server: ServerOptions
    client: ClientOptions
    server_tls: ssl.SSLContext | None
    client_tls: ssl.SSLContext | None
    port: int  # of endpoints; 0: as in the endpoint list


@dataclass(frozen=True, slots=True)
class MqttConfig:
    """The MQTT frontend."""

    listen: Address
    users: Mapping[str, str]  # passwords by user name
    anonymous: bool
    tls: ssl.SSLContext | None
    keep_alive_s: int
    receive_maximum: int


@dataclass(frozen=True, slots=True)
class FlowExportConfig:
    """The export of flows."""

    collector: Address
    domain: int


@dataclass(frozen=True, slots=True)
class EdgeConfig:
    """The whole file."""

    xmpp: XmppConfig | None
    mqtt: MqttConfig | None
    resumption_limits: ResumptionLimits
    flow_export: FlowExportConfig | None
    counters_interval_s: int
    log_format: str
    handover_mode: str = schema.HAND_OVER_INHERITED  # described at ``schema.Upgrade``
    trace: bool = False  # whether to log each event and action about a request
    cluster: ClusterConfig | None = None


def edge_file(environ: Mapping[str, str]) -> Path:
    """Returns the path of the file that this process reads."""
    return Path(environ.get("GW_EDGE") or EDGE_FILE)


def parse(path: Path, required: bool = True) -> dict[str, Any]:
    """Parses a TOML file; empty if it is missing and not required. Raises ``ConfigError``."""
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        if required:
            raise ConfigError("GW_EDGE", f"file {path} does not exist") from None
        return {}
    except (OSError, ValueError) as problem:
        raise ConfigError(str(path), str(problem)) from None


def read_edge(environ: Mapping[str, str]) -> EdgeConfig:
    """Reads and checks the file. Raises ``ConfigError`` with the first invalid key."""
    table = parse(edge_file(environ), required=bool(environ.get("GW_EDGE")))
    return edge_config_of(schema.edge_of(table))


def problems(table: dict[str, Any]) -> list[str]:
    """Returns the faults of a file, each with its key, as ``check`` prints them.

    If the file does not fit the schema, the other checks are not made.
    """
    found = [str(fault) for fault in schema.faults(table)]
    if found:
        return found
    edge = schema.edge_of(table)
    checks = (
        lambda: _xmpp_config(edge.xmpp),
        lambda: _mqtt_config(edge.mqtt),
        lambda: _flow_export_config(edge.ipfix),
        lambda: _cluster_config(edge.cluster),
    )
    for check in checks:
        try:
            check()
        except ConfigError as problem:
            found.append(str(problem))
    return found


def edge_config_of(edge: schema.Edge) -> EdgeConfig:
    """Converts the structs of the file. Raises ``ConfigError``."""
    return EdgeConfig(
        _xmpp_config(edge.xmpp),
        _mqtt_config(edge.mqtt),
        _resumption_limits(edge.resume),
        _flow_export_config(edge.ipfix),
        edge.counters.every_s,
        edge.log.format,
        edge.upgrade.hand_over,
        edge.log.trace,
        _cluster_config(edge.cluster),
    )


def _resumption_limits(table: schema.Resume) -> ResumptionLimits:
    return ResumptionLimits(
        grace_ns=table.grace_s * NS_PER_S,
        sessions=table.sessions,
        sessions_per_user=table.sessions_per_user,
        messages=table.lines,
        octets=table.bytes,
        total_octets=table.bytes_in_all,
        refusals_per_minute=table.refusals_per_minute,
    )


def _xmpp_config(table: schema.Xmpp) -> XmppConfig | None:
    endpoints = table.transcribers
    listen = optional_address_of(table.listen, "xmpp.listen")
    users = _read_users(table.users, "xmpp")
    if endpoints.mechanism == "PLAIN" and not endpoints.tls:
        raise ConfigError("xmpp.transcribers.tls", "the PLAIN mechanism requires TLS")
    password = _read_text(endpoints.password_file, "xmpp.transcribers.password_file").strip()
    if listen is None:
        return None
    if table.require_tls and not table.certificate:
        raise ConfigError("xmpp.certificate", "must be set if require_tls is")
    # Imported only if the frontend is on.
    from puffinpost.protocol.xmpp import ClientOptions, ServerOptions

    return XmppConfig(
        listen,
        ServerOptions(
            table.domain,
            tuple(table.mechanisms),
            users,
            bool(table.certificate),
            table.require_tls,
            table.stanza_limit,
            channel_binding=_channel_binding(table),
            verifiers=_verifiers(table, users),
        ),
        ClientOptions(
            endpoints.domain,
            endpoints.mechanism,
            endpoints.username,
            password,
            endpoints.tls,
            table.stanza_limit,
        ),
        _server_tls(table, "xmpp"),
        _client_tls(endpoints),
        endpoints.port,
    )


def _mqtt_config(table: schema.Mqtt) -> MqttConfig | None:
    listen = optional_address_of(table.listen, "mqtt.listen")
    users = _read_users(table.users, "mqtt")
    if listen is None:
        return None
    if not (users or table.anonymous or table.ca):
        raise ConfigError("mqtt.users", "no client could connect: set users, ca or anonymous")
    if table.ca and not table.certificate:
        raise ConfigError(
            "mqtt.certificate", "must be set if ca is, since clients send their certificates over TLS"
        )
    return MqttConfig(
        listen, users, table.anonymous, _server_tls(table, "mqtt"), table.keep_alive_s, table.receive_maximum
    )


def _cluster_config(table: schema.Cluster) -> ClusterConfig | None:
    if not table.id:
        return None
    # Imported only if the cluster is on.
    from puffinpost.config.cluster import cluster_config_of

    return cluster_config_of(table)


def _flow_export_config(table: schema.Ipfix) -> FlowExportConfig | None:
    collector = optional_address_of(table.collector, "ipfix.collector")
    return FlowExportConfig(collector, table.observation_domain) if collector is not None else None


def _read_text(path: str, key: str) -> str:
    """Reads the file that a key names; empty if it names none."""
    try:
        return Path(path).read_text() if path else ""
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError(key, f"{path}: {problem}") from None


def _read_users(path: str, table: str) -> Mapping[str, str]:
    try:
        users = tomllib.loads(_read_text(path, f"{table}.users"))
    except tomllib.TOMLDecodeError as problem:
        raise ConfigError(f"{table}.users", str(problem)) from None
    if not all(isinstance(password, str) and password for password in users.values()):
        raise ConfigError(f"{table}.users", "every password must be a nonempty string")
    return users


def _server_tls(table: schema.Xmpp | schema.Mqtt, name: str) -> ssl.SSLContext | None:
    if not table.certificate:
        return None
    try:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=table.ca or None)
        context.load_cert_chain(table.certificate, table.key or None)
    except (OSError, ssl.SSLError) as problem:
        raise ConfigError(f"{name}.certificate, key or ca", str(problem)) from None
    if table.ca:
        context.verify_mode = ssl.CERT_OPTIONAL
    return context


def _channel_binding(table: schema.Xmpp) -> bytes:
    """Returns the channel-binding data for SCRAM, empty if channel binding is not offered."""
    if not table.certificate or SCRAM_WITH_BINDING not in table.mechanisms:
        return b""
    from puffinpost.protocol.scram import channel_binding_data

    try:
        return channel_binding_data(_read_text(table.certificate, "xmpp.certificate"))
    except ValueError as problem:
        raise ConfigError("xmpp.certificate", str(problem)) from None


def _verifiers(table: schema.Xmpp, users: Mapping[str, str]) -> VerifierStore | None:
    if not any(name.startswith("SCRAM") for name in table.mechanisms):
        return None
    from puffinpost.protocol.scram import VerifierStore

    return VerifierStore(users)


def _client_tls(endpoints: schema.XmppEndpoints) -> ssl.SSLContext | None:
    try:
        return ssl.create_default_context(cafile=endpoints.ca or None) if endpoints.tls else None
    except (OSError, ssl.SSLError) as problem:
        raise ConfigError("xmpp.transcribers.ca", str(problem)) from None
