"""A node as a process: wiring, start, reload, hot restart, graceful shutdown, and its part in a cluster."""
