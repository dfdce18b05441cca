"""The counters and the log of a node."""
