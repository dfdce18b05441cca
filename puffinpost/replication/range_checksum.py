"""Range checksums, with which two replicas of an origin find rows that one of them has lost.

A range that differs is split into smaller ones until its rows can be listed (as in the hash trees of
G. DeCandia et al., Dynamo (2007), section 4.7, but over sequence numbers instead of keys). The traffic grows
with the number of differences, and with the logarithm of the number of rows.
"""

from __future__ import annotations

from puffinpost.replication.messages import RangeChecksum
from puffinpost.replication.replica import Replica

RANGE_FANOUT = 16  # parts into which a range that differs is split
MAX_LISTED_ROWS = 24  # a range with no more rows than this is listed, not split


def checksum_range(replica: Replica, after: int, through: int) -> RangeChecksum:
    """The checksum of the rows in (``after``, ``through``].

    The checksum of the whole replica is updated with each write, so that a periodic comparison does not
    iterate over all rows on the event loop.
    """
    if after == 0 and through >= replica.sequence:
        return RangeChecksum(after, through, len(replica.rows), replica.checksum)
    row_count = checksum = 0
    for row in replica.rows_between(after, through):
        row_count += 1
        checksum ^= row.checksum
    return RangeChecksum(after, through, row_count, checksum)


def differing_ranges(
    replica: Replica, remote_ranges: list[RangeChecksum]
) -> list[tuple[RangeChecksum, RangeChecksum]]:
    """Ranges whose checksums differ, each as the remote and the local checksum."""
    pairs = ((remote, checksum_range(replica, remote.after, remote.through)) for remote in remote_ranges)
    return [(remote, local) for remote, local in pairs if remote != local]


def is_small_enough_to_list(remote: RangeChecksum, local: RangeChecksum) -> bool:
    """Whether a range that differs has few enough rows to list them."""
    row_count = max(remote.row_count, local.row_count)
    return row_count <= MAX_LISTED_ROWS or remote.through - remote.after <= RANGE_FANOUT


def split_range(replica: Replica, local: RangeChecksum) -> list[RangeChecksum]:
    """The checksums of a range's parts, at most `RANGE_FANOUT` of them."""
    step = max(1, -(-(local.through - local.after) // RANGE_FANOUT))
    starts = range(local.after, local.through, step)
    return [checksum_range(replica, start, min(start + step, local.through)) for start in starts]


def live_sequences(replica: Replica, after: int, through: int) -> list[int]:
    """The sequence numbers of the rows in (``after``, ``through``]."""
    return [row.sequence for row in replica.rows_between(after, through)]
