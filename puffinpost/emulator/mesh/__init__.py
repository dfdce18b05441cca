"""Clusters of nodes with faults between them, and the check of what they did.

As processes: `scenario` and `scenario_player` on a `process_cluster`, with `network` for the links. On
virtual time: `virtual_consensus` and `virtual_replication`. In every order of events: `model_checker`.
"""
