"""The schema of the operator's file, ``deploy/edge.toml``: tables, keys, types, ranges and defaults.

Each table is a struct that defines its keys in one place; unknown keys are faults. The structs hold the
values of the file, and ``config.edge`` converts them to the configuration that the node runs with.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Annotated, Any, Literal, get_type_hints

import msgspec
from msgspec import Meta

from puffinpost.config.errors import ConfigError

MIN_STANZA_LIMIT = 10_000  # bytes; RFC 6120, 13.12
HAND_OVER_INHERITED = "inherited"
HAND_OVER_ALWAYS = "always"
Port = Annotated[int, Meta(ge=0, le=65535)]


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class XmppEndpoints(Table):
    """How the node, as an XMPP client, connects to endpoints."""

    domain: str = "transcribers.localhost"
    port: Port = 0
    tls: bool = False
    ca: str = ""
    mechanism: Literal["ANONYMOUS", "PLAIN"] = "ANONYMOUS"
    username: str = ""
    password_file: str = ""


class Xmpp(Table):
    """The XMPP frontend; off without ``listen``."""

    listen: str = ""
    domain: str = "localhost"
    certificate: str = ""
    key: str = ""
    ca: str = ""
    require_tls: bool = False
    mechanisms: list[Literal["SCRAM-SHA-256-PLUS", "SCRAM-SHA-256", "PLAIN", "EXTERNAL", "ANONYMOUS"]] = (
        msgspec.field(default_factory=lambda: ["PLAIN"])
    )
    users: str = ""
    stanza_limit: Annotated[int, Meta(ge=MIN_STANZA_LIMIT, le=1024 * 1024)] = 65536
    transcribers: XmppEndpoints = msgspec.field(default_factory=XmppEndpoints)


class Mqtt(Table):
    """The MQTT frontend; off without ``listen``."""

    listen: str = ""
    certificate: str = ""
    key: str = ""
    ca: str = ""
    users: str = ""
    anonymous: bool = False
    keep_alive_s: Annotated[int, Meta(ge=5, le=65535)] = 60
    receive_maximum: Annotated[int, Meta(ge=1, le=65535)] = 64


class Resume(Table):
    """Limits on sessions that outlive their connection, for all frontends that support resumption."""

    grace_s: Annotated[int, Meta(ge=0, le=86400)] = 30
    sessions: Annotated[int, Meta(ge=1, le=1_000_000)] = 2000
    sessions_per_user: Annotated[int, Meta(ge=1, le=1_000_000)] = 200
    lines: Annotated[int, Meta(ge=8, le=65535)] = 256
    bytes: Annotated[int, Meta(ge=16_384, le=64 * 1024 * 1024)] = 65536
    bytes_in_all: Annotated[int, Meta(ge=65_536, le=64 * 1024 * 1024 * 1024)] = 16 * 1024 * 1024
    refusals_per_minute: Annotated[int, Meta(ge=1, le=100_000)] = 20


class Ipfix(Table):
    """The export of flows; off without ``collector``."""

    collector: str = ""
    observation_domain: Annotated[int, Meta(ge=0, le=0xFFFFFFFF)] = 1


class Counters(Table):
    """How often the counters are printed; 0: only at exit and on SIGUSR1."""

    every_s: Annotated[int, Meta(ge=0, le=86400)] = 0


class Log(Table):
    """The format and contents of the log."""

    format: Literal["text", "json"] = "text"
    trace: bool = False  # a line for each event and action about a request, not rate-limited


class Upgrade(Table):
    """When a process hands over to its successor at an upgrade, on a Unix socket in ``$TMPDIR``.

    ``inherited``: only if the platform holds the clients' listening socket for both (``GW_INHERITED_FD``);
    ``always``: whenever ``$TMPDIR`` is set; ``never``: no handover and no Unix socket.
    """

    hand_over: Literal["inherited", "always", "never"] = "inherited"


class Rehearsal(Table):
    """For tests only: a clock that runs fast or slow, faults injected into this node, and what a test may
    change while the node runs: the offset of its wall clock, and writes to replicated state.
    """

    clock_rate: Annotated[float, Meta(ge=0.9, le=1.1)] = 1.0
    # A folder with the files `wall-off` (ms) and `writes` (test rows per second, and the number of keys).
    knobs: str = ""
    faults: list[Literal["stale_read", "lost_version", "lease_ignored"]] = msgspec.field(default_factory=list)


class Replica(Table):
    """Replicated state; off unless ``on``. All nodes of a cluster should have the same settings.

    ``bans``: operators' bans are replicated, and take effect at once on both sides of a partition; otherwise
    they are agreed on by consensus. ``remember_s``: how long tombstones are kept; a partition of a node must
    be shorter.
    """

    on: bool = False
    bans: bool = False
    rate_kib: Annotated[int, Meta(ge=16, le=1024 * 1024)] = 1024
    remember_s: Annotated[float, Meta(ge=60, le=30 * 86400)] = 86400.0
    stale_s: Annotated[float, Meta(ge=1, le=600)] = 3.0


class Cluster(Table):
    """Consensus with other nodes on versioned documents; off without ``id``. Durations in seconds.

    ``members``: addresses by name, including this node's; ``voters``: 1, 3, 5 or 7 of these names.
    ``agree_within_s`` is the bound T: no node acts on an old version for longer than T after the first node
    acted on a newer one.
    """

    id: str = ""
    name: str = ""  # empty: the name in the node's configuration
    listen: str = ""  # empty: as in ``members``
    members: dict[str, str] = msgspec.field(default_factory=dict)
    voters: list[str] = msgspec.field(default_factory=list)
    folder: str = ""
    agree_within_s: Annotated[float, Meta(ge=0.5, le=600)] = 2.0
    on_lost: Literal["narrow", "refuse", "keep"] = "narrow"
    fanout: Annotated[int, Meta(ge=2, le=256)] = 16
    decide_within_s: Annotated[float, Meta(ge=1, le=3600)] = 10.0
    stage_for_s: Annotated[float, Meta(ge=0.5, le=86400)] = 10.0
    worst_share: Annotated[float, Meta(ge=0, le=1)] = 0.1
    history: str = ""  # a file that records each version that the node acts on
    replica: Replica = msgspec.field(default_factory=Replica)
    rehearsal: Rehearsal = msgspec.field(default_factory=Rehearsal)


class Edge(Table):
    """The whole file."""

    xmpp: Xmpp = msgspec.field(default_factory=Xmpp)
    mqtt: Mqtt = msgspec.field(default_factory=Mqtt)
    resume: Resume = msgspec.field(default_factory=Resume)
    ipfix: Ipfix = msgspec.field(default_factory=Ipfix)
    counters: Counters = msgspec.field(default_factory=Counters)
    log: Log = msgspec.field(default_factory=Log)
    upgrade: Upgrade = msgspec.field(default_factory=Upgrade)
    cluster: Cluster = msgspec.field(default_factory=Cluster)


class SchemaError(ConfigError):
    """Raised for a key that does not fit the schema."""


_LOCATED_MESSAGE = re.compile(r"^(?P<message>.*?)(?: - at `\$(?P<path>.*)`)?$", re.DOTALL)
_UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.*)`")


def faults(table: dict[str, Any]) -> list[SchemaError]:
    """Returns the faults of a parsed file, in the order of its keys; empty if it fits the schema.

    msgspec stops at the first fault, so each key is converted separately.
    """
    return list(_faults(table, Edge, ""))


def _faults(table: dict[str, Any], kind: type[Table], path: str) -> Iterator[SchemaError]:
    hints = get_type_hints(kind, include_extras=True)
    for key, value in table.items():
        inner = hints.get(key)
        if isinstance(inner, type) and issubclass(inner, Table) and isinstance(value, dict):
            yield from _faults(value, inner, f"{path}{key}.")
            continue
        try:
            msgspec.convert({key: value}, kind)
        except msgspec.ValidationError as problem:
            yield _fault(str(problem), path, key, value)


def _fault(message: str, path: str, key: str, value: Any) -> SchemaError:
    """Converts msgspec's message to an error with the key as the operator wrote it, and its value."""
    match = _LOCATED_MESSAGE.match(message)
    assert match is not None
    if _UNKNOWN_FIELD.fullmatch(match["message"]):
        return SchemaError(f"{path}{key}", "there is no such key")
    shown = repr(value) if not isinstance(value, dict) else "a table"
    where = f"{path}{(match['path'] or key).lstrip('.')}"
    return SchemaError(where, f"{shown[:80]}: {match['message'][:1].lower()}{match['message'][1:]}")


def edge_of(table: dict[str, Any]) -> Edge:
    """Converts a parsed file to structs. Raises ``SchemaError`` with the first key that does not fit."""
    for fault in faults(table):
        raise fault
    return msgspec.convert(table, Edge)
