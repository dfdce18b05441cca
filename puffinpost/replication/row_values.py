"""The kinds of rows and their values, with the encoding of values.

The strings below are the kinds' names on the wire, on disk and in operators' output; they must not change,
and no other module spells them out.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from puffinpost.replication.rows import Row

BAN = "ban"
ENDPOINT_OBSERVATION = "seen"
TENANT_USAGE = "use"
ATTEMPT_COUNTS = "sends"
INCARNATION = "@life"

# Kinds that an incarnation adopts from the node's earlier ones; others are dropped with their incarnation.
INHERITED_KINDS = frozenset({BAN, ENDPOINT_OBSERVATION})
# Kinds that several nodes write under one key; the last writer wins.
MULTI_WRITER_KINDS = frozenset({BAN})

ValueT = TypeVar("ValueT")


class RowValue(msgspec.Struct, array_like=True):
    """The value of a row. Fields that a newer version adds at the end are ignored when decoding."""


class Ban(RowValue):
    """An operator's ban of an endpoint since Unix time ``since_ns``; 0 means that the ban is lifted."""

    since_ns: int
    issued_by: str = ""
    reason: str = ""


class EndpointObservation(RowValue):
    """What one node has learned about an endpoint.

    ``started_ns`` is when the endpoint's process started, according to the endpoint list.
    ``connection_capacity`` is 0 if it is unknown; ``ejected_ms`` is how much longer the node ejects the
    endpoint; ``weight`` is the number of attempts that the observation is based on.
    """

    started_ns: int
    connection_capacity: float
    ejected_ms: int
    stalled: bool
    weight: float


class TenantUsage(RowValue):
    """Connections and attempts in flight at an incarnation, by tenant in the order of the settings."""

    in_flight: tuple[int, ...]


class AttemptCounts(RowValue):
    """How many attempts a node has started at an endpoint since the endpoint's process started."""

    started_ns: int
    attempts: int


class Incarnation(RowValue):
    """Records that an incarnation of a node has taken over from earlier ones.

    ``adopted_through`` has, by earlier incarnation, the sequence number up to which its rows were adopted.
    """

    adopted_through: dict[int, int]


def encode_value(value: RowValue) -> bytes:
    """The MessagePack form of a row's value."""
    return msgspec.msgpack.encode(value)


def decode_value(row: Row, value_type: type[ValueT]) -> ValueT | None:
    """The value of a row; None for a tombstone, and for a value that does not decode as the type."""
    if row.value is None:
        return None
    try:
        return msgspec.msgpack.decode(row.value, type=value_type)
    except msgspec.DecodeError:
        return None
