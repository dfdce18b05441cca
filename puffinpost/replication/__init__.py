"""Replicated state: replicas of single-writer logs, kept eventually consistent by gossip and anti-entropy.

Start with `member`, which is one node's part. Nothing here does I/O: a driver in `cluster` passes in messages
and the time. docs/replication.md explains the design.
"""
