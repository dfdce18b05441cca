"""The I/O of the cluster: sockets, disk and timers for the state machines of consensus and replication.

`consensus_driver` and `replication_driver` each run one state machine; `frames` and `links` carry messages
between nodes; the stores and writers keep state on disk; `operator`, `operator_service` and `status` serve
operators' queries.
"""
