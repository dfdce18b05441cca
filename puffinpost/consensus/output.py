"""What the driver has to write and send: `Ready` is the output of the voter, `Output` that of the member.

The driver writes it to disk, then sends its messages, and then calls `persisted`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from puffinpost.consensus.documents import Document
from puffinpost.consensus.log import HardState, Snapshot
from puffinpost.consensus.messages import Message


@dataclass(slots=True)
class Ready:
    """What a voter changed since the last `take_ready`, and the messages to send once that is on disk.

    ``first_changed_index``: entries from this index on replace those on disk; None: no entry changed.
    """

    hard_state: HardState | None = None
    first_changed_index: int | None = None
    snapshot: Snapshot | None = None
    messages: list[tuple[str, Message]] = field(default_factory=list)

    def must_persist(self) -> bool:
        """Whether there is anything to write."""
        return (
            self.hard_state is not None or self.first_changed_index is not None or self.snapshot is not None
        )


class LeaseGrant(NamedTuple):
    """A lease granted by a source; it counts from the request for it. Times are ns of this node's clock."""

    requested_at_ns: int = 0
    remaining_ns: int = 0


@dataclass(slots=True)
class Output:
    """What a member has to write and send. A reply goes to the ``reply_to`` of `receive`, or to the sender.

    ``last_index`` and ``truncation_count`` tell how much of the log is on disk once this is written.
    """

    ready: Ready
    replies: list[tuple[Any, Message]]
    last_index: int
    truncation_count: int
    updated_documents: list[Document] = field(default_factory=list)
    lease_grant: LeaseGrant = field(default_factory=LeaseGrant)
