"""Consensus on versioned documents, as state machines without I/O; `member` combines them for one node.

`raft`, `election`, `log_replication` and `log` implement Raft among the voters; `documents`,
`document_applier`, `leadership` and `rollout` turn the log into document versions; `lease`, `lease_renewal`,
`active_versions` and `followers` distribute the versions to all nodes and limit how long a node may act on
them. See docs/agreement.md.
"""
